"""What the proxy keeps for one caller connection."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dogwoodspool_sessions import Session

if TYPE_CHECKING:
    from .transactions import Transaction


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
    transaction: "Transaction | None" = None
