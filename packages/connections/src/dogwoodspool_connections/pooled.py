"""Interfaces of pooled connections and of the connectors that open them."""

from typing import Protocol, TypeVar

from dogwoodspool_common import BackendServer


class PooledConnection(Protocol):
    """One connection to a backend server, used by one caller at a time.

    Attributes:
        answered_at: clock seconds of the server's last complete answer.
        is_probing: whether it is in use by a probe and not by a caller.
        generation: number of the pool's settings with which it was opened.
        account: client account in whose name it was opened; empty for none.
        running_since: clock seconds since which the process at its other end is known
            to run.
        used_at: clock seconds at which the pool last gave it to a caller.
    """

    answered_at: float
    is_probing: bool
    generation: int
    account: str
    running_since: float
    used_at: float

    @property
    def went_silent(self) -> bool:
        """Return whether a wait for the server ended without an answer."""
        ...

    @property
    def is_open(self) -> bool:
        """Return whether the connection can be used for another statement."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Return whether the server reported an open transaction in its last answer."""
        ...

    @property
    def needs_reset(self) -> bool:
        """Return whether the last caller's session state must be reset before reuse."""
        ...

    @property
    def has_unread_answer(self) -> bool:
        """Return whether the last statement's answer was not read completely."""
        ...

    def has_unexpected_input(self) -> bool:
        """Return whether an idle connection has received bytes or an end of stream."""
        ...

    def ping(self, timeout: float) -> None:
        """Ping the server; without an answer, close and raise ``BackendError``."""
        ...

    def reset(self, timeout: float) -> None:
        """Reset the session state for another caller or raise ``BackendError``."""
        ...

    def close(self) -> None:
        """Close the connection at once."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)
OpenedT_co = TypeVar("OpenedT_co", bound=PooledConnection, covariant=True)


class Connector(Protocol[OpenedT_co]):
    """Open one connection to a backend server."""

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> OpenedT_co:
        """Return an authenticated connection before the deadline in clock seconds.

        Args:
            server: the server to connect to.
            deadline: clock seconds by which the connection must be authenticated.
            account: client account to open it for; empty to open it for this process.

        Raises:
            ConnectionLimitError: the server accepts no more connections.
            ConnectFailedError: the connection failed for any other reason.
        """
        ...
