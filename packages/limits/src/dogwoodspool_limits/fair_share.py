"""Share the capacity within one priority fairly among client accounts."""

from typing import Protocol

from .const import FAIR_ROUND_SECONDS


class FairShare(Protocol):
    """Assign the waiting work of accounts to rounds; a lower round goes first.

    Each account gets the same amount of work in each round, so that work beyond an
    account's share comes after the work of the others. Work without an account
    belongs to the present round.
    """

    def assign_round(self, account: str, expected: float) -> int:
        """Return the round of new work that is expected to take some seconds."""
        ...

    def return_work(self, account: str, expected: float) -> None:
        """Take back work that was assigned and then did not wait or run."""
        ...

    def begin_round(self, number: int) -> None:
        """Record that work of a round runs."""
        ...

    def reset(self) -> None:
        """Forget all accounts, since nothing waits."""
        ...


class StartTimeShare:
    """Start-time fair queueing.

    New work starts at the virtual time or where its account's earlier work ends,
    whichever is later. Start times are grouped into rounds.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._ends: dict[str, float] = {}

    def assign_round(self, account: str, expected: float) -> int:
        """Return the round of new work that is expected to take some seconds."""
        start = self._now
        if account:
            start = max(start, self._ends.get(account, 0.0))
            self._ends[account] = start + expected
        return int(start / FAIR_ROUND_SECONDS)

    def return_work(self, account: str, expected: float) -> None:
        """Take back work that was assigned and then did not wait or run."""
        if account in self._ends:
            self._ends[account] -= expected

    def begin_round(self, number: int) -> None:
        """Record that work of a round runs."""
        self._now = max(self._now, number * FAIR_ROUND_SECONDS)

    def reset(self) -> None:
        """Forget all accounts, since nothing waits."""
        self._now = 0.0
        self._ends.clear()


class RoundRobinShare:
    """Deficit round-robin.

    An account receives a quantum of work for each round and carries what it does not
    use, or uses too much, into the next one.
    """

    def __init__(self) -> None:
        self._round = 0
        self._accounts: dict[str, tuple[int, float]] = {}

    def assign_round(self, account: str, expected: float) -> int:
        """Return the round of new work that is expected to take some seconds."""
        if not account:
            return self._round
        number, credit = self._accounts.get(account, (self._round, FAIR_ROUND_SECONDS))
        if number < self._round:
            number, credit = self._round, FAIR_ROUND_SECONDS
        while credit <= 0:
            number, credit = number + 1, credit + FAIR_ROUND_SECONDS
        self._accounts[account] = (number, credit - expected)
        return number

    def return_work(self, account: str, expected: float) -> None:
        """Take back work that was assigned and then did not wait or run."""
        if account in self._accounts:
            number, credit = self._accounts[account]
            self._accounts[account] = (number, credit + expected)

    def begin_round(self, number: int) -> None:
        """Record that work of a round runs."""
        self._round = max(self._round, number)

    def reset(self) -> None:
        """Forget all accounts, since nothing waits."""
        self._round = 0
        self._accounts.clear()
