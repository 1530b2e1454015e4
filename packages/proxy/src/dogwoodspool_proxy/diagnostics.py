"""Readiness, status page and gauges of a proxy."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from dogwoodspool_accounts import UsageCounter
from dogwoodspool_following import Rotation, ViewStore

from .backends import BackendRegistry
from .grants import GrantTracker


class ProxyDiagnostics:
    """Report the state of a proxy to the load balancer and operators."""

    def __init__(
        self,
        name: str,
        views: ViewStore,
        grants: GrantTracker,
        registry: BackendRegistry,
        callers: Callable[[], int],
        seconds_since_renewal: Callable[[], float | None],
        rotation: Rotation,
        usage: UsageCounter,
    ) -> None:
        self._name = name
        self._views = views
        self._grants = grants
        self._registry = registry
        self._callers = callers
        self._seconds_since_renewal = seconds_since_renewal
        self._rotation = rotation
        self._usage = usage
        self._is_draining = False

    def start_draining(self) -> None:
        """Report this proxy as not ready from now on."""
        self._is_draining = True

    def not_ready_reason(self) -> str | None:
        """Return why the balancer should send no callers; None when it may.

        Call this for the balancer's health checks only: the rotation counts how often
        the balancer was refused.
        """
        accepts_callers = self._rotation.answer_balancer()
        if self._is_draining:
            return "draining"
        if not accepts_callers:
            return "cut off"
        if not self._views.is_filled:
            return "no settings from control yet"
        return None

    def status(self) -> dict[str, Any]:
        """Return the content of the status page."""
        view = self._views.view
        return {
            "proxy": self._name,
            "view_version": view.version,
            "is_draining": self._is_draining,
            "rotation": self._rotation.phase,
            "callers": self._callers(),
            "seconds_since_renewal": self._seconds_since_renewal(),
            "groups": [
                {
                    "group": state.name,
                    "term": state.term,
                    "primary": state.primary,
                    "phase": state.phase,
                    "may_write": self._grants.current(state.name) is not None,
                }
                for state in view.groups.values()
            ],
            "accounts": [asdict(usage) for usage in self._usage.usage()],
            "backends": [asdict(usage) for usage in self._registry.usage()],
        }

    def gauges(self) -> str:
        """Return the gauges in the text format of the metrics page."""
        since = self._seconds_since_renewal()
        lines = [
            f"dogwoodspool_view_version {self._views.view.version}",
            f"dogwoodspool_callers {self._callers()}",
            f"dogwoodspool_seconds_since_renewal {-1 if since is None else since}",
        ]
        for usage in self._registry.usage():
            label = f'{{server="{usage.server}"}}'
            lines.append(f"dogwoodspool_connections_open{label} {usage.open}")
            lines.append(f"dogwoodspool_connections_limit{label} {usage.limit}")
            lines.append(f"dogwoodspool_statements_in_flight{label} {usage.in_use}")
            lines.append(f"dogwoodspool_statements_waiting{label} {usage.waiting}")
        return "\n".join(lines) + "\n"
