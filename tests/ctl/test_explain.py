"""Tests of summing up process logs."""

import io
import tempfile
import unittest
from datetime import UTC, datetime
from pathlib import Path
from unittest import mock

from dogwoodspool_common import SettingsError
from dogwoodspool_ctl import explain_main
from dogwoodspool_ctl.explain import Row, sum_up
from dogwoodspool_ctl.log_lines import LogLine, read_lines


def line(second: float, event: str, instance: str = "p1", **fields: object) -> str:
    """Return a line as a process logs it."""
    time = datetime.fromtimestamp(second, tz=UTC).isoformat(timespec="milliseconds")
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"time={time} level=INFO event={event} {pairs} instance={instance}\n"


def refused(second: float, server: str, instance: str = "p1", **fields: object) -> str:
    """Return the line of a refused request."""
    reason = f'"{server}: deadline_passed"'
    return line(
        second, "request_not_served", instance, code="busy", reason=reason, **fields
    )


class LogLineTests(unittest.TestCase):
    """Lines are read as the processes write them, also behind a collector's words."""

    def test_quoted_values_are_whole(self) -> None:
        text = line(1, "server_failed", reason='"say \\"no\\"\\nnow"')
        parsed = LogLine.parse(text)
        assert parsed is not None
        self.assertEqual(parsed.fields["reason"], 'say "no"\nnow')

    def test_a_collectors_prefix_is_left(self) -> None:
        parsed = LogLine.parse(
            f"Oct 14 host-3 {line(1, 'edge_started', instance='p9')}"
        )
        assert parsed is not None
        self.assertEqual((parsed.event, parsed.instance), ("edge_started", "p9"))

    def test_other_lines_are_left_out(self) -> None:
        texts = ["", "Traceback (most recent call last):", "time=soon event=x"]
        self.assertEqual(
            list(read_lines([*texts, line(1, "stopped")]))[0].event, "stopped"
        )
        self.assertEqual(list(read_lines(texts)), [])


class SumTests(unittest.TestCase):
    """Requests that ended alike for one reason add up."""

    def rows(self, *texts: str, seconds: float = 1.0) -> list[Row]:
        return sum_up(read_lines(texts), seconds)

    def test_reasons_add_up_over_servers_and_instances(self) -> None:
        rows = self.rows(
            refused(10.1, "i-0a1b2c", request="aa"),
            refused(10.9, "i-99ffee", request="bb", instance="p2"),
        )
        self.assertEqual(
            [(row.count, row.reason) for row in rows], [(2, "*: deadline_passed")]
        )
        self.assertEqual(
            (rows[0].example, dict(rows[0].instances)), ("aa", {"p1": 1, "p2": 1})
        )

    def test_lines_that_were_left_out_count(self) -> None:
        # Twenty lines a second are written of each event, and an overload showed as
        # twenty refused requests a second, however many there were.
        rows = self.rows(refused(10.1, "s1"), refused(10.2, "s1", left_out=479))
        self.assertEqual(rows[0].count, 481)

    def test_spans_are_apart(self) -> None:
        rows = self.rows(refused(10.1, "s1"), refused(10.6, "s1"), seconds=0.5)
        self.assertEqual(len(rows), 2)

    def test_changes_of_state_stand_beside_them(self) -> None:
        rows = self.rows(
            refused(10.1, "s1"), line(10.0, "rotation_changed", phase="left")
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
            line(10, "request_late", kind="read"), line(10, "view_in_force")
        )
        self.assertEqual([row.what for row in rows], ["request_late read"])


class ProgramTests(unittest.TestCase):
    """The program reads files and says what is wrong with its arguments."""

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
            path.write_text(refused(10.1, "s1", request="aa") + refused(20.0, "s1"))
            table = self.run_with("--until=1970-01-01T00:00:15", str(path))
        self.assertEqual(
            table.split(),
            [
                *["00:00:10.000", "1", "request_not_served", "busy"],
                *["s1:", "deadline_passed", "p1:1", "aa"],
            ],
        )

    def test_bad_arguments_are_named(self) -> None:
        with self.assertRaisesRegex(SettingsError, "no-such-file: No such file"):
            self.run_with("no-such-file")
        with self.assertRaisesRegex(SettingsError, "--seconds takes a number"):
            self.run_with("--seconds=0")
        with self.assertRaisesRegex(SettingsError, "noon is no time"):
            self.run_with("--from=noon")
