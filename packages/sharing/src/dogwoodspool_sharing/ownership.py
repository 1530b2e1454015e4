"""Which proxies own a group's pools; no input or output here.

The load pattern that it answers: proxies are many, and a request to one server comes to
one proxy seldom. Pools of their own would either hold more connections than the server
takes, or open one for nearly every request. So the proxies of a failure domain hand
their requests to a few of them, whose pools are in steady use.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from functools import partial

from .const import (
    CONNECTIONS_PER_OWNER,
    MIN_EVEN_SHARE,
    MIN_OWNERS,
    MIN_PROXIES_PER_OWNER,
    WEIGHT_BYTES,
)
from .models import Neighbour


def is_shared(connections: int, neighbours: int, failure_domains: int) -> bool:
    """Tell whether the proxies of a failure domain share a group's pools.

    Args:
        connections: what each server of the group takes.
        neighbours: proxies of the failure domain; the others are taken to have as many.
        failure_domains: how many there are.

    Example:
        >>> is_shared(23, 3, 3), is_shared(35, 24, 3)
        (False, True)
    """
    owners = owner_count(connections, failure_domains)
    is_scarce = connections < MIN_EVEN_SHARE * neighbours * failure_domains
    return is_scarce and neighbours >= MIN_PROXIES_PER_OWNER * owners


def owner_count(connections: int, failure_domains: int) -> int:
    """Return how many owners each failure domain has for one group.

    It follows from the connections alone: what all owners together may be asked is
    bounded by the group's servers, however many proxies there are.

    Example:
        >>> owner_count(35, 3), owner_count(117, 6)
        (2, 3)
    """
    in_domain = connections // max(1, failure_domains)
    return max(MIN_OWNERS, in_domain // CONNECTIONS_PER_OWNER)


def assign_owners(
    groups: Mapping[str, int], neighbours: Collection[Neighbour]
) -> dict[str, list[Neighbour]]:
    """Return the owners of each group, by rendezvous hashing with bounded loads.

    Every proxy comes to the same owners without asking; those that know of other
    neighbours for a moment come to some others, which costs connections only. Few
    owners change with a proxy. None owns more than an even part of the groups, since
    chance would give some instances the traffic of three groups, and their links or
    processors would be full first.

    Args:
        groups: how many owners each has.
        neighbours: the proxies of the failure domain.
    """
    most = math.ceil(sum(groups.values()) / max(1, len(neighbours)))
    owned: Counter[str] = Counter()
    assigned = {}
    for group, count in sorted(groups.items()):
        ranked = sorted(neighbours, key=partial(_weight_of, group))
        ranked.sort(key=lambda one: owned[one.name] >= most)
        assigned[group] = ranked[:count]
        owned.update(one.name for one in assigned[group])
    return assigned


def order_for(
    proxy: str, group: str, owners: Sequence[Neighbour]
) -> Sequence[Neighbour]:
    """Return the owners in the order in which a proxy turns to them.

    Each proxy begins at another one, and so the owners share the load.
    """
    if not owners:
        return owners
    first = int.from_bytes(_weight(group, proxy)) % len(owners)
    return [*owners[first:], *owners[:first]]


def _weight_of(group: str, neighbour: Neighbour) -> bytes:
    return _weight(group, neighbour.name)


def _weight(group: str, proxy: str) -> bytes:
    content = f"{group} {proxy}".encode()
    return hashlib.blake2b(content, digest_size=WEIGHT_BYTES).digest()
