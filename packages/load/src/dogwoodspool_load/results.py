"""Write the result, latency logs and plot of a run."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

from dogwoodspool_common.const import MILLISECONDS

from .const import FILE_PLOT, FILE_RESULTS, SHARED_MACHINE_NOTE
from .models import Outcome, Violation
from .plot import plot_run
from .runner import RunOutcome
from .statistics import Sample

MAX_VIOLATIONS_SHOWN: Final = 20


def build_result(outcome: RunOutcome) -> dict[str, Any]:
    """Return the result of a run as JSON data."""
    plan, samples = outcome.plan, outcome.statistics.samples
    return {
        "name": plan.name,
        "note": SHARED_MACHINE_NOTE,
        "seconds": plan.seconds,
        "rate": plan.rate,
        "callers": plan.callers,
        "deadline_ms": plan.deadline_ms,
        "goodput": round(goodput(outcome), 1),
        "outcomes": dict(Counter(str(sample.outcome) for sample in samples)),
        "kinds": outcome.statistics.summary(),
        "reads_by": dict(outcome.reads_by),
        "replica_share": replica_share(outcome),
        "faults": [
            {
                "at": round(injected.at - outcome.begins_at, 3),
                "fault": str(injected.fault),
                "detail": injected.detail,
            }
            for injected in outcome.faults
        ],
        "violations": summarize_violations(outcome.violations),
    }


def goodput(outcome: RunOutcome) -> float:
    """Return requests per second that succeeded within their deadline.

    The latency counts from the time at which a request was due.
    """
    plan = outcome.plan
    limit = plan.deadline_ms / MILLISECONDS if plan.deadline_ms else None
    ends_at = outcome.begins_at + plan.seconds
    good = [
        sample
        for sample in outcome.statistics.samples
        if _is_good(sample, limit) and sample.at <= ends_at
    ]
    return len(good) / plan.seconds


def replica_share(outcome: RunOutcome) -> float | None:
    """Return the share of reads that replicas served; None without reads."""
    total = outcome.reads_by.total()
    return round(outcome.reads_by["replica"] / total, 4) if total else None


def summarize_violations(violations: Sequence[Violation]) -> dict[str, Any]:
    """Return counts by rule and the first violations in full."""
    return {
        "by_rule": dict(Counter(str(one.rule) for one in violations)),
        "first": [asdict(one) for one in violations[:MAX_VIOLATIONS_SHOWN]],
    }


def write_run(outcome: RunOutcome, folder: Path, command: str) -> dict[str, Any]:
    """Write the result, HdrHistogram logs and plot of a run; return the result."""
    result = {"command": command, **build_result(outcome)}
    text = json.dumps(result, indent=1) + "\n"
    (folder / FILE_RESULTS).write_text(text)
    outcome.statistics.write_logs(folder, outcome.plan.seconds)
    plot_run(
        folder / FILE_PLOT,
        command,
        outcome.statistics.samples,
        outcome.faults,
        outcome.begins_at,
    )
    return result


def _is_good(sample: Sample, limit: float | None) -> bool:
    return sample.outcome is Outcome.OK and (limit is None or sample.seconds <= limit)
