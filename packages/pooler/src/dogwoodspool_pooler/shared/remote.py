"""Have requests run by the proxies that own the pools of their groups."""

from collections.abc import Callable, Mapping, Sequence

from dogwoodspool_common import (
    BackendServer,
    JsonClient,
    PeerNotConnectedError,
    PeerRefusedError,
    PeerUnreachableError,
    log_rate_limited,
    span,
)
from dogwoodspool_connections import (
    ConnectFailedError,
    DeadlinePassedError,
    OutcomeUnknownError,
    ServerDownError,
    ServerNotReachedError,
)
from dogwoodspool_following import ViewStore
from dogwoodspool_sharing import Neighbour, ProxyDirectory
from pydantic import ValidationError

from ..access import ServerAccess
from ..errors import NotFreshError, NotServedError
from ..held import HeldConnection, ReadBound
from ..models import (
    ErrorCode,
    Prepared,
    Reply,
    Statement,
    StatementError,
)
from ..requests import Request
from .const import (
    CODE_NOT_OWNER,
    CODE_UNKNOWN_LEASE,
    HOP_SECONDS,
    PATH_RELEASE,
    PATH_STATEMENT,
    RELEASE_TIMEOUT,
)
from .errors import LeaseLostError, OwnerSilentError, OwnerUnavailableError
from .messages import (
    BoundMessage,
    Failure,
    PreparedMessage,
    ReleaseLease,
    ServerIdentity,
    StatementMessage,
    StatementRequest,
    StatementResponse,
)

# Runs a statement on a connection of this process.
Perform = Callable[[HeldConnection], Reply]


class OwnedPools:
    """Hand requests to the owners of their groups' pools; see ``SharedPools``."""

    def __init__(
        self,
        directory: ProxyDirectory,
        views: ViewStore,
        access: ServerAccess,
        client: JsonClient,
    ) -> None:
        self._directory = directory
        self._views = views
        self._access = access
        self._client = client

    def shares(self, group: str) -> bool:
        """Tell whether requests to a group are handed on."""
        servers = self._views.view.servers_of(group)
        return bool(servers) and self._owners(servers[0]) is not None

    def open(self, server: BackendServer, request: Request) -> HeldConnection | None:
        """Return what stands for a connection; None where it is not handed on.

        Nothing is sent before the first statement.
        """
        owners = self._owners(server)
        if owners is None:
            return None
        return RemoteHold(
            server, request, owners, self._directory, self._access, self._client
        )

    def _owners(self, server: BackendServer) -> Sequence[Neighbour] | None:
        settings = self._views.settings(server.group)
        connections = settings.server_connections or server.connections
        return self._directory.owners(server.group, connections)


class RemoteHold:
    """A connection that an owner lends for a statement or a transaction.

    An owner that cannot be reached has not run anything, and the next one is asked; in
    the end a connection of this process serves. One that took a statement and gives no
    answer may have had it run.
    """

    def __init__(
        self,
        server: BackendServer,
        request: Request,
        owners: Sequence[Neighbour],
        directory: ProxyDirectory,
        access: ServerAccess,
        client: JsonClient,
    ) -> None:
        self._server = server
        self._request = request
        self._owners = owners
        self._directory = directory
        self._access = access
        self._client = client
        self._lender: Neighbour | None = None
        self._lease: str | None = None
        self._own: HeldConnection | None = None

    @property
    def server(self) -> BackendServer:
        """The backend server."""
        return self._server

    @property
    def in_transaction(self) -> bool:
        """Tell whether a transaction is open on it."""
        if self._own is not None:
            return self._own.in_transaction
        return self._lease is not None

    def run(
        self,
        values: Mapping[str, str],
        statement: Statement,
        prepared: Prepared | None,
        deadline: float,
        *,
        then: Statement | None = None,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run one statement in a session's state."""
        message = self._message(statement, deadline, bound).model_copy(
            update={
                "values": dict(values),
                "prepared": None if prepared is None else PreparedMessage.of(prepared),
                "then": None if then is None else StatementMessage.of(then),
            }
        )
        return self._perform(
            message,
            lambda own: own.run(
                values, statement, prepared, deadline, then=then, bound=bound
            ),
        )

    def order(
        self,
        statement: Statement,
        deadline: float,
        *,
        bound: ReadBound | None = None,
    ) -> Reply:
        """Run one of the pooler's own statements."""
        message = self._message(statement, deadline, bound).model_copy(
            update={"is_order": True, "values": dict(self._request.values)}
        )
        return self._perform(
            message, lambda own: own.order(statement, deadline, bound=bound)
        )

    def finish(self, *, is_good: bool) -> None:
        """Give connection and place back; finishing again does nothing."""
        if self._own is not None:
            self._own.finish(is_good=is_good)
        lease, self._lease = self._lease, None
        if lease is None or self._lender is None:
            return
        message = ReleaseLease(lease=lease, is_good=is_good)
        try:
            self._client.post(
                self._lender.endpoint,
                PATH_RELEASE,
                message.model_dump(mode="json"),
                RELEASE_TIMEOUT,
            )
        except (PeerUnreachableError, PeerRefusedError) as error:
            # The owner ends the lease by itself a little later.
            log_rate_limited("release_failed", owner=self._lender.name, reason=error)

    def _message(
        self, statement: Statement, deadline: float, bound: ReadBound | None
    ) -> StatementRequest:
        now = self._access.now()
        answer = deadline - now - HOP_SECONDS
        if answer <= 0:
            raise DeadlinePassedError("the deadline passed before anything was sent")
        return StatementRequest(
            server=ServerIdentity.of(self._server),
            statement=StatementMessage.of(statement),
            bound=None if bound is None else BoundMessage.of(bound),
            lease=self._lease,
            priority=self._request.endpoint.priority,
            wait=max(0.0, self._request.start_by - now),
            answer=answer,
        )

    def _perform(self, message: StatementRequest, on_own: Perform) -> Reply:
        if self._own is not None:
            return on_own(self._own)
        if self._lender is not None and self._lease is not None:
            return self._ask(self._lender, message)
        for owner in self._owners:
            try:
                return self._ask(owner, message)
            except OwnerUnavailableError as error:
                self._directory.note_failed(owner.name)
                log_rate_limited("owner_passed_over", owner=owner.name, reason=error)
        self._own = self._access.open_here(self._server, self._request.place())
        return on_own(self._own)

    def _ask(self, owner: Neighbour, message: StatementRequest) -> Reply:
        self._lender, self._lease = owner, None
        with self._access.observed(self._server):
            response = self._post(owner, message)
            if response.reply is None:
                raise self._failure(response, message)
        self._lease = response.lease
        return response.reply.value()

    def _post(self, owner: Neighbour, message: StatementRequest) -> StatementResponse:
        timeout = message.answer + HOP_SECONDS
        if message.lease is None:
            timeout += message.wait
        content = message.model_dump(mode="json", exclude_defaults=True)
        try:
            with span("owner.statement", owner=owner.name):
                answer = self._client.post(
                    owner.endpoint, PATH_STATEMENT, content, timeout
                )
            return StatementResponse.model_validate(answer)
        except PeerNotConnectedError as error:
            if message.lease is not None:
                raise LeaseLostError(f"{owner.name}: {error}") from error
            raise OwnerUnavailableError(f"{owner.name}: {error}") from error
        except PeerRefusedError as error:
            if error.code == CODE_NOT_OWNER:
                raise OwnerUnavailableError(f"{owner.name}: {error}") from error
            if error.code == CODE_UNKNOWN_LEASE:
                raise LeaseLostError(f"{owner.name}: {error}") from error
            raise OwnerSilentError(f"{owner.name}: {error}") from error
        except (PeerUnreachableError, ValidationError) as error:
            self._directory.note_failed(owner.name)
            log_rate_limited("owner_silent", owner=owner.name, reason=error)
            raise OwnerSilentError(f"{owner.name}: {error}") from error

    def _failure(
        self, response: StatementResponse, message: StatementRequest
    ) -> Exception:
        """Return the error for what the owner says, and take in what it shows."""
        text = f"{self._server.name}: {response.message}"
        match response.failure:
            case Failure.REFUSED:
                code = response.error_code or ErrorCode.BUSY
                error = StatementError(code, response.message, response.retry_after_ms)
                return NotServedError(error)
            case Failure.NOT_FRESH:
                return NotFreshError(text)
            case Failure.ENDED if message.lease is not None:
                return LeaseLostError(text)
            case Failure.UNANSWERED:
                unanswered = OutcomeUnknownError(text)
                self._access.note_trouble(self._server, unanswered)
                return unanswered
        failed: ConnectFailedError = ServerNotReachedError(text)
        if response.failure is Failure.DOWN:
            failed = ServerDownError(text)
        self._access.note_unreachable(self._server, failed)
        return failed
