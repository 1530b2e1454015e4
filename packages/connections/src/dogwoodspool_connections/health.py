"""Decide whether an idle connection to a server can be used again."""

import threading

from dogwoodspool_common import BackendServer, Clock, log_event
from dogwoodspool_common.const import NEVER

from .errors import BackendError
from .models import PoolSettings
from .pooled import PooledConnection


class ConnectionHealth:
    """Suspect a server's connections after one of them went silent.

    A connection can stop working permanently while new ones work, for example when a
    device between the two ends has lost its connection state. Only the missing answer
    shows it. The cause has probably affected other connections too, so every connection
    whose last answer is older than the silence is checked before its next use.
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
        """Use other timeouts from now on."""
        self._settings = settings

    def is_suspected(self, connection: PooledConnection) -> bool:
        """Return whether a connection went silent since this one's last answer."""
        with self._lock:
            return connection.answered_at <= self._silent_at

    def record_silence(self, connection: PooledConnection) -> None:
        """Record the time if a connection went silent."""
        if not connection.went_silent:
            return
        with self._lock:
            self._silent_at = self._clock.now()

    def is_usable(self, connection: PooledConnection, deadline: float) -> bool:
        """Check an idle connection before use, with a ping to the server if necessary.

        The check precedes the caller's statement, so after a failed check the statement
        has not run and can be sent on another connection.
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
            self.record_silence(connection)
            return False
        return True

    def reset_for_reuse(self, connection: PooledConnection) -> bool:
        """Remove one caller's session state; return False if that failed."""
        if not connection.is_open or connection.has_unread_answer:
            return False
        if not connection.needs_reset and not connection.in_transaction:
            return True
        try:
            connection.reset(self._settings.reset_timeout)
        except BackendError:
            self.record_silence(connection)
            return False
        return True
