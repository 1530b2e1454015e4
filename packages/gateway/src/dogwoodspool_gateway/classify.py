"""Classify statements by how the proxy handles them.

A statement that is not known to be a plain read is treated as a write. Statements
that would leave state on a pooled connection are classified as unsupported.
"""

import re
from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from sqlglot import tokenize
from sqlglot.errors import SqlglotError
from sqlglot.tokenizer_core import Token, TokenType

from .const import CLASSIFY_CACHE_SIZE
from .keywords import (
    DDL_KEYWORDS,
    FALSE_VALUES,
    IGNORED_VARIABLES,
    NON_FUNCTION_KEYWORDS,
    PURE_FUNCTIONS,
    READ_KEYWORDS,
    TRUE_VALUES,
    UNSUPPORTED_FUNCTIONS,
    UNSUPPORTED_KEYWORDS,
    WRITE_KEYWORDS,
)
from .models import Classification, StatementKind

LITERAL_TOKENS: Final = frozenset(
    {TokenType.STRING, TokenType.NUMBER, TokenType.HEX_STRING}
)
QUOTED_TOKENS: Final = frozenset({TokenType.STRING, TokenType.IDENTIFIER})
PUNCTUATION: Final = frozenset("()[]{},.;:+-*/%=<>!&|^~?@")

_LOCAL_ITEM: Final = (
    r"(?:@@(?:session\.|global\.)?(\w+)"
    r"|(DATABASE|SCHEMA|VERSION|CONNECTION_ID|LAST_INSERT_ID|USER|CURRENT_USER)\(\s*\))"
)
_LOCAL_ALIAS: Final = r"(?:\s+AS\s+[`'\"]?\w+[`'\"]?)?"
_LOCAL_SELECT: Final = re.compile(
    rf"\s*SELECT\s+{_LOCAL_ITEM}{_LOCAL_ALIAS}"
    rf"(?:\s*,\s*{_LOCAL_ITEM}{_LOCAL_ALIAS})*\s*(?:LIMIT\s+1\s*)?;?\s*",
    re.IGNORECASE,
)
_EACH_LOCAL_ITEM: Final = re.compile(_LOCAL_ITEM, re.IGNORECASE)
_EXECUTABLE_SET: Final = re.compile(r"\s*/\*!\d*\s*(SET\s.*?)\*/\s*;?\s*", re.I | re.S)


@lru_cache(maxsize=CLASSIFY_CACHE_SIZE)
def classify(sql: str) -> Classification:
    """Classify a statement by how the proxy handles it.

    Example:
        >>> classify("SELECT body FROM lines FOR UPDATE").kind
        <StatementKind.WRITE: 'write'>
    """
    executable = _EXECUTABLE_SET.fullmatch(sql)
    if executable is not None:
        sql = executable[1]
    if _LOCAL_SELECT.fullmatch(sql):
        items = _EACH_LOCAL_ITEM.findall(sql)
        return Classification(
            StatementKind.LOCAL_SELECT,
            tuple((variable or function).lower() for variable, function in items),
        )
    try:
        tokens = tokenize(sql, read="mysql")
    except SqlglotError:
        return Classification(StatementKind.WRITE)
    while tokens and tokens[-1].token_type is TokenType.SEMICOLON:
        tokens.pop()
    if not tokens:
        return Classification(StatementKind.IGNORED)
    return _classify_tokens(sql, tokens)


def _classify_tokens(sql: str, tokens: Sequence[Token]) -> Classification:
    if any(token.token_type is TokenType.SEMICOLON for token in tokens):
        return _unsupported("multiple statements in one request")
    if "/*!" in sql and _has_executable_comment(tokens):
        return _unsupported("an executable comment")
    words = tuple(_word(token) for token in tokens)
    functions = _function_names(words, tokens)
    if not UNSUPPORTED_FUNCTIONS.isdisjoint(functions):
        return _unsupported("a function that depends on one connection's state")
    if any(token.token_type is TokenType.PARAMETER for token in tokens):
        return _unsupported("a user variable")
    return _classify_words(words, functions)


def _classify_words(
    words: tuple[str, ...], functions: frozenset[str]
) -> Classification:
    # The tokenizer returns "LOCK TABLES" as one token.
    first = words[0].split()[0] if words[0] != "(" else "SELECT"
    match first:
        case "BEGIN":
            return Classification(StatementKind.BEGIN)
        case "START":
            return _classify_start(words)
        case "COMMIT":
            return Classification(StatementKind.COMMIT)
        case "ROLLBACK" if "TO" not in words:
            return Classification(StatementKind.ROLLBACK)
        case "SET":
            return _classify_set(words)
        case "USE":
            return Classification(StatementKind.USE, ("".join(words[1:]).strip("`"),))
        case "CREATE" if "TEMPORARY" in words:
            return _unsupported("a temporary table")
        case _ if first in DDL_KEYWORDS:
            return Classification(StatementKind.DDL)
        case _ if first in UNSUPPORTED_KEYWORDS:
            return _unsupported(first)
    is_plain = first in READ_KEYWORDS and WRITE_KEYWORDS.isdisjoint(words)
    if is_plain and functions <= PURE_FUNCTIONS:
        return Classification(StatementKind.READ)
    return Classification(StatementKind.WRITE)


def _classify_start(words: tuple[str, ...]) -> Classification:
    if words[1:2] != ("TRANSACTION",):
        return _unsupported(" ".join(words[:2]))
    if "ONLY" in words:
        return Classification(StatementKind.BEGIN_READ_ONLY)
    return Classification(StatementKind.BEGIN)


def _classify_set(words: tuple[str, ...]) -> Classification:
    rest = [word for word in words[1:] if word not in {"@@", ".", "SESSION", "LOCAL"}]
    if not rest or rest[0] == "GLOBAL":
        return _unsupported("SET GLOBAL")
    variable = rest[0].lower()
    if variable == "autocommit":
        value = rest[-1]
        if value in TRUE_VALUES:
            return Classification(StatementKind.AUTOCOMMIT_ON)
        if value in FALSE_VALUES:
            return Classification(StatementKind.AUTOCOMMIT_OFF)
    if variable in IGNORED_VARIABLES:
        return Classification(StatementKind.IGNORED)
    return _unsupported(f"setting {variable}")


def _function_names(words: tuple[str, ...], tokens: Sequence[Token]) -> frozenset[str]:
    return frozenset(
        word
        for word, token, following in zip(words, tokens, words[1:], strict=False)
        if following == "("
        and token.token_type not in LITERAL_TOKENS
        and word[:1] not in PUNCTUATION
        and word not in NON_FUNCTION_KEYWORDS
    )


def _has_executable_comment(tokens: Sequence[Token]) -> bool:
    return any(
        comment.lstrip().startswith("!")
        for token in tokens
        for comment in token.comments
    )


def _word(token: Token) -> str:
    if token.token_type in QUOTED_TOKENS:
        return f"`{token.text}`"
    return token.text.upper()


def _unsupported(what: str) -> Classification:
    return Classification(StatementKind.UNSUPPORTED, (what,))
