"""Shapes of the deployments on which the features run, by the feature's tag."""

from typing import Final

from dogwoodspool_testbed import DeploymentShape, StandinShape

from .const import GROUP, OTHER_GROUP

# Eleven connections, two of them kept for control, leave one for each of the nine
# proxies that may register: all callers of a proxy share one connection.
SCARCE: Final = StandinShape(connections=11)

DEFAULT_SHAPE: Final = DeploymentShape()

SHAPES: Final = {
    "transactions": DeploymentShape(standin=SCARCE),
    "whole-answers": DeploymentShape(standin=SCARCE),
    "not-run": DeploymentShape(standin=SCARCE, root_settings={"queue_limit": 2}),
    "membership": DeploymentShape(groups=(GROUP, OTHER_GROUP)),
}


def shape_for(tags: list[str]) -> DeploymentShape:
    """Return the shape of a feature's deployments."""
    for tag in tags:
        if tag in SHAPES:
            return SHAPES[tag]
    return DEFAULT_SHAPE
