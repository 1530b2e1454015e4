"""Carry promotions of groups whose primaries control itself appoints."""

from ..models import Promotion
from .choose_step import ChooseStep
from .parts import PromotionParts
from .promote_step import PromoteStep
from .worker import PromotionRunner, PromotionWorker


class Promoter(PromotionWorker):
    """Work on one group's promotion: release and choose, then promote."""

    def __init__(self, group: str, parts: PromotionParts) -> None:
        super().__init__(group, parts.clock, parts.node, parts.state, parts.timeline)
        self._parts = parts

    def carry_on(self, promotion: Promotion) -> None:
        """Do what follows the committed step; see ``PromotionWorker``."""
        if promotion.chosen is None:
            ChooseStep(promotion, self._parts, self._progress).run()
        else:
            PromoteStep(promotion, self._parts, self._progress).run()


class Promotions(PromotionRunner):
    """Run a promoter for each promotion in progress."""

    def __init__(self, parts: PromotionParts) -> None:
        super().__init__(parts.state, lambda group: Promoter(group, parts))
