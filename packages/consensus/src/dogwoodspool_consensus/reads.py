"""Linearizable reads: read points in the log and waiting until they are applied."""

import contextlib
from collections.abc import Callable

from .const import PATH_READ
from .errors import NotConfirmedError, NotLeaderError
from .identities import check_request
from .messages import ReadRequest, ReadResponse
from .models import Role
from .peers import PeerCaller
from .shared_read_point import SharedReadPoint
from .state import NodeState


class Reads:
    """Confirm read points and wait until they are applied."""

    def __init__(self, state: NodeState, caller: PeerCaller) -> None:
        self._state = state
        self._caller = caller
        self._read_point = SharedReadPoint(state.clock, self._fetch_read_point)

    def confirm_read(self, timeout: float) -> int:
        """Return an applied index that covers all proposals answered before this call.

        Raises:
            NotConfirmedError: this node is not in any configuration, no leader
                confirmed the read with a quorum within ``timeout`` seconds, or the
                read point was not applied by then.
        """
        state = self._state
        if not state.configuration.members:
            # The storage was empty and no configuration names this node, so no leader
            # will contact it soon.
            raise NotConfirmedError(f"{state.node_id} is not in any configuration yet")
        deadline = state.clock.now() + timeout
        index = self._read_point.get(deadline)
        if not self._wait(lambda: state.last_applied >= index, deadline):
            raise NotConfirmedError(
                f"entry {index} was not applied before the deadline"
            )
        return index

    def wait_applied(self, after: int, timeout: float) -> int:
        """Wait until an entry after ``after`` is applied or ``timeout`` seconds pass.

        Returns the last applied index.
        """
        state = self._state
        deadline = state.clock.now() + timeout
        self._wait(lambda: state.last_applied > after, deadline)
        return state.last_applied

    def leader_read_point(self, deadline: float) -> int:
        """Return the commit index after confirming that this node is still the leader.

        The index is read before the confirmation: any proposal answered before the
        read began was answered by this leader, or by an earlier one whose entries
        precede the first entry of this leader's term.

        Raises:
            NotLeaderError: this node is not the leader.
            NotConfirmedError: the leader has not committed an entry of its own term,
                lost its leadership, or no quorum answered before the deadline.
        """
        state = self._state
        with state.changed:
            term = state.term

            def has_lost_leadership() -> bool:
                return state.role is not Role.LEADER or state.term != term

            def has_committed() -> bool:
                return (
                    has_lost_leadership() or state.commit_index >= state.first_own_index
                )

            is_ready = self._wait(has_committed, deadline)
            if has_lost_leadership():
                raise NotLeaderError(state.leader_address)
            if not is_ready:
                raise NotConfirmedError(
                    f"leader has not committed an entry of its term {term} yet"
                )
            index, asked_at = state.commit_index, state.clock.now()
            if asked_at < state.lease_end():
                return index
            state.quorum_check_at = asked_at
            state.changed.notify_all()
            confirmed = self._wait(
                lambda: has_lost_leadership() or state.quorum_contact() >= asked_at,
                deadline,
            )
            if has_lost_leadership() or not confirmed:
                raise NotConfirmedError(
                    f"no quorum confirmed the leadership of term {term} in time"
                )
            return index

    def handle_read(self, request: ReadRequest) -> ReadResponse:
        """Answer a follower's request for a read point."""
        state = self._state
        with state.changed:
            check_request(state, request)
        index = self.leader_read_point(state.clock.now() + state.settings.rpc_timeout)
        with state.changed:
            return ReadResponse(
                term=state.term, incarnation=state.identity.incarnation, index=index
            )

    def _fetch_read_point(self, deadline: float) -> int:
        state = self._state
        while True:
            with state.changed:
                is_leader, leader = state.role is Role.LEADER, state.leader_id
            if is_leader:
                with contextlib.suppress(NotLeaderError):
                    return self.leader_read_point(deadline)
            elif leader is not None:
                index = self._request_read_point(leader, deadline)
                if index is not None:
                    return index
            if not self._wait_for_leader_change(deadline):
                raise NotConfirmedError(
                    "no leader confirmed the read before the deadline"
                )

    def _wait_for_leader_change(self, deadline: float) -> bool:
        """Wait for a change of leader, at most for one heartbeat interval.

        Returns False if the deadline has passed or the node has failed or is closed.
        """
        state = self._state
        with state.changed:
            known = (state.role, state.leader_id, state.leader_address)
            until = state.clock.now() + state.settings.heartbeat_interval
            self._wait(
                lambda: (state.role, state.leader_id, state.leader_address) != known,
                min(until, deadline),
            )
            is_open = not state.has_failed and not state.is_closed
            return is_open and state.clock.now() < deadline

    def _request_read_point(self, leader: str, deadline: float) -> int | None:
        state = self._state
        remaining = deadline - state.clock.now()
        if remaining <= 0:
            return None
        with state.changed:
            request = ReadRequest(**self._caller.header(leader, state.term))
        timeout = min(remaining, state.settings.rpc_timeout)
        response = self._caller.call(leader, PATH_READ, request, ReadResponse, timeout)
        return response.index if response is not None else None

    def _wait(self, is_met: Callable[[], bool], deadline: float) -> bool:
        state = self._state
        with state.changed:
            while not is_met():
                remaining = deadline - state.clock.now()
                if remaining <= 0 or state.has_failed or state.is_closed:
                    return False
                state.clock.wait(state.changed, remaining)
            return True
