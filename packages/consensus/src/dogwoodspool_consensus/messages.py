"""Validated messages between the nodes of a replicated log."""

from typing import Annotated, Self

from dogwoodspool_api import HostPort, Message, Name
from pydantic import Field

from .models import Entry, EntryKind

Index = Annotated[int, Field(ge=0)]


class PeerRequest(Message):
    """Who sends to whom, and in which term.

    Attributes:
        target_incarnation: incarnation that the sender's configuration pins
            for the receiver; empty while none is pinned.
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
    """A candidate asks for a vote; a pre-vote changes nothing at the voter."""

    last_index: Index
    last_term: Index
    is_pre_vote: bool


class VoteResponse(PeerResponse):
    """Whether the vote was given."""

    is_granted: bool


class EntryMessage(Message):
    """A log entry; its index follows from its place in the message."""

    term: Index
    kind: EntryKind
    data: str

    @classmethod
    def of(cls, entry: Entry) -> Self:
        """Build the message from the inner value."""
        return cls(term=entry.term, kind=entry.kind, data=entry.data)


class AppendRequest(PeerRequest):
    """The leader sends entries; without any it is a heartbeat."""

    leader_address: HostPort
    prev_index: Index
    prev_term: Index
    entries: list[EntryMessage]
    commit_index: Index

    def log_entries(self) -> list[Entry]:
        """Return the entries with their indexes."""
        return [
            Entry(self.prev_index + offset, item.term, item.kind, item.data)
            for offset, item in enumerate(self.entries, start=1)
        ]


class AppendResponse(PeerResponse):
    """Whether the entries are durable at the follower.

    Attributes:
        last_index: where the leader should look next when they are not.
    """

    is_success: bool
    last_index: Index


class SnapshotRequest(PeerRequest):
    """One chunk of a snapshot's text."""

    leader_address: HostPort
    index: Index
    offset: Index
    data: str
    is_last: bool


class SnapshotResponse(PeerResponse):
    """Offset at which the follower wants the next chunk."""

    next_offset: Index


class ReadRequest(PeerRequest):
    """A follower asks the leader for a point that it may read from."""


class ReadResponse(PeerResponse):
    """Log index which a reader must have applied."""

    index: Index
