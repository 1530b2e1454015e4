"""Measure failover gaps: kill or replace a primary under continuous writes."""

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
    AcknowledgedWrite,
    FailoverGap,
    first_acknowledgements,
    longest_pauses,
    milliseconds,
)
from .models import Table
from .rows import with_properties, write_statement
from .schedule import FaultAction, ScheduledFault

WRITE_PAUSE_SECONDS: Final = 0.005
WRITE_DEADLINE_MS: Final = 500
CONNECT_TIMEOUT_SECONDS: Final = 2
ANSWER_TIMEOUT_SECONDS: Final = 3
WARM_UP_SECONDS: Final = 0.6
OBSERVATION_SECONDS: Final = 0.6
RECOVERY_TIMEOUT_SECONDS: Final = 20.0
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
    """Measure the gaps of changes of primary in a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._injector = FaultInjector(deployment)

    def measure(self, group: str, action: FaultAction) -> FailoverGap:
        """Change a group's primary once and wait until its replicas follow again.

        Raises:
            LoadError: a proxy had no write acknowledged within
                ``RECOVERY_TIMEOUT_SECONDS`` of the fault.
        """
        deployment = self._deployment
        old = deployment.primary(group)
        phases_before = self._phases(group)
        stop = threading.Event()
        acknowledged: list[AcknowledgedWrite] = []
        with ThreadPoolExecutor(len(deployment.proxies), "writer") as executor:
            futures = [
                executor.submit(self._write_through, proxy, group, stop, acknowledged)
                for proxy in deployment.proxies
            ]
            try:
                time.sleep(WARM_UP_SECONDS)
                before = time.monotonic()
                self._injector.inject(ScheduledFault(0.0, action, group))
                fault_at = time.monotonic()
                self._wait_for_writes(fault_at, group, old.name, acknowledged)
                time.sleep(OBSERVATION_SECONDS)
            finally:
                stop.set()
            for future in futures:
                future.result()
        deployment.wait_for(
            f"the steady phase of {group}",
            lambda: self._is_steady(group),
        )
        phases = self._phases(group)[len(phases_before) :]
        new = deployment.primary(group)
        if not deployment.processes.is_running(old.name):
            self._injector.restart(old.name)
        self.wait_until_caught_up(group)
        if action is FaultAction.PROMOTE:
            gaps = longest_pauses(acknowledged, before)
        else:
            gaps = first_acknowledgements(acknowledged, fault_at)
        return FailoverGap(
            action=str(action),
            gap_ms=milliseconds(gaps[ANY_PROXY]),
            slowest_proxy_ms=milliseconds(max(gaps.values())),
            phases_ms=dict(phases),
            primary=new.name,
        )

    def wait_until_caught_up(self, group: str) -> None:
        """Wait until every other server of the group is a caught-up replica."""
        self._deployment.wait_for(
            f"caught-up replicas of {group}", lambda: self._is_caught_up(group)
        )

    def _has_new_primary(self, group: str, old: str) -> bool:
        try:
            return self._deployment.primary(group).name != old
        except TestbedError:
            return False  # The group has no primary during the change.

    def _is_steady(self, group: str) -> bool:
        try:
            groups = self._deployment.view().groups
        except TestbedError:
            return False
        return any(one.name == group and one.phase is Phase.STEADY for one in groups)

    def _is_caught_up(self, group: str) -> bool:
        primary = self._deployment.primary(group)
        try:
            primary_status = self._status(primary.name)
            others = [
                self._status(one.name)
                for one in self._deployment.standins
                if one.group == group and one.name != primary.name
            ]
        except pymysql.MySQLError:
            return False
        return all(
            role == ROLE_REPLICA and at >= primary_status[1] for role, at in others
        )

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
        fault_at: float,
        group: str,
        old: str,
        acknowledged: Sequence[AcknowledgedWrite],
    ) -> None:
        """Wait until every proxy had a write acknowledged by the new primary."""
        deadline = fault_at + RECOVERY_TIMEOUT_SECONDS
        self._deployment.wait_for(
            f"a primary other than {old}",
            lambda: self._has_new_primary(group, old),
            RECOVERY_TIMEOUT_SECONDS,
        )
        changed_at = time.monotonic()
        wanted = {proxy.name for proxy in self._deployment.proxies}
        while {one.proxy for one in acknowledged if one.sent_at > changed_at} < wanted:
            if time.monotonic() > deadline:
                raise LoadError(
                    f"not every proxy had a write to {group} acknowledged within "
                    f"{RECOVERY_TIMEOUT_SECONDS:g} s of the fault"
                )
            time.sleep(POLL_SECONDS)

    def _write_through(
        self,
        proxy: ProxyHandle,
        group: str,
        stop: threading.Event,
        acknowledged: list[AcknowledgedWrite],
    ) -> None:
        connection: CallerConnection | None = None
        while not stop.wait(WRITE_PAUSE_SECONDS):
            sent_at = time.monotonic()
            try:
                if connection is None:
                    connection = self._deployment.connect(
                        proxy,
                        group,
                        connect_timeout=CONNECT_TIMEOUT_SECONDS,
                        read_timeout=ANSWER_TIMEOUT_SECONDS,
                    )
                with connection.cursor() as cursor:
                    cursor.execute(_statement(proxy))
            except (pymysql.MySQLError, OSError) as error:
                if not _has_outcome(error):
                    connection = None
                continue
            acknowledged.append(
                AcknowledgedWrite(proxy.name, sent_at, time.monotonic())
            )
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
