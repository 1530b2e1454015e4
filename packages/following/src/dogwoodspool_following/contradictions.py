"""Log of views that an earlier confirmation should have brought."""

from dataclasses import dataclass

from dogwoodspool_common import Clock, log_event
from dogwoodspool_common.const import MILLISECONDS

from .read_attempts import Confirmation
from .view import ProxyView, ViewStore


@dataclass(frozen=True, slots=True)
class ConfirmedView:
    """A view, and the read by which a quorum confirmed that it is the newest."""

    view: ProxyView
    confirmation: Confirmation


class ContradictionLog:
    """Write an error line where control has confirmed an old state as the newest.

    A document that was committed before a confirmed read began is in force once that
    read has been answered. If it comes with a later view, the confirmation was wrong.
    """

    def __init__(self, views: ViewStore, clock: Clock) -> None:
        self._views = views
        self._clock = clock
        self._last: ConfirmedView | None = None
        views.add_listener(self._check)

    def record(self, confirmation: Confirmation) -> None:
        """Record a confirmation of the view in force."""
        self._last = ConfirmedView(self._views.view, confirmation)

    def _check(self, view: ProxyView) -> None:
        last = self._last
        if last is None or view.document_age_ms is None:
            return
        confirmed = last.confirmation
        age_ms = round((self._clock.now() - confirmed.began_at) * MILLISECONDS)
        if view.revision <= last.view.revision or view.document_age_ms <= age_ms:
            return
        log_event(
            "confirmation_contradicted",
            level="ERROR",
            view=view.version,
            revision=view.revision,
            sender=view.sender,
            committed_ago_ms=view.document_age_ms,
            confirmed_view=last.view.version,
            confirmed_revision=last.view.revision,
            confirmed_ago_ms=age_ms,
            confirmed_by=confirmed.address,
        )
