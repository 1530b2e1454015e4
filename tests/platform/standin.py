"""Stand-in for the platform: backend servers, HTTP calls, promotions and callers."""

import json
import socket
import threading
import urllib.error
import urllib.request
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HTTP_TIMEOUT = 2.0


@dataclass
class GroupLog:
    """A group's commits, shared by its servers without replication delay."""

    term: int = 1
    number: int = 0
    values: dict[str, str] = field(default_factory=dict)
    ids: list[str] = field(default_factory=list)
    lock: threading.RLock = field(default_factory=threading.RLock)


class Gate:
    """Hold one request at a server until a test lets it run."""

    def __init__(self) -> None:
        self.arrived = threading.Event()
        self.opened = threading.Event()


class TextServer:
    """One backend server that speaks the platform's text protocol."""

    def __init__(
        self, name: str, service: str, log: GroupLog, *, is_primary: bool
    ) -> None:
        self.name = name
        self.service = service
        self.log = log
        self.is_primary = is_primary
        self.paused_term = 0
        self.executed: list[tuple[str, str]] = []
        # Account that each request ran for, by request id.
        self.accounts: dict[str, str] = {}
        # Requests that wait at a gate before they run, by request id.
        self.gates: dict[str, Gate] = {}
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def pass_gate(self, request_id: str) -> None:
        """Wait until the gate of a request is opened; most requests have none."""
        gate = self.gates.get(request_id)
        if gate is not None:
            gate.arrived.set()
            gate.opened.wait()

    def close(self) -> None:
        """Close all sockets, as when the process is killed."""
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
        self._listener.close()
        for sock in list(self._open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _accept(self) -> None:
        while True:
            try:
                sock, _peer = self._listener.accept()
            except OSError:
                return
            self._open.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        session = _ServerSession(self)
        # A caller that is killed resets its connections.
        with suppress(ConnectionError), sock, sock.makefile("rwb") as stream:
            for raw in stream:
                answer = session.answer(raw.decode().rstrip("\r\n"))
                if not answer:
                    return
                stream.write(answer.encode())
                stream.flush()


class _ServerSession:
    """One connection to a stand-in server."""

    def __init__(self, server: TextServer) -> None:
        self._server = server
        self._state = "I"
        self._pending: list[tuple[str, str, str]] = []
        self._account = ""

    def answer(self, line: str) -> str:
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            return self._start(rest)
        if word != "QUERY":
            return ""
        request_id, _, text = rest.partition(" ")
        self._server.pass_gate(request_id)
        with self._server.log.lock:
            body = self._run(request_id, text)
        return f"{body}\r\nREADY {self._state} {self._position()}\r\n"

    def _start(self, rest: str) -> str:
        service, self._account, name = rest.split(" ")
        if (service, name) != (self._server.service, self._server.name):
            return f"ERROR MISROUTED {self._server.name}\r\n"
        return f"READY I {self._position()}\r\n"

    def _position(self) -> str:
        return f"{self._server.log.term}.{self._server.log.number}"

    def _run(self, request_id: str, text: str) -> str:
        server, log = self._server, self._server.log
        if request_id != "-":
            server.accounts[request_id] = self._account
        verb, _, rest = text.partition(" ")
        if verb == "WAITLSN":
            verb, _, rest = rest.partition(" ")[2].partition(" ")
        match verb:
            case "BEGIN" if not rest and not server.is_primary:
                return "ERROR READONLY not the primary"
            case "BEGIN":
                self._state, self._pending = "T", []
                return "COMPLETE -"
            case "ROLLBACK":
                self._state = "I"
                return "COMPLETE -"
            case "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN":
                return self._run_command(verb, rest)
            case "READ":
                server.executed.append((request_id, text))
                value = log.values.get(rest, "none")
                return f"DATAROW {value}\r\nCOMPLETE proof.{request_id}"
            case "WRITE" if not server.is_primary:
                return "ERROR READONLY not the primary"
            case "WRITE":
                item, _, value = rest.partition(" ")
                self._pending.append((request_id, item, value))
                if self._state == "I":
                    self._commit()
                return f"COMPLETE proof.{request_id}"
            case "COMMIT":
                self._state = "I"
                self._commit()
                return f"COMPLETE proof.{request_id}"
        return "COMPLETE -"

    def _commit(self) -> None:
        log = self._server.log
        for request_id, item, value in self._pending:
            log.number += 1
            log.values[item] = value
            log.ids.append(request_id)
        self._pending = []

    def _run_command(self, verb: str, rest: str) -> str:
        server = self._server
        if verb == "PAUSE":
            server.paused_term = int(rest)
        elif verb == "RESUME":
            server.paused_term = 0
        elif verb == "STEPDOWN":
            server.is_primary = False
        role = "primary" if server.is_primary else "replica"
        fields = [role, server.log.term, self._position(), server.paused_term, 0, 0, 1]
        return "DATAROW " + " ".join(map(str, fields)) + "\r\nCOMPLETE -"


class Cloud:
    """The platform's promotion service; it completes promotions immediately."""

    def __init__(self, servers: list[TextServer]) -> None:
        cloud = self
        self.servers = servers
        self.calls: list[tuple[str, int]] = []

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:  # noqa: N802
                length = int(self.headers["Content-Length"])
                body = json.loads(self.rfile.read(length))
                token = int(self.headers["Dogwoodspool-Fencing-Token"])
                self.send_response(cloud.promote(body["id"], token))
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
                return

        self._http = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._http.server_port}"
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def promote(self, name: str, token: int) -> int:
        """Handle one promotion request; return its HTTP status."""
        if self.calls and token < self.calls[-1][1]:
            return 409
        self.calls.append((name, token))
        for server in self.servers:
            server.is_primary = server.name == name
            server.paused_term = 0
        self.servers[0].log.term += 1
        return 200

    def close(self) -> None:
        """Stop answering."""
        self._http.shutdown()
        self._http.server_close()


def call(method: str, url: str, body: Any = None) -> tuple[int, Any]:
    """Make one HTTP request; follow redirects to the leader as the platform does."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT) as response:
            return response.status, json.loads(response.read() or b"{}")
    except urllib.error.HTTPError as error:
        if error.code == 307:
            return call(method, error.headers["Location"], body)
        return error.code, None
    except OSError:
        return 0, None


class TextClient:
    """One caller's connection."""

    def __init__(self, address: str, database: str, key: str = "caller") -> None:
        host, _, port = address.partition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=5.0)
        self._stream = self._socket.makefile("rwb")
        self.send(f"STARTUP {database} {key}")
        self.greeting = self.read()

    def send(self, line: str) -> None:
        """Send one message."""
        self._stream.write(f"{line}\r\n".encode())
        self._stream.flush()

    def read(self) -> str:
        """Return the next message; an empty string at the end of input."""
        return self._stream.readline().decode().rstrip("\r\n")

    def ask(self, request_id: str, text: str) -> list[str]:
        """Send one query and return the messages of its answer."""
        self.send(f"QUERY {request_id} {text}")
        messages = []
        while True:
            messages.append(self.read())
            if not messages[-1] or messages[-1].startswith("READY"):
                return messages

    def close(self) -> None:
        """Close the connection without a TERMINATE message."""
        self._socket.close()
