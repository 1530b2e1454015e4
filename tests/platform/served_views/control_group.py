"""Control processes that apply one log by threads of their own, and lag or restart.

The log itself is a list: who votes and what is committed is the subject of other tests.
Everything after it is the product's: the state, the endpoint that proxies poll, and
what each proxy does with the answers.
"""

import json
import random
import threading
import time
from collections.abc import Callable
from typing import Any, Final

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import (
    Address,
    Clock,
    JsonRequest,
    PeerRefusedError,
    PeerUnreachableError,
    SystemClock,
)
from dogwoodspool_common.const import FIRST_ERROR_STATUS
from dogwoodspool_consensus import Leadership
from dogwoodspool_control.commands import Command, encode_command
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.state import ControlState

from .configurations import served_hosts

WAIT_SLOTS: Final = 24
APPLY_POLL_SECONDS: Final = 0.002
# A process that has not applied an entry for this long says that it is not current.
MAX_LAG_SECONDS: Final = 0.1


class CommittedLog:
    """The committed entries, and what a plain model makes of the documents in them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._entries: list[tuple[float, dict[str, Any]]] = []
        self._revision = 0
        self._allowed: list[dict[str, str]] = [{}]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return len(self._entries)

    def append(self, command: Command, body: dict[str, Any] | None = None) -> int:
        """Append a command, and for a document its configuration; return the index."""
        entry = json.loads(json.dumps(encode_command(command)))
        with self._lock:
            allowed = self._allowed[-1]
            if body is not None and body["version"] > self._revision:
                self._revision = body["version"]
                allowed = served_hosts(body)
            self._allowed.append(allowed)
            self._entries.append((time.monotonic(), entry))
            return len(self._entries)

    def entry(self, index: int) -> dict[str, Any]:
        """Return the entry at an index."""
        return self._entries[index - 1][1]

    def committed_at(self, index: int) -> float:
        """Return when an entry was committed."""
        return self._entries[index - 1][0]

    def allowed_at(self, index: int) -> dict[str, str]:
        """Return the service of each host after an entry."""
        return self._allowed[index]


class Announcements:
    """Check that all processes announce the same content under a version."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._contents: dict[int, str] = {}
        self.differing: list[int] = []

    def record(self, state: ControlState) -> None:
        """Record the view of a process that has just applied an entry."""
        view = state.view()
        content = view.model_dump_json()
        with self._lock:
            if self._contents.setdefault(view.version, content) != content:
                self.differing.append(view.version)


class ControlProcess:
    """One control process: a state, a thread that applies the log, and its endpoint.

    It implements the ``LogNode`` of its own ``ControlNode``.

    Args:
        source: process whose snapshot it starts from; None to apply every entry.
        max_pause: longest pause in seconds before an entry is applied.
        restores: whether it installs a snapshot of the source now and then.
    """

    def __init__(
        self,
        log: CommittedLog,
        announcements: Announcements,
        clock: Clock,
        members: Callable[[], list[MemberMessage]],
        seed: int,
        *,
        source: "ControlProcess | None" = None,
        max_pause: float = 0.0,
        restores: bool = False,
    ) -> None:
        self._log = log
        self._announcements = announcements
        self._rng = random.Random(seed)
        self._source = source
        self._max_pause = max_pause
        self._restores = restores
        self._applying = threading.Lock()
        self._is_ended = False
        self.applied = 0
        self.outcomes: dict[int, dict[str, Any]] = {}
        self.state = ControlState(clock)
        self.leader_address: Address | None = None
        if source is not None:
            self._install(source)
        api = WatchApi(
            ControlNode(self), self.state, WaitSlots(WAIT_SLOTS), clock, members
        )
        self._handle = api.routes()[0].handler
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def is_following(self) -> bool:
        """Whether it has applied what was committed a moment ago."""
        index = self.applied + 1
        if index > self._log.last_index:
            return True
        return time.monotonic() - self._log.committed_at(index) < MAX_LAG_SECONDS

    def propose(self, command: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Not used: the operators append to the log themselves."""
        raise NotImplementedError

    def leadership(self) -> Leadership | None:
        """Return None: no part of the test asks for it."""
        return None

    def holders(self, _index: int) -> tuple[str, ...]:
        return ()

    def confirm_read(self, timeout: float) -> int:
        """Wait until every entry committed before the call is applied here."""
        index = self._log.last_index
        self.wait_applied(index)
        return index

    def wait_applied(self, index: int) -> None:
        """Wait until an entry is applied."""
        while self.applied < index and not self._is_ended:
            time.sleep(APPLY_POLL_SECONDS)

    def answer(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        """Answer a poll as over the network; raise the error that a client raises."""
        if self._is_ended:
            raise PeerUnreachableError("connection refused")
        response = self._handle(JsonRequest(path, query, None))
        if self._is_ended:
            raise PeerUnreachableError("connection reset")
        if response.status >= FIRST_ERROR_STATUS:
            body = response.body
            raise PeerRefusedError(response.status, body["error"], body["message"])
        answer: dict[str, Any] = json.loads(json.dumps(response.body))
        return answer

    def snapshot(self) -> tuple[int, dict[str, Any]]:
        """Return the state after the last applied entry, as the applier takes it."""
        with self._applying:
            snapshot: dict[str, Any] = json.loads(json.dumps(self.state.snapshot()))
            return self.applied, snapshot

    def end(self) -> None:
        """End the process."""
        self._is_ended = True
        self._thread.join()

    def _install(self, source: "ControlProcess") -> None:
        index, snapshot = source.snapshot()
        if index > self.applied or self.applied == 0:
            self.state.restore(snapshot)
            self.applied = index

    def _run(self) -> None:
        while not self._is_ended:
            if self.applied >= self._log.last_index:
                time.sleep(APPLY_POLL_SECONDS)
                continue
            if self._max_pause:
                time.sleep(self._rng.random() * self._max_pause)
            with self._applying:
                if self._restores and self._source and self._rng.random() < 0.1:
                    self._install(self._source)
                else:
                    self._apply_next()

    def _apply_next(self) -> None:
        index = self.applied + 1
        if index > self._log.last_index:
            return
        self.outcomes[index] = self.state.apply(index, self._log.entry(index))
        self.applied = index
        self._announcements.record(self.state)


class ControlGroup:
    """Three control processes: one leads, one lags, one is replaced again and again."""

    FAILURE_DOMAINS: Final = ("a", "b", "c")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._clock = SystemClock()
        self._lock = threading.Lock()
        self._processes: dict[Address, ControlProcess] = {}
        self._replaced = 0
        self.log = CommittedLog()
        self.announcements = Announcements()
        self.initial = tuple(Address(f"10.0.0.{n}", 7) for n in (1, 2, 3))
        self._addresses = list(self.initial)
        self.leader = self._start(self.initial[0])
        self._start(self.initial[1], source=self.leader, max_pause=0.02, restores=True)
        self._start(self.initial[2])

    def replace_last(self) -> None:
        """Replace the third process by one at another address with a snapshot."""
        address = self._addresses[2]
        self._processes[address].end()
        self._replaced += 1
        joining = Address(f"10.0.1.{1 + self._replaced % 250}", 7)
        # It is announced before it has the whole state, as a learner is.
        with self._lock:
            self._addresses = [*self._addresses[:2], joining]
        self._start(joining, source=self.leader, max_pause=0.01)

    def members(self) -> list[MemberMessage]:
        """Return the members that are announced to proxies."""
        with self._lock:
            addresses = list(self._addresses)
        return [
            MemberMessage(address=str(address), failure_domain=domain)
            for address, domain in zip(addresses, self.FAILURE_DOMAINS, strict=True)
        ]

    def get(
        self, address: Address, path: str, query: dict[str, str], timeout: float
    ) -> dict[str, Any]:
        """Answer a poll of a proxy; as ``JsonClient.get``."""
        process = self._processes.get(address)
        if process is None:
            raise PeerUnreachableError("connection refused")
        return process.answer(path, query)

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        """Refuse all other calls; as ``JsonClient.post``."""
        raise PeerUnreachableError("connection refused")

    def end(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            process.end()

    def _start(
        self,
        address: Address,
        *,
        source: ControlProcess | None = None,
        max_pause: float = 0.0,
        restores: bool = False,
    ) -> ControlProcess:
        process = ControlProcess(
            self.log,
            self.announcements,
            self._clock,
            self.members,
            self._seed + self._replaced,
            source=source,
            max_pause=max_pause,
            restores=restores,
        )
        process.leader_address = self.initial[0]
        self._processes[address] = process
        return process
