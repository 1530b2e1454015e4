"""What a pool needs of the connections that it holds."""

from typing import Protocol, TypeVar

from dogwoodspool_common import BackendServer


class PooledConnection(Protocol):
    """One connection to a backend server, used by one caller at a time.

    Attributes:
        answered_at: when the server last gave a complete answer, clock seconds.
        is_probing: the pool gave it to a probe and not to a caller.
        generation: the pool's count of settings under which it was opened.
    """

    answered_at: float
    is_probing: bool
    generation: int

    @property
    def went_silent(self) -> bool:
        """Tell whether a wait for the server ended without an answer."""
        ...

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry another statement."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Tell whether the server's last answer was inside a transaction."""
        ...

    @property
    def needs_reset(self) -> bool:
        """Tell whether something of the last caller must not reach the next."""
        ...

    @property
    def has_unread_answer(self) -> bool:
        """Tell whether the last statement's answer was not read to its end."""
        ...

    def has_unexpected_input(self) -> bool:
        """Tell whether an idle connection holds bytes or its end."""
        ...

    def ping(self, timeout: float) -> None:
        """Ask for a sign of life; raise ``BackendError`` and close without one."""
        ...

    def reset(self, timeout: float) -> None:
        """Make the connection fit for another caller, or raise ``BackendError``."""
        ...

    def close(self) -> None:
        """Close the connection at once."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)
OpenedT_co = TypeVar("OpenedT_co", bound=PooledConnection, covariant=True)


class Connector(Protocol[OpenedT_co]):
    """Open one connection to a backend server."""

    def connect(self, server: BackendServer, deadline: float) -> OpenedT_co:
        """Return a connection that is logged in, before the clock's deadline.

        Raises:
            ConnectionLimitError: the server takes no more connections.
            ConnectFailedError: for every other reason.
        """
        ...
