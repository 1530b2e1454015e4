"""Log of removed databases and of the requests that still use them."""

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from dogwoodspool_common import Clock, Endpoint, log_event, log_rate_limited
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ProxyView

from .const import MAX_LOGGED_DATABASES, MAX_REMOVED_DATABASES
from .models import Reply
from .requests import Request


class NamingSession(Protocol):
    """A session that names a database."""

    @property
    def database(self) -> str:
        """The database that its caller connected to."""
        ...

    @property
    def has_transaction(self) -> bool:
        """Whether a transaction is open."""
        ...


class RemovalLog:
    """Write a line for each view without earlier databases, and for each later use.

    Both together tell a request that used a removed database knowingly, such as one
    that was in progress, from one that was served by an old view: that one has no line.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._databases: Mapping[str, Endpoint] = {}
        self._removed_at: dict[str, float] = {}

    def record(
        self, view: ProxyView, sessions: Callable[[], Iterable[NamingSession]]
    ) -> None:
        """Record a view that came into force; ``sessions`` returns the open ones."""
        with self._lock:
            before, self._databases = self._databases, view.databases
            removed = [
                name
                for name, one in before.items()
                if not _is_served(view.databases.get(name), one.group)
            ]
            self._remember(removed)
        if not removed:
            return
        gone = set(removed)
        naming = [one for one in sessions() if one.database in gone]
        log_event(
            "databases_removed",
            view=view.version,
            revision=view.revision,
            sender=view.sender,
            committed_ago_ms=view.document_age_ms,
            count=len(removed),
            databases=",".join(sorted(removed)[:MAX_LOGGED_DATABASES]),
            sessions=len(naming),
            transactions=sum(one.has_transaction for one in naming),
        )

    def check(
        self, request: Request, reply: Reply, looked_up: int, in_force: ProxyView
    ) -> None:
        """Write down a request that may have run where the newest view has no route.

        Args:
            request: the request.
            reply: its reply, which may tell that it has not run.
            looked_up: version of the view that named its endpoint.
            in_force: the newest view.
        """
        used = request.endpoint
        if reply.error is not None and reply.error.code.is_not_run:
            return
        if _is_served(in_force.databases.get(used.database), used.group):
            return
        with self._lock:
            removed_at = self._removed_at.get(used.database)
        now = self._clock.now()
        log_rate_limited(
            "removed_database_used",
            level="WARNING",
            first_of=f"{used.database} {in_force.version}",
            request=request.statement.request_id,
            kind=request.statement.kind,
            database=used.database,
            group=used.group,
            looked_up_view=looked_up,
            view=in_force.version,
            revision=in_force.revision,
            arrived_ago_ms=round((now - request.arrived_at) * MILLISECONDS),
            removed_ago_ms=(
                None if removed_at is None else round((now - removed_at) * MILLISECONDS)
            ),
        )

    def _remember(self, removed: Iterable[str]) -> None:
        now = self._clock.now()
        for name in removed:
            self._removed_at.pop(name, None)
            self._removed_at[name] = now
        while len(self._removed_at) > MAX_REMOVED_DATABASES:
            self._removed_at.pop(next(iter(self._removed_at)))


def _is_served(endpoint: Endpoint | None, group: str) -> bool:
    return endpoint is not None and endpoint.group == group
