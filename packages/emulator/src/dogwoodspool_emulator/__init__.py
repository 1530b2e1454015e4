"""Simulate a load on hundreds of proxies in simulated time."""

from .emulation import Emulation
from .errors import ScenarioError
from .models import Scenario
from .outcomes import Outcomes
from .scenario_file import read_scenario

__all__ = ["Emulation", "Outcomes", "Scenario", "ScenarioError", "read_scenario"]
