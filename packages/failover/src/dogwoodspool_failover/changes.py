"""Run the changes of primary that are in progress, one thread for each group."""

import threading

from dogwoodspool_common import Phase, log_event
from dogwoodspool_control.progress import ProgressReport

from .change import PrimaryChange
from .const import RESUME_ATTEMPTS, RESUME_RETRY_SECONDS, SERVER_CALL_TIMEOUT
from .errors import ServerCallError
from .parts import ChangeParts


class PrimaryChanges:
    """Carry on each promotion of the committed state while this voter leads."""

    def __init__(self, parts: ChangeParts) -> None:
        self._parts = parts
        self._lock = threading.Lock()
        self._running: dict[str, tuple[PrimaryChange, threading.Thread]] = {}

    @property
    def reports(self) -> list[ProgressReport]:
        """The present steps of the changes that run here."""
        with self._lock:
            return [change.report for change, _ in self._running.values()]

    @property
    def groups(self) -> list[str]:
        """Groups whose change runs here."""
        with self._lock:
            return [
                group
                for group, (_, thread) in self._running.items()
                if thread.is_alive()
            ]

    def run_missing(self) -> None:
        """Start what is in progress in the state and does not run here."""
        in_progress = self._parts.state.promotions
        with self._lock:
            for group, (_, thread) in list(self._running.items()):
                if not thread.is_alive():
                    del self._running[group]
            for group in in_progress:
                if group not in self._running:
                    self._start(group)

    def resume_replicas(self, group: str) -> None:
        """Let the replicas of a steady group receive again.

        The leader that paused them may have ended before it could resume them.
        """
        state = self._parts.state.group(group)
        if state is None or state.phase is not Phase.STEADY:
            return
        for server in self._parts.state.servers_of(group):
            if server.name != state.primary and not server.is_gone:
                self._parts.executor.submit(
                    self._resume, group, state.term, server.name
                )

    def join(self, timeout: float) -> None:
        """Wait for changes to notice that this voter leads no more."""
        with self._lock:
            threads = [thread for _, thread in self._running.values()]
        for thread in threads:
            thread.join(timeout)

    def _start(self, group: str) -> None:
        change = PrimaryChange(group, self._parts)
        thread = threading.Thread(
            target=self._run, args=(group, change), name=f"change-{group}", daemon=True
        )
        self._running[group] = (change, thread)
        thread.start()

    def _run(self, group: str, change: PrimaryChange) -> None:
        change.run()
        self.resume_replicas(group)

    def _resume(self, group: str, term: int, name: str) -> None:
        """Resume one replica, again and again while its group stays as it is."""
        parts = self._parts
        for _attempt in range(RESUME_ATTEMPTS):
            state, server = parts.state.group(group), parts.state.servers.get(name)
            is_steady = state is not None and state.phase is Phase.STEADY
            if server is None or state is None or not is_steady or state.term != term:
                return
            if parts.node.leadership() is None:
                return
            try:
                parts.servers.resume(server, SERVER_CALL_TIMEOUT)
            except ServerCallError as error:
                log_event("resume_failed", server=name, reason=error)
                parts.clock.sleep(RESUME_RETRY_SECONDS)
            else:
                return
