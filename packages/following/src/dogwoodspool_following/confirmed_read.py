"""A read of control that a quorum confirms."""

from dataclasses import dataclass
from typing import Final

from dogwoodspool_api import ControlView
from dogwoodspool_common import (
    Address,
    HttpError,
    JsonClient,
    endpoints_digest,
    log_event,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS
from pydantic import ValidationError

from .const import ACCEPTED_AGE_MS, CONFIRMATION_READ_TIMEOUT
from .control_peers import ControlPeers
from .poll import poll
from .view import ViewStore


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What a read brought.

    Attributes:
        age: seconds before the read; what had been acknowledged by then is in force
            now. None if the read was not confirmed.
        retry_after: seconds after which the process may have a free slot; 0 unless the
            read was not confirmed as it had none.
    """

    age: float | None = None
    retry_after: float = 0.0

    @property
    def has_no_slot(self) -> bool:
        """Whether the read was not confirmed as the process had no free slot."""
        return self.retry_after > 0


NOT_CONFIRMED: Final = ReadResult()


class ConfirmedReader:
    """Read what is newer than the view in force, and put it in force.

    A configured process that is no member may be one of the present members, while the
    announced ones have all been lost; or it may belong to another system. It is asked
    for the whole state, and counts only if that is newer than the state in force, or
    the same.
    """

    def __init__(
        self, views: ViewStore, peers: ControlPeers, client: JsonClient
    ) -> None:
        self._views = views
        self._peers = peers
        self._client = client

    def read(self, address: Address, max_age_ms: int = ACCEPTED_AGE_MS) -> ReadResult:
        """Ask one process whether a quorum confirms the view.

        Args:
            address: the process.
            max_age_ms: greatest age in milliseconds that is accepted.

        Errors are logged: nobody reads the result of a call that ends late.
        """
        is_member = self._peers.is_member(address)
        version = self._views.base_version if is_member else 0
        try:
            return self._read(address, version, max_age_ms, is_member=is_member)
        except (HttpError, ValidationError) as error:
            log_rate_limited(
                "view_not_confirmed", address=address, view=version, reason=error
            )
        except Exception as error:
            log_event(
                "view_not_confirmed",
                level="ERROR",
                address=address,
                view=version,
                reason=repr(error),
            )
        return NOT_CONFIRMED

    def _read(
        self, address: Address, version: int, max_age_ms: int, *, is_member: bool
    ) -> ReadResult:
        response = poll(
            self._client,
            address,
            version,
            0,
            CONFIRMATION_READ_TIMEOUT,
            must_confirm=True,
            lacks_epochs=self._views.lacks_epochs,
            max_age_ms=max_age_ms,
        )
        if response.view is not None:
            self._adopt(response.view, address, is_member=is_member)
        if response.retry_after_ms:
            log_rate_limited(
                "view_not_confirmed",
                address=address,
                view=version,
                reason="no free slot",
            )
            return ReadResult(retry_after=response.retry_after_ms / MILLISECONDS)
        if not is_member and not self._is_in_force(response.view):
            log_rate_limited(
                "view_not_confirmed",
                address=address,
                view=self._views.view.version,
                reason="it is no member, and has another state",
            )
            return NOT_CONFIRMED
        if response.members:
            # The watch may know only members that have been lost since.
            self._peers.adopt(response.members)
        age = response.confirmed_age_ms / MILLISECONDS
        if response.view is None:
            return ReadResult(age)
        in_force = self._views.view.version
        if in_force < response.view.version:
            log_rate_limited(
                "view_not_confirmed",
                address=address,
                view=in_force,
                reason=f"no base for version {response.view.version}",
            )
            return NOT_CONFIRMED
        return ReadResult(age)

    def _is_in_force(self, view: ControlView | None) -> bool:
        """Return whether a whole state is the one in force."""
        in_force = self._views.view
        if view is None or view.version != in_force.version or not view.digest:
            return False
        return view.digest == endpoints_digest(in_force.endpoints.values())

    def _adopt(self, view: ControlView, address: Address, *, is_member: bool) -> None:
        before, age_ms = self._views.view.version, self._views.age_ms
        confirmed_by = self._views.confirmed_by
        is_adopted = self._views.adopt(view, address, is_member=is_member)
        if not is_adopted or before in (0, view.version):
            return
        log_event(
            "newer_view_found",
            version=view.version,
            before=before,
            sender=address,
            watch_age_ms=age_ms,
            watch_confirmed_by=confirmed_by,
        )
