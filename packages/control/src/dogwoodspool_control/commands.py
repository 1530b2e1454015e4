"""Commands of the replicated log and their form in it."""

from dataclasses import dataclass
from typing import Any, Final

from dogwoodspool_common import Address, BackendServer
from pydantic import TypeAdapter, ValidationError

from .errors import CommandRejectedError
from .models import Outcome, PromotionReason


@dataclass(frozen=True, slots=True)
class RegisterProxy:
    """Register a proxy, or its new process."""

    name: str
    incarnation: str
    failure_domain: str
    address: Address


@dataclass(frozen=True, slots=True)
class ForgetProxy:
    """Remove a proxy whose instance is gone for good."""

    name: str


@dataclass(frozen=True, slots=True)
class RecordServer:
    """Record what a backend server announced."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class RemoveServer:
    """Remove a backend server of which nothing was heard."""

    name: str


@dataclass(frozen=True, slots=True)
class BootstrapGroup:
    """Record a group that had a primary before control knew of it."""

    group: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class BeginPromotion:
    """Begin to change a group's primary.

    Attributes:
        expected_term: the group's term when this was decided; of two racing
            promotions the second finds another term and is rejected.
        is_retry: the chosen server of a promotion in progress did not answer.
        change_id: identity of an operator's change, empty for none.
    """

    group: str
    expected_term: int
    reason: PromotionReason
    candidate: str | None = None
    is_retry: bool = False
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class ChoosePrimary:
    """Record the new primary and where its term branches."""

    group: str
    term: int
    server: str
    offset: int


@dataclass(frozen=True, slots=True)
class EndPromotion:
    """Record that the new primary took its term at an offset."""

    group: str
    term: int
    offset: int


@dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Change one node of the settings tree."""

    change_id: str
    path: str
    expected_version: int
    overrides: dict[str, Any] | None
    author: str


@dataclass(frozen=True, slots=True)
class LowerLeaseBound:
    """Forget longer leases of earlier settings, which have run out.

    Attributes:
        settings_index: log index of the last change of the settings when this
            was decided; a change since then makes the command void.
    """

    settings_index: int


@dataclass(frozen=True, slots=True)
class SettleWriteAcks:
    """Record that all writes acknowledged by the primary alone are replicated.

    Attributes:
        settings_index: as for ``LowerLeaseBound``.
    """

    group: str
    settings_index: int


@dataclass(frozen=True, slots=True)
class ApplyDocument:
    """Put a complete description of settings and endpoints in force.

    Attributes:
        revision: the outside's own number; only a higher one takes effect.
        content: the description as ``documents.pack`` made it.
        author: who sent it, for the history.
    """

    revision: int
    content: str
    author: str


@dataclass(frozen=True, slots=True)
class IssueToken:
    """Issue a fencing token for a call that replaces a group's primary.

    The token is the index of this entry: it grows with every call, whoever
    makes it, and no two holders can have the same one.
    """

    group: str
    holder: str


@dataclass(frozen=True, slots=True)
class AdoptPrimary:
    """Record a primary that took its place without being told by this leader.

    Attributes:
        expected_term: as for ``BeginPromotion``.
    """

    group: str
    expected_term: int
    server: str


Command = (
    RegisterProxy
    | ForgetProxy
    | RecordServer
    | RemoveServer
    | BootstrapGroup
    | BeginPromotion
    | ChoosePrimary
    | EndPromotion
    | ChangeSettings
    | LowerLeaseBound
    | SettleWriteAcks
    | ApplyDocument
    | IssueToken
    | AdoptPrimary
)

KIND: Final = "kind"

_adapters: Final[dict[str, TypeAdapter[Any]]] = {
    "register_proxy": TypeAdapter(RegisterProxy),
    "forget_proxy": TypeAdapter(ForgetProxy),
    "record_server": TypeAdapter(RecordServer),
    "remove_server": TypeAdapter(RemoveServer),
    "bootstrap_group": TypeAdapter(BootstrapGroup),
    "begin_promotion": TypeAdapter(BeginPromotion),
    "choose_primary": TypeAdapter(ChoosePrimary),
    "end_promotion": TypeAdapter(EndPromotion),
    "change_settings": TypeAdapter(ChangeSettings),
    "lower_lease_bound": TypeAdapter(LowerLeaseBound),
    "settle_write_acks": TypeAdapter(SettleWriteAcks),
    "apply_document": TypeAdapter(ApplyDocument),
    "issue_token": TypeAdapter(IssueToken),
    "adopt_primary": TypeAdapter(AdoptPrimary),
}
_kinds: Final[dict[type, str]] = {
    RegisterProxy: "register_proxy",
    ForgetProxy: "forget_proxy",
    RecordServer: "record_server",
    RemoveServer: "remove_server",
    BootstrapGroup: "bootstrap_group",
    BeginPromotion: "begin_promotion",
    ChoosePrimary: "choose_primary",
    EndPromotion: "end_promotion",
    ChangeSettings: "change_settings",
    LowerLeaseBound: "lower_lease_bound",
    SettleWriteAcks: "settle_write_acks",
    ApplyDocument: "apply_document",
    IssueToken: "issue_token",
    AdoptPrimary: "adopt_primary",
}
_outcome_adapter: Final = TypeAdapter(Outcome)


def encode_command(command: Command) -> dict[str, Any]:
    """Return the log's form of a command."""
    kind = _kinds[type(command)]
    fields: dict[str, Any] = _adapters[kind].dump_python(command, mode="json")
    return {KIND: kind, **fields}


def decode_command(fields: dict[str, Any]) -> Command:
    """Return the command of a log entry.

    Raises:
        CommandRejectedError: a newer program wrote a command unknown here.
    """
    adapter = _adapters.get(str(fields.get(KIND)))
    if adapter is None:
        raise CommandRejectedError("unknown_command", str(fields.get(KIND)))
    content = {name: value for name, value in fields.items() if name != KIND}
    try:
        command: Command = adapter.validate_python(content)
    except ValidationError as error:
        raise CommandRejectedError("unknown_command", str(error)) from error
    return command


def encode_outcome(outcome: Outcome) -> dict[str, Any]:
    """Return the form in which an outcome leaves the state machine."""
    fields: dict[str, Any] = _outcome_adapter.dump_python(outcome, mode="json")
    return fields


def decode_outcome(fields: dict[str, Any]) -> Outcome:
    """Return the outcome of a proposed command."""
    return _outcome_adapter.validate_python(fields)
