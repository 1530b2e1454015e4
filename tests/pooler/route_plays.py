"""Random sessions and changes of the configuration, checked against a model.

The model knows nothing of how a session works: only what the view in force at a
statement's arrival names, and what the servers ran.
"""

import random
import unittest
from collections.abc import Callable
from dataclasses import replace

from dogwoodspool_common import Consistency, Role, key_digest
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_pooler import Answer, ErrorCode, TransactionState
from dogwoodspool_pooler.errors import NoDatabaseError, NotReadyError, UnknownKeyError

from .fakes import (
    GROUP,
    ExecutedStatement,
    FakeServer,
    Pooler,
    endpoint,
    run_text,
    set_value,
)
from .route_model import ACCOUNTS, Configuration, ModelSession, ModelTransaction, Route

OTHER_GROUP = "other"
PRIMARIES = {GROUP: "s1", OTHER_GROUP: "t1"}
DATABASES = ("db", "db2")
KEYS = ("key-1", "key-2")
CONSISTENCIES = tuple(Consistency)
MAX_AGE_MS = 2_500
# Each may hold one of the connections that a server accepts from this proxy.
MAX_SESSIONS = 3
MAX_PAUSE_SECONDS = 1.0
LONG_PAUSE_SECONDS = 60.0
# The other refusals only say that the statement did not run.
DEFINITE = (ErrorCode.NO_DATABASE, ErrorCode.UNKNOWN_KEY)
BEGINS = ("BEGIN", "BEGIN READ")


class Play:
    """One random play of a proxy with pools of its own."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        self._test = test
        self._random = random.Random(seed)
        self._changes = 1
        servers = [
            FakeServer(name, role, group=group)
            for name, role, group in (
                ("s1", Role.PRIMARY, GROUP),
                ("s2", Role.REPLICA, GROUP),
                ("t1", Role.PRIMARY, OTHER_GROUP),
                ("t2", Role.REPLICA, OTHER_GROUP),
            )
        ]
        self._servers = {one.name: one for one in servers}
        self._pooler = self._build(servers)
        self._pooler.control.bring = self._receive
        self._newest = Configuration({}, dict(zip(KEYS, ACCOUNTS, strict=True)))
        self._in_force = self._newest
        for name in DATABASES:
            self._serve(name)
        self._receive()
        self._sessions: list[ModelSession] = []
        self._requests = 0
        self.served = 0
        self.refused = 0

    def run(self, steps: int) -> None:
        """Make random steps."""
        moves = self._moves()
        chosen = self._random.choices(
            [move for move, _weight in moves],
            [weight for _move, weight in moves],
            k=steps,
        )
        for move in chosen:
            move()

    def _build(self, servers: list[FakeServer]) -> Pooler:
        return Pooler(servers)

    def _moves(self) -> list[tuple[Callable[[], None], float]]:
        return [
            (self._make_request, 12),
            (self._open, 2),
            (self._change, 2),
            (self._pause, 1),
            (self._catch_up, 1),
            (self._toggle_control, 0.5),
            (self._expire, 0.3),
            (self._close, 0.3),
        ]

    def _receive(self) -> None:
        """Put control's newest configuration in force."""
        if self._in_force is self._newest:
            return
        self._in_force = self._newest
        self._apply(self._pooler)

    def _apply(self, pooler: Pooler) -> None:
        """Put control's newest configuration in force at a process."""
        pooler.version = max(pooler.version, self._changes)
        pooler.apply_view(
            primary=PRIMARIES[GROUP],
            endpoints=list(self._newest.endpoints.values()),
            accounts=self._newest.client_accounts(),
            other_primaries={OTHER_GROUP: PRIMARIES[OTHER_GROUP]},
        )

    def _change(self) -> None:
        name, key = self._random.choice(DATABASES), self._random.choice(KEYS)
        known = self._newest
        self._changes += 1
        match self._random.randrange(4):
            case 0:
                left = {one: to for one, to in known.endpoints.items() if one != name}
                self._newest = replace(known, endpoints=left)
            case 1 | 2:
                self._serve(name)
            case 3:
                accounts = {one: to for one, to in known.accounts.items() if one != key}
                account = self._random.choice((*ACCOUNTS, None))
                if account is not None:
                    accounts[key] = account
                self._newest = replace(known, accounts=accounts)
        if self._random.random() < 0.7:
            self._receive()

    def _serve(self, name: str) -> None:
        one = replace(
            endpoint(),
            name=f"route-{name}",
            database=name,
            group=self._random.choice(list(PRIMARIES)),
            consistency=self._random.choice(CONSISTENCIES),
            max_age_ms=MAX_AGE_MS,
            is_public=self._random.random() < 0.2,
        )
        self._newest = replace(
            self._newest, endpoints={**self._newest.endpoints, name: one}
        )

    def _toggle_control(self) -> None:
        self._pooler.control.is_reachable = not self._pooler.control.is_reachable

    def _pause(self) -> None:
        self._pooler.clock.advance(self._random.uniform(0.0, MAX_PAUSE_SECONDS))

    def _catch_up(self) -> None:
        for primary, replica in (("s1", "s2"), ("t1", "t2")):
            self._servers[replica].position = self._servers[primary].position

    def _expire(self) -> None:
        """Have all idle transactions expire that have a connection."""
        self._pooler.clock.advance(LONG_PAUSE_SECONDS)
        for one in self._sessions:
            one.session.expire_transaction()
            transaction = one.transaction
            if transaction is None or transaction.place is None:
                continue
            settings = self._pooler.views.settings(None)
            limit = settings.max_transaction_idle_ms / MILLISECONDS
            self._test.assertLess(limit, LONG_PAUSE_SECONDS)
            transaction.has_failed, transaction.place = True, None

    def _open(self) -> None:
        if len(self._sessions) >= MAX_SESSIONS:
            return
        database, key = self._random.choice(DATABASES), self._random.choice(KEYS)
        before = self._in_force
        error: Exception | None = None
        try:
            session = self._pooler.sessions.open(database, key_digest(key))
            self._sessions.append(ModelSession(session, database, key))
        except (NoDatabaseError, UnknownKeyError, NotReadyError) as refusal:
            error = refusal
        is_allowed = self._route(before, database, key) is not None
        self._test.assertEqual(is_allowed, error is None)

    def _close(self) -> None:
        if self._sessions:
            one = self._sessions.pop(self._random.randrange(len(self._sessions)))
            one.session.close()

    def _make_request(self) -> None:
        if not self._sessions:
            return
        one = self._random.choice(self._sessions)
        if self._random.random() < 0.1:
            self._set_value(one)
            return
        text = self._text(one)
        self._requests += 1
        request = f"r{self._requests}"
        before = self._in_force
        counts = {name: len(server.runs) for name, server in self._servers.items()}
        answer = run_text(one.session, text, request)
        runs = [
            (server, run)
            for name, server in self._servers.items()
            for run in server.runs[counts[name] :]
        ]
        self._check(one, text, request, before, answer, runs)
        if answer.error is None:
            self.served += 1
        else:
            self.refused += 1

    def _set_value(self, one: ModelSession) -> None:
        if one.transaction is not None:
            return
        value = str(self._random.randrange(3))
        if set_value(one.session, "tenant", value).error is None:
            one.values["tenant"] = value

    def _text(self, one: ModelSession) -> str:
        if one.transaction is None:
            return self._random.choice(("READ k", "WRITE k v", *BEGINS))
        texts = ["READ k", "COMMIT", "ROLLBACK"]
        if not one.transaction.is_read_only:
            texts.append("WRITE k v")
        return self._random.choice(texts)

    def _route(self, before: Configuration, database: str, key: str) -> Route | None:
        """Return the route that the view at the arrival or a newer one names."""
        found = before.route(database, key)
        return found or self._in_force.route(database, key)

    def _check(
        self,
        one: ModelSession,
        text: str,
        request: str,
        before: Configuration,
        answer: Answer,
        runs: list[tuple[FakeServer, ExecutedStatement]],
    ) -> None:
        self._check_definite(one, answer)
        own = [(server, run) for server, run in runs if run.request_id == request]
        others = {run.request_id for _server, run in runs} - {request, "", "-"}
        self._test.assertEqual(set(), others)
        transaction = one.transaction
        may_run = text not in (*BEGINS, "ROLLBACK")
        if transaction is not None and transaction.place is not None:
            route = self._continued_route(one, transaction)
        else:
            route = self._route(before, one.database, one.key)
        has_failed = transaction is not None and transaction.has_failed
        is_served = route is not None and not has_failed
        expected = 1 if is_served and may_run else 0
        if self._may_be_refused(one):
            self._test.assertLessEqual(len(own), expected, (text, answer))
        else:
            self._test.assertEqual(expected, len(own), (text, answer))
            if text != "ROLLBACK":
                self._test.assertEqual(is_served, answer.error is None, (text, answer))
        for server, run in own:
            assert route is not None
            self._check_run(one, text, route, server, run)
        self._advance(one, text, route, own, answer)
        self._test.assertIs(one.state, answer.state, (text, answer))

    def _may_be_refused(self, one: ModelSession) -> bool:
        """Return whether another process may refuse what the view in force allows."""
        return False

    def _check_definite(self, one: ModelSession, answer: Answer) -> None:
        """Check that a definite refusal is what control's newest version says."""
        if answer.error is None or answer.error.code not in DEFINITE:
            return
        self._test.assertTrue(self._is_control_reachable())
        has_database = one.database in self._newest.endpoints
        if answer.error.code is ErrorCode.NO_DATABASE:
            self._test.assertFalse(has_database)
        else:
            self._test.assertNotIn(one.key, self._newest.accounts)

    def _is_control_reachable(self) -> bool:
        return self._pooler.control.is_reachable

    def _continued_route(
        self, one: ModelSession, transaction: ModelTransaction
    ) -> Route | None:
        """Return the route of a transaction that has run; None if it must end."""
        route = transaction.route
        assert route is not None
        if route.endpoint.is_public:
            return route
        account = self._in_force.accounts.get(one.key)
        return route if account == route.account else None

    def _check_run(
        self,
        one: ModelSession,
        text: str,
        route: Route,
        server: FakeServer,
        run: ExecutedStatement,
    ) -> None:
        test, place = self._test, (server.name, run.connection)
        transaction = one.transaction
        held = {
            other.transaction.place
            for other in self._sessions
            if other is not one and other.transaction is not None
        }
        test.assertNotIn(place, held)
        test.assertEqual(route.account, run.account)
        test.assertEqual(one.values, run.values)
        if transaction is not None:
            test.assertTrue(run.in_transaction)
        if transaction is not None and transaction.place is not None:
            test.assertEqual(transaction.place, place)
            return
        test.assertEqual(route.endpoint.group, server.group)
        self._check_owner(one, route, place)
        is_read = text == "READ k" and (transaction is None or transaction.is_read_only)
        consistency = route.endpoint.consistency
        if text == "WRITE k v" or consistency is Consistency.PRIMARY:
            test.assertIs(Role.PRIMARY, server.role)
        if is_read and consistency is Consistency.READ_YOUR_WRITES:
            commit = one.commits.get(server.group, server.position)
            test.assertGreaterEqual(server.position, commit)

    def _check_owner(
        self, one: ModelSession, route: Route, place: tuple[str, int]
    ) -> None:
        """Check the process whose connection a statement ran on."""

    def _advance(
        self,
        one: ModelSession,
        text: str,
        route: Route | None,
        own: list[tuple[FakeServer, ExecutedStatement]],
        answer: Answer,
    ) -> None:
        """Apply a statement that was checked to the model."""
        transaction = one.transaction
        if text in BEGINS:
            if route is not None:
                one.transaction = ModelTransaction(is_read_only=text == "BEGIN READ")
            return
        if transaction is None:
            if own and text == "WRITE k v":
                self._record_commit(one, own[0][0])
            return
        # The connection of a caller with a revoked key ends as well.
        is_revoked = _is_code(answer, ErrorCode.UNKNOWN_KEY)
        has_started = transaction.has_failed or transaction.place is not None
        is_end = text in ("COMMIT", "ROLLBACK")
        if is_revoked and has_started and answer.state is TransactionState.FAILED:
            is_end = False
        if not own and not is_end:
            transaction.has_failed, transaction.place = True, None
            return
        if own and transaction.place is None:
            server, run = own[0]
            transaction.route = route
            transaction.place = (server.name, run.connection)
        transaction.has_written |= bool(own) and text == "WRITE k v"
        if not is_end:
            return
        if own and transaction.has_written:
            self._record_commit(one, own[0][0])
        one.transaction = None

    def _record_commit(self, one: ModelSession, server: FakeServer) -> None:
        one.commits[server.group] = server.position


def _is_code(answer: Answer, code: ErrorCode) -> bool:
    return answer.error is not None and answer.error.code is code
