"""Guards of replaced primaries."""

from typing import Any

from .model import CONTROL, Guard


def acknowledged_without_grant() -> None:
    """Acknowledge the primary's answer whether or not the grant is still valid."""
    from dogwoodspool_proxy.grants import GrantTracker

    GrantTracker.acknowledge = lambda _self, _permit, _position: True


def one_observer_suffices() -> None:
    """Declare a primary failed as soon as one proxy does not reach it."""
    from dogwoodspool_control.promotion.detector import FailureDetector

    def is_failed(
        self: Any, server: str, term: int, proxies: Any, settings: Any
    ) -> bool:
        with self._lock:
            registered = {record.name: record.failure_domain for record in proxies}
            verdicts = self._verdicts(server, term, registered, settings)
        return any(any(votes) for votes in verdicts.values())

    FailureDetector.is_failed = is_failed


def returning_primary_kept() -> None:
    """Do not demote a primary that returns with an old term."""
    from dogwoodspool_control.promotion.reconciler import Reconciler

    Reconciler.run = lambda _self: None


def replica_chosen_blindly() -> None:
    """Promote the replica that is furthest behind."""
    from dogwoodspool_control.models import ChoiceRefusal
    from dogwoodspool_control.promotion import choose_step
    from dogwoodspool_control.promotion.candidates import Choice
    from expression import Error, Ok

    def choose_candidate(given: Any) -> Any:
        old_primary = given.promotion.old_primary
        offsets = {
            name: status.position.offset
            for name, status in given.statuses.items()
            if name != old_primary
        }
        if not offsets:
            return Error(ChoiceRefusal("no replica answers", ()))
        name = min(offsets, key=lambda one: offsets[one])
        return Ok(Choice(name, offsets[name]))

    choose_step.choose_candidate = choose_candidate


def leadership_kept() -> None:
    """Stay the leader once elected, even after another voter was elected."""
    from dogwoodspool_control.node import ControlNode

    original = ControlNode.leadership
    held: dict[int, Any] = {}

    def leadership(self: Any) -> Any:
        current = original(self)
        if current is not None:
            held[id(self)] = current
        return held.get(id(self))

    ControlNode.leadership = leadership


def promotion_left_undone() -> None:
    """Do not continue a promotion that an earlier leader has begun."""
    from dogwoodspool_control.leader import LeaderLoop

    original = LeaderLoop.begin_leadership

    def begin_leadership(self: Any) -> None:
        original(self)
        begun = set(self._state.promotions)
        run_missing = type(self._promotions).run_missing

        def run_own() -> None:
            if not begun & set(self._state.promotions):
                run_missing(self._promotions)

        self._promotions.run_missing = run_own

    LeaderLoop.begin_leadership = begin_leadership


GUARDS = (
    Guard("acknowledged-without-grant", acknowledged_without_grant),
    Guard("one-observer-suffices", one_observer_suffices, CONTROL),
    Guard("returning-primary-kept", returning_primary_kept, CONTROL),
    Guard("replica-chosen-blindly", replica_chosen_blindly, CONTROL),
    Guard("leadership-kept", leadership_kept, CONTROL),
    Guard("promotion-left-undone", promotion_left_undone, CONTROL),
)
