"""Sessions of the callers that are connected to this process."""

import threading
from typing import Generic, Protocol, TypeVar

from dogwoodspool_common import Clock

from .const import REAP_INTERVAL_SECONDS
from .coordinator import Coordinator


class ExpiringSession(Protocol):
    """A session whose transaction may be idle for too long."""

    def expire_transaction(self) -> None:
        """Roll back a transaction whose caller has been idle for too long."""
        ...


SessionT = TypeVar("SessionT", bound=ExpiringSession)


class OpenSessions(Coordinator, Generic[SessionT]):
    """Track open sessions, and end transactions that are idle for too long.

    A caller that disappears without closing its connection keeps its transaction open,
    and with it a connection to the primary and possibly locks that others wait for.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__("transaction-reaper", clock)
        self._lock = threading.Lock()
        self._open: set[SessionT] = set()

    @property
    def count(self) -> int:
        """The number of open sessions."""
        with self._lock:
            return len(self._open)

    def step(self) -> float:
        """Expire idle transactions once."""
        for session in self._all():
            session.expire_transaction()
        return REAP_INTERVAL_SECONDS

    def _all(self) -> list[SessionT]:
        with self._lock:
            return list(self._open)

    def _track_session(self, session: SessionT) -> SessionT:
        with self._lock:
            self._open.add(session)
        return session

    def _remove_session(self, session: SessionT) -> None:
        with self._lock:
            self._open.discard(session)
