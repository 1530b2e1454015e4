"""Flags and environment variables of the control program."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Final

from dogwoodspool_api import HostPort, Name
from dogwoodspool_common import Address
from pydantic import BaseModel, ConfigDict, Field, field_validator

USAGE: Final = """Run one voter of the control group.

Usage:
  dogwoodspool-control [options]
  dogwoodspool-control --help
  dogwoodspool-control --version

Options:
  --node-id=ID            Name of this voter; never used again once it was removed
                          or has lost its data folder.
  --listen=HOST:PORT      Address at which the other processes reach it.
  --voters=LIST           First voters: ID=HOST:PORT, separated by commas.
  --bootstrap             The cluster is born now; given once, to each first voter.
  --data-folder=PATH      Folder of its durable files.
  --shared-key=KEY        Key that all processes of the system share.
  --failure-domain=NAME   Where this voter runs.
  --log-level=LEVEL       Lowest level that is logged.
  --trace-file=PATH       File for spans as JSON lines.
  --ready-file=PATH       File that is written once the voter listens.
  -h, --help              Show this text.
  --version               Show the version.

Each flag can be given as an environment variable: --node-id as
DOGWOODSPOOL_NODE_ID.
"""


class ControlOptions(BaseModel):
    """Options of the control program."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node_id: Name
    listen: HostPort
    voters: dict[str, Address] = {}
    bootstrap: bool = False
    data_folder: Path
    shared_key: Annotated[str, Field(min_length=16, repr=False)]
    failure_domain: Name
    log_level: str = "INFO"
    trace_file: Path | None = None
    ready_file: Path | None = None

    @field_validator("voters", mode="before")
    @classmethod
    def _parse_voters(cls, value: object) -> Mapping[str, Address]:
        if not isinstance(value, str):
            raise ValueError("expected ID=HOST:PORT, separated by commas")
        voters = {}
        for part in value.split(","):
            name, separator, address = part.strip().partition("=")
            if not separator or not name:
                raise ValueError(f"{part!r} is not ID=HOST:PORT")
            if name in voters:
                raise ValueError(f"voter {name} is listed more than once")
            voters[name] = Address.parse(address)
        return voters

    @field_validator("log_level")
    @classmethod
    def _check_level(cls, value: str) -> str:
        level = value.upper()
        if level not in {"TRACE", "DEBUG", "INFO", "WARNING", "ERROR"}:
            raise ValueError("expected TRACE, DEBUG, INFO, WARNING or ERROR")
        return level
