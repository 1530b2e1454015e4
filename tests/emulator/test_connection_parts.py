"""Replayed losses of processes: connections of all of them within a server's limit."""

import unittest
from pathlib import Path
from typing import Any

from dogwoodspool_emulator import Emulation, Outcomes, read_scenario
from dogwoodspool_emulator.models import Disturbance, LossTarget

SCENARIO = (
    Path(__file__).resolve().parents[2] / "examples/emulator/client-accounts.toml"
)
CONNECTIONS = 56


def replay(
    disturbances: tuple[dict[str, Any], ...], *, proxies: int = 80, **changes: Any
) -> Outcomes:
    """Emulate accounts in four failure domains while processes are lost."""
    scenario = read_scenario(SCENARIO)
    servers = scenario.servers.model_copy(
        update={"slots": 4, "connections": CONNECTIONS, "close_ms": 5.0}
    )
    (variant,) = (one for one in scenario.variants if one.name == "owners by account")
    settings = {
        "seconds": 7.0,
        "groups": 2,
        "per_second": 225.0,
        "servers": servers,
        "troubles": [Disturbance(**one) for one in disturbances],
        **changes,
    }
    changed = scenario.model_copy(update=settings)
    return Emulation(changed, variant, proxies=proxies, seed=1).run()


class ConnectionPartTests(unittest.TestCase):
    """No process opens a connection that the others leave no room for."""

    def check(self, outcomes: Outcomes, *, refused_by_dead: int = 0) -> None:
        servers = outcomes.servers
        self.assertEqual(servers.refused_by_living, 0)
        self.assertLessEqual(servers.refused_connects, refused_by_dead)
        self.assertLessEqual(servers.most_connections, CONNECTIONS)

    def test_reserve_takes_over_while_an_owner_holds_its_part(self) -> None:
        """Guard against refusals while a frozen owner keeps its connections."""
        for proxies in (80, 194):
            frozen = {"kind": "freeze", "target": LossTarget.OWNERS, "domains": 1}
            losses = ({**frozen, "at": 1.0, "lasts": 6.0, "share": 1.0},)
            self.check(replay(losses, proxies=proxies))

    def test_proxies_serve_their_own_callers(self) -> None:
        """Guard against a connection of each proxy while no owner answers."""
        lost = {"kind": "power_loss", "target": LossTarget.ALL_OWNERS, "domains": 1}
        # The more proxies there are, the later each of them learns of the loss.
        for proxies, least in ((80, 0.93), (194, 0.89)):
            losses = ({**lost, "at": 1.0, "lasts": 5.0, "share": 1.0},)
            outcomes = replay(losses, proxies=proxies)
            self.check(outcomes)
            self.assertGreater(outcomes.served_share, least)

    def test_thousands_of_proxies_serve_their_own_callers(self) -> None:
        lost = {"kind": "power_loss", "target": LossTarget.ALL_OWNERS, "domains": 1}
        losses = ({**lost, "at": 0.5, "lasts": 1.0, "share": 1.0},)
        self.check(replay(losses, proxies=4_100, groups=1, seconds=1.5))

    def test_half_of_the_proxies_lose_power(self) -> None:
        """Guard against callers that wait for seconds after a power loss.

        Connections were opened one in 0.2 s, and servers refused most attempts while
        they counted those from before.
        """
        losses = ({"kind": "power_loss", "at": 1.0, "lasts": 1.5, "share": 0.5},)
        outcomes = replay(losses)
        self.check(outcomes, refused_by_dead=outcomes.requests // 20)
        window = outcomes.windows[4]
        self.assertGreater(window["in_time"], 0.97 * window["requests"])

    def test_closed_connections_are_still_counted(self) -> None:
        """Guard against two counted connections where one gives way to another."""
        self.check(replay((), seconds=4.0, per_second=400.0))

    def test_pools_of_their_own_are_as_before(self) -> None:
        """Guard against turns and parts where each proxy has its own pools."""
        outcomes = replay((), proxies=9, seconds=3.0, accounts=0)
        self.check(outcomes)
        self.assertGreater(outcomes.served_share, 0.99)
