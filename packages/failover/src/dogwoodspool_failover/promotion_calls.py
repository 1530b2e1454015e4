"""Send the promotion calls of one change of primary."""

from enum import StrEnum

from dogwoodspool_common import BackendServer, log_event
from dogwoodspool_control.commands import IssueToken

from .const import PROMOTION_CALL_TIMEOUT
from .dependencies import ChangeDependencies
from .errors import (
    PromotionNotTakenError,
    PromotionRefusedError,
    PromotionUnknownError,
)


class CallAnswer(StrEnum):
    """What is known of a promotion call.

    Attributes:
        OPEN: it got no answer and may still be carried out.
        ACCEPTED: it is carried out, and no call with a lower token is from now on.
        REFUSED: it is never carried out. Calls with lower tokens may still be.
        NOT_TAKEN: likewise, and the same call may succeed later.
    """

    OPEN = "open"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_TAKEN = "not_taken"


class PromotionCalls:
    """Send calls, each with a fencing token that is committed before.

    The committed promotion names the newest token and all servers that were called, so
    that the next leader knows of the calls that are open.
    """

    def __init__(self, group: str, dependencies: ChangeDependencies) -> None:
        self._group = group
        self._dependencies = dependencies
        self._answers: dict[int, tuple[str, CallAnswer]] = {}

    def issue(self, server: BackendServer, term: int) -> int:
        """Commit and return the token of the next call, which names this server.

        Every later call, by this leader or the next one, carries a higher token, so
        the platform rejects this call if it is executed after a later one.
        """
        command = IssueToken(self._group, self._dependencies.holder, server.name, term)
        return self._dependencies.node.commit(command).version

    def send(self, server: BackendServer, token: int) -> CallAnswer:
        """Send the call of a token."""
        answer = self._send(server, token)
        self._answers[token] = server.name, answer
        return answer

    def has_rivals(self, server: BackendServer) -> bool:
        """Return whether a call of this change has named another server."""
        promotion = self._dependencies.state.promotion(self._group)
        called = () if promotion is None else promotion.called
        return any(name != server.name for name in called)

    def report(self, result: str, term: int) -> None:
        """Log the calls of this process at the end of an attempt or of the change."""
        log_event(
            "promotion_calls",
            group=self._group,
            term=term,
            result=result,
            calls=",".join(
                f"{server}:{token}:{answer}"
                for token, (server, answer) in self._answers.items()
            ),
        )

    def _send(self, server: BackendServer, token: int) -> CallAnswer:
        try:
            self._dependencies.service.promote(
                server, self._dependencies.holder, token, PROMOTION_CALL_TIMEOUT
            )
        except PromotionRefusedError as error:
            log_event(
                "promotion_refused", server=server.name, fence=token, reason=error
            )
            return CallAnswer.REFUSED
        except PromotionNotTakenError as error:
            log_event(
                "promotion_not_taken", server=server.name, fence=token, reason=error
            )
            return CallAnswer.NOT_TAKEN
        except PromotionUnknownError as error:
            log_event(
                "promotion_unknown", server=server.name, fence=token, reason=error
            )
            return CallAnswer.OPEN
        log_event("promotion_ordered", server=server.name, fence=token)
        return CallAnswer.ACCEPTED
