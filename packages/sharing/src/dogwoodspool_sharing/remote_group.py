"""What a proxy knows of groups whose primaries are in other failure domains."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .const import OWNER_RETRY_SECONDS
from .models import Neighbour, Owners
from .ownership import account_order, owner_order


@dataclass(slots=True)
class RemoteGroup:
    """A group in use whose primary is in another failure domain.

    Attributes:
        used_at: clock time of its last use.
        owners: its owners there; None until a proxy there has named them.
        confirmed_at: clock time at which a proxy there last named them.
    """

    name: str
    failure_domain: str
    used_at: float
    owners: Owners | None = None
    confirmed_at: float | None = None

    @property
    def all_owners(self) -> Sequence[Neighbour]:
        """The owners in use and in reserve."""
        if self.owners is None:
            return ()
        return (*self.owners.in_use, *self.owners.in_reserve)

    def order(self, proxy: str, account: str) -> Sequence[Neighbour]:
        """Return the owners in the order in which a proxy tries them."""
        if self.owners is None:
            return ()
        if account:
            return account_order(account, self.name, self.owners)
        return owner_order(proxy, self.name, self.owners)


class OwnerIndex:
    """The failure domain of each owner, and when it last failed."""

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        self._failed_at: dict[str, float] = {}

    def update(self, groups: Iterable[RemoteGroup]) -> bool:
        """Replace the owners by those of these groups; return whether they changed."""
        domains = {
            owner.name: group.failure_domain
            for group in groups
            for owner in group.all_owners
        }
        if domains == self._domains:
            return False
        self._domains = domains
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if name in domains
        }
        return True

    def failure_domain(self, owner: str) -> str | None:
        """Return the failure domain of an owner; None for other proxies."""
        return self._domains.get(owner)

    def record_failure(self, owner: str, now: float) -> None:
        """Record that an owner did not answer."""
        self._failed_at[owner] = now

    def has_failed(self, owner: str, now: float) -> bool:
        """Return whether an owner did not answer within the retry time."""
        failed_at = self._failed_at.get(owner)
        return failed_at is not None and now - failed_at < OWNER_RETRY_SECONDS
