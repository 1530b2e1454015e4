"""Data classes of the settings library."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from dogwoodspool_common import RateLimit


class WriteAck(StrEnum):
    """When a write is acknowledged to its caller.

    Attributes:
        PRIMARY: once the primary has answered it.
        REPLICA: once a replica has it, which the proxy waits for.
        GROUP: once the primary has answered it and a recorded replica is known to
            have it; the database group itself answers only when any replica has the
            write, and its servers refuse work from the moment another is promoted.
    """

    PRIMARY = "primary"
    REPLICA = "replica"
    GROUP = "group"


@dataclass(frozen=True, slots=True)
class Statements:
    """Statements sent to backend servers; ``{name}`` stands for an argument."""

    status: str = "SHOW STANDIN STATUS"
    wait: str = "STANDIN WAIT TERM {term} OFFSET {offset} TIMEOUT {timeout_ms}"
    promote: str = "STANDIN PROMOTE TERM {term}"
    follow: str = "STANDIN FOLLOW '{host}:{port}' TERM {term}"
    fence: str = "STANDIN FENCE TERM {term}"


@dataclass(frozen=True, slots=True)
class AccountSettings:
    """A client account of the own interface.

    Attributes:
        users: callers' names that belong to it.
        rate_per_second: operations per second that its callers may run at all proxies
            together; None for no limit.
        burst: operations that may exceed the rate at one time; None for those of one
            second.
    """

    users: tuple[str, ...] = ()
    rate_per_second: float | None = None
    burst: float | None = None

    @property
    def rate_limit(self) -> RateLimit | None:
        """The rate limit, if there is one."""
        if self.rate_per_second is None:
            return None
        burst = self.rate_per_second if self.burst is None else self.burst
        return RateLimit(self.rate_per_second, burst)


@dataclass(frozen=True, slots=True)
class EffectiveSettings:
    """Effective settings of one database group in one failure domain.

    Attributes:
        deadline_ms: deadline of a statement whose caller sets none.
        max_age_ms: maximum age of the data for reads whose caller sets none; null
            means that only the session's own position decides.
        idempotent: whether a write may be run again when its caller does not say.
        write_ack: when a write is acknowledged.
        write_ack_timeout_ms: time to wait for a replica before a write is reported
            with an unknown outcome.
        lease_ms: lifetime of grants and leased connection shares.
        renew_interval_ms: time between a proxy's renewals.
        clock_drift: largest difference in rate between two clocks, as a fraction.
        failure_detect_ms: time that a primary is unreachable before an observer
            considers it failed.
        down_detect_ms: time that a primary refuses connections before an observer
            considers it failed.
        release_drain_ms: time for writes in flight to finish at a switchover.
        probe_interval_ms: time between a proxy's probes of a primary; a replica
            is probed a fourth as often.
        probe_timeout_ms: time to wait for a probe's answer.
        announcement_expiry_ms: time after which an announcement that is not
            repeated is dropped.
        replica_wait_ms: time to wait for a replica to catch up before reading from
            the primary.
        base_connections: connections per backend server that each proxy may always
            use, even when it is cut off from control.
        reserved_connections: connections per backend server reserved for control.
        max_proxies: maximum number of registered proxies.
        idle_connection_ms: idle time after which a connection is closed.
        connect_timeout_ms: time to wait for a new connection.
        queue_limit: maximum number of statements that wait for one backend server.
        retry_budget_ratio: retries allowed per statement served.
        retry_budget_min: retries always allowed per second.
        max_transaction_ms: maximum duration of a caller's transaction.
        max_transaction_idle_ms: maximum time between two statements of a
            transaction.
        server_connections: connections that each server accepts; null uses the
            number that each server announces.
        request_retention_s: time for which a request id's row is kept.
        token_key: key that signs session tokens; secret.
        users: callers' names and their ``mysql_native_password`` hashes.
        accounts: client accounts by name, with their users and rate limits.
        backend_user: user name on backend servers.
        backend_password: password on backend servers; secret.
        statements: statements sent to backend servers.
    """

    deadline_ms: int = 2_000
    max_age_ms: int | None = None
    idempotent: bool = False
    write_ack: WriteAck = WriteAck.REPLICA
    write_ack_timeout_ms: int = 1_000
    lease_ms: int = 1_500
    renew_interval_ms: int = 300
    clock_drift: float = 0.02
    failure_detect_ms: int = 600
    down_detect_ms: int = 150
    release_drain_ms: int = 300
    probe_interval_ms: int = 250
    probe_timeout_ms: int = 300
    announcement_expiry_ms: int = 5_000
    replica_wait_ms: int = 50
    base_connections: int = 1
    reserved_connections: int = 2
    max_proxies: int = 9
    idle_connection_ms: int = 30_000
    connect_timeout_ms: int = 500
    queue_limit: int = 64
    retry_budget_ratio: float = 0.1
    retry_budget_min: int = 3
    max_transaction_ms: int = 30_000
    max_transaction_idle_ms: int = 10_000
    server_connections: int | None = None
    request_retention_s: int = 86_400
    token_key: str = field(default="", repr=False)
    users: dict[str, str] = field(default_factory=dict, repr=False)
    accounts: dict[str, AccountSettings] = field(default_factory=dict)
    backend_user: str = "dogwoodspool"
    backend_password: str = field(default="", repr=False)
    statements: Statements = field(default_factory=Statements)


class RejectionCode(StrEnum):
    """Why a change was not accepted."""

    CONFLICT = "conflict"
    INVALID = "invalid"
    HAS_CHILDREN = "has_children"
    NO_PARENT = "no_parent"
    NOT_FOUND = "not_found"
    CHANGE_ID_REUSED = "change_id_reused"


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """One change to one node.

    Attributes:
        change_id: identity of the change; a retry that carries the same id is not
            applied a second time.
        path: the node, such as ``/chat-core/chat1``.
        expected_version: version of the node that the operator has seen; 0 for
            a node that does not exist.
        overrides: the node's whole new set of overrides; None deletes the node.
            A masked secret keeps a value that is already stored, see
            ``redaction``.
        author: who requested it; not part of the change's identity.
    """

    change_id: str
    path: str
    expected_version: int
    overrides: dict[str, Any] | None = field(repr=False)
    author: str


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """A change that took effect.

    Attributes:
        version: the node's version after the change; a deletion increments it too.
        index: log index at which it took effect.
    """

    path: str
    version: int
    index: int


@dataclass(frozen=True, slots=True)
class ChangeRejected:
    """A change that had no effect.

    Attributes:
        message: path and reason for each invalid value, without the values.
        current_version: the node's version, 0 when there is no node.
    """

    code: RejectionCode
    message: str
    current_version: int


@dataclass(frozen=True, slots=True)
class ExplainedValue:
    """One effective value and the node that sets it.

    Attributes:
        key: name of the setting; ``statements.NAME`` for one statement.
        value: the value, redacted when it is a secret.
        from_path: path of the node, ``default`` for the built-in value.
    """

    key: str
    value: Any
    from_path: str


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted change, its secrets redacted.

    Attributes:
        index: index of the change in the replicated log.
        version: version of the node that the change made.
        overrides: the node's overrides after the change, None for a deletion.
    """

    index: int
    change_id: str
    author: str
    path: str
    version: int
    overrides: dict[str, Any] | None
