"""Selection of the control process to which requests are sent."""

import hashlib
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import Address, PeerRefusedError, log_event
from dogwoodspool_common.const import CODE_NOT_LEADER

from .const import POLLS_BEFORE_RETURN
from .selection import Selection


@dataclass(frozen=True, slots=True)
class ControlContact:
    """Which part of the control group answers this process.

    Attributes:
        is_majority_silent: whether the processes that answer are too few to make
            decisions. During an election a majority still answers, even if only that
            none of them leads. Without a majority, decisions are made among processes
            that are unreachable from here, or not at all.
        has_missed_answer: whether the process that was asked last gave no answer.
        is_degraded: whether a process gave no answer or an outdated one since an
            up-to-date process last answered.
        has_control_contact: whether an up-to-date process has answered a poll since a
            majority became silent.
    """

    is_majority_silent: bool
    has_missed_answer: bool
    is_degraded: bool
    has_control_contact: bool


class ControlPeers:
    """Track the control leader, and try the processes in order without one.

    A process that answers as the leader is known to lead; what other processes say
    about the leader is only a hint. When a leader is cut off, they keep naming it until
    they have elected another one, and a proxy that followed each hint would wait for
    the old leader every time. So a hint to a process that gave no answer is ignored
    until every process has been asked.

    Members that were lost stay listed for some time, without a vote once they have been
    replaced. They are asked last: each costs a timeout, and with several of them a
    change would arrive too late.

    Args:
        addresses: the configured control processes. They are asked again when none of
            the members that were announced since gives an answer.
        failure_domain: the failure domain of this process. Control processes in it are
            preferred, since what they send stays inside it.
        name: name of this process. All processes know the same addresses; each asks
            them in its own order, so that they do not all ask the same one first, nor
            all move to the same one when a control process is lost. Without a name the
            given order is kept.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        failure_domain: str = "",
        name: str = "",
    ) -> None:
        self._name = name
        self._configured = tuple(sorted(addresses, key=self._rank))
        self._addresses = self._configured
        self._voters = frozenset(addresses)
        self._members: tuple[MemberMessage, ...] = ()
        self._announced: frozenset[Address] = frozenset()
        self._sharers: list[ControlPeers] = []
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._leader: Address | None = None
        self._answered_as_leader: Address | None = None
        # A process that does not lead refuses calls of the leader and answers polls.
        self._polls = Selection()
        self._calls = Selection()
        # Processes without an answer since a process that leads, or is in contact with
        # the leader, last answered.
        self._silent: set[Address] = set()
        # Processes that gave no answer when they were asked last.
        self._lost: set[Address] = set()
        self._has_missed_answer = False
        self._is_behind = False
        self._has_control_contact = True
        self._successes = 0

    @property
    def name(self) -> str:
        """Name of this process; empty without one."""
        return self._name

    @property
    def addresses(self) -> tuple[Address, ...]:
        """All known addresses in order of preference."""
        with self._lock:
            return self._addresses

    @property
    def members(self) -> tuple[MemberMessage, ...]:
        """The members that were announced last; empty before the first time."""
        with self._lock:
            return self._members

    @property
    def others(self) -> tuple[Address, ...]:
        """The configured addresses of processes that are no members, in order."""
        with self._lock:
            if not self._announced:
                return ()
            return tuple(one for one in self._configured if one not in self._announced)

    @property
    def has_leader(self) -> bool:
        """Return whether the leader is known."""
        with self._lock:
            return self._leader is not None

    @property
    def answering_leader(self) -> Address | None:
        """The leader if it has answered as such; None if it was only named, or none."""
        with self._lock:
            return self._leader if self._leader == self._answered_as_leader else None

    def contact(self) -> ControlContact:
        """Return a consistent snapshot of the contact to control."""
        with self._lock:
            return ControlContact(
                is_majority_silent=self._lacks_majority(),
                has_missed_answer=self._has_missed_answer,
                is_degraded=bool(self._silent) or self._is_behind,
                has_control_contact=self._has_control_contact,
            )

    def leader_or_next(self) -> Address:
        """Return the leader's address or, without a leader, the next one to ask."""
        with self._lock:
            return self._leader or self._addresses[self._calls.index]

    def any(self) -> Address:
        """Return an address for requests that every control process serves."""
        with self._lock:
            return self._addresses[self._polls.index]

    def is_member(self, address: Address) -> bool:
        """Return whether a process is among the members that were announced last.

        Before the first announcement every known process may be one.
        """
        with self._lock:
            return not self._announced or address in self._announced

    def share_with(self, peers: "ControlPeers") -> None:
        """Have other peers know the members and configured addresses that these do.

        A set of peers that is asked seldom, or for one kind of request only, would
        keep members that have been lost since.
        """
        self._sharers.append(peers)

    def configure(self, addresses: Iterable[Address]) -> None:
        """Replace the configured addresses; members that were announced stay."""
        ordered = tuple(sorted(dict.fromkeys(addresses), key=self._rank))
        if not ordered:
            return
        for one in self._sharers:
            one.configure(ordered)
        with self._lock:
            if set(ordered) == set(self._configured):
                return
            log_event("control_addresses", addresses=",".join(map(str, ordered)))
            self._configured = ordered
            if not self._announced:
                self._voters = frozenset(ordered)
                self._replace_addresses(ordered)

    def adopt(self, members: Iterable[MemberMessage]) -> None:
        """Replace the known addresses by those of the control group's members.

        Control processes are replaced at other addresses over time: without this, a
        proxy that runs for months would know none of the remaining ones.
        """
        listed = list(members)
        has_own_voter = any(
            one.is_voter and one.failure_domain == self._failure_domain
            for one in listed
        )
        ordered = sorted(
            listed,
            key=lambda one: (
                self._tier(one, has_own_voter=has_own_voter),
                self._rank(Address.parse(one.address)),
                one.address,
            ),
        )
        addresses = tuple(Address.parse(one.address) for one in ordered)
        for sharer in self._sharers:
            sharer.adopt(listed)
        with self._lock:
            self._members = tuple(listed)
            self._announced = frozenset(addresses)
            self._voters = frozenset(
                Address.parse(one.address) for one in listed if one.is_voter
            )
            if addresses == self._addresses:
                return
            log_event("control_members", addresses=",".join(map(str, addresses)))
            self._replace_addresses(addresses)

    def record_leader_hint(self, text: str | None) -> None:
        """Use the leader that a process named, unless that leader gave no answer."""
        if not text:
            return
        try:
            leader = Address.parse(text)
        except ValueError:
            log_event("control_leader_unreadable", level="WARNING", text=text)
            return
        with self._lock:
            if self._calls.tried.get(leader, True):
                self._set_leader(leader)

    def record_leader_answer(self, address: Address) -> None:
        """Record that a process answered as the leader."""
        with self._lock:
            self._polls.tried.clear()
            self._calls.tried.clear()
            self._lost.discard(address)
            self._record_current()
            self._answered_as_leader = address
            self._set_leader(address)

    def record_refusal(self, address: Address, error: PeerRefusedError) -> None:
        """Record a refusal, which may name the leader; move to the next process.

        Polls do not move if the process only does not lead: it may have the newest
        view, and the others may be lost.
        """
        is_leader_missing = error.code == CODE_NOT_LEADER
        self._record_attempt(
            address, has_answered=True, concerns_polls=not is_leader_missing
        )
        self._record_answered(address)
        if is_leader_missing:
            self.record_leader_hint(error.detail)

    def record_poll_refusal(self, address: Address, error: PeerRefusedError) -> None:
        """Record the refusal of a poll; move to the next process."""
        self._record_attempt(address, has_answered=True)
        self._record_answered(address)
        if error.code == CODE_NOT_LEADER:
            self.record_leader_hint(error.detail)

    def record_failure(self, address: Address) -> None:
        """Record that a process gave no answer; move to the next one."""
        self._record_attempt(address, has_answered=False)
        with self._lock:
            self._silent.add(address)
            self._lost.add(address)
            self._has_missed_answer = True
            if self._lacks_majority():
                self._has_control_contact = False

    def record_behind(self, address: Address) -> None:
        """Record an answer from a process without the leader; move to the next one."""
        self._record_attempt(address, has_answered=False)
        self._record_answered(address)
        with self._lock:
            self._is_behind = True

    def record_success(self, address: Address) -> None:
        """Record a successful poll; after some, return to the preferred process."""
        with self._lock:
            self._polls.tried.pop(address, None)
            self._calls.tried.pop(address, None)
            self._lost.discard(address)
            self._record_current()
            self._has_control_contact = True
            if self._addresses[self._polls.index] != address or self._polls.index == 0:
                return
            self._successes += 1
            if self._successes >= POLLS_BEFORE_RETURN:
                self._successes = 0
                self._polls.index = 0

    def _rank(self, address: Address) -> bytes:
        """Return the sort key of an address, which differs for each name."""
        if not self._name:
            return b""
        return hashlib.sha256(f"{self._name} {address}".encode()).digest()

    def _set_leader(self, leader: Address) -> None:
        if leader != self._leader:
            log_event("control_leader", address=leader)
        self._leader = leader

    def _record_attempt(
        self, address: Address, *, has_answered: bool, concerns_polls: bool = True
    ) -> None:
        with self._lock:
            if self._leader == address:
                self._leader = self._answered_as_leader = None
            self._record_asked(self._calls, address, has_answered=has_answered)
            if self._leader is None or self._is_selected(self._calls, address):
                self._calls.select_next(self._addresses, self._lost)
            if not concerns_polls:
                return
            self._successes = 0
            self._record_asked(self._polls, address, has_answered=has_answered)
            if self._is_selected(self._polls, address):
                self._polls.select_next(self._addresses, self._lost)

    def _is_selected(self, selection: Selection, address: Address) -> bool:
        return self._addresses[selection.index] == address

    def _record_asked(
        self, selection: Selection, address: Address, *, has_answered: bool
    ) -> None:
        selection.record(address, has_answered=has_answered)
        if selection.tried.keys() >= set(self._addresses):
            self._end_round(selection)

    def _record_current(self) -> None:
        self._silent.clear()
        self._has_missed_answer = False
        self._is_behind = False

    def _record_answered(self, address: Address) -> None:
        with self._lock:
            self._silent.discard(address)
            self._lost.discard(address)
            self._has_missed_answer = False

    def _end_round(self, selection: Selection) -> None:
        """Begin anew once every process was asked.

        If none was up to date or refused, the configured processes are asked as well:
        all members can be replaced while this process is cut off from them.
        """
        has_answer = any(selection.tried.values())
        selection.tried.clear()
        if not has_answer:
            known = set(self._addresses)
            self._addresses += tuple(
                one for one in self._configured if one not in known
            )

    def _replace_addresses(self, addresses: tuple[Address, ...]) -> None:
        self._addresses = addresses
        self._silent &= set(addresses)
        self._lost &= set(addresses)
        self._polls.index = self._calls.index = self._first_reachable()
        self._successes = 0

    def _lacks_majority(self) -> bool:
        count = len(self._voters)
        return count - len(self._silent & self._voters) <= count // 2

    def _first_reachable(self) -> int:
        """Return the index of the first process that has not been lost."""
        for index, address in enumerate(self._addresses):
            if address not in self._lost:
                return index
        return 0

    def _tier(self, member: MemberMessage, *, has_own_voter: bool) -> int:
        """Return how early a member is asked.

        Members of the own failure domain come first, as what they send stays inside
        it, but one without a vote only where the domain has no voter: it may have been
        replaced.
        """
        is_own = member.failure_domain == self._failure_domain
        if is_own and (member.is_voter or not has_own_voter):
            return 0
        return 1 if member.is_voter else 2
