"""Tests of fault schedules."""

import tempfile
import unittest
from pathlib import Path

from dogwoodspool_load import ScheduleError
from dogwoodspool_load.schedule import (
    FaultAction,
    ScheduledFault,
    parse_schedule,
    read_schedule,
)


class ScheduleTests(unittest.TestCase):
    """Parsing of a schedule's text."""

    def test_faults_are_sorted_by_time(self) -> None:
        faults = parse_schedule("5 lag chat1-2 250\n# lull\n2.5 kill-leader; 3 cut a")
        self.assertEqual(
            faults,
            (
                ScheduledFault(2.5, FaultAction.KILL_LEADER),
                ScheduledFault(3.0, FaultAction.CUT, "a"),
                ScheduledFault(5.0, FaultAction.LAG, "chat1-2", 250.0),
            ),
        )

    def test_the_error_quotes_an_invalid_fault(self) -> None:
        for text in (
            "kill",
            "x promote a",
            "3 explode a",
            "3 cut",
            "3 lag a",
            "-1 cut a",
        ):
            with self.subTest(text=text), self.assertRaisesRegex(ScheduleError, text):
                parse_schedule(text)

    def test_a_file_is_read(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "faults"
            path.write_text("1 promote chat1\n")
            self.assertEqual(
                read_schedule(str(path)), parse_schedule("1 promote chat1")
            )
