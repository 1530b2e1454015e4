"""Ask all servers of a group for their status at the same time."""

from collections.abc import Iterable, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from dogwoodspool_backend import BackendError, RoleChanger
from dogwoodspool_common import BackendServer, Clock, ServerStatus
from dogwoodspool_common.const import NEVER

from ..const import STATUS_POLL_SECONDS


class ServerPoll:
    """Hold the latest answer of each server, without waiting for silent ones."""

    def __init__(
        self, clock: Clock, changer: RoleChanger, executor: ThreadPoolExecutor
    ) -> None:
        self._clock = clock
        self._changer = changer
        self._executor = executor
        self._statuses: dict[str, ServerStatus] = {}
        self._calls: dict[Future[ServerStatus], str] = {}
        self._asked_at: dict[str, float] = {}

    @property
    def statuses(self) -> Mapping[str, ServerStatus]:
        """The latest answers by server."""
        return dict(self._statuses)

    @property
    def is_waiting(self) -> bool:
        """Whether a server that was asked has not answered yet."""
        return bool(self._calls)

    def ask(self, servers: Iterable[BackendServer]) -> None:
        """Ask each server that is not being asked and was not asked just now."""
        now = self._clock.now()
        asked = set(self._calls.values())
        for server in servers:
            asked_at = self._asked_at.get(server.name, NEVER)
            if server.name in asked or now - asked_at < STATUS_POLL_SECONDS:
                continue
            self._asked_at[server.name] = now
            call = self._executor.submit(self._changer.status, server)
            self._calls[call] = server.name

    def wait_for_answer(self, seconds: float) -> None:
        """Wait for the next answer, at most some seconds."""
        if not self._calls:
            self._clock.sleep(seconds)
            return
        ended, _ = wait(self._calls, timeout=seconds, return_when=FIRST_COMPLETED)
        for call in ended:
            self._take(self._calls.pop(call), call)

    def _take(self, name: str, call: Future[ServerStatus]) -> None:
        try:
            self._statuses[name] = call.result()
        except BackendError:
            # An answer from before the failure still bounds what the server
            # has, but a server that does not answer cannot be promoted.
            self._statuses.pop(name, None)
