"""Data models of the backend library."""

from dataclasses import dataclass, field

from dogwoodspool_common import Position, Role, ServerStatus
from pydantic import BaseModel, ConfigDict, Field

from .const import BINARY_CHARSET_ID

Row = tuple[bytes | None, ...]


@dataclass(frozen=True, slots=True)
class Column:
    """Describe a column of an answer, as reported by the server.

    Attributes:
        name: name or alias.
        type_code: MySQL column type.
        charset: collation id; 63 is binary.
        flags: MySQL column flags.
        length: display length in bytes.
        decimals: digits after the decimal point.
    """

    name: str
    type_code: int
    charset: int
    flags: int
    length: int
    decimals: int

    @property
    def is_binary(self) -> bool:
        """Return whether the values are bytes instead of text."""
        return self.charset == BINARY_CHARSET_ID


@dataclass(frozen=True, slots=True)
class Credentials:
    """User and password for backend servers."""

    user: str
    password: str = field(repr=False)


class StatusRow(BaseModel):
    """Row of the status statement; columns not listed here are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    server: str = Field(min_length=1)
    role: Role
    term: int = Field(ge=0)
    offset: int = Field(ge=0)
    lag_ms: float | None = Field(default=None, ge=0, allow_inf_nan=False)
    leaving: bool = False

    def value(self) -> ServerStatus:
        """Return the status as the data class used within the program."""
        return ServerStatus(
            server=self.server,
            role=self.role,
            position=Position(self.term, self.offset),
            lag_ms=self.lag_ms,
            is_leaving=self.leaving,
        )
