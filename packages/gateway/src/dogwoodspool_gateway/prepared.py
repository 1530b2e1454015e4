"""Safe interpolation of parameters into prepared statements.

The protocol library quotes strings without escaping them, so a parameter that
contains a quote would change the statement. This module escapes every value and
finds placeholders with the tokenizer, which ignores those inside strings.
"""

import io
from collections.abc import Sequence
from typing import Any

from mysql_mimic import packets, types
from mysql_mimic.charset import CharacterSet
from mysql_mimic.errors import MysqlError
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.types import Capabilities
from pymysql.converters import escape_item
from sqlglot import tokenize
from sqlglot.errors import SqlglotError
from sqlglot.tokenizer_core import TokenType

from .errors import GatewayError


class PlaceholderError(GatewayError):
    """Report a statement whose placeholders cannot be determined."""


def placeholder_offsets(sql: str) -> list[int]:
    """Return the offsets of the statement's placeholders.

    Raises:
        PlaceholderError: the statement cannot be tokenized.
    """
    if "?" not in sql:
        return []
    try:
        tokens = tokenize(sql, read="mysql")
    except SqlglotError as error:
        raise PlaceholderError("the statement cannot be tokenized") from error
    return [
        token.start for token in tokens if token.token_type is TokenType.PLACEHOLDER
    ]


def interpolate(sql: str, values: Sequence[Any]) -> str:
    """Replace the placeholders with escaped values.

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


def read_execution(
    statement: PreparedStatement,
    data: bytes,
    capabilities: Capabilities,
    charset: CharacterSet,
) -> tuple[list[Any], dict[str, Any]]:
    """Return the parameters and query attributes of an execution.

    Raises:
        MysqlError: the packet requests a cursor or cannot be parsed.
    """
    reader = io.BytesIO(data)
    types.read_uint_4(reader)
    is_cursor, has_count = packets._read_cursor_flags(reader)
    if is_cursor:
        raise MysqlError("cursors are not supported")
    types.read_uint_4(reader)  # The iteration count, always 1.
    count = statement.num_params
    with_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in capabilities
    if with_attributes and (count or has_count):
        count = types.read_uint_len(reader)
    if not count:
        return [], {}
    parameters = packets._read_params(
        capabilities,
        charset,
        reader,
        count,
        statement.param_buffers,
    )
    values = [value for _, value in parameters[: statement.num_params]]
    return values, {
        name: value for name, value in parameters[statement.num_params :] if name
    }
