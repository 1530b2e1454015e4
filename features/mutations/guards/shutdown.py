"""Guards of a graceful shutdown."""

from typing import Any

from .model import Guard


def drain_skipped() -> None:
    """Stop without waiting for what is in flight."""
    from dogwoodspool_gateway import CallerListener

    original = CallerListener.drain
    CallerListener.drain = lambda self, _timeout: original(self, 0.0)


def idle_connection_cut() -> None:
    """Close an idle connection without a word."""
    from dogwoodspool_gateway.connection import CallerConnection

    async def end_idle(self: Any) -> None:
        self._caller_stream.close()

    CallerConnection.end_idle = end_idle


def ready_while_draining() -> None:
    """Tell the balancer that a proxy which stops is ready."""
    from dogwoodspool_proxy.diagnostics import ProxyDiagnostics

    ProxyDiagnostics.start_draining = lambda _self: None


GUARDS = (
    Guard("drain-skipped", drain_skipped),
    Guard("idle-connection-cut", idle_connection_cut),
    Guard("ready-while-draining", ready_while_draining),
)
