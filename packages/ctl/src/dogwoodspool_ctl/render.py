"""Format the results of commands as text and JSON."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from dogwoodspool_settings import PlannedAction, PlannedChange, redact

ACTION_SIGNS: Final = {
    PlannedAction.CREATE: "+",
    PlannedAction.UPDATE: "~",
    PlannedAction.DELETE: "-",
}
COLUMN_GAP: Final = "  "
NO_VALUE: Final = "-"


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command: lines of text, and data for ``--json``."""

    lines: list[str]
    data: dict[str, Any]


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Return aligned columns under their headers."""
    cells = [list(headers), *([_format_cell(value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return [_align_row(row, widths) for row in cells]


def change_lines(change: PlannedChange, fingerprint_key: bytes) -> list[str]:
    """Return one planned change as lines of old and new values, redacted."""
    before = flatten(change.current)
    after = flatten(redact(change.overrides or {}, fingerprint_key))
    lines = [f"{ACTION_SIGNS[change.action]} {change.path}"]
    for key in sorted(before.keys() | after.keys()):
        old, new = _format_override(before, key), _format_override(after, key)
        if old != new:
            lines.append(f"    {key}: {old} -> {new}")
    return lines


def change_data(change: PlannedChange, fingerprint_key: bytes) -> dict[str, Any]:
    """Return one planned change as JSON values, redacted."""
    overrides = change.overrides
    return {
        "action": str(change.action),
        "path": change.path,
        "expected_version": change.expected_version,
        "current": change.current,
        "overrides": None if overrides is None else redact(overrides, fingerprint_key),
    }


def flatten(overrides: Mapping[str, Any]) -> dict[str, Any]:
    """Return overrides with ``section.name`` keys for the nested ones."""
    flat: dict[str, Any] = {}
    for key, value in overrides.items():
        if not isinstance(value, Mapping) or not value:
            flat[key] = value
            continue
        flat.update({f"{key}.{name}": nested for name, nested in value.items()})
    return flat


def _format_override(values: Mapping[str, Any], key: str) -> str:
    return json.dumps(values[key]) if key in values else "(inherited)"


def _format_cell(value: Any) -> str:
    if value is None:
        return NO_VALUE
    if isinstance(value, str):
        return value
    return json.dumps(value)


def _align_row(row: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip()
