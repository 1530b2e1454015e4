"""Tests of nodes with threads, files and HTTP on loopback."""

import random
import tempfile
import time
import unittest
from functools import partial
from pathlib import Path

from dogwoodspool_common import (
    Address,
    JsonClient,
    JsonRequest,
    JsonResponse,
    JsonServer,
    RequestSigner,
    Route,
    SystemClock,
)
from dogwoodspool_consensus import (
    ConsensusNode,
    ConsensusSettings,
    FileLogStorage,
    HttpPeerTransport,
    NotLeaderError,
)

from .fakes import RecordingMachine

NAMES = ("n0", "n1", "n2")
TIMEOUT_SECONDS = 20.0


class HttpClusterTests(unittest.TestCase):
    """Three nodes elect a leader, commit, lose the leader and restart."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.signer = RequestSigner(b"key")
        self.nodes: dict[str, ConsensusNode] = {}
        self.machines: dict[str, RecordingMachine] = {}
        # Start the servers first, as their ports are chosen by the system. They outlive
        # the nodes behind them, which are replaced on restart.
        self.servers = {name: self.serve(name) for name in NAMES}
        self.addresses = {name: item.address for name, item in self.servers.items()}
        for name in NAMES:
            self.start(name)

    def serve(self, name: str) -> JsonServer:
        paths = ("/raft/vote", "/raft/append", "/raft/snapshot", "/raft/read")
        routes = [Route("POST", path, partial(self.handle, name)) for path in paths]
        server = JsonServer(Address("127.0.0.1", 0), self.signer, routes)
        server.set_up()
        self.addCleanup(server.unload)
        return server

    def handle(self, name: str, request: JsonRequest) -> JsonResponse:
        handlers = {item.path: item.handler for item in self.nodes[name].routes()}
        return handlers[request.path](request)

    def start(self, name: str) -> None:
        self.machines[name] = RecordingMachine(lambda _index, _text: None)
        client = JsonClient(self.signer)
        self.addCleanup(client.close)
        node = self.nodes[name] = ConsensusNode(
            node_id=name,
            address=self.addresses[name],
            storage=FileLogStorage(self.folder / name),
            machine=self.machines[name],
            transport=HttpPeerTransport(client),
            clock=SystemClock(),
            settings=ConsensusSettings(),
            initial_voters=self.addresses,
            rng=random.Random(name),
            bootstrap=True,
        )
        node.set_up()
        self.addCleanup(node.unload)

    def propose(self, text: str) -> str:
        """Propose to the leader; return its name."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            for name, node in self.nodes.items():
                try:
                    node.propose({"id": text}, TIMEOUT_SECONDS)
                except NotLeaderError:
                    continue
                return name
            time.sleep(0.02)
        raise AssertionError(f"no node accepted proposal {text!r}")

    def test_log_survives_the_loss_of_the_leader_and_a_restart_of_all(self) -> None:
        leader = self.propose("first")
        self.nodes.pop(leader).unload()
        self.propose("second")
        for node in self.nodes.values():
            node.unload()
        for name in NAMES:
            self.start(name)
        self.propose("third")
        for name, node in self.nodes.items():
            node.confirm_read(TIMEOUT_SECONDS)
            applied = list(self.machines[name].applied.values())
            self.assertEqual(applied, ["first", "second", "third"])
