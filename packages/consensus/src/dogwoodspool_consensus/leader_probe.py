"""Probe, after a start, whether the previous leader's process still runs."""

from dogwoodspool_common.const import NEVER

from .const import PATH_READ
from .messages import ReadRequest, ReadResponse
from .models import Role
from .peers import PeerCaller
from .state import NodeState

NOT_DUE = float("inf")


class LeaderProbe:
    """Call the leader named in the log until this node hears from a leader.

    A voter that starts must assume that this leader is alive and refuse votes for an
    election timeout, because the leader's lease may depend on a response that the
    voter gave before it stopped. Another process at the leader's address proves that
    the leader's process, and its lease with it, has ended
    (``NodeState.record_process_ended``). After a power loss that also destroyed the
    leader's disk, this makes the election 0.65 s earlier.
    """

    def __init__(self, state: NodeState, caller: PeerCaller) -> None:
        self._state = state
        self._caller = caller
        self._next_at = NEVER

    def next_send(self, peer: str) -> float:
        """Return the clock time of the next probe of a peer.

        The caller holds the lock.
        """
        state = self._state
        is_known_from_log = state.leader_id == peer and state.leader_address is None
        if state.role is not Role.FOLLOWER or not is_known_from_log:
            return NOT_DUE
        return self._next_at

    def send(self, peer: str) -> None:
        """Send one probe.

        A valid response is ignored, as a live leader sends heartbeats anyway. Only a
        refused identity matters, which ``PeerCaller`` handles.
        """
        state = self._state
        with state.changed:
            interval = state.settings.heartbeat_interval
            self._next_at = state.clock.now() + interval / 2
            request = ReadRequest(**self._caller.header(peer, state.term))
        self._caller.call(peer, PATH_READ, request, ReadResponse)
