"""Choose the proxies that own a group's pools; pure functions without I/O.

Where there are many proxies, each of them rarely gets a request for a given server. If
each proxy had its own pool, the pools would either hold more connections than the
server accepts or open one for nearly every request. If each had its own queue, requests
would queue in the server instead, which neither orders them by priority nor refuses
them in time. So the proxies of a failure domain forward their requests to a few owners.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from functools import partial

from .const import (
    CONNECTIONS_ELSEWHERE,
    CONNECTIONS_PER_OWNER,
    MIN_OWNERS,
    MIN_OWNERS_IN_USE,
    MIN_PROXIES_PER_OWNER,
    OWNERS_PER_SLOT,
    WEIGHT_BYTES,
)
from .models import Neighbour, Owners, PrimaryParts, ServerLimits


def is_shared(limits: ServerLimits, neighbours: int, failure_domains: int) -> bool:
    """Return whether the proxies of a failure domain share a group's pools.

    Args:
        limits: capacity of each server of the group.
        neighbours: number of proxies of the failure domain; the other failure domains
            are assumed to have as many.
        failure_domains: number of failure domains.

    Example:
        >>> limits = ServerLimits(slots=3, connections=35)
        >>> is_shared(limits, 3, 3), is_shared(limits, 24, 3)
        (False, True)
    """
    owners = max(MIN_OWNERS, owner_count(limits, failure_domains))
    return neighbours >= MIN_PROXIES_PER_OWNER * owners


def owner_count(limits: ServerLimits, failure_domains: int) -> int:
    """Return how many owners each failure domain uses for one group.

    The number depends on the servers alone: they bound the work of all owners together,
    however many proxies there are.

    Example:
        >>> owner_count(ServerLimits(slots=3, connections=166), 5)
        1
        >>> owner_count(ServerLimits(slots=64, connections=2_000), 6)
        16
    """
    domains = max(1, failure_domains)
    by_slots = math.ceil(OWNERS_PER_SLOT * limits.slots / domains)
    by_connections = limits.connections // domains // CONNECTIONS_PER_OWNER
    minimum = min(MIN_OWNERS, math.ceil(MIN_OWNERS_IN_USE / domains))
    return max(minimum, min(by_slots, by_connections))


def primary_parts(connections: int, owners: int, failure_domains: int) -> PrimaryParts:
    """Return how the connections to a primary are divided among the owners.

    Some are set aside for the owners of the other failure domains, which need them only
    while they cannot reach the owners near the primary. The parts of all owners add up
    to no more than the server accepts.

    Args:
        connections: connections that the server accepts from proxies.
        owners: owners in use in each failure domain.
        failure_domains: number of failure domains.

    Example:
        >>> primary_parts(51, 2, 3), primary_parts(10, 2, 3)
        (PrimaryParts(near=21, elsewhere=2), PrimaryParts(near=3, elsewhere=1))
    """
    others = owners * (failure_domains - 1)
    elsewhere = 0
    if others:
        elsewhere = min(CONNECTIONS_ELSEWHERE, connections // 2 // others)
    return PrimaryParts((connections - others * elsewhere) // owners, elsewhere)


def assign_owners(
    groups: Mapping[str, int], neighbours: Collection[Neighbour]
) -> dict[str, Owners]:
    """Return the owners of each group, by rendezvous hashing with bounded loads.

    All proxies compute the same owners without communication. Proxies whose known
    neighbours differ for a moment compute some other owners, which only costs
    additional connections. When a proxy comes or goes, few owners change. No proxy owns
    more than an equal part of the groups: by chance some instances would otherwise get
    the traffic of three groups, and their network links or processors would be
    saturated first.

    Args:
        groups: the number of owners in use of each group.
        neighbours: the proxies of the failure domain.
    """
    max_owned = math.ceil(sum(groups.values()) / max(1, len(neighbours)))
    owned: Counter[str] = Counter()
    assigned = {}
    for group, count in sorted(groups.items()):
        ranked = sorted(neighbours, key=partial(_weight_of, group))
        ranked.sort(key=lambda neighbour: owned[neighbour.name] >= max_owned)
        total = max(MIN_OWNERS, count)
        assigned[group] = Owners(tuple(ranked[:count]), tuple(ranked[count:total]))
        owned.update(owner.name for owner in assigned[group].in_use)
    return assigned


def owner_order(proxy: str, group: str, owners: Owners) -> Sequence[Neighbour]:
    """Return the owners in the order in which a proxy tries them.

    Proxies start at different owners in use, so that the owners share the load. A proxy
    that is itself in reserve tries only the owners before it.
    """
    in_use = owners.in_use
    first = int.from_bytes(_weight(group, proxy)) % len(in_use) if in_use else 0
    ordered = [*in_use[first:], *in_use[:first], *owners.in_reserve]
    names = [owner.name for owner in ordered]
    return ordered[: names.index(proxy)] if proxy in names else ordered


def account_order(account: str, group: str, owners: Owners) -> Sequence[Neighbour]:
    """Return the owners in the order in which requests of a client account try them.

    All proxies use the same order, so that the connections of an account, which serve
    no other, are in one pool.
    """
    key = f"{group} {account}"
    in_use = sorted(owners.in_use, key=lambda owner: _weight(key, owner.name))
    return [*in_use, *owners.in_reserve]


def contact_order(proxy: str, neighbours: Collection[Neighbour]) -> list[Neighbour]:
    """Return the neighbours in the order in which a proxy names them to others."""
    return sorted(neighbours, key=partial(_weight_of, proxy))


def _weight_of(group: str, neighbour: Neighbour) -> bytes:
    return _weight(group, neighbour.name)


def _weight(group: str, proxy: str) -> bytes:
    content = f"{group} {proxy}".encode()
    return hashlib.blake2b(content, digest_size=WEIGHT_BYTES).digest()
