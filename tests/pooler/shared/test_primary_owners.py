"""Tests of requests that the owners near a primary serve for all failure domains."""

import unittest
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any

from dogwoodspool_common import (
    Address,
    Consistency,
    Endpoint,
    ManualClock,
    PeerNotConnectedError,
    Position,
    Role,
)
from dogwoodspool_pooler import Answer, ErrorCode, StatementKind
from dogwoodspool_pooler.read_placement import ReadPlacement
from dogwoodspool_pooler.reads import ReadPath
from dogwoodspool_pooler.shared.access import SharingAccess
from dogwoodspool_pooler.shared.caller_check import CallerCheck
from dogwoodspool_pooler.shared.const import PATH_STATEMENT
from dogwoodspool_pooler.shared.owner_client import OwnerClient
from dogwoodspool_pooler.shared.owner_statements import OwnerStatements
from dogwoodspool_pooler.shared.positions import PositionCoordinator, PositionsApi
from dogwoodspool_pooler.shared.primary_forwarder import PrimaryForwarder
from dogwoodspool_pooler.shared.primary_locations import PrimaryLocations
from dogwoodspool_pooler.shared.statement_api import StatementApi
from dogwoodspool_pooler.shared.statements import SharedStatements
from dogwoodspool_pooler.statements import LocalStatements
from dogwoodspool_pooler.writes import WritePath
from dogwoodspool_sharing import Neighbour, Owners, RemoteOwners

from ..fakes import GROUP, OWN_DOMAIN, FakeServer, Pooler, endpoint, run_text
from .neighbours import IDLE_LIMIT, FakeNeighbours, FixedDirectory, Owner

PRIMARY_DOMAIN = "fd9"
SLOW_SECONDS = 0.28
REMOTE = Owners(
    (Neighbour("r1", "r1:1"), Neighbour("r2", "r2:1")), (Neighbour("r3", "r3:1"),)
)


class Network(FakeNeighbours):
    """Proxies that call each other; those in ``cut_off`` do not respond at all."""

    def __init__(self) -> None:
        super().__init__()
        self.cut_off: set[str] = set()
        self.asked: list[str] = []
        # Clock on which a request takes up to ``SLOW_SECONDS``; None for no time.
        self.slow_clock: ManualClock | None = None

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        self.asked.append(address.host)
        if self.slow_clock is not None:
            self.slow_clock.advance(min(SLOW_SECONDS, timeout))
        if address.host in self.cut_off:
            error = PeerNotConnectedError(f"{address}: timed out")
            raise error from TimeoutError("timed out")
        return super().post(address, path, body, timeout)


class ForwardingDirectory(FixedDirectory):
    """A directory of a failure domain whose proxies share pools."""

    def forwards_to_primary_owners(self, group: str) -> bool:
        return True

    def owners(self, group: str, account: str = "") -> Sequence[Neighbour] | None:
        return super().owners(group, account) if self.names else None


class ForwardingProxy(Pooler):
    """A pooler outside the primary's failure domain.

    Args:
        domain_owners: owners in its own failure domain; empty if it is one itself.
    """

    def __init__(
        self,
        name: str,
        servers: Sequence[FakeServer],
        served_endpoint: Endpoint,
        network: Network,
        domain_owners: Sequence[str] = (),
    ) -> None:
        super().__init__(servers, served_endpoint)
        self.directory = ForwardingDirectory(domain_owners, self)
        self.remote = RemoteOwners(name, OWN_DOMAIN, self.directory, self.clock)
        PrimaryLocations(self.remote, self.views).set_up()
        self.apply_view(primary=servers[0].name)
        self.remote.owners(GROUP)
        self.remote.adopt(PRIMARY_DOMAIN, REMOTE.in_use[0], "", {GROUP: REMOTE}, [])
        self.clock.advance(0.01)
        client = OwnerClient(self.directory, network, self.remote)
        forwarder = PrimaryForwarder(
            self.remote,
            OwnerStatements(client, self.clock),
            self.freshness.record,
            self.clock,
        )
        placement = ReadPlacement(self.views, self.table, self.known, self.access)
        reads = ReadPath(
            self.access,
            placement,
            self.primaries,
            self.counters,
            self.clock,
            forwarder.forward,
        )
        writes = WritePath(self.primaries, self.access, self.final_writes, self.clock)
        self.local_statements = LocalStatements(reads, writes)
        self.sessions = self.sessions_with(
            self.views,
            self.clock,
            SharedStatements(
                self.local_statements, self.directory, client, self.clock, forwarder
            ),
            SharingAccess(self.access, self.directory, client, self.remote),
        )


class PrimaryOwnersTestCase(unittest.TestCase):
    """A caller's proxy, the owner ``o1`` of its domain, and owners near the primary."""

    def prepare(self, served_endpoint: Endpoint | None = None) -> None:
        used = served_endpoint or endpoint()
        self.primary = FakeServer("s1", Role.PRIMARY, failure_domain=PRIMARY_DOMAIN)
        self.replica = FakeServer("s2", Role.REPLICA)
        servers = [self.primary, self.replica]
        self.network = Network()
        self.near: dict[str, Owner] = {
            name: self.network.add(name, Pooler(servers, used))
            for name in ("r1", "r2", "r3")
        }
        self.domain_proxy = ForwardingProxy("o1", servers, used, self.network)
        self.domain_owner = self.network.add("o1", self.domain_proxy)
        self.proxy = ForwardingProxy("p1", servers, used, self.network, ["o1"])
        # The owner that this proxy tries first, and the next one.
        self.first, self.second, _ = (
            one.name for one in self.proxy.remote.owners(GROUP)
        )

    def setUp(self) -> None:
        self.prepare()

    def assert_served(self, text: str) -> None:
        self.assertIsNone(run_text(self.proxy.session(), text).error, text)

    def error_of(self, text: str) -> ErrorCode:
        answer = run_text(self.proxy.session(), text)
        assert answer.error is not None
        return answer.error.code


class PrimaryStatementTests(PrimaryOwnersTestCase):
    """Statements that need the primary go to the owners near it, and run once."""

    def test_a_write_and_a_read_go_directly_to_the_first_owner_there(self) -> None:
        self.assert_served("WRITE k v")
        self.assert_served("READ k")
        self.assertEqual(self.network.asked, [self.first] * 2)
        self.assertEqual(len(self.primary.runs), 2)
        marks = [body.get("at_primary") for body in self.network.bodies]
        self.assertEqual(marks, [None, True])

    def test_a_proxy_that_owns_pools_itself_forwards_as_well(self) -> None:
        run_text(self.domain_proxy.session(), "WRITE k v")
        self.assertEqual(len(self.network.asked), 1)
        self.assertIn(self.network.asked[0], self.near)

    def test_the_next_owner_serves_if_the_first_did_not_run_it(self) -> None:
        for name in ("down", "leaving", "full", "no primary"):
            with self.subTest(name):
                self.prepare()
                owner = self.near[self.first]
                match name:
                    case "down":
                        owner.is_down = True
                    case "leaving":
                        owner.leave()
                    case "full":
                        self.enterContext(owner.slots.acquire_slot())
                        self.enterContext(owner.slots.acquire_slot())
                    case "no primary":
                        owner.pooler.network.servers = {}
                self.assert_served("WRITE k v")
                self.assertEqual(self.network.asked, [self.first, self.second])
                self.assertEqual(len(self.primary.runs), 1)

    def test_the_own_domain_serves_if_no_owner_there_does(self) -> None:
        for owner in self.near.values():
            owner.is_down = True
        self.assert_served("WRITE k v")
        self.assertEqual(self.network.asked[3:], ["o1"])
        self.network.asked.clear()
        for owner in self.near.values():
            owner.is_down = False
            owner.leave()
        self.proxy.clock.advance(2)
        self.assert_served("READ k")
        self.assertEqual(self.network.asked[3:], ["o1"])
        self.assertEqual(len(self.primary.runs), 2)

    def test_a_write_without_an_answer_is_in_doubt_and_is_sent_once(self) -> None:
        """Guard against a write that runs again at another owner."""
        self.near[self.first].loses_answers = True
        self.assertIs(self.error_of("WRITE k v"), ErrorCode.IN_DOUBT)
        self.assertEqual(self.network.asked, [self.first])
        self.assertEqual(len(self.primary.runs), 1)

    def test_a_read_without_an_answer_is_read_elsewhere(self) -> None:
        self.near[self.first].loses_answers = True
        self.assert_served("READ k")

    def test_a_refusal_by_the_primary_reaches_the_caller(self) -> None:
        self.primary.refusals = [ErrorCode.BUSY] * 1_000
        self.assertIs(self.error_of("WRITE k v"), ErrorCode.BUSY)
        self.assertEqual(self.network.asked, [self.first])
        self.assertEqual(self.primary.runs, [])

    def test_a_domain_that_is_cut_off_costs_one_attempt(self) -> None:
        """Guard against callers that wait for each owner of a partitioned domain."""
        self.network.cut_off = set(self.near)
        self.assert_served("WRITE k v")
        self.assertEqual(self.network.asked, [self.first, "o1"])
        self.network.asked.clear()
        self.assert_served("WRITE k v")
        self.assertEqual(self.network.asked, ["o1"])

    def test_an_owner_with_a_stale_view_forwards_nothing(self) -> None:
        """Guard against requests that travel in a circle."""
        near = ForwardingProxy(
            self.first,
            [self.primary, self.replica],
            endpoint(),
            self.network,
        )
        owner = self.near[self.first]
        owner.statements = StatementApi(
            near.views,
            CallerCheck(near.views, near.control),
            near.local_statements,
            owner.slots,
            near.clock,
        )
        self.assert_served("READ k")
        self.assert_served("WRITE k v")
        self.assertEqual(self.network.asked, [self.first] * 2)


class ReadPlacementTests(PrimaryOwnersTestCase):
    """The owner in the caller's failure domain serves what its replicas can."""

    def setUp(self) -> None:
        self.prepare(endpoint(Consistency.BOUNDED_STALENESS, max_age_ms=1_500))

    def test_only_reads_that_need_the_primary_are_forwarded(self) -> None:
        self.assert_served("READ k")
        self.assertEqual(len(self.network.asked), 2)
        self.assertEqual(self.network.asked[0], "o1")
        self.assertIn(self.network.asked[1], self.near)
        self.assertTrue(self.network.bodies[-1]["at_primary"])
        self.assertEqual(len(self.primary.runs), 1)
        # The forwarded read named the position that the next one needs.
        self.assert_served("READ k")
        self.assertEqual(len(self.network.asked), 3)
        self.assertEqual(len(self.replica.runs), 1)

    def test_a_read_that_no_replica_serves_is_forwarded(self) -> None:
        self.assert_served("READ k")
        self.primary.position = Position(3, 200)
        self.domain_proxy.clock.advance(2)
        self.assert_served("READ k")
        self.assert_served("READ k")
        self.assertEqual(self.replica.runs, [])
        self.assertEqual(self.domain_proxy.network.opened_for, [""])
        self.assertEqual(len(self.primary.runs), 3)

    def test_an_owner_learns_positions_without_asking_the_primary(self) -> None:
        """Guard against reads at the primary whenever the last position is old."""
        near = self.network.owners
        for name, owner in self.near.items():
            run_text(owner.pooler.session(), "WRITE k v", name)
            near[name] = PositionsOwner(owner)
        self.replica.position = self.primary.position
        coordinator = PositionCoordinator(
            self.domain_proxy.freshness,
            self.domain_proxy.remote,
            self.network,
            self.domain_proxy.clock,
        )
        coordinator.step()
        self.assertEqual(self.network.asked, [])
        self.domain_proxy.freshness.min_position(GROUP, 1.5)
        coordinator.step()
        self.assert_served("READ k")
        self.assertEqual(len(self.replica.runs), 1)
        self.assertEqual(len(self.primary.runs), 3)


class PositionsOwner(Owner):
    """An owner that also names positions."""

    def __init__(self, owner: Owner) -> None:
        super().__init__(
            owner.pooler,
            owner.leases,
            owner.slots,
            owner.statements,
            owner.transactions,
        )
        self.positions = PositionsApi(owner.pooler.freshness, owner.pooler.clock)

    def routes(self) -> list[Any]:
        return [*super().routes(), *self.positions.routes()]


class PrimaryTransactionTests(PrimaryOwnersTestCase):
    """A transaction that needs the primary is leased at one owner near it."""

    def test_all_its_statements_run_on_one_connection_there(self) -> None:
        session = self.proxy.session()
        for text in ("BEGIN", "READ k", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        self.assertEqual(set(self.network.asked), {self.first})
        self.assertEqual({run.connection for run in self.primary.runs}, {1})
        self.assertEqual(self.near[self.first].leases.count, 0)

    def test_an_owner_that_cannot_reach_the_server_leaves_it_to_the_next(self) -> None:
        self.near[self.first].pooler.network.servers = {}
        session = self.proxy.session()
        for text in ("BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        self.assertEqual(self.network.asked[:2], [self.first, self.second])
        self.assertEqual(self.primary.opened, 1)

    def test_the_own_domain_serves_if_no_owner_there_does(self) -> None:
        for owner in self.near.values():
            owner.leave()
        session = self.proxy.session()
        for text in ("BEGIN", "WRITE k v", "COMMIT"):
            self.assertIsNone(run_text(session, text).error, text)
        self.assertEqual(set(self.network.asked[3:]), {"o1"})

    def test_owners_that_fail_slowly_do_not_exceed_the_deadline(self) -> None:
        """Guard against a caller that waits for each owner's time limit in turn."""
        for text in ("BEGIN", "WRITE k v"):
            with self.subTest(text):
                self.prepare()
                self.network.slow_clock = self.proxy.clock
                for owner in (*self.near.values(), self.domain_owner):
                    owner.is_down = True
                began_at = self.proxy.clock.now()
                session = self.proxy.session()
                run_text(session, text)
                if text == "BEGIN":
                    run_text(session, "WRITE k v")
                self.assertLessEqual(self.proxy.clock.now() - began_at, 1.0)

    def test_a_commit_without_an_answer_is_in_doubt(self) -> None:
        """Guard against a commit that is sent to a second owner."""
        session = self.proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.near[self.first].loses_answers = True
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(set(self.network.asked), {self.first})

    def test_an_owner_that_leaves_finishes_its_transactions(self) -> None:
        session = self.proxy.session()
        run_text(session, "BEGIN")
        run_text(session, "WRITE k v")
        self.near[self.first].leave()
        self.assert_served("WRITE k v")
        self.assertEqual(self.network.asked[-1], self.second)
        self.assertIsNone(run_text(session, "COMMIT").error)
        statements = self.near[self.second].requested_paths
        self.assertEqual(statements, [PATH_STATEMENT])


class RandomFailureTests(PrimaryOwnersTestCase):
    """Whatever fails, a request runs at most once and its answer is true."""

    def fail_randomly(self, random: Random) -> None:
        """Put each owner into a random state."""
        servers = {"s1": self.primary, "s2": self.replica}
        for owner in (*self.near.values(), self.domain_owner):
            owner.is_down = random.random() < 0.2
            owner.loses_answers = random.random() < 0.2
            owner.slots._is_leaving = random.random() < 0.2
            can_reach = random.random() < 0.7
            owner.pooler.network.servers = servers if can_reach else {}
            # As ``RecoveryProber`` and ``LeaseExpiry`` do.
            owner.pooler.table.record_reachable("s1")
            owner.pooler.clock.advance(IDLE_LIMIT + 2)
            owner.leases.end_expired()
        everybody = sorted(self.near)
        self.network.cut_off = set(everybody if random.random() < 0.1 else ())
        can_reach = random.random() < 0.7
        self.proxy.network.servers = servers if can_reach else {}
        self.proxy.table.record_reachable("s1")

    def commits(self) -> int:
        """Return how many commits the primary ran."""
        return sum(run.kind is StatementKind.COMMIT for run in self.primary.runs)

    def run_one(self, number: int) -> Answer:
        """Run a write or, every third time, a transaction with one write."""
        session = self.proxy.session()
        if number % 3:
            return run_text(session, f"WRITE {number}")
        run_text(session, "BEGIN")
        answer = run_text(session, f"WRITE {number}")
        if answer.error is not None:
            run_text(session, "ROLLBACK")
            return answer
        return run_text(session, "COMMIT")

    def test_no_write_runs_twice_and_refused_ones_do_not_run(self) -> None:
        """Guard against a second attempt after one that may have run."""
        random = Random(11)
        outcomes: Counter[str] = Counter()
        for number in range(600):
            self.fail_randomly(random)
            commits = self.commits()
            answer = self.run_one(number)
            runs = sum(run.text == f"WRITE {number}" for run in self.primary.runs)
            code = None if answer.error is None else answer.error.code
            outcomes[str(code)] += 1
            self.assertLessEqual(runs, 1)
            if code is None:
                self.assertEqual(runs, 1)
            elif code.is_not_run:
                self.assertEqual(runs, 0)
            elif code is ErrorCode.ABORTED:
                self.assertEqual(self.commits(), commits)
            self.proxy.clock.advance(random.random())
        self.assertGreater(outcomes["None"], 400)
        self.assertGreater(outcomes["in_doubt"], 20)
        self.assertGreater(outcomes["busy"], 5)
