"""Guards of requests that are refused as not run."""

from typing import Any

from .model import Guard, replace


def grant_never_expires() -> None:
    """Write under a grant that has expired."""
    from dogwoodspool_proxy.grants import GrantTracker

    def _valid(self: Any, group: str, is_ending: bool = False) -> Any:
        return self._grants.get(group)

    replace(GrantTracker, "_valid", _valid)


def deadline_unchecked() -> None:
    """Ignore the deadlines that statements state."""
    from dogwoodspool_proxy.caller_session import ProxySession

    replace(ProxySession, "_deadline", lambda self, _request: self._clock.now() + 2.0)


def queue_unbounded() -> None:
    """Queue statements without a limit."""
    from dogwoodspool_limits import AdmissionQueue

    original = AdmissionQueue.__init__

    def initialise(
        self: Any,
        clock: Any,
        slots: int,
        max_in_flight: int,
        _limit: int,
        **options: Any,
    ) -> None:
        original(self, clock, slots, max_in_flight, 1_000_000, **options)

    replace(AdmissionQueue, "__init__", initialise)
    replace(AdmissionQueue, "set_queue_limit", lambda _self, _limit: None)


def silence_told_as_not_run() -> None:
    """Report a write without an answer as not run."""
    from dogwoodspool_proxy import answers, writes

    replace(writes, "unknown", lambda message: answers.refused(message, 100))


GUARDS = (
    Guard("grant-never-expires", grant_never_expires),
    Guard("deadline-unchecked", deadline_unchecked),
    Guard("queue-unbounded", queue_unbounded),
    Guard("silence-told-as-not-run", silence_told_as_not_run),
)
