"""Data classes of the backend library."""

from dataclasses import dataclass, field
from typing import Self

from dogwoodspool_common import Position, Role, ServerStatus
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_settings.models import EffectiveSettings
from pydantic import BaseModel, ConfigDict, Field

from .const import (
    BINARY_CHARSET_ID,
    DEFAULT_CHECK_AFTER_IDLE,
    DEFAULT_CHECK_TIMEOUT,
    DEFAULT_CONNECT_TIMEOUT,
    DEFAULT_IDLE_EXPIRY,
    DEFAULT_RESET_TIMEOUT,
)

Row = tuple[bytes | None, ...]


@dataclass(frozen=True, slots=True)
class Column:
    """One column of an answer, as the server described it.

    Attributes:
        name: name or alias.
        type_code: MySQL's column type.
        charset: number of the collation; 63 is binary.
        flags: MySQL's column flags.
        length: display length in bytes.
        decimals: digits after the point.
    """

    name: str
    type_code: int
    charset: int
    flags: int
    length: int
    decimals: int

    @property
    def is_binary(self) -> bool:
        """Tell whether values are bytes and no text."""
        return self.charset == BINARY_CHARSET_ID


@dataclass(frozen=True, slots=True)
class Credentials:
    """User and password towards backend servers."""

    user: str
    password: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Times of a connection pool, all in seconds.

    Attributes:
        connect_timeout: wait for a new connection.
        check_timeout: wait for the answer of the check before use.
        check_after_idle: idle time after which a connection is checked.
        reset_timeout: wait for the reset between two callers.
        idle_expiry: idle time after which a connection is closed.
    """

    connect_timeout: float = DEFAULT_CONNECT_TIMEOUT
    check_timeout: float = DEFAULT_CHECK_TIMEOUT
    check_after_idle: float = DEFAULT_CHECK_AFTER_IDLE
    reset_timeout: float = DEFAULT_RESET_TIMEOUT
    idle_expiry: float = DEFAULT_IDLE_EXPIRY

    @classmethod
    def of(cls, settings: EffectiveSettings) -> Self:
        """Take the times from a group's settings in force."""
        return cls(
            connect_timeout=settings.connect_timeout_ms / MILLISECONDS,
            reset_timeout=settings.probe_timeout_ms / MILLISECONDS,
            idle_expiry=settings.idle_connection_ms / MILLISECONDS,
        )


class StatusRow(BaseModel):
    """The status statement's row; columns not listed here are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    server: str = Field(min_length=1)
    role: Role
    term: int = Field(ge=0)
    offset: int = Field(ge=0)
    lag_ms: float | None = Field(default=None, ge=0, allow_inf_nan=False)
    leaving: bool = False

    def value(self) -> ServerStatus:
        """Return the inner value."""
        return ServerStatus(
            server=self.server,
            role=self.role,
            position=Position(self.term, self.offset),
            lag_ms=self.lag_ms,
            is_leaving=self.leaving,
        )
