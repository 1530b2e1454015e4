"""Client for the owners of pools."""

import errno
from typing import Final, TypeVar

from dogwoodspool_api import Message
from dogwoodspool_common import (
    PeerNotConnectedError,
    PeerRefusedError,
    PeerUnreachableError,
    const,
    log_rate_limited,
    span,
)
from dogwoodspool_sharing import (
    MessageClient,
    Neighbour,
    ProxyDirectory,
    RemoteOwners,
)
from pydantic import ValidationError

from .const import PATH_RELEASE, RELEASE_TIMEOUT
from .errors import (
    OwnerFullError,
    OwnerSilentError,
    OwnerUnavailableError,
    UnknownLeaseError,
)
from .messages import OwnerRefusal, ReleaseLease

# Errors of a connection whose other end did not respond, as opposed to a refusal.
UNREACHABLE_ERRORS: Final = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)

ResponseT = TypeVar("ResponseT", bound=Message)


class OwnerClient:
    """Send requests to single owners and map their failures to errors.

    Args:
        directory: the neighbours of this process.
        client: calls other proxies.
        remote: owners in other failure domains, if they are used.
    """

    def __init__(
        self,
        directory: ProxyDirectory,
        client: MessageClient,
        remote: RemoteOwners | None = None,
    ) -> None:
        self._directory = directory
        self._client = client
        self._remote = remote

    def ask(
        self,
        owner: Neighbour,
        path: str,
        request: Message,
        response_type: type[ResponseT],
        timeout: float,
    ) -> ResponseT:
        """Send a request and return the answer.

        Raises:
            OwnerUnavailableError: the owner did not accept it; nothing ran.
            UnknownLeaseError: the owner does not hold its lease; nothing ran.
            OwnerSilentError: the owner did not answer it; it may have run.
        """
        content = request.model_dump(mode="json", exclude_defaults=True)
        asked_at = 0.0 if self._remote is None else self._remote.now()
        try:
            with span("owner.request", owner=owner.name):
                answer = self._client.post(owner.endpoint, path, content, timeout)
            self._record_answer(owner)
            return response_type.model_validate(answer)
        except PeerNotConnectedError as error:
            self._record_remote_failure(owner, error, asked_at)
            raise self._unavailable(owner, error) from error
        except PeerRefusedError as error:
            self._record_answer(owner)
            raise self._refusal(owner, error) from error
        except (PeerUnreachableError, ValidationError) as error:
            self._record_remote_failure(owner, error, asked_at)
            raise self._silent(owner, error) from error

    def release(self, owner: Neighbour, lease: str, *, is_good: bool) -> None:
        """Release a lease."""
        message = ReleaseLease(lease=lease, is_good=is_good)
        content = message.model_dump(mode="json")
        try:
            self._client.post(owner.endpoint, PATH_RELEASE, content, RELEASE_TIMEOUT)
        except (PeerUnreachableError, PeerRefusedError) as error:
            # The owner expires the lease on its own a little later.
            log_rate_limited("release_failed", owner=owner.name, reason=error)

    def _record_answer(self, owner: Neighbour) -> None:
        if self._remote is not None:
            self._remote.record_answer(owner.name)

    def _record_remote_failure(
        self, owner: Neighbour, error: Exception, asked_at: float
    ) -> None:
        if self._remote is not None:
            self._remote.record_owner_failure(
                owner.name, asked_at, is_unreachable=_is_unreachable(error)
            )

    def _refusal(self, owner: Neighbour, error: PeerRefusedError) -> Exception:
        text = f"{owner.name}: {error}"
        match error.code:
            case OwnerRefusal.LEAVING:
                return self._unavailable(owner, error)
            case OwnerRefusal.NOT_KNOWN:
                # One of the two processes has an older view, so the owner is not marked
                # as failed.
                return OwnerUnavailableError(text)
            case OwnerRefusal.FULL:
                return OwnerFullError(text)
            case const.CODE_BAD_REQUEST:
                # An owner of an earlier build rejects fields that it does not know.
                return OwnerUnavailableError(text)
            case OwnerRefusal.UNKNOWN_LEASE:
                return UnknownLeaseError(text)
            case _:
                return self._silent(owner, error)

    def _unavailable(self, owner: Neighbour, error: Exception) -> OwnerUnavailableError:
        self._directory.record_owner_failure(owner.name)
        log_rate_limited("owner_passed_over", owner=owner.name, reason=error)
        return OwnerUnavailableError(f"{owner.name}: {error}")

    def _silent(self, owner: Neighbour, error: Exception) -> OwnerSilentError:
        self._directory.record_owner_failure(owner.name)
        log_rate_limited("owner_silent", owner=owner.name, reason=error)
        return OwnerSilentError(f"{owner.name}: {error}")


def _is_unreachable(error: Exception) -> bool:
    """Return whether the owner's machine did not respond.

    A machine that refuses a connection or resets it is reachable, and so is one whose
    process takes too long to answer.
    """
    cause = error.__cause__
    if not isinstance(cause, OSError):
        return False
    if isinstance(error, PeerNotConnectedError) and isinstance(cause, TimeoutError):
        return True
    return cause.errno in UNREACHABLE_ERRORS
