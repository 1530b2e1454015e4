"""Errors of the common library."""


class DogwoodspoolError(Exception):
    """Base of all errors raised by the system's libraries."""


class HttpError(DogwoodspoolError):
    """Base of errors of calls between the system's processes."""


class PeerUnreachableError(HttpError):
    """Report that no complete answer was received from the peer.

    The request may or may not have been processed by the peer.
    """


class PeerNotConnectedError(PeerUnreachableError):
    """Report that no connection to the peer was established; nothing was sent."""


class PeerRefusedError(HttpError):
    """Report that the peer answered with an error status.

    Attributes:
        status: HTTP status of the answer.
        code: short machine-readable reason from the answer's body.
        detail: description of the reason, or a value defined by the code.
    """

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(f"peer answered {status} {code}: {detail}")
        self.status = status
        self.code = code
        self.detail = detail


class SettingsError(DogwoodspoolError):
    """Report settings that are missing or invalid."""
