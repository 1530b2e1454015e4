"""Validated messages exchanged between the system's processes."""

from dataclasses import replace
from enum import StrEnum
from typing import Annotated, Any, ClassVar, Self

from dogwoodspool_common import (
    Address,
    BackendServer,
    ClientAccount,
    Consistency,
    Endpoint,
    GroupState,
    Phase,
    Position,
    PrimaryEpoch,
    RateLimit,
    Role,
    ServerStatus,
)
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    SerializerFunctionWrapHandler,
    model_serializer,
)

from .const import MAX_NAME_LENGTH

Name = Annotated[
    str, Field(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"^[A-Za-z0-9._-]+$")
]
HostPort = Annotated[str, Field(pattern=r"^[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}$")]


class Message(BaseModel):
    """Base of all messages: unknown fields are rejected, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ExtendedMessage(Message):
    """A message with fields that earlier builds reject as unknown.

    Those fields are left out while they have their default value, so that processes of
    different builds work together as long as nobody uses what is new.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset()

    @model_serializer(mode="wrap")
    def _omit_defaults(self, handler: SerializerFunctionWrapHandler) -> dict[str, Any]:
        content: dict[str, Any] = handler(self)
        for name in self._optional_fields:
            default = type(self).model_fields[name].default
            if getattr(self, name) == default:
                content.pop(name, None)
        return content


class PositionMessage(Message):
    """A position in a database group's log."""

    term: int = Field(ge=0)
    offset: int = Field(ge=0)

    @classmethod
    def of(cls, position: Position) -> Self:
        """Build the message from a position."""
        return cls(term=position.term, offset=position.offset)

    def value(self) -> Position:
        """Return the position that the message describes."""
        return Position(self.term, self.offset)


class ServerDescription(Message):
    """Description of a backend server, shared by all messages about one.

    Attributes:
        connections: number that it accepts; 0 when only the settings define it.
    """

    server: Name
    group: Name
    failure_domain: Name
    address: HostPort
    slots: int = Field(ge=1)
    connections: int = Field(ge=0)
    is_leaving: bool = False
    incarnation: int = Field(default=0, ge=0)
    is_gone: bool = False

    def backend_server(self) -> BackendServer:
        """Return the backend server that the message describes."""
        return BackendServer(
            name=self.server,
            group=self.group,
            failure_domain=self.failure_domain,
            address=Address.parse(self.address),
            slots=self.slots,
            connections=self.connections,
            is_leaving=self.is_leaving,
            incarnation=self.incarnation,
            is_gone=self.is_gone,
        )


class Announcement(ServerDescription):
    """Announcement of a backend server to the proxies of its failure domain."""

    role: Role
    position: PositionMessage


class StatusMessage(Message):
    """A backend server's status as read by one observer."""

    role: Role
    position: PositionMessage
    lag_ms: float | None
    is_leaving: bool

    @classmethod
    def of(cls, status: ServerStatus) -> Self:
        """Build the message from a server status."""
        return cls(
            role=status.role,
            position=PositionMessage.of(status.position),
            lag_ms=status.lag_ms,
            is_leaving=status.is_leaving,
        )


class Observation(Message):
    """One proxy's observation of one backend server.

    Attributes:
        unreachable_ms: time since its last successful answer; 0 while it answers.
        down_ms: time for which its machine has refused connections; 0 otherwise.
        status: the last status read, None when there was none.
    """

    server: Name
    unreachable_ms: float = Field(ge=0)
    down_ms: float = Field(default=0, ge=0)
    status: StatusMessage | None = None


class GroupReport(Message):
    """A proxy's report on its right to write to one database group.

    Attributes:
        held_term: term of the grant that the proxy holds; None for no grant.
        acked: highest position of a write that the proxy has ever acknowledged.
    """

    group: Name
    held_term: int | None
    acked: PositionMessage | None


class RenewRequest(Message):
    """Request from a proxy to renew its grants and its shares of connections.

    Attributes:
        proxy: name of the instance, the same after a restart.
        incarnation: random identity of the process, new after a restart.
        address: address of the proxy's internal HTTP server.
        view_version: version of the committed state that the proxy uses.
        connection_demand: connections wanted for each backend server.
        announcements: recent announcements of backend servers.
    """

    proxy: Name
    incarnation: Name
    failure_domain: Name
    address: HostPort
    view_version: int = Field(ge=0)
    is_draining: bool = False
    groups: list[GroupReport] = []
    observations: list[Observation] = []
    connection_demand: dict[Name, Annotated[int, Field(ge=0)]] = {}
    announcements: list[Announcement] = []


class Grant(Message):
    """The right to write to a group's primary for the response's lease time."""

    group: Name
    term: int
    primary: Name


class RenewResponse(Message):
    """The leader's answer, valid for ``lease_ms`` from when the request was sent.

    Attributes:
        withdrawn: groups whose grant the proxy must release at once.
        connection_shares: connections that the proxy may open to each backend
            server, including the base share that it keeps without a lease.
    """

    lease_ms: int = Field(ge=1)
    grants: list[Grant]
    withdrawn: list[Name]
    connection_shares: dict[Name, int]
    view_version: int


class ReleaseRequest(Message):
    """Request from the leader that a proxy release its grant of a term at once.

    Attributes:
        drain_ms: time for writes in flight to finish before the answer; no new
            write starts meanwhile.
    """

    group: Name
    term: int
    drain_ms: int = Field(ge=0)


class ReleaseResponse(Message):
    """The proxy has released the grant and will acknowledge nothing more under it."""

    incarnation: Name
    acked: PositionMessage | None


class EpochMessage(Message):
    """The recorded lead of a primary; see ``PrimaryEpoch``."""

    server: Name
    incarnation: int = Field(ge=0)
    term: int = Field(ge=0)

    @classmethod
    def of(cls, epoch: PrimaryEpoch) -> Self:
        """Build the message from an epoch."""
        return cls(server=epoch.server, incarnation=epoch.incarnation, term=epoch.term)

    def value(self) -> PrimaryEpoch:
        """Return the epoch that the message describes."""
        return PrimaryEpoch(self.server, self.incarnation, self.term)


class GroupMessage(ExtendedMessage):
    """A database group as committed by the control group.

    Attributes:
        given_up: sent only to processes that ask for it; see ``GroupState``.
        epoch: sent only to processes that ask for it; see ``GroupState``.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"given_up", "epoch"})

    name: Name
    term: int
    primary: Name | None
    phase: Phase
    term_starts: list[PositionMessage]
    given_up: tuple[Name, ...] = ()
    epoch: EpochMessage | None = None

    @classmethod
    def of(cls, state: GroupState) -> Self:
        """Build the message from a group state."""
        return cls(
            name=state.name,
            term=state.term,
            primary=state.primary,
            phase=state.phase,
            term_starts=[PositionMessage.of(start) for start in state.term_starts],
            given_up=state.given_up,
            epoch=None if state.epoch is None else EpochMessage.of(state.epoch),
        )

    def value(self) -> GroupState:
        """Return the group state that the message describes."""
        return GroupState(
            name=self.name,
            term=self.term,
            primary=self.primary,
            phase=self.phase,
            term_starts=tuple(start.value() for start in self.term_starts),
            given_up=self.given_up,
            epoch=None if self.epoch is None else self.epoch.value(),
        )


class ServerMessage(ServerDescription, ExtendedMessage):
    """A backend server as committed by the control group.

    Attributes:
        is_retired: sent only to processes that say that they know it.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"is_retired"})

    is_retired: bool = False

    def backend_server(self) -> BackendServer:
        """Return the backend server that the message describes."""
        return replace(super().backend_server(), is_retired=self.is_retired)

    @classmethod
    def of(cls, server: BackendServer) -> Self:
        """Build the message from a backend server."""
        return cls(
            server=server.name,
            group=server.group,
            failure_domain=server.failure_domain,
            address=str(server.address),
            slots=server.slots,
            connections=server.connections,
            is_leaving=server.is_leaving,
            incarnation=server.incarnation,
            is_gone=server.is_gone,
            is_retired=server.is_retired,
        )


class ProxyMessage(Message):
    """A registered proxy instance."""

    proxy: Name
    failure_domain: Name
    address: HostPort


class SettingsNode(Message):
    """One node of the settings tree with its version and overrides."""

    path: str
    version: int
    overrides: dict[str, Any]


class EndpointMessage(ExtendedMessage):
    """A database name that callers connect to, with its service guarantees."""

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"is_public"})

    name: Name
    database: str
    group: Name
    consistency: Consistency
    deadline_ms: int = Field(ge=1)
    target_latency_ms: int = Field(ge=1)
    priority: int = Field(ge=0)
    max_age_ms: int | None = Field(default=None, ge=0)
    is_public: bool = False

    @classmethod
    def of(cls, endpoint: Endpoint) -> Self:
        """Build the message from an endpoint."""
        return cls(
            name=endpoint.name,
            database=endpoint.database,
            group=endpoint.group,
            consistency=endpoint.consistency,
            deadline_ms=endpoint.deadline_ms,
            target_latency_ms=endpoint.target_latency_ms,
            priority=endpoint.priority,
            max_age_ms=endpoint.max_age_ms,
            is_public=endpoint.is_public,
        )

    def value(self) -> Endpoint:
        """Return the endpoint that the message describes."""
        return Endpoint(
            name=self.name,
            database=self.database,
            group=self.group,
            consistency=self.consistency,
            deadline_ms=self.deadline_ms,
            target_latency_ms=self.target_latency_ms,
            priority=self.priority,
            max_age_ms=self.max_age_ms,
            is_public=self.is_public,
        )


class AccountMessage(Message):
    """A client account; see ``ClientAccount``.

    Attributes:
        rate_per_s: operations per second; None for no limit.
        burst: operations that may exceed the rate at one time.
    """

    name: Name
    key_digests: list[str]
    priority: int = Field(default=0, ge=0)
    rate_per_s: float | None = Field(default=None, ge=0)
    burst: float = Field(default=0, ge=0)

    @classmethod
    def of(cls, account: ClientAccount) -> Self:
        """Build the message from a client account."""
        limit = account.rate_limit
        return cls(
            name=account.name,
            key_digests=list(account.key_digests),
            priority=account.priority,
            rate_per_s=None if limit is None else limit.per_second,
            burst=0 if limit is None else limit.burst,
        )

    def value(self) -> ClientAccount:
        """Return the client account that the message describes."""
        limit = None
        if self.rate_per_s is not None:
            limit = RateLimit(self.rate_per_s, self.burst)
        return ClientAccount(self.name, tuple(self.key_digests), self.priority, limit)


class RemovedItems(ExtendedMessage):
    """Items that a delta view removes, by name or path."""

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"accounts"})

    groups: list[str] = []
    servers: list[str] = []
    proxies: list[str] = []
    settings: list[str] = []
    endpoints: list[str] = []
    accounts: list[str] = []


class EpochCoverage(StrEnum):
    """Which epochs a view brings.

    Attributes:
        NONE: none, as its sender or the process that it was built for is of an earlier
            build.
        INCLUDED: those of the groups that it includes.
        ALL: those of all groups, all of which it includes.
    """

    NONE = "none"
    INCLUDED = "included"
    ALL = "all"


class ControlView(ExtendedMessage):
    """The committed state that is distributed to the proxies.

    Attributes:
        requires_account: whether callers need a key of a client account.
        version: index of the last log entry included; never decreases.
        base_version: 0 for the whole state; otherwise the view contains only the
            differences from that version, and ``removed`` names what no longer exists,
            also what was added since.
        revision: revision of the document that the endpoints come from; 0 before the
            first document.
        digest: digest of all endpoints at this version, also where the view contains
            only differences; see ``endpoints_digest``.
        document_age_ms: time for which the sender has had the document in force, at
            most the time since it was committed; None if it is not known.
        epochs: which epochs it brings; sent only to processes that say which they want.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset(
        {
            "accounts",
            "requires_account",
            "revision",
            "digest",
            "document_age_ms",
            "epochs",
        }
    )

    version: int
    groups: list[GroupMessage]
    servers: list[ServerMessage]
    proxies: list[ProxyMessage]
    settings: list[SettingsNode]
    endpoints: list[EndpointMessage] = []
    accounts: list[AccountMessage] = []
    requires_account: bool = False
    base_version: int = 0
    removed: RemovedItems = RemovedItems()
    revision: int = 0
    digest: str = ""
    document_age_ms: int | None = None
    epochs: EpochCoverage = EpochCoverage.NONE

    def with_document_age(self, age_ms: int | None) -> Self:
        """Return the view with the age of its document."""
        return self.model_copy(update={"document_age_ms": age_ms})

    def without_document(self) -> Self:
        """Return the view for a process of an earlier build."""
        return self.model_copy(update={"revision": 0, "digest": ""})

    def without_given_up(self) -> Self:
        """Return the view for a process of an earlier build."""
        return self._with_groups(given_up=())

    def without_epochs(self) -> Self:
        """Return the view for a process of an earlier build."""
        return self._with_groups(epoch=None).without_epoch_coverage()

    def without_retired(self) -> Self:
        """Return the view for a process of an earlier build."""
        servers = [one.model_copy(update={"is_retired": False}) for one in self.servers]
        return self.model_copy(update={"servers": servers})

    def without_epoch_coverage(self) -> Self:
        """Return the view for a process of an earlier build, which knows epochs."""
        return self.model_copy(update={"epochs": EpochCoverage.NONE})

    def _with_groups(self, **changes: Any) -> Self:
        groups = [one.model_copy(update=changes) for one in self.groups]
        return self.model_copy(update={"groups": groups})


class MemberMessage(ExtendedMessage):
    """A member of the control group.

    Attributes:
        is_voter: False for a member that only replicates the state, such as one that
            was lost and has been replaced.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"is_voter"})

    address: HostPort
    failure_domain: str
    is_voter: bool = True

    def without_vote(self) -> Self:
        """Return the form that earlier builds know, which has no votes."""
        return self.model_copy(update={"is_voter": True})


class WatchResponse(ExtendedMessage):
    """Answer to a long poll: the newer view, or None when the wait timed out.

    Attributes:
        members: the control processes; empty if the answering process is not in
            contact with the leader, as it may know only former ones.
        is_current: whether the answering process leads, or is up to date with a leader
            that had no successor when it said so.
        retry_after_ms: delay before the next poll if all slots for waiting polls were
            taken; 0 otherwise.
        confirmed_age_ms: time from the confirmation that a confirmed read rests on to
            the request; 0 where that confirmation began after the request.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"confirmed_age_ms"})

    view: ControlView | None
    leader: HostPort | None
    members: list[MemberMessage] = []
    is_current: bool = True
    retry_after_ms: int = 0
    confirmed_age_ms: int = 0


class ServerReport(Message):
    """A proxy's report to control on a backend server that fails for it.

    Attributes:
        failing_ms: time since its last successful answer.
        refusing_ms: time for which its machine has refused connections.
        stalled_ms: time for which it has answered reads but no writes; 0 otherwise.
    """

    server: Name
    failing_ms: float = Field(ge=0)
    refusing_ms: float = Field(default=0, ge=0)
    stalled_ms: float = Field(default=0, ge=0)


class ServerReports(Message):
    """Reports of one proxy, for which servers that are not listed work."""

    proxy: Name
    failure_domain: Name
    reports: list[ServerReport]


class JoinRequest(Message):
    """Request from a control process to become a member of the control group."""

    node: Name
    address: HostPort
    failure_domain: Name


class SettingsChangeRequest(Message):
    """One change to one node, which takes effect only once per ``change_id``.

    Attributes:
        expected_version: version of the node that the operator has seen; 0 for
            a node that does not exist yet.
        overrides: the node's whole new set of overrides; None deletes the node.
        author: who requested it, for the history.
    """

    change_id: Name
    path: str
    expected_version: int = Field(ge=0)
    overrides: dict[str, Any] | None
    author: str = Field(max_length=MAX_NAME_LENGTH)


class SettingsChangeResponse(Message):
    """An accepted change, in effect everywhere from ``view_version`` on."""

    path: str
    version: int
    view_version: int


class PromoteRequest(Message):
    """An operator's request for a switchover, a planned change of primary."""

    change_id: Name
    group: Name
    candidate: Name | None = None
