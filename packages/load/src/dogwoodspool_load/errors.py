"""Errors of load and experiments."""

from dogwoodspool_common import DogwoodspoolError


class LoadError(DogwoodspoolError):
    """Base class of the errors of this library."""


class HistoryError(LoadError):
    """Report a recorded history that cannot be read."""


class ScheduleError(LoadError):
    """Report a schedule of faults that cannot be parsed or carried out."""
