"""Run promotions of groups whose primaries are appointed by control itself."""

from ..models import Promotion
from .choose_step import ChooseStep
from .dependencies import PromotionDependencies
from .promote_step import PromoteStep
from .worker import PromotionRunner, PromotionWorker


class Promoter(PromotionWorker):
    """Run the promotion of one group: release and choose, then promote."""

    def __init__(self, group: str, dependencies: PromotionDependencies) -> None:
        super().__init__(
            group,
            dependencies.clock,
            dependencies.node,
            dependencies.state,
            dependencies.timeline,
        )
        self._dependencies = dependencies

    def advance(self, promotion: Promotion) -> None:
        """Carry out the step after the committed one; see ``PromotionWorker``."""
        if promotion.chosen is None:
            ChooseStep(promotion, self._dependencies, self._progress).run()
        else:
            PromoteStep(promotion, self._dependencies, self._progress).run()


class Promotions(PromotionRunner):
    """Run a promoter for each promotion in progress."""

    def __init__(self, dependencies: PromotionDependencies) -> None:
        super().__init__(
            dependencies.state, lambda group: Promoter(group, dependencies)
        )
