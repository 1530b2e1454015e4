"""Draw tokens from control's leader before a limit owner runs short of them."""

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
    DRAW_CHECK_SECONDS,
    DRAW_RETRY_SECONDS,
    DRAW_SPACING_SECONDS,
    DRAW_TIMEOUT,
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

    def step(self) -> float:
        """Draw once if an account runs short."""
        wanted = self._allowance.wanted()
        if not wanted:
            return DRAW_CHECK_SECONDS
        address = self._peers.leader_or_next()
        try:
            answer = self._client.post(
                address,
                PATH_DRAW,
                DrawRequest(wanted=wanted).model_dump(mode="json"),
                DRAW_TIMEOUT,
            )
            given = DrawResponse.model_validate(answer).given
        except PeerRefusedError as error:
            self._peers.record_refusal(address, error)
            return DRAW_RETRY_SECONDS
        except (HttpError, ValidationError) as error:
            log_rate_limited("limit_draw_failed", address=address, reason=error)
            self._peers.record_failure(address)
            return DRAW_RETRY_SECONDS
        self._peers.record_leader_answer(address)
        self._allowance.record_draw(wanted, given)
        return DRAW_SPACING_SECONDS
