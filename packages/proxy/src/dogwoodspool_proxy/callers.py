"""State of one caller connection."""

from dataclasses import dataclass, field

from dogwoodspool_sessions import Session

from .access import HeldConnection
from .models import WritePermit


class Transaction:
    """One open transaction.

    The connection is acquired with the first statement, so that a transaction
    without statements holds none of the scarce connections.

    Attributes:
        is_read_only: whether the caller began it as read-only.
        began_at: clock time in seconds at which it began.
        permit: the right to write; None in a read-only transaction.
        held: the connection; None before the first statement.
        has_failed: whether it was rolled back and only waits to be ended.
        is_counted: whether it was counted against its account's rate limit.
    """

    def __init__(self, is_read_only: bool, began_at: float) -> None:
        self.is_read_only = is_read_only
        self.began_at = began_at
        self.permit: WritePermit | None = None
        self.held: HeldConnection | None = None
        self.has_failed = False
        self.is_counted = False


@dataclass(slots=True)
class CallerState:
    """State of one caller connection.

    Attributes:
        user: name of the authenticated caller.
        group: selected database group; empty before one is selected.
        session: positions of the writes that the caller must be able to read.
        is_autocommit: whether each statement commits by itself.
        last_insert_id: generated key of the caller's last write.
        transaction: the open transaction; None when there is none.
        account: client account of the running request; empty for none.
    """

    user: str
    group: str = ""
    session: Session = field(default_factory=Session)
    is_autocommit: bool = True
    last_insert_id: int = 0
    transaction: Transaction | None = None
    account: str = ""
