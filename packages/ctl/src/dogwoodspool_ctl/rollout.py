"""Wait until a version of the committed state is in force at every proxy."""

from dogwoodspool_common import Clock

from .const import ROLLOUT_POLL_INTERVAL
from .control import Control
from .errors import NotInForceError
from .models import ProxyStatus


def wait_until_in_force(
    control: Control, clock: Clock, view_version: int, timeout_s: float
) -> int:
    """Wait until every registered proxy has a version in force; return their count.

    Raises:
        NotInForceError: names the proxies that are behind at the timeout. The change
            stays accepted, and they apply it as soon as they can.
    """
    deadline = clock.now() + timeout_s
    while True:
        proxies = control.status().proxies
        behind = [proxy for proxy in proxies if not proxy.has_reached(view_version)]
        if not behind:
            return len(proxies)
        if clock.now() >= deadline:
            raise NotInForceError(
                f"version {view_version} is accepted but not yet in force at "
                + ", ".join(_describe(proxy) for proxy in behind),
                view_version=view_version,
                behind=[proxy.proxy for proxy in behind],
            )
        clock.sleep(ROLLOUT_POLL_INTERVAL)


def _describe(proxy: ProxyStatus) -> str:
    if proxy.view_version is None:
        return f"{proxy.proxy} (no renewal yet)"
    return f"{proxy.proxy} (version {proxy.view_version})"
