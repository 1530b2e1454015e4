"""Tests of the classification of statements."""

import unittest

from dogwoodspool_gateway import StatementKind, classify


class ClassifyTests(unittest.TestCase):
    """Guard against classifying a statement that may write as a plain read."""

    def assert_kind(self, kind: StatementKind, statements: list[str]) -> None:
        for sql in statements:
            with self.subTest(sql):
                self.assertIs(classify(sql).kind, kind)

    def test_plain_reads(self) -> None:
        self.assert_kind(
            StatementKind.READ,
            [
                "SELECT 1",
                "select * from a where b = 'FOR UPDATE; DELETE'",
                "SELECT COUNT(*) FROM t WHERE x IN (1, 2) AND (y = 1)",
                "WITH x AS (SELECT 1) SELECT * FROM x",
                "(SELECT 1) UNION (SELECT 2)",
                "SHOW TABLES",
                "SELECT body FROM lines -- INSERT",
            ],
        )

    def test_statements_that_may_write(self) -> None:
        self.assert_kind(
            StatementKind.WRITE,
            [
                "INSERT INTO t VALUES (1)",
                "SELECT * FROM t FOR UPDATE",
                "SELECT * FROM t LOCK IN SHARE MODE",
                "SELECT stored_function(1)",
                "SELECT `COUNT` (1)",
                "SELECT 1 INTO OUTFILE 'x'",
                "WITH x AS (SELECT 1) DELETE FROM t",
                "EXPLAIN ANALYZE DELETE FROM t",
                "CALL p()",
                "nonsense",
                "SELECT 'cut short",
            ],
        )

    def test_statements_that_leave_connection_state_are_unsupported(self) -> None:
        self.assert_kind(
            StatementKind.UNSUPPORTED,
            [
                "SELECT 1; COMMIT",
                "SELECT /*!50000 1 */",
                "SET @x = 1",
                "SELECT @x := 1",
                "SELECT GET_LOCK('a', 1)",
                "LOCK TABLES t WRITE",
                "CREATE TEMPORARY TABLE t (id INT)",
                "SET GLOBAL max_connections = 1",
                "START REPLICA",
            ],
        )

    def test_statements_that_drivers_send_automatically(self) -> None:
        self.assert_kind(StatementKind.AUTOCOMMIT_OFF, ["SET AUTOCOMMIT = 0"])
        self.assert_kind(StatementKind.AUTOCOMMIT_ON, ["SET @@session.autocommit = ON"])
        self.assert_kind(
            StatementKind.IGNORED,
            ["SET NAMES 'utf8mb4' COLLATE 'x'", "/*!40101 SET NAMES utf8 */", ";"],
        )
        self.assert_kind(
            StatementKind.LOCAL_SELECT,
            ["SELECT @@dogwoodspool_session", "select @@version_comment limit 1"],
        )
