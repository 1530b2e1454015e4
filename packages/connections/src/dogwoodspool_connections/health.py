"""Decide whether an idle connection to a server can be used again."""

import threading

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_common.const import NEVER

from .errors import BackendError
from .models import PoolSettings
from .pooled import PooledConnection


class ConnectionHealth:
    """Suspect a server's connections after one of them went silent.

    A connection can go silent for good while new ones work: something between the
    two ends has lost track of it. It shows only by the missing answer. Whatever
    silenced one connection has likely silenced others, so every connection whose
    last answer is older than the silence is checked before its next use.
    """

    def __init__(
        self, server: BackendServer, clock: Clock, settings: PoolSettings
    ) -> None:
        self._server = server
        self._clock = clock
        self._settings = settings
        self._lock = threading.Lock()
        self._silent_at = NEVER

    def update_settings(self, settings: PoolSettings) -> None:
        """Put other times in force."""
        self._settings = settings

    def is_suspected(self, connection: PooledConnection) -> bool:
        """Tell whether another connection went silent since the last answer."""
        with self._lock:
            return connection.answered_at <= self._silent_at

    def note(self, connection: PooledConnection) -> None:
        """Take in whether a connection went silent."""
        if not connection.went_silent:
            return
        with self._lock:
            self._silent_at = self._clock.now()

    def is_usable(self, connection: PooledConnection, deadline: float) -> bool:
        """Check an idle connection before its use, asking the server if need be.

        The check comes before the caller's statement is sent, so the statement
        can still go to another connection as not run.
        """
        if connection.has_unexpected_input():
            return False
        now = self._clock.now()
        is_recent = now - connection.answered_at < self._settings.check_after_idle
        if is_recent and not self.is_suspected(connection):
            return True
        timeout = min(self._settings.check_timeout, max(0.0, deadline - now))
        try:
            connection.ping(timeout)
        except BackendError as error:
            log_event(
                "backend_connection_silent", server=self._server.name, error=error
            )
            self.note(connection)
            return False
        return True

    def reset_for_reuse(self, connection: PooledConnection) -> bool:
        """Leave nothing of one caller for the next; False when that failed."""
        if not connection.is_open or connection.has_unread_answer:
            return False
        if not connection.needs_reset and not connection.in_transaction:
            return True
        try:
            connection.reset(self._settings.reset_timeout)
        except BackendError:
            self.note(connection)
            return False
        return True
