"""Deployments and callers around features and scenarios."""

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
    """Have the programs load a mutation where ``script/prove`` asks for one.

    Python loads ``sitecustomize`` from the path at each program's start; nothing
    of it is part of the programs.
    """
    context.numbers = itertools.count(1)
    mutation = context.config.userdata.get(OPTION_MUTATION)
    if mutation:
        os.environ["PYTHONPATH"] = str(MUTATIONS)
        os.environ[VARIABLE_MUTATION] = mutation


def before_feature(context: Context, feature: Feature) -> None:
    """Start the deployment that the feature's scenarios share."""
    context.shared = None
    if any(_runs_on_shared(context, scenario) for scenario in feature.walk_scenarios()):
        context.shared = _start(feature.tags)


def after_feature(context: Context, feature: Feature) -> None:
    """End the shared deployment."""
    if context.shared is not None:
        context.shared.unload()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario its world."""
    context.own = None
    if TAG_OWN_DEPLOYMENT in scenario.effective_tags:
        context.own = _start(scenario.effective_tags)
    deployment = context.own or context.shared
    context.world = World(deployment, next(context.numbers))
    context.world.set_up()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Put back what the scenario has changed."""
    if context.own is not None:
        for caller in context.world.callers.values():
            caller.close()
        context.own.unload()
    else:
        context.world.unload()


def _runs_on_shared(context: Context, scenario: Any) -> bool:
    is_own = TAG_OWN_DEPLOYMENT in scenario.effective_tags
    return not is_own and scenario.should_run(context.config)


def _start(tags: Iterable[str]) -> Deployment:
    deployment = Deployment(shape_for(frozenset(tags)))
    try:
        deployment.set_up()
    except BaseException:
        deployment.unload()
        raise
    return deployment
