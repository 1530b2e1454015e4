"""Reads outside of transactions, on servers that satisfy their consistency."""

from collections.abc import Callable
from dataclasses import dataclass, field

from dogwoodspool_common import (
    BackendServer,
    Clock,
)
from dogwoodspool_common.counters import Counters
from dogwoodspool_connections import ConnectFailedError, OutcomeUnknownError

from .access import ServerAccess
from .const import (
    MAX_READ_ATTEMPTS,
    PRIMARY_READ_SHARE,
    READ_ATTEMPT_SHARE,
)
from .errors import AnswerLostError, NotFreshError, NotServedError
from .held import ReadBound
from .local_connection import LocalHeldConnection
from .models import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from .primaries import PrimaryPath
from .read_placement import ReadPlacement, log_read_moved
from .requests import Request


@dataclass(slots=True)
class _Attempts:
    """What the attempts of one read have shown so far.

    Attributes:
        excluded: servers that are not to be tried.
        is_answer_lost: whether a server may have run it without an answer.
    """

    excluded: set[str] = field(default_factory=set)
    is_answer_lost: bool = False


class ReadPath:
    """Serve reads outside of transactions.

    A read changes nothing, so it is retried on another server when one does not
    answer in time.

    Args:
        forward: serves a read at the primary through another process; returns None if
            it did not run and is to be served here.
    """

    def __init__(
        self,
        access: ServerAccess,
        placement: ReadPlacement,
        primaries: PrimaryPath[LocalHeldConnection],
        counters: Counters,
        clock: Clock,
        forward: Callable[[Request], Reply | None] = lambda _request: None,
    ) -> None:
        self._counters = counters
        self._access = access
        self._placement = placement
        self._primaries = primaries
        self._clock = clock
        self._forward = forward

    def run(self, request: Request) -> Reply:
        """Serve one read.

        Raises:
            NotServedError: no server ran it.
            AnswerLostError: a server may have run it.
        """
        bound = None if request.at_primary else self._placement.bound(request)
        if bound is None:
            return self._read_at_primary(request)
        group = request.endpoint.group
        attempts = _Attempts()
        if not self._placement.is_by_load(group):
            attempts.excluded = self._lagging(request, bound)
        may_wait = True
        failed: Reply | None = None
        for number in range(MAX_READ_ATTEMPTS):
            choice = self._placement.choose(
                request, bound, attempts.excluded, may_wait=may_wait
            )
            if choice is None:
                break
            server = choice.server
            if choice.wait:
                may_wait = False
                request = self._placement.wait(request, choice)
            try:
                reply = self._forward_or_try(request, server, number, bound, attempts)
            except NotFreshError:
                break
            if reply is not None:
                self._placement.record_wait(choice, reply)
            if reply is not None and reply.error is None:
                is_primary = self._placement.is_primary(server)
                self._counters.read_served(group, is_primary)
                return reply
            attempts.excluded.add(server.name)
            failed = reply or failed
            if self._clock.now() >= request.deadline:
                break
        if failed is not None and failed.error and not failed.error.code.is_not_run:
            return failed
        return self._read_last(request, attempts)

    def _read_last(self, request: Request, attempts: _Attempts) -> Reply:
        """Read at the primary after all other servers were tried.

        A refusal there must not say that the read did not run if another server may
        have run it.
        """
        try:
            reply = self._read_at_primary(request)
        except NotServedError as error:
            if attempts.is_answer_lost:
                raise AnswerLostError(error.error) from error
            raise
        is_refused = reply.error is not None and reply.error.code.is_not_run
        if reply.error is not None and is_refused and attempts.is_answer_lost:
            raise AnswerLostError(reply.error)
        return reply

    def _forward_or_try(
        self,
        request: Request,
        server: BackendServer,
        number: int,
        bound: ReadBound,
        attempts: _Attempts,
    ) -> Reply | None:
        """Try one server as ``_try``, a primary elsewhere through the owners there."""
        if self._placement.is_primary(server):
            bounded = request.with_deadline(self._attempt_ends(request, number))
            try:
                reply = self._forward(bounded)
            except NotServedError as error:
                attempts.is_answer_lost |= isinstance(error, AnswerLostError)
                log_read_moved(request, server, error)
                return None
            if reply is not None:
                return reply
        return self._try(request, server, number, bound, attempts)

    def _lagging(self, request: Request, bound: ReadBound) -> set[str]:
        try:
            min_position = self._access.min_position(request.endpoint.group, bound)
        except NotFreshError:
            return set()
        return self._access.lagging(min_position)

    def _try(
        self,
        request: Request,
        server: BackendServer,
        number: int,
        bound: ReadBound,
        attempts: _Attempts,
    ) -> Reply | None:
        """Try one server; return None if it gave no answer.

        Raises:
            NotFreshError: no position is known that satisfies the bound.
        """
        until = self._attempt_ends(request, number)
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
            attempts.is_answer_lost |= isinstance(error, OutcomeUnknownError)
            log_read_moved(request, server, error)
            return None
        finally:
            held.finish(is_good=is_good)
        if reply.error is not None:
            log_read_moved(request, server, reply.error.code)
        return reply

    def _attempt_ends(self, request: Request, number: int) -> float:
        """Return the clock time until which an attempt may take."""
        if number:
            return request.deadline
        now = self._clock.now()
        return now + (request.deadline - now) * READ_ATTEMPT_SHARE

    def _read_at_primary(self, request: Request) -> Reply:
        """Read at the primary, through the owners near it if it is elsewhere."""
        reply = self._forward(request)
        return self._read_primary(request) if reply is None else reply

    def _read_primary(self, request: Request) -> Reply:
        """Read at the primary, inside a transaction that only the primary can begin.

        A server that is no longer the primary still answers reads outside of
        transactions, with data that lacks the commits acknowledged since. It refuses
        to begin a read-write transaction and refuses every statement of one that it
        began before.
        """
        held, reply = self._primaries.run_idempotent(
            request, lambda one: self._read_in_transaction(one, request)
        )
        held.finish(is_good=reply.state is not TransactionState.FAILED)
        if reply.error is None:
            self._counters.read_served(request.endpoint.group, by_primary=True)
        return reply

    def _read_in_transaction(
        self, held: LocalHeldConnection, request: Request
    ) -> Reply:
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
