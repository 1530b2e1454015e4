"""Errors of the control library."""

from dogwoodspool_common import DogwoodspoolError


class ControlError(DogwoodspoolError):
    """Base of the errors of the control library."""


class LeadershipLostError(ControlError):
    """Report that this voter is not, or no longer, the leader.

    Attributes:
        leader: address of the leader as far as known, else empty.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__("this voter does not lead")
        self.leader = leader


class StaleIncarnationError(ControlError):
    """Report a renewal of a process that a newer one has replaced."""


class CommandRejectedError(ControlError):
    """Report a command that was committed and found invalid or too late.

    Attributes:
        code: short machine-readable reason.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class OutcomeUnknownError(ControlError):
    """Report a command that may or may not take effect."""


class ReleaseFailedError(ControlError):
    """Report a proxy that did not answer that it gave up a grant."""


class TooManyRenewalsError(ControlError):
    """Report a proxy that renews too often."""


class TooManyWaitersError(ControlError):
    """Report that too many long polls wait already."""
