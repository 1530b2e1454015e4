"""Parameters of prepared statements, put into the statement's text safely.

The library that reads the packets puts strings between quotes without escaping
them, so a parameter with a quote would change the statement. Here every value is
escaped, and placeholders are found by the tokenizer, not inside strings.
"""

from collections.abc import Sequence
from typing import Any

from pymysql.converters import escape_item
from sqlglot import tokenize
from sqlglot.errors import SqlglotError
from sqlglot.tokenizer_core import TokenType

from .errors import GatewayError


class PlaceholderError(GatewayError):
    """Report a statement whose placeholders cannot be found."""


def placeholder_offsets(sql: str) -> list[int]:
    """Return where the statement's placeholders stand.

    Raises:
        PlaceholderError: the statement cannot be read.
    """
    if "?" not in sql:
        return []
    try:
        tokens = tokenize(sql, read="mysql")
    except SqlglotError as error:
        raise PlaceholderError("the statement cannot be read") from error
    return [
        token.start for token in tokens if token.token_type is TokenType.PLACEHOLDER
    ]


def interpolate(sql: str, values: Sequence[Any]) -> str:
    """Put values in place of the placeholders.

    Example:
        >>> interpolate("SELECT ? + ?", [1, "x"])
        "SELECT 1 + 'x'"
    """
    pieces: list[str] = []
    begin = 0
    for offset, value in zip(placeholder_offsets(sql), values, strict=True):
        pieces.append(sql[begin:offset])
        pieces.append(str(escape_item(value, "utf8mb4")))
        begin = offset + 1
    pieces.append(sql[begin:])
    return "".join(pieces)
