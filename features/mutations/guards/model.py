"""One guard that can be switched off."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

PROXY: Final = "dogwoodspool-proxy"
CONTROL: Final = "dogwoodspool-control"


@dataclass(frozen=True, slots=True)
class Guard:
    """A decision of a program and how the program behaves without it.

    Attributes:
        name: names the behaviour that is left; scenarios carry it as
            ``@guard.NAME``.
        switch_off: changes the program's classes before it starts.
        program: the program that it belongs to.
    """

    name: str
    switch_off: Callable[[], None]
    program: str = PROXY


def replace(owner: Any, name: str, value: Any) -> Any:
    """Replace what a class or module has under a name; return what it was.

    Raises:
        AttributeError: there is no such name. A mutation of something that has
            moved would change nothing, and its guard would seem to be of no use.
    """
    original = getattr(owner, name)
    setattr(owner, name, value)
    return original
