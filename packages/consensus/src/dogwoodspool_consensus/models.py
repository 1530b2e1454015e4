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
    """What a node is in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoteRefusal(StrEnum):
    """Why a candidate does not get a vote.

    Attributes:
        NOT_PINNED: the voter or the candidate lost the files that it is known by.
        HEARS_LEADER: the voter heard a leader within the shortest election timeout,
            or may have heard one just before it started.
        OLD_TERM: the voter knows a newer term.
        LOG_BEHIND: the candidate lacks entries that the voter has.
        VOTED_FOR_ANOTHER: the voter's vote of this term is given.
    """

    NOT_PINNED = "not_pinned"
    HEARS_LEADER = "hears_leader"
    OLD_TERM = "old_term"
    LOG_BEHIND = "log_behind"
    VOTED_FOR_ANOTHER = "voted_for_another"


class EntryKind(StrEnum):
    """What a log entry holds."""

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
    """A node of the configuration.

    Attributes:
        incarnation: the durable identity that the configuration pins; empty
            until the first answer of the node.
        is_voter: False for a learner, which counts for no quorum.
        failure_domain: where it runs; empty until it has said so.
    """

    address: Address
    incarnation: str = UNPINNED
    is_voter: bool = True
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The nodes that replicate the log.

    Attributes:
        retired: ids of removed nodes, which are never used again.
    """

    members: Mapping[str, Member] = field(default_factory=dict)
    retired: frozenset[str] = frozenset()

    @property
    def voters(self) -> frozenset[str]:
        """Ids of the members that count for a quorum."""
        return frozenset(name for name, node in self.members.items() if node.is_voter)

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @classmethod
    def of(cls, voters: Mapping[str, Address]) -> Self:
        """Build the first configuration, with no incarnation pinned."""
        return cls({name: Member(address) for name, address in voters.items()})

    @classmethod
    def from_json(cls, content: Mapping[str, Any]) -> Self:
        """Read what ``to_json`` wrote."""
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
        """Return the configuration as JSON content."""
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
        """Return the configuration with the incarnations that it lacks pinned."""
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
    """Who the owner of a data folder is.

    Attributes:
        incarnation: random, made once for each data folder.
        initial_voters: the voters given at bootstrap; None for a node that
            joins a cluster which exists already.
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
    """The entry right before the first one that a log still holds."""

    index: int = 0
    term: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The machine's state after the entry ``index``; ``state`` is JSON text."""

    index: int
    term: int
    configuration: Configuration
    state: str


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a storage held when it was opened."""

    identity: Identity | None = None
    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    base: LogBase = LogBase()
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Leadership:
    """The right to answer as leader.

    Attributes:
        since: ``clock.now()`` when this node became leader.
        valid_until: ``clock.now()`` from which another node may lead. Whoever
            holds this object compares it with the clock when it answers.
    """

    term: int
    since: float
    valid_until: float


@dataclass(frozen=True, slots=True)
class ConsensusSettings:
    """Times (seconds) and bounds of one node; the same on all nodes.

    Attributes:
        election_timeout_min: a follower refuses votes for this long after it
            heard from a leader; the leader's lease is derived from it.
        election_timeout_max: upper end of the randomized election timeout.
        heartbeat_interval: time between messages to an idle peer.
        clock_drift: largest difference in rate of a clock to real time.
        lease_fraction: part of the minimum election timeout that the lease
            uses at most.
        rpc_timeout: wait for one answer of a peer.
        snapshot_every: applied entries between two snapshots.
        log_kept: entries kept behind a snapshot for peers a little behind.
        max_batch: entries in one sync and in one message.
        max_batch_bytes: bytes of entries in one message, but always one entry.
        max_command_bytes: largest command, encoded.
        snapshot_chunk_bytes: bytes of a snapshot in one message.
        max_snapshot_bytes: largest snapshot that a node takes from a peer.
        max_pending: proposals that may wait for the log.
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
        """Refuse values under which the lease would not be safe."""
        if not 0 < self.heartbeat_interval < self.election_timeout_min:
            raise ValueError("heartbeat_interval must be below election_timeout_min")
        if self.election_timeout_max <= self.election_timeout_min:
            raise ValueError("election_timeout_max must be above election_timeout_min")
        if not 0 <= self.clock_drift < 1 or not 0 < self.lease_fraction <= 1:
            raise ValueError("clock_drift or lease_fraction is out of range")

    @property
    def lease(self) -> float:
        """Life of the leader's lease in seconds on the leader's clock.

        A follower's clock that runs fast ends its refusal of votes early and a
        leader's clock that runs slow ends the lease late, so the drift counts
        on both sides.
        """
        drift = (1 - self.clock_drift) / (1 + self.clock_drift)
        return self.election_timeout_min * self.lease_fraction * drift
