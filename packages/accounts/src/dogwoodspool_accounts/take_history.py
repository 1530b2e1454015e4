"""Room below the capacity of a token bucket since its tokens were taken."""

import math
from dataclasses import dataclass

from .const import HISTORY_SECONDS, HISTORY_SLOT_SECONDS

_SLOTS = math.ceil(HISTORY_SECONDS / HISTORY_SLOT_SECONDS) + 1


@dataclass(slots=True)
class _Slot:
    """What happened in one slot of time.

    Attributes:
        room: least room in the slot.
        room_after_take: least room after the first take in the slot; infinite if there
            was none.
        taken: tokens that were taken and not returned.
    """

    room: float
    room_after_take: float = math.inf
    taken: float = 0.0


class TakeHistory:
    """Remember how far the level of a bucket was below its maximum, and what was taken.

    That difference is the room. A token that is returned counts as if it had never been
    taken. Without its take the level would have been higher since then, but never above
    its maximum; so the token is worth at most the least room since it was taken. The
    time of its take is known only roughly, so the earliest possible one is assumed,
    which gives the lowest worth.

    Args:
        now: clock seconds at which the bucket was created.
    """

    def __init__(self, now: float) -> None:
        self._first = self._last = _number(now)
        self._slots = [_Slot(math.inf) for _ in range(_SLOTS)]

    def record_room(self, now: float, room: float) -> None:
        """Record the room at present, which has not grown since the last record."""
        current = _number(now)
        if current > self._last:
            first = max(self._last + 1, current - _SLOTS + 1)
            for number in range(first, current + 1):
                self._slots[number % _SLOTS] = _Slot(room)
            self._last = current
        slot = self._slots[self._last % _SLOTS]
        slot.room = min(slot.room, room)
        if slot.room_after_take < math.inf:
            slot.room_after_take = min(slot.room_after_take, room)

    def record_take(self, count: float, room: float) -> None:
        """Record a take at the time of the last record, and the room after it."""
        slot = self._slots[self._last % _SLOTS]
        slot.taken += count
        slot.room_after_take = min(slot.room_after_take, room)

    def worth(self, since: float, count: float) -> float:
        """Return how many of ``count`` tokens taken after a time may be put back."""
        slots = self._since(since)
        if not slots:
            return 0.0
        room = min(slots[0].room_after_take, *(one.room for one in slots[1:]), count)
        return max(0.0, min(room, sum(one.taken for one in slots)))

    def take_back(self, since: float, count: float) -> float:
        """Remove tokens that were taken after a time; return what they are worth."""
        unmatched = worth = self.worth(since, count)
        for slot in self._since(since):
            slot.room -= worth
            slot.room_after_take -= worth
            matched = min(unmatched, slot.taken)
            slot.taken -= matched
            unmatched -= matched
        return worth

    def _since(self, since: float) -> list[_Slot]:
        """Return the slots from the first take after a time.

        There are none if not everything since that time is remembered.
        """
        first = _number(since)
        if first < max(self._first, self._last - _SLOTS + 1):
            return []
        slots = [self._slots[n % _SLOTS] for n in range(first, self._last + 1)]
        for index, slot in enumerate(slots):
            if slot.room_after_take < math.inf:
                return slots[index:]
        return []


def _number(now: float) -> int:
    return int(now // HISTORY_SLOT_SECONDS)
