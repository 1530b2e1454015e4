"""Run load against one user's deployment on loopback and check what callers saw.

Usage:
  dogwoodspool-load run --deployment NAME --out FOLDER [options]
  dogwoodspool-load (-h | --help)

Each option --NAME has the environment variable DOGWOODSPOOL_NAME. The run starts
the deployment's processes, stops them after it and leaves in FOLDER: history.jsonl,
results.json, latencies-KIND.hdr and latency.png. The exit status is 1 where the
history breaks a rule.

Options:
  --deployment NAME    chaguanas or hanbit.
  --seconds N          Length of the run.
  --rate R             Requests per second of all callers; 0 for a closed loop.
  --callers N          Callers, spread over the groups.
  --statement-ms MS    Service time of a statement at the stand-ins.
  --deadline-ms MS     Deadline that callers state with each request.
  --seed N             Seed of the callers' choices.
  --faults SCHEDULE    File or text such as '3 kill-primary chat1; 6 promote chat2'.
                       Actions: kill-primary GROUP, freeze-primary GROUP, promote
                       GROUP, cut FAILURE-DOMAIN, heal FAILURE-DOMAIN, kill-proxy
                       NAME, terminate-proxy NAME, kill-leader, thaw NAME, restart
                       NAME, lag SERVER MILLISECONDS, silence SERVER.
  --out FOLDER         Where the results go.
  -h --help            Show this.
"""

import sys
from pathlib import Path
from typing import Any

from dogwoodspool_common import (
    DogwoodspoolError,
    read_settings,
    run_program,
    set_up_logging,
)
from dogwoodspool_testbed import Deployment

from .const import PROGRAM
from .final_read import create_tables
from .results import write_run
from .runner import RunPlan, run_load
from .schedule import read_schedule
from .settings import LoadSettings
from .shapes import adapt_deployment, get_deployment

EXIT_VIOLATION = 1
EXIT_FAILED = 3


def main() -> int:
    """Run the load and return the exit status."""
    settings = read_settings(__doc__ or "", LoadSettings)
    set_up_logging(PROGRAM, settings.deployment, "INFO")
    try:
        result = _run(settings)
    except DogwoodspoolError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_FAILED
    print_result(result, settings.out)
    return EXIT_VIOLATION if result["violations"]["by_rule"] else 0


def run() -> None:
    """Run the program and exit with its status."""
    run_program(main)


def print_result(result: dict[str, Any], folder: Path) -> None:
    """Print the result of a run."""
    for kind, figures in result["kinds"].items():
        print(f"{kind}: {figures}")
    print(f"replica share of reads: {result['replica_share']}")
    for fault in result["faults"]:
        print(f"fault at {fault['at']} s: {fault['fault']} ({fault['detail']})")
    print(f"violations: {result['violations']['by_rule'] or 'none'}")
    for violation in result["violations"]["first"]:
        print(f"  {violation}")
    print(f"results in {folder}")


def _run(settings: LoadSettings) -> dict[str, Any]:
    faults = read_schedule(settings.faults)
    target = adapt_deployment(
        get_deployment(settings.deployment), settings.statement_ms
    )
    settings.out.mkdir(parents=True, exist_ok=True)
    plan = RunPlan(
        name=settings.deployment,
        mix=target.mix,
        seconds=settings.seconds,
        rate=settings.rate,
        callers=settings.callers,
        faults=faults,
        deadline_ms=settings.deadline_ms,
        seed=settings.seed,
    )
    with Deployment(target.shape) as deployment:
        create_tables(deployment)
        outcome = run_load(deployment, plan, settings.out)
    return write_run(
        outcome, settings.out, "dogwoodspool-load " + _arguments_without_out()
    )


def _arguments_without_out() -> str:
    """Return the arguments without ``--out``, whose path is private to the machine."""
    arguments = sys.argv[1:]
    if "--out" in arguments:
        at = arguments.index("--out")
        arguments = arguments[:at] + arguments[at + 2 :]
    return " ".join(
        f"'{argument}'" if " " in argument else argument for argument in arguments
    )
