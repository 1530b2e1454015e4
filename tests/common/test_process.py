"""Tests of process information."""

import unittest
from unittest import mock

from dogwoodspool_common import SystemClock, process_started_at


class ProcessStartTests(unittest.TestCase):
    """The start time of a process is on the clock that measures leases."""

    def test_start_time_uses_the_clock_of_leases(self) -> None:
        # The start time that the kernel reports may use another clock that is ahead;
        # a voter then refused every vote for as long as the two differed.
        now = SystemClock().now()
        ahead = " ".join(["0"] * 19 + [str(10**12)] + ["0"] * 30)
        with mock.patch("pathlib.Path.read_text", return_value=f"1 (core) {ahead}"):
            started_at = process_started_at()
        self.assertLessEqual(started_at, now)
        self.assertLess(now - started_at, 3600.0)
