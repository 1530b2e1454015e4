"""The connections that a proxy may always hold, also when it is cut off."""

from dogwoodspool_settings import EffectiveSettings


def base_share(connections: int, settings: EffectiveSettings) -> int:
    """Return what each proxy may always hold of a server's connections.

    Control and the proxies compute it alike: a proxy that is cut off goes by it,
    and control leases to others what is left after all base shares.

    Example:
        >>> base_share(20, EffectiveSettings())
        1
    """
    limit = max(0, connections - settings.reserved_connections)
    return min(settings.base_connections, limit // max(1, settings.max_proxies))
