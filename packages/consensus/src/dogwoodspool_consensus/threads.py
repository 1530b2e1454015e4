"""The threads of a node: timer, log writer, applier and one per peer."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from dogwoodspool_common import log_event

from .const import MIN_TICK_SECONDS
from .models import Role
from .state import NodeState


@dataclass(frozen=True, slots=True)
class NodeSteps:
    """Steps that the threads repeat; tests call the same steps."""

    tick: Callable[[], None]
    step_peer: Callable[[str], None]
    write_pending: Callable[[], None]
    apply_committed: Callable[[], None]


class NodeThreads:
    """Run each step of a node whenever there is work for it."""

    def __init__(
        self,
        state: NodeState,
        steps: NodeSteps,
        *,
        peer_due: Callable[[str], float],
        has_proposals: Callable[[], bool],
        has_committed: Callable[[], bool],
    ) -> None:
        self._state = state
        self._steps = steps
        self._peer_due = peer_due
        self._has_proposals = has_proposals
        self._has_committed = has_committed
        self._threads: list[threading.Thread] = []
        self._peer_threads: dict[str, threading.Thread] = {}
        self._timer = threading.Condition()
        state.earlier_election_listeners.append(self._wake_timer)

    def set_up(self) -> None:
        """Start the threads."""
        steps = self._steps
        loops: dict[str, Callable[[], None]] = {
            "raft-timer": self._timer_loop,
            "raft-log-writer": lambda: self._loop(
                self._has_proposals, steps.write_pending
            ),
            "raft-applier": lambda: self._loop(
                self._has_committed, steps.apply_committed
            ),
        }
        self._threads = [self._start(name, loop) for name, loop in loops.items()]

    def unload(self) -> None:
        """Wait until all threads have ended.

        The caller has closed the state before.
        """
        with self._state.changed:
            self._state.changed.notify_all()
        self._wake_timer()
        # Join the timer first, as it starts the peer threads.
        for thread in self._threads:
            thread.join()
        for thread in self._peer_threads.values():
            thread.join()

    def _start(self, name: str, loop: Callable[[], None]) -> threading.Thread:
        thread = threading.Thread(
            target=self._run, args=(name, loop), name=name, daemon=True
        )
        thread.start()
        return thread

    def _run(self, name: str, loop: Callable[[], None]) -> None:
        try:
            loop()
        except Exception as error:
            # A node that lost one of its threads might lead without committing, or,
            # after an apply that raised, have a state machine that differs from those
            # of its peers.
            log_event("thread_failed", level="ERROR", thread=name, error=repr(error))
            with self._state.changed:
                self._state.fail(error)
            raise

    def _timer_loop(self) -> None:
        state = self._state
        while not state.is_closed:
            self._steps.tick()
            self._start_peer_threads()
            pause = self.pause_before_tick()
            with self._timer:
                if not state.is_closed:
                    state.clock.wait(self._timer, pause)

    def _wake_timer(self) -> None:
        """Make the timer re-read an election deadline that was moved forward.

        Otherwise voters would notice the passed deadline only at the end of their
        current pause, which is the same for all voters that started together.
        """
        with self._timer:
            self._timer.notify_all()

    def pause_before_tick(self) -> float:
        """Return the seconds until the next tick of the timer.

        An election starts at its own random time and not at the next tick of a fixed
        interval: nodes that started together tick together, so that two of three
        elections would start in the same millisecond and split the votes.
        """
        state = self._state
        longest = state.settings.heartbeat_interval / 2
        with state.changed:
            if state.role is Role.LEADER or not state.is_electable:
                return longest
            remaining = state.election_deadline - state.clock.now()
        return min(longest, max(MIN_TICK_SECONDS, remaining))

    def _start_peer_threads(self) -> None:
        with self._state.changed:
            peers = set(self._state.configuration.members) - {self._state.node_id}
        for peer in peers:
            thread = self._peer_threads.get(peer)
            if thread is None or not thread.is_alive():
                self._peer_threads[peer] = self._start(
                    f"raft-{peer}", partial(self._peer_loop, peer)
                )

    def _peer_loop(self, peer: str) -> None:
        state = self._state
        while True:
            with state.changed:
                if state.is_closed or peer not in state.configuration.members:
                    return
                remaining = self._peer_due(peer) - state.clock.now()
                if remaining > 0:
                    limit = state.settings.election_timeout_max
                    state.clock.wait(state.changed, min(remaining, limit))
                    continue
            self._steps.step_peer(peer)

    def _loop(self, has_work: Callable[[], bool], step: Callable[[], None]) -> None:
        state = self._state
        while True:
            with state.changed:
                while not state.is_closed and (state.has_failed or not has_work()):
                    limit = state.settings.election_timeout_max
                    state.clock.wait(state.changed, limit)
                if state.is_closed:
                    return
            step()
