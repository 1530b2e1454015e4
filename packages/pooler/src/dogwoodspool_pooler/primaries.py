"""Run requests on a group's primary, also during a switchover or failover."""

from collections.abc import Callable
from typing import Generic

from dogwoodspool_common import (
    BackendServer,
    Clock,
    GroupState,
    Phase,
    log_rate_limited,
)
from dogwoodspool_connections import (
    ConnectFailedError,
    OutcomeUnknownError,
    ServerNotReachedError,
)
from dogwoodspool_following import ViewStore

from .const import (
    BUSY_RETRY_MS,
    MAX_WRITE_ATTEMPTS,
    NO_PRIMARY_RETRY_MS,
    PROMOTION_RETRY_MS,
)
from .errors import AnswerLostError, NoPrimaryError, NotServedError
from .final_writes import is_given_up, may_lead
from .held import ConnectionAccess, HeldT
from .known_primaries import KnownPrimaries
from .models import ErrorCode, Reply, StatementError
from .requests import Request


class PrimaryPath(Generic[HeldT]):
    """Try the servers that may be the primary, until one is.

    A server that is no longer the primary refuses a request before it runs anything,
    so that the next one can be tried. If none is left, the request waits for a newer
    view from control, for as long as it may wait.
    """

    def __init__(
        self,
        views: ViewStore,
        known: KnownPrimaries,
        access: ConnectionAccess[HeldT],
        clock: Clock,
    ) -> None:
        self._views = views
        self._known = known
        self._access = access
        self._clock = clock

    def run(
        self,
        request: Request,
        attempt: Callable[[HeldT], Reply],
        *,
        may_write: bool = False,
    ) -> tuple[HeldT, Reply]:
        """Run a request on the primary.

        Args:
            request: the request to run.
            attempt: runs it on a connection to a server that may be the primary.
            may_write: whether it writes or begins a transaction that may. Only the
                primary of a recorded epoch serves it, unless control has given it up.

        Returns:
            The connection, which the caller of this method must finish, and the reply,
            which is never a refusal of a server that is not the primary.

        Raises:
            NoPrimaryError: no primary can be reached; the request did not run.
            NotServedError: the request did not run.
            OutcomeUnknownError: it may have run; the connection is finished.
        """
        group = request.endpoint.group
        refused: set[str] = set()
        attempts = 0
        while attempts < MAX_WRITE_ATTEMPTS:
            state = self._views.view.groups.get(group)
            server = self._next_candidate(group, refused, may_write=may_write)
            if server is None:
                if not self._wait_for_change(request, state):
                    break
                refused.clear()
                continue
            result = self._try(request, server, attempt)
            if result is not None:
                return result
            refused.add(server.name)
            attempts += 1
            if attempts > 1 and self._clock.now() >= request.deadline:
                break
        raise NoPrimaryError(self._no_primary(group, may_write=may_write))

    def run_idempotent(
        self,
        request: Request,
        attempt: Callable[[HeldT], Reply],
        *,
        may_write: bool = False,
    ) -> tuple[HeldT, Reply]:
        """Run an idempotent request, such as a read, on the primary; see ``run``.

        Raises:
            NotServedError: it did not run.
            AnswerLostError: its answer was lost.
        """
        try:
            return self.run(request, attempt, may_write=may_write)
        except OutcomeUnknownError as error:
            message = f"the primary did not answer: {error}"
            raise AnswerLostError(
                StatementError(ErrorCode.BUSY, message, BUSY_RETRY_MS)
            ) from error

    def _try(
        self, request: Request, server: BackendServer, attempt: Callable[[HeldT], Reply]
    ) -> tuple[HeldT, Reply] | None:
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
            return self._retry(request, server, attempt)
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
            self._known.record_not_primary(request.endpoint.group, server.name)
            held.finish(is_good=True)
            return None
        return held, reply

    def _retry(
        self, request: Request, server: BackendServer, attempt: Callable[[HeldT], Reply]
    ) -> tuple[HeldT, Reply] | None:
        if self._clock.now() >= request.deadline:
            return None
        return self._try(request, server, attempt)

    def _next_candidate(
        self, group: str, refused: set[str], *, may_write: bool
    ) -> BackendServer | None:
        for server in self._known.candidates(group):
            view = self._views.view
            if may_write and (is_given_up(view, server) or not may_lead(view, server)):
                continue
            if server.name not in refused:
                return server
        return None

    def _wait_for_change(self, request: Request, state: GroupState | None) -> bool:
        """Wait until a promotion in progress has gone on; return whether it has.

        If no promotion has begun yet, its end is further away than a request may wait,
        so the caller is refused at once with a retry time.
        """
        group = request.endpoint.group
        while self._is_promoting(group):
            version = self._views.view.version
            if self._views.view.groups.get(group) != state:
                return True
            remaining = request.start_by - self._clock.now()
            if remaining <= 0 or not self._views.wait_newer(version, remaining):
                return False
        return self._views.view.groups.get(group) != state

    def _is_promoting(self, group: str) -> bool:
        state = self._views.view.groups.get(group)
        return state is not None and state.phase is Phase.PROMOTING

    def _no_primary(self, group: str, *, may_write: bool) -> StatementError:
        is_promoting = self._is_promoting(group)
        retry_after_ms = PROMOTION_RETRY_MS if is_promoting else NO_PRIMARY_RETRY_MS
        message = f"no primary of {group} can be reached"
        if may_write and self._is_unrecorded(group):
            message = f"the lead of the next primary of {group} is not recorded yet"
        return StatementError(ErrorCode.BUSY, message, retry_after_ms)

    def _is_unrecorded(self, group: str) -> bool:
        """Return whether a group's primary may serve no writes yet."""
        view = self._views.view
        state = view.groups.get(group)
        chosen = None if state is None else view.servers.get(state.primary or "")
        return chosen is not None and not may_lead(view, chosen)
