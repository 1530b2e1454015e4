"""Data classes of the connections library."""

from dataclasses import dataclass
from typing import Self

from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_settings import EffectiveSettings

from .const import (
    DEFAULT_CHECK_AFTER_IDLE,
    DEFAULT_CHECK_TIMEOUT,
    DEFAULT_CONNECT_TIMEOUT,
    DEFAULT_IDLE_EXPIRY,
    DEFAULT_RESET_TIMEOUT,
)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Timeouts of a connection pool, all in seconds.

    Attributes:
        connect_timeout: maximum wait for a new connection.
        check_timeout: maximum wait for the answer to the check before use.
        check_after_idle: idle time after which a connection is checked before use.
        reset_timeout: maximum wait for the reset between two callers.
        idle_expiry: idle time after which a connection is closed.
        surplus_expiry: the same for a connection that is not the last one of the pool
            and belongs to no client account; None to use ``idle_expiry`` for all.
    """

    connect_timeout: float = DEFAULT_CONNECT_TIMEOUT
    check_timeout: float = DEFAULT_CHECK_TIMEOUT
    check_after_idle: float = DEFAULT_CHECK_AFTER_IDLE
    reset_timeout: float = DEFAULT_RESET_TIMEOUT
    idle_expiry: float = DEFAULT_IDLE_EXPIRY
    surplus_expiry: float | None = None

    @classmethod
    def of(cls, settings: EffectiveSettings) -> Self:
        """Build the pool settings from a group's effective settings."""
        return cls(
            connect_timeout=settings.connect_timeout_ms / MILLISECONDS,
            reset_timeout=settings.probe_timeout_ms / MILLISECONDS,
            idle_expiry=settings.idle_connection_ms / MILLISECONDS,
        )
