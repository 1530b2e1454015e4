"""Errors of the emulator."""

from dogwoodspool_common import DogwoodspoolError


class ScenarioError(DogwoodspoolError):
    """Report a scenario that cannot be read or does not validate."""
