"""Merge the overrides of a node and its ancestors into effective values."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from .const import CONF_ACCOUNTS, CONF_STATEMENTS, CONF_WRITE_ACK, FROM_DEFAULT
from .models import (
    AccountSettings,
    EffectiveSettings,
    ExplainedValue,
    Statements,
    WriteAck,
)
from .overrides import DEFAULTS, setting_names, statement_names
from .redaction import redact


@dataclass(frozen=True, slots=True)
class Layer:
    """The overrides of one node on the path from the root."""

    path: str
    overrides: Mapping[str, Any]


def merge(layers: Iterable[Layer]) -> EffectiveSettings:
    """Return the effective settings of some layers, given from the root down.

    Each key and each statement is inherited separately. ``users`` is replaced as a
    whole: a node that lists users defines the complete set that may connect. Unknown
    keys are ignored, so that an older proxy works with newer control processes.
    """
    values: dict[str, Any] = {}
    statements: dict[str, str] = {}
    for layer in layers:
        given = dict(layer.overrides)
        statements.update(
            _select_known(given.pop(CONF_STATEMENTS, {}), statement_names())
        )
        values.update(_select_known(given, setting_names()))
    if CONF_WRITE_ACK in values:
        values[CONF_WRITE_ACK] = WriteAck(values[CONF_WRITE_ACK])
    if CONF_ACCOUNTS in values:
        values[CONF_ACCOUNTS] = _accounts(values[CONF_ACCOUNTS])
    return EffectiveSettings(**values, statements=Statements(**statements))


def _accounts(raw: Mapping[str, Mapping[str, Any]]) -> dict[str, AccountSettings]:
    return {
        name: AccountSettings(
            tuple(account.get("users", ())),
            account.get("rate_per_second"),
            account.get("burst"),
        )
        for name, account in raw.items()
    }


def explain(layers: Iterable[Layer]) -> list[ExplainedValue]:
    """Return each effective value with the path of the node that sets it."""
    found = {value.key: value for value in _default_values()}
    for layer in layers:
        shown = redact(layer.overrides)
        for key, value in _flatten(shown).items():
            if key in found:
                found[key] = ExplainedValue(key, value, layer.path)
    return list(found.values())


def _default_values() -> list[ExplainedValue]:
    values: dict[str, Any] = {name: getattr(DEFAULTS, name) for name in setting_names()}
    values[CONF_STATEMENTS] = {
        name: getattr(DEFAULTS.statements, name) for name in statement_names()
    }
    return [
        ExplainedValue(key, value, FROM_DEFAULT)
        for key, value in _flatten(values).items()
    ]


def _flatten(values: Mapping[str, Any]) -> dict[str, Any]:
    flat = dict(values)
    statements = flat.pop(CONF_STATEMENTS, {})
    flat.update({f"{CONF_STATEMENTS}.{name}": sql for name, sql in statements.items()})
    return flat


def _select_known(values: Mapping[str, Any], names: tuple[str, ...]) -> dict[str, Any]:
    return {name: value for name, value in values.items() if name in names}
