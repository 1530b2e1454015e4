"""Reach the server that leads a group, also while the lead moves."""

from collections.abc import Callable

from dogwoodspool_common import BackendServer, Clock, Phase, log_rate_limited
from dogwoodspool_connections import (
    ConnectFailedError,
    OutcomeUnknownError,
    ServerNotReachedError,
)
from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ServerTable

from .access import ServerAccess
from .const import (
    BUSY_RETRY_MS,
    CHANGING_RETRY_MS,
    LEAVING_GRACE_SECONDS,
    MAX_WRITE_ATTEMPTS,
    NO_PRIMARY_RETRY_MS,
)
from .errors import NotServedError
from .held import HeldConnection
from .models import ErrorCode, Reply, StatementError
from .placement import PrimaryMemory
from .requests import Request

# Runs a request on a held connection of a server that may lead.
Attempt = Callable[[HeldConnection], Reply]


class PrimaryPath:
    """Try the servers that may lead, until one does.

    A server that has lost its place refuses before it runs anything, so that the
    next may be tried. Where none is left, the view of control is waited for as
    long as the request may wait.
    """

    def __init__(
        self,
        views: ViewStore,
        table: ServerTable,
        access: ServerAccess,
        clock: Clock,
    ) -> None:
        self._views = views
        self._table = table
        self._access = access
        self._clock = clock
        self._memory = PrimaryMemory()
        # Group, and the server that refused to lead it under that version of the view.
        self._refusals: dict[str, tuple[str, int]] = {}
        views.add_listener(lambda view: self._memory.note(view.groups.values()))

    def current(self, group: str) -> str | None:
        """Return the name of the server that probably leads."""
        candidates = self._candidates(group)
        return candidates[0].name if candidates else None

    def lost_groups(self) -> int:
        """Return how many of the groups that callers use have no primary in reach.

        A server that says that it does not lead counts as lost until a newer view
        comes: another was promoted, and this process does not know of it.
        """
        view = self._views.view
        in_doubt = self._table.failing_groups() | set(self._refusals)
        used = {one.group for one in view.databases.values()}
        return sum(self._is_lost(group, view.version) for group in in_doubt & used)

    def names(self, most: int) -> list[str]:
        """Return the servers that probably lead the groups that callers use."""
        view = self._views.view
        groups = sorted({one.group for one in view.databases.values()})
        found = (self.current(group) for group in groups[:most])
        return [name for name in found if name is not None]

    def run(self, request: Request, attempt: Attempt) -> tuple[HeldConnection, Reply]:
        """Run a request on the primary.

        Returns:
            The connection, which the caller finishes, and the answer, which is no
            refusal for want of the lead.

        Raises:
            NotServedError: nothing of it ran.
            OutcomeUnknownError: it may have run; the connection is finished.
        """
        refused: set[str] = set()
        for number in range(MAX_WRITE_ATTEMPTS):
            version = self._views.view.version
            server = self._next(request.endpoint.group, refused)
            if server is not None:
                result = self._try(request, server, attempt)
                if result is not None:
                    return result
                refused.add(server.name)
            elif not self._await_news(request, version):
                break
            else:
                refused.clear()
            if number and self._clock.now() >= request.deadline:
                break
        raise NotServedError(self._no_primary(request.endpoint.group))

    def run_repeatable(
        self, request: Request, attempt: Attempt
    ) -> tuple[HeldConnection, Reply]:
        """Run on the primary what may run again, such as a read; see ``run``.

        Raises:
            NotServedError: it did not run, or its answer was lost.
        """
        try:
            return self.run(request, attempt)
        except OutcomeUnknownError as error:
            message = f"the primary did not answer: {error}"
            raise NotServedError(
                StatementError(ErrorCode.BUSY, message, BUSY_RETRY_MS)
            ) from error

    def _try(
        self, request: Request, server: BackendServer, attempt: Attempt
    ) -> tuple[HeldConnection, Reply] | None:
        try:
            held = self._access.open(server, request)
        except ConnectFailedError:
            return None
        try:
            reply = attempt(held)
        except NotServedError:
            held.finish(is_good=True)
            raise
        except ServerNotReachedError:
            held.finish(is_good=False)
            return None
        except ConnectFailedError:
            # The pooled connection had ended; nothing was sent on it.
            held.finish(is_good=False)
            return self._try_again(request, server, attempt)
        except OutcomeUnknownError:
            held.finish(is_good=False)
            raise
        if reply.error is not None and reply.error.code is ErrorCode.READ_ONLY:
            log_rate_limited(
                "server_does_not_lead",
                request=request.statement.request_id,
                server=server.name,
                view=self._views.view.version,
            )
            refused = (server.name, self._views.view.version)
            self._refusals[request.endpoint.group] = refused
            held.finish(is_good=True)
            return None
        return held, reply

    def _is_lost(self, group: str, version: int) -> bool:
        current = self.current(group)
        return current is None or self._refusals.get(group) == (current, version)

    def _try_again(
        self, request: Request, server: BackendServer, attempt: Attempt
    ) -> tuple[HeldConnection, Reply] | None:
        if self._clock.now() >= request.deadline:
            return None
        return self._try(request, server, attempt)

    def _next(self, group: str, refused: set[str]) -> BackendServer | None:
        for server in self._candidates(group):
            if server.name not in refused:
                return server
        return None

    def _candidates(self, group: str) -> list[BackendServer]:
        view = self._views.view
        servers = view.servers_of(group)
        found = self._memory.candidates(view.groups.get(group), servers)
        return [one for one in found if self._takes_work(one.name)]

    def _takes_work(self, name: str) -> bool:
        """Tell whether a server may get new work.

        A leaving primary goes on for a while, since its lead is moved meanwhile
        and nobody else can take its writes. Then it gets none, also where the
        lead could not be moved.
        """
        known = self._table.get(name)
        if known is None:
            return True
        leaving_for = known.leaving_for
        is_leaving = leaving_for is not None and leaving_for >= LEAVING_GRACE_SECONDS
        return not known.is_failing and not is_leaving

    def _await_news(self, request: Request, version: int) -> bool:
        """Wait for the end of a change of primary that is under way.

        Before a change has begun it takes longer than a request may wait, so the
        caller is told at once to come back.
        """
        if not self._is_changing(request.endpoint.group):
            return False
        remaining = request.start_by - self._clock.now()
        return remaining > 0 and self._views.wait_newer(version, remaining)

    def _is_changing(self, group: str) -> bool:
        state = self._views.view.groups.get(group)
        return state is not None and state.phase is Phase.PROMOTING

    def _no_primary(self, group: str) -> StatementError:
        is_changing = self._is_changing(group)
        retry_after_ms = CHANGING_RETRY_MS if is_changing else NO_PRIMARY_RETRY_MS
        return StatementError(
            ErrorCode.BUSY, f"no primary of {group} is reachable", retry_after_ms
        )
