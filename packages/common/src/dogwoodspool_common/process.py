"""Settings and life cycle of one process: flags, environment, signals."""

import json
import os
import signal
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

from docopt import docopt
from pydantic import BaseModel, ValidationError

from .clock import SystemClock
from .const import VERSION
from .errors import SettingsError
from .models import Address
from .signals import SignalWatcher, StopEvent

ENV_PREFIX: Final = "DOGWOODSPOOL_"
EXIT_BAD_SETTINGS: Final = 2
# The load time of this module stands for the start time of the process. The start time
# that the kernel reports may use another clock, for example in a time namespace. A
# start time in the future would keep a voter out of elections permanently; one in the
# distant past would let it vote against a leader it has just heard from.
_LOADED_AT: Final = SystemClock().now()

ModelT = TypeVar("ModelT", bound=BaseModel)


def read_settings(
    usage: str,
    model: type[ModelT],
    arguments: list[str] | None = None,
    environment: Mapping[str, str] | None = None,
) -> ModelT:
    """Read a process's settings from flags, then from environment variables.

    The flag ``--listen-port`` corresponds to the variable
    ``DOGWOODSPOOL_LISTEN_PORT`` and the model's field ``listen_port``. Flags take
    precedence. Flags in ``usage`` have no ``[default: ]``: defaults belong to the
    model.

    Raises:
        SettingsError: settings are invalid, with one line per value.
    """
    flags: Mapping[str, Any] = docopt(usage, argv=arguments, version=VERSION)
    variables = os.environ if environment is None else environment
    values: dict[str, Any] = {}
    for name in model.model_fields:
        flag = flags.get("--" + name.replace("_", "-"))
        variable = variables.get(ENV_PREFIX + name.upper())
        if flag not in (None, False, []):
            values[name] = flag
        elif variable is not None:
            values[name] = variable
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise SettingsError(_one_line_each(error)) from error


def run_program(main: Callable[[], int]) -> None:
    """Run a program's main function; print invalid settings and exit with status 2."""
    try:
        sys.exit(main())
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTINGS)


def process_started_at() -> float:
    """Return the start time of this process on the clock of ``SystemClock``.

    It is when the first of the system's modules was loaded; no message was received
    before it.
    """
    return _LOADED_AT


def stop_event_on_signals(
    actions: Mapping[signal.Signals, Callable[[], None]] | None = None,
) -> StopEvent:
    """Return an event that SIGTERM and SIGINT set; call it in the main thread.

    Args:
        actions: what to do on further signals, in the thread of ``SignalWatcher``.
    """
    stop = StopEvent()
    stops = dict.fromkeys((signal.SIGTERM, signal.SIGINT), stop.set)
    SignalWatcher({**stops, **(actions or {})}).set_up()
    return stop


def write_ready_file(path: Path | None, addresses: Mapping[str, Address]) -> None:
    """Write the addresses on which this process serves, to signal that it is ready.

    The file is replaced atomically, so that a reader never sees partial content.

    Example:
        >>> write_ready_file(Path("proxy.ready"), {"address": Address("::1", 3306)})
    """
    if path is None:
        return
    partial = path.with_suffix(".partial")
    content = {name: str(address) for name, address in addresses.items()}
    partial.write_text(json.dumps(content), encoding="utf-8")
    partial.replace(path)


def _one_line_each(error: ValidationError) -> str:
    lines = []
    for detail in error.errors(include_url=False, include_input=False):
        name = str(detail["loc"][0]) if detail["loc"] else "settings"
        flag = "--" + name.replace("_", "-")
        lines.append(f"{flag} ({ENV_PREFIX}{name.upper()}): {detail['msg']}")
    return "\n".join(lines)
