"""Confirmation by a quorum of control that a view is the newest one."""

import threading
from collections.abc import Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass

from dogwoodspool_common import (
    Address,
    Clock,
    HttpError,
    JsonClient,
    log_event,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS, NEVER
from pydantic import ValidationError

from .const import (
    CONFIRMATION_READ_TIMEOUT,
    CONFIRMATION_RETRY_SECONDS,
    CONFIRMATION_THREADS,
    CONFIRMATION_TIMEOUT,
    CONFIRMED_FOR_SECONDS,
    HEDGE_SECONDS,
    MAX_CONFIRMATION_RETRY_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
)
from .control_peers import ControlPeers
from .poll import poll
from .view import ViewStore


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A read that a quorum confirmed.

    Attributes:
        began_at: clock time; everything that was acknowledged before is in force here.
        address: the control process that answered.
    """

    began_at: float
    address: Address


class ViewConfirmation:
    """Confirm that the view in force is the newest one, on request.

    The watch follows any control process that claims to be up to date, and may itself
    be held up. That is enough to serve what the view contains, but not to deny what it
    lacks. A confirmation does not depend on the watch: it is a read that a quorum
    confirms, at another process if the first one does not answer soon.

    Concurrent requests share a confirmation, and it holds for a short time, so that
    callers with unknown names cost control one request a second for each proxy. After
    failures the next attempt waits ever longer, so that neither the callers of a proxy
    that is cut off nor an election are held up.
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
        self._is_closed = False
        self._lacks_slot = False
        self._last: Confirmation | None = None
        self._retry_at = NEVER
        self._retry_seconds = CONFIRMATION_RETRY_SECONDS

    @property
    def confirmed_by(self) -> Address | None:
        """The control process that confirmed the view last; None before the first."""
        return None if self._last is None else self._last.address

    @property
    def age_ms(self) -> int | None:
        """Milliseconds since the last confirmation; None before the first."""
        last = self._last
        if last is None:
            return None
        return round((self._clock.now() - last.began_at) * MILLISECONDS)

    @property
    def lacks_slot(self) -> bool:
        """Whether a process had no free slot for a read since the last confirmation."""
        return self._lacks_slot

    def refresh(self) -> bool:
        """Confirm the view unless that was done lately; return whether it was."""
        if self._is_since(self._clock.now() - MAX_UNCONFIRMED_SECONDS):
            return True
        return self.confirm()

    def confirm(self, timeout: float = CONFIRMATION_TIMEOUT) -> bool:
        """Return whether the view is the newest one; a newer one is put in force.

        Right after a failure it returns False at once.

        Args:
            timeout: seconds to wait. An answer that comes later counts for later calls.
        """
        with self._changed:
            if self._is_recent():
                return True
            if self._is_running:
                return self._wait_for_other(timeout)
            if self._is_closed or self._clock.now() < self._retry_at:
                return False
            self._is_running = True
        is_confirmed = False
        try:
            is_confirmed = self._run(timeout)
            return is_confirmed
        finally:
            with self._changed:
                self._is_running = False
                self._schedule_retry(is_confirmed=is_confirmed)
                self._changed.notify_all()

    def unload(self) -> None:
        """Stop after the requests in progress; later calls of ``confirm`` fail."""
        with self._changed:
            self._is_closed = True
        self._executor.shutdown()

    def _schedule_retry(self, *, is_confirmed: bool) -> None:
        if is_confirmed:
            self._retry_seconds = CONFIRMATION_RETRY_SECONDS
            return
        self._retry_at = self._clock.now() + self._retry_seconds
        longer = 2 * self._retry_seconds
        self._retry_seconds = min(longer, MAX_CONFIRMATION_RETRY_SECONDS)

    def _is_recent(self) -> bool:
        return self._is_since(self._clock.now() - CONFIRMED_FOR_SECONDS)

    def _is_since(self, since: float) -> bool:
        return self._last is not None and self._last.began_at >= since

    def _wait_for_other(self, timeout: float) -> bool:
        deadline = self._clock.now() + timeout
        while self._is_running and not self._is_recent():
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return False
            self._clock.wait(self._changed, remaining)
        return self._is_recent()

    def _run(self, timeout: float) -> bool:
        began_at = self._clock.now()
        deadline = began_at + timeout
        preferred = self._peers.any()
        # A process that is no member may belong to another system.
        members = [one for one in self._peers.addresses if self._peers.is_member(one)]
        members.sort(key=lambda one: one != preferred)
        asked = self._ask_all(members[:1], began_at)
        if self._wait(asked, began_at, min(deadline, began_at + HEDGE_SECONDS)):
            return True
        asked += self._ask_all(members[1:], began_at)
        return self._wait(asked, began_at, deadline)

    def _ask_all(
        self, addresses: Iterable[Address], began_at: float
    ) -> list[Future[None]]:
        with self._changed:
            if self._is_closed:
                return []
            asked = [
                self._executor.submit(self._ask, address, began_at)
                for address in addresses
            ]
        for one in asked:
            one.add_done_callback(self._wake)
        return asked

    def _wait(
        self, asked: list[Future[None]], began_at: float, deadline: float
    ) -> bool:
        """Wait for a confirmation; return False once none can come in time."""
        with self._changed:
            while not self._is_since(began_at):
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
            is_confirmed = self._read(address, version)
        except (HttpError, ValidationError) as error:
            log_rate_limited(
                "view_not_confirmed", address=address, view=version, reason=error
            )
            return
        except Exception as error:
            # Nobody reads the result of this call.
            log_event(
                "view_not_confirmed",
                level="ERROR",
                address=address,
                view=version,
                reason=repr(error),
            )
            return
        if not is_confirmed:
            return
        with self._changed:
            if not self._is_since(began_at):
                self._last = Confirmation(began_at, address)
            self._lacks_slot = False
            self._changed.notify_all()

    def _read(self, address: Address, version: int) -> bool:
        """Make a confirmed read; return whether all that was read is in force."""
        response = poll(
            self._client,
            address,
            version,
            0,
            CONFIRMATION_READ_TIMEOUT,
            must_confirm=True,
        )
        if response.view is not None:
            self._views.adopt(response.view, address)
        if response.retry_after_ms:
            self._lacks_slot = True
            log_rate_limited(
                "view_not_confirmed",
                address=address,
                view=version,
                reason="no free slot",
            )
            return False
        if response.members:
            # The watch may know only members that have been lost since.
            self._peers.adopt(response.members)
        if response.view is None:
            return True
        in_force = self._views.view.version
        if in_force < response.view.version:
            log_rate_limited(
                "view_not_confirmed",
                address=address,
                view=in_force,
                reason=f"no base for version {response.view.version}",
            )
            return False
        return True
