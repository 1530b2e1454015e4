"""Tests of what a process knows of itself."""

import unittest
from unittest import mock

from dogwoodspool_common import SystemClock, process_started_at


class ProcessStartTests(unittest.TestCase):
    """The start of a process lies on the clock that its leases are counted on."""

    def test_the_start_lies_before_now_on_the_same_clock(self) -> None:
        # The kernel's record of the start may count on another clock, which is
        # ahead: a voter then refused every vote for as long as the two differ.
        now = SystemClock().now()
        ahead = " ".join(["0"] * 19 + [str(10**12)] + ["0"] * 30)
        with mock.patch("pathlib.Path.read_text", return_value=f"1 (core) {ahead}"):
            started_at = process_started_at()
        self.assertLessEqual(started_at, now)
        self.assertLess(now - started_at, 3600.0)
