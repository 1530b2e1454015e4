"""The control processes as this proxy finds them."""

import threading

from dogwoodspool_common import Address, log_event


class ControlPeers:
    """Remember which control process leads, and take turns without one."""

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        self._addresses = addresses
        self._lock = threading.Lock()
        self._leader: Address | None = None
        self._turn = 0

    @property
    def has_leader(self) -> bool:
        """Tell whether the leader is known."""
        with self._lock:
            return self._leader is not None

    def leader_or_next(self) -> Address:
        """Return the leader's address, or the next one to ask."""
        with self._lock:
            return self._leader or self._addresses[self._turn]

    def any(self) -> Address:
        """Return an address for requests that every control process serves."""
        with self._lock:
            return self._addresses[self._turn]

    def note_leader(self, text: str | None) -> None:
        """Take over what a control process said of the leader."""
        if not text:
            return
        try:
            leader = Address.parse(text)
        except ValueError:
            return
        with self._lock:
            if leader != self._leader:
                log_event("control_leader", address=leader)
            self._leader = leader

    def note_failure(self, address: Address) -> None:
        """Turn to the next process after one did not serve."""
        with self._lock:
            if self._leader == address:
                self._leader = None
            if self._addresses[self._turn] == address or self._leader is None:
                self._turn = (self._turn + 1) % len(self._addresses)
