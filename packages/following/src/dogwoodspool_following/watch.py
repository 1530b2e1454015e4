"""Long polling of the committed state of control."""

from dataclasses import dataclass, replace

from dogwoodspool_api import WatchResponse
from dogwoodspool_common import (
    Address,
    Clock,
    HttpError,
    JsonClient,
    PeerRefusedError,
    log_event,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS, NEVER
from pydantic import ValidationError

from .const import (
    DEFAULT_WATCH_WAIT_MS,
    FIRST_VIEW_TIMEOUT_MARGIN,
    RETRY_PAUSE_SECONDS,
    SEARCH_INTERVAL_SECONDS,
    SEARCH_LEADER_TIMEOUT,
    SEARCH_TIMEOUT,
    SLOW_SEARCH_TIMEOUT,
    WATCH_TIMEOUT_MARGIN,
)
from .control_peers import ControlPeers
from .coordinator import Coordinator
from .poll import poll
from .view import ViewStore


@dataclass(frozen=True, slots=True)
class Search:
    """A round of polls without a wait, for a process that is up to date.

    Attributes:
        left: number of processes that are still to be asked; 0 without a search.
        timeout: seconds for each poll.
        has_answer: whether a process has answered or refused.
    """

    left: int = 0
    timeout: float = SEARCH_TIMEOUT
    has_answer: bool = False


class WatchCoordinator(Coordinator):
    """Keep the view store at the newest version.

    The first view after a start must be confirmed by a quorum: otherwise a control
    process that was cut off for a long time could provide an old state, with nothing
    newer to compare it to. Later views come from any process that is in contact with
    the leader; if the polled one is not, another one is polled.

    Args:
        wait_ms: time in milliseconds for which a control process holds a poll when
            there is no newer view.
    """

    def __init__(
        self,
        views: ViewStore,
        peers: ControlPeers,
        client: JsonClient,
        clock: Clock,
        wait_ms: int = DEFAULT_WATCH_WAIT_MS,
    ) -> None:
        super().__init__("control-watch", clock)
        self._wait_ms = wait_ms
        self._views = views
        self._peers = peers
        self._client = client
        self._search = Search()
        self._next_search_at = NEVER
        self._next_leader_poll_at = NEVER

    def step(self) -> float:
        """Poll once for a newer view."""
        leader = self._leader_to_ask()
        if leader is not None:
            return self._ask_leader(leader)
        address = self._peers.any()
        try:
            return self._step(address)
        except Exception:
            # The same process would be asked for good.
            self._peers.record_behind(address)
            raise

    def _leader_to_ask(self) -> Address | None:
        """Return the leader if it is to be asked beside the search.

        Its answers to other calls show that it is up, so that it is given more time
        than processes of which nothing is known. A group whose answers are slow would
        pass for a lost one otherwise.
        """
        now = self._clock.now()
        if not self._search.left or now < self._next_leader_poll_at:
            return None
        leader = self._peers.answering_leader
        if leader is not None:
            self._next_leader_poll_at = now + SEARCH_INTERVAL_SECONDS
        return leader

    def _ask_leader(self, leader: Address) -> float:
        """Poll the leader once; the search for a process to follow goes on."""
        search = self._search
        self._search = replace(search, timeout=SEARCH_LEADER_TIMEOUT)
        try:
            self._step(leader)
        except Exception:
            self._peers.record_behind(leader)
            raise
        finally:
            self._search = search
        return 0.0

    def _step(self, address: Address) -> float:
        asked_at = self._clock.now()
        try:
            response = self._poll(address)
        except PeerRefusedError as error:
            self._search = replace(self._search, has_answer=True)
            self._log_failure(address, asked_at, error)
            self._peers.record_poll_refusal(address, error)
            return self._continue_search()
        except (HttpError, ValidationError) as error:
            self._log_failure(address, asked_at, error)
            self._peers.record_failure(address)
            return self._continue_search()
        self._search = replace(self._search, has_answer=True)
        # A cut-off process may name an outdated leader; renewals find the current one.
        if not self._peers.has_leader:
            self._peers.record_leader_hint(response.leader)
        has_newer = self._adopt(response, address, asked_at)
        if not response.is_current:
            log_event("watch_not_current", address=address)
            self._peers.record_behind(address)
            # A poll that found no slot was answered at once, as the next ones would be.
            if response.retry_after_ms:
                return self._end_search()
            return self._continue_search()
        self._search = Search()
        # A process of the settings that is no member may belong to another system. With
        # an older state, it must not replace the members.
        if has_newer or self._peers.is_member(address):
            self._views.record_confirmed(address)
            if response.members:
                self._peers.adopt(response.members)
        self._peers.record_success(address)
        if response.view is not None:
            return 0.0 if has_newer else RETRY_PAUSE_SECONDS
        if response.retry_after_ms:
            return response.retry_after_ms / MILLISECONDS
        if self._views.view.version < self._views.announced_version:
            # The leader has announced a newer version, but the polled process has not
            # received it: it is cut off from the others without having noticed.
            log_event("watch_stale", address=address)
            self._peers.record_behind(address)
        return 0.0

    def _continue_search(self) -> float:
        """Return the pause before the next process is asked.

        After a poll without a result the others are asked at once, without a wait:
        several of them may be lost as well. Such a round comes at most once in an
        interval, so that an election is not disturbed by the polls of all proxies.
        """
        now = self._clock.now()
        search = self._search
        if search.left > 1:
            self._search = replace(search, left=search.left - 1)
        elif search.left:
            self._search = self._next_round(search)
        elif self._views.is_filled and now >= self._next_search_at:
            others = len(self._peers.addresses) - 1
            self._search = Search(others, search.timeout)
            self._next_search_at = now + SEARCH_INTERVAL_SECONDS
        return 0.0 if self._search.left else RETRY_PAUSE_SECONDS

    def _next_round(self, search: Search) -> Search:
        """Return what follows a round in which no process is up to date.

        If none has even answered, all are asked again at once, with more time.
        """
        if search.has_answer:
            return Search()
        has_more_time = search.timeout >= SLOW_SEARCH_TIMEOUT
        left = 0 if has_more_time else len(self._peers.addresses)
        # Later rounds keep the longer timeout, until a process answers.
        return Search(left, SLOW_SEARCH_TIMEOUT)

    def _end_search(self) -> float:
        self._search = Search()
        return RETRY_PAUSE_SECONDS

    def _adopt(
        self, response: WatchResponse, address: Address, asked_at: float
    ) -> bool:
        """Put the view of a response in force; return whether it is newer."""
        is_first = not self._views.is_filled
        is_member = self._peers.is_member(address)
        if response.view is None or not self._views.adopt(
            response.view, address, is_member=is_member
        ):
            return False
        if is_first:
            elapsed = self._clock.now() - asked_at
            log_event(
                "first_view",
                address=address,
                version=response.view.version,
                leader=response.leader,
                elapsed_ms=round(elapsed * MILLISECONDS),
            )
        return True

    def _log_failure(self, address: Address, asked_at: float, error: Exception) -> None:
        elapsed = self._clock.now() - asked_at
        log_rate_limited(
            "watch_failed",
            address=address,
            view=self._views.view.version,
            elapsed_ms=round(elapsed * MILLISECONDS),
            reason=error,
        )

    def _poll(self, address: Address) -> WatchResponse:
        wait_ms = 0 if self._search.left else self._wait_ms
        margin = self._search.timeout if self._search.left else WATCH_TIMEOUT_MARGIN
        is_first = not self._views.is_filled
        if is_first:
            margin = FIRST_VIEW_TIMEOUT_MARGIN
        return poll(
            self._client,
            address,
            self._views.base_version,
            wait_ms,
            wait_ms / MILLISECONDS + margin,
            must_confirm=is_first,
            lacks_epochs=self._views.lacks_epochs and self._peers.is_member(address),
        )
