"""Tests of opening sessions, also before the first view from control."""

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


# Control's state after backend servers have registered and before the first document.
VIEW_WITHOUT_DOCUMENT = ControlView(
    version=4, groups=[], servers=[], proxies=[], settings=[]
)


class FirstViewTests(unittest.TestCase):
    """A proxy accepts callers some hundred milliseconds before its first view.

    Guards against callers that are refused at once after a power loss: all proxies
    start together, so callers try the others, are refused there too, and have given up
    by the time the view arrives.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.views = ViewStore(OWN_DOMAIN, self.clock)
        pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        self.sessions = pooler.sessions_with(self.views, self.clock)
        self.executor = self.enterContext(ThreadPoolExecutor(1))

    def begin_waiting(self, database: str) -> "Future[PooledSession]":
        """Open a session in a thread, and return once that waits."""
        opening = self.executor.submit(self.sessions.open, database)
        while not self.clock.waiters and not opening.done():
            time.sleep(0.001)
        return opening

    def test_caller_waits_for_the_first_view(self) -> None:
        opening = self.begin_waiting("db")
        self.views.adopt(FIRST_VIEW)
        opening.result(5)
        self.assertEqual(self.sessions.count, 1)

    def test_unknown_database_is_refused_once_the_view_arrives(self) -> None:
        opening = self.begin_waiting("other")
        self.views.adopt(FIRST_VIEW)
        self.assertIsInstance(opening.exception(5), NoDatabaseError)

    def test_caller_is_refused_when_no_view_arrives(self) -> None:
        opening = self.begin_waiting("db")
        self.clock.advance(FIRST_VIEW_WAIT_SECONDS)
        self.assertIsInstance(opening.exception(5), NotReadyError)

    def test_callers_wait_until_the_first_view_is_overdue(self) -> None:
        self.clock.advance(FIRST_VIEW_DUE_SECONDS - 0.1)
        opening = self.begin_waiting("db")
        self.views.adopt(FIRST_VIEW)
        opening.result(5)

    def test_later_callers_are_refused_at_once(self) -> None:
        self.clock.advance(FIRST_VIEW_DUE_SECONDS)
        with self.assertRaises(NotReadyError):
            self.sessions.open("db")

    def test_database_is_not_denied_before_the_first_document(self) -> None:
        """Guard against NODB where it is not known yet which databases exist."""
        self.views.adopt(VIEW_WITHOUT_DOCUMENT)
        self.clock.advance(FIRST_VIEW_DUE_SECONDS)
        with self.assertRaises(NotReadyError):
            self.sessions.open("db")
