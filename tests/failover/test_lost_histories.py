"""Tests that no success is lost while servers end without a word."""

import unittest

from .lost_histories import LostHistory

HISTORIES = 30


class LostHistoryTests(unittest.TestCase):
    """Control finds ends that nobody announces; servers come back with some logs."""

    def test_no_success_is_lost(self) -> None:
        """Guard against an end that is found too early or of a server that runs."""
        self.check_histories(begins_empty=False)

    def test_no_success_is_lost_in_a_new_group(self) -> None:
        """Guard against an empty server that is taken for a new group's primary."""
        self.check_histories(begins_empty=True)

    def check_histories(self, *, begins_empty: bool) -> None:
        """Play histories; none may lose a success, and many must find ends."""
        lost = {}
        effects = successes = ends = removals = 0
        for seed in range(HISTORIES):
            history = LostHistory(seed, begins_empty=begins_empty)
            history.run()
            lost[seed] = history.lost
            effects += history.effects
            successes += history.successes
            ends += history.recorded_ends
            removals += history.removals
        self.assertEqual({seed: one for seed, one in lost.items() if one}, {})
        # The histories must contain what the test is about.
        self.assertGreater(effects, HISTORIES // 2)
        self.assertGreater(successes, 20 * HISTORIES)
        self.assertGreater(ends, HISTORIES // 3)
        self.assertGreater(removals, HISTORIES // 5)


if __name__ == "__main__":
    unittest.main()
