"""Run days by hand.

Usage:
  replaced_control FIRST_SEED DAYS [--proxies=N] [--ways=WAYS] [--zones=ZONES]
                   [--gap=SECONDS] [--calm=SECONDS] [--changes=KIND]
                   [--restarts=KIND] [--cores=KIND] [--spare-edges] [--kept=N]
                   [--callers=KIND] [--pause=SECONDS] [--busy=N] [--busy-callers=N]
                   [--paused=KIND] [--net=NET] [--folder=PATH]

Options:
  --proxies=N     Number of proxies [default: 9].
  --ways=WAYS     What lost machines do with connections, separated by commas
                  [default: refuses,resets,accepts,unanswered,frozen,dark].
  --zones=ZONES   Failure domains of the proxies, in turn, without "zone-"
                  [default: a,a,a,a,b,b,b,c,c].
  --gap=SECONDS   Time between two losses [default: 9].
  --calm=SECONDS  Time without a loss before all lose power [default: 5].
  --changes=KIND  steady, bursts, pairs, many or mixed [default: mixed].
  --restarts=KIND  How proxies are restarted: none, killed, stopped or mixed
                  [default: mixed].
  --cores=KIND    Control processes that are restarted with their disks: none, one
                  at a time or all [default: none].
  --spare-edges   Only control processes lose their power at the end.
  --kept=N        Sessions kept open at each proxy [default: 20].
  --callers=KIND  What callers ask for: unknown and removed databases all the time
                  (asking), or hardly ever (quiet) [default: asking].
  --pause=SECONDS  Longest time from a begin to the first statement, for quiet callers
                  [default: 5].
  --busy=N        Number of proxies that further callers keep busy [default: 0].
  --busy-callers=N  Number of callers who keep one proxy busy [default: 200].
  --paused=KIND   When the last proxy's process is stopped: none, throughout (over the
                  replacements of all control processes) or often [default: none].
  --net=NET       First three parts of the loopback addresses [default: 127.0.31].
  --folder=PATH   Where logs are kept [default: out/replaced_control].

What a day shows differs between runs of the same seed.
"""

import shutil
import signal
import sys
import traceback
from collections import Counter
from pathlib import Path
from typing import Any, Final

from docopt import docopt

from .const import STABLE_SECONDS
from .delays import delays
from .plan import Plan
from .record import Finding, Record
from .run import ReplacedControl
from .trace import trace

TRACED_FINDINGS: Final = 40


def main() -> int:
    """Run the days one after the other; return 1 if a finding counts."""
    arguments = docopt(__doc__ or "")
    # Ends the day like an interruption, with all processes that it started.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(1))
    first, days = int(arguments["FIRST_SEED"]), int(arguments["DAYS"])
    is_clean = True
    for seed in range(first, first + days):
        folder = Path(arguments["--folder"]).resolve() / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        day = ReplacedControl(seed, folder, arguments["--net"], read_plan(arguments))
        try:
            day.run()
        except Exception:
            traceback.print_exc()
            is_clean = False
        print(f"seed={seed} {summary(day.record)} folder={folder}", flush=True)
        counted = [one for one in day.record.findings if one.counts]
        is_clean = is_clean and not counted
        slowest = max(
            delays(folder, day.record.edge_clock_starts),
            key=lambda one: one.seconds,
            default="none",
        )
        print(f"  seed={seed} slowest view: {slowest}", flush=True)
        for line in grouped(day.record):
            print(f"  seed={seed} {line}", flush=True)
        write_down(day.record, folder)
    return 0 if is_clean else 1


def read_plan(arguments: dict[str, Any]) -> Plan:
    """Return the kind of day that the options describe."""
    return Plan(
        edges=int(arguments["--proxies"]),
        edge_zones=[f"zone-{one}" for one in str(arguments["--zones"]).split(",")],
        ways=str(arguments["--ways"]).split(","),
        gap_seconds=float(arguments["--gap"]),
        calm_seconds=float(arguments["--calm"]),
        changes=str(arguments["--changes"]),
        restarts=str(arguments["--restarts"]),
        core_restarts=str(arguments["--cores"]),
        spares_edges=bool(arguments["--spare-edges"]),
        kept_sessions=int(arguments["--kept"]),
        callers=str(arguments["--callers"]),
        max_pause_seconds=float(arguments["--pause"]),
        busy_edges=int(arguments["--busy"]),
        busy_callers=int(arguments["--busy-callers"]),
        paused=str(arguments["--paused"]),
    )


def grouped(record: Record) -> list[str]:
    """Return the findings, those of one proxy and database in a line."""
    together: dict[tuple[str, ...], list[Finding]] = {}
    for one in record.findings:
        key = (one.group, one.host, one.database)
        together.setdefault(key, []).append(one)
    return [
        f"{group}: {len(ones)} from {ones[0].at:.3f} to {ones[-1].at:.3f}, "
        f"{max(one.lateness for one in ones):.3f} s after the acknowledgement, "
        f"{ones[0].edge_age:.3f} s after the proxy's start, "
        f"{ones[0].since_power_loss:.3f} s after the loss of all power, "
        f"{max(one.control_age for one in ones):.3f} s after an answer of control: "
        f"{ones[0].what}"
        for (group, _, _), ones in together.items()
    ]


def summary(record: Record) -> str:
    """Return what a day showed, in a line."""
    counted = Counter(one.kind for one in record.findings if one.counts)
    excused = Counter(one.kind for one in record.findings if not one.counts)
    answers = Counter(one.word for one in record.answers)
    lateness = [
        (record.age(one.edge, one.sent_at) > STABLE_SECONDS, record.lateness(one))
        for one in record.answers
    ]
    uses = [record.lateness(one) for one in record.answers if one.is_use]
    worst = max((seconds for _, seconds in lateness), default=0.0)
    stable = max((seconds for is_stable, seconds in lateness if is_stable), default=0.0)
    return (
        f"counted={dict(counted) or 'none'} excused={dict(excused) or 'none'} "
        f"versions={len(record.versions)} answers={dict(answers)} "
        f"latest_s={worst:.3f} latest_without_events_s={stable:.3f} "
        f"latest_use_s={max(uses, default=0.0):.3f}"
    )


def write_down(record: Record, folder: Path) -> None:
    """Keep what was seen beside the logs; times are seconds since the start."""
    zero = record.started_at
    answers = [
        f"{one.sent_at - zero:.3f} {one.answered_at - zero:.3f} {one.edge} {one.life} "
        f"{one.database} {one.word} {one.way}"
        for one in record.answers
    ]
    notes = [*record.notes, *grouped(record)]
    for finding in record.findings[:TRACED_FINDINGS]:
        notes += ["", str(finding), *trace(record, finding, folder)]
    (folder / "notes.txt").write_text("\n".join(notes))
    (folder / "answers.txt").write_text("\n".join(answers))


if __name__ == "__main__":
    sys.exit(main())
