"""The committed state of control as this proxy follows it."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from dogwoodspool_api import ControlView
from dogwoodspool_common import BackendServer, Clock, GroupState, log_event
from dogwoodspool_settings import EffectiveSettings, SettingsTree

ViewListener = Callable[["ProxyView"], None]


@dataclass(frozen=True)
class ProxyView:
    """One version of the committed state in inner terms."""

    version: int = 0
    groups: Mapping[str, GroupState] = field(default_factory=dict)
    servers: Mapping[str, BackendServer] = field(default_factory=dict)
    proxies: frozenset[str] = frozenset()
    tree: SettingsTree = field(default_factory=SettingsTree)

    @classmethod
    def of(cls, message: ControlView) -> "ProxyView":
        """Build the inner value of a message."""
        return cls(
            version=message.version,
            groups={group.name: group.value() for group in message.groups},
            servers={
                server.server: server.backend_server() for server in message.servers
            },
            proxies=frozenset(proxy.proxy for proxy in message.proxies),
            tree=SettingsTree.from_nodes(message.settings),
        )


class ViewStore:
    """Hold the newest view; versions never go back.

    A control process that was cut off for long may answer with an older state
    and believe it current; such an answer changes nothing here.
    """

    def __init__(self, failure_domain: str, clock: Clock) -> None:
        self._failure_domain = failure_domain
        self._clock = clock
        self._changed = threading.Condition()
        self._view = ProxyView()
        self._listeners: list[ViewListener] = []
        self._announced_version = 0

    @property
    def failure_domain(self) -> str:
        """This instance's failure domain."""
        return self._failure_domain

    @property
    def view(self) -> ProxyView:
        """The newest view."""
        return self._view

    @property
    def announced_version(self) -> int:
        """The newest version of which the control leader has told."""
        return self._announced_version

    @property
    def is_filled(self) -> bool:
        """Tell whether a view has come from control."""
        return self._view.version > 0

    def settings(self, group: str | None) -> EffectiveSettings:
        """Return the settings in force for a group in this failure domain."""
        return self._view.tree.effective(group, self._failure_domain)

    def note_announced(self, version: int) -> None:
        """Note a version of which the control leader has told."""
        self._announced_version = max(version, self._announced_version)

    def add_listener(self, listener: ViewListener) -> None:
        """Call a function with each new view."""
        self._listeners.append(listener)

    def adopt(self, message: ControlView) -> bool:
        """Put a view in force if it is newer; tell whether it was."""
        with self._changed:
            if message.version <= self._view.version:
                return False
            self._view = ProxyView.of(message)
            self._changed.notify_all()
        log_event("view_in_force", level="DEBUG", version=message.version)
        for listener in self._listeners:
            listener(self._view)
        return True

    def wait_filled(self, seconds: float) -> bool:
        """Wait for the first view."""
        deadline = self._clock.now() + seconds
        with self._changed:
            while not self.is_filled:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    return False
                self._clock.wait(self._changed, remaining)
            return True
