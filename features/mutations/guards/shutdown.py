"""Guards of a graceful shutdown."""

from typing import Any

from .model import Guard, replace


def drain_skipped() -> None:
    """Stop without waiting for the requests in flight."""
    from dogwoodspool_gateway import CallerListener

    original = CallerListener.drain
    replace(CallerListener, "drain", lambda self, _timeout: original(self, 0.0))


def idle_connection_cut() -> None:
    """Close an idle connection without an error message."""
    from dogwoodspool_gateway.connection import CallerConnection

    async def end_idle(self: Any) -> None:
        self._caller_stream.close()

    replace(CallerConnection, "end_idle", end_idle)


def ready_while_draining() -> None:
    """Report a proxy that is stopping as ready to the load balancer."""
    from dogwoodspool_proxy.diagnostics import ProxyDiagnostics

    replace(ProxyDiagnostics, "start_draining", lambda _self: None)


GUARDS = (
    Guard("drain-skipped", drain_skipped),
    Guard("idle-connection-cut", idle_connection_cut),
    Guard("ready-while-draining", ready_while_draining),
)
