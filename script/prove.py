"""Disable each guard and check that the scenarios which name it then fail.

A scenario names its guards in tags ``@guard.NAME``; ``features/mutations`` contains
the mutations that disable a guard in the programs under test. A scenario proves its
guard if it passes without the mutation and, with it, fails in an assertion of a
``Then`` step. A failure in an earlier step would show only that the mutation broke
something else.
"""

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from behave.parser import parse_file

ROOT: Final = Path(__file__).resolve().parent.parent
FEATURES: Final = ROOT / "features"
GUARD_PREFIX: Final = "guard."
POINTS: Final = (
    "read-your-writes",
    "replaced-primary",
    "transactions",
    "whole-answers",
    "not-run",
    "at-most-once",
    "leaving",
    "graceful-shutdown",
    "settings-in-force",
    "rate-limits",
)

PASSED: Final = "passed"
FAILED: Final = "failed"
PROVED: Final = "proved"
SURVIVED: Final = "SURVIVED"
FAILED_UNMUTATED: Final = "RED WITHOUT MUTATION"
FAILED_ELSEWHERE: Final = "BROKEN BY MUTATION"
UNGUARDED: Final = "NO GUARD NAMED"
MISSING: Final = "NO SCENARIO"


@dataclass(frozen=True, slots=True)
class ProofScenario:
    """A scenario with the guards that it names."""

    location: str
    name: str
    guards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a scenario, and the type of the step that did not pass."""

    status: str
    step_type: str = ""
    message: str = ""

    @property
    def has_failed_assertion(self) -> bool:
        """Return whether the scenario failed in an assertion of a ``Then`` step."""
        return self.status == FAILED and self.step_type == "then"


@dataclass(frozen=True, slots=True)
class Proof:
    """Verdict on one guard in one scenario: a row of the printed table."""

    point: str
    guard: str
    scenario: str
    verdict: str
    detail: str = field(default="", compare=False)


def scenarios_by_point() -> dict[str, list[ProofScenario]]:
    """Return the scenarios of each point."""
    found: dict[str, list[ProofScenario]] = {point: [] for point in POINTS}
    for path in sorted(FEATURES.rglob("*.feature")):
        feature = parse_file(str(path))
        for scenario in feature.walk_scenarios():
            tags = scenario.effective_tags
            guards = sorted(
                tag.removeprefix(GUARD_PREFIX)
                for tag in tags
                if tag.startswith(GUARD_PREFIX)
            )
            location = f"{path.relative_to(ROOT)}:{scenario.location.line}"
            proof = ProofScenario(location, scenario.name, tuple(guards))
            for point in set(tags) & set(POINTS):
                found[point].append(proof)
    return found


def run(tags: str, mutation: str | None = None) -> dict[str, Outcome]:
    """Run the scenarios that a tag expression selects; return outcomes by location."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            *[sys.executable, "-m", "behave", "--no-skipped", f"--tags={tags}"],
            *["--format=json", f"--outfile={report}"],
        ]
        if mutation is not None:
            command += ["-D", f"mutation={mutation}"]
        finished = subprocess.run(
            [*command, str(FEATURES.relative_to(ROOT))],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
        )
        text = report.read_text() if report.exists() else ""
    if not text.strip():
        raise SystemExit(f"behave wrote no report:\n{finished.stdout}{finished.stderr}")
    return dict(_outcomes(json.loads(text)))


def prove(point: str, scenarios: list[ProofScenario]) -> Iterator[Proof]:
    """Check the guards of all scenarios of one point."""
    if not scenarios:
        yield Proof(point, "", "", MISSING)
        return
    baseline = run(f"@{point}")
    for scenario in scenarios:
        if not scenario.guards:
            yield Proof(point, "", scenario.name, UNGUARDED)
    for guard in sorted({guard for one in scenarios for guard in one.guards}):
        mutated = run(f"@{point} and @{GUARD_PREFIX}{guard}", guard)
        for scenario in scenarios:
            if guard in scenario.guards:
                yield _judge(point, guard, scenario, baseline, mutated)


def main() -> int:
    """Check the points selected by the arguments and print a table."""
    chosen = [argument.removeprefix("@") for argument in sys.argv[1:]] or list(POINTS)
    unknown = set(chosen) - set(POINTS)
    if unknown:
        print(f"no such point: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    by_point = scenarios_by_point()
    proofs: list[Proof] = []
    print(f"{'point':<18} {'guard switched off':<28} {'verdict':<22} scenario")
    for point in chosen:
        for proof in prove(point, by_point[point]):
            proofs.append(proof)
            print(
                f"{point:<18} {proof.guard:<28} {proof.verdict:<22} {proof.scenario}",
                flush=True,
            )
            if proof.verdict != PROVED and proof.detail:
                print(f"    {proof.detail}", flush=True)
    proved = sum(proof.verdict == PROVED for proof in proofs)
    points = {proof.point for proof in proofs}
    open_points = {proof.point for proof in proofs if proof.verdict != PROVED}
    print(
        f"{proved} of {len(proofs)} proofs hold; "
        f"{len(points - open_points)} of {len(points)} points are proved whole"
    )
    return 1 if open_points else 0


def _judge(
    point: str,
    guard: str,
    scenario: ProofScenario,
    baseline: Mapping[str, Outcome],
    mutated: Mapping[str, Outcome],
) -> Proof:
    before = baseline.get(scenario.location, Outcome("not run"))
    after = mutated.get(scenario.location, Outcome("not run"))
    verdict, detail = PROVED, ""
    if before.status != PASSED:
        verdict, detail = FAILED_UNMUTATED, f"{before.status}: {before.message}"
    elif after.status == PASSED:
        verdict = SURVIVED
    elif not after.has_failed_assertion:
        where = f"{after.status} in a step of type '{after.step_type}'"
        verdict, detail = FAILED_ELSEWHERE, f"{where}: {after.message}"
    return Proof(point, guard, scenario.name, verdict, detail)


def _outcomes(features: list[dict[str, Any]]) -> Iterator[tuple[str, Outcome]]:
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                yield element["location"], _outcome(element)


def _outcome(element: dict[str, Any]) -> Outcome:
    for step in element["steps"]:
        result = step.get("result")
        if result is not None and result["status"] != PASSED:
            lines = result.get("error_message", "")
            text = lines if isinstance(lines, str) else "\n".join(lines)
            last = text.strip().splitlines()[-1:] or [""]
            return Outcome(result["status"], step["step_type"], last[0][:300])
    return Outcome(element.get("status", "untested"))


if __name__ == "__main__":
    sys.exit(main())
