"""What a node knows of its peers while it leads or asks for votes."""

from dataclasses import dataclass, field

from dogwoodspool_common.const import NEVER


@dataclass(slots=True)
class PeerProgress:
    """What a leader knows of one peer.

    Attributes:
        followed_since: when this leader began to send it messages.
        acked_at: send time of the newest message that the peer answered in
            this term.
        sent_at: send time of the newest message.
        retry_at: earliest time for the next message after a failed one.
        told_commit: commit index of the newest message.
    """

    next_index: int
    followed_since: float
    match_index: int = 0
    acked_at: float = NEVER
    sent_at: float = NEVER
    retry_at: float = NEVER
    told_commit: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


@dataclass(slots=True)
class VoteRound:
    """One round of votes; a pre-vote asks without changing any term."""

    term: int
    is_pre_vote: bool
    granted: dict[str, str]
    asked: set[str] = field(default_factory=set)
