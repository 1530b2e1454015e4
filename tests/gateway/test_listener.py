"""Tests of the callers' listener with standard drivers."""

import asyncio
import contextlib
import datetime
import select
import socket
import ssl
import struct
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, BinaryIO
from unittest import mock

import mysql.connector
import pymysql
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from dogwoodspool_common import Address, DogwoodspoolError, SystemClock
from dogwoodspool_gateway import (
    Answer,
    AnswerColumn,
    CallerListener,
    DoneAnswer,
    ErrorAnswer,
    Outcome,
    RowsAnswer,
    StatementRequest,
    hash_password,
)
from pymysql.constants import CLIENT

PASSWORD = "secret word"
WAIT_SECONDS = 30
HANDSHAKE_LIMIT = "dogwoodspool_gateway.listener.HANDSHAKE_DRAIN_SECONDS"
COLUMNS = (AnswerColumn("n", 8, 63), AnswerColumn("text", 253, 255))


class FakeSession:
    """Fake session whose answer is selected by the statement's last word."""

    in_transaction = False
    is_autocommit = True

    def __init__(self, owner: "FakeSessions") -> None:
        self._owner = owner

    def use(self, _database: str) -> ErrorAnswer | None:
        """Accept any database."""
        return None

    def run(self, request: StatementRequest) -> Answer:
        """Return rows, an error or the completion of a write."""
        self._owner.requests.append(request)
        match request.sql.split()[-1]:
            case "fail":
                return ErrorAnswer(Outcome.FAILED, 1062, "23000", "duplicate")
            case "break":
                return RowsAnswer(COLUMNS, interrupted_rows(), self._owner.finish)
            case "hold":
                rows = held_rows(self._owner)
                return RowsAnswer(COLUMNS, rows, self._owner.finish)
            case "wait":
                self._owner.is_waiting.set()
                self._owner.may_end.wait(10)
                return DoneAnswer(1, 7)
            case count if count.isdigit():
                rows = ((str(n).encode(), b"x" * 100) for n in range(int(count)))
                return RowsAnswer(COLUMNS, rows, self._owner.finish)
        return DoneAnswer(3, 7)

    def reset(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Count closed sessions."""
        self._owner.closed += 1


class FakeSessions:
    """Fake session factory that records requests and finished results."""

    def __init__(self) -> None:
        self.requests: list[StatementRequest] = []
        self.finished: list[bool] = []
        self.closed = 0
        self.is_waiting = threading.Event()
        self.may_end = threading.Event()

    def open(self, _user: str) -> FakeSession:
        """Return a fake session."""
        return FakeSession(self)

    def password_hash(self, user: str) -> str | None:
        """Return the hash of the only known caller."""
        return hash_password(PASSWORD) if user == "app" else None

    def finish(self, is_complete: bool) -> None:
        """Record how a result ended."""
        self.finished.append(is_complete)


def interrupted_rows() -> Iterator[Sequence[bytes | str | None]]:
    """Yield rows and then fail as if the backend server were lost."""
    for number in range(1_000):
        yield (str(number).encode(), b"x")
    raise DogwoodspoolError("connection to the server lost")


def held_rows(owner: FakeSessions) -> Iterator[Sequence[bytes | str | None]]:
    """Yield rows and wait between two batches."""
    for number in range(1_000):
        if number == 600:
            owner.is_waiting.set()
            owner.may_end.wait(10)
        yield (str(number).encode(), b"x")


def close_quietly(
    connection: "pymysql.connections.Connection[pymysql.cursors.Cursor]",
) -> None:
    """Close a connection that may already be closed."""
    with contextlib.suppress(pymysql.MySQLError):
        connection.close()


class ListenerTestCase(unittest.TestCase):
    """Set up a listener with fake sessions."""

    tls: ssl.SSLContext | None = None

    def setUp(self) -> None:
        self.sessions = FakeSessions()
        self.listener = CallerListener(
            Address("127.0.0.1", 0), self.sessions, SystemClock(), tls=self.tls
        )
        self.listener.set_up()
        self.unloading = threading.Thread(target=self.listener.unload, daemon=True)
        self.addCleanup(self.unload)

    def unload(self) -> None:
        if self.unloading.ident is None:
            self.unloading.start()
        self.unloading.join(WAIT_SECONDS)
        self.assertFalse(self.unloading.is_alive())

    def connect(
        self, **options: object
    ) -> "pymysql.connections.Connection[pymysql.cursors.Cursor]":
        merged: dict[str, Any] = {"user": "app", "password": PASSWORD, **options}
        connection = pymysql.connect(
            host="127.0.0.1",
            port=self.listener.address.port,
            autocommit=True,
            **merged,
        )
        self.addCleanup(close_quietly, connection)
        return connection


class AnswerTests(ListenerTestCase):
    """Guard against incomplete or altered answers to standard drivers."""

    def test_write_returns_affected_rows_and_insert_id(self) -> None:
        with self.connect().cursor() as cursor:
            self.assertEqual(cursor.execute("UPDATE t SET a = b"), 3)
            self.assertEqual(cursor.lastrowid, 7)

    def test_error_contains_number_and_outcome(self) -> None:
        with (
            self.connect().cursor() as cursor,
            self.assertRaisesRegex(pymysql.err.IntegrityError, "1062, 'failed: dup"),
        ):
            cursor.execute("INSERT fail")

    def test_results_of_any_length_are_complete(self) -> None:
        with self.connect().cursor() as cursor:
            for count in (0, 1, 511, 512, 513, 20_000):
                with self.subTest(count):
                    cursor.execute(f"SELECT {count}")
                    numbers = [row[0] for row in cursor.fetchall()]
                    self.assertEqual(numbers, list(range(count)))
        self.assertEqual(set(self.sessions.finished), {True})

    def test_interrupted_result_is_an_error(self) -> None:
        # The backend server fails in the middle of a result. If the rows received so
        # far were followed by an end marker, the caller would consider the result
        # complete.
        connection = self.connect()
        with connection.cursor() as cursor:
            with self.assertRaisesRegex(pymysql.MySQLError, "unknown: "):
                cursor.execute("SELECT break")
            cursor.execute("SELECT 2")
            self.assertEqual(len(cursor.fetchall()), 2)

    def test_prepared_parameters_are_escaped(self) -> None:
        connection = mysql.connector.connect(
            host="127.0.0.1",
            port=self.listener.address.port,
            user="app",
            password=PASSWORD,
            use_pure=True,
        )
        cursor = connection.cursor(prepared=True)
        cursor.execute("INSERT INTO t VALUES (?, '?')", ("it's ? \\",))
        expected = "INSERT INTO t VALUES ('it\\'s ? \\\\', '?')"
        self.assertEqual(self.sessions.requests[-1].sql, expected)
        connection.close()


class AuthenticationTests(ListenerTestCase):
    """Guard against access by callers whose authentication failed."""

    def test_refusal_does_not_reveal_known_names(self) -> None:
        for user, password in (("app", "wrong"), ("app", ""), ("nobody", "")):
            with (
                self.subTest(user=user, password=password),
                self.assertRaisesRegex(pymysql.MySQLError, "1045.*Access denied"),
            ):
                self.connect(user=user, password=password)
        self.assertEqual(self.sessions.requests, [])


class DrainTests(ListenerTestCase):
    """Guard against a shutdown that interrupts requests in flight."""

    def test_statement_in_flight_is_answered(self) -> None:
        busy, idle = self.connect(), self.connect()
        counts: list[int] = []
        running = threading.Thread(
            target=lambda: counts.append(busy.cursor().execute("UPDATE wait"))
        )
        running.start()
        self.assertTrue(self.sessions.is_waiting.wait(10))
        drained: list[bool] = []
        draining = threading.Thread(target=lambda: drained.append(self.drain()))
        draining.start()
        # An idle caller sends a request while the shutdown closes its connection. It
        # is answered as not run and must not have run.
        with (
            idle.cursor() as cursor,
            self.assertRaisesRegex(pymysql.MySQLError, "1053, 'not-run: "),
        ):
            for _attempt in range(1_000):
                cursor.execute("UPDATE t")
                time.sleep(0.01)
        run_before = len(self.sessions.requests)
        self.sessions.may_end.set()
        running.join(10)
        draining.join(10)
        self.assertEqual((counts, drained), ([1], [True]))
        self.assertEqual(len(self.sessions.requests), run_before)

    def drain(self) -> bool:
        return self.listener.drain(10)


class LateCallerTests(ListenerTestCase):
    """Guard against callers that connect as a drain begins and are never told of it."""

    def setUp(self) -> None:
        super().setUp()
        self.address = ("127.0.0.1", self.listener.address.port)
        self.drained: list[tuple[bool, int]] = []

    @mock.patch(HANDSHAKE_LIMIT, WAIT_SECONDS)
    def test_caller_in_its_handshake_is_told_not_run(self) -> None:
        arrived = self.arrive()
        self.assertTrue(arrived.recv(1, socket.MSG_PEEK), "no greeting")
        draining = self.start_drain()
        self.await_closed_listener()
        self.assert_refused(arrived)
        draining.join(WAIT_SECONDS)
        self.assertEqual(self.drained, [(True, 0)])

    @mock.patch(HANDSHAKE_LIMIT, WAIT_SECONDS)
    def test_caller_accepted_as_the_drain_begins_is_counted(self) -> None:
        # The event loop accepts the connection between the request of the drain and
        # its begin, so that nothing of it has run yet when the drain counts.
        with self.paused_loop():
            arrived = self.arrive()
            self.await_arrival()
            draining = self.start_drain()
        self.assert_refused(arrived)
        draining.join(WAIT_SECONDS)
        self.assertEqual(self.drained, [(True, 0)])

    def test_caller_accepted_as_the_listener_stops_is_closed(self) -> None:
        with socket.create_connection(self.address, WAIT_SECONDS) as before:
            self.assertTrue(before.recv(1, socket.MSG_PEEK), "no greeting")
            with self.paused_loop():
                arrived = socket.create_connection(self.address, WAIT_SECONDS)
                self.await_arrival()
                self.await_scheduled(self.unloading)
            with arrived:
                while arrived.recv(4096):
                    pass
            self.unload()

    @mock.patch(HANDSHAKE_LIMIT, 0.0)
    def test_caller_that_sends_no_login_does_not_hold_up_the_drain(self) -> None:
        arrived = self.arrive()
        self.assertTrue(arrived.recv(1, socket.MSG_PEEK), "no greeting")
        draining = self.start_drain(timeout=3_600)
        draining.join(WAIT_SECONDS)
        self.assertEqual(self.drained, [(True, 0)])

    def arrive(self) -> socket.socket:
        """Connect without the handshake of the protocol."""
        arrived = socket.create_connection(self.address, WAIT_SECONDS)
        self.addCleanup(arrived.close)
        return arrived

    def await_arrival(self) -> None:
        """Wait until a connection can be accepted."""
        server: asyncio.Server = vars(self.listener)["_server"]
        ready, _, _ = select.select(server.sockets, [], [], WAIT_SECONDS)
        self.assertTrue(ready, "no connection has arrived")

    def start_drain(self, timeout: float = WAIT_SECONDS) -> threading.Thread:
        """Start a drain in a thread; return once the event loop knows of it."""

        def drain() -> None:
            is_complete = self.listener.drain(timeout)
            self.drained.append((is_complete, self.listener.callers))

        draining = threading.Thread(target=drain, daemon=True)
        self.await_scheduled(draining)
        return draining

    def await_scheduled(self, thread: threading.Thread) -> None:
        """Start a thread; return once it has given the event loop something to do."""
        loop: asyncio.AbstractEventLoop = vars(self.listener)["_loop"]
        is_scheduled = threading.Event()
        schedule = loop.call_soon_threadsafe

        def schedule_and_tell(*args: Any, **options: Any) -> asyncio.Handle:
            handle = schedule(*args, **options)
            is_scheduled.set()
            return handle

        with mock.patch.object(loop, "call_soon_threadsafe", schedule_and_tell):
            thread.start()
            self.assertTrue(is_scheduled.wait(WAIT_SECONDS))

    @contextlib.contextmanager
    def paused_loop(self) -> Iterator[None]:
        """Keep the event loop from running anything."""
        loop: asyncio.AbstractEventLoop = vars(self.listener)["_loop"]
        is_paused, may_go_on = threading.Event(), threading.Event()

        def pause() -> None:
            is_paused.set()
            may_go_on.wait(WAIT_SECONDS)

        loop.call_soon_threadsafe(pause)
        self.assertTrue(is_paused.wait(WAIT_SECONDS))
        try:
            yield
        finally:
            may_go_on.set()

    def await_closed_listener(self) -> None:
        """Wait until the drain has begun, so that no further caller is accepted."""
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            try:
                self.arrive().close()
            except ConnectionError:
                return
            time.sleep(0.01)
        self.fail("the listener still accepts callers")

    def assert_refused(self, arrived: socket.socket) -> None:
        """Log in on a connection and expect the first request to be refused."""
        connection = pymysql.connect(
            user="app", password=PASSWORD, defer_connect=True, read_timeout=WAIT_SECONDS
        )
        self.addCleanup(close_quietly, connection)
        with self.assertRaisesRegex(pymysql.MySQLError, "1053, 'not-run: "):
            connection.connect(arrived)
            connection.cursor().execute("UPDATE t")
        self.assertEqual(self.sessions.requests, [])


class DrainLimitTests(ListenerTestCase):
    """Guard against requests that end without an answer at the limit of a drain."""

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(self.sessions.may_end.set)

    def test_statement_that_still_runs_is_answered_as_in_doubt(self) -> None:
        caller = self.connect(read_timeout=WAIT_SECONDS)
        errors: list[Exception] = []

        def run() -> None:
            try:
                caller.cursor().execute("UPDATE wait")
            except pymysql.MySQLError as error:
                errors.append(error)

        running = threading.Thread(target=run, daemon=True)
        running.start()
        self.assertTrue(self.sessions.is_waiting.wait(WAIT_SECONDS))
        self.assertFalse(self.listener.drain(0))
        self.unloading.start()
        running.join(WAIT_SECONDS)
        self.assertEqual(len(errors), 1)
        self.assertRegex(str(errors[0]), "2013, 'unknown: .*shut down")

    def test_later_answer_is_dropped(self) -> None:
        caller = self.connect(read_timeout=WAIT_SECONDS)
        received = self.send_raw(caller, "UPDATE wait")
        self.assertTrue(self.sessions.is_waiting.wait(WAIT_SECONDS))
        self.assertFalse(self.listener.drain(0))
        self.unloading.start()
        data = received.read(1)
        self.sessions.may_end.set()
        data += received.read()
        length = int.from_bytes(data[:3], "little")
        self.assertIn(b"unknown: ", data)
        self.assertEqual(len(data), 4 + length, "more than one packet")

    def test_result_that_is_being_sent_ends_as_in_doubt(self) -> None:
        caller = self.connect(read_timeout=WAIT_SECONDS)
        received = self.send_raw(caller, "SELECT hold")
        self.assertTrue(self.sessions.is_waiting.wait(WAIT_SECONDS))
        self.assertFalse(self.listener.drain(0))
        self.unloading.start()
        packets: list[bytes] = []
        while header := received.read(4):
            self.assertEqual(header[3], (len(packets) + 1) % 256, "sequence number")
            packets.append(received.read(int.from_bytes(header[:3], "little")))
        self.assertGreater(len(packets), 500)
        self.assertIn(b"unknown: ", packets[-1])

    def test_idle_caller_is_told_not_run(self) -> None:
        caller = self.connect(read_timeout=WAIT_SECONDS)
        with caller.cursor() as cursor:
            cursor.execute("UPDATE t")
        self.assertFalse(self.listener.drain(0))
        self.unload()
        with (
            caller.cursor() as cursor,
            self.assertRaisesRegex(pymysql.MySQLError, "1053, 'not-run: "),
        ):
            cursor.execute("UPDATE t")

    def send_raw(
        self,
        caller: "pymysql.connections.Connection[pymysql.cursors.Cursor]",
        sql: str,
    ) -> BinaryIO:
        """Send a statement; return what the caller receives from then on."""
        connected: socket.socket = vars(caller)["_sock"]
        packet = b"\3" + sql.encode()
        connected.sendall(len(packet).to_bytes(4, "little") + packet)
        received = connected.makefile("rb")
        self.addCleanup(received.close)
        return received


class CloseIdleTests(ListenerTestCase):
    """Closing of idle connections, so that callers reconnect to another proxy."""

    def test_share_of_idle_connections_is_closed(self) -> None:
        callers = [self.connect() for _ in range(4)]
        self.assertEqual(self.listener.close_idle(0.25), 1)
        served = 0
        for caller in callers:
            try:
                caller.cursor().execute("UPDATE t")
            except pymysql.MySQLError as error:
                self.assertRegex(str(error), "not-run: ")
            else:
                served += 1
        self.assertEqual(served, 3)

    def test_statement_in_flight_is_answered(self) -> None:
        busy = self.connect()
        counts: list[int] = []
        running = threading.Thread(
            target=lambda: counts.append(busy.cursor().execute("UPDATE wait"))
        )
        running.start()
        self.assertTrue(self.sessions.is_waiting.wait(10))
        self.assertEqual(self.listener.close_idle(1.0), 0)
        self.sessions.may_end.set()
        running.join(10)
        self.assertEqual(counts, [1])


def tls_context(folder: Path) -> tuple[ssl.SSLContext, Path]:
    """Return a server's TLS context and the certificate that callers trust."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    pem, key_pem = folder / "cert.pem", folder / "key.pem"
    pem.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_pem.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(pem, key_pem)
    return context, pem


class TlsTests(ListenerTestCase):
    """TLS connections of callers."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.tls, self.certificate = tls_context(Path(folder.name))
        super().setUp()

    def test_tls_record_sent_with_the_tls_request_is_not_lost(self) -> None:
        # Guards against TLS handshakes that fail intermittently for fast callers, when
        # their first TLS record is read together with the TLS request.
        with socket.create_connection(("127.0.0.1", self.listener.address.port)) as raw:
            raw.recv(4096)
            incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
            context = ssl.create_default_context(cafile=str(self.certificate))
            context.check_hostname = False
            tls = context.wrap_bio(incoming, outgoing)
            with self.assertRaises(ssl.SSLWantReadError):
                tls.do_handshake()
            capabilities = CLIENT.SSL | CLIENT.PROTOCOL_41 | CLIENT.SECURE_CONNECTION
            request = struct.pack("<iIB23s", capabilities, 2**24, 45, b"")
            header = len(request).to_bytes(3, "little") + b"\1"
            raw.sendall(header + request + outgoing.read())
            raw.settimeout(5)
            incoming.write(raw.recv(65536))
            tls.do_handshake()
        self.assertEqual(tls.version(), "TLSv1.3")

    def test_statements_over_tls(self) -> None:
        connection = self.connect(
            ssl={"ca": str(self.certificate), "check_hostname": False}
        )
        self.assertIn("TLS", str(vars(connection)["_sock"].version()))
        with connection.cursor() as cursor:
            cursor.execute("SELECT 600")
            self.assertEqual(len(cursor.fetchall()), 600)

    def test_caller_that_trusts_another_certificate_cannot_connect(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            _, other = tls_context(Path(folder))
            with self.assertRaises(pymysql.MySQLError):
                self.connect(ssl={"ca": str(other), "check_hostname": False})
