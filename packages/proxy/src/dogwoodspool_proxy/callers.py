"""What the proxy keeps for one caller connection."""

from dataclasses import dataclass, field

from dogwoodspool_sessions import Session

from .access import HeldConnection
from .models import WritePermit


class Transaction:
    """One open transaction.

    The connection is taken with the first statement, so that a transaction
    without statements holds none of the scarce connections.

    Attributes:
        is_read_only: the caller said so when it began.
        began_at: clock time in seconds.
        permit: the right to write; None in a read-only transaction.
        held: the connection; None before the first statement.
        has_failed: the transaction was undone and only its end is missing.
    """

    def __init__(self, is_read_only: bool, began_at: float) -> None:
        self.is_read_only = is_read_only
        self.began_at = began_at
        self.permit: WritePermit | None = None
        self.held: HeldConnection | None = None
        self.has_failed = False


@dataclass(slots=True)
class CallerState:
    """One caller connection.

    Attributes:
        user: the authenticated caller.
        group: database group in use; empty before one is chosen.
        session: what the caller has written and must be able to read.
        is_autocommit: each statement commits by itself.
        last_insert_id: generated key of the caller's last write.
        transaction: the open transaction.
    """

    user: str
    group: str = ""
    session: Session = field(default_factory=Session)
    is_autocommit: bool = True
    last_insert_id: int = 0
    transaction: Transaction | None = None
