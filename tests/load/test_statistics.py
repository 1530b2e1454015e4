"""Tests of latencies and goodput."""

import tempfile
import unittest
from collections import Counter
from pathlib import Path

from dogwoodspool_load.models import Outcome, RequestKind
from dogwoodspool_load.results import goodput, replica_share
from dogwoodspool_load.runner import RunOutcome, RunPlan
from dogwoodspool_load.statistics import RunStatistics, Sample


def outcome_of(*samples: Sample) -> RunOutcome:
    statistics = RunStatistics()
    for sample in samples:
        statistics.record(sample)
    plan = RunPlan("run", (), 2.0, 10.0, 1, deadline_ms=100)
    reads = Counter({"replica": 3, "primary": 1})
    return RunOutcome(plan, 10.0, statistics, [], reads)


def sample(at: float, seconds: float, outcome: Outcome = Outcome.OK) -> Sample:
    return Sample(at, seconds, RequestKind.INBOX, "chat1", outcome)


class GoodputTests(unittest.TestCase):
    """Requests that count towards goodput, and the share of replica reads."""

    def test_goodput_excludes_late_rejected_and_overrunning_requests(self) -> None:
        outcome = outcome_of(
            sample(10.5, 0.09),
            sample(11.0, 0.11),
            sample(11.0, 0.01, Outcome.NOT_RUN),
            sample(12.5, 0.01),
        )
        self.assertEqual(goodput(outcome), 0.5)

    def test_replica_share_of_reads(self) -> None:
        self.assertEqual(replica_share(outcome_of()), 0.75)


class SummaryTests(unittest.TestCase):
    """Percentiles per kind."""

    def test_percentiles_count_only_successful_requests(self) -> None:
        outcome = outcome_of(sample(10.5, 0.02), sample(10.6, 5.0, Outcome.UNKNOWN))
        inbox = outcome.statistics.summary()["inbox"]
        self.assertEqual(inbox["outcomes"], {"ok": 1, "unknown": 1})
        self.assertAlmostEqual(inbox["p99_ms"], 20.0, delta=0.1)

    def test_a_log_is_written_for_each_kind(self) -> None:
        outcome = outcome_of(sample(10.5, 0.02))
        with tempfile.TemporaryDirectory() as folder:
            outcome.statistics.write_logs(Path(folder), 2.0)
            lines = (Path(folder) / "latencies-inbox.hdr").read_text().splitlines()
        self.assertEqual(len(lines), 3)
        self.assertTrue(lines[-1].startswith("0.000000,2.000000,20"))
