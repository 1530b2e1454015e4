"""Messages between a proxy and the owner of a group's pools."""

from enum import StrEnum
from typing import ClassVar, Self

from dogwoodspool_api import (
    EndpointMessage,
    ExtendedMessage,
    HostPort,
    Message,
    Name,
    PositionMessage,
)
from dogwoodspool_common import BackendServer, Position
from pydantic import Field

from ..held import ReadBound
from ..identity import ANONYMOUS, Caller
from ..models import (
    Access,
    ErrorCode,
    Prepared,
    Reply,
    Statement,
    StatementError,
    StatementKind,
    TransactionState,
)
from ..requests import Request


class OwnerRefusal(StrEnum):
    """Why an owner did not accept a request, of which nothing ran.

    Attributes:
        LEAVING: its process is shutting down.
        NOT_KNOWN: its view lacks the group, its database or the server, or has another
            incarnation of the server.
        FULL: it already serves its maximum number of new requests.
        UNKNOWN_LEASE: it holds no connection under that lease.
    """

    LEAVING = "leaving"
    NOT_KNOWN = "not_known"
    FULL = "full"
    UNKNOWN_LEASE = "unknown_lease"


class StatementMessage(Message):
    """One statement; see ``Statement``."""

    kind: StatementKind
    request_id: str
    text: str = ""
    name: str = ""
    argument: str = ""
    access: Access | None = None

    @classmethod
    def of(cls, statement: Statement) -> Self:
        """Build the message from the domain object."""
        return cls(
            kind=statement.kind,
            request_id=statement.request_id,
            text=statement.text,
            name=statement.name,
            argument=statement.argument,
            access=statement.access,
        )

    def value(self) -> Statement:
        """Return the domain object."""
        return Statement(
            self.kind,
            self.request_id,
            self.text,
            self.name,
            self.argument,
            self.access,
        )


class PreparedMessage(Message):
    """Content of a prepared statement; see ``Prepared``."""

    access: Access
    shape: str

    @classmethod
    def of(cls, prepared: Prepared) -> Self:
        """Build the message from the domain object."""
        return cls(access=prepared.access, shape=prepared.shape)

    def value(self) -> Prepared:
        """Return the domain object."""
        return Prepared(self.access, self.shape)


class BoundMessage(Message):
    """What the data of a read must reflect; see ``ReadBound``."""

    max_age: float = Field(ge=0)
    at_least: PositionMessage | None = None

    @classmethod
    def of(cls, bound: ReadBound) -> Self:
        """Build the message from the domain object."""
        return cls(max_age=bound.max_age, at_least=_position_message(bound.at_least))

    def value(self) -> ReadBound:
        """Return the domain object."""
        at_least = None if self.at_least is None else self.at_least.value()
        return ReadBound(self.max_age, at_least)


class CallerMessage(Message):
    """On whose behalf a statement runs; see ``Caller``."""

    account: Name
    key_digest: str
    view_version: int = Field(ge=0)

    @classmethod
    def of(cls, caller: Caller) -> Self | None:
        """Build the message from the domain object; None for an anonymous caller."""
        if not caller.account:
            return None
        return cls(
            account=caller.account,
            key_digest=caller.key_digest,
            view_version=caller.view_version,
        )

    def value(self) -> Caller:
        """Return the domain object."""
        return Caller(self.account, self.key_digest, self.view_version)


class ServerIdentity(Message):
    """One process of a backend server, as opposed to those after a restart."""

    server: Name
    address: HostPort
    incarnation: int

    @classmethod
    def of(cls, server: BackendServer) -> Self:
        """Build the message from the domain object."""
        return cls(
            server=server.name,
            address=str(server.address),
            incarnation=server.incarnation,
        )


class StatementRequest(ExtendedMessage):
    """One statement that an owner serves as if one of its own callers had sent it.

    Attributes:
        endpoint: endpoint of the caller's database.
        values: the session's values.
        session_position: position of the session's last commit; None before the first.
        elapsed: seconds since the statement arrived at the sender.
        caller: on whose behalf it runs; None for an anonymous caller.
        at_primary: whether the owner serves it at the primary and never forwards it.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"at_primary"})

    endpoint: EndpointMessage
    statement: StatementMessage
    values: dict[str, str] = {}
    prepared: PreparedMessage | None = None
    session_position: PositionMessage | None = None
    elapsed: float = Field(ge=0)
    caller: CallerMessage | None = None
    at_primary: bool = False

    @classmethod
    def of(cls, request: Request, now: float) -> Self:
        """Build the message from the domain object."""
        return cls(
            endpoint=EndpointMessage.of(request.endpoint),
            statement=StatementMessage.of(request.statement),
            values=dict(request.values),
            prepared=prepared_message(request.prepared),
            session_position=_position_message(request.session_position),
            elapsed=max(0.0, now - request.arrived_at),
            caller=CallerMessage.of(request.caller),
            at_primary=request.at_primary,
        )

    def value(self, now: float) -> Request:
        """Return the domain object."""
        position = self.session_position
        return Request(
            endpoint=self.endpoint.value(),
            statement=self.statement.value(),
            values=self.values,
            prepared=None if self.prepared is None else self.prepared.value(),
            session_position=None if position is None else position.value(),
            arrived_at=now - self.elapsed,
            caller=caller_of(self.caller),
            at_primary=self.at_primary,
        )


class TransactionRequest(Message):
    """One statement of a transaction, for the connection that the owner keeps for it.

    Attributes:
        is_order: whether the pooler itself issued it, so that it needs no session
            state.
        values: the session's values.
        bound: what the server must reflect; None if only the primary may serve it.
        lease: lease of the transaction's connection; None before its first reply.
        priority: priority of the request; lower numbers are admitted first.
        wait: seconds for which it may wait for admission.
        answer: seconds that the server may take to reply.
        caller: on whose behalf it runs; None for an anonymous caller.
        target: seconds until which an answer is in time, negative when they have
            passed; None in messages of earlier builds.
        kind: statements of one kind take similar times.
    """

    server: ServerIdentity
    statement: StatementMessage
    is_order: bool = False
    values: dict[str, str] = {}
    prepared: PreparedMessage | None = None
    bound: BoundMessage | None = None
    lease: str | None = None
    priority: int
    wait: float = Field(ge=0)
    answer: float = Field(gt=0)
    caller: CallerMessage | None = None
    target: float | None = None
    kind: str = ""


class RefusalMessage(Message):
    """Why a statement has no result; see ``StatementError``."""

    code: ErrorCode
    message: str
    retry_after_ms: int = 0

    @classmethod
    def of(cls, error: StatementError) -> Self:
        """Build the message from the domain object."""
        return cls(
            code=error.code,
            message=error.message,
            retry_after_ms=error.retry_after_ms,
        )

    def value(self) -> StatementError:
        """Return the domain object."""
        return StatementError(self.code, self.message, self.retry_after_ms)


class ReplyMessage(Message):
    """A server's reply to one statement; see ``Reply``."""

    rows: list[str]
    proof: str
    error: RefusalMessage | None = None
    state: TransactionState
    position: PositionMessage | None = None

    @classmethod
    def of(cls, reply: Reply) -> Self:
        """Build the message from the domain object."""
        error = reply.error
        return cls(
            rows=list(reply.rows),
            proof=reply.proof,
            error=None if error is None else RefusalMessage.of(error),
            state=reply.state,
            position=_position_message(reply.position),
        )

    def value(self) -> Reply:
        """Return the domain object."""
        error = None if self.error is None else self.error.value()
        position = None if self.position is None else self.position.value()
        return Reply(tuple(self.rows), self.proof, error, self.state, position)


class Failure(StrEnum):
    """Why an owner has no reply from the server.

    Attributes:
        REFUSED: the request got no slot or connection; it did not run.
        NOT_FRESH: no position is known that satisfies its bound; it did not run.
        NOT_REACHED: no connection could be opened; it did not run.
        DOWN: the server's machine refused the connection; it did not run.
        ENDED: the transaction's connection had ended; the server rolls it back.
        UNANSWERED: it was sent and no complete reply arrived.
    """

    REFUSED = "refused"
    NOT_FRESH = "not_fresh"
    NOT_REACHED = "not_reached"
    DOWN = "down"
    ENDED = "ended"
    UNANSWERED = "unanswered"


class StatementResponse(ExtendedMessage):
    """Outcome of a statement: a reply, or why it did not run.

    Attributes:
        is_answer_lost: whether a server may have run it, a read, without an answer.
        has_no_primary: whether it did not run because the owner cannot reach the
            primary; the sender may be able to.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"is_answer_lost"})

    reply: ReplyMessage | None = None
    refusal: RefusalMessage | None = None
    has_no_primary: bool = False
    is_answer_lost: bool = False


class TransactionResponse(Message):
    """Outcome of a transaction's statement: a reply, or why there is none.

    Attributes:
        refusal: the error for the caller, if the failure is ``REFUSED``.
        lease: lease of the transaction's connection; None if no transaction is open.
    """

    reply: ReplyMessage | None = None
    lease: str | None = None
    failure: Failure | None = None
    message: str = ""
    refusal: RefusalMessage | None = None


class ReleaseLease(Message):
    """Release of a connection that a transaction no longer needs."""

    lease: str
    is_good: bool


def caller_of(message: CallerMessage | None) -> Caller:
    """Return the caller that a message names, if any."""
    return ANONYMOUS if message is None else message.value()


def prepared_message(prepared: Prepared | None) -> PreparedMessage | None:
    """Return the message for the prepared statement to execute, if any."""
    return None if prepared is None else PreparedMessage.of(prepared)


def _position_message(position: Position | None) -> PositionMessage | None:
    return None if position is None else PositionMessage.of(position)
