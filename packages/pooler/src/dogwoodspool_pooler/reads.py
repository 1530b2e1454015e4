"""Reads outside of transactions: on a server that has what they must reflect."""

from dogwoodspool_common import (
    BackendServer,
    Clock,
    Consistency,
    log_rate_limited,
)
from dogwoodspool_common.counters import Counters
from dogwoodspool_connections import ConnectFailedError, OutcomeUnknownError
from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ServerTable

from .access import ServerAccess
from .const import (
    MAX_READ_ATTEMPTS,
    PRIMARY_READ_SHARE,
    READ_ATTEMPT_SHARE,
)
from .errors import NotFreshError, NotServedError
from .held import HeldConnection, ReadBound
from .models import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from .placement import rank_for_read
from .primaries import PrimaryPath
from .requests import Request


class ReadPath:
    """Serve plain reads.

    A read changes nothing, so it moves to another server when one does not answer
    in time.
    """

    def __init__(
        self,
        views: ViewStore,
        table: ServerTable,
        access: ServerAccess,
        primaries: PrimaryPath,
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._counters = counters
        self._views = views
        self._table = table
        self._access = access
        self._primaries = primaries
        self._clock = clock

    def bound(self, request: Request) -> ReadBound | None:
        """Return what a server must reflect; None for the primary alone."""
        endpoint = request.endpoint
        if endpoint.consistency is Consistency.PRIMARY or request.max_age is None:
            return None
        is_own = endpoint.consistency is Consistency.READ_YOUR_WRITES
        at_least = request.session_position if is_own else None
        bound = ReadBound(request.max_age, at_least)
        if not self._access.may_be_fresh(endpoint.group, bound):
            return None
        return bound

    def run(self, request: Request) -> Reply:
        """Serve one read.

        Raises:
            NotServedError: no server took it.
        """
        bound = self.bound(request)
        if bound is None:
            return self._read_primary(request)
        excluded: set[str] = set()
        failed: Reply | None = None
        for number in range(MAX_READ_ATTEMPTS):
            server = self.choose(request, excluded)
            if server is None:
                break
            try:
                reply = self._try(request, server, number, bound)
            except NotFreshError:
                break
            if reply is not None and reply.error is None:
                group = request.endpoint.group
                is_primary = server.name == self._primaries.current(group)
                self._counters.read_served(group, is_primary)
                return reply
            excluded.add(server.name)
            failed = reply or failed
            if self._clock.now() >= request.deadline:
                break
        if failed is not None and failed.error and not failed.error.code.is_not_run:
            return failed
        return self._read_primary(request)

    def choose(self, request: Request, excluded: set[str]) -> BackendServer | None:
        """Return the best server for a read, None where none is left."""
        group = request.endpoint.group
        ranked = rank_for_read(
            self._table.servers(group),
            primary=self._primaries.current(group),
            failure_domain=self._views.failure_domain,
            excluded=excluded,
        )
        return ranked[0].server if ranked else None

    def _try(
        self, request: Request, server: BackendServer, number: int, bound: ReadBound
    ) -> Reply | None:
        """Try one server; None where it gave no answer.

        Raises:
            NotFreshError: no position is known that meets the bound.
        """
        now = self._clock.now()
        until = request.deadline
        if number == 0:
            until = now + (request.deadline - now) * READ_ATTEMPT_SHARE
        try:
            held = self._access.open(server, request, has_alternatives=True)
        except (NotServedError, ConnectFailedError) as error:
            log_read_moved(request, server, error)
            return None
        is_good = False
        try:
            reply = held.run(
                request.values,
                request.statement,
                request.prepared,
                until,
                bound=bound,
            )
            is_good = True
        except NotFreshError:
            is_good = True
            raise
        except (NotServedError, ConnectFailedError, OutcomeUnknownError) as error:
            log_read_moved(request, server, error)
            return None
        finally:
            held.finish(is_good=is_good)
        if reply.error is not None:
            log_read_moved(request, server, reply.error.code)
        return reply

    def _read_primary(self, request: Request) -> Reply:
        """Read at the primary, inside a transaction that only it can begin.

        A server that has lost its place goes on answering plain reads, with data
        that lacks what was acknowledged since. It refuses a transaction, and each
        statement of one that it began before.
        """
        held, reply = self._primaries.run_repeatable(
            request, lambda one: self._read_fenced(one, request)
        )
        held.finish(is_good=reply.state is not TransactionState.FAILED)
        if reply.error is None:
            self._counters.read_served(request.endpoint.group, by_primary=True)
        return reply

    def _read_fenced(self, held: HeldConnection, request: Request) -> Reply:
        now = self._clock.now()
        begun = self._access.begin_on_primary(held, request)
        if begun.error is not None:
            return begun
        return held.run(
            request.values,
            request.statement,
            request.prepared,
            now + (request.deadline - now) * PRIMARY_READ_SHARE,
            then=Statement(StatementKind.ROLLBACK),
        )


def log_read_moved(request: Request, server: BackendServer, reason: object) -> None:
    """Log that a read, or the begin of a reading transaction, tries another server."""
    log_rate_limited(
        "read_moved",
        request=request.statement.request_id,
        database=request.endpoint.database,
        server=server.name,
        reason=reason,
    )
