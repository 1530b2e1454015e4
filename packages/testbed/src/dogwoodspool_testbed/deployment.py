"""A complete deployment as separate processes on loopback."""

import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TypeAlias

import pymysql
from dogwoodspool_common import (
    Address,
)
from dogwoodspool_gateway import hash_password

from .const import (
    BACKEND_PASSWORD,
    BACKEND_USER,
    CALLER_PASSWORD,
    CALLER_USER,
    HOST,
    POLL_SECONDS,
    READY_TIMEOUT_SECONDS,
    ROLE_CONTROL,
    ROLE_PROXY,
    ROLE_STANDIN,
    SHARED_KEY,
    TOKEN_KEY,
)
from .deployment_client import DeploymentClient
from .errors import TestbedError
from .models import ControlHandle, DeploymentShape, ProxyHandle, StandinHandle
from .ports import PortReservations
from .processes import ProcessTable

CallerConnection: TypeAlias = "pymysql.connections.Connection[pymysql.cursors.Cursor]"


class Deployment(DeploymentClient):
    """Start the processes of a deployment shape, access them and stop them.

    Example:
        >>> with Deployment(DeploymentShape()) as deployment:
        ...     connection = deployment.connect(deployment.proxies[0], "orders")
    """

    def __init__(self, shape: DeploymentShape) -> None:
        super().__init__(shape)
        self._temporary = tempfile.TemporaryDirectory(prefix="dogwoodspool-")
        self.folder = Path(self._temporary.name)
        self.processes = ProcessTable(self.folder)
        self._ports = PortReservations()

    def __enter__(self) -> "Deployment":
        try:
            self.set_up()
        except BaseException:
            self.unload()
            raise
        return self

    def __exit__(self, *_error: object) -> None:
        self.unload()

    def set_up(self) -> None:
        """Start all processes and wait until every proxy may write to every group."""
        self._start_controls()
        self.wait_for("a control leader", lambda: self.leader() is not None)
        self._write_root_settings()
        self._start_proxies()
        self._start_standins()
        self.wait_for("grants at every proxy", self._all_may_write)

    def unload(self) -> None:
        """Stop all processes and remove the folder."""
        self.processes.stop_all()
        self._ports.release()
        self.client.close()
        self._temporary.cleanup()

    def wait_for(
        self,
        what: str,
        condition: Callable[[], bool],
        seconds: float = READY_TIMEOUT_SECONDS,
    ) -> float:
        """Wait until a condition holds and return the elapsed seconds.

        Raises:
            TestbedError: it did not hold in time; includes the end of each log.
        """
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            if condition():
                return time.monotonic() - started
            time.sleep(POLL_SECONDS)
        logs = "\n".join(
            f"--- {name}\n{self.processes.log_tail(name)}"
            for _, name, _ in self.processes.pids()
        )
        raise TestbedError(f"no {what} within {seconds} s\n{logs}")

    def connect(
        self, proxy: ProxyHandle, group: str, **options: Any
    ) -> CallerConnection:
        """Connect to a proxy as a caller, with autocommit."""
        merged: dict[str, Any] = {"autocommit": True, "connect_timeout": 5, **options}
        return pymysql.connect(
            host=proxy.address.host,
            port=proxy.address.port,
            user=CALLER_USER,
            password=CALLER_PASSWORD,
            database=group,
            **merged,
        )

    def connect_directly(self, standin: StandinHandle) -> CallerConnection:
        """Connect to a backend server, bypassing the proxies."""
        return pymysql.connect(
            host=standin.address.host,
            port=standin.address.port,
            user=BACKEND_USER,
            password=BACKEND_PASSWORD,
            autocommit=True,
            connect_timeout=5,
        )

    def root_settings(self) -> dict[str, Any]:
        """Return the overrides that the deployment sets at the root of the tree."""
        return {
            "token_key": TOKEN_KEY,
            "users": {CALLER_USER: hash_password(CALLER_PASSWORD)},
            "backend_user": BACKEND_USER,
            "backend_password": BACKEND_PASSWORD,
            "max_proxies": max(self.shape.proxies, 9),
            **self.shape.root_settings,
        }

    def start_proxy(self, name: str, failure_domain: str) -> ProxyHandle:
        """Start an additional proxy and wait until it listens."""
        self._spawn_proxy(name, failure_domain, self.controls)
        handle = self._proxy_handle(name, failure_domain)
        self.proxies.append(handle)
        return handle

    def restart_proxy(self, proxy: ProxyHandle, first: ControlHandle) -> None:
        """Kill a proxy and restart it at the same addresses.

        Args:
            proxy: the proxy to restart.
            first: the control process that comes first in its ``--control`` list.
        """
        self.processes.kill(proxy.name)
        others = [control for control in self.controls if control != first]
        self._spawn_proxy(
            proxy.name,
            proxy.failure_domain,
            [first, *others],
            proxy.address,
            proxy.http_address,
        )
        self.processes.ready(proxy.name)

    def start_replica(self, group: str) -> StandinHandle:
        """Start an additional replica of a group and wait until it listens."""
        number = sum(standin.group == group for standin in self.standins)
        return self._start_standin(group, number, self.primary(group))

    def start_control(self, name: str, failure_domain: str) -> ControlHandle:
        """Start an additional control process, which waits to become a voter."""
        address = self._reserve_address()
        control = ControlHandle(name, failure_domain, address)
        self._spawn_control(control, [])
        self.processes.ready(name)
        self.controls.append(control)
        return control

    def _start_controls(self) -> None:
        domains = self.shape.failure_domains
        for number in range(self.shape.controls):
            name = f"control-{number + 1}"
            domain = domains[number % len(domains)]
            address = self._reserve_address()
            self.controls.append(ControlHandle(name, domain, address))
        voters = ",".join(f"{c.name}={c.address}" for c in self.controls)
        for control in self.controls:
            self._spawn_control(control, ["--voters", voters, "--bootstrap"])
        for control in self.controls:
            self.processes.ready(control.name)

    def _spawn_control(self, control: ControlHandle, first_voters: list[str]) -> None:
        arguments = [
            "dogwoodspool-control",
            *["--node-id", control.name, "--listen", str(control.address)],
            *first_voters,
            *["--failure-domain", control.failure_domain],
            *["--data-folder", str(self.folder / control.name)],
            *["--shared-key", SHARED_KEY],
        ]
        self.processes.start(control.name, ROLE_CONTROL, arguments, True)

    def _write_root_settings(self) -> None:
        self.change_settings("/", self.root_settings(), "testbed-root")

    def _start_proxies(self) -> None:
        domains = self.shape.failure_domains
        plan = [
            (f"proxy-{number + 1}", domains[number % len(domains)])
            for number in range(self.shape.proxies)
        ]
        for name, domain in plan:
            self._spawn_proxy(name, domain, self.controls)
        for name, domain in plan:
            self.proxies.append(self._proxy_handle(name, domain))

    def _spawn_proxy(
        self,
        name: str,
        failure_domain: str,
        controls: Sequence[ControlHandle],
        address: Address | None = None,
        http_address: Address | None = None,
    ) -> None:
        address = address or self._reserve_address()
        http_address = http_address or self._reserve_address()
        arguments = [
            "dogwoodspool-proxy",
            *["--name", name, "--failure-domain", failure_domain],
            *["--listen", str(address), "--http-listen", str(http_address)],
            *["--control", ",".join(str(c.address) for c in controls)],
            *["--shared-key", SHARED_KEY],
        ]
        if self.shape.has_traces:
            arguments += ["--trace-file", str(self.folder / f"{name}.spans")]
        self.processes.start(name, ROLE_PROXY, arguments, True)

    def _proxy_handle(self, name: str, failure_domain: str) -> ProxyHandle:
        ready = self.processes.ready(name)
        return ProxyHandle(
            name,
            failure_domain,
            Address.parse(ready["address"]),
            Address.parse(ready["http_address"]),
        )

    def _start_standins(self) -> None:
        for group in self.shape.groups:
            primary = self._start_standin(group, 0, None)
            for number in range(1, self.shape.servers_per_group):
                self._start_standin(group, number, primary)

    def _start_standin(
        self, group: str, number: int, primary: StandinHandle | None
    ) -> StandinHandle:
        shape, domains = self.shape.standin, self.shape.failure_domains
        name, domain = f"{group}-{number + 1}", domains[number % len(domains)]
        announce_to = [
            str(proxy.http_address)
            for proxy in self.proxies
            if proxy.failure_domain == domain
        ]
        arguments = [
            "dogwoodspool-standin",
            *["--name", name, "--group", group, "--failure-domain", domain],
            *["--listen", f"{HOST}:0", "--control-listen", f"{HOST}:0"],
            *["--announce-to", ",".join(announce_to)],
            *["--data-folder", str(self.folder / name), "--shared-key", SHARED_KEY],
            *["--user", BACKEND_USER, "--password", BACKEND_PASSWORD],
            *["--slots", str(shape.slots), "--connections", str(shape.connections)],
            *["--connect-delay-ms", str(shape.connect_delay_ms)],
            *["--statement-ms", str(shape.statement_ms)],
            *["--replication-lag-ms", str(shape.replication_lag_ms)],
            *["--latency-ms", str(shape.latency_ms)],
        ]
        if primary is None:
            arguments += ["--role", "primary"]
        else:
            arguments += ["--role", "replica", "--follow", str(primary.address)]
        self.processes.start(name, ROLE_STANDIN, arguments, True)
        ready = self.processes.ready(name)
        handle = StandinHandle(
            name,
            group,
            domain,
            Address.parse(ready["address"]),
            Address.parse(ready["control_address"]),
        )
        self.standins.append(handle)
        return handle

    def _all_may_write(self) -> bool:
        return all(self.may_write(proxy) for proxy in self.proxies)

    def _reserve_address(self) -> Address:
        (port,) = self._ports.reserve(1)
        return Address(HOST, port)
