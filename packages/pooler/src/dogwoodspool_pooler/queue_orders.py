"""The orders in which requests wait for admission at an owner of shared pools."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Final

from dogwoodspool_limits import PriorityOrder, QueueOrder, TargetOrder


class QueueOrderName(StrEnum):
    """Name of an order in settings.

    Attributes:
        ARRIVAL: by priority and then by arrival, for a part of the target; only the
            first statement of a transaction is counted.
        TARGET: nearest target first.
        PRIORITY: by priority and then by target, until the target has passed.
    """

    ARRIVAL = "arrival"
    TARGET = "target"
    PRIORITY = "priority"


ORDERS: Final[Mapping[QueueOrderName, Callable[[], QueueOrder | None]]] = {
    QueueOrderName.ARRIVAL: lambda: None,
    QueueOrderName.TARGET: TargetOrder,
    QueueOrderName.PRIORITY: PriorityOrder,
}
