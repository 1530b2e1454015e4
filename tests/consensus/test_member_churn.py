"""Seeded histories of changing members, and whether they detect planted faults."""

import unittest

from .member_churn import run_history
from .planted_faults import PLANTED, planted

SEEDS = range(8)
# Seeds that are tried for each planted fault, from one that detects it.
TRIES = 30
FIRST_SEEDS = {
    "two changes of members at once": 11,
    "an entry of an older term is committed by counting replicas": 1,
    "demoted and removed voters count towards the lease": 4,
    "a restarted voter grants its vote at once": 39,
}


class MemberChurnTests(unittest.TestCase):
    """Leaders change the members while leaders, links, power and disks are lost.

    Guards against an answered command that a later leader lacks, two leases at a time,
    and a process that claims to be up to date and is not.
    """

    def test_nothing_answered_is_lost(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = run_history(seed)
                self.assertTrue(history.answered)


class PlantedFaultTests(unittest.TestCase):
    """The histories detect faults in changes of members, leases and reads.

    Guards against histories that never reach the moment at which such a fault acts.
    """

    def test_each_planted_fault_is_detected(self) -> None:
        for name in PLANTED:
            with self.subTest(fault=name), planted(name):
                first = FIRST_SEEDS.get(name, 0)
                seeds = range(first, first + TRIES)
                self.assertTrue(any(map(_is_detected, seeds)), "not detected")


def _is_detected(seed: int) -> bool:
    try:
        run_history(seed)
    except AssertionError:
        return True
    return False
