"""Choose the new primary of a group that replicates synchronously.

An acknowledged write is on the server that accepted it and on at least one other.
Once all servers but one are fenced, every acknowledged write is therefore on some
fenced server, and the most advanced fenced server has all of them. A fenced server
receives no more writes, so the position it reported is final. The server that accepted
them all is enough by itself. Servers that had ended before the present epoch of the
primary hold none of its writes, and earlier ones are on every server whose log goes on
into the epoch.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_control.models import ChoiceRefusal
from expression import Error, Ok, Result

from .models import Choice, ServerState

# Servers besides the one that accepted a write that hold it when it is acknowledged.
REQUIRED_REPLICA_ACKS: Final = 1


@dataclass(frozen=True, slots=True)
class FailoverInput:
    """Input of the choice after a primary has failed.

    Attributes:
        members: all recorded servers of the group, including those that have ended
            for as long as they may be the only holder of an acknowledged write.
        fenced: answers of the servers that are fenced.
        fenced_until_end: last answers of servers that have ended while fenced.
        writers: servers that may have accepted writes since the last change ended.
        sole_writer: the server with the log of the only one that accepted writes whose
            callers may have been told of a success; empty if that is not known.
        refusing: members at whose address nothing listened when they were asked last.
        is_newest_lead: whether no server can have led since, so that no log has been
            rolled back to that of another one.
        ended: servers that had ended before the last change of primary did.
        epoch_start: position that the primary of the last change had reached then;
            None if it is not known.
        unwanted: servers chosen only if no other qualifies, such as a failed
            primary.
    """

    members: Sequence[BackendServer]
    fenced: Mapping[str, ServerState]
    writers: Collection[str]
    sole_writer: str = ""
    refusing: Collection[str] = ()
    is_newest_lead: bool = False
    fenced_until_end: Mapping[str, ServerState] = field(default_factory=dict)
    ended: Collection[str] = ()
    epoch_start: Position | None = None
    unwanted: Collection[str] = ()


def choose_primary(given: FailoverInput) -> Result[Choice, ChoiceRefusal]:
    """Choose a fenced server that is certain to have every acknowledged write."""
    given = _with_ended(given)
    missing = _missing(given)
    if _are_too_few_fenced(given):
        return Error(ChoiceRefusal("too few servers are fenced", tuple(missing)))
    candidates = _qualified(given)
    if not candidates:
        reason = "no running server has every acknowledged write"
        return Error(ChoiceRefusal(reason, tuple(missing)))
    best = min(candidates, key=lambda one: _rank(given, one))
    return Ok(Choice(best.name, given.fenced[best.name].received))


def is_qualified(given: FailoverInput, server: str) -> bool:
    """Tell whether a server is certain to have every acknowledged write."""
    given = _with_ended(given)
    if _are_too_few_fenced(given):
        return False
    return any(one.name == server for one in _qualified(given))


def _with_ended(given: FailoverInput) -> FailoverInput:
    """Count the members that ended while fenced, where too few others are fenced.

    A change bears some missing members. The ended ones with the highest positions are
    such members as far as no others are missing: what only they have was not
    acknowledged.
    """
    if not _are_too_few_fenced(given):
        return given
    ended = given.fenced_until_end
    missing = [name for name in _missing(given) if name not in ended]
    borne = max(0, REQUIRED_REPLICA_ACKS - len(missing))
    names = sorted(ended, key=lambda name: ended[name].received)
    counted = {name: ended[name] for name in names[: len(names) - borne]}
    return replace(given, fenced={**counted, **given.fenced})


def _missing(given: FailoverInput) -> list[str]:
    return [one.name for one in given.members if one.name not in given.fenced]


def _are_too_few_fenced(given: FailoverInput) -> bool:
    if _is_writer_fenced(given):
        return False
    missing = _missing(given)
    if _has_earlier_writes(given):
        missing = [name for name in missing if name not in given.ended]
    return len(missing) > REQUIRED_REPLICA_ACKS or not given.fenced


def _has_earlier_writes(given: FailoverInput) -> bool:
    """Tell whether a fenced server has all that was acknowledged before the epoch."""
    if not given.fenced:
        return False
    newest = max(one.received for one in given.fenced.values())
    return _reaches_epoch(given, newest)


def _reaches_epoch(given: FailoverInput, received: Position) -> bool:
    """Tell whether a log goes on into the epoch."""
    start = given.epoch_start
    return start is not None and received.term == start.term and received >= start


def _is_writer_fenced(given: FailoverInput) -> bool:
    """Tell whether the only writer and all that may still run are fenced.

    It is then known to have all that it has accepted. A server that has ended without
    announcing it holds nothing besides, unless it has led since.

    A server with a shorter log than another one has lost a part of its own.
    """
    writer = given.fenced.get(given.sole_writer)
    if writer is None:
        return False
    has_log = given.is_newest_lead and _reaches_epoch(given, writer.received)
    over = given.refusing if has_log else ()
    running = [one for one in given.members if not one.is_gone and one.name not in over]
    if any(one.name not in given.fenced for one in running):
        return False
    return all(writer.received >= one.received for one in given.fenced.values())


def _qualified(given: FailoverInput) -> list[BackendServer]:
    required = _required_position(given, _missing(given))
    return [
        server
        for server in given.members
        if server.name in given.fenced
        and not server.is_gone
        and given.fenced[server.name].received >= required
    ]


def _required_position(given: FailoverInput, missing: Sequence[str]) -> Position:
    """Return the minimum position that includes every acknowledged write.

    If all servers are fenced and there was a single writer, each acknowledged write
    is on a server other than the writer: what only the writer has was not
    acknowledged.
    """
    counted = dict(given.fenced)
    if not missing and len(given.writers) == 1:
        for writer in given.writers:
            counted.pop(writer, None)
    return max(state.received for state in (counted or given.fenced).values())


def _rank(given: FailoverInput, server: BackendServer) -> tuple[bool, bool, Position]:
    state = given.fenced[server.name]
    behind = Position(-state.received.term, -state.received.offset)
    return server.name in given.unwanted, server.is_leaving, behind


@dataclass(frozen=True, slots=True)
class SwitchoverInput:
    """Input of the choice while the old primary keeps serving.

    Attributes:
        primary: name of the old primary, which still accepts writes.
        members: as for ``FailoverInput``.
        states: answers of the replicas, by name.
        requested: the replica that an operator requested, if any.
        ended: members that have ended for good.
        primary_received: what the old primary had received once the members that have
            ended had; None if it was not asked.
    """

    primary: str
    members: Sequence[BackendServer]
    states: Mapping[str, ServerState]
    requested: str | None = None
    ended: Collection[str] = ()
    primary_received: Position | None = None


def choose_successor(given: SwitchoverInput) -> Result[Choice, ChoiceRefusal]:
    """Choose the replica that takes over from a working primary."""
    candidates = [
        server
        for server in given.members
        if server.name != given.primary
        and server.name in given.states
        and not server.is_leaving
        and given.requested in (None, server.name)
    ]
    if not candidates:
        names = tuple(one.name for one in given.members if one.name not in given.states)
        return Error(ChoiceRefusal("no replica that is not leaving answers", names))
    best = max(candidates, key=lambda one: given.states[one.name].received)
    return Ok(Choice(best.name, given.states[best.name].received))


def is_switchover_safe(
    given: SwitchoverInput, successor: str, paused: Mapping[str, ServerState]
) -> bool:
    """Tell whether the successor has every acknowledged write from now on.

    While every replica but the successor is paused, the primary can acknowledge
    a write only once the successor has it. Earlier acknowledged writes are on the
    successor too if no paused replica is ahead of it. A replica that has ended receives
    nothing more, and the primary has all that was acknowledged with it.
    """
    others = [
        one for one in given.members if one.name not in (given.primary, successor)
    ]
    if any(one.name not in paused and one.name not in given.ended for one in others):
        return False
    successor_position = given.states[successor].received
    if any(one.name not in paused for one in others):
        known = given.primary_received
        if known is None or successor_position < known:
            return False
    return all(
        paused[one.name].received <= successor_position
        for one in others
        if one.name in paused
    )
