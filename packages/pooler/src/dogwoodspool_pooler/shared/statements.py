"""Have single statements served by the owners of their groups' pools."""

from collections.abc import Sequence

from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_sharing import Neighbour, ProxyDirectory

from ..errors import NoPrimaryError, NotServedError
from ..models import Reply
from ..requests import Request
from ..statements import Statements
from ..writes import write_in_doubt
from .const import HOP_SECONDS, OWNER_READ_SHARE, PATH_STATEMENT
from .errors import OwnerSilentError, OwnerUnavailableError
from .messages import StatementRequest, StatementResponse
from .owner_client import OwnerClient


class SharedStatements:
    """Serve single statements where their group's pools are; see ``Statements``.

    An owner that does not take a request, or reaches no primary, has not run it, and
    the next one is asked; in the end this process serves it. One that took a write and
    gives no answer may have had it run.
    """

    def __init__(
        self,
        own: Statements,
        directory: ProxyDirectory,
        client: OwnerClient,
        clock: Clock,
    ) -> None:
        self._own = own
        self._directory = directory
        self._client = client
        self._clock = clock

    def run(self, request: Request) -> Reply:
        """Serve one statement."""
        owners = self._directory.owners(request.endpoint.group)
        if owners is None:
            return self._own.run(request)
        try:
            reply = self._ask_in_turn(request, owners)
        except OwnerSilentError as error:
            if request.writes:
                return write_in_doubt(request, error)
            reply = None
        return self._own.run(request) if reply is None else reply

    def _ask_in_turn(
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
        # An owner answers in time, be it that it does not serve: else its server's
        # slowness would count as its own silence.
        bounded = request.due_by(now + seconds)
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
            raise OwnerSilentError(f"{owner.name}: neither a reply nor a refusal")
        refused = NoPrimaryError if response.has_no_primary else NotServedError
        raise refused(response.refusal.value())
