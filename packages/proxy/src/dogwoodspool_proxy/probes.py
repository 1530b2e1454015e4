"""Probes of the backend servers in the view."""

import threading
from collections.abc import Callable

from dogwoodspool_backend import BackendError, Probe, ServerDownError
from dogwoodspool_common import BackendServer, Clock
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import Coordinator, ProxyView, ViewStore
from dogwoodspool_routing import ServerTable

from .const import FAILING_PROBE_SECONDS, REPLICA_PROBE_FACTOR


class ServerProber(Coordinator):
    """Probe one backend server periodically."""

    def __init__(
        self,
        server: BackendServer,
        views: ViewStore,
        table: ServerTable,
        probe: Probe,
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        super().__init__(f"probe-{server.name}", clock)
        self._server = server
        self._views = views
        self._table = table
        self._probe = probe
        self._on_change = on_change
        self._is_reachable = True

    def step(self) -> float:
        """Probe once."""
        interval = self._interval()
        asked_at = self._clock.now()
        try:
            status = self._probe.status(self._server)
        except BackendError as error:
            if error.is_sign_of_life:
                # It answered: it is out of connections or rejects the configured status
                # statement, but it has not failed.
                self._table.record_reachable(self._server.name)
            if not error.suggests_unreachable:
                return interval
            is_down = isinstance(error, ServerDownError)
            self._table.record_failure(self._server.name, is_down=is_down)
            self._set_reachable(is_reachable=False)
            return min(interval, FAILING_PROBE_SECONDS)
        self._table.record_status(status, asked_at)
        self._set_reachable(is_reachable=True)
        return interval

    def _interval(self) -> float:
        """Return the seconds between probes.

        A failover waits for probes of the primary. A failed replica costs a read one
        retry, and reads that need a newer status query it themselves.
        """
        settings = self._views.settings(self._server.group)
        interval = settings.probe_interval_ms / MILLISECONDS
        state = self._views.view.groups.get(self._server.group)
        if state is None or state.primary == self._server.name:
            return interval
        return interval * REPLICA_PROBE_FACTOR

    def _set_reachable(self, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._on_change()


class ProbeCoordinator:
    """Keep one prober for each backend server of the view."""

    def __init__(
        self,
        views: ViewStore,
        table: ServerTable,
        probe: Probe,
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._views = views
        self._table = table
        self._probe = probe
        self._on_change = on_change
        self._clock = clock
        self._lock = threading.Lock()
        self._probers: dict[str, tuple[BackendServer, ServerProber]] = {}

    def set_up(self) -> None:
        """Start following the view."""
        self._views.add_listener(self._update_probers)

    def probe_now(self, server: str) -> None:
        """Probe one server at once."""
        with self._lock:
            entry = self._probers.get(server)
        if entry is not None:
            entry[1].wake()

    def unload(self) -> None:
        """Stop all probers."""
        with self._lock:
            probers = [prober for _, prober in self._probers.values()]
            self._probers.clear()
        for prober in probers:
            prober.unload()

    def _update_probers(self, view: ProxyView) -> None:
        stopped = []
        with self._lock:
            for name, (server, prober) in list(self._probers.items()):
                if name not in view.servers or view.servers[name] != server:
                    del self._probers[name]
                    stopped.append(prober)
            for name, server in view.servers.items():
                if name not in self._probers:
                    self._probers[name] = server, self._start(server)
        for prober in stopped:
            prober.unload()

    def _start(self, server: BackendServer) -> ServerProber:
        prober = ServerProber(
            server, self._views, self._table, self._probe, self._on_change, self._clock
        )
        prober.set_up()
        return prober
