"""Progress of peers in replication and of rounds of votes."""

from dataclasses import dataclass, field

from dogwoodspool_common.const import NEVER


@dataclass(slots=True)
class PeerProgress:
    """Replication progress of one peer, as tracked by the leader.

    All times are clock times in seconds.

    Attributes:
        followed_since: time from which this leader sends messages to the peer.
        acked_at: send time of the latest message that the peer answered in
            this term.
        sent_at: send time of the latest message.
        retry_at: earliest time of the next message after a failed one.
        sent_commit_index: commit index in the latest message.
    """

    next_index: int
    followed_since: float
    match_index: int = 0
    acked_at: float = NEVER
    sent_at: float = NEVER
    retry_at: float = NEVER
    sent_commit_index: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass(slots=True)
class VoteRound:
    """One round of vote requests; a pre-vote changes no term.

    Attributes:
        granted: incarnations of the voters that granted their vote, by node id.
        asked: ids of the peers that the vote was requested from.
    """

    term: int
    is_pre_vote: bool
    granted: dict[str, str]
    asked: set[str] = field(default_factory=set)
