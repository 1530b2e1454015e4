"""Guards of a graceful shutdown."""

from typing import Any

from .model import Guard


def drain_skipped() -> None:
    """Stop without waiting for what is in flight."""
    from dogwoodspool_proxy.app import Proxy

    def drain(self: Any) -> bool:
        self._diagnostics.start_draining()
        return True

    Proxy.drain = drain


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
