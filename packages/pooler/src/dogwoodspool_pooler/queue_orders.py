"""The orders in which requests wait for admission at an owner of shared pools."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Final

from dogwoodspool_limits import PriorityOrder, QueueOrder, TargetOrder


class QueueOrderName(StrEnum):
    """Name of an order in settings.

    Attributes:
        ARRIVAL: by priority and then by arrival. A request may wait for a fraction of
            its target latency, and only the first statement of a transaction counts
            as in flight.
        TARGET: nearest target first; see ``TargetOrder``.
        PRIORITY: by priority and then by nearest target; see ``PriorityOrder``.
    """

    ARRIVAL = "arrival"
    TARGET = "target"
    PRIORITY = "priority"


ORDERS: Final[Mapping[QueueOrderName, Callable[[], QueueOrder | None]]] = {
    QueueOrderName.ARRIVAL: lambda: None,
    QueueOrderName.TARGET: TargetOrder,
    QueueOrderName.PRIORITY: PriorityOrder,
}
