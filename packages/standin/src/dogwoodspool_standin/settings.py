"""Settings of one stand-in process."""

from pathlib import Path
from typing import Annotated, Any

from dogwoodspool_api import HostPort, Name
from dogwoodspool_common import Address, Role
from pydantic import BaseModel, ConfigDict, Field, SecretStr, field_validator

from . import const

Milliseconds = Annotated[float, Field(ge=0)]


class StandinSettings(BaseModel):
    """Settings from flags and environment variables; times are in milliseconds.

    Attributes:
        role: role at the first start; later starts use the state in the data
            folder.
        follow: primary to follow at the first start.
        lock_wait_ms: maximum wait for another transaction's write lock.
        latency_ms: one-way delay added to each command and each answer.
        ready_file: file that receives the addresses in use as JSON once the server
            is ready.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    group: Name
    failure_domain: Name
    data_folder: Path
    shared_key: SecretStr = Field(min_length=1)
    listen: HostPort = const.DEFAULT_LISTEN
    control_listen: HostPort = const.DEFAULT_LISTEN
    announce_to: tuple[HostPort, ...] = ()
    announce_interval_ms: float = Field(
        default=const.DEFAULT_ANNOUNCE_INTERVAL_MS, gt=0
    )
    user: str = Field(default=const.DEFAULT_USER, min_length=1)
    password: SecretStr = SecretStr("")
    slots: int = Field(default=const.DEFAULT_SLOTS, ge=1)
    connections: int = Field(default=const.DEFAULT_CONNECTIONS, ge=1, le=1_000)
    connect_delay_ms: Milliseconds = const.DEFAULT_CONNECT_DELAY_MS
    statement_ms: Milliseconds = const.DEFAULT_STATEMENT_MS
    lock_wait_ms: Milliseconds = const.DEFAULT_LOCK_WAIT_MS
    replication_lag_ms: Milliseconds = 0
    latency_ms: Milliseconds = 0
    role: Role = Role.REPLICA
    follow: HostPort | None = None
    ready_file: Path | None = None
    log_level: str = "INFO"

    @field_validator("announce_to", mode="before")
    @classmethod
    def _split(cls, value: Any) -> Any:
        if not isinstance(value, str):
            return value
        return tuple(part.strip() for part in value.split(",") if part.strip())

    @property
    def announce_addresses(self) -> tuple[Address, ...]:
        """The entry instances to announce to."""
        return tuple(Address.parse(text) for text in self.announce_to)

    @property
    def follow_address(self) -> Address | None:
        """The primary to follow at the first start."""
        return Address.parse(self.follow) if self.follow else None
