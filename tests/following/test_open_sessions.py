"""Tests of the sessions of connected callers."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_following import OpenSessions


class FakeSession:
    """A session that counts how often it was asked to expire."""

    def __init__(self) -> None:
        self.looks = 0

    def expire_transaction(self) -> None:
        """Count the look."""
        self.looks += 1


class FakeSessions(OpenSessions[FakeSession]):
    """Sessions that tests open and close."""

    def open(self) -> FakeSession:
        """Return a new session."""
        return self._keep(FakeSession())

    def close(self, session: FakeSession) -> None:
        """Forget a session, as its end does."""
        self._forget(session)


class OpenSessionsTests(unittest.TestCase):
    """Every open session is looked at, and no closed one."""

    def test_a_closed_session_is_not_looked_at(self) -> None:
        sessions = FakeSessions(ManualClock())
        kept, closed = sessions.open(), sessions.open()
        sessions.close(closed)
        sessions.step()
        self.assertEqual((kept.looks, closed.looks, sessions.count), (1, 0, 1))

    def test_a_session_may_end_twice(self) -> None:
        # The caller goes away while the proxy closes it for another reason.
        sessions = FakeSessions(ManualClock())
        session = sessions.open()
        sessions.close(session)
        sessions.close(session)
        self.assertEqual(sessions.count, 0)
