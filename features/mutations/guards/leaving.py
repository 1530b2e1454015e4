"""Guards of backend servers that are leaving."""

from typing import Any

from .model import CONTROL, Guard, replace


def leaving_ignored() -> None:
    """Send work to a server that has announced that it is leaving."""
    from dogwoodspool_routing.models import ServerView

    def takes_work(self: Any) -> bool:
        return not self.is_failing

    replace(ServerView, "takes_replica_work", property(takes_work))
    replace(ServerView, "takes_primary_work", property(takes_work))


def leaving_cuts_transactions() -> None:
    """Close a transaction's connection when its server is leaving."""
    from dogwoodspool_proxy.transactions import TransactionPath

    original = TransactionPath._connection

    def _connection(self: Any, caller: Any, transaction: Any, *rest: Any) -> Any:
        held = transaction.held
        if held is not None:
            server = self._views.view.servers.get(held.server.name)
            if server is None or server.is_leaving:
                held.connection.close()
        return original(self, caller, transaction, *rest)

    replace(TransactionPath, "_connection", _connection)


def leaving_primary_stays() -> None:
    """Keep a primary that is leaving as the primary."""
    from dogwoodspool_control.membership.departures import Departures

    replace(Departures, "due_commands", lambda _self: iter(()))


GUARDS = (
    Guard("leaving-ignored", leaving_ignored),
    Guard("leaving-primary-stays", leaving_primary_stays, CONTROL),
    Guard("leaving-cuts-transactions", leaving_cuts_transactions),
)
