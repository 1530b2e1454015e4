"""Classify MySQL statements and translate them for SQLite."""

import re
from functools import lru_cache
from typing import Final

import sqlglot
from sqlglot import exp
from sqlglot.errors import ErrorLevel, SqlglotError

from .errors import NotImitatedError, SyntaxStatementError
from .models import Statement, StatementKind

_TOKEN: Final = re.compile(
    r"""(?P<string>(?:\b_\w+\s*)?(?:'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"))
      | (?P<name>`[^`]*`)
      | (?P<clock>\b(?:DEFAULT\s+)?CURRENT_TIMESTAMP\b(?:\s*\(\s*\d*\s*\))?)
      | (?P<comment>--(?=\s|$)[^\n]*|\#[^\n]*|/\*.*?\*/)""",
    re.VERBOSE | re.DOTALL | re.IGNORECASE,
)
_SQLITE_TOKEN: Final = re.compile(
    r"""(?P<string>'[^']*')|(?P<name>"[^"]*")|"""
    r"""(?P<clock>\b(?:DEFAULT\s+)?CURRENT_TIMESTAMP\b(?:\s*\(\s*\)|))""",
    re.IGNORECASE,
)
_TEMPORARY: Final = re.compile(r"\s*CREATE\s+TEMPORARY\b", re.IGNORECASE)
_ESCAPE: Final = re.compile(r"\\(.)", re.DOTALL)
_ESCAPES: Final = {"0": "\0", "b": "\b", "n": "\n", "r": "\r", "t": "\t", "Z": "\x1a"}
_LOCKING: Final = re.compile(
    r"\s+(?:FOR\s+(?:UPDATE|SHARE)(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?"
    r"|LOCK\s+IN\s+SHARE\s+MODE)\s*$",
    re.IGNORECASE,
)
_FIRST_WORD: Final = re.compile(r"\s*\(*\s*([A-Za-z]+)")
_INSERT_TABLE: Final = re.compile(
    r"\s*(?:INSERT|REPLACE)\s+(?:(?:OR\s+)?IGNORE\s+)?(?:INTO\s+)?"
    r"(?:[`\"\w]+\.)?[`\"]?(\w+)",
    re.IGNORECASE,
)
_WRITES: Final = re.compile(r"\b(?:INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
_VARIABLES: Final = re.compile(r"\s*SELECT\s+@@", re.IGNORECASE)
_ROLLBACK_TO: Final = re.compile(r"\s*ROLLBACK\s+(?:WORK\s+)?TO\b", re.IGNORECASE)

_KINDS: Final = {
    "SELECT": StatementKind.READ,
    "VALUES": StatementKind.READ,
    "EXPLAIN": StatementKind.READ,
    "WITH": StatementKind.READ,
    "INSERT": StatementKind.WRITE,
    "UPDATE": StatementKind.WRITE,
    "DELETE": StatementKind.WRITE,
    "REPLACE": StatementKind.WRITE,
    "CREATE": StatementKind.SCHEMA,
    "DROP": StatementKind.SCHEMA,
    "ALTER": StatementKind.SCHEMA,
    "TRUNCATE": StatementKind.SCHEMA,
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "SAVEPOINT": StatementKind.SAVEPOINT,
    "RELEASE": StatementKind.SAVEPOINT,
    "SET": StatementKind.SET,
    "SHOW": StatementKind.SHOW,
    "USE": StatementKind.USE,
    "STANDIN": StatementKind.COMMAND,
}


@lru_cache(maxsize=2048)
def parse_statement(text: str) -> Statement:
    """Classify one statement and rewrite its literals for SQLite.

    Raises:
        SyntaxStatementError: the first word does not begin a supported statement.
        NotImitatedError: it creates a temporary table.
    """
    sql = _TOKEN.sub(_rewrite_token, text).strip().rstrip(";").rstrip()
    first = _FIRST_WORD.match(sql)
    kind = _KINDS.get(first.group(1).upper()) if first else None
    if kind is None:
        raise SyntaxStatementError(f"You have an error in your SQL near '{sql[:40]}'")
    if _TEMPORARY.match(sql):
        raise NotImitatedError("temporary tables are not supported by the stand-in")
    if kind is StatementKind.SCHEMA:
        # SQLite would accept INT AUTO_INCREMENT as the name of a type.
        return Statement(kind, translate(text), text)
    bare = _TOKEN.sub("''", sql)
    if kind is StatementKind.ROLLBACK and _ROLLBACK_TO.match(sql):
        kind = StatementKind.SAVEPOINT
    if kind is StatementKind.READ and _VARIABLES.match(sql):
        kind = StatementKind.VARIABLES
    if first and first.group(1).upper() == "WITH" and _WRITES.search(bare):
        kind = StatementKind.WRITE
    if kind is StatementKind.READ and _LOCKING.search(bare):
        return Statement(kind, _LOCKING.sub("", sql), text, is_locking=True)
    table = _INSERT_TABLE.match(sql) if kind is StatementKind.WRITE else None
    return Statement(kind, sql, text, insert_table=table.group(1) if table else None)


@lru_cache(maxsize=512)
def translate(text: str) -> str:
    """Translate a statement from MySQL's dialect into SQLite's.

    Raises:
        SyntaxStatementError: it is not valid MySQL SQL.
    """
    try:
        parsed = sqlglot.parse_one(text, read="mysql")
        tree = parsed.transform(_rewrite_mysql_node) or parsed
        sql = tree.sql(dialect="sqlite", unsupported_level=ErrorLevel.IGNORE)
        return _SQLITE_TOKEN.sub(_rewrite_current_timestamp, sql)
    except SqlglotError as error:
        raise SyntaxStatementError(str(error)) from error


def _rewrite_token(match: re.Match[str]) -> str:
    if match.group("comment") is not None:
        return " "
    if match.group("name") is not None or match.group("clock") is not None:
        return _rewrite_current_timestamp(match)
    token = match.group("string")
    token = token[min(token.find(mark) % len(token) for mark in "'\"") :]
    quote, inner = token[0], token[1:-1]
    value = inner.replace(quote * 2, quote)
    if "\\" in value:
        value = _ESCAPE.sub(lambda m: _ESCAPES.get(m.group(1), m.group(1)), value)
    if "\0" in value:
        return f"CAST(X'{value.encode().hex()}' AS TEXT)"
    return "'" + value.replace("'", "''") + "'"


def _rewrite_current_timestamp(match: re.Match[str]) -> str:
    """Replace ``CURRENT_TIMESTAMP`` with ``NOW()``.

    The value of ``NOW()`` is logged, so that replicas write the same value.
    """
    token = match.group("clock")
    if token is None:
        return match.group()
    return "DEFAULT (NOW())" if token.upper().startswith("DEFAULT") else "NOW()"


def _rewrite_mysql_node(node: exp.Expression) -> exp.Expression | None:
    """Drop or rewrite nodes that sqlglot passes through and SQLite rejects."""
    if isinstance(node, exp.IndexColumnConstraint):
        return None
    if isinstance(node, exp.ColumnConstraint) and isinstance(
        node.kind, exp.CharacterSetColumnConstraint | exp.CollateColumnConstraint
    ):
        return None
    if isinstance(node, exp.Table) and node.db:
        node.set("db", None)  # All databases share one set of tables.
    if (
        isinstance(node, exp.DataType)
        and node.this in exp.DataType.UNSIGNED_INTEGER_TYPES
    ):
        node.set("this", exp.DataType.Type.BIGINT)
    if isinstance(node, exp.UniqueColumnConstraint) and node.this:
        node.this.set("this", None)
    if isinstance(node, exp.OnConflict) and node.args.get("duplicate"):
        return _on_conflict(node)
    if isinstance(node, exp.TruncateTable):
        return exp.Delete(this=node.expressions[0])
    return node


def _on_conflict(node: exp.OnConflict) -> exp.Expression:
    """Turn ``ON DUPLICATE KEY UPDATE a = VALUES(a)`` into SQLite's upsert."""
    changes = ", ".join(item.sql(dialect="sqlite") for item in node.expressions)
    changes = re.sub(r"\bVALUES\(([^()]+)\)", r"excluded.\1", changes)
    return exp.Var(this=f"ON CONFLICT DO UPDATE SET {changes}")
