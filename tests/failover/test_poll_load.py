"""Tests of a control process polled by more proxies than it has threads.

After a power loss all proxies poll for their first view, which a control process
returns only once a quorum has confirmed it. If each poll holds a thread, votes queue
behind the polls and time out, so no leader is elected: no proxy gets a view, nothing is
served and no change comes into force. With 24 threads, polls of 0.4 s and a vote
timeout of 0.5 s, 194 proxies on the three control processes left of five led to 763
elections in 40 s without a leader.
"""

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
ANSWER_TIMEOUT_SECONDS = 10.0
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
    """All proxies poll one process for their first view while it has no leader."""

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
        # Ends the waits, so that the server's threads can stop.
        self.addCleanup(self.clock.advance, 3600.0)
        self.address = server.address

    def send(self, method: str, target: str, body: object = None) -> socket.socket:
        content = b"" if body is None else json.dumps(body).encode()
        sock = socket.create_connection(
            (self.address.host, self.address.port), ANSWER_TIMEOUT_SECONDS
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
            self.fail("no answer arrived within the timeout")

    def test_polls_leave_threads_for_the_election_they_wait_for(self) -> None:
        """Guard against polls that occupy all threads and block an election."""
        with ExitStack() as self.stack:
            for _ in range(PROXIES):
                self.send("GET", FIRST_POLL)
            vote = self.send("POST", "/raft/vote", VOTE_REQUEST)
            self.assertEqual(self.status(vote), 200)

    def test_polls_beyond_the_slots_are_answered_at_once(self) -> None:
        """Guard against excess polls left unanswered, and against immediate retries."""
        with ExitStack() as self.stack:
            polls = [self.send("GET", FIRST_POLL) for _ in range(PROXIES)]
            pauses: list[int] = []
            deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
            while len(pauses) < PROXIES - MAX_WATCHERS:
                self.assertLess(
                    time.monotonic(), deadline, "excess polls are not answered"
                )
                answered = [one for one in polls if self.has_answer(one)]
                pauses += [self.retry_after_ms(one) for one in answered]
                polls = [one for one in polls if one not in answered]
            self.assertEqual(len(polls), MAX_WATCHERS)
            # Every poll is given a different time to retry.
            self.assertEqual(len(set(pauses)), len(pauses))
            self.assertGreater(min(pauses), 0)

    def retry_after_ms(self, sock: socket.socket) -> int:
        body = sock.recv(4096).partition(b"\r\n\r\n")[2]
        answer = json.loads(body)
        self.assertIsNone(answer["view"])
        return int(answer["retry_after_ms"])

    def has_answer(self, sock: socket.socket) -> bool:
        sock.settimeout(0.01)
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except TimeoutError:
            return False
        finally:
            sock.settimeout(ANSWER_TIMEOUT_SECONDS)
