"""Tests of the checker with histories that each contain one deliberate fault."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from dogwoodspool_common import Position
from dogwoodspool_load import HistoryError, HistoryRecorder, read_history
from dogwoodspool_load.checker import check_history
from dogwoodspool_load.models import Event, GroupFinal, Outcome, Rule, Table

from .histories import GROUP, final, read, row, stored, write


def rules(events: list[Event], held: GroupFinal) -> set[Rule]:
    return {violation.rule for violation in check_history(events, [held])}


class ValidHistoryTests(unittest.TestCase):
    """Histories in which every rule held."""

    def test_a_valid_history_has_no_violation(self) -> None:
        events = [
            *write("w1", 1.0),
            *read("r1", 2.0, (row("w1", "r1", 1),)),
            *write("w2", 3.0, Outcome.UNKNOWN),
            *write("w2", 4.0, Outcome.OK, attempt=2),
            *write("w3", 5.0, Outcome.NOT_RUN),
            *write("p1", 6.0, table=Table.PAIRS, rows_written=2),
            *write("p2", 7.0, Outcome.ABORTED, table=Table.PAIRS, rows_written=2),
            *read("r2", 8.0, (), session="s2", table=Table.PAIRS),
        ]
        pair = (stored("p1", Table.PAIRS), stored("p1", Table.PAIRS, part=2))
        held = final(stored("w1"), stored("w2"), *pair)
        self.assertEqual(check_history(events, [held]), [])

    def test_an_unknown_write_may_be_stored_or_absent(self) -> None:
        events = write("w1", 1.0, Outcome.UNKNOWN)
        self.assertEqual(rules(events, final()), set())
        self.assertEqual(rules(events, final(stored("w1"))), set())


class ReadYourWritesTests(unittest.TestCase):
    """A caller writes, changes to another proxy and does not read its own write."""

    def test_a_missing_own_write_is_detected(self) -> None:
        events = [*write("w1", 1.0), *read("r1", 2.0, ())]
        self.assertEqual(rules(events, final(stored("w1"))), {Rule.READ_YOUR_WRITES})

    def test_a_write_in_flight_during_the_read_may_be_missing(self) -> None:
        events = [*write("w1", 1.0), *read("r1", 1.05, ())]
        self.assertEqual(rules(events, final(stored("w1"))), set())

    def test_another_session_need_not_see_it(self) -> None:
        events = [*write("w1", 1.0), *read("r1", 2.0, (), session="s2")]
        self.assertEqual(rules(events, final(stored("w1"))), set())


class StatedAgeTests(unittest.TestCase):
    """A read that accepts an age of half a second misses an older write."""

    def test_an_answer_older_than_max_age_is_detected(self) -> None:
        events = [
            *write("w1", 1.0),
            *read("r1", 2.0, (), session="s2", max_age_ms=500),
        ]
        self.assertEqual(rules(events, final(stored("w1"))), {Rule.STATED_AGE})

    def test_a_write_within_max_age_may_be_missing(self) -> None:
        events = [
            *write("w1", 1.0),
            *read("r1", 1.4, (), session="s2", max_age_ms=500),
        ]
        self.assertEqual(rules(events, final(stored("w1"))), set())


class FinalStateTests(unittest.TestCase):
    """Final tables against the outcomes that callers received."""

    def test_a_lost_acknowledged_write_is_detected(self) -> None:
        self.assertEqual(rules(write("w1", 1.0), final()), {Rule.ACKNOWLEDGED_WRITE})

    def test_a_request_run_twice_is_detected(self) -> None:
        events = [
            *write("w1", 1.0, Outcome.UNKNOWN),
            *write("w1", 2.0, Outcome.OK, attempt=2),
        ]
        held = final(stored("w1"), stored("w1"))
        self.assertEqual(rules(events, held), {Rule.AT_MOST_ONCE})

    def test_a_stored_write_reported_as_not_run_is_detected(self) -> None:
        for outcome in (Outcome.NOT_RUN, Outcome.FAILED, Outcome.ABORTED):
            with self.subTest(outcome=outcome):
                events = write("w1", 1.0, outcome)
                self.assertEqual(rules(events, final(stored("w1"))), {Rule.NOT_RUN})

    def test_not_run_after_an_unknown_attempt_allows_a_stored_row(self) -> None:
        events = [
            *write("w1", 1.0, Outcome.UNKNOWN),
            *write("w1", 2.0, Outcome.NOT_RUN, attempt=2),
        ]
        self.assertEqual(rules(events, final(stored("w1"))), set())

    def test_an_acknowledgement_after_the_term_start_is_detected(self) -> None:
        # The replaced primary acknowledged offset 8 of term 1; the new term started
        # at offset 7, so that the entry is in no replica's log.
        events = write("w1", 1.0, position=Position(1, 8))
        held = final(stored("w1"), term_starts=(Position(2, 7),))
        self.assertEqual(rules(events, held), {Rule.PROMOTION_SAFETY})

    def test_an_acknowledgement_up_to_the_term_start_is_valid(self) -> None:
        events = write("w1", 1.0, position=Position(1, 7))
        held = final(stored("w1"), term_starts=(Position(2, 7),))
        self.assertEqual(rules(events, held), set())


class WholeAnswerTests(unittest.TestCase):
    """Answers with missing rows, damaged rows or rows of another answer."""

    def check(self, *events: Event) -> set[Rule]:
        whole = [*write("w1", 1.0, session="s9"), *events]
        return rules(whole, final(stored("w1")))

    def test_a_missing_row_is_detected(self) -> None:
        self.assertEqual(
            self.check(*read("r1", 2.0, (row("w1", "r1", 2),))), {Rule.WHOLE_ANSWER}
        )

    def test_the_answer_to_another_read_is_detected(self) -> None:
        self.assertEqual(
            self.check(*read("r1", 2.0, (row("w1", "r0", 1),))), {Rule.WHOLE_ANSWER}
        )

    def test_a_damaged_row_is_detected(self) -> None:
        damaged = replace(row("w1", "r1", 1), body="text 1 of w")
        self.assertEqual(self.check(*read("r1", 2.0, (damaged,))), {Rule.WHOLE_ANSWER})


class TransactionTests(unittest.TestCase):
    """Half of a transaction is visible, or a row that no request wrote to its room."""

    def pair(self) -> list[Event]:
        return write("p1", 1.0, session="s9", table=Table.PAIRS, rows_written=2)

    def test_a_read_of_a_partial_transaction_is_detected(self) -> None:
        events = [
            *self.pair(),
            *read("r1", 2.0, (row("p1", "r1", 1),), table=Table.PAIRS),
        ]
        held = final(stored("p1", Table.PAIRS), stored("p1", Table.PAIRS, part=2))
        self.assertEqual(rules(events, held), {Rule.TRANSACTIONS})

    def test_a_stored_partial_transaction_is_detected(self) -> None:
        events = write("p1", 1.0, Outcome.UNKNOWN, table=Table.PAIRS, rows_written=2)
        held = final(stored("p1", Table.PAIRS))
        self.assertEqual(rules(events, held), {Rule.TRANSACTIONS})

    def test_a_row_without_a_request_is_detected(self) -> None:
        self.assertEqual(rules([], final(stored("w1"))), {Rule.TRANSACTIONS})

    def test_a_row_in_another_room_is_detected(self) -> None:
        held = final(replace(stored("w1"), room="room-2"))
        self.assertEqual(rules(write("w1", 1.0), held), {Rule.TRANSACTIONS})


class RecordedHistoryTests(unittest.TestCase):
    """Events written to a file and read back."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "history.jsonl"

    def test_events_are_read_back_as_recorded(self) -> None:
        events = [
            *write("w1", 1.0, position=Position(1, 3)),
            *read("r1", 2.0, (row("w1", "r1", 1),), max_age_ms=5),
        ]
        recorder = HistoryRecorder(self.path)
        for event in events:
            recorder.record(event)
        recorder.close()
        self.assertEqual(read_history(self.path), events)

    def test_the_error_has_the_number_of_an_invalid_line(self) -> None:
        self.path.write_text("{}\n")
        with self.assertRaisesRegex(HistoryError, "line 1"):
            read_history(self.path)

    def test_an_answer_without_its_invocation_raises(self) -> None:
        _, answer = write("w1", 1.0)
        with self.assertRaisesRegex(HistoryError, "w1"):
            check_history([answer], [final()])

    def test_an_invocation_without_an_answer_is_unknown(self) -> None:
        invocation, _ = write("w1", 1.0)
        held = GroupFinal(GROUP, 1, (stored("w1"),))
        self.assertEqual(rules([invocation], held), set())
