# ruff: noqa: PLR2004
"""Stand-in of a database service that speaks the users' text protocol.

It does what PROTOCOL.md says of backends and nothing else: one primary, replicas that
receive its commits over the network, a commit that is acknowledged once one replica has
received it, pauses, promotions and heartbeats. All times are in seconds.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

RECEIVE_SECONDS = 0.004
APPLY_SECONDS = 0.008
WORK_SECONDS = 0.004
SLOTS = 3
ROLE_WORDS = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")
PREFIX = "WAITLSN"

Note = Callable[[str], None]


class CutError(Exception):
    """The server ends a connection without an answer."""


@dataclass(frozen=True)
class Commit:
    """One commit: its writes as pairs of request id and item."""

    writes: tuple[tuple[str, str], ...]


@dataclass
class Promotion:
    """A promotion that took effect, with the log of the server at that moment."""

    at: float
    server: str
    term: int
    log: tuple[Commit, ...]


@dataclass
class Run:
    """One statement of a client that a server has run."""

    at: float
    server: str
    request: str
    text: str


class Service:
    """A primary and its replicas."""

    def __init__(self, name: str, note: Note) -> None:
        self.name = name
        self.note = note
        self.servers: dict[str, Server] = {}
        self.primary: Server | None = None
        self.term = 1
        self.starts = {1: 0}
        self.promotions: list[Promotion] = []
        self.runs: list[Run] = []
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait(self) -> None:
        """Wait for a change, for a short time at most."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), 0.1)

    def promote(self, server: "Server") -> None:
        """Make a running server the primary of the next term."""
        if not server.is_running or self.primary is server:
            return
        self.term += 1
        self.primary = server
        self.starts[self.term] = len(server.log)
        now = asyncio.get_running_loop().time()
        log = tuple(server.log)
        self.promotions.append(Promotion(now, server.name, self.term, log))
        server.applied = len(server.log)
        for one in self.servers.values():
            if one.is_running:
                one.paused, one.term = 0, self.term
                one.roll_back_to(server.log)
        server.log_term = self.term
        self.note(f"provider: {server.name} leads term {self.term}")
        self.notify()


@dataclass
class Session:
    """State of one connection."""

    state: str = "I"
    is_plain: bool = False
    term: int = 0
    pending: list[tuple[str, str]] = field(default_factory=list)


class Server:
    """One backend.

    Attributes:
        born: start in Unix milliseconds; 0 where it is not told.
        is_deaf: whether it receives nothing for a while.
        is_leaving: whether it has said that it leaves.
    """

    def __init__(
        self, service: Service, name: str, zone: str, host: str, born: int = 0
    ) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.host = host
        self.born = born
        self.port = 0
        self.log: list[Commit] = []
        self.applied = 0
        self.term = service.term
        self.log_term = 1
        self.paused = 0
        self.sequence = 0
        self.is_running = True
        self.is_deaf = False
        self.is_leaving = False
        self._slots = asyncio.Semaphore(SLOTS)
        self._listener: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_primary(self) -> bool:
        """Whether it leads."""
        return self.service.primary is self

    @property
    def address(self) -> str:
        """Its address as HOST:PORT."""
        return f"{self.host}:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen and receive."""
        self._listener = await asyncio.start_server(
            self._serve, self.host, port, backlog=128
        )
        self.port = int(self._listener.sockets[0].getsockname()[1])
        self.service.servers[self.name] = self
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._apply()),
        ]
        self.service.notify()

    def end(self) -> None:
        """End the process: its connections end and new ones are refused."""
        self.is_running = False
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self.service.notify()

    def roll_back_to(self, log: list[Commit]) -> None:
        """Drop what another log does not have."""
        common = min(len(self.log), len(log))
        while common and self.log[common - 1] is not log[common - 1]:
            common -= 1
        del self.log[common:]
        self.applied = min(self.applied, common)

    @property
    def reached(self) -> int:
        """Number of its log that its answers tell."""
        return len(self.log) if self.is_primary else self.applied

    def position(self, number: int) -> str:
        """Return TERM.NUMBER of a number of its log."""
        term = min(self.log_term, self.service.term)
        while term > 1 and number < self.service.starts[term]:
            term -= 1
        return f"{term}.{number}"

    async def _receive(self) -> None:
        while self.is_running:
            primary = self.service.primary
            is_source = primary is not None and primary is not self
            if not is_source or self.paused or self.is_deaf or not primary.is_running:
                await self.service.wait()
                continue
            sent, term = list(primary.log), self.service.term
            if len(sent) == len(self.log) and self.log_term == term:
                await self.service.wait()
                continue
            await asyncio.sleep(RECEIVE_SECONDS)
            may_receive = not self.paused and not self.is_deaf and self.is_running
            if may_receive and self.service.term == term and primary.is_running:
                self.roll_back_to(sent)
                self.log += sent[len(self.log) :]
                self.log_term = term
                self.service.notify()

    async def _apply(self) -> None:
        while self.is_running:
            if self.is_primary:
                self.applied = len(self.log)
            received = len(self.log)
            await asyncio.sleep(APPLY_SECONDS)
            self.applied = max(self.applied, min(received, len(self.log)))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session: Session | None = None
        self._writers.add(writer)
        try:
            while raw := await reader.readline():
                line = raw.decode().rstrip("\r\n")
                if session is None:
                    answer, session = self._start_session(line)
                else:
                    answer = await self._query(session, line)
                writer.write(answer.encode())
                await writer.drain()
                if session is None:
                    return
        except (OSError, CutError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _start_session(self, line: str) -> tuple[str, Session | None]:
        word, *rest = line.split(" ")
        names = (rest[0], rest[2] if len(rest) > 2 else self.name) if rest else ()
        if word != "STARTUP" or names != (self.service.name, self.name):
            return f"ERROR MISROUTED {self.name}\r\n", None
        return f"READY I {self.position(self.reached)}\r\n", Session()

    async def _query(self, session: Session, line: str) -> str:
        word, _, rest = line.partition(" ")
        request, _, text = rest.partition(" ")
        if word != "QUERY":
            raise CutError
        body = await self._run(session, request, text)
        if not self.is_running:
            raise CutError
        return f"{body}\r\nREADY {session.state} {self.position(self.reached)}\r\n"

    async def _run(self, session: Session, request: str, text: str) -> str:
        verb, _, rest = text.partition(" ")
        if verb == PREFIX:
            wanted, _, text = rest.partition(" ")
            if _pair(self.position(self.reached)) < _pair(wanted):
                return f"ERROR LAGGING {self.position(self.reached)}"
            verb, _, rest = text.partition(" ")
        if verb in ROLE_WORDS:
            return self._command(verb, rest)
        if self._has_lost_lead(session, verb):
            session.state, session.pending = "E", []
            return f"ERROR READONLY {self.name}"
        match verb:
            case "BEGIN":
                if not rest and not self.is_primary:
                    return f"ERROR READONLY {self.name}"
                session.state, session.pending = "T", []
                session.is_plain, session.term = not rest, self.service.term
            case "ROLLBACK":
                session.state, session.pending = "I", []
            case "READ" | "WRITE" | "COMMIT":
                return await self._work(session, request, verb, text)
        return "COMPLETE -"

    def _has_lost_lead(self, session: Session, verb: str) -> bool:
        if session.state != "T" or not session.is_plain or verb == "ROLLBACK":
            return False
        if verb == "COMMIT" and not session.pending:
            return False
        return session.term != self.service.term or not self.is_primary

    async def _work(self, session: Session, request: str, verb: str, text: str) -> str:
        async with self._slots:
            await asyncio.sleep(WORK_SECONDS)
        if verb == "WRITE" and not self.is_primary:
            return f"ERROR READONLY {self.name}"
        now = asyncio.get_running_loop().time()
        self.service.runs.append(Run(now, self.name, request, text))
        if verb == "READ":
            return f"DATAROW row.{request}\r\nCOMPLETE {self.name}.{request}"
        if verb == "WRITE":
            session.pending.append((request, text.split(" ")[1]))
        if verb == "COMMIT" or session.state == "I":
            pending, session.pending = session.pending, []
            session.state = "I"
            if pending:
                await self._commit(Commit(tuple(pending)))
        return f"COMPLETE {self.name}.{request}"

    async def _commit(self, commit: Commit) -> None:
        """Append a commit and wait until one replica has received it."""
        service, term = self.service, self.service.term
        self.log.append(commit)
        number = len(self.log)
        service.notify()
        while True:
            if not self.is_running or not self.is_primary or service.term != term:
                raise CutError
            for one in service.servers.values():
                has_it = len(one.log) >= number and one.log[number - 1] is commit
                if one is not self and one.is_running and has_it:
                    return
            await service.wait()

    def _command(self, verb: str, rest: str) -> str:
        if verb == "PAUSE" and not self.is_primary and int(rest) > self.service.term:
            self.paused = int(rest)
        elif verb == "RESUME":
            self.paused = 0
        elif verb == "STEPDOWN" and self.is_primary and int(rest) > self.service.term:
            self.service.primary = None
        if verb != "STATUS":
            self.service.note(f"{self.name}: {verb} {rest}".rstrip())
            self.service.notify()
        role = "primary" if self.is_primary else "replica"
        received = self.position(len(self.log))
        fields = (role, self.service.term, received, self.paused, 0, 0, 1)
        return "DATAROW " + " ".join(map(str, fields)) + "\r\nCOMPLETE -"


def _pair(position: str) -> tuple[int, int]:
    term, _, number = position.partition(".")
    return int(term), int(number)
