"""Tests of summarizing process logs."""

import io
import tempfile
import unittest
from datetime import UTC, datetime
from pathlib import Path
from unittest import mock

from dogwoodspool_common import SettingsError
from dogwoodspool_ctl import explain_main
from dogwoodspool_ctl.explain import Row, summarize
from dogwoodspool_ctl.log_lines import LogLine, parse_lines


def log_line(second: float, event: str, instance: str = "p1", **fields: object) -> str:
    """Return a log line as a process logs it."""
    time = datetime.fromtimestamp(second, tz=UTC).isoformat(timespec="milliseconds")
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"time={time} level=INFO event={event} {pairs} instance={instance}\n"


def refused_line(
    second: float, server: str, instance: str = "p1", **fields: object
) -> str:
    """Return the log line of a refused request."""
    reason = f'"{server}: deadline_passed"'
    return log_line(
        second, "request_not_served", instance, code="busy", reason=reason, **fields
    )


class LogLineTests(unittest.TestCase):
    """Lines are parsed as the processes write them, also with a collector's prefix."""

    def test_quoted_values_are_unescaped(self) -> None:
        text = log_line(1, "server_failed", reason='"say \\"no\\"\\nnow"')
        parsed = LogLine.parse(text)
        assert parsed is not None
        self.assertEqual(parsed.fields["reason"], 'say "no"\nnow')

    def test_collector_prefix_is_ignored(self) -> None:
        parsed = LogLine.parse(
            f"Oct 14 host-3 {log_line(1, 'edge_started', instance='p9')}"
        )
        assert parsed is not None
        self.assertEqual((parsed.event, parsed.instance), ("edge_started", "p9"))

    def test_other_lines_are_skipped(self) -> None:
        texts = ["", "Traceback (most recent call last):", "time=soon event=x"]
        self.assertEqual(
            list(parse_lines([*texts, log_line(1, "stopped")]))[0].event, "stopped"
        )
        self.assertEqual(list(parse_lines(texts)), [])


class SummaryTests(unittest.TestCase):
    """Requests with the same outcome and reason are counted together."""

    def rows(self, *texts: str, seconds: float = 1.0) -> list[Row]:
        return summarize(parse_lines(texts), seconds)

    def test_counts_add_up_across_servers_and_instances(self) -> None:
        rows = self.rows(
            refused_line(10.1, "i-0a1b2c", request="aa"),
            refused_line(10.9, "i-99ffee", request="bb", instance="p2"),
        )
        self.assertEqual(
            [(row.count, row.reason) for row in rows], [(2, "*: deadline_passed")]
        )
        self.assertEqual(
            (rows[0].example, dict(rows[0].instances)), ("aa", {"p1": 1, "p2": 1})
        )

    def test_lines_left_out_are_counted(self) -> None:
        # Processes write at most 20 lines a second of each event. Without the count of
        # those left out, any overload would show as 20 refused requests a second.
        rows = self.rows(
            refused_line(10.1, "s1"), refused_line(10.2, "s1", left_out=479)
        )
        self.assertEqual(rows[0].count, 481)

    def test_spans_are_counted_separately(self) -> None:
        rows = self.rows(
            refused_line(10.1, "s1"), refused_line(10.6, "s1"), seconds=0.5
        )
        self.assertEqual(len(rows), 2)

    def test_state_changes_are_listed_with_requests(self) -> None:
        rows = self.rows(
            refused_line(10.1, "s1"), log_line(10.0, "rotation_changed", phase="left")
        )
        self.assertEqual(
            {(row.what, row.reason) for row in rows},
            {
                ("request_not_served busy", "s1: deadline_passed"),
                ("[rotation_changed]", "left"),
            },
        )

    def test_late_requests_and_other_events(self) -> None:
        rows = self.rows(
            log_line(10, "request_late", kind="read"), log_line(10, "view_in_force")
        )
        self.assertEqual([row.what for row in rows], ["request_late read"])


class ProgramTests(unittest.TestCase):
    """The program reads files and reports invalid arguments."""

    def run_with(self, *arguments: str) -> str:
        output = io.StringIO()
        with (
            mock.patch("sys.argv", ["dogwoodspool-explain", *arguments]),
            mock.patch("sys.stdout", output),
        ):
            explain_main.main()
        return output.getvalue()

    def test_it_writes_a_table(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "p1.log"
            path.write_text(
                refused_line(10.1, "s1", request="aa") + refused_line(20.0, "s1")
            )
            table = self.run_with("--until=1970-01-01T00:00:15", str(path))
        self.assertEqual(
            table.split(),
            [
                *["00:00:10.000", "1", "request_not_served", "busy"],
                *["s1:", "deadline_passed", "p1:1", "aa"],
            ],
        )

    def test_invalid_arguments_are_reported(self) -> None:
        with self.assertRaisesRegex(SettingsError, "no-such-file: No such file"):
            self.run_with("no-such-file")
        with self.assertRaisesRegex(
            SettingsError, "--seconds must be a number above 0, got '0'"
        ):
            self.run_with("--seconds=0")
        with self.assertRaisesRegex(
            SettingsError, "noon: not an ISO 8601 time such as"
        ):
            self.run_with("--from=noon")
