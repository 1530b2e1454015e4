"""The model that validates one node's overrides, with their bounds."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from typing import Annotated, Any, Final

from dogwoodspool_api import Name
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .const import (
    CONF_ACCOUNTS,
    CONF_TOKEN_KEY,
    CONF_USERS,
    MAX_SERVER_CONNECTIONS,
    MAX_TRANSACTION_IDLE_MS,
    MIN_TOKEN_KEY_BYTES,
    MIN_TRANSACTION_IDLE_MS,
    NOT_PER_FAILURE_DOMAIN_KEYS,
    ROOT_ONLY_KEYS,
    Level,
)
from .models import EffectiveSettings, Statements, WriteAck

DEFAULTS: Final = EffectiveSettings()
_STATEMENT_DEFAULTS: Final = DEFAULTS.statements

VALUE_FORMATS: Final = {
    CONF_TOKEN_KEY: f"hexadecimal of at least {MIN_TOKEN_KEY_BYTES} bytes",
    CONF_ACCOUNTS: (
        "names with `users`, `rate_per_second` above 0 and `burst` of at least 1"
    ),
    CONF_USERS: "names with password hashes of 40 hexadecimal digits",
}

Statement = Annotated[str, Field(min_length=1, max_length=1_000)]
PasswordHash = Annotated[str, Field(pattern=r"^[0-9A-Fa-f]{40}$")]


class StatementOverrides(BaseModel):
    """Statements that a node overrides; each is inherited separately."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)

    status: Statement = _STATEMENT_DEFAULTS.status
    wait: Statement = _STATEMENT_DEFAULTS.wait
    promote: Statement = _STATEMENT_DEFAULTS.promote
    follow: Statement = _STATEMENT_DEFAULTS.follow
    fence: Statement = _STATEMENT_DEFAULTS.fence


class AccountOverrides(BaseModel):
    """One client account; see ``AccountSettings``."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )

    users: list[Name] = Field([], max_length=1_000)
    rate_per_second: Annotated[float, Field(gt=0, le=1_000_000)] | None = None
    burst: Annotated[float, Field(ge=1, le=10_000_000)] | None = None


class Overrides(BaseModel):
    """What one node may override; fields that are not set are inherited.

    Field defaults are the built-in values, so that an explicit ``null`` is rejected
    wherever it has no meaning. Numbers and flags are strict: a string such as
    ``"300"`` is rejected, because a quoted number in a declaration is a mistake.
    """

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        strict=True,
        allow_inf_nan=False,
        hide_input_in_errors=True,  # Values may be secrets.
    )

    deadline_ms: int = Field(DEFAULTS.deadline_ms, ge=1, le=600_000)
    max_age_ms: Annotated[int, Field(ge=0, le=86_400_000)] | None = DEFAULTS.max_age_ms
    idempotent: bool = DEFAULTS.idempotent
    write_ack: WriteAck = Field(DEFAULTS.write_ack, strict=False)
    write_ack_timeout_ms: int = Field(DEFAULTS.write_ack_timeout_ms, ge=1, le=60_000)
    lease_ms: int = Field(DEFAULTS.lease_ms, ge=100, le=60_000)
    renew_interval_ms: int = Field(DEFAULTS.renew_interval_ms, ge=10, le=30_000)
    clock_drift: float = Field(DEFAULTS.clock_drift, ge=0, le=0.2)
    failure_detect_ms: int = Field(DEFAULTS.failure_detect_ms, ge=50, le=60_000)
    down_detect_ms: int = Field(DEFAULTS.down_detect_ms, ge=0, le=60_000)
    release_drain_ms: int = Field(DEFAULTS.release_drain_ms, ge=0, le=60_000)
    probe_interval_ms: int = Field(DEFAULTS.probe_interval_ms, ge=10, le=60_000)
    probe_timeout_ms: int = Field(DEFAULTS.probe_timeout_ms, ge=10, le=60_000)
    announcement_expiry_ms: int = Field(
        DEFAULTS.announcement_expiry_ms, ge=100, le=600_000
    )
    replica_wait_ms: int = Field(DEFAULTS.replica_wait_ms, ge=0, le=60_000)
    base_connections: int = Field(DEFAULTS.base_connections, ge=1, le=1_000)
    reserved_connections: int = Field(DEFAULTS.reserved_connections, ge=1, le=1_000)
    max_proxies: int = Field(DEFAULTS.max_proxies, ge=1, le=1_000)
    idle_connection_ms: int = Field(DEFAULTS.idle_connection_ms, ge=100, le=86_400_000)
    connect_timeout_ms: int = Field(DEFAULTS.connect_timeout_ms, ge=10, le=60_000)
    queue_limit: int = Field(DEFAULTS.queue_limit, ge=0, le=100_000)
    retry_budget_ratio: float = Field(DEFAULTS.retry_budget_ratio, ge=0, le=1)
    retry_budget_min: int = Field(DEFAULTS.retry_budget_min, ge=0, le=10_000)
    max_transaction_ms: int = Field(DEFAULTS.max_transaction_ms, ge=100, le=86_400_000)
    max_transaction_idle_ms: int = Field(
        DEFAULTS.max_transaction_idle_ms,
        ge=MIN_TRANSACTION_IDLE_MS,
        le=MAX_TRANSACTION_IDLE_MS,
    )
    server_connections: (
        Annotated[int, Field(ge=1, le=MAX_SERVER_CONNECTIONS)] | None
    ) = DEFAULTS.server_connections
    request_retention_s: int = Field(DEFAULTS.request_retention_s, ge=60, le=31_536_000)
    token_key: str = Field(
        DEFAULTS.token_key,
        pattern=rf"^(?:[0-9A-Fa-f]{{2}}){{{MIN_TOKEN_KEY_BYTES},128}}$",
    )
    users: dict[Name, PasswordHash] = Field(DEFAULTS.users, max_length=1_000)
    accounts: dict[Name, AccountOverrides] = Field({}, max_length=10_000)
    backend_user: str = Field(DEFAULTS.backend_user, min_length=1, max_length=64)
    backend_password: str = Field(DEFAULTS.backend_password, max_length=256)
    statements: StatementOverrides = Field(StatementOverrides())


@dataclass(frozen=True, slots=True)
class CrossFieldRule:
    """A rule that the effective values of each node must satisfy.

    Attributes:
        text: the rule, as a rejection states it.
        reason: what goes wrong without it.
    """

    text: str
    reason: str
    holds: Callable[[EffectiveSettings], bool]


CROSS_FIELD_RULES: Final = (
    CrossFieldRule(
        "renew_interval_ms * 2 must be below lease_ms",
        "one lost renewal would let every grant expire",
        lambda values: values.renew_interval_ms * 2 < values.lease_ms,
    ),
    CrossFieldRule(
        "release_drain_ms must be below lease_ms",
        "waiting for a grant's release would take longer than letting it expire",
        lambda values: values.release_drain_ms < values.lease_ms,
    ),
    CrossFieldRule(
        "probe_interval_ms + probe_timeout_ms must be at most failure_detect_ms",
        "a server would be considered failed before a probe could time out",
        lambda values: (
            values.probe_interval_ms + values.probe_timeout_ms
            <= values.failure_detect_ms
        ),
    ),
    CrossFieldRule(
        "replica_wait_ms must be below deadline_ms",
        "no time before the deadline would be left for reading from the primary",
        lambda values: values.replica_wait_ms < values.deadline_ms,
    ),
)


def validate_overrides(
    raw: Mapping[str, Any], level: Level
) -> tuple[dict[str, Any], list[str]]:
    """Return the overrides in their stored form, and one line per invalid value.

    The lines contain key and reason, never a value.
    """
    try:
        model = Overrides.model_validate(dict(raw))
    except ValidationError as error:
        return {}, [_problem_line(detail) for detail in _error_details(error)]
    problems = _level_problems(raw, level) + _account_problems(model)
    return model.model_dump(mode="json", exclude_unset=True), problems


def cross_field_problems(values: EffectiveSettings) -> list[str]:
    """Return one line per cross-field rule that the effective values violate."""
    return [rule.text for rule in CROSS_FIELD_RULES if not rule.holds(values)]


def statement_names() -> tuple[str, ...]:
    """Return the names of the statements sent to backend servers."""
    return tuple(field.name for field in fields(Statements))


def setting_names() -> tuple[str, ...]:
    """Return the names of all settings, in the order of their definition."""
    return tuple(field.name for field in fields(EffectiveSettings))


def _error_details(error: ValidationError) -> list[Any]:
    return error.errors(include_url=False, include_input=False, include_context=False)


def _problem_line(detail: Any) -> str:
    key = ".".join(str(part) for part in detail["loc"])
    reason = detail["msg"]
    if detail["type"] == "extra_forbidden":
        reason = "there is no such setting"
    elif detail["type"] == "string_pattern_mismatch":
        # Pydantic's own text quotes the pattern, which tells an operator little.
        reason = f"must be {VALUE_FORMATS[detail['loc'][0]]}"
    return f"{key}: {reason}"


def _account_problems(model: Overrides) -> list[str]:
    holders: dict[str, str] = {}
    problems = []
    for name, account in model.accounts.items():
        for user in account.users:
            holder = holders.setdefault(user, name)
            if holder != name:
                problems.append(
                    f"{CONF_ACCOUNTS}.{name}: user {user} already belongs to {holder}"
                )
    return problems


def _level_problems(raw: Mapping[str, Any], level: Level) -> list[str]:
    problems = []
    for key in raw:
        if key in ROOT_ONLY_KEYS and level is not Level.ROOT:
            problems.append(f"{key}: may only be set at the root")
        if key in NOT_PER_FAILURE_DOMAIN_KEYS and level is Level.FAILURE_DOMAIN:
            problems.append(f"{key}: must be the same for all of the group")
    return problems
