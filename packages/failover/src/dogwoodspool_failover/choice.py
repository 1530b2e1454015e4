"""Choose the new primary of a group that replicates synchronously.

An acknowledged write is on the server that took it and on at least one other. So
it is on some frozen server as long as all servers but one are frozen, and the
furthest frozen one has them all. A frozen server receives nothing: what it said is
all that it has.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_control.models import ChoiceRefusal
from expression import Error, Ok, Result

from .models import Choice, ServerState

# Servers beside the one that took a write which have it when it is acknowledged.
COPIES: Final = 1


@dataclass(frozen=True, slots=True)
class FailoverInput:
    """What the choice is decided on when a primary has failed.

    Attributes:
        members: all recorded servers of the group, those that have ended included
            for as long as they may hold an acknowledged write alone.
        frozen: answers of the servers that are frozen.
        writers: servers that may have taken writes since the last change ended.
        unwanted: servers that should not be chosen, such as a failed primary.
    """

    members: Sequence[BackendServer]
    frozen: Mapping[str, ServerState]
    writers: Collection[str]
    unwanted: Collection[str] = ()


def choose_primary(given: FailoverInput) -> Result[Choice, ChoiceRefusal]:
    """Choose a frozen server that surely has every acknowledged write."""
    missing = [one.name for one in given.members if one.name not in given.frozen]
    if len(missing) > COPIES or not given.frozen:
        return Error(ChoiceRefusal("servers are not frozen yet", tuple(missing)))
    needed = _needed(given, missing)
    candidates = [
        server
        for server in given.members
        if server.name in given.frozen
        and not server.is_gone
        and given.frozen[server.name].received >= needed
    ]
    if not candidates:
        reason = "no server that runs has every acknowledged write"
        return Error(ChoiceRefusal(reason, tuple(missing)))
    best = min(candidates, key=lambda one: _rank(given, one))
    return Ok(Choice(best.name, given.frozen[best.name].received))


def _needed(given: FailoverInput, missing: Sequence[str]) -> Position:
    """Return the position that covers every acknowledged write.

    Where all servers but the only writer are frozen, each acknowledged write is on
    one of them: what only the writer has was not acknowledged.
    """
    counted = dict(given.frozen)
    if not missing and len(given.writers) == 1:
        for writer in given.writers:
            counted.pop(writer, None)
    return max(state.received for state in (counted or given.frozen).values())


def _rank(given: FailoverInput, server: BackendServer) -> tuple[bool, bool, Position]:
    state = given.frozen[server.name]
    behind = Position(-state.received.term, -state.received.offset)
    return server.name in given.unwanted, server.is_leaving, behind


@dataclass(frozen=True, slots=True)
class HandoverInput:
    """What the choice is decided on while the old primary goes on working.

    Attributes:
        primary: name of the old primary, which still takes writes.
        members: as for ``FailoverInput``.
        states: answers of the replicas, by name.
        wanted: the replica that an operator asked for, if any.
    """

    primary: str
    members: Sequence[BackendServer]
    states: Mapping[str, ServerState]
    wanted: str | None = None


def choose_successor(given: HandoverInput) -> Result[Choice, ChoiceRefusal]:
    """Choose the replica to which a working primary hands over."""
    candidates = [
        server
        for server in given.members
        if server.name != given.primary
        and server.name in given.states
        and not server.is_leaving
        and given.wanted in (None, server.name)
    ]
    if not candidates:
        names = tuple(one.name for one in given.members if one.name not in given.states)
        return Error(ChoiceRefusal("no replica that stays answers", names))
    best = max(candidates, key=lambda one: given.states[one.name].received)
    return Ok(Choice(best.name, given.states[best.name].received))


def is_handover_safe(
    given: HandoverInput, successor: str, paused: Mapping[str, ServerState]
) -> bool:
    """Tell whether the successor has every acknowledged write from now on.

    While every replica but the successor is paused, the primary can acknowledge
    a write only once the successor has it. What was acknowledged before is on
    the successor too, if none of the paused ones is ahead of it.
    """
    others = [
        one.name for one in given.members if one.name not in (given.primary, successor)
    ]
    if any(name not in paused for name in others):
        return False
    reached = given.states[successor].received
    return all(paused[name].received <= reached for name in others)
