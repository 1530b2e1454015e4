"""Freeze a group's servers, so that what they hold changes no more."""

from collections.abc import Mapping, Sequence

from dogwoodspool_common import BackendServer, Role, log_event

from .const import FREEZE_GRACE_SECONDS, SERVER_CALL_TIMEOUT
from .models import ServerState
from .parts import ChangeParts, newest_term


class GroupFreeze:
    """Pause replicas and step primaries down, and keep what each then held.

    What a server said counts for its present process only: a restart ends its
    pause, and it may have received writes since. So each answer is kept with the
    incarnation that gave it, and dropped when the server starts again.
    """

    def __init__(self, parts: ChangeParts) -> None:
        self._parts = parts
        self._frozen: dict[str, tuple[int, ServerState]] = {}
        self._term = 0

    def frozen(self, members: Sequence[BackendServer]) -> dict[str, ServerState]:
        """Return the answers of the members that are frozen at this time."""
        return {
            one.name: self._frozen[one.name][1]
            for one in members
            if one.name in self._frozen and self._frozen[one.name][0] == one.incarnation
        }

    def try_all(
        self, members: Sequence[BackendServer], old_primary: str
    ) -> dict[str, ServerState]:
        """Freeze every member that answers; return the states before it.

        Members that are frozen are asked again, too: one may have restarted under
        the same incarnation without a heartbeat so far.
        """
        running = [one for one in members if not one.is_gone]
        states = self._parts.ask_all(
            running,
            lambda server: self._parts.servers.status(server, SERVER_CALL_TIMEOUT),
            SERVER_CALL_TIMEOUT + FREEZE_GRACE_SECONDS,
            old_primary,
        )
        self._term = max(self._term, newest_term(states.values()) + 1)
        asked = [one for one in running if one.name in states]
        answers = self._parts.ask_all(
            asked,
            lambda server: self._freeze(server, states),
            SERVER_CALL_TIMEOUT + FREEZE_GRACE_SECONDS,
            old_primary,
        )
        for server in asked:
            self._note(server, answers.get(server.name))
        return states

    def pause(self, servers: Sequence[BackendServer]) -> dict[str, ServerState]:
        """Pause some replicas; return those that are paused."""
        answers = self._parts.ask_all(
            servers, self._pause, SERVER_CALL_TIMEOUT + FREEZE_GRACE_SECONDS
        )
        return {name: one for name, one in answers.items() if one.paused_term}

    def learn_terms(self, states: Mapping[str, ServerState]) -> None:
        """Use terms above those that servers know."""
        self._term = max(self._term, newest_term(states.values()) + 1)

    def _freeze(
        self, server: BackendServer, states: Mapping[str, ServerState]
    ) -> ServerState:
        if states[server.name].role is Role.PRIMARY:
            self._parts.servers.step_down(server, self._term, SERVER_CALL_TIMEOUT)
        return self._pause(server)

    def _pause(self, server: BackendServer) -> ServerState:
        return self._parts.servers.pause(server, self._term, SERVER_CALL_TIMEOUT)

    def _note(self, server: BackendServer, answer: ServerState | None) -> None:
        if answer is None or answer.role is Role.PRIMARY or not answer.paused_term:
            self._frozen.pop(server.name, None)
            return
        if server.name not in self._frozen:
            log_event(
                "server_frozen",
                server=server.name,
                term=self._term,
                received=f"{answer.received.term}.{answer.received.offset}",
            )
        self._frozen[server.name] = server.incarnation, answer
