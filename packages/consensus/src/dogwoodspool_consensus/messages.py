"""Validated messages between the nodes of a replicated log."""

from typing import Annotated, ClassVar, Self

from dogwoodspool_api import ExtendedMessage, HostPort, Message, Name
from pydantic import Field

from .models import Entry, EntryKind

Index = Annotated[int, Field(ge=0)]
Seconds = Annotated[float, Field(ge=0)]


class PeerRequest(Message):
    """Fields common to all requests: sender, receiver and term.

    Attributes:
        target_incarnation: incarnation that the sender's configuration pins
            for the receiver; empty if none is pinned yet.
    """

    source: Name
    source_incarnation: Name
    target: Name
    target_incarnation: str
    term: Index


class PeerResponse(Message):
    """The receiver's term and incarnation."""

    term: Index
    incarnation: Name


class VoteRequest(PeerRequest):
    """Request of a candidate for a vote.

    A pre-vote does not change the voter's term or vote.
    """

    last_index: Index
    last_term: Index
    is_pre_vote: bool


class VoteResponse(PeerResponse):
    """Whether the vote was granted."""

    is_granted: bool


class EntryMessage(Message):
    """A log entry; its index follows from its position in the request."""

    term: Index
    kind: EntryKind
    data: str

    @classmethod
    def of(cls, entry: Entry) -> Self:
        """Build the message from a log entry."""
        return cls(term=entry.term, kind=entry.kind, data=entry.data)


class AppendRequest(PeerRequest, ExtendedMessage):
    """Entries from the leader; a request without entries is a heartbeat.

    Attributes:
        confirmed_s: seconds from the sending for which no other node can be elected; 0
            if the leader does not know, None if it does not say.
    """

    _optional_fields: ClassVar[frozenset[str]] = frozenset({"confirmed_s"})

    leader_address: HostPort
    prev_index: Index
    prev_term: Index
    entries: list[EntryMessage]
    commit_index: Index
    confirmed_s: Seconds | None = None

    def log_entries(self) -> list[Entry]:
        """Return the entries with their indexes."""
        return [
            Entry(self.prev_index + offset, item.term, item.kind, item.data)
            for offset, item in enumerate(self.entries, start=1)
        ]


class AppendResponse(PeerResponse):
    """Whether the entries are durable at the follower.

    Attributes:
        last_index: index at which the leader should look for a common entry next if
            they are not.
    """

    is_success: bool
    last_index: Index


class SnapshotRequest(PeerRequest):
    """One chunk of an encoded snapshot."""

    leader_address: HostPort
    index: Index
    offset: Index
    data: str
    is_last: bool


class SnapshotResponse(PeerResponse):
    """Offset at which the follower expects the next chunk."""

    next_offset: Index


class ReadRequest(PeerRequest):
    """Request of a follower to the leader for a read point."""


class ReadResponse(PeerResponse):
    """Read point: the log index that must be applied before the read."""

    index: Index
