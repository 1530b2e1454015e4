"""Messages between a proxy and the owner of a pool."""

from enum import StrEnum
from typing import Self

from dogwoodspool_api import (
    EndpointMessage,
    HostPort,
    Message,
    Name,
    PositionMessage,
)
from dogwoodspool_common import BackendServer, Position
from pydantic import Field

from ..held import ReadBound
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
    """Why an owner does not take a request; nothing of it ran.

    Attributes:
        LEAVING: its process ends soon.
        NOT_KNOWN: its view has no such group or server, or not the same process.
        FULL: it works on as many new requests as it can.
        UNKNOWN_LEASE: it holds no connection under that name.
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
        """Build the message from the inner value."""
        return cls(
            kind=statement.kind,
            request_id=statement.request_id,
            text=statement.text,
            name=statement.name,
            argument=statement.argument,
            access=statement.access,
        )

    def value(self) -> Statement:
        """Return the inner value."""
        return Statement(
            self.kind,
            self.request_id,
            self.text,
            self.name,
            self.argument,
            self.access,
        )


class PreparedMessage(Message):
    """What a prepared statement does; see ``Prepared``."""

    access: Access
    shape: str

    @classmethod
    def of(cls, prepared: Prepared) -> Self:
        """Build the message from the inner value."""
        return cls(access=prepared.access, shape=prepared.shape)

    def value(self) -> Prepared:
        """Return the inner value."""
        return Prepared(self.access, self.shape)


class BoundMessage(Message):
    """What a read must reflect; see ``ReadBound``."""

    max_age: float = Field(ge=0)
    at_least: PositionMessage | None = None

    @classmethod
    def of(cls, bound: ReadBound) -> Self:
        """Build the message from the inner value."""
        return cls(max_age=bound.max_age, at_least=_position_message(bound.at_least))

    def value(self) -> ReadBound:
        """Return the inner value."""
        at_least = None if self.at_least is None else self.at_least.value()
        return ReadBound(self.max_age, at_least)


class ServerIdentity(Message):
    """The very process of a backend server that is meant."""

    server: Name
    address: HostPort
    incarnation: int

    @classmethod
    def of(cls, server: BackendServer) -> Self:
        """Build the message from the inner value."""
        return cls(
            server=server.name,
            address=str(server.address),
            incarnation=server.incarnation,
        )


class StatementRequest(Message):
    """One statement that an owner shall serve as if its own caller had sent it.

    Attributes:
        endpoint: what the caller's database promises.
        values: the session's values.
        session_position: the session's last commit; None before the first.
        elapsed: seconds since the caller sent it.
    """

    endpoint: EndpointMessage
    statement: StatementMessage
    values: dict[str, str] = {}
    prepared: PreparedMessage | None = None
    session_position: PositionMessage | None = None
    elapsed: float = Field(ge=0)

    @classmethod
    def of(cls, request: Request, now: float) -> Self:
        """Build the message from the inner value."""
        return cls(
            endpoint=EndpointMessage.of(request.endpoint),
            statement=StatementMessage.of(request.statement),
            values=dict(request.values),
            prepared=prepared_message(request.prepared),
            session_position=_position_message(request.session_position),
            elapsed=max(0.0, now - request.arrived_at),
        )

    def value(self, now: float) -> Request:
        """Return the inner value."""
        position = self.session_position
        return Request(
            endpoint=self.endpoint.value(),
            statement=self.statement.value(),
            values=self.values,
            prepared=None if self.prepared is None else self.prepared.value(),
            session_position=None if position is None else position.value(),
            arrived_at=now - self.elapsed,
        )


class TransactionRequest(Message):
    """One statement of a transaction, for a connection that the owner keeps for it.

    Attributes:
        is_order: it is one of the pooler's own and carries no session state.
        values: the session's values.
        bound: what the server must reflect, where it may be any.
        lease: the connection that the transaction holds; None before its first answer.
        priority: who goes first; a lower number does.
        wait: seconds for which it may wait for a place.
        answer: seconds for which the server's answer may take.
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


class RefusalMessage(Message):
    """Why a statement has no result; see ``StatementError``."""

    code: ErrorCode
    message: str
    retry_after_ms: int = 0

    @classmethod
    def of(cls, error: StatementError) -> Self:
        """Build the message from the inner value."""
        return cls(
            code=error.code,
            message=error.message,
            retry_after_ms=error.retry_after_ms,
        )

    def value(self) -> StatementError:
        """Return the inner value."""
        return StatementError(self.code, self.message, self.retry_after_ms)


class ReplyMessage(Message):
    """A server's answer; see ``Reply``."""

    rows: list[str]
    proof: str
    error: RefusalMessage | None = None
    state: TransactionState
    position: PositionMessage | None = None

    @classmethod
    def of(cls, reply: Reply) -> Self:
        """Build the message from the inner value."""
        error = reply.error
        return cls(
            rows=list(reply.rows),
            proof=reply.proof,
            error=None if error is None else RefusalMessage.of(error),
            state=reply.state,
            position=_position_message(reply.position),
        )

    def value(self) -> Reply:
        """Return the inner value."""
        error = None if self.error is None else self.error.value()
        position = None if self.position is None else self.position.value()
        return Reply(tuple(self.rows), self.proof, error, self.state, position)


class Failure(StrEnum):
    """Why an owner has no answer of the server.

    Attributes:
        REFUSED: the request found no place or connection; it did not run.
        NOT_FRESH: no position is known that meets its bound; it did not run.
        NOT_REACHED: no connection came up; it did not run.
        DOWN: the server's machine refused the connection; it did not run.
        ENDED: its transaction's connection had ended; the server undoes it.
        UNANSWERED: it was sent and no complete answer came.
    """

    REFUSED = "refused"
    NOT_FRESH = "not_fresh"
    NOT_REACHED = "not_reached"
    DOWN = "down"
    ENDED = "ended"
    UNANSWERED = "unanswered"


class StatementResponse(Message):
    """What became of a statement: a reply, or why it did not run.

    Attributes:
        has_no_primary: the owner reaches no server that leads; the asker may.
    """

    reply: ReplyMessage | None = None
    refusal: RefusalMessage | None = None
    has_no_primary: bool = False


class TransactionResponse(Message):
    """What became of a transaction's statement: a reply, or why there is none.

    Attributes:
        refusal: what the caller is told, of a failure of that kind.
        lease: the connection that its transaction holds; None without a transaction.
    """

    reply: ReplyMessage | None = None
    lease: str | None = None
    failure: Failure | None = None
    message: str = ""
    refusal: RefusalMessage | None = None


class ReleaseLease(Message):
    """A transaction needs its connection no more."""

    lease: str
    is_good: bool


def prepared_message(prepared: Prepared | None) -> PreparedMessage | None:
    """Return the message for what a statement executes, if anything."""
    return None if prepared is None else PreparedMessage.of(prepared)


def _position_message(position: Position | None) -> PositionMessage | None:
    return None if position is None else PositionMessage.of(position)
