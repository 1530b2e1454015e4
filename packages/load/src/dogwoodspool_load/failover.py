"""Measure failover gaps: kill or move a primary while writers keep trying."""

import re
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pymysql
from dogwoodspool_common import Phase, Position
from dogwoodspool_testbed import (
    CallerConnection,
    Deployment,
    ProxyHandle,
    TestbedError,
)

from .errors import LoadError
from .faults import FaultInjector
from .gaps import (
    ANY_PROXY,
    Acknowledged,
    FailoverGap,
    first_after,
    longest_pauses,
    milliseconds,
)
from .models import Table
from .rows import with_properties, write_statement
from .schedule import FaultAction, ScheduledFault

WRITE_PAUSE_SECONDS: Final = 0.005
WRITE_DEADLINE_MS: Final = 500
CONNECT_SECONDS: Final = 2
ANSWER_SECONDS: Final = 3
WARM_SECONDS: Final = 0.6
AFTER_SECONDS: Final = 0.6
LIMIT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.05
ROOM: Final = "failover"
SQL_STATUS: Final = "SHOW STANDIN STATUS"
COLUMN_ROLE: Final = 1
COLUMN_TERM: Final = 2
COLUMN_OFFSET: Final = 3
ROLE_REPLICA: Final = "replica"
PHASE_LINE: Final = re.compile(
    r"event=failover_phase\b.*?group=(\S+).*?phase=(\w+) elapsed_ms=([\d.]+)"
)


class FailoverMeter:
    """Strike the primaries of a deployment's groups in turn."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._injector = FaultInjector(deployment)

    def measure(self, group: str, action: FaultAction) -> FailoverGap:
        """Strike a group's primary once and wait until the group is whole again.

        Raises:
            LoadError: no write was acknowledged within the limit.
        """
        deployment = self._deployment
        old = deployment.primary(group)
        phases_before = self._phases(group)
        stop = threading.Event()
        acknowledged: list[Acknowledged] = []
        with ThreadPoolExecutor(len(deployment.proxies), "writer") as executor:
            futures = [
                executor.submit(self._write_on, proxy, group, stop, acknowledged)
                for proxy in deployment.proxies
            ]
            try:
                time.sleep(WARM_SECONDS)
                before = time.monotonic()
                self._injector.strike(ScheduledFault(0.0, action, group))
                struck_at = time.monotonic()
                self._wait_for_writes(struck_at, group, old.name, acknowledged)
                time.sleep(AFTER_SECONDS)
            finally:
                stop.set()
            for future in futures:
                future.result()
        deployment.wait_for(
            f"the end of the promotion of {group}",
            lambda: self._is_steady(group),
        )
        phases = self._phases(group)[len(phases_before) :]
        new = deployment.primary(group)
        if not deployment.processes.is_running(old.name):
            self._injector.restart(old.name)
        self.wait_until_whole(group)
        if action is FaultAction.PROMOTE:
            gaps = longest_pauses(acknowledged, before)
        else:
            gaps = first_after(acknowledged, struck_at)
        return FailoverGap(
            action=str(action),
            gap_ms=milliseconds(gaps[ANY_PROXY]),
            slowest_proxy_ms=milliseconds(max(gaps.values())),
            phases_ms=dict(phases),
            primary=new.name,
        )

    def wait_until_whole(self, group: str) -> None:
        """Wait until every other server of the group follows its primary again."""
        self._deployment.wait_for(
            f"replicas of {group} that follow", lambda: self._is_whole(group)
        )

    def _has_moved(self, group: str, old: str) -> bool:
        try:
            return self._deployment.primary(group).name != old
        except TestbedError:
            return False  # The group is between two primaries.

    def _is_steady(self, group: str) -> bool:
        try:
            groups = self._deployment.view().groups
        except TestbedError:
            return False
        return any(one.name == group and one.phase is Phase.STEADY for one in groups)

    def _is_whole(self, group: str) -> bool:
        primary = self._deployment.primary(group)
        try:
            lead = self._status(primary.name)
            others = [
                self._status(one.name)
                for one in self._deployment.standins
                if one.group == group and one.name != primary.name
            ]
        except pymysql.MySQLError:
            return False
        return all(role == ROLE_REPLICA and at >= lead[1] for role, at in others)

    def _status(self, name: str) -> tuple[str, Position]:
        standin = next(one for one in self._deployment.standins if one.name == name)
        with (
            self._deployment.connect_directly(standin) as connection,
            connection.cursor() as cursor,
        ):
            cursor.execute(SQL_STATUS)
            row = cursor.fetchone()
        assert row is not None
        position = Position(int(row[COLUMN_TERM]), int(row[COLUMN_OFFSET]))
        return str(row[COLUMN_ROLE]), position

    def _wait_for_writes(
        self,
        struck_at: float,
        group: str,
        old: str,
        acknowledged: Sequence[Acknowledged],
    ) -> None:
        """Wait until the primary has changed and every proxy writes to the new one."""
        deadline = struck_at + LIMIT_SECONDS
        self._deployment.wait_for(
            f"another primary than {old}",
            lambda: self._has_moved(group, old),
            LIMIT_SECONDS,
        )
        changed_at = time.monotonic()
        wanted = {proxy.name for proxy in self._deployment.proxies}
        while {one.proxy for one in acknowledged if one.sent_at > changed_at} < wanted:
            if time.monotonic() > deadline:
                raise LoadError(f"not every proxy writes to {group} again")
            time.sleep(POLL_SECONDS)

    def _write_on(
        self,
        proxy: ProxyHandle,
        group: str,
        stop: threading.Event,
        acknowledged: list[Acknowledged],
    ) -> None:
        connection: CallerConnection | None = None
        while not stop.wait(WRITE_PAUSE_SECONDS):
            sent_at = time.monotonic()
            try:
                if connection is None:
                    connection = self._deployment.connect(
                        proxy,
                        group,
                        connect_timeout=CONNECT_SECONDS,
                        read_timeout=ANSWER_SECONDS,
                    )
                with connection.cursor() as cursor:
                    cursor.execute(_statement(proxy))
            except (pymysql.MySQLError, OSError) as error:
                if not _has_outcome(error):
                    connection = None
                continue
            acknowledged.append(Acknowledged(proxy.name, sent_at, time.monotonic()))
        if connection is not None:
            connection.close()

    def _phases(self, group: str) -> list[tuple[str, float]]:
        phases = []
        for control in self._deployment.controls:
            log = self._deployment.processes.log(control.name)
            for name, phase, elapsed in PHASE_LINE.findall(log):
                if name == group:
                    phases.append((phase, float(elapsed)))
        return phases


def _has_outcome(error: Exception) -> bool:
    message = str(error.args[-1]) if error.args else ""
    return message.startswith(("not-run:", "unknown:", "failed:"))


def _statement(proxy: ProxyHandle) -> str:
    tag = f"failover.{proxy.name}.{time.monotonic_ns()}"
    sql = write_statement(Table.LINES, ROOM, tag)
    return with_properties(sql, deadline_ms=WRITE_DEADLINE_MS)
