"""Guards of read-your-writes."""

from types import SimpleNamespace
from typing import Any

from .model import Guard, replace


def satisfies_always() -> None:
    """Treat every replica as fresh enough."""
    from dogwoodspool_proxy import reads
    from dogwoodspool_routing import read_router

    def satisfies(*_arguments: Any) -> bool:
        return True

    replace(reads, "satisfies", satisfies)
    replace(read_router, "satisfies", satisfies)


def unknown_session_is_new() -> None:
    """Treat a connection without a token as one that has written nothing."""
    from dogwoodspool_sessions import Session

    original = Session.__init__

    def initialise(self: Any) -> None:
        original(self)
        self.mark_complete()

    replace(Session, "__init__", initialise)


def signature_unchecked() -> None:
    """Accept tokens with any signature."""
    import hmac

    from dogwoodspool_sessions import token

    replace(
        token, "hmac", SimpleNamespace(new=hmac.new, compare_digest=lambda _a, _b: True)
    )


def future_accepted() -> None:
    """Ignore positions of terms that this proxy does not know."""
    from dogwoodspool_sessions import Session
    from dogwoodspool_sessions.models import ReadPosition
    from expression import Ok

    original = Session.read_position

    def read_position(self: Any, state: Any) -> Any:
        position = self.positions.get(state.name)
        if position is not None and position.term > state.term:
            return Ok(ReadPosition(None, True))
        return original(self, state)

    replace(Session, "read_position", read_position)


def lost_branch_accepted() -> None:
    """Compare offsets without checking where the terms branched off."""
    from dogwoodspool_sessions import history, session

    def is_lost(*_arguments: Any) -> bool:
        return False

    replace(history, "is_lost", is_lost)
    replace(session, "is_lost", is_lost)


GUARDS = (
    Guard("satisfies-always", satisfies_always),
    Guard("unknown-session-is-new", unknown_session_is_new),
    Guard("signature-unchecked", signature_unchecked),
    Guard("future-accepted", future_accepted),
    Guard("lost-branch-accepted", lost_branch_accepted),
)
