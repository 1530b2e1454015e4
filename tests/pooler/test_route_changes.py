"""Tests of random sessions and changes of the configuration."""

import unittest
from collections.abc import Callable
from functools import partial

from dogwoodspool_common import BackendServer

from .fakes import FakeConnection, FakeServer, Pooler
from .route_model import Configuration, ModelSession, Route
from .route_plays import MAX_PAUSE_SECONDS, Play
from .shared.neighbours import SharingProxy

SEEDS = range(60)
STEPS = 150


class SharedPlay(Play):
    """A play of a proxy whose requests run at two owners, each with its own view."""

    def __init__(self, test: unittest.TestCase, seed: int) -> None:
        super().__init__(test, seed)
        for number in range(len(self._owners)):
            self._receive_at(number)

    def _build(self, servers: list[FakeServer]) -> Pooler:
        proxy = SharingProxy(servers)
        self._owners = [proxy.owner(name).pooler for name in ("o1", "o2")]
        self._views = [Configuration({}, {}) for _owner in self._owners]
        # The pooler that opened each connection.
        self._openers: dict[tuple[str, int], Pooler] = {}
        for one in (proxy, *self._owners):
            self._record_openings(one)
        for number, owner in enumerate(self._owners):
            owner.control.bring = partial(self._receive_at, number)
        return proxy

    def _moves(self) -> list[tuple[Callable[[], None], float]]:
        return [
            *super()._moves(),
            (self._receive_at_owner, 3),
            (self._toggle_control_of_owner, 0.5),
        ]

    def _record_openings(self, pooler: Pooler) -> None:
        connect = pooler.network.connect

        def record(
            server: BackendServer, deadline: float, account: str = ""
        ) -> FakeConnection:
            connection = connect(server, deadline, account)
            self._openers[server.name, connection.number] = pooler
            return connection

        vars(pooler.network)["connect"] = record

    def _receive_at(self, number: int) -> None:
        if self._views[number] is not self._newest:
            self._views[number] = self._newest
            self._apply(self._owners[number])

    def _receive_at_owner(self) -> None:
        self._receive_at(self._random.randrange(len(self._owners)))

    def _toggle_control_of_owner(self) -> None:
        control = self._random.choice(self._owners).control
        control.is_reachable = not control.is_reachable

    def _pause(self) -> None:
        seconds = self._random.uniform(0.0, MAX_PAUSE_SECONDS)
        for one in (self._pooler, *self._owners):
            one.clock.advance(seconds)

    def _is_control_reachable(self) -> bool:
        processes = (self._pooler, *self._owners)
        return any(one.control.is_reachable for one in processes)

    def _may_be_refused(self, one: ModelSession) -> bool:
        """Return whether an owner may know a change of the key, or not know it yet."""
        return any(
            view.accounts.get(one.key) != self._in_force.accounts.get(one.key)
            for view in (*self._views, self._newest)
        )

    def _check_owner(
        self, one: ModelSession, route: Route, place: tuple[str, int]
    ) -> None:
        """Check that an owner ran nothing that its own view does not allow."""
        opener = self._openers[place]
        if opener is self._pooler:
            return
        view = self._views[self._owners.index(opener)]
        named = view.endpoints.get(one.database)
        groups = {known.group for known in view.endpoints.values()}
        self._test.assertIn(route.endpoint.group, groups)
        if one.transaction is None:
            assert named is not None
            self._test.assertEqual(route.endpoint.group, named.group)
        if route.account:
            self._test.assertEqual(route.account, view.accounts.get(one.key))


class RouteChangeTests(unittest.TestCase):
    """Statements run where the view in force at their arrival names their database."""

    def test_random_plays(self) -> None:
        """Guard against any order of pauses and changes that outlasts a removal."""
        self.play(Play)

    def test_random_plays_with_owners(self) -> None:
        """Guard against owners that run what their own view no longer allows."""
        self.play(SharedPlay)

    def play(self, kind: type[Play]) -> None:
        """Play with each seed."""
        served = refused = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                play = kind(self, seed)
                play.run(STEPS)
                served, refused = served + play.served, refused + play.refused
        # Plays in which nothing happens would hold as well.
        self.assertGreater(served, len(SEEDS) * STEPS // 4)
        self.assertGreater(refused, len(SEEDS))


if __name__ == "__main__":
    unittest.main()
