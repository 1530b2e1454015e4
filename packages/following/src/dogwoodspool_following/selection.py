"""Which control process is asked next."""

from collections.abc import Set
from dataclasses import dataclass, field

from dogwoodspool_common import Address


@dataclass(slots=True)
class Selection:
    """The control process that is asked, and those that were asked before it.

    Attributes:
        index: index of the process that is asked.
        tried: processes that were asked in this round, and whether they gave an answer
            or refused.
    """

    index: int = 0
    tried: dict[Address, bool] = field(default_factory=dict)

    def record(self, address: Address, *, has_answered: bool) -> None:
        """Record that a process was asked."""
        self.tried[address] = has_answered

    def select_next(self, addresses: tuple[Address, ...], lost: Set[Address]) -> None:
        """Select the next process of this round.

        Those that were not asked yet come first, of them those that gave no answer
        last time at the end, and then those that did answer: else one that gave no
        answer once would never be asked again while the others refuse.
        """

        def precedence(index: int) -> int:
            address = addresses[index]
            if address not in self.tried:
                return 1 if address in lost else 0
            return 2 if self.tried[address] else 3

        count = len(addresses)
        indexes = [(self.index + step) % count for step in range(1, count + 1)]
        self.index = min(indexes, key=precedence)
