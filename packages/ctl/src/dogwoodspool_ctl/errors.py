"""Errors of the operators' command line, each with its exit code."""

from typing import Any, ClassVar

from dogwoodspool_common import DogwoodspoolError

from .const import ExitCode


class CtlError(DogwoodspoolError):
    """Base of the errors that end a command.

    Attributes:
        exit_code: exit code of the program.
        details: further fields of the JSON output, besides the message.
    """

    exit_code: ClassVar[ExitCode] = ExitCode.REJECTED

    def __init__(self, message: str, **details: Any) -> None:
        super().__init__(message)
        self.details = details


class BadArgumentError(CtlError):
    """Report an invalid argument or an unusable source of a secret."""

    exit_code = ExitCode.BAD_SETTINGS


class ControlUnreachableError(CtlError):
    """Report that no control process answered in time.

    A change may have been committed; repeating the same command shows whether it was.
    """

    exit_code = ExitCode.CONTROL_UNREACHABLE


class ConflictError(CtlError):
    """Report that a node's version differs from the one that the change expected."""

    exit_code = ExitCode.CONFLICT


class RejectedError(CtlError):
    """Report that a request was refused and had no effect."""

    exit_code = ExitCode.REJECTED


class NotInForceError(CtlError):
    """Report that some instances did not apply the change within the timeout."""

    exit_code = ExitCode.NOT_IN_FORCE


class DeclinedError(CtlError):
    """Report that the operator did not confirm."""

    exit_code = ExitCode.DECLINED
