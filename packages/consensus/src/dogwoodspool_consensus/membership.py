"""Membership changes, one at a time."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

from dogwoodspool_common import Address, log_event

from .const import UNPINNED
from .errors import MembershipChangeError, NotLeaderError, OutcomeUnknownError
from .models import Configuration, Member, Role
from .state import NodeState


class Membership:
    """Add and remove members through configuration entries in the log.

    Any two quorums of configurations that differ by one voter overlap, so a change
    needs no joint consensus. But each change must wait until the previous one is
    committed, and the first one until the leader has committed an entry of its own
    term.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._change_lock = threading.Lock()

    def add_voter(self, node_id: str, address: Address, timeout: float) -> None:
        """Add a node as a learner and make it a voter once it has caught up.

        The call may be repeated and then continues where it stopped.

        Raises:
            NotLeaderError: this node is not the leader; nothing was changed.
            MembershipChangeError: the change is not allowed, or the learner did
                not catch up within ``timeout`` seconds and stays a learner.
            OutcomeUnknownError: the change was appended and may or may not be
                committed.
        """
        with self._exclusive_change(timeout) as deadline:
            member = self._find_member(node_id, address)
            if member is not None and member.is_voter:
                return
            if member is None:
                self._append_learner(node_id, address, deadline)
            self._wait_caught_up(node_id, deadline)
            self._set_voter(node_id, deadline, is_voter=True)
            log_event("voter_added", member=node_id, address=address)

    def add_learner(
        self, node_id: str, address: Address, failure_domain: str, timeout: float
    ) -> None:
        """Add a non-voting member, or update the failure domain of a member.

        Raises the same errors as ``add_voter``.
        """
        with self._exclusive_change(timeout) as deadline:
            member = self._find_member(node_id, address)
            if member is None:
                self._append_learner(node_id, address, deadline, failure_domain)
                log_event("learner_added", member=node_id, address=address)
            elif member.failure_domain != failure_domain:
                described = replace(member, failure_domain=failure_domain)
                self._change(self._state.configuration.with_member(node_id, described))
                self._wait_committed(deadline)

    def demote_voter(self, node_id: str, timeout: float) -> None:
        """Turn a voter into a learner, which still replicates the log.

        It keeps its identity and files, so that it may become a voter again once
        it is back. Raises the same errors as ``add_voter``.
        """
        with self._exclusive_change(timeout) as deadline:
            configuration = self._state.configuration
            member = configuration.members.get(node_id)
            if member is None or not member.is_voter:
                return
            if configuration.voters == {node_id}:
                raise MembershipChangeError(f"last voter {node_id} cannot be demoted")
            self._set_voter(node_id, deadline, is_voter=False)
            log_event("voter_demoted", member=node_id)

    def remove_voter(self, node_id: str, timeout: float) -> None:
        """Remove a voter or learner and retire its id.

        A leader that removes itself leads until the change is committed. Raises the
        same errors as ``add_voter``.
        """
        with self._exclusive_change(timeout) as deadline:
            configuration = self._state.configuration
            if node_id not in configuration.members:
                return
            remaining = configuration.without(node_id)
            if not remaining.voters:
                raise MembershipChangeError(f"last voter {node_id} cannot be removed")
            self._change(remaining)
            self._wait_committed(deadline)
            log_event("voter_removed", member=node_id)

    @contextmanager
    def _exclusive_change(self, timeout: float) -> Iterator[float]:
        state = self._state
        deadline = state.clock.now() + timeout
        if not self._change_lock.acquire(blocking=False):
            raise MembershipChangeError("another membership change is in progress")
        try:
            with state.changed:
                if state.leadership() is None:
                    raise NotLeaderError(state.leader_address)
                self._wait_committed(deadline)
                yield deadline
        finally:
            self._change_lock.release()

    def _find_member(self, node_id: str, address: Address) -> Member | None:
        """Return the member with an id, if any; raise if the id is not usable."""
        configuration = self._state.configuration
        if node_id in configuration.retired:
            raise MembershipChangeError(f"{node_id} was removed before; use a new id")
        member = configuration.members.get(node_id)
        if member is not None and member.address != address:
            raise MembershipChangeError(
                f"{node_id} is a member at {member.address}, not at {address}"
            )
        return member

    def _append_learner(
        self, node_id: str, address: Address, deadline: float, failure_domain: str = ""
    ) -> None:
        learner = Member(address, UNPINNED, False, failure_domain)
        self._change(self._state.configuration.with_member(node_id, learner))
        self._wait_committed(deadline)

    def _set_voter(self, node_id: str, deadline: float, *, is_voter: bool) -> None:
        configuration = self._state.configuration
        member = replace(configuration.members[node_id], is_voter=is_voter)
        self._change(configuration.with_member(node_id, member))
        self._wait_committed(deadline)

    def _change(self, configuration: Configuration) -> None:
        self._state.append_configuration(configuration)

    def _wait_committed(self, deadline: float) -> None:
        state = self._state
        index = state.configurations.current_index
        if not self._wait(lambda: state.commit_index >= index, deadline):
            raise OutcomeUnknownError(
                f"configuration entry {index} was not committed before the deadline"
            )

    def _wait_caught_up(self, node_id: str, deadline: float) -> None:
        state = self._state

        def is_caught_up() -> bool:
            member = state.configuration.members[node_id]
            match = state.progress_of(node_id).match_index
            lag = state.commit_index - match
            return member.incarnation != UNPINNED and lag <= state.settings.max_batch

        if not self._wait(is_caught_up, deadline):
            raise MembershipChangeError(
                f"{node_id} did not catch up in time and stays a learner"
            )
        # Pinning the learner's incarnation appended another configuration.
        self._wait_committed(deadline)

    def _wait(self, is_met: Callable[[], bool], deadline: float) -> bool:
        state = self._state
        term = state.term
        while not is_met():
            if state.role is not Role.LEADER or state.term != term:
                raise OutcomeUnknownError(
                    f"{state.node_id} is not the leader of term {term} any more"
                )
            remaining = deadline - state.clock.now()
            if remaining <= 0 or state.is_closed:
                return False
            state.clock.wait(state.changed, remaining)
        return True
