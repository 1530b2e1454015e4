"""Members with fixed names and addresses are replaced, then all lose power."""

import unittest
from unittest import mock

from dogwoodspool_consensus.confirmations import Confirmations
from dogwoodspool_consensus.reads import Reads
from dogwoodspool_control.http.confirmed_reads import ConfirmedReads
from dogwoodspool_control.node import ControlNode

from .record_histories import TIMELINES, random_timeline, run_record

SEEDS = range(3)
TRIES = 8
READ_CHANCE = 0.2
# Part of each message of the check of confirmed reads, and of no other one.
READ_FINDING = " from version "
ALWAYS = property(lambda _self: True)


class RecordHistoryTests(unittest.TestCase):
    """All first members are lost in turn, in every form, with nine proxies.

    Guards against a proxy that stays behind an acknowledged change, a confirmed first
    view without it, and a process that claims to be up to date and is not.
    """

    def test_each_proxy_has_each_change_in_time(self) -> None:
        for timeline in TIMELINES:
            for seed in SEEDS:
                with self.subTest(port=timeline.port, seed=seed):
                    history = run_record(seed, timeline)
                    self.assertGreater(history.world.operator.acked, 0)

    def test_changes_beside_quick_replacements(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_record(seed, random_timeline(seed))


class ConfirmedReadTests(unittest.TestCase):
    """Proxies make confirmed reads all the time, of all processes.

    Guards against a confirmed read without an acknowledged change: at a lost or removed
    process, beside elections, and after the last leader has lost its disk.
    """

    def test_each_confirmed_read_has_each_change(self) -> None:
        for seed, timeline in enumerate((*TIMELINES, random_timeline(0))):
            with self.subTest(seed=seed):
                history = run_record(seed, timeline, READ_CHANCE)
                self.assertGreater(history.world.operator.confirmed_reads, 0)

    def test_read_without_a_quorum_is_detected(self) -> None:
        """Guard against histories in which no lost process is asked.

        First views meet the first fault as well; of the second one, only what these
        reads find counts.
        """
        with mock.patch.object(Reads, "leader_read_point", _last_commit):
            self.assertTrue(_is_detected(READ_CHANCE))
        with mock.patch.object(ConfirmedReads, "confirm", lambda _self, _age: 0.0):
            self.assertTrue(_is_detected(READ_CHANCE, READ_FINDING))


class PlantedFaultTests(unittest.TestCase):
    """The histories detect faults in what control processes tell proxies.

    Guards against histories in which no proxy asks a process that is behind.
    """

    def test_claim_without_a_confirmation_of_the_leader(self) -> None:
        with mock.patch.object(Confirmations, "is_up_to_date", ALWAYS):
            self.assertTrue(_is_detected())

    def test_members_that_always_call_themselves_current_to_proxies(self) -> None:
        with mock.patch.object(ControlNode, "is_following", ALWAYS):
            self.assertTrue(_is_detected())

    def test_first_view_without_a_read_point(self) -> None:
        with mock.patch.object(Reads, "confirm_read", lambda _self, _timeout: 0):
            self.assertTrue(_is_detected())


def _last_commit(reads: Reads, _deadline: float) -> int:
    return reads._state.commit_index


def _is_detected(read_chance: float = 0.0, finding: str = "") -> bool:
    """Return whether a history fails with a message that contains the finding."""
    for seed in range(TRIES):
        try:
            run_record(seed, TIMELINES[seed % len(TIMELINES)], read_chance)
        except AssertionError as error:
            if finding in str(error):
                return True
    return False
