"""Measure the users' deployments: failover gap, replica reads, latency, overload.

Usage:
  measure.py [options]

Options:
  --deployment NAME  Only this one of the deployments.
  --quick            Few repetitions and short runs.
  --only PARTS       Only these parts, separated by commas.
"""

import json
import os
import sys
import tempfile
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Final

from docopt import docopt
from dogwoodspool_load.const import SHARED_MACHINE_NOTE
from dogwoodspool_load.failover import FailoverMeter
from dogwoodspool_load.final_read import create_tables
from dogwoodspool_load.gaps import summarize_gaps
from dogwoodspool_load.mixes import scale_write_weight
from dogwoodspool_load.overhead import added_latency_ms, measure_overhead
from dogwoodspool_load.results import build_result
from dogwoodspool_load.runner import RunOutcome, RunPlan, run_load
from dogwoodspool_load.schedule import FaultAction, parse_schedule
from dogwoodspool_load.shapes import (
    DEPLOYMENTS,
    UserDeployment,
    adapt_deployment,
    get_deployment,
)
from dogwoodspool_testbed import Deployment

ROOT: Final = Path(__file__).resolve().parent.parent
RESULTS: Final = ROOT / "measurements"

# With this service time the slots of the backend servers limit the throughput in
# overload, not the cores of the machine: a group of three servers executes 450
# statements per second.
OVERLOAD_STATEMENT_MS: Final = 20.0
OVERLOAD_DEADLINE_MS: Final = 400
OVERLOAD_CALLERS: Final = 120
OVERLOAD_WRITE_FACTOR: Final = 0.25
MULTIPLIERS: Final = (1, 2, 3)
NO_LIMIT: Final = 10_000
LONG_DEADLINE_MS: Final = 60_000
STEADY_RATE: Final = 60.0
STEADY_CALLERS: Final = 24
SKEWED_PROXIES: Final = 2


@dataclass(frozen=True)
class Sizes:
    """Durations of the runs in seconds and numbers of repetitions."""

    kills: int
    promotions: int
    statements: int
    steady_seconds: float
    faults_seconds: float
    capacity_seconds: float
    overload_seconds: float


FULL: Final = Sizes(9, 9, 300, 20, 26, 6, 8)
QUICK: Final = Sizes(2, 2, 60, 6, 26, 3, 4)


class Measurement:
    """Measure one user's deployment part by part."""

    def __init__(self, target: UserDeployment, sizes: Sizes, folder: Path) -> None:
        self._target = target
        self._sizes = sizes
        self._folder = folder

    def parts(self) -> Mapping[str, Callable[[], dict[str, Any]]]:
        """Return the measurement of each part by name."""
        return {
            "failover": self.failover,
            "overhead": self.overhead,
            "steady": self.steady,
            "faults": self.faults,
            "overload": self.overload,
        }

    def failover(self) -> dict[str, Any]:
        """Measure failovers after kills, then switchovers, one at a time."""
        groups = self._target.shape.groups
        results = {}
        with Deployment(self._target.shape) as deployment:
            create_tables(deployment)
            meter = FailoverMeter(deployment)
            for action, count in (
                (FaultAction.KILL_PRIMARY, self._sizes.kills),
                (FaultAction.PROMOTE, self._sizes.promotions),
            ):
                gaps = []
                for number in range(count):
                    gap = meter.measure(groups[number % len(groups)], action)
                    gaps.append(gap)
                    print_progress(
                        f"{action} {number + 1}: {gap.gap_ms} ms {gap.phases_ms}"
                    )
                results[str(action)] = summarize_gaps(gaps)
        return results

    def overhead(self) -> dict[str, Any]:
        """Time one caller's statements through a proxy and directly to a server."""
        with Deployment(self._target.shape) as deployment:
            create_tables(deployment)
            latencies = measure_overhead(deployment, self._sizes.statements)
        return {"latencies": latencies, "added_p50_ms": added_latency_ms(latencies)}

    def steady(self) -> dict[str, Any]:
        """Run the user's request mix at a low rate without faults."""
        return build_result(self._run("steady", self._sizes.steady_seconds, ""))

    def faults(self) -> dict[str, Any]:
        """Run the user's request mix during a schedule of faults."""
        shape = self._target.shape
        first, second, third = shape.groups
        domain = shape.failure_domains[0]
        schedule = (
            f"2 lag {first}-2 400; 3 kill-primary {first}; 6 cut {domain}; "
            f"10 heal {domain}; 11 silence {third}-2; 12 kill-leader; "
            f"15 kill-proxy proxy-4; 16 terminate-proxy proxy-5; "
            f"17 promote {second}; 20 freeze-primary {third}"
        )
        return build_result(self._run("faults", self._sizes.faults_seconds, schedule))

    def overload(self) -> dict[str, Any]:
        """Offer one, two and three times the capacity to each variant.

        The variants are: with and without admission, reads served only by primaries,
        and skewed load with leased and with static shares of connections.
        """
        shape = self._target.shape
        share = (shape.standin.connections - 2) // shape.proxies
        plan = self._overload_plan(0.0)
        results: dict[str, Any] = {}
        capacity = 0.0
        for name, settings, deadline_ms, proxies in (
            ("dogwoodspool", {}, OVERLOAD_DEADLINE_MS, None),
            (
                "no admission",
                {"queue_limit": NO_LIMIT, "deadline_ms": LONG_DEADLINE_MS},
                None,
                None,
            ),
            (
                "primary-only reads",
                {"write_ack": "primary", "replica_wait_ms": 0},
                OVERLOAD_DEADLINE_MS,
                None,
            ),
            ("skewed, leased shares", {}, OVERLOAD_DEADLINE_MS, SKEWED_PROXIES),
            (
                "skewed, static shares",
                {"base_connections": share},
                OVERLOAD_DEADLINE_MS,
                SKEWED_PROXIES,
            ),
        ):
            target = adapt_deployment(self._target, OVERLOAD_STATEMENT_MS, settings)
            with Deployment(target.shape) as deployment:
                create_tables(deployment)
                if name == "primary-only reads":
                    stop_replication(deployment)
                if not capacity:
                    capacity = self._capacity(deployment, plan)
                    results["capacity"] = round(capacity, 1)
                else:
                    self._warm_up(deployment, replace(plan, proxies=proxies), capacity)
                results[name] = [
                    self._run_at_multiplier(
                        deployment,
                        replace(plan, deadline_ms=deadline_ms, proxies=proxies),
                        capacity,
                        multiplier,
                    )
                    for multiplier in MULTIPLIERS
                ]
        return results

    def _capacity(self, deployment: Deployment, plan: RunPlan) -> float:
        callers = sum(
            deployment.shape.standin.slots for _standin in deployment.standins
        )
        closed = replace(
            plan, name="capacity", callers=callers, seconds=self._sizes.capacity_seconds
        )
        # The first run opens the connections of the proxies and is not measured.
        run_load(deployment, replace(closed, name="warm"), self._folder, print_progress)
        outcome = run_load(deployment, closed, self._folder, print_progress)
        capacity = float(build_result(outcome)["goodput"])
        print_progress(f"capacity {capacity:.0f} requests/s with {callers} callers")
        return capacity

    def _warm_up(self, deployment: Deployment, plan: RunPlan, capacity: float) -> None:
        warm = replace(
            plan, name="warm", rate=capacity, seconds=self._sizes.capacity_seconds
        )
        run_load(deployment, warm, self._folder, lambda _line: None)

    def _run_at_multiplier(
        self, deployment: Deployment, plan: RunPlan, capacity: float, multiplier: int
    ) -> dict[str, Any]:
        offered = replace(plan, name=f"x{multiplier}", rate=capacity * multiplier)
        outcome = run_load(deployment, offered, self._folder, lambda _line: None)
        # Goodput counts the answers that arrive within the caller's deadline, even if
        # no deadline was sent to the proxies.
        outcome.plan = replace(offered, deadline_ms=OVERLOAD_DEADLINE_MS)
        result = build_result(outcome)
        print_progress(
            f"x{multiplier}: goodput {result['goodput']}/s {result['outcomes']}"
        )
        return {"multiplier": multiplier, **result}

    def _overload_plan(self, rate: float) -> RunPlan:
        return RunPlan(
            name="overload",
            mix=scale_write_weight(self._target.mix, OVERLOAD_WRITE_FACTOR),
            seconds=self._sizes.overload_seconds,
            rate=rate,
            callers=OVERLOAD_CALLERS,
            max_attempts=1,
            deadline_ms=OVERLOAD_DEADLINE_MS,
            roam_probability=0.0,
        )

    def _run(self, name: str, seconds: float, schedule: str) -> RunOutcome:
        plan = RunPlan(
            name=name,
            mix=self._target.mix,
            seconds=seconds,
            rate=STEADY_RATE,
            callers=STEADY_CALLERS,
            faults=parse_schedule(schedule),
        )
        with Deployment(self._target.shape) as deployment:
            create_tables(deployment)
            return run_load(deployment, plan, self._folder, print_progress)


def stop_replication(deployment: Deployment) -> None:
    """Stop replication, so that no replica is recent enough for a session's read."""
    primaries = {deployment.primary(group).name for group in deployment.shape.groups}
    for standin in deployment.standins:
        if standin.name not in primaries:
            deployment.fault(standin, stop_replication=True)


def print_progress(line: str) -> None:
    """Print a progress line."""
    print(f"  {line}", flush=True)


def write_part(name: str, part: str, quick: bool, content: dict[str, Any]) -> None:
    """Write the result of a part with its command and the machine's load average."""
    RESULTS.mkdir(exist_ok=True)
    arguments = f"--deployment {name} --only {part}{' --quick' if quick else ''}"
    document = {
        "command": f"script/measure {arguments}",
        "note": SHARED_MACHINE_NOTE,
        "load_average": [round(value, 1) for value in os.getloadavg()],
        "cores": os.cpu_count(),
        "result": content,
    }
    path = RESULTS / f"{name}-{part}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")


def print_part(name: str, part: str, content: dict[str, Any]) -> None:
    """Print the results of one part."""
    print(f"{name} {part}:")
    match part:
        case "failover":
            for action, one in content.items():
                print(
                    f"  {action}: gap median "
                    f"{one['gap_ms']['median']:.0f} ms, worst "
                    f"{one['gap_ms']['worst']:.0f} ms; at the slowest proxy median "
                    f"{one['slowest_proxy_ms']['median']:.0f} ms, worst "
                    f"{one['slowest_proxy_ms']['worst']:.0f} ms (n={one['count']}); "
                    f"control's phases {one['phases_ms_median']}"
                )
        case "overhead":
            for way, figures in content["latencies"].items():
                print(f"  {way}: {figures}")
            print(f"  added at the median, ms: {content['added_p50_ms']}")
        case "overload":
            print(f"  capacity {content['capacity']} requests/s")
            for variant, runs in content.items():
                if isinstance(runs, list):
                    shown = [f"x{run['multiplier']}: {run['goodput']}" for run in runs]
                    print(f"  {variant}: goodput/s {', '.join(shown)}")
        case _:
            print(f"  replica share of reads {content['replica_share']}")
            for kind, figures in content["kinds"].items():
                print(f"  {kind}: {figures}")
    print(f"  violations: {violations_in(content) or 'none'}", flush=True)


def violations_in(content: Any) -> dict[str, int]:
    """Return the number of violations by rule, summed over all runs of a part."""
    found: dict[str, int] = {}
    if isinstance(content, dict):
        if "by_rule" in content:
            return dict(content["by_rule"])
        children: Sequence[Any] = list(content.values())
    else:
        children = content if isinstance(content, list) else []
    for child in children:
        for rule, count in violations_in(child).items():
            found[rule] = found.get(rule, 0) + count
    return found


def main() -> int:
    """Measure the deployments and parts selected by the arguments."""
    arguments = docopt(__doc__ or "")
    names = [arguments["--deployment"]] if arguments["--deployment"] else DEPLOYMENTS
    quick = bool(arguments["--quick"])
    chosen = arguments["--only"].split(",") if arguments["--only"] else None
    parts_with_violations = 0
    with tempfile.TemporaryDirectory(prefix="dogwoodspool-measure-") as folder:
        for name in names:
            sizes = QUICK if quick else FULL
            measurement = Measurement(get_deployment(name), sizes, Path(folder))
            for part, measure in measurement.parts().items():
                if chosen and part not in chosen:
                    continue
                content = measure()
                write_part(name, part, quick, content)
                print_part(name, part, content)
                parts_with_violations += bool(violations_in(content))
    return 1 if parts_with_violations else 0


if __name__ == "__main__":
    sys.exit(main())
