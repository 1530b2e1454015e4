"""Conversion of result columns and rows to the types of the protocol library."""

from collections.abc import Sequence
from typing import Any

from mysql_mimic.charset import CharacterSet
from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType
from pymysql.converters import decoders

from .models import AnswerColumn

Row = Sequence[bytes | str | None]


def _pass_through(_column: Any, value: Any) -> bytes:
    return value if isinstance(value, bytes) else str(value).encode()


def text_columns(columns: Sequence[AnswerColumn]) -> list[ResultColumn]:
    """Describe columns whose values are forwarded as sent by the backend server."""
    return [
        ResultColumn(
            name=column.name,
            type=ColumnType(column.type_code),
            character_set=_character_set(column),
            text_encoder=_pass_through,
        )
        for column in columns
    ]


def binary_columns(columns: Sequence[AnswerColumn]) -> list[ResultColumn]:
    """Describe columns of a prepared statement's result."""
    return [
        ResultColumn(
            name=column.name,
            type=_binary_type(column),
            character_set=_character_set(column),
        )
        for column in columns
    ]


def binary_row(row: Row, columns: Sequence[AnswerColumn]) -> list[Any]:
    """Convert the text values of a row to values of the binary protocol."""
    return [
        _binary_value(value, column) for value, column in zip(row, columns, strict=True)
    ]


def _binary_value(value: bytes | str | None, column: AnswerColumn) -> Any:
    if value is None or _binary_type(column) is ColumnType.STRING:
        return value
    decode = decoders.get(column.type_code)
    text = value.decode("ascii") if isinstance(value, bytes) else value
    return decode(text) if decode is not None else value


def _binary_type(column: AnswerColumn) -> ColumnType:
    known = ColumnType(column.type_code)
    if known in {ColumnType.DECIMAL, ColumnType.NEWDECIMAL, ColumnType.NULL}:
        return ColumnType.STRING
    return known


def _character_set(column: AnswerColumn) -> CharacterSet:
    try:
        return CharacterSet(column.charset)
    except ValueError:
        return CharacterSet.utf8mb4
