"""Ask owners to serve single statements."""

from collections.abc import Iterable

from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_sharing import Neighbour

from ..errors import AnswerLostError, NoPrimaryError, NotServedError
from ..models import Reply, StatementError
from ..requests import Request
from .const import HOP_SECONDS, OWNER_READ_SHARE, PATH_STATEMENT
from .errors import OwnerSilentError, OwnerUnavailableError
from .messages import StatementRequest, StatementResponse
from .owner_client import OwnerClient


class OwnerStatements:
    """Send a statement to the first owner that serves it.

    An owner that does not accept a request or cannot reach the primary has not run it,
    so the next one is tried. An owner that accepted a write and does not answer may
    have had it run.
    """

    def __init__(self, client: OwnerClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    def run(self, request: Request, owners: Iterable[Neighbour]) -> Reply | None:
        """Return the reply; None if no owner served the statement and none ran it.

        Raises:
            NotServedError: an owner refused it; it did not run.
            AnswerLostError: it is a read, whose answer was lost.
            OwnerSilentError: an owner did not answer; it may have run.
        """
        for owner in owners:
            remaining = request.deadline - self._clock.now() - HOP_SECONDS
            if remaining <= 0:
                return None
            try:
                return self._ask(owner, request, remaining)
            except (OwnerUnavailableError, NoPrimaryError) as error:
                log_rate_limited(
                    "owner_did_not_serve",
                    request=request.statement.request_id,
                    owner=owner.name,
                    reason=error,
                )
        return None

    def _ask(self, owner: Neighbour, request: Request, remaining: float) -> Reply:
        seconds = remaining if request.writes else remaining * OWNER_READ_SHARE
        now = self._clock.now()
        # The owner gets a shorter deadline than the wait for its answer, so that it
        # answers in time even if only with a refusal. Otherwise a slow server would
        # make the owner look unresponsive.
        bounded = request.with_deadline(now + seconds)
        response = self._client.ask(
            owner,
            PATH_STATEMENT,
            StatementRequest.of(bounded, now),
            StatementResponse,
            seconds + HOP_SECONDS,
        )
        if response.reply is not None:
            return response.reply.value()
        if response.refusal is None:
            raise OwnerSilentError(
                f"{owner.name}: the answer has neither a reply nor a refusal"
            )
        raise _error_of(response, response.refusal.value())


def _error_of(response: StatementResponse, refusal: StatementError) -> NotServedError:
    if response.is_answer_lost:
        return AnswerLostError(refusal)
    if response.has_no_primary:
        return NoPrimaryError(refusal)
    return NotServedError(refusal)
