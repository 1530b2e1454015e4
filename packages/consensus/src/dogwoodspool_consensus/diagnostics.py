"""Diagnostics of a node for operators."""

from dataclasses import dataclass

from dogwoodspool_common.const import NEVER

from .models import Role
from .state import NodeState


@dataclass(frozen=True, slots=True)
class PeerDiagnostics:
    """The state of one member, as known to this node.

    Attributes:
        lag: number of log entries that the member lacks; None if this node is not the
            leader.
        silent_s: seconds since the last message that the member answered was sent;
            None if there was none.
        followed_s: seconds since this leader began to send messages to the member.
    """

    node_id: str
    address: str
    incarnation: str
    is_voter: bool
    failure_domain: str
    lag: int | None
    silent_s: float | None
    followed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ConsensusDiagnostics:
    """The state of one node."""

    node_id: str
    incarnation: str
    role: Role
    term: int
    leader_id: str | None
    last_index: int
    commit_index: int
    last_applied: int
    snapshot_index: int
    has_lease: bool
    has_failed: bool
    is_refused: bool
    members: tuple[PeerDiagnostics, ...]


def build_diagnostics(state: NodeState) -> ConsensusDiagnostics:
    """Build the diagnostics from the state of a node."""
    with state.changed:
        return ConsensusDiagnostics(
            node_id=state.node_id,
            incarnation=state.identity.incarnation,
            role=state.role,
            term=state.term,
            leader_id=state.leader_id,
            last_index=state.log.last_index,
            commit_index=state.commit_index,
            last_applied=state.last_applied,
            snapshot_index=state.snapshot.index if state.snapshot else 0,
            has_lease=state.leadership() is not None,
            has_failed=state.has_failed,
            is_refused=state.is_refused,
            members=tuple(
                _build_peer(state, name) for name in sorted(state.configuration.members)
            ),
        )


def _build_peer(state: NodeState, name: str) -> PeerDiagnostics:
    member = state.configuration.members[name]
    lag: int | None = None
    silent: float | None = None
    followed = 0.0
    progress = state.progress.get(name)
    if state.role is Role.LEADER and progress is not None:
        followed = state.clock.now() - progress.followed_since
        lag = state.log.last_index - progress.match_index
        if progress.acked_at != NEVER:
            silent = state.clock.now() - progress.acked_at
    return PeerDiagnostics(
        node_id=name,
        address=str(member.address),
        incarnation=member.incarnation,
        is_voter=member.is_voter,
        failure_domain=member.failure_domain,
        lag=lag,
        silent_s=silent,
        followed_s=followed,
    )
