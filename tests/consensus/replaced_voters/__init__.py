"""A simulated control group whose voters are replaced, with proxies that follow it."""

from .checks import revision_of
from .machines import Machine
from .proxies import SimulatedProxy
from .world import World

__all__ = ["Machine", "SimulatedProxy", "World", "revision_of"]
