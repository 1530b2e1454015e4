"""The context that every command receives."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from dogwoodspool_common import Clock

from .control import Control
from .control_client import JsonCaller
from .models import CtlSettings
from .render import Report

Arguments = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Context:
    """The dependencies of the commands, as ``main`` creates them.

    Attributes:
        caller: HTTP client for the endpoints of proxies.
        environment: environment variables from which declarations may read secrets.
        show: writes one line immediately; does nothing with ``--json``.
        confirm: asks the operator for confirmation; True means to continue.
    """

    control: Control
    caller: JsonCaller
    settings: CtlSettings
    clock: Clock
    environment: Mapping[str, str]
    show: Callable[[str], None]
    confirm: Callable[[str], bool]


Command = Callable[[Context, Arguments], Report]
