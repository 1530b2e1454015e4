"""Tests of positions across terms, against an oracle with complete logs."""

import unittest

from dogwoodspool_common import GroupState, Phase, Position
from dogwoodspool_sessions import Session, SessionRefusal, is_covered, is_lost
from hypothesis import given, settings
from hypothesis import strategies as st


class Logs:
    """Test oracle: the log of each term, as the term in which each entry was made."""

    def __init__(self, branches: list[tuple[int, int]]) -> None:
        self.logs: list[list[int]] = [[]]
        self.starts: list[Position] = []
        for kept, added in branches:
            parent = self.logs[-1]
            offset = min(kept, len(parent))
            term = len(self.logs)
            if term > 1:
                self.starts.append(Position(term, offset))
                self.logs.append(parent[:offset] + [term] * added)
            else:
                self.logs.append([1] * added)

    def entries(self, position: Position) -> list[int]:
        """Return the log of a server at a position."""
        return self.logs[position.term][: position.offset]

    def positions(self) -> list[Position]:
        """Return every position of every term's lineage."""
        return [
            Position(term, offset)
            for term in range(1, len(self.logs))
            for offset in range(len(self.logs[term]) + 1)
        ]


BRANCHES = st.lists(
    st.tuples(st.integers(0, 4), st.integers(0, 3)), min_size=1, max_size=4
)


class HistoryTests(unittest.TestCase):
    """A position counts as covered only if the data includes its entries."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(BRANCHES)
    def test_covering_data_includes_what_was_written(
        self, branches: list[tuple[int, int]]
    ) -> None:
        logs = Logs(branches)
        for position in logs.positions():
            for by in logs.positions():
                if is_covered(position, by, logs.starts):
                    held = logs.entries(by)[: position.offset]
                    self.assertEqual(held, logs.entries(position))

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(BRANCHES)
    def test_a_position_is_lost_where_its_entries_are_gone(
        self, branches: list[tuple[int, int]]
    ) -> None:
        logs = Logs(branches)
        newest = len(logs.logs) - 1
        for position in logs.positions():
            kept = logs.logs[newest][: position.offset] == logs.entries(position)
            if not kept:
                self.assertTrue(is_lost(position, newest, logs.starts))


class SessionTests(unittest.TestCase):
    """A session is served only where its own writes are present."""

    def setUp(self) -> None:
        self.session = Session()
        self.state = GroupState(
            "orders", 2, "orders-2", Phase.STEADY, (Position(2, 7),)
        )

    def test_a_session_without_positions_is_not_known(self) -> None:
        self.assertFalse(self.session.read_position(self.state).ok.is_known)

    def test_a_token_makes_the_session_known(self) -> None:
        self.session.adopt({"orders": Position(1, 7)})
        self.assertEqual(
            self.session.read_position(self.state).ok.position, Position(1, 7)
        )

    def test_a_token_past_the_branch_is_refused(self) -> None:
        # Guards against hidden data loss. A caller returns with a token of the old
        # primary, whose last writes were not safely replicated and have been lost.
        # Serving the read without them would hide the loss.
        self.session.adopt({"orders": Position(1, 8)})
        self.assertIs(self.session.read_position(self.state).error, SessionRefusal.LOST)

    def test_a_token_of_a_newer_term_is_refused(self) -> None:
        self.session.adopt({"orders": Position(3, 1)})
        refusal = self.session.read_position(self.state).error
        self.assertIs(refusal, SessionRefusal.TERM_UNKNOWN)

    def test_an_older_token_never_lowers_a_position(self) -> None:
        self.session.advance("orders", Position(2, 9))
        self.session.adopt({"orders": Position(2, 8)})
        self.assertEqual(self.session.positions["orders"], Position(2, 9))
