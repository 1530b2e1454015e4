"""Tests of session state that is kept across pooled connections."""

import unittest

from dogwoodspool_common import Role
from dogwoodspool_pooler import (
    Access,
    ConnectionState,
    ErrorCode,
    Prepared,
    StatementKind,
    TransactionState,
)
from dogwoodspool_pooler.session import PooledSession
from dogwoodspool_pooler.session_state import sync_cost, sync_statements
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .fakes import FakeServer, Pooler, execute, prepare, run_text, set_value

NAMES = st.sampled_from(["a", "b", "c"])
SESSIONS = st.integers(0, 2)


class SyncStatementsTests(unittest.TestCase):
    """A connection is brought to a session's state with as few statements as possible.

    A reset is needed only for values that another session left on the connection.
    """

    def test_a_connection_in_the_same_state_needs_nothing(self) -> None:
        held = ConnectionState({"tz": "utc"}, {Prepared(Access.READ, "q")})
        self.assertEqual(
            sync_statements({"tz": "utc"}, held, Prepared(Access.READ, "q")), []
        )

    def test_a_value_of_another_session_requires_a_reset(self) -> None:
        held = ConnectionState({"tz": "utc", "role": "x"}, set())
        kinds = [one.kind for one in sync_statements({"tz": "utc"}, held, None)]
        self.assertEqual(kinds, [StatementKind.RESET, StatementKind.SET])

    def test_a_reset_drops_what_was_prepared(self) -> None:
        wanted = Prepared(Access.READ, "q")
        held = ConnectionState({"role": "x"}, {wanted})
        kinds = [one.kind for one in sync_statements({}, held, wanted)]
        self.assertEqual(kinds, [StatementKind.RESET, StatementKind.PREPARE])

    def test_a_matching_connection_ranks_first(self) -> None:
        matching = ConnectionState({"tz": "utc"}, set())
        empty, foreign = ConnectionState(), ConnectionState({"role": "x"}, set())
        values = {"tz": "utc"}
        costs = [sync_cost(values, one) for one in (matching, empty, foreign)]
        self.assertEqual(costs, sorted(costs))
        self.assertEqual(costs[0], 0)


class SessionStateMachine(RuleBasedStateMachine):
    """Compare three sessions on shared connections with a model of their state.

    Guards against a statement that runs with another caller's values or prepared
    statement: a caller sets a value or prepares a statement, and its next statement
    runs on a connection that another caller used in between, possibly with the same
    names.
    """

    def __init__(self) -> None:
        super().__init__()
        self.server = FakeServer("s1", Role.PRIMARY)
        self.pooler = Pooler([self.server])
        self.sessions = [self.pooler.session() for _ in range(3)]
        self.values: list[dict[str, str]] = [{}, {}, {}]
        self.prepared: list[dict[str, str]] = [{}, {}, {}]
        self.number = 0

    def _session(self, index: int) -> PooledSession:
        return self.sessions[index]

    @rule(index=SESSIONS, name=NAMES, value=st.sampled_from(["1", "2"]))
    def set_value(self, index: int, name: str, value: str) -> None:
        set_value(self._session(index), name, value)
        self.values[index][name] = value

    @rule(index=SESSIONS, name=NAMES, shape=st.sampled_from(["q1", "q2"]))
    def prepare(self, index: int, name: str, shape: str) -> None:
        prepare(self._session(index), name, Access.READ, shape)
        self.prepared[index][name] = shape

    @rule(index=SESSIONS, name=NAMES)
    def execute(self, index: int, name: str) -> None:
        self.number += 1
        answer = execute(self._session(index), name, request_id=str(self.number))
        if name not in self.prepared[index]:
            assert answer.error is not None
            assert answer.error.code is ErrorCode.UNKNOWN_STATEMENT
            return
        self._check(index, self.prepared[index][name])

    @rule(index=SESSIONS)
    def write(self, index: int) -> None:
        self.number += 1
        run_text(self._session(index), "WRITE k v", str(self.number))
        self._check(index, None)

    @rule(index=SESSIONS)
    def write_in_transaction(self, index: int) -> None:
        self.number += 1
        session = self._session(index)
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v", str(self.number))
        self._check(index, None)
        assert self.server.runs[-1].in_transaction
        run_text(session, "COMMIT")

    @rule(index=SESSIONS)
    def leave_and_come_back(self, index: int) -> None:
        run_text(self._session(index), "BEGIN")
        run_text(self._session(index), "READ k")
        self._session(index).close()
        self.sessions[index] = self.pooler.session()
        self.values[index], self.prepared[index] = {}, {}

    def _check(self, index: int, shape: str | None) -> None:
        run = self.server.runs[-1]
        assert run.request_id == str(self.number)
        assert run.values == self.values[index]
        assert run.shape == shape

    @invariant()
    def no_session_is_left_in_a_transaction(self) -> None:
        states = {session.state for session in self.sessions}
        assert states == {TransactionState.IDLE}


SessionStateTests = SessionStateMachine.TestCase
SessionStateTests.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
