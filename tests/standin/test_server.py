"""Callers' statements through a stock client."""

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

from .support import KEY, StandinTestCase, fails_with, flags, run, status

CREATE = (
    "CREATE TABLE lines (id BIGINT NOT NULL AUTO_INCREMENT, body VARCHAR(64), "
    "author VARCHAR(20), PRIMARY KEY (id), UNIQUE KEY by_body (body), "
    "KEY by_author (author)) ENGINE=InnoDB DEFAULT CHARSET=utf8mb4"
)
AUTOCOMMIT, IN_TRANSACTION = 2, 1


class StatementTest(StandinTestCase):
    """What callers get back from ordinary SQL."""

    def setUp(self) -> None:
        super().setUp()
        self.server = self.start("a", role="primary")
        self.caller = self.connect(self.server)
        run(self.caller, CREATE)

    def test_counts_and_keys_are_real(self) -> None:
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

    def test_transaction_is_seen_by_others_after_its_commit(self) -> None:
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

    def test_second_writer_waits_and_gives_up(self) -> None:
        # Two callers write at once: the second gets MySQL's lock wait timeout,
        # and the first, which needs a slot for its commit, is not held up by it.
        server = self.start("c", role="primary", lock_wait_ms=50, slots=1)
        first, second = self.connect(server), self.connect(server)
        run(first, CREATE)
        first.begin()
        run(first, "INSERT INTO lines (body) VALUES ('x')")
        with fails_with(self, 1205):
            run(second, "INSERT INTO lines (body) VALUES ('y')")
        first.commit()
        run(second, "INSERT INTO lines (body) VALUES ('y')")
        self.assertEqual(run(second, "SELECT COUNT(*) FROM lines"), [(2,)])

    def test_large_result_comes_whole(self) -> None:
        sql = (
            "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
            "WHERE i < 20000) SELECT i, 'some text of a line' FROM n"
        )
        rows = run(self.caller, sql)
        self.assertEqual([row[0] for row in rows], list(range(1, 20_001)))

    def test_wrong_password_gets_no_further(self) -> None:
        with fails_with(self, 1045):
            self.connect(self.server, password="wrong")
        with fails_with(self, 1045):
            self.connect(self.server, user="nobody")


class AnnouncementTest(StandinTestCase):
    """What entry instances hear."""

    def test_announces_address_role_and_position(self) -> None:
        heard: list[Announcement] = []

        def hear(request: JsonRequest) -> JsonResponse:
            heard.append(Announcement.model_validate(request.body))
            return JsonResponse()

        entry = JsonServer(
            Address("127.0.0.1", 0),
            RequestSigner(KEY.encode()),
            [Route("POST", PATH_ANNOUNCE, hear)],
            threads=1,
        )
        entry.set_up()
        self.addCleanup(entry.unload)
        server = self.start(
            "a", role="primary", announce_to=str(entry.address), announce_interval_ms=10
        )
        run(self.connect(server), CREATE)
        self.eventually(
            lambda: bool(heard) and heard[-1].position.offset == 1, "an announcement"
        )
        self.assertEqual(heard[-1].address, str(server.address))
        self.assertIs(heard[-1].role, Role.PRIMARY)
