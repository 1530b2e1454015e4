"""Guards of complete answers."""

from typing import Any

from .model import Guard, replace


def late_answer_kept() -> None:
    """Reuse a connection after the wait for its answer has timed out."""
    from dogwoodspool_backend import ConnectionPool
    from dogwoodspool_backend.connection import BackendConnection
    from dogwoodspool_backend.wire import Wire
    from dogwoodspool_connections.health import ConnectionHealth

    original = ConnectionPool.release

    def release(self: Any, connection: Any, *, reuse: bool) -> None:
        original(self, connection, reuse=True)

    replace(Wire, "_force_close", lambda _self: None)
    replace(Wire, "abandon", lambda _self: None)
    replace(BackendConnection, "_abort_connection", lambda _self: None)
    replace(ConnectionPool, "release", release)
    replace(ConnectionHealth, "reset_for_reuse", lambda _self, _connection: True)
    replace(ConnectionHealth, "is_usable", lambda _self, _connection, _deadline: True)


def broken_result_ended() -> None:
    """End a truncated result as if it were complete."""
    from dogwoodspool_gateway.fetched import FetchedRows

    def fetch_batch(self: Any) -> None:
        original(self)
        self.failure = None

    original = replace(FetchedRows, "fetch_batch", fetch_batch)


def results_buffered() -> None:
    """Read a result to its end before its first row is sent to the caller."""
    from dogwoodspool_gateway import RowsAnswer
    from dogwoodspool_proxy import reads

    original = reads.rows_answer

    def rows_answer(held: Any, result: Any) -> Any:
        answer = original(held, result)
        rows = list(answer.rows)
        return RowsAnswer(answer.columns, iter(rows), answer.finish)

    replace(reads, "rows_answer", rows_answer)


def packets_unbounded() -> None:
    """Accept requests of any size."""
    from dogwoodspool_gateway.stream import CallerStream

    CallerStream.__init__.__defaults__ = (1 << 32,)


def parameters_unescaped() -> None:
    """Put parameters between quotes without escaping them."""
    from dogwoodspool_gateway import prepared

    replace(prepared, "escape_item", lambda value, _charset: f"'{value}'")


GUARDS = (
    Guard("late-answer-kept", late_answer_kept),
    Guard("broken-result-ended", broken_result_ended),
    Guard("results-buffered", results_buffered),
    Guard("packets-unbounded", packets_unbounded),
    Guard("parameters-unescaped", parameters_unescaped),
)
