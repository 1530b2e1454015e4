"""Backend servers that callers' statements run on, and their heartbeats."""

import random
import threading

from ..standin import Cloud, GroupLog, TextServer
from ..test_messages import heartbeat
from .const import BACKEND_SERVERS, HEARTBEAT_SECONDS, ZONES
from .machines import Machines
from .web import call


class Backends:
    """One group's servers, none of which is ever lost.

    Args:
        stop: set when the day ends.
    """

    def __init__(self, stop: threading.Event) -> None:
        self._stop = stop
        log = GroupLog()
        self._servers = [
            TextServer(f"i-{number}", "s1", log, is_primary=number == 0)
            for number in range(BACKEND_SERVERS)
        ]
        self._cloud = Cloud(self._servers)

    @property
    def cloud(self) -> str:
        """Address of the promotion service."""
        return self._cloud.address

    @property
    def servers(self) -> list[TextServer]:
        """All servers."""
        return self._servers

    def report_on(self, server: TextServer, machines: Machines) -> None:
        """Send a server's heartbeats until the day ends."""
        source = random.Random(server.name)
        sequence = 0
        while not self._stop.wait(HEARTBEAT_SECONDS):
            sequence += 1
            body = heartbeat(
                addr=f"127.0.0.1:{server.port}",
                zone=ZONES[int(server.name[-1]) % len(ZONES)],
                slots=20,
                seq=sequence,
                born=1,
                dbRole="primary" if server.is_primary else "replica",
            )
            known = machines.known
            for core in source.sample(known, len(known)):
                url = machines.control_url(core, f"instances/{server.name}")
                if call("PUT", url, body)[0] == 200 or self._stop.is_set():
                    break

    def close(self) -> None:
        """End all servers."""
        for server in self._servers:
            server.close()
        self._cloud.close()
