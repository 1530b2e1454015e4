"""Guards of requests that run at most once."""

from typing import Any

from .model import Guard, replace


def request_row_skipped() -> None:
    """Run a write with a request id like one without."""
    from dogwoodspool_requests import RequestRunner
    from dogwoodspool_requests.models import RequestOutcome

    def run(self: Any, _identity: Any, sql: str) -> Any:
        result = self._execute(sql)
        return RequestOutcome(result.affected_rows, result.last_insert_id, False)

    replace(RequestRunner, "run", run)


def unknown_write_resent() -> None:
    """Resend every write whose outcome is unknown."""
    from dogwoodspool_proxy.writes import WritePath

    replace(WritePath, "_may_repeat", lambda _self, _caller, _request: True)


GUARDS = (
    Guard("request-row-skipped", request_row_skipped),
    Guard("unknown-write-resent", unknown_write_resent),
)
