"""Run callers and faults against a deployment, and check the recorded history."""

import re
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Final

import urllib3
from dogwoodspool_sessions import TokenCodec
from dogwoodspool_testbed import Deployment
from dogwoodspool_testbed.const import TOKEN_KEY

from .attempts import CallerOptions
from .caller import Caller
from .checker import check_history
from .const import FILE_HISTORY, MAX_ATTEMPTS, ROAM_PROBABILITY
from .faults import FaultInjector, InjectedFault
from .final_read import read_final
from .history import HistoryRecorder, read_history
from .mixes import RequestPlanner, RequestProfile
from .models import GroupFinal, Violation
from .schedule import ScheduledFault
from .statistics import RunStatistics

READS_SERVED: Final = re.compile(r'reads_total\{.*served_by="(\w+)"\} (\d+)')
PROGRESS_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class RunPlan:
    """Parameters of one run.

    Attributes:
        rate: requests per second of all callers together; 0 is a closed loop.
        proxies: number of proxies, from the first on, that callers use; None for
            all.
        seed: seed of the random choices of every caller.
    """

    name: str
    mix: Sequence[RequestProfile]
    seconds: float
    rate: float
    callers: int
    faults: tuple[ScheduledFault, ...] = ()
    max_attempts: int = MAX_ATTEMPTS
    deadline_ms: int | None = None
    roam_probability: float = ROAM_PROBABILITY
    proxies: int | None = None
    seed: int = 1


@dataclass(slots=True)
class RunOutcome:
    """Outcome of one run.

    Attributes:
        begins_at: monotonic seconds at its start.
        reads_by: reads served by replicas and by primaries during the run.
    """

    plan: RunPlan
    begins_at: float
    statistics: RunStatistics
    faults: list[InjectedFault]
    reads_by: Counter[str]
    violations: list[Violation] = field(default_factory=list)


def run_load(
    deployment: Deployment,
    plan: RunPlan,
    folder: Path,
    report: Callable[[str], None] = print,
) -> RunOutcome:
    """Run callers and faults, then check the recorded history.

    The tables must exist. Names of callers begin with the plan's name, so that
    several runs can use one deployment one after the other.
    """
    path = folder / FILE_HISTORY
    recorder = HistoryRecorder(path)
    statistics = RunStatistics()
    stop = threading.Event()
    injected: list[InjectedFault] = []
    before = reads_served(deployment)
    callers = build_callers(deployment, plan, recorder, statistics)
    with ThreadPoolExecutor(len(callers) + 1, "caller") as executor:
        for connected in [executor.submit(one.connect) for one in callers]:
            connected.result()
        begins_at = time.monotonic()
        futures = [executor.submit(one.run, begins_at, stop) for one in callers]
        futures.append(
            executor.submit(
                FaultInjector(deployment).run, plan.faults, begins_at, stop, injected
            )
        )
        _report_progress(plan, statistics, begins_at, report)
        stop.set()
        for future in futures:
            future.result()
    recorder.close()
    reads_by = reads_served(deployment) - before
    outcome = RunOutcome(plan, begins_at, statistics, injected, reads_by)
    # The tables may contain rows of earlier runs; only those of this run are checked.
    finals = [_rows_of_run(final, plan.name) for final in read_final(deployment)]
    outcome.violations = check_history(read_history(path), finals)
    return outcome


def build_callers(
    deployment: Deployment,
    plan: RunPlan,
    recorder: HistoryRecorder,
    statistics: RunStatistics,
) -> list[Caller]:
    """Return the callers of a run, assigned to the groups round robin."""
    groups = deployment.shape.groups
    names = [f"{plan.name}-{number}" for number in range(plan.callers)]
    interval = plan.callers / plan.rate if plan.rate else 0.0
    options = CallerOptions(
        interval, plan.max_attempts, plan.deadline_ms, plan.roam_probability
    )
    codec = TokenCodec(bytes.fromhex(TOKEN_KEY))
    return [
        Caller(
            name,
            groups[number % len(groups)],
            deployment,
            deployment.proxies[: plan.proxies],
            RequestPlanner(
                plan.mix, name, names[number % len(groups) :: len(groups)], plan.seed
            ),
            options,
            recorder,
            statistics,
            codec,
            plan.seed,
        )
        for number, name in enumerate(names)
    ]


def reads_served(deployment: Deployment) -> Counter[str]:
    """Return the reads served by replicas and by primaries, summed over all proxies."""
    served: Counter[str] = Counter()
    for proxy in deployment.proxies:
        try:
            page = deployment.metrics(proxy)
        except urllib3.exceptions.HTTPError:
            continue  # The counters of a killed proxy are lost.
        for by, count in READS_SERVED.findall(page):
            served[by] += int(count)
    return served


def _report_progress(
    plan: RunPlan,
    statistics: RunStatistics,
    begins_at: float,
    report: Callable[[str], None],
) -> None:
    seen = 0
    while (elapsed := time.monotonic() - begins_at) < plan.seconds:
        time.sleep(min(PROGRESS_SECONDS, plan.seconds - elapsed))
        samples = statistics.samples
        counts = Counter(str(sample.outcome) for sample in samples[seen:])
        seen = len(samples)
        shown = " ".join(f"{name}={count}" for name, count in sorted(counts.items()))
        report(f"{plan.name} {time.monotonic() - begins_at:5.1f} s {shown}")


def _rows_of_run(final: GroupFinal, name: str) -> GroupFinal:
    prefix = f"{name}-"
    rows = tuple(row for row in final.rows if row.tag.startswith(prefix))
    return replace(final, rows=rows)
