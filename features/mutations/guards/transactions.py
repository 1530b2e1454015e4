"""Guards of transactions."""

from typing import Any

from .model import Guard, replace


def dirty_connection_reused() -> None:
    """Release a connection without a reset, even inside a transaction."""
    from dogwoodspool_connections.health import ConnectionHealth
    from dogwoodspool_proxy.transactions import TransactionPath

    def end(self: Any, caller: Any) -> None:
        transaction, caller.transaction = caller.transaction, None
        if transaction is None:
            return
        if transaction.held is not None:
            transaction.held.finish(True)
        if transaction.permit is not None:
            self._grants.end_write(transaction.permit)

    replace(TransactionPath, "end", end)
    replace(
        ConnectionHealth,
        "reset_for_reuse",
        lambda _self, connection: connection.is_open,
    )


def connection_shared() -> None:
    """Release the connection between a transaction's statements."""
    from dogwoodspool_connections.health import ConnectionHealth
    from dogwoodspool_gateway import DoneAnswer
    from dogwoodspool_proxy.transactions import TransactionPath

    original = TransactionPath._execute

    def _execute(
        self: Any, caller: Any, transaction: Any, held: Any, *arguments: Any
    ) -> Any:
        answer = original(self, caller, transaction, held, *arguments)
        if isinstance(answer, DoneAnswer):
            held.finish(True)
        return answer

    replace(TransactionPath, "_execute", _execute)
    replace(
        ConnectionHealth,
        "reset_for_reuse",
        lambda _self, connection: connection.is_open,
    )


def commit_silence_acknowledged() -> None:
    """Report a commit without an answer as committed."""
    from dogwoodspool_gateway import DoneAnswer
    from dogwoodspool_proxy import transactions

    replace(transactions, "unknown", lambda _message: DoneAnswer())


def transactions_never_expire() -> None:
    """Never end an idle transaction."""
    from dogwoodspool_proxy.transactions import TransactionPath

    replace(TransactionPath, "expire", lambda _self, _caller: None)


def shares_fixed() -> None:
    """Keep the base share of connections, ignoring the shares that control leases."""
    from dogwoodspool_proxy.backends import BackendRegistry

    replace(BackendRegistry, "grant_shares", lambda _self, _shares, _until: None)


GUARDS = (
    Guard("dirty-connection-reused", dirty_connection_reused),
    Guard("connection-shared", connection_shared),
    Guard("commit-silence-acknowledged", commit_silence_acknowledged),
    Guard("shares-fixed", shares_fixed),
    Guard("transactions-never-expire", transactions_never_expire),
)
