"""Tests of connection shares."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_control.grants.shares import (
    ShareLedger,
    ShareRequest,
    divide_connections,
    fair_shares,
)
from dogwoodspool_limits import base_share
from dogwoodspool_settings import EffectiveSettings
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

SETTINGS = EffectiveSettings()
CONNECTIONS = 20
LIMIT = CONNECTIONS - SETTINGS.reserved_connections
LEASE = 1.5 * 1.02
PROXIES = [f"p{number}" for number in range(9)]
LIMITS = divide_connections(CONNECTIONS, SETTINGS, dict.fromkeys(PROXIES, SETTINGS))


class FairSharesTests(unittest.TestCase):
    """Division of the connections beyond base shares."""

    def test_small_demands_are_met_and_the_rest_is_divided_equally(self) -> None:
        self.assertEqual(
            fair_shares(9, {"a": 1, "b": 20, "c": 20}), {"a": 1, "b": 4, "c": 4}
        )
        self.assertEqual(fair_shares(0, {"a": 3}), {"a": 0})

    def test_nothing_is_left_while_demand_is_unmet(self) -> None:
        for capacity in range(12):
            shares = fair_shares(capacity, {"a": 2, "b": 3, "c": 7})
            self.assertEqual(sum(shares.values()), capacity)

    def test_base_shares_fit_into_a_small_server(self) -> None:
        self.assertEqual(base_share(8, SETTINGS), 0)
        self.assertEqual(base_share(20, EffectiveSettings(base_connections=5)), 2)

    def test_base_shares_of_unregistered_proxies_are_reserved(self) -> None:
        few = divide_connections(CONNECTIONS, SETTINGS, {"p0": SETTINGS})
        self.assertEqual(few.leasable, LIMIT - SETTINGS.max_proxies)


class ShareLedgerTests(unittest.TestCase):
    """Individual cases of leased shares."""

    def setUp(self) -> None:
        self.clock = ManualClock(start=100.0)
        self.ledger = ShareLedger(self.clock)

    def renew(self, proxy: str, demand: int, leases_from: float = 0.0) -> int:
        request = ShareRequest(proxy, "a", {"s1": demand}, self.clock.now() + LEASE)
        shares = self.ledger.renew(request, {"s1": LIMITS}, 1, leases_from)
        return shares["s1"]

    def test_shares_follow_demand_and_are_reused_after_their_lease(
        self,
    ) -> None:
        self.assertEqual(self.renew("p0", 20), 1 + 9)
        self.assertEqual(self.renew("p1", 20), 1 + 0)
        self.clock.advance(0.3)
        self.assertEqual(self.renew("p0", 20), 1 + 4)
        self.assertEqual(self.renew("p1", 20), 1 + 0)
        self.clock.advance(LEASE - 0.2)
        self.assertEqual(self.renew("p1", 20), 1 + 5)

    def test_new_leader_issues_only_base_shares_at_first(self) -> None:
        self.assertEqual(self.renew("p0", 20, leases_from=101.53), 1)
        self.clock.advance(1.53)
        self.assertEqual(self.renew("p0", 20, leases_from=101.53), 10)

    def test_unregistered_proxy_gets_no_base_share(self) -> None:
        self.assertEqual(self.renew("p99", 0), 0)


class ShareMachine(RuleBasedStateMachine):
    """Random demand, lost answers, restarts, suspended processes, leader changes.

    Each process uses the largest share of its leases that have not expired, on the
    slowest clock allowed, measured from when the request was sent, which is some time
    before it was received. Replaced processes keep using their shares.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock(start=100.0)
        self.ledger = ShareLedger(self.clock)
        self.leader_term = 1
        self.leases_from = 0.0
        self.incarnation = dict.fromkeys(PROXIES, 0)
        self.used: list[tuple[tuple[str, int], int, float]] = []

    @rule(
        proxy=st.sampled_from(PROXIES),
        demand=st.integers(0, 25),
        travel=st.sampled_from([0.0, 0.01, 0.4]),
        is_answer_lost=st.booleans(),
    )
    def renew(
        self, proxy: str, demand: int, travel: float, is_answer_lost: bool
    ) -> None:
        now = self.clock.now()
        incarnation = self.incarnation[proxy]
        request = ShareRequest(proxy, str(incarnation), {"s1": demand}, now + LEASE)
        shares = self.ledger.renew(
            request, {"s1": LIMITS}, self.leader_term, self.leases_from
        )
        if not is_answer_lost:
            leased = shares["s1"] - LIMITS.bases[proxy]
            self.used.append(((proxy, incarnation), leased, now - travel + LEASE))

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.3, 1.0, 1.6]))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(proxy=st.sampled_from(PROXIES))
    def restart(self, proxy: str) -> None:
        self.incarnation[proxy] += 1

    @rule(keeps_object=st.booleans())
    def change_leader(self, keeps_object: bool) -> None:
        self.leader_term += 1
        self.leases_from = self.clock.now() + LEASE
        if not keeps_object:
            self.ledger = ShareLedger(self.clock)

    @invariant()
    def stays_below_the_limit(self) -> None:
        now = self.clock.now()
        held: dict[tuple[str, int], int] = {}
        for holder, leased, expires_at in self.used:
            if expires_at > now:
                held[holder] = max(held.get(holder, 0), leased)
        in_use = sum(LIMITS.bases.values()) + sum(held.values())
        assert in_use <= LIMIT, f"{in_use} connections of {LIMIT} at {now}"


class ShareMachineTests(unittest.TestCase):
    """The sum of shares never exceeds the connections that the server accepts."""

    def test_random_histories(self) -> None:
        run_state_machine_as_test(
            ShareMachine,
            settings=settings(
                max_examples=100,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
            ),
        )
