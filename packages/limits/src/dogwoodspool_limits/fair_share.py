"""Share the capacity within one priority fairly among client accounts."""

from typing import Protocol

from .const import FAIR_ROUND_SECONDS


class FairShare(Protocol):
    """Assign the waiting work of accounts to rounds; a lower round goes first.

    Each account gets the same amount of work in each round, so that work beyond an
    account's share comes after the work of the others. Work without an account
    belongs to the present round.
    """

    def next_round(self, account: str) -> int:
        """Return the round to which an account's next work belongs."""
        ...

    def charge(self, account: str, seconds: float) -> None:
        """Charge work to an account, or return it if the seconds are negative."""
        ...

    def begin_round(self, number: int) -> None:
        """Record that work of a round runs."""
        ...

    def reset(self) -> None:
        """Forget all accounts, since no statement waits that can be in time."""
        ...


class StartTimeShare:
    """Start-time fair queueing.

    New work starts at the virtual time or where its account's earlier work ends,
    whichever is later. Start times are grouped into rounds.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._ends: dict[str, float] = {}

    def next_round(self, account: str) -> int:
        """Return the round to which an account's next work belongs."""
        return int(self._start(account) / FAIR_ROUND_SECONDS)

    def charge(self, account: str, seconds: float) -> None:
        """Charge work to an account, or return it if the seconds are negative."""
        if account:
            self._ends[account] = self._start(account) + seconds

    def begin_round(self, number: int) -> None:
        """Record that work of a round runs."""
        self._now = max(self._now, number * FAIR_ROUND_SECONDS)

    def reset(self) -> None:
        """Forget all accounts; see ``FairShare``."""
        self._now = 0.0
        self._ends.clear()

    def _start(self, account: str) -> float:
        return max(self._now, self._ends.get(account, 0.0))


class RoundRobinShare:
    """Deficit round-robin.

    An account receives a quantum of work for each round. What it uses beyond the
    quantum is deducted from that of the next round.
    """

    def __init__(self) -> None:
        self._round = 0
        self._accounts: dict[str, tuple[int, float]] = {}

    def next_round(self, account: str) -> int:
        """Return the round to which an account's next work belongs."""
        return self._state(account)[0]

    def charge(self, account: str, seconds: float) -> None:
        """Charge work to an account, or return it if the seconds are negative."""
        if account:
            number, credit = self._state(account)
            self._accounts[account] = (number, credit - seconds)

    def begin_round(self, number: int) -> None:
        """Record that work of a round runs."""
        self._round = max(self._round, number)

    def reset(self) -> None:
        """Forget all accounts; see ``FairShare``."""
        self._round = 0
        self._accounts.clear()

    def _state(self, account: str) -> tuple[int, float]:
        number, credit = self._accounts.get(account, (self._round, FAIR_ROUND_SECONDS))
        if number < self._round:
            number, credit = self._round, FAIR_ROUND_SECONDS
        while credit <= 0:
            number, credit = number + 1, credit + FAIR_ROUND_SECONDS
        return number, credit
