"""Confirmation by a quorum of control that a view is the newest one."""

import threading
from collections.abc import Iterable
from concurrent.futures import Future, ThreadPoolExecutor

from dogwoodspool_api import WatchResponse
from dogwoodspool_common import Address, Clock, HttpError, JsonClient, log_rate_limited
from dogwoodspool_common.const import NEVER
from pydantic import ValidationError

from .const import (
    CONFIRMATION_RETRY_SECONDS,
    CONFIRMATION_THREADS,
    CONFIRMATION_TIMEOUT,
    CONFIRMED_FOR_SECONDS,
    HEDGE_SECONDS,
)
from .control_peers import ControlPeers
from .poll import poll
from .view import ViewStore


class ViewConfirmation:
    """Confirm that the view in force is the newest one, on request.

    The watch follows any control process that claims to be up to date, and may itself
    be held up. That is enough to serve what the view contains, but not to deny what it
    lacks. A confirmation does not depend on the watch: it is a read that a quorum
    confirms, at another process if the first one does not answer soon.

    Concurrent requests share a confirmation, and it holds for a short time, so that
    callers with unknown names cost control one request a second for each proxy.
    """

    def __init__(
        self, views: ViewStore, peers: ControlPeers, client: JsonClient, clock: Clock
    ) -> None:
        self._views = views
        self._peers = peers
        self._client = client
        self._clock = clock
        self._executor = ThreadPoolExecutor(CONFIRMATION_THREADS, "view-confirmation")
        self._changed = threading.Condition()
        self._is_running = False
        self._confirmed_at = NEVER
        self._retry_at = NEVER

    def confirm(self) -> bool:
        """Return whether the view is the newest one; a newer one is put in force.

        It waits for at most ``CONFIRMATION_TIMEOUT`` seconds. Right after a failure it
        returns False at once.
        """
        with self._changed:
            if self._is_recent():
                return True
            if self._is_running:
                return self._wait_for_other()
            if self._clock.now() < self._retry_at:
                return False
            self._is_running = True
        try:
            return self._run()
        finally:
            with self._changed:
                self._is_running = False
                if not self._is_recent():
                    self._retry_at = self._clock.now() + CONFIRMATION_RETRY_SECONDS
                self._changed.notify_all()

    def unload(self) -> None:
        """Stop after the requests in progress."""
        self._executor.shutdown()

    def _is_recent(self) -> bool:
        return self._clock.now() < self._confirmed_at + CONFIRMED_FOR_SECONDS

    def _wait_for_other(self) -> bool:
        deadline = self._clock.now() + CONFIRMATION_TIMEOUT
        while self._is_running and not self._is_recent():
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return False
            self._clock.wait(self._changed, remaining)
        return self._is_recent()

    def _run(self) -> bool:
        began_at = self._clock.now()
        deadline = began_at + CONFIRMATION_TIMEOUT
        first = self._peers.any()
        asked = self._ask_all([first], began_at)
        if self._wait(asked, began_at, min(deadline, began_at + HEDGE_SECONDS)):
            return True
        others = [one for one in self._peers.addresses if one != first]
        asked += self._ask_all(others, began_at)
        return self._wait(asked, began_at, deadline)

    def _ask_all(
        self, addresses: Iterable[Address], began_at: float
    ) -> list[Future[None]]:
        asked = [
            self._executor.submit(self._ask, address, began_at) for address in addresses
        ]
        for one in asked:
            one.add_done_callback(self._wake)
        return asked

    def _wait(
        self, asked: list[Future[None]], began_at: float, deadline: float
    ) -> bool:
        """Wait for a confirmation; return False once none can come in time."""
        with self._changed:
            while self._confirmed_at < began_at:
                remaining = deadline - self._clock.now()
                if remaining <= 0 or all(one.done() for one in asked):
                    return False
                self._clock.wait(self._changed, remaining)
            return True

    def _wake(self, _asked: Future[None]) -> None:
        with self._changed:
            self._changed.notify_all()

    def _ask(self, address: Address, began_at: float) -> None:
        """Ask one control process for a confirmed read of what is newer."""
        version = self._views.base_version
        try:
            response = poll(
                self._client,
                address,
                version,
                0,
                CONFIRMATION_TIMEOUT,
                must_confirm=True,
            )
        except (HttpError, ValidationError) as error:
            log_rate_limited(
                "view_not_confirmed", address=address, view=version, reason=error
            )
            return
        if not self._holds(response, address):
            log_rate_limited(
                "view_not_confirmed",
                address=address,
                view=self._views.view.version,
                reason="no free slot, another system, or not the base of the view",
            )
            return
        with self._changed:
            self._confirmed_at = max(began_at, self._confirmed_at)
            self._changed.notify_all()

    def _holds(self, response: WatchResponse, address: Address) -> bool:
        """Put a newer view in force; return whether all that was read is in force."""
        if response.retry_after_ms:
            return False
        if response.view is None:
            return self._peers.is_member(address)
        self._views.adopt(response.view, address)
        return self._views.view.version >= response.view.version
