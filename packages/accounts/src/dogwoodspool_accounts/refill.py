"""Draw tokens from control's leader before a limit owner runs short of them."""

from itertools import islice

from dogwoodspool_common import (
    Clock,
    HttpError,
    JsonClient,
    PeerRefusedError,
    log_rate_limited,
)
from dogwoodspool_following import ControlPeers, Coordinator
from pydantic import ValidationError

from .const import (
    DRAW_ATTEMPTS,
    DRAW_CHECK_SECONDS,
    DRAW_RETRY_SECONDS,
    DRAW_SPACING_SECONDS,
    DRAW_TIMEOUT,
    MAX_ACCOUNTS_PER_DRAW,
    PATH_DRAW,
)
from .domain_allowance import DomainAllowance
from .messages import DrawRequest, DrawResponse


class RefillCoordinator(Coordinator):
    """Draw for all accounts that run short with one request at a time.

    Accounts whose base part suffices cause no requests at all.
    """

    def __init__(
        self,
        allowance: DomainAllowance,
        peers: ControlPeers,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        super().__init__("limit-refill", clock)
        self._allowance = allowance
        self._peers = peers
        self._client = client
        self._retry_at = 0.0

    def step(self) -> float:
        """Draw once if an account runs short; after a failure not before its pause.

        Each request that finds no token wakes this thread. While no leader answers,
        their number must not become the number of draws.
        """
        pause = self._retry_at - self._clock.now()
        if pause > 0:
            return pause
        wanted = dict(islice(self._allowance.wanted().items(), MAX_ACCOUNTS_PER_DRAW))
        if not wanted:
            return DRAW_CHECK_SECONDS
        for _attempt in range(DRAW_ATTEMPTS):
            if self._draw(wanted):
                return DRAW_SPACING_SECONDS
        self._retry_at = self._clock.now() + DRAW_RETRY_SECONDS
        return DRAW_RETRY_SECONDS

    def _draw(self, wanted: dict[str, int]) -> bool:
        """Ask one control process for tokens; return whether it answered as leader."""
        address = self._peers.leader_or_next()
        content = DrawRequest(wanted=wanted).model_dump(mode="json")
        asked_at = self._clock.now()
        try:
            answer = self._client.post(address, PATH_DRAW, content, DRAW_TIMEOUT)
            given = DrawResponse.model_validate(answer).given
        except PeerRefusedError as error:
            log_rate_limited("limit_draw_refused", address=address, reason=error)
            self._peers.record_refusal(address, error)
            return False
        except (HttpError, ValidationError) as error:
            log_rate_limited("limit_draw_failed", address=address, reason=error)
            self._peers.record_failure(address)
            return False
        self._peers.record_leader_answer(address)
        self._allowance.record_draw(wanted, given, asked_at)
        return True
