"""Demonstrate read-your-writes, a settings change and changes of primary."""

import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import pymysql
from dogwoodspool_testbed import (
    CallerConnection,
    Deployment,
    DeploymentShape,
    StandinHandle,
    StandinShape,
    TestbedError,
)

GROUPS: Final = ("orders", "chat")
GROUP: Final = GROUPS[0]
CALLER_USER: Final = "app"
CALLER_PASSWORD: Final = "app-password"
FAILOVER_SECONDS: Final = 9.0
SETTINGS_SECONDS: Final = 13.0
RETRY_SECONDS: Final = 0.02


@dataclass
class Steps:
    """Run steps one after the other and print the result of each."""

    failures: int = 0
    began_at: float = field(default_factory=time.monotonic)

    def run(self, title: str, step: Callable[[], str]) -> None:
        """Run one step; print a failure without preventing the next steps."""
        began_at = time.monotonic()
        try:
            result = step()
        except (AssertionError, TestbedError, pymysql.MySQLError) as error:
            self.failures += 1
            print(f"FAILED  {title}: {error}")
            return
        elapsed = time.monotonic() - began_at
        print(f"ok      {title}: {result} ({elapsed:.2f} s)")


def shape() -> DeploymentShape:
    """Return the shape of the demo's deployment."""
    return DeploymentShape(
        groups=GROUPS,
        standin=StandinShape(connect_delay_ms=10, replication_lag_ms=20),
        has_traces=True,
    )


def session_token(connection: CallerConnection) -> str:
    """Return the connection's session token."""
    return str(query(connection, "SELECT @@dogwoodspool_session")[0][0])


def query(connection: CallerConnection, sql: str) -> tuple[tuple[object, ...], ...]:
    """Run a statement and return its rows."""
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return tuple(cursor.fetchall())


@dataclass
class Demo:
    """Steps of the demo on one deployment."""

    deployment: Deployment
    token: str = ""

    def run(self, steps: Steps) -> None:
        """Run all steps."""
        steps.run("write at proxy 1", self.write)
        steps.run("read own write at proxy 2", self.read_elsewhere)
        steps.run("change a setting", self.change_settings)
        steps.run("planned change of primary", self.promote)
        steps.run("kill the primary", self.kill_primary)

    def write(self) -> str:
        """Create a table and write through the first proxy."""
        deployment = self.deployment
        connection = deployment.connect(deployment.proxies[0], GROUP)
        with connection:
            query(
                connection,
                "CREATE TABLE lines (id BIGINT PRIMARY KEY AUTO_INCREMENT, body TEXT)",
            )
            with connection.cursor() as cursor:
                count = cursor.execute("INSERT INTO lines (body) VALUES ('hello')")
                assert count == 1, f"affected rows {count}"
                identifier = cursor.lastrowid
            self.token = session_token(connection)
        return f"row {identifier} acknowledged"

    def read_elsewhere(self) -> str:
        """Read the write through another proxy until a replica serves the read."""
        deployment = self.deployment
        proxy = deployment.proxies[1]
        by_replica = f'reads_total{{group="{GROUP}",served_by="replica"}} 1'
        deadline = time.monotonic() + FAILOVER_SECONDS
        with deployment.connect(proxy, GROUP) as connection:
            # A replica that takes longer than usual to replicate the write is skipped
            # and the primary serves the read. On a busy machine this can happen to
            # the first reads.
            while by_replica not in deployment.metrics(proxy):
                assert time.monotonic() < deadline, "no replica served the read"
                rows = query(
                    connection, f"/*session='{self.token}'*/ SELECT body FROM lines"
                )
                assert rows == (("hello",),), f"read {rows}"
        return f"{proxy.name} in {proxy.failure_domain} read it from a replica"

    def change_settings(self) -> str:
        """Change a setting and wait until it is in force in every proxy."""
        deployment = self.deployment
        overrides = {**deployment.root_settings(), "deadline_ms": 1500}
        began_at = time.monotonic()
        answer = deployment.change_settings("/", overrides)

        def is_in_force() -> bool:
            return all(
                deployment.proxy_status(proxy)["view_version"] >= answer["view_version"]
                for proxy in deployment.proxies
            )

        deployment.wait_for("settings in force", is_in_force, SETTINGS_SECONDS)
        elapsed = time.monotonic() - began_at
        return f"version {answer['version']} in force in every proxy in {elapsed:.3f} s"

    def kill_primary(self) -> str:
        """Kill the primary and write until the new primary acknowledges."""
        deployment = self.deployment
        old = deployment.primary(GROUP)
        with deployment.connect(deployment.proxies[2], GROUP) as connection:
            deployment.processes.kill(old.name)
            began_at = time.monotonic()
            gap = None
            while gap is None:
                try:
                    query(connection, "INSERT INTO lines (body) VALUES ('after')")
                    gap = time.monotonic() - began_at
                except pymysql.MySQLError as error:
                    assert time.monotonic() - began_at < FAILOVER_SECONDS, error
                    time.sleep(RETRY_SECONDS)
            rows = query(connection, "SELECT body FROM lines WHERE id = 1")
            assert rows == (("hello",),), f"the first write was lost: {rows}"
        new = deployment.primary(GROUP)
        return f"{old.name} killed; {new.name} took writes after {gap:.3f} s, none lost"

    def promote(self) -> str:
        """Switch over the primary of the other group while writing to it."""
        deployment = self.deployment
        group = GROUPS[1]
        old = deployment.primary(group)
        with deployment.connect(deployment.proxies[0], group) as connection:
            query(connection, "CREATE TABLE seen (id INT PRIMARY KEY)")
            deployment.promote(group)
            longest = 0.0
            last = time.monotonic()
            tried = 0
            acknowledged: set[object] = set()
            deadline = last + FAILOVER_SECONDS
            has_moved = False
            while not has_moved:
                # Only a write sent after the switchover shows that writes succeed
                # again: proxies that wait for their next grant reject writes with a
                # time to retry.
                is_after_switchover = self._has_new_primary(group, old)
                tried += 1
                try:
                    query(connection, f"INSERT INTO seen VALUES ({tried})")
                    acknowledged.add(tried)
                    has_moved = is_after_switchover
                    longest = max(longest, time.monotonic() - last)
                    last = time.monotonic()
                except pymysql.MySQLError:
                    time.sleep(RETRY_SECONDS)
                assert time.monotonic() < deadline, "the promotion did not end"
            found = {row[0] for row in query(connection, "SELECT id FROM seen")}
            assert acknowledged <= found, f"lost {acknowledged - found}"
        new = deployment.primary(group)
        return f"{old.name} to {new.name}, longest pause between writes {longest:.3f} s"

    def _has_new_primary(self, group: str, old: StandinHandle) -> bool:
        try:
            return self.deployment.primary(group).name != old.name
        except TestbedError:
            return False  # The group has no primary during the change.


def wait_until_stopped(deployment: Deployment) -> None:
    """Print the addresses of all processes and wait for SIGINT or SIGTERM."""
    for proxy in deployment.proxies:
        for group in GROUPS:
            print(
                f"proxy {proxy.failure_domain} {proxy.address} database={group} "
                f"user={CALLER_USER} password={CALLER_PASSWORD}"
            )
    for control in deployment.controls:
        print(f"control {control.address}")
    for standin in deployment.standins:
        print(f"standin {standin.group} {standin.name} {standin.address}")
    for role, name, pid in deployment.processes.pids():
        print(f"pid {role} {name} {pid}")
    print("ready", flush=True)
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda _number, _frame: stopped.set())
    stopped.wait()


def main() -> int:
    """Run the demo."""
    began_at = time.monotonic()
    steps = Steps()
    with Deployment(shape()) as deployment:
        elapsed = time.monotonic() - began_at
        if "--stay" in sys.argv[1:]:
            wait_until_stopped(deployment)
            return 0
        count = len(deployment.processes.pids())
        print(f"ok      start {count} processes ({elapsed:.2f} s)")
        Demo(deployment).run(steps)
    total = time.monotonic() - began_at
    print(f"{'FAILED' if steps.failures else 'done'}: {total:.1f} s in all")
    return 1 if steps.failures else 0


if __name__ == "__main__":
    sys.exit(main())
