"""Shapes of the deployments on which the features run, by tag."""

from typing import Final

from dogwoodspool_testbed import DeploymentShape, StandinShape

from .const import GROUP, OTHER_GROUP

# Eleven connections, two of them reserved for control, leave one for each of the nine
# proxies that may register, so that all callers of a proxy share one connection.
LIMITED_CONNECTIONS: Final = StandinShape(connections=11)

DEFAULT_SHAPE: Final = DeploymentShape()

SHAPES: Final = {
    "ample-connections": DEFAULT_SHAPE,
    "transactions": DeploymentShape(standin=LIMITED_CONNECTIONS),
    "whole-answers": DeploymentShape(standin=LIMITED_CONNECTIONS),
    "not-run": DeploymentShape(
        standin=LIMITED_CONNECTIONS, root_settings={"queue_limit": 2}
    ),
    "membership": DeploymentShape(groups=(GROUP, OTHER_GROUP)),
}


def shape_for(tags: frozenset[str]) -> DeploymentShape:
    """Return the shape for the tags of a feature or a scenario."""
    return next((shape for tag, shape in SHAPES.items() if tag in tags), DEFAULT_SHAPE)
