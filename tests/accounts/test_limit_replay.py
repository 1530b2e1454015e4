"""Replayed load: an account's operations in several failure domains."""

import random
import unittest

from dogwoodspool_accounts import LimitTolerance
from dogwoodspool_common import RateLimit
from dogwoodspool_emulator.limit_replay import (
    DOMAINS,
    REPLAYS,
    Event,
    FixedParts,
    Outcome,
    Player,
    Replay,
    ReserveParts,
    WayFactory,
)

TOLERANCE = LimitTolerance()
CALM = (
    "below its limit, evenly",
    "below its limit, from one domain",
    "small account, from one domain",
    "small account, evenly",
    "smallest account, evenly",
    "below its limit, 0.1 s of delay",
    "below its limit in one domain, 0.1 s of delay",
    "below its limit, 0.4 s of delay",
)
MAX_CALM_SHORTFALL = 0.005
KINDS = ("cut", "heal", "restart", "leader down", "leader up")


def play(replay: Replay, seed: int, way: WayFactory = ReserveParts) -> Outcome:
    """Play a replay with one way to enforce limits."""
    return Player(replay, way, seed).run()


def highest_bound(replay: Replay) -> float:
    """Return the bound of the highest limit during a replay."""
    limits = [replay.limit, *(one.limit for one in replay.events if one.limit)]
    return max(TOLERANCE.bound(limit) for limit in limits)


def random_replay(seed: int) -> Replay:
    """Return a load above its limit with random failures."""
    chance = random.Random(seed)
    rate = chance.choice((1, 5, 20, 80))
    events = [
        Event(chance.uniform(2, 18), chance.choice(KINDS), chance.randrange(DOMAINS))
        for _ in range(12)
    ]
    rates = [rate * chance.uniform(0, 2) for _ in range(DOMAINS)]
    return Replay(f"random {seed}", RateLimit(rate, rate), rates, events, seconds=20)


class LimitReplayTests(unittest.TestCase):
    """The limit holds over all failure domains, and hardly refuses below itself."""

    def test_no_window_exceeds_the_bound(self) -> None:
        for replay in REPLAYS:
            outcome = play(replay, seed=3)
            most = outcome.most_in_window(TOLERANCE.window)
            self.assertLessEqual(most, highest_bound(replay), replay.name)

    def test_no_window_exceeds_the_bound_whatever_fails(self) -> None:
        for seed in range(12):
            replay = random_replay(seed)
            most = play(replay, seed).most_in_window(TOLERANCE.window)
            self.assertLessEqual(most, highest_bound(replay), replay.name)

    def test_hardly_anything_is_refused_below_the_limit(self) -> None:
        for replay in REPLAYS:
            if replay.name in CALM:
                shortfall = play(replay, seed=5).shortfall
                self.assertLess(shortfall, MAX_CALM_SHORTFALL, replay.name)

    def test_lower_limit_is_obeyed_in_the_next_windows(self) -> None:
        (replay,) = (one for one in REPLAYS if one.name == "limit lowered to a tenth")
        lowered = replay.events[0].limit
        assert lowered is not None
        outcome = play(replay, seed=3)
        began_at = 6 + replay.events[0].at
        later = Outcome([at for at in outcome.admitted if at >= began_at])
        most = later.most_in_window(TOLERANCE.window)
        self.assertLessEqual(most, TOLERANCE.bound(lowered))

    def test_callers_in_one_failure_domain_get_more_than_an_equal_part(self) -> None:
        replay = REPLAYS[1]
        fixed = play(replay, seed=3, way=FixedParts)
        self.assertGreater(fixed.shortfall, 0.4)
        self.assertLess(play(replay, seed=3).shortfall, 0.05)
