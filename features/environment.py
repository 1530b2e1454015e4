"""Set up and tear down deployments around features and scenarios."""

import itertools
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from behave.model import Feature, Scenario
from behave.runner import Context
from dogwoodspool_testbed import Deployment
from support.const import OPTION_MUTATION, TAG_OWN_DEPLOYMENT, VARIABLE_MUTATION
from support.shapes import shape_for
from support.world import World

MUTATIONS = Path(__file__).parent / "mutations"


def before_all(context: Context) -> None:
    """Make the programs load a mutation when ``script/prove`` requests one.

    Python loads ``sitecustomize`` from the path at each program's start; it
    is not part of the programs.
    """
    context.table_numbers = itertools.count(1)
    mutation = context.config.userdata.get(OPTION_MUTATION)
    if mutation:
        os.environ["PYTHONPATH"] = str(MUTATIONS)
        os.environ[VARIABLE_MUTATION] = mutation


def before_feature(context: Context, feature: Feature) -> None:
    """Start the deployment that the feature's scenarios share."""
    context.shared_deployment = None
    if any(_runs_on_shared(context, scenario) for scenario in feature.walk_scenarios()):
        context.shared_deployment = _start_deployment(feature.tags)


def after_feature(context: Context, feature: Feature) -> None:
    """Stop the shared deployment."""
    if context.shared_deployment is not None:
        context.shared_deployment.unload()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create the scenario's world on its own or the shared deployment."""
    context.own_deployment = None
    if TAG_OWN_DEPLOYMENT in scenario.effective_tags:
        context.own_deployment = _start_deployment(scenario.effective_tags)
    deployment = context.own_deployment or context.shared_deployment
    context.world = World(deployment, next(context.table_numbers))
    context.world.set_up()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop the scenario's own deployment, or restore the shared one."""
    if context.own_deployment is not None:
        for caller in context.world.callers.values():
            caller.close()
        context.own_deployment.unload()
    else:
        context.world.unload()


def _runs_on_shared(context: Context, scenario: Any) -> bool:
    is_own = TAG_OWN_DEPLOYMENT in scenario.effective_tags
    return not is_own and scenario.should_run(context.config)


def _start_deployment(tags: Iterable[str]) -> Deployment:
    deployment = Deployment(shape_for(frozenset(tags)))
    try:
        deployment.set_up()
    except BaseException:
        deployment.unload()
        raise
    return deployment
