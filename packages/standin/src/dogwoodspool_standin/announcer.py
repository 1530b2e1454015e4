"""Announce this server to the entry instances."""

import threading
from collections.abc import Callable

from dogwoodspool_api import Announcement
from dogwoodspool_api.const import PATH_ANNOUNCE
from dogwoodspool_common import Address, HttpError, JsonClient, log_event

from .const import ANNOUNCE_TIMEOUT, STOP_TIMEOUT
from .faults import FaultSwitches


class Announcer:
    """Announce this server to one entry instance at a fixed interval.

    Args:
        peer: internal HTTP address of the entry instance.
        interval: time between two announcements, in seconds.
        client: HTTP client that sends the announcements.
        faults: the injected faults.
        announcement: builds an announcement of the current state.
    """

    def __init__(
        self,
        peer: Address,
        interval: float,
        client: JsonClient,
        faults: FaultSwitches,
        announcement: Callable[[], Announcement],
    ) -> None:
        self._peer = peer
        self._interval = interval
        self._client = client
        self._faults = faults
        self._announcement = announcement
        self._stopped = threading.Event()
        self._is_reachable = True
        self._thread = threading.Thread(
            target=self._run, name=f"announce-{peer}", daemon=True
        )

    def set_up(self) -> None:
        """Start announcing."""
        self._thread.start()

    def unload(self) -> None:
        """Stop announcing."""
        self._stopped.set()
        self._thread.join(STOP_TIMEOUT)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._faults.pause_while_frozen()
            if not self._faults.is_address_cut(self._peer):
                self._announce()
            self._stopped.wait(self._interval)

    def _announce(self) -> None:
        body = self._announcement().model_dump(mode="json")
        try:
            self._client.post(self._peer, PATH_ANNOUNCE, body, ANNOUNCE_TIMEOUT)
        except HttpError as error:
            if self._is_reachable:
                log_event(
                    "announcement_failed",
                    level="WARNING",
                    peer=self._peer,
                    error=str(error),
                )
            self._is_reachable = False
            return
        self._is_reachable = True
