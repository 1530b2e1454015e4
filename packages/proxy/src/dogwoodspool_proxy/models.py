"""Data classes of the proxy program."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from dogwoodspool_api import HostPort, Name
from dogwoodspool_common import Address
from pydantic import BaseModel, Field, SecretStr, field_validator


class ProxySettings(BaseModel):
    """Flags and environment variables of one proxy process."""

    name: Name
    failure_domain: Name
    listen: HostPort
    http_listen: HostPort
    control: Annotated[list[HostPort], Field(min_length=1)]
    shared_key: SecretStr
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    workers: int = Field(default=64, ge=1, le=1024)
    max_callers: int = Field(default=4096, ge=1)
    drain_seconds: float = Field(default=30.0, ge=0)
    log_level: str = Field(default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")
    trace_file: Path | None = None
    ready_file: Path | None = None

    @field_validator("control", mode="before")
    @classmethod
    def _split(cls, value: object) -> object:
        return value.split(",") if isinstance(value, str) else value

    @property
    def control_addresses(self) -> tuple[Address, ...]:
        """The control processes' addresses."""
        return tuple(Address.parse(text) for text in self.control)


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """The right to write to a group's primary, valid for a limited time.

    Attributes:
        expires_at: clock time in seconds; the lease counts from the moment at which
            the renewal was sent.
    """

    group: str
    term: int
    primary: str
    expires_at: float


@dataclass(slots=True)
class WritePermit:
    """The permission for one write or transaction; released when it has ended."""

    group: str
    term: int
    primary: str
