"""Tests of schedules of faults."""

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
    """The text of a schedule."""

    def test_faults_come_in_the_order_of_their_times(self) -> None:
        faults = parse_schedule("5 lag chat1-2 250\n# lull\n2.5 kill-leader; 3 cut a")
        self.assertEqual(
            faults,
            (
                ScheduledFault(2.5, FaultAction.KILL_LEADER),
                ScheduledFault(3.0, FaultAction.CUT, "a"),
                ScheduledFault(5.0, FaultAction.LAG, "chat1-2", 250.0),
            ),
        )

    def test_a_bad_fault_is_named(self) -> None:
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
