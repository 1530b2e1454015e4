"""Guards of replaced primaries."""

from typing import Any

from .model import CONTROL, Guard


def acknowledged_without_grant() -> None:
    """Acknowledge what the primary answered, whatever became of the grant."""
    from dogwoodspool_proxy.grants import GrantBook

    GrantBook.acknowledge = lambda _self, _permit, _position: True


def one_observer_suffices() -> None:
    """Call a primary failed as soon as one proxy does not reach it."""
    from dogwoodspool_control.detector import FailureDetector

    def is_failed(
        self: Any, server: str, term: int, proxies: Any, settings: Any
    ) -> bool:
        with self._lock:
            registered = {record.name: record.failure_domain for record in proxies}
            verdicts = self._verdicts(server, term, registered, settings)
        return any(any(votes) for votes in verdicts.values())

    FailureDetector.is_failed = is_failed


GUARDS = (
    Guard("acknowledged-without-grant", acknowledged_without_grant),
    Guard("one-observer-suffices", one_observer_suffices, CONTROL),
)
