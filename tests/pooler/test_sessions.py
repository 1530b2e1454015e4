"""Tests of opening sessions, also while nothing has come from control yet."""

import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from dogwoodspool_api import ControlView, EndpointMessage
from dogwoodspool_common import ManualClock, Role
from dogwoodspool_following import ViewStore
from dogwoodspool_pooler.const import FIRST_VIEW_DUE_SECONDS, FIRST_VIEW_WAIT_SECONDS
from dogwoodspool_pooler.errors import NoDatabaseError, NotReadyError
from dogwoodspool_pooler.session import PooledSession

from .fakes import OWN_DOMAIN, FakeServer, Pooler, endpoint

FIRST_VIEW = ControlView(
    version=1,
    groups=[],
    servers=[],
    proxies=[],
    settings=[],
    endpoints=[EndpointMessage.of(endpoint())],
)


class FirstViewTests(unittest.TestCase):
    """A proxy accepts callers some hundred milliseconds before it has a first view.

    After a loss of power all proxies start together. Callers who were refused at once
    tried the others, were refused there too, and had given up when the view came.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.views = ViewStore(OWN_DOMAIN, self.clock)
        pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        self.sessions = pooler.sessions_over(self.views, self.clock)
        self.executor = self.enterContext(ThreadPoolExecutor(1))

    def begin_waiting(self, database: str) -> "Future[PooledSession]":
        """Let a caller open a session, and return once it waits."""
        opening = self.executor.submit(self.sessions.open, database)
        while not self.clock.waiters and not opening.done():
            time.sleep(0.001)
        return opening

    def test_caller_waits_for_the_first_view(self) -> None:
        opening = self.begin_waiting("db")
        self.views.adopt(FIRST_VIEW)
        opening.result(5)
        self.assertEqual(self.sessions.count, 1)

    def test_unknown_database_is_told_once_the_view_is_there(self) -> None:
        opening = self.begin_waiting("other")
        self.views.adopt(FIRST_VIEW)
        self.assertIsInstance(opening.exception(5), NoDatabaseError)

    def test_caller_is_refused_when_no_view_comes(self) -> None:
        opening = self.begin_waiting("db")
        self.clock.advance(FIRST_VIEW_WAIT_SECONDS)
        self.assertIsInstance(opening.exception(5), NotReadyError)

    def test_callers_who_come_while_the_view_is_due_wait_as_well(self) -> None:
        self.clock.advance(FIRST_VIEW_DUE_SECONDS - 0.1)
        opening = self.begin_waiting("db")
        self.views.adopt(FIRST_VIEW)
        opening.result(5)

    def test_later_callers_are_refused_at_once(self) -> None:
        self.clock.advance(FIRST_VIEW_DUE_SECONDS)
        with self.assertRaises(NotReadyError):
            self.sessions.open("db")
