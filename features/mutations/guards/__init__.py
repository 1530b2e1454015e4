"""Guards of the programs, each with the change that switches it off.

A module for each point of what must always hold. Nothing of a program is imported
before a guard of it is switched off.
"""

from . import (
    answers,
    leaving,
    membership,
    promotions,
    recovery,
    refusals,
    requests,
    sessions,
    settings,
    shutdown,
    transactions,
)
from .model import Guard

GUARDS: dict[str, Guard] = {
    guard.name: guard
    for module in (
        sessions,
        transactions,
        answers,
        refusals,
        requests,
        leaving,
        shutdown,
        settings,
        promotions,
        recovery,
        membership,
    )
    for guard in module.GUARDS
}

__all__ = ["GUARDS", "Guard"]
