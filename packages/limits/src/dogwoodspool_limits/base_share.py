"""The connections that a proxy may hold even while disconnected from control."""

from dogwoodspool_settings import EffectiveSettings


def base_share(connections: int, settings: EffectiveSettings) -> int:
    """Return how many of a server's connections each proxy may always hold.

    Control and the proxies compute the same value: a proxy that is disconnected from
    control keeps to it, and control leases only the connections that remain after
    all base shares.

    Example:
        >>> base_share(20, EffectiveSettings())
        1
    """
    limit = max(0, connections - settings.reserved_connections)
    return min(settings.base_connections, limit // max(1, settings.max_proxies))
