"""What every command is given."""

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
    """The program's parts, as ``main`` wires them.

    Attributes:
        caller: for the endpoints of proxies.
        environment: where declarations' secrets may come from.
        show: writes one line at once; silent with ``--json``.
        confirm: asks the operator; True to go on.
    """

    control: Control
    caller: JsonCaller
    settings: CtlSettings
    clock: Clock
    environment: Mapping[str, str]
    show: Callable[[str], None]
    confirm: Callable[[str], bool]


Command = Callable[[Context, Arguments], Report]
