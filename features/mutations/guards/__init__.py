"""Guards of the programs, each with the change that switches it off.

There is one module per guaranteed property. The modules of a program are imported
only when one of its guards is switched off.
"""

from . import (
    answers,
    leaving,
    limits,
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
        limits,
        promotions,
        recovery,
        membership,
    )
    for guard in module.GUARDS
}

__all__ = ["GUARDS", "Guard"]
