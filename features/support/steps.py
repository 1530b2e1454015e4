"""Step decorators, with the types of the parameters of step patterns."""

import parse
from behave import given, register_type, step, then, when
from behave.runner import Context

from .callers import Caller
from .world import World

__all__ = ["Context", "caller_of", "given", "step", "then", "when", "world_of"]


def _text(value: str) -> str:
    """Return the text between two quotation marks."""
    return value


register_type(Text=parse.with_pattern(r'[^"]*')(_text))


def world_of(context: Context) -> World:
    """Return the scenario's world."""
    world: World = context.world
    return world


def caller_of(context: Context, name: str) -> Caller:
    """Return one of the scenario's callers."""
    return world_of(context).callers[name]
