"""Statements that query the server: variables, tables, warnings."""

import re
from typing import Any, Final

from mysql_mimic.variables import GlobalVariables, SessionVariables

from .errors import NotImitatedError, UnknownVariableError
from .member import GroupMember
from .models import Rows
from .storage import StorageConnection

_VARIABLE: Final = re.compile(
    r"@@(?:(?:session|global|local)\.)?(\w+)(?:\s+AS\s+(\w+))?", re.IGNORECASE
)
_SHOW_TABLES: Final = re.compile(r"SHOW\s+TABLES\b", re.IGNORECASE)
_SHOW_VARIABLES: Final = re.compile(
    r"SHOW\s+(?:SESSION\s+|GLOBAL\s+)?VARIABLES\s+LIKE\s+'([^']*)'", re.IGNORECASE
)
_SHOW_WARNINGS: Final = re.compile(r"SHOW\s+(?:WARNINGS|ERRORS)\b", re.IGNORECASE)

_AUTOCOMMIT: Final = "autocommit"
_READ_ONLY: Final = frozenset({"read_only", "super_read_only"})


class Introspection:
    """Answer from mysql-mimic's system variables and this server's state."""

    def __init__(self, member: GroupMember) -> None:
        self._member = member
        self._variables = SessionVariables(GlobalVariables())

    def select(self, sql: str, is_autocommit: bool) -> Rows:
        """Answer ``SELECT @@a, @@b``.

        Raises:
            UnknownVariableError: there is no such variable.
        """
        matches = list(_VARIABLE.finditer(sql))
        names = tuple(match.group(2) or match.group(0) for match in matches)
        values = [self._value(match.group(1).lower()) for match in matches]
        for index, match in enumerate(matches):
            if match.group(1).lower() == _AUTOCOMMIT:
                values[index] = int(is_autocommit)
        return Rows(names, [tuple(values)], is_complete=True)

    def show(self, sql: str, connection: StorageConnection) -> Rows:
        """Answer ``SHOW TABLES``, ``SHOW VARIABLES LIKE`` and ``SHOW WARNINGS``.

        Raises:
            NotImitatedError: any other ``SHOW`` statement.
            UnknownVariableError: there is no such variable.
        """
        if _SHOW_TABLES.match(sql):
            names = connection.table_names()
            rows = [(name,) for name in names]
            return Rows((f"Tables_in_{connection.database}",), rows, is_complete=True)
        if match := _SHOW_VARIABLES.match(sql):
            name = match.group(1).lower()
            row = (name, self._value(name))
            return Rows(("Variable_name", "Value"), [row], is_complete=True)
        if _SHOW_WARNINGS.match(sql):
            return Rows(("Level", "Code", "Message"), [], is_complete=True)
        raise NotImitatedError(f"not supported by the stand-in: '{sql[:60]}'")

    def _value(self, name: str) -> Any:
        if name in _READ_ONLY:
            return int(not self._member.is_primary)
        value = self._variables.get(name)
        if value is None:
            raise UnknownVariableError(f"Unknown system variable '{name}'")
        return int(value) if isinstance(value, bool) else value
