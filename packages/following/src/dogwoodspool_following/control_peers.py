"""The control processes as a proxy finds them."""

import hashlib
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import Address, PeerRefusedError, log_event
from dogwoodspool_common.const import CODE_NOT_LEADER

from .const import POLLS_BEFORE_RETURN


@dataclass(frozen=True, slots=True)
class ControlContact:
    """How far control answers.

    Attributes:
        is_majority_silent: too few processes answer to make decisions among themselves.
            During an election a majority still answers, if only that none of them
            leads. Without one, the group's decisions are taken where this process
            reaches nobody, or nowhere.
        has_missed_answer: the process that was asked last gave no answer.
        is_in_question: a process gave no answer, or an old one, since a current one
            last answered.
        is_in_touch: a current process has answered a poll since a majority fell silent.
    """

    is_majority_silent: bool
    has_missed_answer: bool
    is_in_question: bool
    is_in_touch: bool


class ControlPeers:
    """Remember which control process leads, and take turns without one.

    What a process says of itself is known; what others say of the leader is hearsay.
    When a leader is cut off, they go on naming it until they have elected. A proxy
    that believed them would wait for it each time. So nobody is believed to lead who
    was asked in vain, until each process has been asked.

    Args:
        addresses: those known at the start.
        failure_domain: where this process runs; control processes there go first,
            since what they send stays inside it.
        name: name of this process. The others have the same addresses: each asks them
            in an order of its own, so that they do not all ask the same first one, nor
            all turn to the same next one when a control process is lost. Without a name
            the given order is kept.
    """

    def __init__(
        self,
        addresses: tuple[Address, ...],
        failure_domain: str = "",
        name: str = "",
    ) -> None:
        self._name = name
        self._addresses = tuple(sorted(addresses, key=self._turn_of))
        self._failure_domain = failure_domain
        self._lock = threading.Lock()
        self._leader: Address | None = None
        # Asked since a leader last answered, and whether they gave an answer.
        self._tried: dict[Address, bool] = {}
        # Gave no answer since one that leads, or hears the leader, last answered.
        self._silent: set[Address] = set()
        self._has_missed_answer = False
        self._is_behind = False
        self._is_in_touch = True
        self._turn = 0
        self._successes = 0

    @property
    def addresses(self) -> tuple[Address, ...]:
        """All that are known, in the order of preference."""
        with self._lock:
            return self._addresses

    @property
    def has_leader(self) -> bool:
        """Tell whether the leader is known."""
        with self._lock:
            return self._leader is not None

    def contact(self) -> ControlContact:
        """Return how far control answers, all of it at one moment."""
        with self._lock:
            return ControlContact(
                is_majority_silent=self._lacks_majority(),
                has_missed_answer=self._has_missed_answer,
                is_in_question=bool(self._silent) or self._is_behind,
                is_in_touch=self._is_in_touch,
            )

    def leader_or_next(self) -> Address:
        """Return the leader's address, or the next one to ask."""
        with self._lock:
            return self._leader or self._addresses[self._turn]

    def any(self) -> Address:
        """Return an address for requests that every control process serves."""
        with self._lock:
            return self._addresses[self._turn]

    def adopt(self, members: Iterable[MemberMessage]) -> None:
        """Take over the members of the control group.

        Processes are replaced at other addresses over time: without this, a proxy
        that runs for months would know none of those that are left.
        """
        ordered = sorted(
            members,
            key=lambda one: (
                one.failure_domain != self._failure_domain,
                self._turn_of(Address.parse(one.address)),
                one.address,
            ),
        )
        addresses = tuple(Address.parse(one.address) for one in ordered)
        with self._lock:
            if addresses == self._addresses:
                return
            log_event("control_members", addresses=",".join(map(str, addresses)))
            self._addresses = addresses
            self._silent &= set(addresses)
            self._turn = 0
            self._successes = 0

    def record_leader_hint(self, text: str | None) -> None:
        """Take over what a control process said of the leader."""
        if not text:
            return
        try:
            leader = Address.parse(text)
        except ValueError:
            log_event("control_leader_unreadable", level="WARNING", text=text)
            return
        with self._lock:
            if self._tried.get(leader, True):
                self._follow(leader)

    def record_leader_answer(self, address: Address) -> None:
        """Take in that a process answered as the leader."""
        with self._lock:
            self._tried.clear()
            self._note_current()
            self._follow(address)

    def record_refusal(self, address: Address, error: PeerRefusedError) -> None:
        """Turn to the next process after one refused, which may name the leader."""
        self._note_tried(address, has_answered=True)
        self._note_heard(address)
        if error.code == CODE_NOT_LEADER:
            self.record_leader_hint(error.detail)

    def record_failure(self, address: Address) -> None:
        """Turn to the next process after one gave no answer."""
        self._note_tried(address, has_answered=False)
        with self._lock:
            self._silent.add(address)
            self._has_missed_answer = True
            if self._lacks_majority():
                self._is_in_touch = False

    def record_behind(self, address: Address) -> None:
        """Turn to the next process after one answered that does not hear the leader."""
        self._note_tried(address, has_answered=False)
        self._note_heard(address)
        with self._lock:
            self._is_behind = True

    def record_success(self, address: Address) -> None:
        """Return to the preferred process after some polls of another one."""
        with self._lock:
            self._tried.pop(address, None)
            self._note_current()
            self._is_in_touch = True
            if self._addresses[self._turn] != address or self._turn == 0:
                return
            self._successes += 1
            if self._successes >= POLLS_BEFORE_RETURN:
                self._successes = 0
                self._turn = 0

    def _turn_of(self, address: Address) -> bytes:
        """Return what orders the addresses, differently for each name."""
        if not self._name:
            return b""
        return hashlib.sha256(f"{self._name} {address}".encode()).digest()

    def _follow(self, leader: Address) -> None:
        if leader != self._leader:
            log_event("control_leader", address=leader)
        self._leader = leader

    def _note_tried(self, address: Address, *, has_answered: bool) -> None:
        with self._lock:
            self._successes = 0
            if self._leader == address:
                self._leader = None
            self._tried[address] = has_answered
            if self._tried.keys() >= set(self._addresses):
                self._tried.clear()
            if self._addresses[self._turn] == address or self._leader is None:
                self._take_next_turn()

    def _note_current(self) -> None:
        self._silent.clear()
        self._has_missed_answer = False
        self._is_behind = False

    def _note_heard(self, address: Address) -> None:
        with self._lock:
            self._silent.discard(address)
            self._has_missed_answer = False

    def _lacks_majority(self) -> bool:
        count = len(self._addresses)
        return count - len(self._silent) <= count // 2

    def _take_next_turn(self) -> None:
        """Turn to the next process that was not asked in vain."""
        count = len(self._addresses)
        turns = [(self._turn + step) % count for step in range(1, count + 1)]
        hopeful = [
            turn for turn in turns if self._tried.get(self._addresses[turn], True)
        ]
        self._turn = (hopeful or turns)[0]
