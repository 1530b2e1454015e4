"""Views of the committed state, complete or as a delta from an earlier version."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from dogwoodspool_api import (
    AccountMessage,
    ControlView,
    EndpointMessage,
    EpochCoverage,
    GroupMessage,
    ProxyMessage,
    RemovedItems,
    ServerMessage,
    SettingsNode,
)
from dogwoodspool_common import (
    BackendServer,
    ClientAccount,
    Endpoint,
    GroupState,
    endpoints_digest,
)

from ..const import MAX_VIEW_CHANGES
from ..models import ProxyRecord

ItemKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class ViewItems:
    """The items that proxies follow, by kind and then by name or path.

    Attributes:
        requires_account: whether callers need a key of a client account.
        revision: revision of the document in force; 0 before the first one.
    """

    groups: Mapping[str, GroupState] = field(default_factory=dict)
    servers: Mapping[str, BackendServer] = field(default_factory=dict)
    proxies: Mapping[str, ProxyRecord] = field(default_factory=dict)
    settings: Mapping[str, SettingsNode] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    accounts: Mapping[str, ClientAccount] = field(default_factory=dict)
    requires_account: bool = False
    revision: int = 0

    def by_kind(self) -> dict[str, Mapping[str, Any]]:
        """Return the items of each kind."""
        return {
            "groups": self.groups,
            "servers": self.servers,
            "proxies": self.proxies,
            "settings": self.settings,
            "endpoints": self.endpoints,
            "accounts": self.accounts,
        }


class ViewLog:
    """Build the delta between an earlier version of the state and the current one.

    Proxies follow the state for days, and each change is small compared with the
    complete view: with 350 endpoints a complete view takes 60 KB and the change of
    one endpoint 0.3 KB. A proxy whose version is older than the retained changes
    gets the complete view.
    """

    def __init__(self) -> None:
        self._items = ViewItems()
        self._changes: deque[tuple[int, frozenset[ItemKey]]] = deque()
        self._oldest_base = 0
        self._complete_view: ControlView | None = None
        self._endpoints_digest: str | None = None

    def reset(self, version: int, items: ViewItems) -> None:
        """Start at a version and discard the changes before it."""
        self._changes.clear()
        self._oldest_base = version
        self._items = items
        self._complete_view = self._endpoints_digest = None

    def record(self, version: int, items: ViewItems) -> None:
        """Record the state after a change."""
        changed = frozenset(_changed_keys(self._items, items))
        self._changes.append((version, changed))
        if len(self._changes) > MAX_VIEW_CHANGES:
            self._oldest_base = self._changes.popleft()[0]
        self._items = items
        self._complete_view = self._endpoints_digest = None

    def view(self, version: int) -> ControlView:
        """Return the complete view."""
        if self._complete_view is None:
            keys = {
                (kind, name)
                for kind, items in self._items.by_kind().items()
                for name in items
            }
            self._complete_view = self._build(version, keys, 0)
        return self._complete_view

    def view_since(
        self, base: int, version: int, *, with_all_groups: bool = False
    ) -> ControlView:
        """Return the delta from the view of version ``base``, or the complete view.

        Args:
            base: version of the receiver's view.
            version: version of the state.
            with_all_groups: whether a delta includes the unchanged groups as well.
        """
        if base <= 0 or base < self._oldest_base:
            return self.view(version)
        keys: set[ItemKey] = set()
        for changed_at, changed in reversed(self._changes):
            if changed_at <= base:
                break
            keys |= changed
        delta = self._build(version, keys, base)
        if not with_all_groups:
            return delta
        groups = self.view(version).groups
        return delta.model_copy(update={"groups": groups, "epochs": EpochCoverage.ALL})

    def _digest(self) -> str:
        if self._endpoints_digest is None:
            self._endpoints_digest = endpoints_digest(self._items.endpoints.values())
        return self._endpoints_digest

    def _build(self, version: int, keys: set[ItemKey], base: int) -> ControlView:
        items = self._items.by_kind()
        present: dict[str, list[Any]] = {kind: [] for kind in items}
        removed: dict[str, list[str]] = {kind: [] for kind in items}
        for kind, name in sorted(keys):
            item = items[kind].get(name)
            if item is None:
                removed[kind].append(name)
            else:
                present[kind].append(item)
        return ControlView(
            version=version,
            base_version=base,
            groups=[GroupMessage.of(group) for group in present["groups"]],
            servers=[ServerMessage.of(server) for server in present["servers"]],
            proxies=[_proxy_message(record) for record in present["proxies"]],
            settings=present["settings"],
            endpoints=[
                EndpointMessage.of(endpoint) for endpoint in present["endpoints"]
            ],
            accounts=[AccountMessage.of(account) for account in present["accounts"]],
            requires_account=self._items.requires_account,
            removed=RemovedItems(**removed),
            revision=self._items.revision,
            digest=self._digest(),
            epochs=EpochCoverage.INCLUDED if base else EpochCoverage.ALL,
        )


def _changed_keys(before: ViewItems, after: ViewItems) -> set[ItemKey]:
    keys: set[ItemKey] = set()
    old, new = before.by_kind(), after.by_kind()
    for kind, items in new.items():
        known = old[kind]
        keys |= {(kind, name) for name in known if name not in items}
        keys |= {
            (kind, name)
            for name, item in items.items()
            if name not in known or (known[name] is not item and known[name] != item)
        }
    return keys


def _proxy_message(record: ProxyRecord) -> ProxyMessage:
    return ProxyMessage(
        proxy=record.name,
        failure_domain=record.failure_domain,
        address=str(record.address),
    )
