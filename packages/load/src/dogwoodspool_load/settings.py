"""Settings of the load program."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from . import const


class LoadSettings(BaseModel):
    """Settings from flags and environment variables.

    Attributes:
        rate: requests per second of all callers together; 0 is a closed loop.
        faults: a schedule, or the name of a file that contains one.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    deployment: str
    seconds: float = Field(default=const.DEFAULT_SECONDS, gt=0)
    rate: float = Field(default=const.DEFAULT_RATE, ge=0)
    callers: int = Field(default=const.DEFAULT_CALLERS, ge=1, le=1_000)
    statement_ms: float = Field(default=const.DEFAULT_STATEMENT_MS, ge=0)
    deadline_ms: int | None = Field(default=None, gt=0)
    seed: int = const.DEFAULT_SEED
    faults: str = ""
    out: Path
