"""Data classes of the consensus library."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, Self

from dogwoodspool_common import Address

from .const import (
    DEFAULT_CLOCK_DRIFT,
    DEFAULT_ELECTION_TIMEOUT_MAX,
    DEFAULT_ELECTION_TIMEOUT_MIN,
    DEFAULT_HEARTBEAT_INTERVAL,
    DEFAULT_LEASE_FRACTION,
    DEFAULT_LOG_KEPT,
    DEFAULT_MAX_BATCH,
    DEFAULT_MAX_BATCH_BYTES,
    DEFAULT_MAX_COMMAND_BYTES,
    DEFAULT_MAX_PENDING,
    DEFAULT_MAX_SNAPSHOT_BYTES,
    DEFAULT_RPC_TIMEOUT,
    DEFAULT_SNAPSHOT_CHUNK_BYTES,
    DEFAULT_SNAPSHOT_EVERY,
    UNPINNED,
)


class Role(StrEnum):
    """Role of a node in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoteRefusal(StrEnum):
    """Why a vote request is refused.

    Attributes:
        NOT_PINNED: the voter was refused as one that lost its files, or the candidate
            pins no incarnation for it, as after the loss of the candidate's files.
        HEARS_LEADER: the voter heard from a leader within the minimum election
            timeout, or may have heard from one just before it started.
        OLD_TERM: the voter knows a newer term.
        LOG_BEHIND: the candidate lacks entries that the voter has.
        VOTED_FOR_ANOTHER: the voter has voted for another candidate in this term.
    """

    NOT_PINNED = "not_pinned"
    HEARS_LEADER = "hears_leader"
    OLD_TERM = "old_term"
    LOG_BEHIND = "log_behind"
    VOTED_FOR_ANOTHER = "voted_for_another"


class EntryKind(StrEnum):
    """Kind of a log entry."""

    NOOP = "noop"
    COMMAND = "command"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log; ``data`` is JSON text."""

    index: int
    term: int
    kind: EntryKind
    data: str = "{}"


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the configuration.

    Attributes:
        incarnation: durable identity of the node, pinned at its first response; empty
            until then.
        is_voter: False for a learner, which does not count towards a quorum.
        failure_domain: where the node runs; empty until it is known.
    """

    address: Address
    incarnation: str = UNPINNED
    is_voter: bool = True
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The nodes that replicate the log.

    Attributes:
        retired: ids of removed nodes, which may not be reused.
    """

    members: Mapping[str, Member] = field(default_factory=dict)
    retired: frozenset[str] = frozenset()

    @property
    def voters(self) -> frozenset[str]:
        """Ids of the members that count towards a quorum."""
        return frozenset(name for name, node in self.members.items() if node.is_voter)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @classmethod
    def of(cls, voters: Mapping[str, Address]) -> Self:
        """Build the initial configuration, with no incarnation pinned."""
        return cls({name: Member(address) for name, address in voters.items()})

    @classmethod
    def from_json(cls, content: Mapping[str, Any]) -> Self:
        """Parse the output of ``to_json``."""
        members = {
            name: Member(
                Address.parse(node["address"]),
                str(node["incarnation"]),
                bool(node["is_voter"]),
                str(node.get("failure_domain", "")),
            )
            for name, node in content["members"].items()
        }
        return cls(members, frozenset(content["retired"]))

    def to_json(self) -> dict[str, Any]:
        """Return the configuration as JSON-serializable content."""
        members = {
            name: {
                "address": str(node.address),
                "incarnation": node.incarnation,
                "is_voter": node.is_voter,
                "failure_domain": node.failure_domain,
            }
            for name, node in sorted(self.members.items())
        }
        return {"members": members, "retired": sorted(self.retired)}

    def with_member(self, name: str, member: Member) -> "Configuration":
        """Return the configuration with one member added or replaced."""
        return replace(self, members={**self.members, name: member})

    def with_pins(self, incarnations: Mapping[str, str]) -> "Configuration":
        """Return the configuration with incarnations pinned where it has none."""
        members = {
            name: replace(node, incarnation=incarnations[name])
            if node.incarnation == UNPINNED and name in incarnations
            else node
            for name, node in self.members.items()
        }
        return replace(self, members=members)

    def without(self, name: str) -> "Configuration":
        """Return the configuration with one member removed and its id retired."""
        members = {key: node for key, node in self.members.items() if key != name}
        return Configuration(members, self.retired | {name})


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of the node that owns a data folder.

    Attributes:
        incarnation: random id, generated once for each data folder.
        initial_voters: the voters given at bootstrap; None for a node that
            joins an existing cluster.
    """

    node_id: str
    incarnation: str
    initial_voters: Mapping[str, Address] | None


@dataclass(frozen=True, slots=True)
class Vote:
    """The newest term seen and the incarnation voted for in it."""

    term: int = 0
    voted_for: str | None = None


@dataclass(frozen=True, slots=True)
class LogBase:
    """Index and term of the entry right before the first one that a log holds."""

    index: int = 0
    term: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after entry ``index``; ``state`` is JSON text."""

    index: int
    term: int
    configuration: Configuration
    state: str


@dataclass(frozen=True, slots=True)
class StoredState:
    """Content of a storage when it was opened."""

    identity: Identity | None = None
    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    base: LogBase = LogBase()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Leadership:
    """The right to answer as leader for a limited time.

    Attributes:
        since: ``clock.now()`` when this node became leader.
        valid_until: ``clock.now()`` from which another node may lead. The holder of
            this object must compare it with the clock when it answers.
    """

    term: int
    since: float
    valid_until: float


@dataclass(frozen=True, slots=True)
class ConsensusSettings:
    """Times in seconds and limits of a node; they must be the same on all nodes.

    Attributes:
        election_timeout_min: time for which a follower refuses votes after it heard
            from a leader; the leader's lease is derived from it.
        election_timeout_max: upper end of the randomized election timeout.
        heartbeat_interval: time between messages to an idle voter.
        clock_drift: maximum relative difference between the rate of a clock and real
            time.
        lease_fraction: maximum fraction of the minimum election timeout that the
            lease uses.
        rpc_timeout: timeout of one call to a peer.
        snapshot_every: number of applied entries between two snapshots.
        log_kept: number of entries before a snapshot that stay in the log for peers
            that are only slightly behind.
        max_batch: maximum entries in one sync and in one message.
        max_batch_bytes: maximum bytes of entries in one message, except that a
            message may always carry one entry.
        max_command_bytes: maximum size of an encoded command.
        snapshot_chunk_bytes: bytes of a snapshot in one message.
        max_snapshot_bytes: maximum size of a snapshot accepted from a peer.
        max_pending: maximum number of proposals waiting to be appended.
    """

    election_timeout_min: float = DEFAULT_ELECTION_TIMEOUT_MIN
    election_timeout_max: float = DEFAULT_ELECTION_TIMEOUT_MAX
    heartbeat_interval: float = DEFAULT_HEARTBEAT_INTERVAL
    clock_drift: float = DEFAULT_CLOCK_DRIFT
    lease_fraction: float = DEFAULT_LEASE_FRACTION
    rpc_timeout: float = DEFAULT_RPC_TIMEOUT
    snapshot_every: int = DEFAULT_SNAPSHOT_EVERY
    log_kept: int = DEFAULT_LOG_KEPT
    max_batch: int = DEFAULT_MAX_BATCH
    max_batch_bytes: int = DEFAULT_MAX_BATCH_BYTES
    max_command_bytes: int = DEFAULT_MAX_COMMAND_BYTES
    snapshot_chunk_bytes: int = DEFAULT_SNAPSHOT_CHUNK_BYTES
    max_snapshot_bytes: int = DEFAULT_MAX_SNAPSHOT_BYTES
    max_pending: int = DEFAULT_MAX_PENDING

    def __post_init__(self) -> None:
        """Reject values for which the lease would not be safe."""
        if not 0 < self.heartbeat_interval < self.election_timeout_min:
            raise ValueError(
                f"heartbeat_interval {self.heartbeat_interval} must be above 0 and "
                f"below election_timeout_min {self.election_timeout_min}"
            )
        if self.election_timeout_max <= self.election_timeout_min:
            raise ValueError(
                f"election_timeout_max {self.election_timeout_max} must be above "
                f"election_timeout_min {self.election_timeout_min}"
            )
        if not 0 <= self.clock_drift < 1 or not 0 < self.lease_fraction <= 1:
            raise ValueError(
                f"clock_drift {self.clock_drift} must be in [0, 1) and "
                f"lease_fraction {self.lease_fraction} in (0, 1]"
            )

    @property
    def lease(self) -> float:
        """Duration of the leader's lease in seconds on the leader's clock.

        A fast clock of a follower ends its refusal of votes early, and a slow clock
        of the leader ends the lease late, so the drift applies to both sides.
        """
        drift = (1 - self.clock_drift) / (1 + self.clock_drift)
        return self.election_timeout_min * self.lease_fraction * drift
