"""Return the tokens of operations that did not run."""

import threading
from collections import Counter

from dogwoodspool_common import Clock, HttpError, log_rate_limited
from dogwoodspool_following import Coordinator
from dogwoodspool_sharing import Neighbour, ProxyDirectory

from .const import (
    PATH_RETURN,
    RETURN_IDLE_SECONDS,
    RETURN_PAUSE_SECONDS,
    RETURN_TIMEOUT,
)
from .limit_owner import LimitOwner
from .message_client import MessageClient
from .messages import ReturnRequest
from .owners import LimitOwners


class ReturnCoordinator(Coordinator):
    """Return unused tokens soon after their operations were refused.

    In overload most operations are refused by the servers' queues, and their callers
    come back through other proxies. If the tokens stayed here, callers would be refused
    for a limit that they do not reach.

    Args:
        own: this process.
        owner: holds the tokens that this process itself owns.
    """

    def __init__(
        self,
        own: Neighbour,
        directory: ProxyDirectory,
        owner: LimitOwner,
        client: MessageClient,
        clock: Clock,
    ) -> None:
        super().__init__("limit-return", clock)
        self._own = own
        self._directory = directory
        self._owners = LimitOwners(directory)
        self._owner = owner
        self._client = client
        self._lock = threading.Lock()
        self._unused: Counter[str] = Counter()

    def add(self, account: str) -> None:
        """Return one token soon."""
        with self._lock:
            self._unused[account] += 1
            is_first = self._unused.total() == 1
        if is_first:
            self.wake()

    def step(self) -> float:
        """Return all tokens, with one message to each owner."""
        if not self._unused:
            return RETURN_IDLE_SECONDS
        self._clock.sleep(RETURN_PAUSE_SECONDS)
        with self._lock:
            unused, self._unused = self._unused, Counter()
        by_owner: dict[Neighbour, dict[str, int]] = {}
        for account, count in unused.items():
            order = self._owners.order(account)
            owner = order[0] if order else self._own
            by_owner.setdefault(owner, {})[account] = count
        for owner, tokens in by_owner.items():
            self._return(owner, tokens)
        return 0.0

    def _return(self, owner: Neighbour, tokens: dict[str, int]) -> None:
        if owner.name == self._own.name:
            self._owner.give_back(tokens)
            return
        content = ReturnRequest(unused=tokens).model_dump(mode="json")
        try:
            self._client.post(owner.endpoint, PATH_RETURN, content, RETURN_TIMEOUT)
        except HttpError as error:
            # The tokens are lost; the account's rate replaces them.
            log_rate_limited("limit_return_failed", owner=owner.name, reason=error)
            self._directory.record_owner_failure(owner.name)
