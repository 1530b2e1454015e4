"""Tests of the tokens that proxies take from the limit owners."""

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from dogwoodspool_accounts import (
    AccountLimiter,
    Allocator,
    DomainAllowance,
    LimitReserve,
    LimitTolerance,
    RateLimitedError,
)
from dogwoodspool_accounts.const import (
    ACQUIRE_SECONDS,
    ACQUIRE_TIMEOUT,
    LOCAL_HOLD_SECONDS,
    PATH_ACQUIRE,
    PATH_EXCHANGE,
)
from dogwoodspool_accounts.limit_owner import LimitOwner
from dogwoodspool_accounts.owners import limit_owners
from dogwoodspool_accounts.refill import RefillCoordinator
from dogwoodspool_accounts.returns import ReturnCoordinator
from dogwoodspool_common import (
    Address,
    JsonClient,
    JsonRequest,
    ManualClock,
    PeerRefusedError,
    PeerUnreachableError,
    RateLimit,
)
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_following import ControlPeers
from dogwoodspool_sharing import Neighbour, ProxyDirectory

LIMIT = RateLimit(per_second=20, burst=20)
DOMAINS = 4
NAMES = [f"p{number}" for number in range(6)]
LEADER, FOLLOWER = Address("c1", 1), Address("c2", 1)


def allocator(limit_of: Callable[[str], RateLimit | None]) -> Allocator:
    """Return an allocator for the tests' failure domains."""
    return Allocator(limit_of, LimitTolerance(), lambda: DOMAINS)


class ElapsingClock(ManualClock):
    """A clock that advances through every wait, as there is no other thread.

    Attributes:
        on_wait: what happens meanwhile.
    """

    def __init__(self) -> None:
        super().__init__()
        self.on_wait: Callable[[], None] = lambda: None

    def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def wait(self, condition: Any, seconds: float) -> bool:
        condition.release()
        try:
            self.on_wait()
        finally:
            condition.acquire()
        self.advance(max(0.0, seconds))
        return False


class FakeControl(JsonClient):
    """A leader that gives out tokens, and a follower that names it."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(None)
        self.reserve = LimitReserve(allocator(lambda _: LIMIT), clock)
        self.is_silent = False
        self.asked: list[Address] = []

    def post(
        self, address: Address, path: str, body: Any, timeout: float = 1.0
    ) -> dict[str, Any]:
        self.asked.append(address)
        if self.is_silent:
            raise PeerUnreachableError("no answer")
        if address != LEADER:
            raise PeerRefusedError(421, CODE_NOT_LEADER, str(LEADER))
        return {"given": self.reserve.draw(body["wanted"], 0.0)}


@dataclass
class Proxies:
    """Proxies of one failure domain that call each other in memory."""

    clock: ElapsingClock = field(default_factory=ElapsingClock)
    limits: dict[str, RateLimit] = field(default_factory=lambda: {"shop": LIMIT})
    down: set[str] = field(default_factory=set)
    asked: list[str] = field(default_factory=list)
    seconds_per_failure: float = 0.0

    def __post_init__(self) -> None:
        self.control = FakeControl(self.clock)
        self.clock.advance(10)
        self.directories: dict[str, ProxyDirectory] = {}
        self.owners: dict[str, LimitOwner] = {}
        self.refills: dict[str, RefillCoordinator] = {}
        self.limiters: dict[str, AccountLimiter] = {}
        self.returns: dict[str, ReturnCoordinator] = {}
        for name in NAMES:
            self.add(name)
            self.adopt(name)

    def add(self, name: str) -> None:
        """Add a proxy that does not know its neighbours."""
        own = Neighbour(name, f"{name}:1")
        directory = ProxyDirectory(own, DOMAINS, self.clock)
        allowance = DomainAllowance(allocator(self.limits.get), self.clock)
        peers = ControlPeers((FOLLOWER, LEADER))
        refill = RefillCoordinator(allowance, peers, self.control, self.clock)
        owner = LimitOwner(allowance, refill)
        returns = ReturnCoordinator(own, directory, owner, self, self.clock)
        self.directories[name] = directory
        self.refills[name], self.owners[name] = refill, owner
        self.returns[name] = returns
        self.limiters[name] = AccountLimiter(
            own, self.limits.get, directory, owner, returns, self, self.clock
        )

    def adopt(self, name: str) -> None:
        """Tell a proxy its neighbours."""
        self.directories[name].adopt(Neighbour(one, f"{one}:1") for one in NAMES)

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        self.asked.append(address.host)
        if address.host in self.down:
            self.clock.advance(self.seconds_per_failure)
            raise PeerUnreachableError(f"{address} is down")
        handlers = {one.path: one.handler for one in self.owners[address.host].routes()}
        return dict(handlers[path](JsonRequest(path, {}, body)).body)

    def admitted(self, count: int, name: str = "p0") -> int:
        """Begin some operations at once; return how many may run."""
        admitted = 0
        for _ in range(count):
            try:
                self.limiters[name].acquire("shop")
            except RateLimitedError:
                continue
            admitted += 1
        return admitted

    @property
    def order(self) -> list[str]:
        """The proxies to ask for tokens of the account, in this order."""
        neighbours = [Neighbour(name, f"{name}:1") for name in NAMES]
        return [one.name for one in limit_owners("shop", neighbours)]

    @property
    def owner(self) -> str:
        """The proxy that counts the operations of the account."""
        return self.order[0]


class AccountLimiterTests(unittest.TestCase):
    """A proxy takes a token for each operation."""

    def setUp(self) -> None:
        self.proxies = Proxies()
        self.other = next(name for name in NAMES if name != self.proxies.owner)

    def test_all_proxies_ask_the_same_owner(self) -> None:
        for name in NAMES:
            self.proxies.admitted(1, name)
        self.assertEqual(set(self.proxies.asked), {self.proxies.owner})

    def test_account_without_a_limit_is_not_counted(self) -> None:
        self.proxies.limiters["p0"].acquire("other")
        self.assertEqual(self.proxies.asked, [])

    def test_refusal_names_the_limit_and_a_retry_time(self) -> None:
        self.proxies.control.is_silent = True
        self.proxies.admitted(50, self.other)
        with self.assertRaises(RateLimitedError) as raised:
            self.proxies.limiters[self.other].acquire("shop")
        self.assertIn("shop exceeds its limit of 20", str(raised.exception))
        self.assertGreater(raised.exception.retry_after_ms, 0)

    def test_retry_time_holds(self) -> None:
        self.proxies.control.is_silent = True
        self.proxies.admitted(50, self.other)
        with self.assertRaises(RateLimitedError) as raised:
            self.proxies.limiters[self.other].acquire("shop")
        self.proxies.clock.advance(raised.exception.retry_after_ms / 1000 + 0.001)
        self.proxies.limiters[self.other].acquire("shop")

    def test_lost_owner_is_passed_over_and_then_skipped(self) -> None:
        self.proxies.down.add(self.proxies.owner)
        self.assertEqual(self.proxies.admitted(1, self.other), 1)
        self.proxies.clock.advance(0.5)
        self.assertEqual(self.proxies.admitted(1, self.other), 1)
        self.assertEqual(self.proxies.asked.count(self.proxies.owner), 1)

    def test_proxy_that_reaches_no_owner_has_only_its_own_tokens(self) -> None:
        self.proxies.down.update(NAMES)
        admitted = self.proxies.admitted(100, self.other)
        self.assertGreater(admitted, 0)
        self.assertLess(admitted, LIMIT.per_second)

    def test_silent_owners_delay_a_request_only_so_long(self) -> None:
        """Guard against a caller who waits for one silent owner after the other."""
        self.proxies.down.update(NAMES)
        self.proxies.seconds_per_failure = ACQUIRE_TIMEOUT
        start = self.proxies.clock.now()
        self.proxies.limiters[self.proxies.order[-1]].acquire("shop")
        elapsed = self.proxies.clock.now() - start
        self.assertLess(elapsed, ACQUIRE_SECONDS + ACQUIRE_TIMEOUT + 0.001)

    def test_first_request_waits_until_the_neighbours_are_known(self) -> None:
        """Guard against a new proxy that counts alone what an owner counts."""
        self.proxies.add(self.other)
        self.proxies.clock.on_wait = lambda: self.proxies.adopt(self.other)
        self.proxies.limiters[self.other].acquire("shop")
        self.assertEqual(self.proxies.asked, [self.proxies.owner])

    def test_owner_without_tokens_draws_at_once(self) -> None:
        owner = self.proxies.owner
        self.proxies.control.is_silent = True
        self.assertFalse(self.proxies.refills[owner]._is_woken)
        self.proxies.admitted(50, self.other)
        self.assertTrue(self.proxies.refills[owner]._is_woken)

    def test_kept_tokens_expire(self) -> None:
        """Guard against tokens that add to the operations of a later window."""
        self.proxies.control.is_silent = True
        self.proxies.limiters[self.other]._keep_local("shop", 50)
        self.proxies.clock.advance(LOCAL_HOLD_SECONDS)
        self.assertLess(self.proxies.admitted(50, self.other), LIMIT.per_second)

    def test_token_of_an_operation_that_did_not_run_is_returned(self) -> None:
        self.proxies.control.is_silent = True
        used = self.proxies.admitted(100, self.other)
        for _ in range(used):
            self.proxies.limiters[self.other].give_back("shop", 0.0)
        self.proxies.returns[self.other].step()
        third = next(n for n in NAMES if n not in (self.other, self.proxies.owner))
        self.assertGreaterEqual(self.proxies.admitted(100, third), used)

    def test_old_token_is_exchanged_at_the_owner_that_gave_it(self) -> None:
        self.proxies.control.is_silent = True
        for _ in range(2):
            self.proxies.admitted(1, self.other)
            self.proxies.clock.advance(0.6)
        self.proxies.limiters[self.other].exchange("shop", 0.6)
        self.assertEqual(self.proxies.asked, [self.proxies.owner] * 3)

    def test_exchange_does_not_use_a_token_twice(self) -> None:
        """Guard against tokens that are exchanged though others used them up."""
        self.proxies.control.is_silent = True
        limiter = self.proxies.limiters[self.other]
        self.proxies.admitted(1, self.other)
        self.proxies.clock.advance(3.0)
        self.proxies.admitted(100, self.other)
        with self.assertRaises(RateLimitedError):
            for _ in range(5):
                limiter.exchange("shop", 3.0)

    def test_earlier_build_gives_another_token(self) -> None:
        """Guard against operations that are refused while builds are mixed."""
        asked = []
        post = self.proxies.post

        def earlier(
            address: Address, path: str, body: dict[str, Any], timeout: float
        ) -> dict[str, Any]:
            asked.append(path)
            if path == PATH_EXCHANGE:
                raise PeerRefusedError(404, "not_found", path)
            return post(address, path, body, timeout)

        self.proxies.post = earlier  # type: ignore[method-assign]
        self.proxies.limiters[self.other].exchange("shop", 0.3)
        self.assertEqual(asked, [PATH_EXCHANGE, PATH_ACQUIRE])

    def test_owner_draws_more_than_its_base_part(self) -> None:
        total = 0
        self.proxies.admitted(1, self.other)
        self.proxies.clock.advance(0.5)
        for _ in range(40):
            total += self.proxies.admitted(1, self.other)
            self.proxies.refills[self.proxies.owner].step()
            self.proxies.clock.advance(0.06)
        self.assertEqual(total, 40)
        self.assertEqual(self.proxies.control.asked[:2], [FOLLOWER, LEADER])

    def test_nothing_is_drawn_for_accounts_that_are_not_used(self) -> None:
        self.proxies.admitted(3, self.other)
        self.proxies.clock.advance(20)
        self.proxies.refills[self.proxies.owner].step()
        self.assertEqual(self.proxies.control.asked, [])

    def test_removed_limit_no_longer_applies(self) -> None:
        self.proxies.control.is_silent = True
        self.proxies.admitted(100, self.other)
        del self.proxies.limits["shop"]
        self.proxies.limiters[self.other].acquire("shop")


class ForgottenAccountTests(unittest.TestCase):
    """Accounts that are no longer used leave nothing behind."""

    def test_unused_accounts_are_forgotten(self) -> None:
        proxies = Proxies()
        other = next(name for name in NAMES if name != proxies.owner)
        proxies.admitted(3, other)
        proxies.clock.advance(30)
        proxies.limits["bakery"] = LIMIT
        proxies.limiters[other].acquire("bakery")
        proxies.refills[proxies.owner].step()
        limiter = proxies.limiters[other]
        self.assertEqual(set(limiter._local), {"bakery"})
