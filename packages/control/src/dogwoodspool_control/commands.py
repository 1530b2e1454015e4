"""Commands of the replicated log and their encoding."""

from dataclasses import dataclass
from typing import Any, Final

from dogwoodspool_common import Address, BackendServer, PrimaryEpoch
from pydantic import TypeAdapter, ValidationError

from .errors import CommandRejectedError
from .models import Outcome, PromotionReason


@dataclass(frozen=True, slots=True)
class RegisterProxy:
    """Register a proxy or its new process."""

    name: str
    incarnation: str
    failure_domain: str
    address: Address


@dataclass(frozen=True, slots=True)
class ForgetProxy:
    """Remove a proxy whose instance will not return."""

    name: str


@dataclass(frozen=True, slots=True)
class RecordServer:
    """Record the announced properties of a backend server."""

    server: BackendServer


@dataclass(frozen=True, slots=True)
class RetireServer:
    """Record that the time of a leaving server's process to get new work is over."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class RemoveServer:
    """Remove a backend server that has been silent."""

    name: str


@dataclass(frozen=True, slots=True)
class BootstrapGroup:
    """Record a group that already had a primary when it was first announced."""

    group: str
    term: int
    primary: str


@dataclass(frozen=True, slots=True)
class BeginPromotion:
    """Begin to change a group's primary.

    Attributes:
        expected_term: the group's term at the decision; of two concurrent
            promotions the second finds another term and is rejected.
        is_retry: whether the server chosen by a promotion in progress did not
            answer.
        change_id: id of an operator's change; empty for none.
    """

    group: str
    expected_term: int
    reason: PromotionReason
    candidate: str | None = None
    is_retry: bool = False
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class ChoosePrimary:
    """Record the new primary and the offset at which its term branches."""

    group: str
    term: int
    server: str
    offset: int


@dataclass(frozen=True, slots=True)
class EndPromotion:
    """Record that the new primary began its term at an offset.

    Attributes:
        epoch: the new primary's lead; None where servers have no terms of their own.
        token: token of the accepted promotion call. The command is rejected if a
            newer call was issued, as that one may still be carried out.
        ended: name and incarnation of the group's servers that have ended for good.
    """

    group: str
    term: int
    offset: int
    epoch: PrimaryEpoch | None = None
    token: int = 0
    ended: tuple[tuple[str, int], ...] = ()


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
    """Lower the lease bound after the longer leases of earlier settings expired.

    Attributes:
        settings_index: log index of the last change of the settings at the
            decision; the command is rejected after a later change.
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
    """Apply a complete document of settings and endpoints.

    Attributes:
        revision: revision number of the external system; only a higher one takes
            effect.
        content: the document as encoded by ``documents.pack``.
        author: author for the settings history.
    """

    revision: int
    content: str
    author: str


@dataclass(frozen=True, slots=True)
class IssueToken:
    """Issue a fencing token for a call that replaces a group's primary.

    The token is the log index of this entry, so it increases with every call of any
    holder and no two holders get the same one.

    Attributes:
        server: the server that the call names; empty in entries of earlier builds.
        term: term of the change. The command is rejected once that has gone on, or
            has chosen another server.
    """

    group: str
    holder: str
    server: str = ""
    term: int = 0


@dataclass(frozen=True, slots=True)
class AdoptPrimary:
    """Record a primary that took over without being promoted by this leader.

    Attributes:
        expected_term: as for ``BeginPromotion``.
        epoch: as for ``EndPromotion``.
        token: as for ``EndPromotion``.
        ended: as for ``EndPromotion``.
    """

    group: str
    expected_term: int
    server: str
    epoch: PrimaryEpoch | None = None
    token: int = 0
    ended: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class RecordEpoch:
    """Record the lead of a steady group's primary whose term was not known yet.

    Attributes:
        expected_term: as for ``BeginPromotion``.
    """

    group: str
    expected_term: int
    epoch: PrimaryEpoch


@dataclass(frozen=True, slots=True)
class RecordResume:
    """Record a command that resumes a replica, before it is sent or once answered.

    Attributes:
        is_open: whether the server may still carry it out.
        opened_at: log index of the entry that an answer closes.
    """

    server: str
    is_open: bool
    opened_at: int = 0


@dataclass(frozen=True, slots=True)
class AbandonSwitchover:
    """Continue a planned change of primary as a failover.

    Attributes:
        expected_term: term of the change; the command is rejected at another one.
    """

    group: str
    expected_term: int


Command = (
    RegisterProxy
    | ForgetProxy
    | RecordServer
    | RetireServer
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
    | AbandonSwitchover
    | RecordEpoch
    | RecordResume
)

KIND: Final = "kind"

_adapters: Final[dict[str, TypeAdapter[Any]]] = {
    "register_proxy": TypeAdapter(RegisterProxy),
    "forget_proxy": TypeAdapter(ForgetProxy),
    "record_server": TypeAdapter(RecordServer),
    "retire_server": TypeAdapter(RetireServer),
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
    "abandon_switchover": TypeAdapter(AbandonSwitchover),
    "record_epoch": TypeAdapter(RecordEpoch),
    "record_resume": TypeAdapter(RecordResume),
}
_kinds: Final[dict[type, str]] = {
    RegisterProxy: "register_proxy",
    ForgetProxy: "forget_proxy",
    RecordServer: "record_server",
    RetireServer: "retire_server",
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
    AbandonSwitchover: "abandon_switchover",
    RecordEpoch: "record_epoch",
    RecordResume: "record_resume",
}
_outcome_adapter: Final = TypeAdapter(Outcome)


def encode_command(command: Command) -> dict[str, Any]:
    """Encode a command for the replicated log."""
    kind = _kinds[type(command)]
    fields: dict[str, Any] = _adapters[kind].dump_python(command, mode="json")
    return {KIND: kind, **fields}


def decode_command(fields: dict[str, Any]) -> Command:
    """Decode the command of a log entry.

    Raises:
        CommandRejectedError: the command is unknown, as a newer version wrote it.
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
    """Encode an outcome as the result of the state machine."""
    fields: dict[str, Any] = _outcome_adapter.dump_python(outcome, mode="json")
    return fields


def decode_outcome(fields: dict[str, Any]) -> Outcome:
    """Decode the outcome of a proposed command."""
    return _outcome_adapter.validate_python(fields)
