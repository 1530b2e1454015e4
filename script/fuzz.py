"""Run the property and state-machine tests with random seeds and more examples."""

import random
import sys
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from hypothesis import core, settings
from hypothesis.stateful import run_state_machine_as_test

ROOT: Final = Path(__file__).resolve().parent.parent
USAGE: Final = "usage: script/fuzz SECONDS [SEED]"
EXAMPLES: Final = 200
RUN_MACHINE: Final = "run_state_machine_as_test"
STATEFUL_MODULE: Final = "hypothesis.stateful"
# Attribute in which hypothesis stores the settings of a wrapped test function.
SETTINGS_ATTRIBUTE: Final = "_hypothesis_internal_use_settings"
SEED_ARGUMENT: Final = 2
MAX_SEED: Final = 2**32


def property_tests() -> list[unittest.TestCase]:
    """Return the property tests and state-machine tests of hypothesis."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    tests = list(_flatten(suite))
    _extend_state_machines()
    return [
        test
        for test in tests
        if _settings_owner(test) is not None or _runs_machine(test)
    ]


def _flatten(
    suite: unittest.TestSuite | unittest.TestCase,
) -> Iterator[unittest.TestCase]:
    if isinstance(suite, unittest.TestCase):
        yield suite
        return
    for part in suite:
        yield from _flatten(part)


def _runs_machine(test: unittest.TestCase) -> bool:
    """Return whether a test's module imports ``run_state_machine_as_test``."""
    return hasattr(sys.modules[type(test).__module__], RUN_MACHINE)


def _extend_state_machines() -> None:
    """Make test modules that import ``run_state_machine_as_test`` run more examples."""
    for name, module in list(sys.modules.items()):
        if name.startswith("tests.") and hasattr(module, RUN_MACHINE):
            setattr(module, RUN_MACHINE, _run_extended)


def _run_extended(machine: Any, *, settings: Any = None, **options: Any) -> None:
    run_state_machine_as_test(machine, settings=_extended_settings(settings), **options)


def _extended_settings(own: Any) -> Any:
    return settings(own, derandomize=False, database=None, max_examples=EXAMPLES)


def _settings_owner(test: unittest.TestCase) -> Any:
    """Return the object with a test's hypothesis settings; None for a plain test."""
    method = getattr(type(test), test._testMethodName, None)
    if getattr(method, "is_hypothesis_test", False):
        return method
    is_machine = any(base.__module__ == STATEFUL_MODULE for base in type(test).__mro__)
    return type(test) if is_machine else None


def extend(test: unittest.TestCase) -> None:
    """Make one test run more and random examples instead of its derandomized ones."""
    owner = _settings_owner(test)
    if owner is None:
        return
    name = "settings" if isinstance(owner, type) else SETTINGS_ATTRIBUTE
    own = getattr(owner, name, settings())
    setattr(owner, name, _extended_settings(own))


def run_round(number: int) -> bool:
    """Run every property test with one seed; return whether all passed."""
    core.global_force_seed = number
    suite = unittest.TestSuite()
    for test in property_tests():
        extend(test)
        suite.addTest(test)
    result = unittest.TextTestRunner(verbosity=0).run(suite)
    return result.wasSuccessful() and result.testsRun > 0


def main() -> int:
    """Run rounds with consecutive seeds until the time is over or a round fails."""
    try:
        seconds = float(sys.argv[1])
        is_given = len(sys.argv) > SEED_ARGUMENT
        number = (
            int(sys.argv[SEED_ARGUMENT]) if is_given else random.randrange(MAX_SEED)
        )
    except (IndexError, ValueError):
        print(USAGE, file=sys.stderr)
        return 2
    ends_at = time.monotonic() + seconds
    while True:
        print(f"seed {number}", flush=True)
        if not run_round(number):
            print(f"failed with seed {number}: script/fuzz 0 {number} runs it again")
            return 1
        if time.monotonic() >= ends_at:
            return 0
        number += 1


if __name__ == "__main__":
    sys.exit(main())
