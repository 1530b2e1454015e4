"""One poll of a control process for a newer view."""

from dogwoodspool_api import WatchResponse
from dogwoodspool_api.const import (
    PATH_WATCH,
    QUERY_AFTER,
    QUERY_ALL_EPOCHS,
    QUERY_CONFIRMED,
    QUERY_DOCUMENT,
    QUERY_DOCUMENT_AGE,
    QUERY_EPOCHS,
    QUERY_GIVEN_UP,
    QUERY_MAX_AGE_MS,
    QUERY_RETIRED,
    QUERY_VOTERS,
    QUERY_WAIT_MS,
)
from dogwoodspool_common import Address, JsonClient


def poll(
    client: JsonClient,
    address: Address,
    version: int,
    wait_ms: int,
    timeout: float,
    *,
    must_confirm: bool,
    lacks_epochs: bool = False,
    max_age_ms: int = 0,
) -> WatchResponse:
    """Ask a control process for what is newer than a version.

    Args:
        client: makes the call.
        address: the control process.
        version: version of the view in force.
        wait_ms: time in milliseconds for which the poll may be held.
        timeout: seconds for the whole exchange.
        must_confirm: whether a quorum has to confirm that the answer is up to date.
        lacks_epochs: whether the epochs of all groups are wanted as well, also where
            there is no newer version.
        max_age_ms: greatest age of the confirmation, before the request, that the
            caller accepts. The answer states it; a process of an earlier build
            confirms the request itself.

    Raises:
        HttpError: no complete answer was received in time, or it was a refusal.
        ValidationError: the answer is no message of this kind.
    """
    query = {
        QUERY_AFTER: str(version),
        QUERY_WAIT_MS: str(wait_ms),
        QUERY_GIVEN_UP: "1",
        QUERY_RETIRED: "1",
        QUERY_EPOCHS: "1",
        QUERY_ALL_EPOCHS: "1" if lacks_epochs else "0",
        QUERY_VOTERS: "1",
        QUERY_DOCUMENT: "1",
        QUERY_DOCUMENT_AGE: "1",
    }
    if must_confirm:
        query[QUERY_CONFIRMED] = "1"
    if max_age_ms:
        query[QUERY_MAX_AGE_MS] = str(max_age_ms)
    answer = client.get(address, PATH_WATCH, query, timeout)
    return WatchResponse.model_validate(answer)
