"""Errors of the common library."""


class DogwoodspoolError(Exception):
    """Base of every error that the system's own libraries raise."""


class HttpError(DogwoodspoolError):
    """Base of the errors of calls between the system's processes."""


class PeerUnreachableError(HttpError):
    """Report that no complete answer came from the peer.

    The request may or may not have been processed by the peer.
    """


class PeerNotConnectedError(PeerUnreachableError):
    """Report that no connection to the peer came up: nothing was sent."""


class PeerRefusedError(HttpError):
    """Report that the peer answered with an error status.

    Attributes:
        status: HTTP status of the answer.
        code: short machine-readable reason from the answer's body.
        detail: the reason in words, or a value that the code promises.
    """

    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(f"peer answered {status} {code}: {detail}")
        self.status = status
        self.code = code
        self.detail = detail


class SettingsError(DogwoodspoolError):
    """Report flags or environment variables that do not validate."""
