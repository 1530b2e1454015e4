"""Find the server that has accepted every write of an epoch."""

from collections.abc import Collection, Mapping, Sequence

from dogwoodspool_common import BackendServer, Position, PrimaryEpoch

from .const import FIRST_OFFSET
from .models import ServerState


def sole_writer(
    epoch: PrimaryEpoch | None,
    members: Sequence[BackendServer],
    fenced: Mapping[str, ServerState],
    called: Collection[str],
) -> str:
    """Return the server with the only writer's log; empty if it is not certain.

    Nothing that other servers acknowledge is passed on. The writer has its log in the
    process of the epoch only, unless that has ended: a primary that crashed or left
    comes back with its log, under a new id at its address.

    Args:
        epoch: the latest recorded lead.
        members: all recorded servers of the group.
        fenced: answers of the servers that are fenced.
        called: servers that open promotion calls may have made a primary.
    """
    if epoch is None:
        return ""
    writer = next((one for one in members if one.name == epoch.server), None)
    if writer is None or writer.incarnation != epoch.incarnation:
        return ""
    if not writer.is_gone:
        return writer.name
    successor = _running_in_place_of(writer.name, members)
    if not _has_log_of_epoch(fenced.get(successor), epoch):
        return ""
    return successor if is_newest_lead(epoch, members, fenced, called) else ""


def is_newest_lead(
    epoch: PrimaryEpoch | None,
    members: Sequence[BackendServer],
    fenced: Mapping[str, ServerState],
    called: Collection[str],
) -> bool:
    """Tell whether no primary after the epoch can have sent its log to others.

    A log of the epoch then comes from its own primary, and none has been rolled back.
    The arguments are those of ``sole_writer``.
    """
    if epoch is None:
        return False
    possible_leads = [_running_in_place_of(name, members) for name in called]
    is_newest = all(
        max(one.term, one.received.term) <= epoch.term for one in fenced.values()
    )
    return is_newest and all(name in fenced for name in possible_leads)


def _running_in_place_of(name: str, members: Sequence[BackendServer]) -> str:
    """Return a server, or the one at its address if it has ended; empty if none."""
    server = next((one for one in members if one.name == name), None)
    if server is None:
        return ""
    if not server.is_gone:
        return name
    place = server.address, server.failure_domain
    for one in members:
        if (one.address, one.failure_domain) == place and not one.is_gone:
            return one.name
    return ""


def _has_log_of_epoch(state: ServerState | None, epoch: PrimaryEpoch) -> bool:
    """Tell whether a log goes on into the epoch.

    One that was lost has no entries of it. An empty log is no evidence, also where the
    epoch began with one: every server that starts with nothing has it.
    """
    if state is None:
        return False
    first = Position(epoch.term, max(epoch.offset, FIRST_OFFSET))
    return state.received.term == epoch.term and state.received >= first
