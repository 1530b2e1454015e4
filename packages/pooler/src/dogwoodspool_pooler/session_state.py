"""Carry a session's values and prepared statements to whatever connection it gets.

A session keeps what it set for as long as it lives, but it runs on another pooled
connection with each transaction. Before a statement runs, the connection is brought
to the session's state, with as few statements as that takes: none where it was last
used in the same state.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from .const import PREPARED_NAME_BYTES
from .models import Access, Prepared, Statement, StatementKind


@dataclass(slots=True)
class ConnectionState:
    """What a pooled connection holds.

    Attributes:
        values: session values that are set on it.
        prepared: statements that are prepared on it, under names of ours.
    """

    values: dict[str, str] = field(default_factory=dict)
    prepared: set[Prepared] = field(default_factory=set)

    def record(self, statement: Statement) -> None:
        """Take in a statement that the server has carried out."""
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


def server_name(prepared: Prepared) -> str:
    """Return the name of a prepared statement on servers.

    It follows from the content: callers' names collide, and sessions that prepare
    the same share one statement of a connection.

    Example:
        >>> server_name(Prepared(Access.READ, "q2c"))[:2]
        'p_'
    """
    content = f"{prepared.access}\\0{prepared.shape}".encode()
    digest = hashlib.blake2b(content, digest_size=PREPARED_NAME_BYTES)
    return f"p_{digest.hexdigest()}"


def carry_over(
    values: Mapping[str, str], connection: ConnectionState, prepared: Prepared | None
) -> list[Statement]:
    """Return the statements that bring a connection to a session's state.

    A value that the session never set cannot be taken back alone, so that one
    left over from another session costs a reset of the whole connection.

    Args:
        values: the session's values.
        connection: what the connection holds.
        prepared: the statement that is to be executed on it, if any.
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
                name=server_name(prepared),
                argument=prepared.shape,
                access=prepared.access,
            )
        )
    return statements


def carry_over_cost(values: Mapping[str, str], connection: ConnectionState) -> int:
    """Return how much a connection differs from a session's values.

    Example:
        >>> carry_over_cost({}, ConnectionState())
        0
    """
    foreign = sum(1 for name in connection.values if name not in values)
    missing = sum(
        1 for name, value in values.items() if connection.values.get(name) != value
    )
    # A reset drops the prepared statements, too, so it counts for more.
    return missing + (len(values) + 2 if foreign else 0)


def on_server(statement: Statement, prepared: Prepared | None) -> Statement:
    """Return a caller's statement with the server's name for what it executes."""
    if prepared is None:
        return statement
    return replace(statement, name=server_name(prepared))
