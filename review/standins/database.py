"""Stand-in for a database service of the platform.

Its servers speak the text protocol of the users' pages. They replicate without delay
except where a scenario says otherwise, and they answer like sound servers.
"""

# ruff: noqa: PLR2004

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from record import Record

STATEMENT_SECONDS = 0.006
MAX_CONNECTIONS = 46
SLOTS = 3
COMMANDS = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")
# Longest wait of a commit for a replica; its connection ends then without an answer.
COMMIT_WAIT_SECONDS = 10.0


@dataclass(frozen=True)
class Entry:
    """One committed write."""

    request: str
    item: str
    data: str


@dataclass
class Run:
    """One statement that a server ran for a caller."""

    at: float
    server: str
    request: str
    text: str
    values: dict[str, str]
    answer: str


class Group:
    """One primary and its replicas, with synchronous replication to one replica.

    Args:
        name: name of the service.
        record: where events are written.
        lag: seconds after which a replica applies what it has received.
        promote_seconds: seconds from a promotion request to its effect.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        *,
        lag: float = 0.02,
        promote_seconds: float = 0.6,
    ) -> None:
        self.name = name
        self.record = record
        self.lag = lag
        self.promote_seconds = promote_seconds
        self.changed = threading.Condition(threading.RLock())
        self.servers: dict[str, Server] = {}
        self.primary = ""
        self.term = 1
        self.runs: list[Run] = []
        # Requests in the log of the server that was promoted, by term.
        self.promoted: dict[int, tuple[float, str, set[str]]] = {}

    def add(self, server: "Server", *, is_primary: bool = False) -> None:
        """Add a server, which receives the primary's log if it is a replica."""
        with self.changed:
            self.servers[server.name] = server
            if is_primary:
                self.primary = server.name
            server.term = self.term
            self.replicate()

    def replicate(self) -> None:
        """Bring every replica that receives to the primary's log."""
        with self.changed:
            primary = self.servers.get(self.primary)
            if primary is None or not primary.is_running:
                return
            for server in self.servers.values():
                if server is not primary and server.receives:
                    server.take(primary.log, self.lag, self.term)
            self.changed.notify_all()

    def commit(self, server: "Server", entries: list[Entry]) -> str:
        """Commit at the primary; return an error code, or nothing on success.

        Raises:
            ConnectionError: the primary lost the lead or ended before a replica had
                the writes, so that it gives no answer.
        """
        with self.changed:
            if self.primary != server.name:
                return "READONLY"
            term = self.term
            server.append(entries)
            needed = len(server.log)
            self.replicate()
            until = time.monotonic() + COMMIT_WAIT_SECONDS
            while not any(
                len(one.log) >= needed and one.is_running
                for one in self.servers.values()
                if one is not server
            ):
                remaining = until - time.monotonic()
                is_lost = self.term != term or self.primary != server.name
                is_lost |= not server.is_running
                if is_lost or remaining <= 0:
                    raise ConnectionError("the commit is not on any replica")
                self.changed.wait(remaining)
        return ""

    def promote(self, name: str) -> None:
        """Make a server the primary of the next term, with what it has received."""
        with self.changed:
            if name not in self.servers or not self.servers[name].is_running:
                return
            self.term += 1
            self.primary = name
            held = {entry.request for entry in self.servers[name].log}
            self.promoted[self.term] = time.monotonic(), name, held
            for server in self.servers.values():
                server.paused_term = 0
                server.term = self.term
            self.record.write(
                f"{name} leads term {self.term} with {len(self.servers[name].log)} "
                "commits"
            )
            self.replicate()


@dataclass
class Behaviour:
    """How a server departs from a sound one; by default in nothing.

    Attributes:
        work_seconds: returns the seconds that a caller's statement takes.
        fails: returns whether a statement other than those of the control processes
            is answered by ``ERROR FAILED`` and has no effect.
        ignores: returns whether a connection of this process gets no answers.
    """

    work_seconds: Callable[[str, str], float] = lambda _request, _text: (
        STATEMENT_SECONDS
    )
    fails: Callable[[str, str], bool] = lambda _request, _text: False
    ignores: Callable[[str], bool] = lambda _process: False


@dataclass
class _Session:
    """State of one connection."""

    process: str = ""
    state: str = "I"
    is_plain: bool = False
    term: int = 0
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    pending: list[Entry] = field(default_factory=list)


class Server:
    """One database server.

    Args:
        name: id of its process.
        group: its group.
        address: host and port that it listens on.
        zone: its zone.
    """

    def __init__(
        self, name: str, group: Group, address: tuple[str, int], zone: str
    ) -> None:
        self.name = name
        self.group = group
        self.address = address
        self.zone = zone
        self.behaviour = Behaviour()
        self.log: list[Entry] = []
        self.term = group.term
        self.paused_term = 0
        self.is_deaf = False
        self.is_running = True
        self._applied_at: list[float] = []
        self._open: set[socket.socket] = set()
        self._slots = threading.Semaphore(SLOTS)
        self._listener = socket.create_server(address, backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def is_primary(self) -> bool:
        """Whether it leads."""
        return self.group.primary == self.name

    @property
    def receives(self) -> bool:
        """Whether it receives the primary's commits."""
        return self.is_running and not self.paused_term and not self.is_deaf

    def take(self, log: list[Entry], lag: float, term: int) -> None:
        """Receive the primary's log; drop what the primary does not have."""
        common = 0
        for own, other in zip(self.log, log, strict=False):
            if own is not other:
                break
            common += 1
        del self.log[common:], self._applied_at[common:]
        new = log[common:]
        self.log += new
        self._applied_at += [time.monotonic() + lag] * len(new)
        self.term = term

    def append(self, entries: list[Entry]) -> None:
        """Append own commits as the primary."""
        self.log += entries
        self._applied_at += [time.monotonic()] * len(entries)

    def end(self) -> None:
        """End the process: connections end, and new ones are refused."""
        with self.group.changed:
            self.is_running = False
            self.group.changed.notify_all()
        self._listener.close()
        for sock in list(self._open):
            _shut_down(sock)

    def _accept(self) -> None:
        while True:
            try:
                sock, _peer = self._listener.accept()
            except OSError:
                return
            self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        session = _Session()
        try:
            with sock, sock.makefile("rwb") as stream:
                for raw in stream:
                    line = raw.decode().rstrip("\r\n")
                    answer = self._answer(session, line)
                    if not answer:
                        return
                    if self.behaviour.ignores(session.process):
                        continue
                    stream.write(answer.encode())
                    stream.flush()
                    if not session.process:
                        return
        except (OSError, ConnectionError):
            return
        finally:
            self._open.discard(sock)

    def _answer(self, session: _Session, line: str) -> str:
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            return self._start(session, rest)
        if word != "QUERY" or not session.process:
            return ""
        request, _, text = rest.partition(" ")
        verb = text.partition(" ")[0]
        if verb not in COMMANDS and self.behaviour.fails(request, text):
            body = "ERROR FAILED the server failed"
        else:
            body = self._run(session, request, text)
        if request != "-":
            run = Run(
                time.monotonic(), self.name, request, text, dict(session.values), body
            )
            self.group.runs.append(run)
        return f"{body}\r\nREADY {session.state} {self._position()}\r\n"

    def _start(self, session: _Session, rest: str) -> str:
        service, process, *expected = rest.split(" ")
        is_other = bool(expected) and expected[0] != self.name
        if service != self.group.name or is_other:
            return f"ERROR MISROUTED {self.name}\r\n"
        if len(self._open) > MAX_CONNECTIONS:
            return f"ERROR CONNLIMIT {self.name}\r\n"
        session.process = process
        return f"READY I {self._position()}\r\n"

    def _position(self) -> str:
        return f"{self.term}.{self._applied()}"

    def _applied(self) -> int:
        now = time.monotonic()
        return sum(1 for at in self._applied_at if at <= now)

    def _run(self, session: _Session, request: str, text: str) -> str:
        verb, _, rest = text.partition(" ")
        if verb == "WAITLSN":
            position, _, text = rest.partition(" ")
            wanted = tuple(int(part) for part in position.split("."))
            if (self.term, self._applied()) < wanted:
                return f"ERROR LAGGING {self._position()}"
            verb, _, rest = text.partition(" ")
        has_lost_lead = session.state == "T" and session.is_plain
        has_lost_lead &= session.term != self.group.term or not self.is_primary
        is_harmless = verb == "COMMIT" and not session.pending
        if has_lost_lead and verb != "ROLLBACK" and not is_harmless:
            session.state, session.pending = "E", []
            return f"ERROR READONLY {self.name}"
        match verb:
            case "BEGIN":
                return self._begin(session, is_plain=not rest)
            case "ROLLBACK":
                session.state, session.pending = "I", []
            case "SET":
                name, _, value = rest.partition(" ")
                session.values[name] = value
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                session.prepared[name] = shape
            case "DISCARD":
                session.values.clear()
                session.prepared.clear()
            case _ if verb in COMMANDS:
                return self._command(verb, rest)
            case "READ" | "WRITE" | "EXECUTE" | "COMMIT":
                return self._work(session, request, verb, rest)
        return "COMPLETE -"

    def _begin(self, session: _Session, *, is_plain: bool) -> str:
        if is_plain and not self.is_primary:
            return f"ERROR READONLY {self.name}"
        session.state, session.is_plain, session.pending = "T", is_plain, []
        session.term = self.group.term
        return "COMPLETE -"

    def _work(self, session: _Session, request: str, verb: str, rest: str) -> str:
        with self._slots:
            time.sleep(self.behaviour.work_seconds(request, f"{verb} {rest}"))
            if verb == "EXECUTE":
                name, _, rest = rest.partition(" ")
                if name not in session.prepared:
                    return f"ERROR NOSTMT {name}"
                verb = session.prepared[name].partition(" ")[0]
            if verb == "READ":
                return f"DATAROW {self._read(rest)}\r\n{self._proof(request)}"
            if verb == "WRITE":
                if not self.is_primary:
                    return f"ERROR READONLY {self.name}"
                item, _, data = rest.partition(" ")
                session.pending.append(Entry(request, item, data))
                if session.state == "T":
                    return self._proof(request)
            entries, session.pending, session.state = session.pending, [], "I"
            error = self.group.commit(self, entries) if entries else ""
            return f"ERROR {error} {self.name}" if error else self._proof(request)

    def _read(self, item: str) -> str:
        applied = self.log[: self._applied()]
        for entry in reversed(applied):
            if entry.item == item:
                return entry.data
        return "none"

    def _proof(self, request: str) -> str:
        return f"COMPLETE {self.name}.{request}"

    def _command(self, verb: str, rest: str) -> str:
        with self.group.changed:
            if verb == "PAUSE" and not self.is_primary and int(rest) > self.term:
                self.paused_term = int(rest)
            elif verb == "RESUME":
                self.paused_term = 0
                self.group.replicate()
            elif verb == "STEPDOWN" and self.is_primary and int(rest) > self.term:
                self.group.primary = ""
                self.group.changed.notify_all()
            role = "primary" if self.is_primary else "replica"
            received = f"{self.term}.{len(self.log)}"
            connections = len(self._open)
            fields = [role, self.term, received, self.paused_term, 0, 0, connections]
        return "DATAROW " + " ".join(map(str, fields)) + "\r\nCOMPLETE -"


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
