"""One guard that can be switched off."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

PROXY: Final = "dogwoodspool-proxy"
CONTROL: Final = "dogwoodspool-control"


@dataclass(frozen=True, slots=True)
class Guard:
    """A check in a program, with the patch that disables it.

    Attributes:
        name: names the behaviour without the guard; scenarios carry it as
            ``@guard.NAME``.
        switch_off: patches the program's classes before it starts.
        program: the program that contains the guard.
    """

    name: str
    switch_off: Callable[[], None]
    program: str = PROXY


def replace(owner: Any, name: str, value: Any) -> Any:
    """Replace an attribute of a class or module and return the original.

    Raises:
        AttributeError: there is no such attribute. A patch of one that has moved
            would change nothing, and its guard would seem to have no effect.
    """
    original = getattr(owner, name)
    setattr(owner, name, value)
    return original
