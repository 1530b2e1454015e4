"""Apply a session's values and prepared statements to the connection it runs on.

A session's state lasts as long as the session, but each of its transactions may run
on another pooled connection. Before a statement runs, the connection is brought to
the session's state with as few statements as possible: none if the connection was
last used in the same state.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from .const import PREPARED_NAME_BYTES
from .models import Access, Prepared, Statement, StatementKind


@dataclass(slots=True)
class ConnectionState:
    """Session state that is present on a pooled connection.

    Attributes:
        values: session values that are set on it.
        prepared: statements that are prepared on it under the pooler's names.
    """

    values: dict[str, str] = field(default_factory=dict)
    prepared: set[Prepared] = field(default_factory=set)

    def record(self, statement: Statement) -> None:
        """Record the effect of a statement that the server has run."""
        match statement.kind:
            case StatementKind.SET:
                self.values[statement.name] = statement.argument
            case StatementKind.PREPARE:
                access = statement.access or Access.READ
                self.prepared.add(Prepared(access, statement.argument))
            case StatementKind.RESET:
                self.values.clear()
                self.prepared.clear()


@dataclass(slots=True)
class SessionState:
    """What a caller has set and prepared in its session."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepared] = field(default_factory=dict)


def server_statement_name(prepared: Prepared) -> str:
    """Return the name under which a statement is prepared on servers.

    The name is derived from the content: names chosen by callers collide, and sessions
    that prepare the same statement share one prepared statement of a connection.

    Example:
        >>> server_statement_name(Prepared(Access.READ, "q2c"))[:2]
        'p_'
    """
    content = f"{prepared.access}\\0{prepared.shape}".encode()
    digest = hashlib.blake2b(content, digest_size=PREPARED_NAME_BYTES)
    return f"p_{digest.hexdigest()}"


def sync_statements(
    values: Mapping[str, str], connection: ConnectionState, prepared: Prepared | None
) -> list[Statement]:
    """Return the statements that bring a connection to a session's state.

    A single value cannot be unset, so a value that another session left on the
    connection requires a reset of the whole connection.

    Args:
        values: the session's values.
        connection: the state that the connection has.
        prepared: the prepared statement that will be executed on it, if any.
    """
    statements = []
    held = connection
    if any(name not in values for name in held.values):
        statements.append(Statement(StatementKind.RESET))
        held = ConnectionState()
    statements += [
        Statement(StatementKind.SET, name=name, argument=value)
        for name, value in values.items()
        if held.values.get(name) != value
    ]
    if prepared is not None and prepared not in held.prepared:
        statements.append(
            Statement(
                StatementKind.PREPARE,
                name=server_statement_name(prepared),
                argument=prepared.shape,
                access=prepared.access,
            )
        )
    return statements


def sync_cost(values: Mapping[str, str], connection: ConnectionState) -> int:
    """Return the relative cost of bringing a connection to a session's values.

    Example:
        >>> sync_cost({}, ConnectionState())
        0
    """
    foreign = sum(1 for name in connection.values if name not in values)
    missing = sum(
        1 for name, value in values.items() if connection.values.get(name) != value
    )
    # A reset also drops the prepared statements, so it adds 2 to the cost.
    return missing + (len(values) + 2 if foreign else 0)


def with_server_name(statement: Statement, prepared: Prepared | None) -> Statement:
    """Return a caller's statement under the name its prepared statement has there."""
    if prepared is None:
        return statement
    return replace(statement, name=server_statement_name(prepared))
