"""Replication, changes of the primary and the rows that they drop."""

import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import pymysql
from dogwoodspool_standin import FaultsRequest, StandinServer, const

from .support import (
    Connection,
    StandinTestCase,
    command,
    fails_with,
    run,
    status,
)

CREATE = (
    "CREATE TABLE lines (id INT AUTO_INCREMENT PRIMARY KEY, body VARCHAR(20), "
    "at DATETIME(3) DEFAULT CURRENT_TIMESTAMP) ENGINE=InnoDB"
)
ALL = "SELECT * FROM lines ORDER BY id"


def add(caller: Connection, body: str) -> None:
    """Write one row."""
    run(caller, f"INSERT INTO lines (body) VALUES ('{body}')")


def wait(caller: Connection, term: int, offset: int, timeout_ms: int = 5_000) -> bool:
    """Wait for a position and return whether it was reached."""
    sql = f"STANDIN WAIT TERM {term} OFFSET {offset} TIMEOUT {timeout_ms}"
    row = command(caller, sql)
    return bool(row["term"] >= term and row["offset"] >= offset)


class ReplicationTest(StandinTestCase):
    """A replica receives its primary's rows with a delay."""

    def test_replica_has_the_same_rows_and_rejects_writes(self) -> None:
        primary, replica = self.start_pair()
        writer, reader = self.connect(primary), self.connect(replica)
        run(writer, CREATE)
        writer.begin()
        add(writer, "a")
        run(writer, "SAVEPOINT s")
        add(writer, "dropped")
        run(writer, "ROLLBACK TO SAVEPOINT s")
        run(writer, "INSERT INTO lines (id, body, at) VALUES (7, 'b', NOW())")
        writer.commit()
        self.assertTrue(wait(reader, 1, 2))
        rows = run(reader, ALL)
        self.assertEqual([row[:2] for row in rows], [(1, "a"), (7, "b")])
        self.assertEqual(rows, run(writer, ALL), "times differ")
        with fails_with(self, 1290):
            add(reader, "c")

    def test_reported_lag_is_an_upper_bound_of_the_data_age(self) -> None:
        primary, replica = self.start_pair(replication_lag_ms=300)
        writer, reader = self.connect(primary), self.connect(replica)
        run(writer, CREATE)
        self.assertTrue(wait(reader, 1, 1))
        started = time.monotonic()
        add(writer, "a")
        written = time.monotonic()
        while not run(reader, ALL):
            age_ms = (time.monotonic() - written) * 1000
            self.assertGreaterEqual(status(reader)["lag_ms"], min(age_ms, 299))
        self.assertGreaterEqual(time.monotonic() - started, 0.3)
        self.assertEqual(status(writer)["lag_ms"], 0)

    def test_replica_that_never_caught_up_reports_no_lag(self) -> None:
        reader = self.connect(self.start("b"))
        self.assertIsNone(status(reader)["lag_ms"])
        self.assertFalse(wait(reader, 1, 1, timeout_ms=10))

    def test_failed_link_is_reopened(self) -> None:
        # A primary is restarted. Its replica detects the end of the link, retries
        # with backoff and must also receive the writes after the restart.
        primary, replica = self.start_pair()
        reader = self.connect(replica)
        address = str(primary.address)
        run(self.connect(primary), CREATE)
        self.assertTrue(wait(reader, 1, 1))
        self.stop(primary)
        restarted = self.start("a", listen=address)
        add(self.connect(restarted), "a")
        self.assertTrue(wait(reader, 1, 2))


class PromotionTest(StandinTestCase):
    """Rows that a change of the primary keeps, and rows that it drops."""

    def setUp(self) -> None:
        super().setUp()
        self.old, self.new = self.start_pair()
        self.old_writer = self.connect(self.old)
        self.new_writer = self.connect(self.new)
        run(self.old_writer, CREATE)
        add(self.old_writer, "kept")
        self.assertTrue(wait(self.new_writer, 1, 2))

    def promote(self) -> None:
        row = command(self.new_writer, "STANDIN PROMOTE TERM 2")
        self.assertEqual((row["role"], row["term"]), ("primary", 2))

    def follow(self, server: StandinServer) -> Connection:
        """Make a server follow the new primary; connect once it has its term."""
        command(self.connect(server), f"STANDIN FOLLOW '{self.new.address}' TERM 2")
        self.eventually(
            lambda: server.diagnostics.collect()["status"]["term"] == 2, "new term"
        )
        return self.connect(server)

    def test_diverged_tail_is_dropped(self) -> None:
        # A primary that was cut off accepted a write that no replica has, while
        # another server became primary. Once the old one follows the new one, no
        # read on it may return the lost row and no earlier connection may survive.
        self.promote()
        add(self.old_writer, "lost")
        add(self.new_writer, "new")
        add(self.new_writer, "newer")
        reader = self.follow(self.old)
        self.assertTrue(wait(reader, 2, 4))
        self.assertEqual(run(reader, ALL), run(self.new_writer, ALL))
        self.assertEqual([r[1] for r in run(reader, ALL)], ["kept", "new", "newer"])
        with self.assertRaises(pymysql.OperationalError):
            run(self.old_writer, ALL)

    def test_long_wait_does_not_delay_the_replay(self) -> None:
        # A caller waits on the old primary for a position that is reached late or
        # never, while that server has rows to drop. If the server waited for the
        # caller, it would continue to return rows that were lost.
        self.promote()
        add(self.old_writer, "lost")
        waiter = self.connect(self.old, read_timeout=60)
        with ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(wait, waiter, 2, 1_000, timeout_ms=60_000)
            self.follow(self.old)
            with self.assertRaises(pymysql.OperationalError):
                waiting.result()

    def test_common_log_is_kept(self) -> None:
        # The old primary has no row that the new one lacks, so callers stay
        # connected.
        self.promote()
        add(self.new_writer, "new")
        reader = self.follow(self.old)
        self.assertTrue(wait(reader, 2, 3))
        self.assertEqual([r[1] for r in run(self.old_writer, ALL)], ["kept", "new"])

    def test_log_longer_than_that_of_the_primary_is_dropped(self) -> None:
        # The old primary is ahead of the new one, which has not written yet.
        self.promote()
        add(self.old_writer, "lost")
        reader = self.follow(self.old)
        self.assertTrue(wait(reader, 2, 2))
        self.eventually(
            lambda: [r[1] for r in run(reader, ALL)] == ["kept"], "only the kept row"
        )
        self.assertEqual(status(reader)["offset"], 2)

    def test_promotion_is_idempotent_and_refuses_older_terms(self) -> None:
        self.promote()
        self.promote()
        with fails_with(self, 1231):
            command(self.new_writer, "STANDIN PROMOTE TERM 1")
        with fails_with(self, 1231):
            command(self.new_writer, f"STANDIN FOLLOW '{self.old.address}' TERM 1")
        add(self.new_writer, "still primary")

    def test_fence_rejects_commit_of_an_open_transaction(self) -> None:
        # A caller of the old primary is in a transaction while control fences
        # the term. If its commit were still accepted, an acknowledged row would be
        # missing at the new primary.
        self.old_writer.begin()
        add(self.old_writer, "late")
        fencer = self.connect(self.old)
        command(fencer, "STANDIN FENCE TERM 2")
        with fails_with(self, 1290):
            self.old_writer.commit()
        with fails_with(self, 1290):
            add(fencer, "later")
        self.assertEqual([r[1] for r in run(fencer, ALL)], ["kept"])
        command(fencer, "STANDIN PROMOTE TERM 2")
        add(fencer, "in the new term")

    def test_abandoned_transaction_does_not_block_replication(self) -> None:
        # The caller of an open transaction on the old primary never returns. Its
        # write lock must not block replication.
        self.old_writer.begin()
        add(self.old_writer, "late")
        self.promote()
        add(self.new_writer, "new")
        reader = self.follow(self.old)
        self.assertTrue(wait(reader, 2, 3))
        self.assertEqual([r[1] for r in run(reader, ALL)], ["kept", "new"])

    def test_source_of_an_older_term_is_rejected(self) -> None:
        # A replica is told to follow a server as the primary of term 2 before
        # that server is promoted. It must not accept entries of term 1 under
        # term 2, because they may not belong to the new term.
        reader = self.new_writer
        command(reader, f"STANDIN FOLLOW '{self.old.address}' TERM 2")
        add(self.old_writer, "of term 1")
        self.assertFalse(wait(reader, 1, 3, timeout_ms=200))
        command(self.old_writer, "STANDIN PROMOTE TERM 2")
        self.assertTrue(wait(reader, 2, 3))

    def test_old_primary_restarts_with_its_saved_role(self) -> None:
        self.promote()
        add(self.old_writer, "lost")
        self.stop(self.old)
        restarted = self.start("a", role="replica", follow=str(self.new.address))
        row = status(self.connect(restarted))
        self.assertEqual((row["role"], row["term"], row["offset"]), ("primary", 1, 3))

    def test_promotion_and_fence_survive_a_restart(self) -> None:
        self.promote()
        command(self.old_writer, "STANDIN FENCE TERM 2")
        addresses = str(self.old.address), str(self.new.address)
        self.stop(self.old)
        self.stop(self.new)
        old = self.connect(self.start("a", listen=addresses[0]))
        new = self.connect(self.start("b", listen=addresses[1]))
        with fails_with(self, 1290):
            add(old, "under the old term")
        add(new, "under the new term")

    def test_unresponsive_old_primary_does_not_delay_a_replica(self) -> None:
        # A replica waits for an answer of its unresponsive primary when it is told
        # to follow another one. If it continued to wait, the first write of the
        # new primary would have no second copy until a timeout.
        with mock.patch.object(const, "REPLICATION_TIMEOUT", 60):
            reader = self.connect(self.start("c", follow=str(self.old.address)))
            self.assertTrue(wait(reader, 1, 2))
            self.old.faults.apply(FaultsRequest(freeze=True))
            time.sleep(0.1)  # Longer than a pull waits for a new entry.
            self.promote()
            add(self.new_writer, "new")
            command(reader, f"STANDIN FOLLOW '{self.new.address}' TERM 2")
            self.assertTrue(wait(reader, 2, 3))

    def test_restarted_replica_resumes_replication(self) -> None:
        self.stop(self.new)
        add(self.old_writer, "meanwhile")
        restarted = self.start("b", role="primary")
        reader = self.connect(restarted)
        self.assertTrue(wait(reader, 1, 3))
        self.assertEqual(status(reader)["role"], "replica")

    def test_lag_grows_while_replication_is_stopped(self) -> None:
        self.new.faults.apply(FaultsRequest(stop_replication=True))
        add(self.old_writer, "unseen")
        before = status(self.new_writer)
        self.assertFalse(wait(self.new_writer, 1, 3, timeout_ms=200))
        self.assertGreaterEqual(
            status(self.new_writer)["lag_ms"], before["lag_ms"] + 100
        )
        self.new.faults.apply(FaultsRequest(stop_replication=False))
        self.assertTrue(wait(self.new_writer, 1, 3))
