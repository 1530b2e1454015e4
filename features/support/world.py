"""One scenario's deployment, callers and table, and how they are restored after it."""

import dataclasses
import time
from collections.abc import Callable, Iterable
from typing import Any

import pymysql
from dogwoodspool_common import Address, HttpError
from dogwoodspool_testbed import Deployment, ProxyHandle, StandinHandle

from .callers import Caller
from .const import GROUP, NO_FAULTS, POLL_SECONDS, TIMEOUT_SECONDS

PATH_DIAGNOSTICS = "/v1/diagnostics"


class World:
    """State that the steps of one scenario share.

    Attributes:
        deployment: the running processes.
        table: a table that only this scenario uses.
        callers: the scenario's callers by name.
        state: values that one step stores for a later one.
    """

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.deployment = deployment
        self.table = f"lines_{number}"
        self.callers: dict[str, Caller] = {}
        self.state: dict[str, Any] = {}
        self._has_changed_settings = False

    def set_up(self) -> None:
        """Create the scenario's table and wait until every server has it."""
        caller = Caller(self.deployment, self.deployment.proxies[0])
        try:
            sql = (
                f"CREATE TABLE IF NOT EXISTS {self.table} "
                "(id BIGINT PRIMARY KEY AUTO_INCREMENT, body TEXT)"
            )
            self.eventually("the scenario's table", lambda: caller.run(sql).is_ok)
        finally:
            caller.close()
        self.wait_replicated()

    def unload(self) -> None:
        """Close the callers, and restore processes, faults and settings."""
        for caller in self.callers.values():
            caller.close()
        self._restore_processes()
        for standin in self.running_standins():
            self.deployment.fault(standin, **NO_FAULTS)
        if self._has_changed_settings:
            self.change_settings()

    def caller(self, name: str, proxy: ProxyHandle, **options: Any) -> Caller:
        """Open a caller's connection."""
        caller = Caller(self.deployment, proxy, **options)
        self.callers[name] = caller
        return caller

    def proxy(self, number: int) -> ProxyHandle:
        """Return a proxy by its number from 1."""
        return self.deployment.proxies[number - 1]

    def insert(self, line: str) -> str:
        """Return the statement that writes a line."""
        return f"INSERT INTO {self.table} (body) VALUES ('{line}')"

    def select(self) -> str:
        """Return the statement that reads all lines."""
        return f"SELECT body FROM {self.table}"

    def eventually(
        self,
        what: str,
        condition: Callable[[], bool],
        seconds: float = TIMEOUT_SECONDS,
    ) -> None:
        """Wait until a condition holds; fail the step when it does not."""
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, (
                f"waiting for {what} timed out after {seconds} s"
            )
            time.sleep(POLL_SECONDS)

    def primary(self) -> StandinHandle:
        """Return the group's primary."""
        return self.deployment.primary(GROUP)

    def primary_name(self) -> str | None:
        """Return the primary's name, None while the group has none."""
        states = self.deployment.view().groups
        return next(state.primary for state in states if state.name == GROUP)

    def replicas(self) -> list[StandinHandle]:
        """Return the group's other running backend servers."""
        primary = self.primary()
        return [one for one in self.running_standins() if one != primary]

    def standin(self, name: str) -> StandinHandle:
        """Return a backend server by name."""
        return next(one for one in self.deployment.standins if one.name == name)

    def restart_standin(self, standin: StandinHandle) -> StandinHandle:
        """Start a backend server again; it listens at another port."""
        processes = self.deployment.processes
        processes.restart(standin.name)
        ready = processes.ready(standin.name)
        restarted = dataclasses.replace(
            standin,
            address=Address.parse(ready["address"]),
            control_address=Address.parse(ready["control_address"]),
        )
        standins = self.deployment.standins
        standins[standins.index(standin)] = restarted
        return restarted

    def running_standins(self) -> list[StandinHandle]:
        """Return the group's backend servers whose process runs."""
        processes = self.deployment.processes
        return [
            standin
            for standin in self.deployment.standins
            if standin.group == GROUP and processes.is_running(standin.name)
        ]

    def diagnostics(self, standin: StandinHandle) -> dict[str, Any]:
        """Return the diagnostics of a backend server."""
        client = self.deployment.client
        return client.get(standin.control_address, PATH_DIAGNOSTICS)

    def fault(self, standins: Iterable[StandinHandle], **switches: Any) -> None:
        """Set fault switches of several backend servers."""
        for standin in standins:
            self.deployment.fault(standin, **switches)

    def lines_at(self, standin: StandinHandle) -> list[str]:
        """Read the lines of one backend server without a proxy."""
        connection = self.deployment.connect_directly(standin)
        with connection, connection.cursor() as cursor:
            cursor.execute(self.select())
            return sorted(str(row[0]) for row in cursor.fetchall())

    def positions(self) -> set[tuple[int, int]]:
        """Return the different log positions of the running backend servers."""
        found = set()
        for standin in self.running_standins():
            status = self.diagnostics(standin)["status"]
            found.add((status["term"], status["offset"]))
        return found

    def wait_replicated(self) -> None:
        """Wait until every running backend server holds the same log."""

        def is_replicated() -> bool:
            try:
                return len(self.positions()) == 1 and len(self._lines()) == 1
            except (HttpError, pymysql.MySQLError):
                return False

        self.eventually("common position of all backend servers", is_replicated)

    def replicated_lines(self) -> list[str]:
        """Clear all faults and return the lines once every backend server has them."""
        self.fault(self.running_standins(), **{**NO_FAULTS, "leaving": False})
        self.wait_replicated()
        return list(self._lines().pop())

    def change_settings(self, **overrides: Any) -> None:
        """Change the root's settings and wait until all running proxies apply them."""
        deployment = self.deployment
        self._has_changed_settings = bool(overrides)
        settings = {**deployment.root_settings(), **overrides}
        version = deployment.change_settings("/", settings)["view_version"]
        self.eventually(
            "settings in force",
            lambda: all(
                deployment.proxy_status(proxy)["view_version"] >= version
                for proxy in self.running_proxies()
            ),
        )

    def running_proxies(self) -> list[ProxyHandle]:
        """Return the proxies whose process runs."""
        processes = self.deployment.processes
        return [p for p in self.deployment.proxies if processes.is_running(p.name)]

    def _restore_processes(self) -> None:
        """Resume or restart the processes that the scenario has frozen or killed."""
        processes = self.deployment.processes
        for _role, name, _pid in processes.pids():
            if processes.is_running(name):
                processes.thaw(name)
        for control in self.deployment.controls:
            if not processes.is_running(control.name):
                processes.restart(control.name)
                processes.ready(control.name)
        for standin in list(self.deployment.standins):
            if not processes.is_running(standin.name):
                self.restart_standin(standin)

    def _lines(self) -> set[tuple[str, ...]]:
        return {tuple(self.lines_at(one)) for one in self.running_standins()}
