"""Run the changes of primary that are in progress, one thread for each group."""

import threading

from dogwoodspool_common import BackendServer, Phase, Role, log_event
from dogwoodspool_common.const import NEVER
from dogwoodspool_control.commands import RecordResume
from dogwoodspool_control.errors import ControlError
from dogwoodspool_control.promotion.worker import PromotionRunner

from .change import PrimaryChange
from .const import (
    CHECKS_PER_TICK,
    LATE_COMMAND_SECONDS,
    OPEN_RESUME_SECONDS,
    RESUME_ATTEMPTS,
    RESUME_RETRY_SECONDS,
    RESUME_SEND_SECONDS,
    SERVER_CALL_TIMEOUT,
)
from .dependencies import ChangeDependencies
from .ended import EndedServers
from .epochs import EpochChecks
from .errors import ServerCallError


class PrimaryChanges(PromotionRunner):
    """Run each promotion of the committed state while this voter is the leader."""

    def __init__(
        self,
        dependencies: ChangeDependencies,
        epochs: EpochChecks,
        ended: EndedServers | None = None,
    ) -> None:
        known = ended or EndedServers(dependencies)
        super().__init__(
            dependencies.state,
            lambda group: PrimaryChange(group, dependencies, known),
            self._change_ended,
        )
        self._dependencies = dependencies
        self._epochs = epochs
        self._jobs_lock = threading.Lock()
        # By group: when to look at it. By server: when to try again, and how often.
        self._checks: dict[str, float] = {}
        self._late_checks: dict[str, float] = {}
        self._retries: dict[str, tuple[float, int]] = {}
        self._in_flight: set[str] = set()
        # By log index of the record: the server, and when its command is over.
        self._sent: dict[int, tuple[str, float]] = {}
        self._expire_at = NEVER

    def begin_leadership(self) -> None:
        """Look at all groups: an earlier leader may have left commands open."""
        now = self._dependencies.clock.now()
        groups = self._dependencies.state.groups
        with self._jobs_lock:
            self._retries.clear()
            self._checks = dict.fromkeys(groups, now)
            self._late_checks = dict.fromkeys(groups, now + LATE_COMMAND_SECONDS)

    def resume_replicas(self, group: str) -> None:
        """Resume the replicas of a steady group that are paused.

        A promotion ends all pauses. A server may be paused after that, by a command
        that it carries out late or by a leader that stopped before the promotion.
        """
        state = self._dependencies.state.group(group)
        if state is None or state.phase is not Phase.STEADY:
            return
        for server in self._dependencies.state.servers_of(group):
            if server.name != state.primary and not server.is_gone:
                self._submit(server.name, RESUME_ATTEMPTS)

    def check_late(self) -> None:
        """Look at groups and servers that are due, a few at a time.

        A group is looked at once its change has ended, and again once no command of
        the change can be open.
        """
        now = self._dependencies.clock.now()
        with self._jobs_lock:
            due = [
                *_take_due(self._checks, now),
                *_take_due(self._late_checks, now),
            ]
            retries = [name for name, (at, _) in self._retries.items() if at <= now]
            retries = retries[:CHECKS_PER_TICK]
            attempts = [(name, self._retries.pop(name)[1]) for name in retries]
        for group in due:
            self._epochs.check(group)
            self.resume_replicas(group)
        for name, left in attempts:
            self._submit(name, left)
        self._close_records(now)

    def run_missing(self) -> None:
        """Start a worker for each promotion that has none in this process."""
        super().run_missing()
        self._schedule_late()

    def _schedule_late(self) -> None:
        """Look at each group again once the commands of its change are over."""
        due_at = self._dependencies.clock.now() + LATE_COMMAND_SECONDS
        with self._jobs_lock:
            for group in self._dependencies.state.promotions:
                self._late_checks[group] = due_at

    def _change_ended(self, group: str) -> None:
        due_at = self._dependencies.clock.now() + LATE_COMMAND_SECONDS
        with self._jobs_lock:
            self._late_checks[group] = due_at
        self.resume_replicas(group)

    def _submit(self, name: str, attempts: int) -> None:
        with self._jobs_lock:
            if name in self._in_flight:
                return
            self._in_flight.add(name)
        self._dependencies.executor.submit(self._resume, name, attempts)

    def _resume(self, name: str, attempts: int) -> None:
        """Resume one replica if it is paused and its group steady, or try later."""
        is_done = False
        try:
            server = self._steady_replica(name)
            is_done = server is None or self._is_resumed(server)
        except (ServerCallError, ControlError) as error:
            log_event("resume_failed", server=name, reason=error)
        finally:
            retry_at = self._dependencies.clock.now() + RESUME_RETRY_SECONDS
            with self._jobs_lock:
                self._in_flight.discard(name)
                if not is_done and attempts > 1:
                    self._retries[name] = retry_at, attempts - 1

    def _steady_replica(self, name: str) -> BackendServer | None:
        state = self._dependencies.state
        server = state.servers.get(name)
        if server is None or server.is_gone:
            return None
        group = state.group(server.group)
        if group is None or group.phase is not Phase.STEADY or group.primary == name:
            return None
        return None if self._dependencies.node.leadership() is None else server

    def _is_resumed(self, server: BackendServer) -> bool:
        """Resume a replica if it is paused; return whether it is not paused now.

        The command has no term, so that it also ends the pause of a later change. It
        is recorded until it has been answered, and no such change relies on the pause.
        """
        calls, node = self._dependencies.servers, self._dependencies.node
        clock = self._dependencies.clock
        state = calls.status(server, SERVER_CALL_TIMEOUT)
        if state.role is Role.PRIMARY or not state.paused_term:
            return True
        began_at = clock.now()
        opened_at = node.commit(RecordResume(server.name, is_open=True)).version
        if clock.now() - began_at > RESUME_SEND_SECONDS:
            self._close_later(opened_at, server)
            return False
        log_event(
            "resume_sent",
            group=server.group,
            server=server.name,
            paused_term=state.paused_term,
        )
        try:
            answer = calls.resume(server, SERVER_CALL_TIMEOUT)
        except ServerCallError:
            self._close_later(opened_at, server)
            raise
        node.commit(RecordResume(server.name, is_open=False, opened_at=opened_at))
        log_event(
            "resumed",
            group=server.group,
            server=server.name,
            received=f"{answer.received.term}.{answer.received.offset}",
        )
        return True

    def _close_later(self, opened_at: int, server: BackendServer) -> None:
        over_at = self._dependencies.clock.now() + LATE_COMMAND_SECONDS
        with self._jobs_lock:
            self._sent[opened_at] = server.name, over_at

    def _close_records(self, now: float) -> None:
        """Close the records of commands that can no longer be carried out."""
        with self._jobs_lock:
            over = [index for index, (_, at) in self._sent.items() if at <= now]
            closed = [(self._sent.pop(index)[0], index) for index in over]
            if now >= self._expire_at:
                # Records of processes that have not closed them.
                self._expire_at = now + LATE_COMMAND_SECONDS
                closed += self._dependencies.state.expired_resumes(OPEN_RESUME_SECONDS)
        for name, index in closed:
            command = RecordResume(name, is_open=False, opened_at=index)
            self._dependencies.executor.submit(self._commit, command)

    def _commit(self, command: RecordResume) -> None:
        try:
            self._dependencies.node.commit(command)
        except ControlError as error:
            log_event("command_not_committed", command="RecordResume", reason=error)


def _take_due(checks: dict[str, float], now: float) -> list[str]:
    """Remove and return some groups that are due."""
    due = [group for group, at in checks.items() if at <= now][:CHECKS_PER_TICK]
    for group in due:
        del checks[group]
    return due
