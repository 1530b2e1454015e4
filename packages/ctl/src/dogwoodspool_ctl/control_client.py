"""Call the control processes: find the leader, and retry after lost answers."""

from collections.abc import Callable
from typing import Any, Protocol

from dogwoodspool_common import (
    Address,
    Clock,
    HttpError,
    PeerRefusedError,
    PeerUnreachableError,
)
from dogwoodspool_common.const import CODE_NOT_LEADER, DEFAULT_HTTP_TIMEOUT

from .const import (
    ATTR_IS_LEADER,
    ATTR_LEADER,
    FIRST_SERVER_ERROR,
    RETRY_DELAY,
    STATUS_CONFLICT,
    STATUS_NOT_LEADER,
    STATUS_TOO_MANY_REQUESTS,
)
from .errors import ConflictError, ControlUnreachableError, RejectedError


class JsonCaller(Protocol):
    """The methods of ``JsonClient`` that are used here."""

    def get(
        self, address: Address, path: str, query: dict[str, str] | None = None
    ) -> dict[str, Any]:
        """Read one resource."""
        ...

    def post(
        self,
        address: Address,
        path: str,
        body: dict[str, Any],
        timeout: float = DEFAULT_HTTP_TIMEOUT,
    ) -> dict[str, Any]:
        """Send one message."""
        ...


class ControlClient:
    """Send each request to the leader, retrying until it is found or time is up.

    A request whose answer was lost is sent again with the same body, to whichever
    control process is the leader by then. That is safe because every message is
    idempotent: a change carries its change id, and the same id gets the first answer.
    """

    def __init__(
        self,
        addresses: list[Address],
        caller: JsonCaller,
        clock: Clock,
        timeout_s: float,
    ) -> None:
        self._addresses = addresses
        self._caller = caller
        self._clock = clock
        self._timeout_s = timeout_s
        self._target = addresses[0]
        # The process of the list that was asked last; others are leaders that it named.
        self._listed = addresses[0]

    def get(self, path: str, query: dict[str, str] | None = None) -> dict[str, Any]:
        """Read one resource from the leader.

        Raises:
            ControlUnreachableError: no leader answered in time.
            ConflictError: the request was refused because of a version.
            RejectedError: the request was refused.
        """
        return self._call(lambda address: self._caller.get(address, path, query))

    def get_from_leader(self, path: str) -> dict[str, Any]:
        """Read a resource that every voter shows but only the leader knows whole."""

        def read(address: Address) -> dict[str, Any]:
            answer = self._caller.get(address, path)
            if answer.get(ATTR_IS_LEADER) is False:
                leader = str(answer.get(ATTR_LEADER) or "")
                raise PeerRefusedError(STATUS_NOT_LEADER, CODE_NOT_LEADER, leader)
            return answer

        return self._call(read)

    def post(
        self, path: str, body: dict[str, Any], timeout: float = DEFAULT_HTTP_TIMEOUT
    ) -> dict[str, Any]:
        """Send one idempotent message to the leader.

        Args:
            path: path of the endpoint.
            body: the message, the same in each copy.
            timeout: seconds for one exchange; errors as for ``get``.
        """
        return self._call(
            lambda address: self._caller.post(address, path, body, timeout)
        )

    def _call(self, send: Callable[[Address], dict[str, Any]]) -> dict[str, Any]:
        deadline = self._clock.now() + self._timeout_s
        failures: dict[Address, str] = {}
        attempts = 0
        while True:
            target = self._target
            try:
                return send(target)
            except (PeerUnreachableError, PeerRefusedError) as error:
                self._target = self._next_target(target, error)
                failures[target] = str(error)
            if self._clock.now() >= deadline:
                raise ControlUnreachableError(_describe_failures(failures))
            attempts += 1
            # Pause after each round: otherwise two processes that each name the other
            # as the leader would be called in a busy loop.
            if attempts % len(self._addresses) == 0:
                self._clock.sleep(RETRY_DELAY)

    def _next_target(self, target: Address, error: HttpError) -> Address:
        if not isinstance(error, PeerRefusedError):
            return self._address_after(target)
        if error.status == STATUS_NOT_LEADER:
            following = self._address_after(target)
            return _parse_leader(error.detail) or following
        if (
            error.status >= FIRST_SERVER_ERROR
            or error.status == STATUS_TOO_MANY_REQUESTS
        ):
            return self._address_after(target)
        if error.status == STATUS_CONFLICT:
            raise ConflictError(error.detail, code=error.code) from error
        raise RejectedError(error.detail or error.code, code=error.code) from error

    def _address_after(self, target: Address) -> Address:
        """Return the next process of the list.

        A leader outside the list is followed by the process after the one that named
        it. If the list began anew, a cut-off process and the lost leader that it names
        would be asked in turn, and nobody else.
        """
        if target in self._addresses:
            self._listed = target
        index = self._addresses.index(self._listed) + 1
        return self._addresses[index % len(self._addresses)]


def _parse_leader(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except ValueError:
        return None


def _describe_failures(failures: dict[Address, str]) -> str:
    reasons = "; ".join(f"{address}: {text}" for address, text in failures.items())
    return (
        f"no control leader answered in time ({reasons}); a change that was sent may "
        "have taken effect: repeat the same command to find out"
    )
