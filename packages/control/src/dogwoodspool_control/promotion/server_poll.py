"""Poll the status of all servers of a group concurrently."""

from collections.abc import Iterable, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from dogwoodspool_backend import BackendError, RoleChanger
from dogwoodspool_common import BackendServer, Clock, ServerStatus
from dogwoodspool_common.const import NEVER

from ..const import STATUS_POLL_SECONDS


class ServerPoll:
    """Collect the latest status of each server without waiting for silent ones."""

    def __init__(
        self, clock: Clock, changer: RoleChanger, executor: ThreadPoolExecutor
    ) -> None:
        self._clock = clock
        self._changer = changer
        self._executor = executor
        self._statuses: dict[str, ServerStatus] = {}
        self._calls: dict[Future[ServerStatus], str] = {}
        self._requested_at: dict[str, float] = {}

    @property
    def statuses(self) -> Mapping[str, ServerStatus]:
        """The latest answers by server."""
        return dict(self._statuses)

    @property
    def is_waiting(self) -> bool:
        """Whether a status request is still unanswered."""
        return bool(self._calls)

    def request(self, servers: Iterable[BackendServer]) -> None:
        """Request the status of each server.

        Servers with a request in flight, or with one from the last
        ``STATUS_POLL_SECONDS``, are left out.
        """
        now = self._clock.now()
        in_flight = set(self._calls.values())
        for server in servers:
            requested_at = self._requested_at.get(server.name, NEVER)
            if server.name in in_flight or now - requested_at < STATUS_POLL_SECONDS:
                continue
            self._requested_at[server.name] = now
            call = self._executor.submit(self._changer.status, server)
            self._calls[call] = server.name

    def wait_for_answer(self, seconds: float) -> None:
        """Wait at most ``seconds`` for the next answer."""
        if not self._calls:
            self._clock.sleep(seconds)
            return
        ended, _ = wait(self._calls, timeout=seconds, return_when=FIRST_COMPLETED)
        for call in ended:
            self._store(self._calls.pop(call), call)

    def _store(self, name: str, call: Future[ServerStatus]) -> None:
        try:
            self._statuses[name] = call.result()
        except BackendError:
            # An answer from before the failure still bounds the server's position,
            # but a server that does not answer cannot be promoted.
            self._statuses.pop(name, None)
