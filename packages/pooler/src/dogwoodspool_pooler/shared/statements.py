"""Forward single statements to the owners of their groups' pools."""

from collections.abc import Sequence

from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_sharing import Neighbour, ProxyDirectory

from ..errors import AnswerLostError, NoPrimaryError, NotServedError
from ..models import Reply, StatementError
from ..requests import Request
from ..statements import Statements
from ..writes import write_in_doubt
from .const import HOP_SECONDS, OWNER_READ_SHARE, PATH_STATEMENT
from .errors import OwnerSilentError, OwnerUnavailableError
from .messages import StatementRequest, StatementResponse
from .owner_client import OwnerClient


class SharedStatements:
    """Serve single statements at the owners of their group's pools.

    Implements ``Statements``. An owner that does not accept a request or cannot reach
    the primary has not run it, so the next one is tried, and after the last one this
    process serves it. An owner that accepted a write and does not answer may have had
    it run.
    """

    def __init__(
        self,
        local: Statements,
        directory: ProxyDirectory,
        client: OwnerClient,
        clock: Clock,
    ) -> None:
        self._local = local
        self._directory = directory
        self._client = client
        self._clock = clock

    def run(self, request: Request) -> Reply:
        """Serve one statement."""
        owners = self._directory.owners(request.endpoint.group, request.caller.account)
        if owners is None:
            return self._local.run(request)
        try:
            reply = self._try_owners(request, owners)
        except OwnerSilentError as error:
            if request.writes:
                return write_in_doubt(request, error)
            reply = None
        return self._local.run(request) if reply is None else reply

    def _try_owners(
        self, request: Request, owners: Sequence[Neighbour]
    ) -> Reply | None:
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


class NeighbourStatements:
    """Serve single statements of neighbours on the local pools.

    Implements ``Statements``.
    """

    def __init__(self, local: Statements, directory: ProxyDirectory) -> None:
        self._local = local
        self._directory = directory

    def run(self, request: Request) -> Reply:
        """Serve one statement."""
        self._directory.record_neighbour_request(request.endpoint.group)
        return self._local.run(request)


def _error_of(response: StatementResponse, refusal: StatementError) -> NotServedError:
    if response.is_answer_lost:
        return AnswerLostError(refusal)
    if response.has_no_primary:
        return NoPrimaryError(refusal)
    return NotServedError(refusal)
