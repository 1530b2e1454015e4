"""Tests of the draws of a limit owner."""

import unittest

from dogwoodspool_accounts import Allocator, DomainAllowance, LimitTolerance
from dogwoodspool_accounts.const import (
    DRAW_ATTEMPTS,
    DRAW_CHECK_SECONDS,
    DRAW_RETRY_SECONDS,
    MAX_ACCOUNTS_PER_DRAW,
)
from dogwoodspool_accounts.messages import DrawRequest
from dogwoodspool_accounts.refill import RefillCoordinator
from dogwoodspool_common import (
    Address,
    JsonClient,
    ManualClock,
    PeerRefusedError,
    PeerUnreachableError,
    RateLimit,
)
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_following import ControlPeers

LIMIT = RateLimit(per_second=20, burst=20)
FIRST, SECOND = Address("c1", 1), Address("c2", 1)


class FakeControl(JsonClient):
    """A leader that gives what is wanted, or fails."""

    def __init__(self) -> None:
        super().__init__(None)
        self.asked: list[Address] = []
        self.draws: list[set[str]] = []
        self.leader: Address | None = None
        self.error: Exception | None = None

    def post(
        self, address: Address, path: str, body: object, timeout: float = 1.0
    ) -> dict[str, object]:
        self.asked.append(address)
        if self.error is not None:
            raise self.error
        if self.leader not in (None, address):
            raise PeerRefusedError(421, CODE_NOT_LEADER, str(self.leader))
        wanted = DrawRequest.model_validate(body).wanted
        self.draws.append(set(wanted))
        return {"given": wanted}


class RefillTests(unittest.TestCase):
    """A limit owner draws for the accounts that run short."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.clock.advance(10)
        allocator = Allocator(lambda _: LIMIT, LimitTolerance(), lambda: 4)
        self.allowance = DomainAllowance(allocator, self.clock)
        self.control = FakeControl()
        peers = ControlPeers((FIRST, SECOND))
        self.refill = RefillCoordinator(self.allowance, peers, self.control, self.clock)

    def test_accounts_left_out_of_a_draw_follow_in_the_next(self) -> None:
        """Guard against a draw that control rejects whole because of its size."""
        count = MAX_ACCOUNTS_PER_DRAW + 5
        for number in range(count):
            self.allowance.take(f"account-{number}")
        for _attempt in range(2):
            self.assertLess(self.refill.step(), DRAW_CHECK_SECONDS)
        self.assertEqual([len(one) for one in self.control.draws], [count - 5, 5])

    def test_failed_draw_is_not_repeated_before_its_pause(self) -> None:
        """Guard against as many draws as requests while control has no leader."""
        self.allowance.take("shop", 20)
        for error in (
            PeerRefusedError(503, "no_leader", ""),
            PeerUnreachableError("lost"),
        ):
            self.control.error = error
            self.control.asked.clear()
            for _request in range(5):
                self.assertGreater(self.refill.step(), 0)
            self.assertEqual(len(self.control.asked), DRAW_ATTEMPTS)
            self.clock.advance(DRAW_RETRY_SECONDS)

    def test_process_that_does_not_lead_names_the_leader(self) -> None:
        self.allowance.take("shop", 20)
        self.control.leader = SECOND
        self.refill.step()
        self.assertEqual(self.control.asked, [FIRST, SECOND])
        self.assertEqual(self.control.draws, [{"shop"}])

    def test_silent_process_is_followed_by_the_next(self) -> None:
        self.allowance.take("shop", 20)
        self.control.error = PeerUnreachableError("lost")
        self.refill.step()
        self.assertEqual(self.control.asked, [FIRST, SECOND])
