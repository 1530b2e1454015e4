"""Choose the proxies that count an account's operations in a failure domain."""

import hashlib
import math
from collections.abc import Sequence

from dogwoodspool_sharing import Neighbour, ProxyDirectory

from .const import MIN_LIMIT_OWNERS, PROXIES_PER_OWNER


def limit_owners(account: str, neighbours: Sequence[Neighbour]) -> list[Neighbour]:
    """Return the proxies to ask for an account's tokens, in this order.

    All proxies of a failure domain compute the same order by rendezvous hashing. Few of
    them own limits, so that few draw from control; the others follow in case that the
    owners do not answer.

    Args:
        account: name of the account.
        neighbours: the proxies of the failure domain, at least one.
    """
    ranked = sorted(neighbours, key=lambda one: _weight("limits", one.name))
    wanted = max(MIN_LIMIT_OWNERS, math.ceil(len(ranked) / PROXIES_PER_OWNER))
    owners = ranked[:wanted]
    owners.sort(key=lambda one: _weight(account, one.name))
    return [*owners, *ranked[wanted:]]


class LimitOwners:
    """Remember the order of owners for each account while the neighbours stay.

    Args:
        directory: the neighbours, and which of them did not answer lately.
    """

    def __init__(self, directory: ProxyDirectory) -> None:
        self._directory = directory
        self._neighbours: Sequence[Neighbour] = ()
        self._orders: dict[str, list[Neighbour]] = {}

    def order(self, account: str) -> list[Neighbour]:
        """Return the owners to try; those that did not answer lately are left out."""
        order = self._order(account)
        return [one for one in order if not self._directory.has_failed(one.name)]

    def is_first(self, account: str, name: str) -> bool:
        """Return whether a proxy is the first to ask, or none is known."""
        order = self._order(account)
        return not order or order[0].name == name

    def _order(self, account: str) -> list[Neighbour]:
        neighbours = self._directory.neighbours
        if neighbours is not self._neighbours:
            self._neighbours, self._orders = neighbours, {}
        orders = self._orders
        order = orders.get(account)
        if order is None:
            order = orders[account] = limit_owners(account, neighbours)
        return order


def _weight(account: str, proxy: str) -> bytes:
    return hashlib.blake2b(f"{account} {proxy}".encode(), digest_size=8).digest()
