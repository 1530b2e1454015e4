"""What a proxy knows of another failure domain."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from .const import MAX_CONTACTS, OWNER_RETRY_SECONDS
from .models import Neighbour


@dataclass(slots=True)
class RemoteDomain:
    """Another failure domain that contains primaries of groups in use.

    Attributes:
        contacts: proxies there that may be asked, the next one first.
        silent: contacts in a row that did not answer.
        digest: digest of the last response; empty if it must be sent again.
        answered_at: clock time of the last answer of any proxy there.
        failed_at: clock time at which it was found unreachable; None if it is not.
    """

    contacts: list[Neighbour] = field(default_factory=list)
    silent: int = 0
    digest: str = ""
    answered_at: float | None = None
    failed_at: float | None = None

    @property
    def needs_contacts(self) -> bool:
        """Whether no known proxy answers."""
        return self.silent >= len(self.contacts)

    def set_contacts(self, contacts: Sequence[Neighbour]) -> None:
        """Replace the contacts."""
        self.contacts = list(contacts)[:MAX_CONTACTS]
        self.silent = 0

    def record_contact_failure(self, contact: Neighbour) -> None:
        """Have another contact asked next."""
        self.silent += 1
        if contact in self.contacts:
            self.contacts.remove(contact)
            self.contacts.append(contact)

    def record_answer(self, now: float) -> None:
        """Record that a proxy there answered."""
        self.answered_at = now
        self.failed_at = None

    def record_unreachable(self, asked_at: float, now: float) -> bool:
        """Record a machine that did not respond; return whether it marks the domain.

        It does not if a proxy there has answered since the machine was asked.
        """
        if self.answered_at is not None and self.answered_at >= asked_at:
            return False
        self.failed_at = now
        return True

    def has_failed(self, now: float) -> bool:
        """Return whether it was found unreachable within the retry time."""
        return self.failed_at is not None and now - self.failed_at < OWNER_RETRY_SECONDS
