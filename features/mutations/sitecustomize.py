"""Switch one guard off in a program that the mutation check starts.

The check sets ``FEATURES_MUTATION`` and puts this folder on the path; Python then
loads this module at the start of each program. Installed programs do not contain it.
"""

import importlib
import os
import sys
import traceback
from pathlib import Path

EXIT_NOT_APPLIED = 70
_NAME = os.environ.get("FEATURES_MUTATION", "")
_ARGUMENTS = getattr(sys, "orig_argv", [])


def _apply(name: str) -> None:
    module = importlib.import_module("guards")
    guard = module.GUARDS[name]
    if any(Path(argument).name == guard.program for argument in _ARGUMENTS[:3]):
        guard.switch_off()
        print(f"mutation={name}", file=sys.stderr, flush=True)


if _NAME:
    try:
        _apply(_NAME)
    except Exception:  # noqa: BLE001
        # Python would continue without the mutation, and its guard would seem to
        # have no effect.
        traceback.print_exc()
        os._exit(EXIT_NOT_APPLIED)
