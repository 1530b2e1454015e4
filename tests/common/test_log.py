"""Tests of the limits of logging."""

import io
import threading
import unittest

from dogwoodspool_common.log import EventRateLimiter, FirstLines, QueuedWriter


class BlockedOutput(io.StringIO):
    """An output that blocks until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(5)
        return super().write(text)


class QueuedWriterTests(unittest.TestCase):
    """Writing a line never blocks on the output."""

    def test_lines_are_dropped_and_counted_while_output_blocks(self) -> None:
        # A stalled log collector must not block the requests that log, or the proxy
        # would appear to hang.
        output = BlockedOutput()
        writer = QueuedWriter(output, capacity=3)
        writer.set_up()
        for number in range(20):
            writer.write(f"line {number}\n")
        self.assertGreater(writer.dropped, 0)
        output.released.set()
        writer.unload()
        self.assertIn("event=log_lines_dropped", output.getvalue())

    def test_queued_lines_are_written_on_unload(self) -> None:
        output = io.StringIO()
        writer = QueuedWriter(output)
        writer.set_up()
        writer.write("last line\n")
        writer.unload()
        self.assertEqual(output.getvalue(), "last line\n")


class EventRateLimiterTests(unittest.TestCase):
    """The rate of lines per event is limited."""

    def test_next_line_reports_the_suppressed_count(self) -> None:
        limiter = EventRateLimiter(per_second=1, burst=2)
        taken = [limiter.take("refused", now=0.0) for _ in range(5)]
        self.assertEqual(taken, [0, 0, None, None, None])
        self.assertEqual(limiter.take("refused", now=1.0), 3)

    def test_events_are_limited_independently(self) -> None:
        limiter = EventRateLimiter(per_second=1, burst=1)
        self.assertEqual(limiter.take("one", now=0.0), 0)
        self.assertEqual(limiter.take("other", now=0.0), 0)


class FirstLinesTests(unittest.TestCase):
    """The first line on each subject is written at any rate of its event."""

    def test_first_line_on_a_subject(self) -> None:
        """Guard against a failed request whose line other requests keep out."""
        first = FirstLines()
        taken = [first.take("used", one, now=0.0) for one in ("a", "a", "b", "a")]
        self.assertEqual([True, False, True, False], taken)
        self.assertTrue(first.take("refused", "a", now=0.0))

    def test_first_lines_on_many_subjects_are_limited(self) -> None:
        """Guard against a log without bound where each request names another one."""
        first = FirstLines(per_second=1, burst=2)
        taken = [first.take("used", str(one), now=0.0) for one in range(5)]
        self.assertEqual([True, True, False, False, False], taken)

    def test_subjects_without_a_line_for_long_are_forgotten(self) -> None:
        """Guard against memory that grows with the names that callers send."""
        first = FirstLines(capacity=2)
        for subject in ("a", "b", "a", "c"):
            first.take("used", subject, now=0.0)
        self.assertFalse(first.take("used", "a", now=0.0))
        self.assertTrue(first.take("used", "b", now=0.0))
