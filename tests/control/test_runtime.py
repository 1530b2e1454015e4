"""Tests of one voter with all its components and its log on disk."""

import random
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from dogwoodspool_api import Announcement, Observation, PositionMessage
from dogwoodspool_api.const import PATH_RENEW, PATH_STATUS
from dogwoodspool_common import (
    Address,
    JsonClient,
    JsonRequest,
    Position,
    RequestSigner,
    Role,
    SystemClock,
)
from dogwoodspool_consensus import (
    ConsensusNode,
    ConsensusSettings,
    FileLogStorage,
    HttpPeerTransport,
)
from dogwoodspool_control.runtime import ControlRuntime
from dogwoodspool_control.state import ControlState

from .fakes import (
    DOMAINS,
    GROUP,
    SERVERS,
    FakeProxies,
    FakeServer,
    FakeServers,
    observation,
    renewal,
    server,
)

GRANT_TIMEOUT_SECONDS = 30.0


class RunningVoter:
    """A single-voter control group with fake proxies and servers."""

    def __init__(self, folder: Path) -> None:
        clock = SystemClock()
        address = Address("127.0.0.1", 1)
        signer = RequestSigner(b"a shared key of the tests")
        state = self.state = ControlState(clock)
        self.leaving = ""
        self.servers = FakeServers(
            {name: FakeServer(Position(1, 5)) for name in SERVERS}
        )
        self.servers.servers["s1"].role = Role.PRIMARY
        self.consensus = ConsensusNode(
            node_id="v1",
            address=address,
            storage=FileLogStorage(folder),
            machine=state,
            transport=HttpPeerTransport(JsonClient(signer)),
            clock=clock,
            settings=ConsensusSettings(),
            initial_voters={"v1": address},
            rng=random.Random(1),
            bootstrap=True,
        )
        self.runtime = ControlRuntime(
            clock,
            self.consensus,
            state,
            role_changers=self.servers,
            release_client=FakeProxies(),
            secret_key=b"key",
        )
        self._routes = {
            (route.method, route.path): route.handler for route in self.runtime.routes
        }

    def set_up(self) -> None:
        self.consensus.set_up()
        self.runtime.set_up()

    def unload(self) -> None:
        self.consensus.unload()
        self.runtime.unload()

    def renew_all(self) -> list[dict[str, Any]]:
        """Renew as one proxy of each failure domain, with its observations."""
        responses = []
        for number, domain in enumerate(DOMAINS, start=1):
            message = renewal(
                f"p{number}",
                domain,
                observations=self._observations(),
                announcements=self._announcements(),
            )
            body = message.model_dump(mode="json")
            request = JsonRequest(PATH_RENEW, {}, body)
            responses.append(dict(self._routes["POST", PATH_RENEW](request).body))
        return responses

    def status(self) -> dict[str, Any]:
        request = JsonRequest(PATH_STATUS, {}, None)
        return dict(self._routes["GET", PATH_STATUS](request).body)

    def _observations(self) -> list[Observation]:
        return [
            observation(name, 700 if fake.is_silent else 0)
            for name, fake in self.servers.servers.items()
        ]

    def _announcements(self) -> list[Announcement]:
        return [
            Announcement(
                server=name,
                group=GROUP,
                failure_domain="fd1",
                address=str(server(name).address),
                role=fake.role,
                position=PositionMessage.of(fake.position),
                slots=3,
                connections=20,
                is_leaving=name == self.leaving,
            )
            for name, fake in self.servers.servers.items()
            if not fake.is_silent
        ]


class ControlRuntimeTests(unittest.TestCase):
    """First renewals, a failover and a restart."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self) -> RunningVoter:
        voter = RunningVoter(self.folder)
        voter.set_up()
        return voter

    def renew_until_granted(self, voter: RunningVoter, term: int) -> None:
        """Renew until all three proxies have the grant of a term."""
        deadline = time.monotonic() + GRANT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            grants = [response.get("grants") for response in voter.renew_all()]
            if all(grant and grant[0]["term"] == term for grant in grants):
                return
            time.sleep(0.1)
        self.fail(f"no grants of term {term}: {voter.status()}")

    def test_leaving_server_is_retired(self) -> None:
        """Guard against proxies that each count the grace period from their start."""
        voter = self.start()
        try:
            self.renew_until_granted(voter, term=1)
            voter.leaving = "s2"
            deadline = time.monotonic() + GRANT_TIMEOUT_SECONDS
            while not voter.state.servers["s2"].is_retired:
                self.assertLess(time.monotonic(), deadline)
                voter.renew_all()
                time.sleep(0.1)
        finally:
            voter.unload()

    def test_failed_primary_is_replaced_and_a_restart_keeps_the_state(self) -> None:
        """A primary fails, every proxy observes it, and callers wait for the next one.

        The voter then restarts from its files and must know the new term.
        """
        voter = self.start()
        try:
            self.renew_until_granted(voter, term=1)
            voter.servers.servers["s1"].is_silent = True
            self.renew_until_granted(voter, term=2)
            status = voter.status()
        finally:
            voter.unload()
        self.assertEqual(status["groups"][0]["term_starts"], [{"term": 2, "offset": 5}])
        phases = status["failovers"][0]["phases_ms"]
        self.assertLessEqual(phases["released"], phases["ended"])
        restarted = self.start()
        try:
            self.renew_until_granted(restarted, term=2)
            self.assertEqual(restarted.status()["groups"], status["groups"])
        finally:
            restarted.unload()
