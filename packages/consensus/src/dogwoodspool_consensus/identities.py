"""Check the identity of both ends of a message."""

from .const import CODE_SOURCE_REFUSED, CODE_TARGET_MISMATCH, UNPINNED
from .errors import IdentityRefusedError, StorageFailedError
from .messages import PeerRequest
from .state import NodeState


def check_request(state: NodeState, request: PeerRequest) -> None:
    """Refuse a message whose sender or receiver is not the pinned member.

    Raises:
        IdentityRefusedError: a wiped voter, or another process at its address,
            sends or receives under an id whose incarnation is pinned.
        StorageFailedError: this node has failed, so that its disk is treated as
            lost, or is closed.
    """
    if state.has_failed or state.is_closed:
        raise StorageFailedError(f"{state.node_id} has failed or is closed")
    own = state.identity.incarnation
    is_expected = request.target_incarnation in (own, UNPINNED)
    if request.target != state.node_id or not is_expected:
        raise IdentityRefusedError(
            f"request for {request.target} with incarnation "
            f"{request.target_incarnation!r} reached {state.node_id} with {own!r}",
            CODE_TARGET_MISMATCH,
        )
    member = state.configuration.members.get(request.source)
    if member is None or member.incarnation == UNPINNED:
        return
    if member.incarnation != request.source_incarnation:
        raise IdentityRefusedError(
            f"{request.source} has incarnation {request.source_incarnation!r}, but "
            f"{member.incarnation!r} is pinned: it lost its files and must join under "
            "a new id",
            CODE_SOURCE_REFUSED,
        )
