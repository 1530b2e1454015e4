"""Connection at an owner that is held for a transaction of this process."""

from collections.abc import Callable, Iterable, Mapping, Sequence

from dogwoodspool_common import BackendServer
from dogwoodspool_connections import (
    ConnectFailedError,
    DeadlinePassedError,
    OutcomeUnknownError,
    ServerDownError,
    ServerNotReachedError,
)
from dogwoodspool_sharing import Neighbour

from ..access import ServerAccess
from ..errors import NotFreshError, NotServedError
from ..held import HeldConnection, ReadBound
from ..models import ErrorCode, Prepared, Reply, Statement, StatementError
from ..requests import Request
from .const import FORWARDED_TOKEN_AGE, HOP_SECONDS, PATH_TRANSACTION
from .errors import LeaseLostError, OwnerUnavailableError, UnknownLeaseError
from .messages import (
    BoundMessage,
    CallerMessage,
    Failure,
    ServerIdentity,
    StatementMessage,
    TransactionRequest,
    TransactionResponse,
    prepared_message,
)
from .owner_client import OwnerClient

# Runs a statement on a local connection once no owner could be reached.
LocalRun = Callable[[HeldConnection], Reply]
# Builds a message with the time that is left when it is sent.
MessageBuilder = Callable[[], TransactionRequest]


class RemoteHeldConnection:
    """A connection at an owner; implements ``HeldConnection``.

    An owner that cannot be reached has not run anything, so the next one is tried, and
    after the last one a local connection is used. Once an owner has begun the
    transaction, all of its statements run there.

    Args:
        primary_owners: owners in the failure domain of the server, which are tried
            first. If one cannot reach the server, the others are tried as well.
        sends_target: whether owners order requests by their targets. Owners of earlier
            builds reject messages that name one.
    """

    def __init__(
        self,
        server: BackendServer,
        request: Request,
        owners: Sequence[Neighbour],
        access: ServerAccess,
        client: OwnerClient,
        primary_owners: Iterable[Neighbour] = (),
        *,
        sends_target: bool = False,
    ) -> None:
        self._server = server
        self._request = request
        self._owners = owners
        self._primary_owners = primary_owners
        self._sends_target = sends_target
        self._access = access
        self._client = client
        self._owner: Neighbour | None = None
        self._lease: str | None = None
        self._local: HeldConnection | None = None

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._server

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction is open on it."""
        if self._local is not None:
            return self._local.in_transaction
        return self._lease is not None

    @property
    def is_remote(self) -> bool:
        """Return whether an owner has run its statements."""
        return self._local is None

    def run(
        self,
        values: Mapping[str, str],
        statement: Statement,
        prepared: Prepared | None,
        deadline: float,
    ) -> Reply:
        """Run one statement with a session's values and prepared statement."""
        content = {"values": dict(values), "prepared": prepared_message(prepared)}
        return self._perform(
            lambda: self._message(statement, deadline).model_copy(update=content),
            lambda local: local.run(values, statement, prepared, deadline),
        )

    def run_internal(
        self,
        statement: Statement,
        deadline: float,
        *,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run a statement that the pooler itself issues, such as a begin."""
        content = {
            "is_order": True,
            "values": dict(self._request.values),
            "bound": None if bound is None else BoundMessage.of(bound),
        }
        return self._perform(
            lambda: self._message(statement, deadline).model_copy(update=content),
            lambda local: local.run_internal(statement, deadline, bound=bound),
        )

    def finish(self, *, is_good: bool) -> None:
        """Release the connection and its admission; repeated calls do nothing."""
        if self._local is not None:
            self._local.finish(is_good=is_good)
        lease, self._lease = self._lease, None
        if lease is not None and self._owner is not None:
            self._client.release(self._owner, lease, is_good=is_good)

    def _message(self, statement: Statement, deadline: float) -> TransactionRequest:
        now = self._access.now()
        answer = deadline - now - HOP_SECONDS
        if answer <= 0:
            raise DeadlinePassedError("the deadline passed before the request was sent")
        return TransactionRequest(
            server=ServerIdentity.of(self._server),
            statement=StatementMessage.of(statement),
            lease=self._lease,
            priority=self._request.endpoint.priority,
            wait=max(0.0, self._request.start_by - now),
            answer=answer,
            caller=CallerMessage.of(self._request.caller),
            target=self._request.target - now if self._sends_target else None,
            kind=self._request.endpoint.database if self._sends_target else "",
        )

    def _perform(self, build: MessageBuilder, run_locally: LocalRun) -> Reply:
        if self._local is not None:
            return run_locally(self._local)
        if self._owner is not None and self._lease is not None:
            return self._continue(self._owner, build())
        for owner in self._primary_owners:
            self._check_token()
            try:
                return self._begin(owner, build())
            except (OwnerUnavailableError, ServerNotReachedError):
                continue
        for owner in self._owners:
            self._check_token()
            try:
                return self._begin(owner, build())
            except OwnerUnavailableError:
                continue
        self._local = self._access.open_local(
            self._server, self._request.admission_request()
        )
        return run_locally(self._local)

    def _check_token(self) -> None:
        self._access.check_token(self._request.admission_request(), FORWARDED_TOKEN_AGE)

    def _begin(self, owner: Neighbour, message: TransactionRequest) -> Reply:
        return self._ask(owner, message, message.wait + message.answer)

    def _continue(self, owner: Neighbour, message: TransactionRequest) -> Reply:
        try:
            return self._ask(owner, message, message.answer)
        except (OwnerUnavailableError, UnknownLeaseError) as error:
            raise LeaseLostError(str(error)) from error

    def _ask(
        self, owner: Neighbour, message: TransactionRequest, seconds: float
    ) -> Reply:
        self._owner, self._lease = owner, None
        with self._access.count_in_flight(self._server) as work:
            response = self._client.ask(
                owner,
                PATH_TRANSACTION,
                message,
                TransactionResponse,
                seconds + HOP_SECONDS,
            )
            if response.reply is None:
                raise self._failure(response, message)
            reply = response.reply.value()
            work.record([message.statement.value()], [reply])
        self._lease = response.lease
        return reply

    def _failure(
        self, response: TransactionResponse, message: TransactionRequest
    ) -> Exception:
        """Return the error for an owner's answer and record what it shows."""
        text = f"{self._server.name}: {response.message}"
        match response.failure:
            case Failure.REFUSED if response.refusal is not None:
                return NotServedError(response.refusal.value())
            case Failure.REFUSED:
                return NotServedError(StatementError(ErrorCode.BUSY, text))
            case Failure.NOT_FRESH:
                return NotFreshError(text)
            case Failure.ENDED if message.lease is not None:
                return LeaseLostError(text)
            case Failure.UNANSWERED:
                unanswered = OutcomeUnknownError(text)
                self._access.record_no_answer(self._server, unanswered)
                return unanswered
        failed: ConnectFailedError = ServerNotReachedError(text)
        if response.failure is Failure.DOWN:
            failed = ServerDownError(text)
        self._access.record_unreachable(self._server, failed)
        return failed
