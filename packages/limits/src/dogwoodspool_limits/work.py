"""The work that a statement asks of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Work:
    """A statement that asks for admission.

    Attributes:
        priority: a lower number goes first.
        target: clock seconds by which its answer is in time.
        deadline: clock seconds after which its answer is useless.
        kind: what the service time is learned for, such as an endpoint; empty for none.
        account: client account; empty for none.
        account_priority: a lower number goes first, among the same ``priority``.
        wait_until: clock seconds until which it may wait under the order of arrival;
            None for its deadline. It may start at once also after that.
    """

    priority: int
    target: float
    deadline: float
    kind: str = ""
    account: str = ""
    account_priority: int = 0
    wait_until: float | None = None

    @property
    def wait_end(self) -> float:
        """Clock seconds until which it may wait."""
        return self.deadline if self.wait_until is None else self.wait_until
