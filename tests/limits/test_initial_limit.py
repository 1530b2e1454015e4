"""Tests of the initial limit of statements in flight."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_limits import AdmissionQueue, Priority


class InitialLimitTests(unittest.TestCase):
    """A share that grows is used at once."""

    def test_a_statement_runs_beside_one_that_does_not_end(self) -> None:
        # Guards against refusals although a second connection is leased. A proxy
        # starts with a share of one connection, and one statement takes long. If the
        # limit of statements in flight were clamped to the first share, it would
        # grow only with statements that end, and waiting ones would be refused at
        # their deadlines.
        clock = ManualClock()
        queue = AdmissionQueue(clock, slots=3, max_in_flight=1, queue_limit=8)
        self.assertTrue(queue.admit(2.0, Priority.WRITE).is_ok())
        queue.set_max_in_flight(2)
        self.assertTrue(queue.admit(2.0, Priority.WRITE).is_ok())
