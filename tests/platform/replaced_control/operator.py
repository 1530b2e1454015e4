"""The operator, who changes the configuration and reads it back."""

import random
import threading
import time
from typing import Any

from ..test_messages import config, route
from .const import (
    CHANGE_GAP_SECONDS,
    FIRST_VERSION,
    FORMING_SECONDS,
    READ_GAP_SECONDS,
    REMOVAL_SHARE,
    RETRY_SECONDS,
)
from .machines import Machine, Machines
from .record import Record, Version
from .web import call


class Operator:
    """Sends versions of the configuration, one after the other.

    Args:
        stop: set when the day ends.

    Attributes:
        sends: held while a version is sent.
    """

    def __init__(
        self,
        machines: Machines,
        record: Record,
        source: random.Random,
        stop: threading.Event,
    ) -> None:
        self._machines = machines
        self._record = record
        self._random = source
        self._stop = stop
        self._number = FIRST_VERSION
        self.sends = threading.Lock()

    def change(self) -> Version:
        """Send the next version until it is acknowledged."""
        with self.sends:
            self._number += self._random.randint(1, 9)
            versions = self._record.versions
            databases = set(versions[-1].databases) if versions else set()
            removable = sorted(databases)[:-2]
            if removable and self._random.random() < REMOVAL_SHARE:
                databases.discard(self._random.choice(removable))
            databases.add(f"db{self._number:05d}")
            body = config(
                version=self._number,
                routes=[
                    route(name=f"r-{name}", host=name, kind="primary")
                    for name in sorted(databases)
                ],
            )
            version = Version(self._number, frozenset(databases), time.monotonic())
            versions.append(version)
            return self._send(version, body)

    def change_on(self) -> None:
        """Send versions until the day ends."""
        while not self._stop.wait(self._random.uniform(*CHANGE_GAP_SECONDS)):
            self.change()

    def read_on(self, core: Machine) -> None:
        """Read the configuration at a control process until it is lost."""
        while not self._stop.wait(READ_GAP_SECONDS):
            if core.is_gone:
                return
            self._read(core)

    def read_at_all(self) -> None:
        """Read the configuration at every control process, until each answers."""
        for core in self._machines.alive:
            until = time.monotonic() + FORMING_SECONDS
            while (status := self._read(core)) != 200:
                if time.monotonic() > until:
                    self._record.find("unreadable", core.host, str(status))
                    break
                time.sleep(RETRY_SECONDS)

    def _send(self, version: Version, body: dict[str, Any]) -> Version:
        until = time.monotonic() + FORMING_SECONDS
        while time.monotonic() < until and not self._stop.is_set():
            core = self._random.choice(self._machines.alive)
            status, _, host = call("PUT", self._url(core), body)
            if status == 200:
                version.by, version.acknowledged_at = host, time.monotonic()
                self._record.note(f"version {version.number} is acknowledged by {host}")
                return version
            if status in (400, 409, 412, 413, 422):
                self._record.find("refused", core.host, f"{version.number}: {status}")
                return version
            time.sleep(RETRY_SECONDS)
        if not self._stop.is_set():
            self._record.find("not acknowledged", "", f"{version.number}")
        return version

    def _read(self, core: Machine) -> int:
        """Read the configuration, judge its version and return the status."""
        sent_at = time.monotonic()
        status, body, host = call("GET", self._url(core))
        required = self._record.required(sent_at)
        if status == 200 and required >= 0:
            version = int(body["version"])
            newest = self._record.versions[required].number
            if version < newest:
                what = f"{host} answers {version} < {newest}"
                self._record.find("old read", core.host, what)
        return status

    def _url(self, core: Machine) -> str:
        return f"http://{core.host}:{self._machines.control}/dogwoodspool/config"
