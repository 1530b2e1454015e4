"""Short fault soaks of real processes; longer ones run by hand (``soak``)."""

import shutil
import tempfile
import unittest
from pathlib import Path

from .soak.disturbances import Plan
from .soak.run import run_seed

SHOWN_FINDINGS = 10


class SoakTests(unittest.TestCase):
    """Three core and three edge processes under disturbances, with fixed seeds."""

    def run_soak(self, seed: int, plan: Plan) -> None:
        """Run one seed; on a finding keep the logs of its processes."""
        folder = Path(tempfile.mkdtemp(prefix="dogwoodspool-soak-"))
        outcome = run_seed(seed, folder, plan)
        print(outcome, flush=True)
        self.assertGreater(outcome.stops, 0)
        self.assertGreater(outcome.answers.get("success", 0), 0)
        shown = "\n".join(str(one) for one in outcome.judged[:SHOWN_FINDINGS])
        self.assertEqual(len(outcome.judged), 0, f"{outcome}\n{shown}")
        shutil.rmtree(folder)

    def test_stops_signals_and_configurations_lose_no_request(self) -> None:
        """Guard against stopping processes that cut off what they accepted."""
        plan = Plan(stops_cores=False, kills_cores=False, changes_primary=False)
        self.run_soak(3, plan)

    def test_changes_of_primary_and_core_lose_nothing_acknowledged(self) -> None:
        """Guard against lost writes and configurations around planned work."""
        self.run_soak(26, Plan())
