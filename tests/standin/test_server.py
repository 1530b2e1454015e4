"""Statements of callers through an unmodified client library."""

import contextlib
import socket
import struct
from concurrent.futures import ThreadPoolExecutor
from typing import BinaryIO, cast

from dogwoodspool_api import Announcement
from dogwoodspool_api.const import PATH_ANNOUNCE
from dogwoodspool_common import (
    Address,
    JsonRequest,
    JsonResponse,
    JsonServer,
    RequestSigner,
    Role,
    Route,
)

from .support import KEY, USER, StandinTestCase, fails_with, flags, run, status

CREATE = (
    "CREATE TABLE lines (id BIGINT NOT NULL AUTO_INCREMENT, body VARCHAR(64), "
    "author VARCHAR(20), PRIMARY KEY (id), UNIQUE KEY by_body (body), "
    "KEY by_author (author)) ENGINE=InnoDB DEFAULT CHARSET=utf8mb4"
)
AUTOCOMMIT, IN_TRANSACTION = 2, 1
ERROR_PACKET = 0xFF


class StatementTest(StandinTestCase):
    """Results of ordinary SQL statements."""

    def setUp(self) -> None:
        super().setUp()
        self.server = self.start("a", role="primary")
        self.caller = self.connect(self.server)
        run(self.caller, CREATE)

    def test_affected_rows_and_insert_ids(self) -> None:
        with self.caller.cursor() as cursor:
            sql = "INSERT INTO lines (body) VALUES (%s), (%s)"
            self.assertEqual(cursor.execute(sql, ("it's", 'a\\"\n')), 2)
            self.assertEqual(cursor.lastrowid, 1)
            self.assertEqual(cursor.execute("INSERT INTO lines VALUES (9, 'x', '')"), 1)
            self.assertEqual(cursor.execute("UPDATE lines SET author = 'me'"), 3)
            self.assertEqual(cursor.execute("DELETE FROM lines WHERE id > 5"), 1)
        rows = run(self.caller, "SELECT id, body FROM lines ORDER BY id FOR UPDATE")
        self.assertEqual(rows, [(1, "it's"), (2, 'a\\"\n')])

    def test_duplicate_key_clauses(self) -> None:
        run(self.caller, "INSERT INTO lines (body, author) VALUES ('x', 'me')")
        run(self.caller, "INSERT IGNORE INTO lines (body) VALUES ('x')")
        run(
            self.caller,
            "INSERT INTO lines (body, author) VALUES ('x', 'you') "
            "ON DUPLICATE KEY UPDATE author = VALUES(author)",
        )
        rows = run(self.caller, "SELECT body, author FROM lines")
        self.assertEqual(rows, [("x", "you")])

    def test_errors_have_mysql_numbers(self) -> None:
        run(self.caller, "INSERT INTO lines (body) VALUES ('x')")
        cases = {
            "INSERT INTO lines (body) VALUES ('x')": 1062,
            "SELECT * FROM missing": 1146,
            "SELECT missing FROM lines": 1054,
            "SELECT FROM WHERE": 1064,
            "SELEKT 1": 1064,
            "SELECT @@missing": 1193,
            "STANDIN PROMOTE": 1064,
        }
        for sql, number in cases.items():
            with self.subTest(sql), fails_with(self, number):
                run(self.caller, sql)

    def test_transaction_is_visible_to_others_only_after_commit(self) -> None:
        other = self.connect(self.server)
        self.caller.begin()
        run(self.caller, "INSERT INTO lines (body) VALUES ('x')")
        self.assertTrue(flags(self.caller) & IN_TRANSACTION)
        self.assertEqual(run(other, "SELECT * FROM lines"), [])
        offset = status(other)["offset"]
        self.caller.commit()
        self.assertFalse(flags(self.caller) & IN_TRANSACTION)
        self.assertEqual(len(run(other, "SELECT * FROM lines")), 1)
        self.assertEqual(status(other)["offset"], offset + 1)

    def test_autocommit_off_opens_a_transaction(self) -> None:
        caller = self.connect(self.server, autocommit=False)
        self.assertFalse(flags(caller) & AUTOCOMMIT)
        run(caller, "INSERT INTO lines (body) VALUES ('x')")
        self.assertTrue(flags(caller) & IN_TRANSACTION)
        caller.rollback()
        self.assertEqual(run(self.caller, "SELECT * FROM lines"), [])

    def test_second_writer_times_out_waiting_for_the_lock(self) -> None:
        server = self.start("c", role="primary", lock_wait_ms=50)
        first, second = self.connect(server), self.connect(server)
        run(first, CREATE)
        first.begin()
        run(first, "INSERT INTO lines (body) VALUES ('x')")
        with fails_with(self, 1205):
            run(second, "INSERT INTO lines (body) VALUES ('y')")
        first.commit()
        run(second, "INSERT INTO lines (body) VALUES ('y')")
        self.assertEqual(run(second, "SELECT COUNT(*) FROM lines"), [(2,)])

    def test_waiting_writer_holds_no_slot(self) -> None:
        # One caller is in a transaction while another waits to write. If the second
        # held the only slot while it waits, the first one's commit would wait for
        # the slot and the second for the commit, until the second times out.
        server = self.start("c", role="primary", lock_wait_ms=2_000, slots=1)
        first, second = self.connect(server), self.connect(server)
        run(first, CREATE)
        first.begin()
        run(first, "INSERT INTO lines (body) VALUES ('x')")
        statements = server.diagnostics.collect()["statements"]
        with ThreadPoolExecutor(1) as pool:
            sql = "INSERT INTO lines (body) VALUES ('y')"
            waiting = pool.submit(run, second, sql)
            self.eventually(
                lambda: server.diagnostics.collect()["statements"] > statements,
                "the second writer has sent its statement",
            )
            first.commit()
            waiting.result()
        self.assertEqual(run(first, "SELECT COUNT(*) FROM lines"), [(2,)])

    def test_large_result_is_complete(self) -> None:
        sql = (
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
            "WHERE i < 20000) SELECT i, 'some text of a line' FROM n"
        )
        rows = run(self.caller, sql)
        self.assertEqual([row[0] for row in rows], list(range(1, 20_001)))

    def test_wrong_password_is_refused(self) -> None:
        with fails_with(self, 1045):
            self.connect(self.server, password="wrong")
        with fails_with(self, 1045):
            self.connect(self.server, user="nobody")

    def test_statement_after_a_refused_login_gets_no_answer(self) -> None:
        # A client sends a wrong password, ignores the refusal and sends a statement.
        # If it were answered, the client could read and write without a password.
        address = self.server.address
        with socket.create_connection((address.host, address.port), 10) as sock:
            stream = cast(BinaryIO, sock.makefile("rwb"))
            read_packet(stream)
            # PROTOCOL_41 | SECURE_CONNECTION | PLUGIN_AUTH, maximum packet size,
            # character set.
            head = struct.pack("<IIB23x", 0x88200, 1 << 24, 45)
            body = head + USER.encode() + b"\0\x14" + b"x" * 20
            body += b"mysql_native_password\0"
            stream.write(struct.pack("<I", len(body) | 1 << 24) + body)
            stream.flush()
            self.assertEqual(read_packet(stream)[0], ERROR_PACKET)
            query = b"\x03SELECT 1"
            stream.write(struct.pack("<I", len(query)) + query)
            with contextlib.suppress(ConnectionError):
                stream.flush()
                self.assertEqual(stream.read(), b"")


def read_packet(stream: BinaryIO) -> bytes:
    """Read one packet of MySQL's protocol."""
    (header,) = struct.unpack("<I", stream.read(4))
    return stream.read(header & 0xFFFFFF)


class AnnouncementTest(StandinTestCase):
    """Announcements that entry instances receive."""

    def test_announces_address_role_and_position(self) -> None:
        received: list[Announcement] = []

        def record_announcement(request: JsonRequest) -> JsonResponse:
            received.append(Announcement.model_validate(request.body))
            return JsonResponse()

        entry = JsonServer(
            Address("127.0.0.1", 0),
            RequestSigner(KEY.encode()),
            [Route("POST", PATH_ANNOUNCE, record_announcement)],
            threads=1,
        )
        entry.set_up()
        self.addCleanup(entry.unload)
        server = self.start(
            "a", role="primary", announce_to=str(entry.address), announce_interval_ms=10
        )
        run(self.connect(server), CREATE)
        self.eventually(
            lambda: bool(received) and received[-1].position.offset == 1,
            "an announcement",
        )
        self.assertEqual(received[-1].address, str(server.address))
        self.assertIs(received[-1].role, Role.PRIMARY)
