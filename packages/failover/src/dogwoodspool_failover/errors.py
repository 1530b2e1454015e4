"""Errors of the failover library."""

from dogwoodspool_common import DogwoodspoolError


class FailoverError(DogwoodspoolError):
    """Base of the failover library's own errors."""


class ServerCallError(FailoverError):
    """Report a call to a backend server that got no usable answer.

    A command may have been executed all the same.
    """


class ServerRefusingError(ServerCallError):
    """Report a machine that refuses connections: no process listens there."""


class ServerBusyError(ServerCallError):
    """Report a server that works but has no capacity for the call."""


class PromotionRefusedError(FailoverError):
    """Report a promotion that the platform refused: it will not be carried out."""


class PromotionNotTakenError(FailoverError):
    """Report a promotion that did not reach the platform, or came in too fast.

    It will not be carried out and may be requested again.
    """


class PromotionUnknownError(FailoverError):
    """Report a promotion that may be carried out, now or seconds later."""
