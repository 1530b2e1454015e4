"""Fence a group's servers, so that their data no longer changes."""

import threading
from collections.abc import Collection, Iterable, Mapping, Sequence

from dogwoodspool_common import BackendServer, Role, log_event

from .const import FENCE_GRACE_SECONDS, OPEN_RESUME_SECONDS, SERVER_CALL_TIMEOUT
from .dependencies import ChangeDependencies, newest_term
from .errors import ServerRefusingError
from .models import ServerState


class GroupFencing:
    """Pause replicas, step primaries down and keep the state of each afterwards.

    A server's answer is valid for its current process only: a restart ends the pause,
    and the server may have received writes since. Each answer is therefore stored
    with the incarnation that gave it, and discarded when the server restarts or does
    not repeat it. A server that may still carry out a command to resume does not count
    as fenced. One that ends while it is fenced has received nothing since, so its last
    answer stays valid.

    The fencing term is the lowest one that has an effect, which the next primary's term
    reaches: a command that is carried out after the change then has none.
    """

    def __init__(self, dependencies: ChangeDependencies) -> None:
        self._dependencies = dependencies
        self._lock = threading.Lock()
        self._fenced: dict[str, tuple[int, ServerState]] = {}
        # The last answers of servers that have not been seen running unfenced since.
        self._last_fenced: dict[str, tuple[int, ServerState]] = {}
        self._refusing: set[tuple[str, int]] = set()
        self._term = 0

    def fenced(self, members: Sequence[BackendServer]) -> dict[str, ServerState]:
        """Return the answers of the members that are fenced now."""
        with self._lock:
            return _answers_of(members, self._fenced)

    def fenced_until_end(
        self, members: Sequence[BackendServer]
    ) -> dict[str, ServerState]:
        """Return the last answers of the members that have ended while fenced.

        A pause ends as well when another server is promoted. What that one acknowledges
        is passed on only in a group without a recorded epoch.
        """
        ended = [one for one in members if one.is_gone]
        with self._lock:
            return _answers_of(ended, self._last_fenced)

    def refusing(self, members: Sequence[BackendServer]) -> list[str]:
        """Return the members at whose address nothing listened when asked last."""
        with self._lock:
            refusing = set(self._refusing)
        return [one.name for one in members if (one.name, one.incarnation) in refusing]

    def ask_all(
        self, members: Sequence[BackendServer], old_primary: str
    ) -> dict[str, ServerState]:
        """Return the states of the members that answer."""
        return self._dependencies.call_all(
            [one for one in members if not one.is_gone],
            self._ask,
            SERVER_CALL_TIMEOUT + FENCE_GRACE_SECONDS,
            old_primary,
        )

    def fence_all(
        self,
        members: Sequence[BackendServer],
        states: Mapping[str, ServerState],
        old_primary: str,
    ) -> None:
        """Fence every member that has answered; the others count as not fenced.

        Members that are already fenced are called again: one may have restarted under
        the same incarnation without having sent a heartbeat yet.

        Args:
            members: the servers of the group.
            states: their answers, by name.
            old_primary: name of the old primary.
        """
        self.advance_term(states)
        resuming = self._resuming()
        reachable = [one for one in members if one.name in states]
        answers = self._dependencies.call_all(
            reachable,
            lambda server: self._fence(server, states),
            SERVER_CALL_TIMEOUT + FENCE_GRACE_SECONDS,
            old_primary,
        )
        for server in members:
            self._record(server, answers.get(server.name), resuming)
        self._raise_term(answers.values())

    def pause(self, servers: Sequence[BackendServer]) -> dict[str, ServerState]:
        """Pause replicas; return the states of those that are paused."""
        resuming = self._resuming()
        answers = self._dependencies.call_all(
            servers, self._pause, SERVER_CALL_TIMEOUT + FENCE_GRACE_SECONDS
        )
        for server in servers:
            self._record(server, answers.get(server.name), resuming)
        self._raise_term(answers.values())
        return {
            name: one
            for name, one in answers.items()
            if one.paused_term and name not in resuming
        }

    def advance_term(self, states: Mapping[str, ServerState]) -> None:
        """Raise the fencing term above every term in the servers' states."""
        self._term = max(self._term, newest_term(states.values()) + 1)

    def fence_joined(
        self, server: BackendServer, *, may_step_down: bool, may_raise_term: bool
    ) -> ServerState:
        """Fence one server that has joined since the others were fenced.

        Args:
            server: the server.
            may_step_down: whether it is demoted if it is a primary.
            may_raise_term: whether the fencing term may become higher than that of the
                other servers. A call that may still be in progress when the promotion
                takes effect must not raise it: the call then has no effect, as the new
                primary's term is not below the fencing term.
        """
        calls = self._dependencies.servers
        resuming = self._resuming()
        state = calls.status(server, SERVER_CALL_TIMEOUT)
        if may_raise_term:
            self.advance_term({server.name: state})
        if not self._term:
            return state
        if state.role is Role.PRIMARY:
            if not may_step_down:
                return state
            calls.step_down(server, self._term, SERVER_CALL_TIMEOUT)
        answer = self._pause(server)
        self._record(server, answer, resuming)
        if may_raise_term:
            self._raise_term([answer])
        return answer

    def _ask(self, server: BackendServer) -> ServerState:
        key = server.name, server.incarnation
        with self._lock:
            self._refusing.discard(key)
        try:
            return self._dependencies.servers.status(server, SERVER_CALL_TIMEOUT)
        except ServerRefusingError:
            with self._lock:
                self._refusing.add(key)
            raise

    def _fence(
        self, server: BackendServer, states: Mapping[str, ServerState]
    ) -> ServerState:
        if states[server.name].role is Role.PRIMARY:
            self._dependencies.servers.step_down(
                server, self._term, SERVER_CALL_TIMEOUT
            )
        return self._pause(server)

    def _pause(self, server: BackendServer) -> ServerState:
        return self._dependencies.servers.pause(server, self._term, SERVER_CALL_TIMEOUT)

    def _resuming(self) -> frozenset[str]:
        """Return the servers that may still carry out a command to resume.

        They must be known before a pause is requested: a command that is answered in
        between has ended the pause.
        """
        return self._dependencies.state.open_resumes(OPEN_RESUME_SECONDS)

    def _raise_term(self, answers: Iterable[ServerState]) -> None:
        """Raise the fencing term if it was too low for a replica."""
        unpaused = [
            one.term
            for one in answers
            if one.role is Role.REPLICA and not one.paused_term
        ]
        if unpaused:
            needed = max(unpaused) + 1
            self._term = needed if needed > self._term else self._term + 1

    def _record(
        self,
        server: BackendServer,
        answer: ServerState | None,
        resuming: Collection[str],
    ) -> None:
        is_fenced = (
            answer is not None
            and answer.role is Role.REPLICA
            and answer.paused_term > 0
            and server.name not in resuming
        )
        if answer is None or not is_fenced:
            with self._lock:
                self._fenced.pop(server.name, None)
                if answer is not None:
                    self._last_fenced.pop(server.name, None)
            return
        with self._lock:
            earlier = self._fenced.get(server.name)
            self._fenced[server.name] = server.incarnation, answer
            self._last_fenced[server.name] = server.incarnation, answer
        if earlier is None or earlier[0] != server.incarnation:
            log_event(
                "server_frozen",
                server=server.name,
                incarnation=server.incarnation,
                term=self._term,
                received=f"{answer.received.term}.{answer.received.offset}",
            )


def _answers_of(
    members: Iterable[BackendServer], known: Mapping[str, tuple[int, ServerState]]
) -> dict[str, ServerState]:
    """Return the answers that the present processes of members have given."""
    return {
        one.name: known[one.name][1]
        for one in members
        if one.name in known and known[one.name][0] == one.incarnation
    }
