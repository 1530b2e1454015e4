"""Tests of the log's bounds."""

import io
import threading
import unittest

from dogwoodspool_common.log import LineBudget, QueuedWriter


class BlockedOutput(io.StringIO):
    """An output whose reader stands still until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(5)
        return super().write(text)


class QueuedWriterTests(unittest.TestCase):
    """Writing a line never waits for whoever reads the output."""

    def test_lines_are_dropped_and_counted_while_nobody_reads(self) -> None:
        # The collector of logs stands still. Every request that logs would wait
        # for it, and callers would see a proxy that stands still.
        output = BlockedOutput()
        writer = QueuedWriter(output, capacity=3)
        writer.set_up()
        for number in range(20):
            writer.write(f"line {number}\n")
        self.assertGreater(writer.dropped, 0)
        output.released.set()
        writer.unload()
        self.assertIn("event=log_lines_dropped", output.getvalue())

    def test_what_is_queued_is_written_at_the_end(self) -> None:
        output = io.StringIO()
        writer = QueuedWriter(output)
        writer.set_up()
        writer.write("last words\n")
        writer.unload()
        self.assertEqual(output.getvalue(), "last words\n")


class LineBudgetTests(unittest.TestCase):
    """One kind of event writes a bounded number of lines."""

    def test_the_rest_is_counted_by_the_next_line(self) -> None:
        budget = LineBudget(per_second=1, burst=2)
        taken = [budget.take("refused", now=0.0) for _ in range(5)]
        self.assertEqual(taken, [0, 0, None, None, None])
        self.assertEqual(budget.take("refused", now=1.0), 3)

    def test_each_event_has_its_own(self) -> None:
        budget = LineBudget(per_second=1, burst=1)
        self.assertEqual(budget.take("one", now=0.0), 0)
        self.assertEqual(budget.take("other", now=0.0), 0)
