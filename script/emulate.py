"""Replay a load on hundreds of proxies in simulated time, several policies together.

Usage:
  emulate SCENARIO [--json=FILE] [--plot=FILE] [--quiet]
  emulate --help

Options:
  --json=FILE  Write all figures there.
  --plot=FILE  Write the part answered in time over time there, as PNG or SVG.
  --quiet      Say nothing of the progress.

Scenarios are in examples/emulator; docs/decisions/shared-pools.md says what they show.
"""

import sys
from collections.abc import Callable
from pathlib import Path

from docopt import docopt
from dogwoodspool_common import shut_down_logging
from dogwoodspool_emulator import Emulation, ScenarioError, read_scenario
from dogwoodspool_emulator.models import Scenario, Variant
from dogwoodspool_emulator.report import Row, as_json, as_table, save_plot
from loguru import logger


def main() -> int:
    """Emulate a scenario and print the outcomes of its requests."""
    arguments = docopt(__doc__ or "")
    logger.remove()
    try:
        scenario = read_scenario(Path(arguments["SCENARIO"]))
    except ScenarioError as error:
        print(f"emulate: {error}", file=sys.stderr)
        return 2
    rows = [
        emulate_variant(scenario, variant, proxies, is_quiet=arguments["--quiet"])
        for variant in scenario.variants
        for proxies in scenario.proxies
    ]
    print(as_table(rows))
    if arguments["--json"]:
        Path(arguments["--json"]).write_text(as_json(rows) + "\n")
    if arguments["--plot"]:
        save_plot(rows, Path(arguments["--plot"]))
    shut_down_logging()
    return 0


def emulate_variant(
    scenario: Scenario, variant: Variant, proxies: int, *, is_quiet: bool
) -> Row:
    """Emulate one variant with one number of proxies, once per seed."""
    outcomes = []
    for seed in scenario.seeds:
        label = f"{variant.name}, {proxies} proxies, seed {seed}"
        progress = None if is_quiet else progress_printer(label)
        emulation = Emulation(scenario, variant, proxies=proxies, seed=seed)
        outcomes.append(emulation.run(progress))
    return Row(variant.name, proxies, tuple(outcomes))


def progress_printer(label: str) -> Callable[[float], None]:
    """Return a function that prints the completed fraction of an emulation."""

    def show(fraction: float) -> None:
        end = "\n" if fraction >= 1 else ""
        print(f"\r{label}: {fraction:4.0%}", end=end, file=sys.stderr, flush=True)

    return show


if __name__ == "__main__":
    sys.exit(main())
