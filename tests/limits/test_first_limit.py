"""Tests of the first limit of statements in flight."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_limits import AdmissionQueue, Priority


class FirstLimitTests(unittest.TestCase):
    """A share that grows is used at once."""

    def test_a_statement_runs_beside_one_that_does_not_end(self) -> None:
        # A proxy starts with a share of one connection. One statement takes long,
        # control leases a second connection for the ones that wait, and they were
        # still refused at their deadlines: the limit of statements in flight had
        # been cut to the first share and grew only with statements that ended.
        clock = ManualClock()
        queue = AdmissionQueue(clock, slots=3, max_in_flight=1, queue_limit=8)
        self.assertTrue(queue.admit(2.0, Priority.WRITE).is_ok())
        queue.set_max_in_flight(2)
        self.assertTrue(queue.admit(2.0, Priority.WRITE).is_ok())
