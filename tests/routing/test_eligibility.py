"""Tests of whether a server's data satisfies a read."""

import unittest

from dogwoodspool_common import GroupState, Phase, Position
from dogwoodspool_routing import ReadNeed, satisfies

from .builders import GROUP, status


class PositionTests(unittest.TestCase):
    """A session reads its own writes, also after a change of primary.

    Guards against stale reads: a replica that is behind the session's writes, or
    that follows a replaced primary, would show the state before them. Offsets
    continue across terms, so a large offset of an old term proves nothing.
    """

    def is_satisfied(self, position: Position, term: int, offset: int) -> bool:
        need = ReadNeed(position)
        return satisfies(status("b1", offset, term), need, GROUP, 0)

    def test_same_term_compares_by_offset(self) -> None:
        self.assertTrue(self.is_satisfied(Position(2, 12), 2, 12))
        self.assertFalse(self.is_satisfied(Position(2, 12), 2, 11))

    def test_older_term_never_qualifies(self) -> None:
        self.assertFalse(self.is_satisfied(Position(2, 12), 1, 99))
        self.assertFalse(self.is_satisfied(Position(1, 5), 1, 9))

    def test_newer_term_contains_the_old_one_up_to_the_branch(self) -> None:
        self.assertTrue(self.is_satisfied(Position(1, 10), 2, 10))
        self.assertFalse(self.is_satisfied(Position(1, 11), 2, 20))

    def test_term_that_control_has_not_committed_is_unknown(self) -> None:
        self.assertFalse(self.is_satisfied(Position(1, 5), 3, 20))

    def test_servers_of_the_old_term_serve_until_the_new_one_starts(self) -> None:
        promoting = GroupState("orders", 3, None, Phase.PROMOTING, GROUP.term_starts)
        need = ReadNeed(Position(2, 12))
        self.assertTrue(satisfies(status("b1", 12, 2), need, promoting, 0))


class AgeTests(unittest.TestCase):
    """Reads with a maximum age take only data that is known to be recent enough."""

    def test_age_grows_from_when_the_status_was_requested(self) -> None:
        need = ReadNeed(max_age_ms=100)
        lagging = status("b1", 12, lag_ms=60)
        self.assertTrue(satisfies(lagging, need, GROUP, 40))
        self.assertFalse(satisfies(lagging, need, GROUP, 41))

    def test_replica_that_never_caught_up_has_no_known_age(self) -> None:
        empty = status("b1", 12, lag_ms=None)
        self.assertFalse(satisfies(empty, ReadNeed(max_age_ms=10**6), GROUP, 0))
        self.assertFalse(satisfies(empty, ReadNeed(), GROUP, 0))
        self.assertTrue(satisfies(empty, ReadNeed(Position(2, 12)), GROUP, 0))
