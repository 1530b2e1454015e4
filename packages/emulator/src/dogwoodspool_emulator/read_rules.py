"""The rule by which an emulated proxy chooses servers for reads."""

import random
from dataclasses import dataclass, field

from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_pooler.const import PRIMARY_PENALTY
from dogwoodspool_pooler.read_cost import StandingCost
from dogwoodspool_routing import ServerView

from .models import Placement


class PenaltyCost(StandingCost):
    """The standing cost with another penalty of the primary.

    Args:
        primary_penalty: penalty in seconds.
    """

    def __init__(self, primary_penalty: float) -> None:
        self._change = primary_penalty - PRIMARY_PENALTY

    def cost(
        self, server: ServerView, *, is_primary: bool, is_own_domain: bool
    ) -> float:
        """Return the expected time with the penalties."""
        cost = super().cost(server, is_primary=is_primary, is_own_domain=is_own_domain)
        return cost + self._change if is_primary else cost


@dataclass(frozen=True, slots=True)
class ReadRules:
    """How a proxy chooses servers for reads.

    Attributes:
        placement: the rule.
        primary_penalty_ms: penalty of the primary under the standing placement; None
            for the default.
        random_source: the proxy's own source of random numbers.
    """

    placement: Placement = Placement.STANDING
    primary_penalty_ms: float | None = None
    random_source: random.Random = field(default_factory=random.Random)

    @property
    def standing_cost(self) -> StandingCost:
        """Return the cost of servers under the standing placement."""
        if self.primary_penalty_ms is None:
            return StandingCost()
        return PenaltyCost(self.primary_penalty_ms / MILLISECONDS)
