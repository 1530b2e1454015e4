"""Request properties from query attributes and sqlcommenter comments."""

import re
from collections.abc import Mapping
from typing import Final
from urllib.parse import unquote

from .const import (
    ATTR_DEADLINE_MS,
    ATTR_IDEMPOTENT,
    ATTR_MAX_AGE_MS,
    ATTR_REQUEST_ID,
    ATTR_SESSION,
    ATTR_TRACEPARENT,
    MAX_REQUEST_ID_LENGTH,
)
from .errors import BadRequestPropertyError
from .models import RequestProperties

_PAIR: Final = r"\s*[\w.%-]+\s*=\s*'(?:[^'\\]|\\.)*'\s*"
_COMMENT: Final = rf"/\*(?P<pairs>{_PAIR}(?:,{_PAIR})*)\*/"
_LEADING: Final = re.compile(rf"\A\s*{_COMMENT}", re.DOTALL)
_TRAILING: Final = re.compile(rf"{_COMMENT}\s*;?\s*\Z", re.DOTALL)
_KEY_AND_VALUE: Final = re.compile(r"([\w.%-]+)\s*=\s*'((?:[^'\\]|\\.)*)'", re.DOTALL)
_REQUEST_ID: Final = re.compile(r"[\w.:-]+", re.ASCII)
_BOOLEANS: Final = {"true": True, "1": True, "false": False, "0": False}


def split_comment(sql: str) -> tuple[str, dict[str, str]]:
    """Separate a statement from its sqlcommenter comments.

    Returns:
        The statement without the comments and their key-value pairs. Other comments
        remain part of the statement.

    Example:
        >>> split_comment("SELECT 1 /*max_age_ms='500'*/")
        ('SELECT 1', {'max_age_ms': '500'})
    """
    if "/*" not in sql:
        return sql, {}
    pairs: dict[str, str] = {}
    for pattern in (_LEADING, _TRAILING):
        found = pattern.search(sql)
        if found is None:
            continue
        pairs.update(_read_pairs(found["pairs"]))
        sql = (sql[: found.start()] + sql[found.end() :]).strip()
    return sql, pairs


def parse_properties(values: Mapping[str, object]) -> RequestProperties:
    """Validate properties; unknown names belong to other tools and are ignored.

    Raises:
        BadRequestPropertyError: a known property has an invalid value.
    """
    return RequestProperties(
        session=_text(values, ATTR_SESSION),
        request_id=_request_id(values),
        idempotent=_boolean(values, ATTR_IDEMPOTENT),
        max_age_ms=_milliseconds(values, ATTR_MAX_AGE_MS),
        deadline_ms=_milliseconds(values, ATTR_DEADLINE_MS),
        traceparent=_text(values, ATTR_TRACEPARENT),
    )


def _read_pairs(text: str) -> dict[str, str]:
    return {
        unquote(key): unquote(re.sub(r"\\(.)", r"\1", value))
        for key, value in _KEY_AND_VALUE.findall(text)
    }


def _text(values: Mapping[str, object], name: str) -> str | None:
    value = values.get(name)
    return None if value is None else str(value)


def _request_id(values: Mapping[str, object]) -> str | None:
    text = _text(values, ATTR_REQUEST_ID)
    if text is None:
        return None
    if len(text) > MAX_REQUEST_ID_LENGTH or not _REQUEST_ID.fullmatch(text):
        raise BadRequestPropertyError(
            f"{ATTR_REQUEST_ID} must have 1 to {MAX_REQUEST_ID_LENGTH} letters, digits "
            "or characters of . : _ -"
        )
    return text


def _boolean(values: Mapping[str, object], name: str) -> bool | None:
    text = _text(values, name)
    if text is None:
        return None
    if text.lower() not in _BOOLEANS:
        raise BadRequestPropertyError(f"{name} must be true or false")
    return _BOOLEANS[text.lower()]


def _milliseconds(values: Mapping[str, object], name: str) -> int | None:
    text = _text(values, name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise BadRequestPropertyError(f"{name} must be a whole number of milliseconds")
    return int(text)
