"""Tests of a control process that more proxies poll than it has threads."""

import json
import random
import socket
import time
import unittest
from contextlib import ExitStack

from dogwoodspool_api.const import PATH_WATCH
from dogwoodspool_common import Address, JsonClient, JsonServer, ManualClock
from dogwoodspool_consensus import (
    ConsensusNode,
    ConsensusSettings,
    HttpPeerTransport,
)
from dogwoodspool_control.state import ControlState
from dogwoodspool_failover import FailoverRuntime
from dogwoodspool_failover.const import HTTP_THREADS, MAX_WATCHERS

from ..consensus.fakes import MemoryLogStorage
from .fakes import FakeGroup

PROXIES = 76
PATIENCE_SECONDS = 10.0
FIRST_POLL = f"{PATH_WATCH}?after=0&wait_ms=1000&confirmed=1"
VOTERS = {f"v{n}": Address("127.0.0.1", n) for n in (1, 2, 3)}
VOTE_REQUEST = {
    "source": "v2",
    "source_incarnation": "other",
    "target": "v1",
    "target_incarnation": "",
    "term": 1,
    "last_index": 0,
    "last_term": 0,
    "is_pre_vote": True,
}


class PollLoadTests(unittest.TestCase):
    """All proxies ask one process for their first view, and it has no leader."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        node = ConsensusNode(
            node_id="v1",
            address=VOTERS["v1"],
            storage=MemoryLogStorage("v1"),
            machine=(state := ControlState(self.clock)),
            transport=HttpPeerTransport(JsonClient(None)),
            clock=self.clock,
            settings=ConsensusSettings(),
            initial_voters=VOTERS,
            rng=random.Random(1),
            bootstrap=True,
        )
        node.load()
        group = FakeGroup({})
        runtime = FailoverRuntime(
            self.clock, node, state, servers=group, service=group, wanted_voters=3
        )
        server = JsonServer(Address("127.0.0.1", 0), None, runtime.routes, HTTP_THREADS)
        server.set_up()
        self.addCleanup(server.unload)
        # Ends the waits, so that the threads do.
        self.addCleanup(self.clock.advance, 3600.0)
        self.address = server.address

    def ask(self, method: str, target: str, body: object = None) -> socket.socket:
        content = b"" if body is None else json.dumps(body).encode()
        sock = socket.create_connection(
            (self.address.host, self.address.port), PATIENCE_SECONDS
        )
        self.stack.callback(sock.close)
        head = f"{method} {target} HTTP/1.1\r\nHost: v1\r\n"
        head += f"Content-Length: {len(content)}\r\n\r\n"
        sock.sendall(head.encode() + content)
        return sock

    def status(self, sock: socket.socket) -> int:
        try:
            return int(sock.recv(4096).split(b" ")[1])
        except TimeoutError:
            self.fail("no answer came")

    def test_polls_leave_threads_to_the_election_that_they_wait_for(self) -> None:
        """Guard against a crowd of polls that keeps a group from electing."""
        with ExitStack() as self.stack:
            for _ in range(PROXIES):
                self.ask("GET", FIRST_POLL)
            vote = self.ask("POST", "/raft/vote", VOTE_REQUEST)
            self.assertEqual(self.status(vote), 200)

    def test_polls_beyond_the_slots_are_refused_at_once(self) -> None:
        """Guard against polls that wait unseen in the queue of the server."""
        with ExitStack() as self.stack:
            polls = [self.ask("GET", FIRST_POLL) for _ in range(PROXIES)]
            refused = 0
            give_up_at = time.monotonic() + PATIENCE_SECONDS
            while refused < PROXIES - MAX_WATCHERS:
                self.assertLess(time.monotonic(), give_up_at, "polls wait unseen")
                answered = [one for one in polls if self.has_answer(one)]
                statuses = {self.status(one) for one in answered}
                self.assertLessEqual(statuses, {429})
                polls = [one for one in polls if one not in answered]
                refused += len(answered)
            self.assertEqual(len(polls), MAX_WATCHERS)

    def has_answer(self, sock: socket.socket) -> bool:
        sock.settimeout(0.01)
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except TimeoutError:
            return False
        finally:
            sock.settimeout(PATIENCE_SECONDS)
