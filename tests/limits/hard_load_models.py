"""Kinds of operations, loads and reports of the replays of hard load."""

from dataclasses import dataclass, field

MAX_STATEMENTS = 12


@dataclass(frozen=True, slots=True)
class Kind:
    """Operations of one endpoint; times are seconds."""

    name: str
    priority: int
    work: float
    target: float
    limit: float
    share: float
    transactions: float
    worth: float
    worth_late: float

    @property
    def mean_work(self) -> float:
        return self.work * (1 + self.transactions * (MAX_STATEMENTS / 2))


FIRST = (
    Kind("A", 1, 0.0093, 0.25, 1.0, 0.15, 0.4, 2.0, 0.6),
    Kind("B", 2, 0.047, 0.8, 3.0, 0.15, 0.0, 1.0, 0.3),
    Kind("C", 2, 0.028, 0.4, 1.0, 0.70, 0.12, 2.0, 0.6),
)
SECOND = (
    Kind("A", 0, 0.006, 0.15, 0.8, 0.135, 0.4, 3.5, 0.3 * 3.5),
    Kind("B", 2, 0.03, 1.0, 2.0, 0.235, 0.0, 0.47, 0.3 * 0.47),
    Kind("C", 1, 0.018, 0.25, 0.8, 0.63, 0.0, 1.9, 0.3 * 1.9),
)


@dataclass(frozen=True, slots=True)
class Load:
    """A load on one server.

    Attributes:
        times: operations as a multiple of the server's capacity.
        weights: relative loads of the queues; equal if empty.
        bound: slots that each queue counts with; all if 0.
        accounts: client accounts; 0 for none.
        heavy: load of the first account as a multiple of another's.
    """

    kinds: tuple[Kind, ...] = FIRST
    times: float = 1.1
    slots: int = 6
    queues: int = 1
    retries: int = 2
    seconds: float = 30.0
    weights: tuple[float, ...] = ()
    bound: int = 0
    accounts: int = 0
    heavy: float = 1.0


@dataclass(slots=True)
class Tally:
    """How the operations of one kind ended."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    longest_wait: float = 0.0

    @property
    def asked(self) -> int:
        return self.in_time + self.late + self.refused


@dataclass(slots=True)
class Report:
    """The result of a replay."""

    kinds: tuple[Kind, ...]
    tallies: dict[str, Tally] = field(default_factory=dict)

    @property
    def goodput(self) -> float:
        """Worth earned divided by worth asked."""
        earned = sum(self._earned(kind) for kind in self.kinds)
        return earned / sum(
            kind.worth * self.tallies[kind.name].asked for kind in self.kinds
        )

    @property
    def worst(self) -> float:
        """Worth earned divided by worth asked of the kind with the lowest."""
        return min(
            self._earned(kind) / (kind.worth * self.tallies[kind.name].asked)
            for kind in self.kinds
        )

    def _earned(self, kind: Kind) -> float:
        tally = self.tallies[kind.name]
        return kind.worth * tally.in_time + kind.worth_late * tally.late
