"""Tests of the tracking of open sessions."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_following import OpenSessions


class FakeSession:
    """A session that counts how often it was asked to expire."""

    def __init__(self) -> None:
        self.expire_calls = 0

    def expire_transaction(self) -> None:
        """Count the call."""
        self.expire_calls += 1


class FakeSessions(OpenSessions[FakeSession]):
    """Open sessions that a test controls."""

    def open(self) -> FakeSession:
        """Return a new session."""
        return self._track_session(FakeSession())

    def close(self, session: FakeSession) -> None:
        """Remove a session, as its end does."""
        self._remove_session(session)


class OpenSessionsTests(unittest.TestCase):
    """Every open session is checked, and no closed one."""

    def test_closed_session_is_not_expired(self) -> None:
        sessions = FakeSessions(ManualClock())
        kept, closed = sessions.open(), sessions.open()
        sessions.close(closed)
        sessions.step()
        self.assertEqual(
            (kept.expire_calls, closed.expire_calls, sessions.count), (1, 0, 1)
        )

    def test_session_may_be_removed_twice(self) -> None:
        # The caller disconnects while the proxy closes the session for another reason.
        sessions = FakeSessions(ManualClock())
        session = sessions.open()
        sessions.close(session)
        sessions.close(session)
        self.assertEqual(sessions.count, 0)
