"""Validated settings of the program and answers of control processes."""

from typing import Annotated, Any

from dogwoodspool_api import GroupMessage, HostPort, SettingsNode
from dogwoodspool_api.const import MAX_NAME_LENGTH
from dogwoodspool_common import Address
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, SecretStr

from .const import DEFAULT_AUTHOR, DEFAULT_TIMEOUT_S


def _split_list(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    return [part.strip() for part in value.split(",") if part.strip()]


class CtlSettings(BaseModel):
    """Addresses of the control processes, the shared key and the author of changes."""

    control: Annotated[
        list[HostPort], BeforeValidator(_split_list), Field(min_length=1)
    ]
    shared_key: Annotated[SecretStr, Field(min_length=1)]
    author: Annotated[str, Field(min_length=1, max_length=MAX_NAME_LENGTH)] = (
        DEFAULT_AUTHOR
    )
    timeout_s: Annotated[float, Field(gt=0)] = DEFAULT_TIMEOUT_S

    @property
    def addresses(self) -> list[Address]:
        """Addresses of the control processes."""
        return [Address.parse(text) for text in self.control]

    @property
    def key(self) -> bytes:
        """The shared key of the system."""
        return self.shared_key.get_secret_value().encode()


class Answer(BaseModel):
    """Base of control's answers; fields that a newer control adds are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class TreeAnswer(Answer):
    """All nodes, secrets redacted."""

    nodes: list[SettingsNode]
    view_version: int


class EffectiveValue(Answer):
    """One value in force at a node and where it comes from."""

    key: str
    value: Any
    from_path: str


class EffectiveAnswer(Answer):
    """The values in force at a node."""

    values: list[EffectiveValue]


class HistoryItem(Answer):
    """One accepted change, secrets redacted."""

    index: int
    change_id: str
    author: str
    path: str
    version: int
    overrides: dict[str, Any] | None


class HistoryAnswer(Answer):
    """Accepted changes, the newest first."""

    entries: list[HistoryItem]


class ProxyStatus(Answer):
    """One proxy instance as the leader knows it.

    Attributes:
        view_version: version in force; None until the leader has seen a renewal.
    """

    proxy: str
    failure_domain: str
    address: HostPort
    view_version: int | None
    seconds_since_renewal: float | None

    def has_reached(self, view_version: int) -> bool:
        """Tell whether the instance reported at least this version in force."""
        return self.view_version is not None and self.view_version >= view_version


class ServerRow(Answer):
    """One backend server as control has committed it."""

    server: str
    group: str
    failure_domain: str
    address: str
    is_leaving: bool = False


class PromotionRow(Answer):
    """One change of primary that is in progress."""

    group: str
    term: int
    reason: str
    step: str
    waiting_for: list[str]


class StatusAnswer(Answer):
    """The state of the whole system as one voter knows it.

    Attributes:
        is_leader: whether that voter is the leader; only the leader knows renewals.
    """

    leader: str | None
    is_leader: bool
    voters: list[Any]
    groups: list[GroupMessage]
    servers: list[ServerRow]
    proxies: list[ProxyStatus]
    promotions: list[PromotionRow] = []
    view_version: int


class VotersAnswer(Answer):
    """The voters of the control group."""

    voters: list[Any]


class VotersRequest(BaseModel):
    """A change of the voters: with an address a voter is added, without one removed."""

    voter: str
    address: str | None = None
