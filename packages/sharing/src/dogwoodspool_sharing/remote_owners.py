"""The owners of groups in the failure domains of their primaries."""

import threading
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from dogwoodspool_common import Clock, log_event

from .const import MAX_FOLLOWED_GROUPS, REMOTE_OWNERS_USE_SECONDS
from .directory import ProxyDirectory
from .models import Neighbour, Owners, PrimaryLocation
from .remote_domain import RemoteDomain
from .remote_group import OwnerIndex, RemoteGroup


class RemoteOwners:
    """Track the owners that serve requests for primaries in other failure domains.

    Only groups that this proxy uses are tracked, so that the state does not grow with
    the number of groups or proxies of the system. ``RemoteOwnersCoordinator`` asks for
    the owners; this class does no I/O.

    Args:
        own: name of this process.
        failure_domain: failure domain that it runs in.
        directory: decides whether a group's requests are forwarded at all.
    """

    def __init__(
        self, own: str, failure_domain: str, directory: ProxyDirectory, clock: Clock
    ) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._directory = directory
        self._clock = clock
        self._lock = threading.Lock()
        self._primaries: dict[str, PrimaryLocation] = {}
        self._groups: dict[str, RemoteGroup] = {}
        self._domains: dict[str, RemoteDomain] = {}
        self._index = OwnerIndex()
        self._on_change: Callable[[], None] = lambda: None
        self._on_primaries: Callable[[], None] = lambda: None

    def now(self) -> float:
        """Return the clock's time."""
        return self._clock.now()

    def set_listener(
        self,
        on_change: Callable[[], None],
        on_primaries: Callable[[], None] = lambda: None,
    ) -> None:
        """Set functions to call.

        Args:
            on_change: called when the owners of another group are needed.
            on_primaries: called when a primary has moved, or its owners have changed.
        """
        self._on_change = on_change
        self._on_primaries = on_primaries

    def set_primaries(self, primaries: Mapping[str, PrimaryLocation]) -> None:
        """Set where the primaries of all groups are."""
        with self._lock:
            has_changed = primaries != self._primaries
            self._primaries = dict(primaries)
            moved = [
                (group, known.used_at)
                for group, known in self._groups.items()
                if not self._is_in(group, known.failure_domain)
            ]
            for group, used_at in moved:
                self._forget(group)
                if self._remote_primary(group) is not None:
                    self._add(group, used_at)
        if moved:
            self._on_change()
        if has_changed:
            self._on_primaries()

    def is_primary(self, group: str, server: str) -> bool:
        """Return whether a server is the primary of its group."""
        primary = self._primaries.get(group)
        return primary is not None and primary.server == server

    def is_elsewhere(self, group: str) -> bool:
        """Return whether a group's primary is used through known owners elsewhere."""
        if not self._directory.forwards_to_primary_owners(group):
            return False
        with self._lock:
            known = self._groups.get(group)
            return known is not None and known.owners is not None

    def owners(self, group: str, account: str = "") -> Sequence[Neighbour]:
        """Return the proxies to try for a request to the primary, in this order.

        Args:
            group: the group.
            account: client account whose connections the request needs; empty if it
                can use any connection.

        Returns:
            An empty sequence if the request is to be routed as if the primary were in
            this failure domain.
        """
        if not self._directory.forwards_to_primary_owners(group):
            return ()
        with self._lock:
            if self._remote_primary(group) is None:
                return ()
            known, is_new = self._record_use(group)
            ordered = [
                owner
                for owner in known.order(self._own, account)
                if self._is_usable(owner.name)
            ]
        if is_new:
            self._on_change()
        return ordered

    def usable(self, owners: Iterable[Neighbour]) -> Iterator[Neighbour]:
        """Yield those owners that have not failed by the time they are to be tried.

        The failed attempt with one owner may show that none of them can be reached.
        """
        for owner in owners:
            with self._lock:
                is_usable = self._is_usable(owner.name)
            if is_usable:
                yield owner

    def wanted(self) -> dict[str, list[str]]:
        """Return the groups to follow by failure domain; forget unused groups."""
        oldest = self._clock.now() - REMOTE_OWNERS_USE_SECONDS
        with self._lock:
            for group, known in list(self._groups.items()):
                if known.used_at < oldest:
                    self._forget(group)
            wanted: dict[str, list[str]] = {}
            for group, known in sorted(self._groups.items()):
                followed = wanted.setdefault(known.failure_domain, [])
                if len(followed) < MAX_FOLLOWED_GROUPS:
                    followed.append(group)
        return wanted

    def confirmed_at(self, group: str) -> float | None:
        """Return when a group's owners were last confirmed; None if not known."""
        with self._lock:
            known = self._groups.get(group)
            return None if known is None else known.confirmed_at

    def digest(self, failure_domain: str) -> str:
        """Return the digest of the last response from a failure domain."""
        with self._lock:
            return self._domain(failure_domain).digest

    def contact(self, failure_domain: str) -> Neighbour | None:
        """Return the proxy of a failure domain to ask next; None if none is known."""
        with self._lock:
            contacts = self._domain(failure_domain).contacts
            return contacts[0] if contacts else None

    def needs_contacts(self, failure_domain: str) -> bool:
        """Return whether no known proxy of a failure domain answers."""
        with self._lock:
            return self._domain(failure_domain).needs_contacts

    def has_failed_domain(self) -> bool:
        """Return whether a failure domain counts as unreachable."""
        with self._lock:
            return any(self._has_failed(name) for name in self._domains)

    def set_contacts(self, failure_domain: str, contacts: Sequence[Neighbour]) -> None:
        """Replace the proxies to ask by those that control names, if there are any."""
        with self._lock:
            if contacts:
                self._domain(failure_domain).set_contacts(contacts)

    def adopt(
        self,
        failure_domain: str,
        responder: Neighbour,
        digest: str,
        owners: Mapping[str, Owners] | None,
        contacts: Sequence[Neighbour] | None,
    ) -> None:
        """Record the response of a contact.

        Args:
            failure_domain: the contact's failure domain.
            responder: the contact.
            digest: digest of the response.
            owners: the owners of the groups that are shared there; None if unchanged.
            contacts: other proxies there; None if unchanged.
        """
        now = self._clock.now()
        with self._lock:
            domain = self._domain(failure_domain)
            domain.digest, domain.silent = digest, 0
            domain.record_answer(now)
            if contacts is not None:
                others = [one for one in contacts if one != responder]
                domain.set_contacts([responder, *others])
            for group, known in self._groups.items():
                if known.failure_domain != failure_domain:
                    continue
                if owners is not None:
                    known.owners = owners.get(group)
                elif known.confirmed_at is None:
                    # Added since the request was sent.
                    domain.digest = ""
                    continue
                known.confirmed_at = now
            has_changed = self._index.update(self._groups.values())
        if has_changed:
            self._on_primaries()

    def record_answer(self, owner: str) -> None:
        """Record that an owner answered, with whatever result."""
        with self._lock:
            failure_domain = self._index.failure_domain(owner)
            if failure_domain is not None:
                self._domain(failure_domain).record_answer(self._clock.now())

    def record_owner_failure(
        self, owner: str, asked_at: float, *, is_unreachable: bool
    ) -> None:
        """Record that an owner did not answer; it is skipped for the retry time.

        If its machine cannot be reached either, and no proxy of its failure domain has
        answered since, that failure domain is likely cut off, and all its owners are
        skipped. Otherwise each request would wait for each owner in turn.

        Args:
            owner: name of the owner; other proxies are ignored.
            asked_at: clock time at which it was asked.
            is_unreachable: whether its machine did not answer.
        """
        with self._lock:
            failure_domain = self._index.failure_domain(owner)
            if failure_domain is None:
                return
            self._index.record_failure(owner, self._clock.now())
            if is_unreachable:
                self._record_unreachable(failure_domain, asked_at)

    def record_contact_failure(
        self, failure_domain: str, contact: Neighbour, asked_at: float
    ) -> None:
        """Record that a contact did not answer, so that another one is asked next.

        This alone never marks the failure domain, but keeps it marked.
        """
        with self._lock:
            domain = self._domain(failure_domain)
            domain.record_contact_failure(contact)
            if domain.failed_at is not None:
                self._record_unreachable(failure_domain, asked_at)

    def _record_use(self, group: str) -> tuple[RemoteGroup, bool]:
        now = self._clock.now()
        known = self._groups.get(group)
        if known is not None:
            known.used_at = now
            return known, False
        return self._add(group, now), True

    def _add(self, group: str, used_at: float) -> RemoteGroup:
        failure_domain = self._primaries[group].failure_domain
        known = self._groups[group] = RemoteGroup(group, failure_domain, used_at)
        # The last response may have lacked this group.
        self._domain(failure_domain).digest = ""
        return known

    def _remote_primary(self, group: str) -> PrimaryLocation | None:
        primary = self._primaries.get(group)
        if primary is None or primary.failure_domain == self._failure_domain:
            return None
        return primary

    def _is_in(self, group: str, failure_domain: str) -> bool:
        primary = self._primaries.get(group)
        return primary is not None and primary.failure_domain == failure_domain

    def _forget(self, group: str) -> None:
        known = self._groups.pop(group)
        self._domain(known.failure_domain).digest = ""
        self._index.update(self._groups.values())

    def _domain(self, name: str) -> RemoteDomain:
        return self._domains.setdefault(name, RemoteDomain())

    def _record_unreachable(self, failure_domain: str, asked_at: float) -> None:
        domain = self._domain(failure_domain)
        was_marked = domain.failed_at is not None
        is_marked = domain.record_unreachable(asked_at, self._clock.now())
        if is_marked and not was_marked:
            log_event("failure_domain_skipped", failure_domain=failure_domain)

    def _has_failed(self, failure_domain: str) -> bool:
        return self._domain(failure_domain).has_failed(self._clock.now())

    def _is_usable(self, owner: str) -> bool:
        failure_domain = self._index.failure_domain(owner)
        if failure_domain is not None and self._has_failed(failure_domain):
            return False
        return not self._index.has_failed(owner, self._clock.now())
