"""A statement that runs or waits."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from .models import RefusalReason
from .work import Work


class TicketState(Enum):
    """State of a statement in the queue.

    Attributes:
        WAITING: it waits.
        ADMITTED: it runs.
        DISPLACED: the queue has removed it; ``Ticket.reason`` says why.
    """

    WAITING = auto()
    ADMITTED = auto()
    DISPLACED = auto()


@dataclass(eq=False, slots=True)
class Ticket:
    """A statement that runs or waits.

    Attributes:
        priority: a lower number goes first.
        latest_start: clock seconds after which it can no longer end in time. The
            queue may move it while the statement waits.
        notify: called when its state has changed.
        work: what it asked for.
        expected: seconds that it is expected to take on the server.
        is_continuation: whether it continues an open transaction.
        is_demoted: whether it is expected to miss its target.
        is_counted: whether it counts as in flight.
        key: place in the queue's order; a lower one goes first.
        reason: why the queue removed it.
        estimated_wait: seconds that it was expected to wait when it was removed.
    """

    priority: int
    latest_start: float
    notify: Callable[[], None] = field(repr=False)
    work: Work
    state: TicketState = TicketState.WAITING
    expected: float = 0.0
    is_continuation: bool = False
    is_demoted: bool = False
    is_counted: bool = False
    key: tuple[float, ...] = ()
    reason: RefusalReason = RefusalReason.DISPLACED
    estimated_wait: float = 0.0
