"""Check that both ends of a message are who the configuration pins."""

from .const import CODE_SOURCE_REFUSED, CODE_TARGET_MISMATCH, UNPINNED
from .errors import IdentityRefusedError, StorageFailedError
from .messages import PeerRequest
from .state import NodeState


def check_request(state: NodeState, request: PeerRequest) -> None:
    """Refuse a message between nodes that are not who they should be.

    Raises:
        IdentityRefusedError: a wiped voter, or another process at its address,
            sends or receives under an id whose incarnation is pinned.
        StorageFailedError: the disk of this node counts as lost.
    """
    if state.has_failed or state.is_closed:
        raise StorageFailedError("this node takes no part any more")
    own = state.identity.incarnation
    is_expected = request.target_incarnation in (own, UNPINNED)
    if request.target != state.node_id or not is_expected:
        raise IdentityRefusedError(
            f"{request.target} is not the node that was expected here",
            CODE_TARGET_MISMATCH,
        )
    member = state.configuration.members.get(request.source)
    if member is None or member.incarnation == UNPINNED:
        return
    if member.incarnation != request.source_incarnation:
        raise IdentityRefusedError(
            f"{request.source} has lost its files; it must join under a new id",
            CODE_SOURCE_REFUSED,
        )
