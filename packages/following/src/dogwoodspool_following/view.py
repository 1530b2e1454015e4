"""This proxy's copy of the committed state of control."""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

from dogwoodspool_api import ControlView, EpochCoverage
from dogwoodspool_common import (
    Address,
    BackendServer,
    ClientAccount,
    Clock,
    Endpoint,
    GroupState,
    Phase,
    endpoints_digest,
    log_event,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS, NEVER
from dogwoodspool_settings import EffectiveSettings, SettingsTree

from .const import LATE_DOCUMENT_MS

ItemT = TypeVar("ItemT")

ViewListener = Callable[["ProxyView"], None]


@dataclass(frozen=True, slots=True)
class ProxyLocation:
    """Where a registered proxy runs.

    Attributes:
        address: address of its internal HTTP server, as ``HOST:PORT``.
    """

    failure_domain: str
    address: str


@dataclass(frozen=True)
class ProxyView:
    """One version of the committed state as domain objects.

    Attributes:
        accounts: client accounts by name.
        accounts_by_key: client accounts by the digest of each of their keys.
        requires_account: whether callers need a key of a client account.
        revision: revision of the document that the endpoints come from; 0 if it is not
            known, or before the first one.
        document_age_ms: least time for which the document had been committed when
            control sent this version; None if it is not known.
        sender: the control process that sent this version.
        has_epochs: whether the epochs of all groups are known, as far as recorded.
    """

    version: int = 0
    revision: int = 0
    document_age_ms: int | None = None
    sender: Address | None = None
    groups: Mapping[str, GroupState] = field(default_factory=dict)
    servers: Mapping[str, BackendServer] = field(default_factory=dict)
    proxies: Mapping[str, ProxyLocation] = field(default_factory=dict)
    tree: SettingsTree = field(default_factory=SettingsTree)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    databases: Mapping[str, Endpoint] = field(default_factory=dict)
    accounts: Mapping[str, ClientAccount] = field(default_factory=dict)
    accounts_by_key: Mapping[str, ClientAccount] = field(default_factory=dict)
    requires_account: bool = False
    has_epochs: bool = False

    @classmethod
    def of(
        cls,
        message: ControlView,
        base: "ProxyView | None" = None,
        sender: Address | None = None,
    ) -> "ProxyView":
        """Build the view from a message.

        Args:
            message: the whole state, or the differences from ``base``.
            base: a view of the version that the message names as its base, or of one
                between this and the version of the message.
            sender: the control process that sent the message.
        """
        before = base if base is not None and message.base_version else cls()
        removed = message.removed
        endpoints = _merged(
            before.endpoints,
            {one.name: one.value() for one in message.endpoints},
            removed.endpoints,
        )
        accounts = _merged(
            before.accounts,
            {one.name: one.value() for one in message.accounts},
            removed.accounts,
        )
        return cls(
            version=message.version,
            revision=message.revision,
            document_age_ms=message.document_age_ms,
            sender=sender,
            groups=_merged(
                before.groups,
                {group.name: group.value() for group in message.groups},
                removed.groups,
            ),
            servers=_merged(
                before.servers,
                {one.server: one.backend_server() for one in message.servers},
                removed.servers,
            ),
            proxies=_merged(
                before.proxies,
                {
                    one.proxy: ProxyLocation(one.failure_domain, one.address)
                    for one in message.proxies
                },
                removed.proxies,
            ),
            tree=_merged_tree(before.tree, message),
            endpoints=endpoints,
            databases={one.database: one for one in endpoints.values()},
            accounts=accounts,
            accounts_by_key={
                digest: one for one in accounts.values() for digest in one.key_digests
            },
            requires_account=message.requires_account,
            has_epochs=_has_epochs(before, message),
        )

    def servers_of(self, group: str) -> list[BackendServer]:
        """Return a group's backend servers, ordered by name."""
        return [
            self.servers[name]
            for name in sorted(self.servers)
            if self.servers[name].group == group
        ]


def _merged(
    before: Mapping[str, ItemT], changed: Mapping[str, ItemT], removed: Iterable[str]
) -> dict[str, ItemT]:
    merged = {**before, **changed}
    for name in removed:
        merged.pop(name, None)
    return merged


def _has_epochs(before: ProxyView, message: ControlView) -> bool:
    """Return whether a view has all epochs once a message has been merged into it.

    A control process of an earlier build leaves them out of the groups that it sends.
    """
    if message.epochs is EpochCoverage.ALL:
        return True
    keeps_epochs = message.epochs is EpochCoverage.INCLUDED or not message.groups
    return before.has_epochs and keeps_epochs


def _merged_tree(before: SettingsTree, message: ControlView) -> SettingsTree:
    if message.base_version and not message.settings and not message.removed.settings:
        return before
    nodes = {} if not message.base_version else {n.path: n for n in before.nodes()}
    changed = {node.path: node for node in message.settings}
    return SettingsTree.from_nodes(
        _merged(nodes, changed, message.removed.settings).values()
    )


def _has_endpoints_of(view: ProxyView, message: ControlView) -> bool:
    """Return whether a view has the endpoints that control has at its version."""
    if not message.digest:
        return True
    digest = endpoints_digest(view.endpoints.values())
    if digest == message.digest:
        return True
    log_event(
        "view_differs",
        level="ERROR",
        version=message.version,
        base=message.base_version,
        sender=view.sender,
        endpoints=len(view.endpoints),
        digest=digest,
        expected=message.digest,
    )
    return False


def _is_late(before: ProxyView, view: ProxyView) -> bool:
    """Return whether a view brings a document long after it was committed.

    The first view is not late, and no view after one whose document is not known.
    """
    is_known = before.revision > 0 or not before.endpoints
    if not before.version or not is_known or view.revision <= before.revision:
        return False
    return (view.document_age_ms or 0) > LATE_DOCUMENT_MS


@dataclass(frozen=True)
class SteadyReads:
    """When groups were last read in which no change of primary was in progress.

    Attributes:
        read_at: clock time at which the last confirmed read began.
        changing: that of the last read before the change, by group whose primary is
            being changed.
    """

    read_at: float = NEVER
    changing: Mapping[str, float] = field(default_factory=dict)

    def of(self, group: str) -> float:
        """Return when the last confirmed read began that showed a group steady."""
        return self.changing.get(group, self.read_at)

    def with_read(self, began_at: float) -> "SteadyReads":
        """Return these with a confirmed read."""
        return replace(self, read_at=max(self.read_at, began_at))

    def with_phases(self, message: ControlView) -> "SteadyReads":
        """Return these with the phases of the groups that a message includes."""
        changing = dict(self.changing)
        for group in message.groups:
            if group.phase is Phase.STEADY:
                changing.pop(group.name, None)
            else:
                changing.setdefault(group.name, self.read_at)
        return replace(self, changing=changing)


class ViewStore:
    """Hold the newest view; its version never decreases.

    A control process that was cut off for a long time may answer with an older state
    that it considers current; such an answer is ignored.
    """

    def __init__(self, failure_domain: str, clock: Clock) -> None:
        self._failure_domain = failure_domain
        self._clock = clock
        self._changed = threading.Condition()
        self._is_notifying = False
        self._must_notify = False
        self._needs_whole = False
        self._view = ProxyView()
        self._listeners: list[ViewListener] = []
        self._announced_version = 0
        self._confirmed_at: float | None = None
        self._confirmed_by: Address | None = None
        # Held while a view is put in force and for reads, never during a merge.
        self._steady_lock = threading.Lock()
        self._steady_reads = SteadyReads()

    @property
    def failure_domain(self) -> str:
        """This instance's failure domain."""
        return self._failure_domain

    @property
    def view(self) -> ProxyView:
        """The newest view."""
        return self._view

    @property
    def base_version(self) -> int:
        """The version from which differences can be merged; 0 for none."""
        return 0 if self._needs_whole else self._view.version

    @property
    def lacks_epochs(self) -> bool:
        """Return whether a process of an earlier build left epochs out of the view."""
        return self.is_filled and not self._view.has_epochs

    @property
    def announced_version(self) -> int:
        """The newest version that the control leader has announced."""
        return self._announced_version

    @property
    def age_ms(self) -> int | None:
        """Milliseconds since the view was last confirmed; None before the first time.

        A control process in contact with the leader confirms it with each answer.
        """
        if self._confirmed_at is None:
            return None
        return round((self._clock.now() - self._confirmed_at) * MILLISECONDS)

    @property
    def confirmed_by(self) -> Address | None:
        """The control process that last confirmed the view; None before the first."""
        return self._confirmed_by

    @property
    def is_filled(self) -> bool:
        """Return whether a view has been received from control."""
        return self._view.version > 0

    def settings(self, group: str | None) -> EffectiveSettings:
        """Return the settings in force for a group in this failure domain."""
        return self._view.tree.effective(group, self._failure_domain)

    def connections_of(self, server: BackendServer) -> int:
        """Return how many connections a server accepts; 0 if that is not known."""
        settings = self.settings(server.group)
        return settings.server_connections or server.connections

    def steady_read_at(self, group: str) -> float:
        """Return when the last confirmed read began that showed a group steady.

        No change of the group's primary was in progress at that clock time, unless it
        has ended within the view in force.
        """
        return self._steady_reads.of(group)

    def record_read(self, began_at: float) -> None:
        """Record a confirmed read.

        Args:
            began_at: clock time; all that was committed before is in force here.
        """
        with self._steady_lock:
            self._steady_reads = self._steady_reads.with_read(began_at)

    def record_announced(self, version: int) -> None:
        """Record a version that the control leader has announced."""
        self._announced_version = max(version, self._announced_version)

    def record_confirmed(self, address: Address) -> None:
        """Record that a control process in contact with the leader answered a poll."""
        self._confirmed_at = self._clock.now()
        self._confirmed_by = address

    def add_listener(self, listener: ViewListener) -> None:
        """Register a function that is called with each new view."""
        self._listeners.append(listener)

    def adopt(
        self,
        message: ControlView,
        sender: Address | None = None,
        *,
        is_member: bool = True,
    ) -> bool:
        """Put a view in force if it is newer; return whether it was.

        Differences name each item that has changed since their base, also one that was
        added and removed again. So they can be merged into any view from the base on:
        where several answers are under way, another one may have brought it.
        Differences from a later version than the one in force are ignored, as they
        lack items. So are differences whose merge fails or gives other endpoints than
        control has; the whole state is wanted then. Differences that bring missing
        epochs may be of the version in force. So may the whole state while it is
        wanted, with all epochs and from a member: that of another process may be
        another system's.

        Args:
            message: the whole state, or differences.
            sender: the control process that sent it.
            is_member: whether that is a member of control.
        """
        with self._changed:
            if not self._is_wanted(message, is_member=is_member):
                return False
            try:
                view = ProxyView.of(message, self._view, sender)
            except Exception:
                # The same differences would fail for good.
                self._needs_whole = True
                raise
            if not _has_endpoints_of(view, message) and message.base_version:
                self._needs_whole = True
                return False
            before = self._view
            with self._steady_lock:
                # A change that has ended must be in the view before its group counts
                # as steady, and one that begins must be known before the next read.
                self._view = view
                self._steady_reads = self._steady_reads.with_phases(message)
            self._needs_whole = False
            self._changed.notify_all()
        log_event("view_in_force", level="DEBUG", version=message.version)
        if _is_late(before, view):
            self._log_late(before, view)
        self._notify()
        return True

    def _is_wanted(self, message: ControlView, *, is_member: bool) -> bool:
        version = self._view.version
        if message.version == version:
            if message.epochs is not EpochCoverage.ALL:
                return False
            if message.base_version == 0:
                return self._needs_whole and is_member
            return self.lacks_epochs and message.base_version == version
        return message.version > version >= message.base_version

    def _log_late(self, before: ProxyView, view: ProxyView) -> None:
        log_rate_limited(
            "view_late",
            level="WARNING",
            view=view.version,
            revision=view.revision,
            sender=view.sender,
            committed_ago_ms=view.document_age_ms,
            before=before.version,
            revision_before=before.revision,
            sender_before=before.sender,
            confirmed_by=self._confirmed_by,
            confirmed_ago_ms=self.age_ms,
        )

    def _notify(self) -> None:
        """Call the listeners with the newest view, in one thread at a time.

        A listener that waits keeps no other thread, and one that fails no other
        listener, from newer views.
        """
        with self._changed:
            self._must_notify = True
            if self._is_notifying:
                return
            self._is_notifying = True
        while self._has_notification():
            for listener in self._listeners:
                self._call(listener)

    def _has_notification(self) -> bool:
        with self._changed:
            self._is_notifying, self._must_notify = self._must_notify, False
            return self._is_notifying

    def _call(self, listener: ViewListener) -> None:
        try:
            listener(self._view)
        except Exception as error:
            log_event(
                "view_listener_failed",
                level="ERROR",
                version=self._view.version,
                error=repr(error),
            )

    def wait_newer(self, version: int, seconds: float) -> bool:
        """Wait for a view newer than a version; return False on timeout."""
        deadline = self._clock.now() + seconds
        with self._changed:
            while self._view.version <= version:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    return False
                self._clock.wait(self._changed, remaining)
            return True

    def wait_filled(self, seconds: float) -> bool:
        """Wait for the first view; return False on timeout."""
        deadline = self._clock.now() + seconds
        with self._changed:
            while not self.is_filled:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    return False
                self._clock.wait(self._changed, remaining)
            return True
