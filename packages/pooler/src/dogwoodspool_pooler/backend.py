"""One backend server as this process uses it: its pool, queue and ceiling."""

from dataclasses import dataclass, field

from dogwoodspool_common import BackendServer
from dogwoodspool_connections import ConnectionPool
from dogwoodspool_limits import (
    Admission,
    AdmissionQueue,
    ArrivalOrder,
    QueueOrder,
    Refusal,
)
from dogwoodspool_sharing import ConnectionPart
from dogwoodspool_sharing.const import CLOSE_ROOM
from expression import Result

from .ceiling import ConnectionCeiling
from .connection import ServerConnection
from .const import QUEUE_LIMIT, SHARED_QUEUE_LIMIT
from .recording import RecordingConnector
from .requests import AdmissionRequest
from .turns import ConnectionTurns


@dataclass(frozen=True, slots=True)
class Backend:
    """One backend server with its pool, admission queue and connection ceiling."""

    server: BackendServer
    pool: ConnectionPool[ServerConnection]
    admission: AdmissionQueue
    ceiling: ConnectionCeiling
    turns: ConnectionTurns
    connector: RecordingConnector
    own_order: QueueOrder = field(default_factory=ArrivalOrder)
    shared_order: QueueOrder | None = None

    @property
    def is_shared(self) -> bool:
        """Whether the pools of the server's group are shared among proxies."""
        return self.ceiling.is_part

    @property
    def is_ordered_by_target(self) -> bool:
        """Whether requests wait until their targets, and all statements are counted."""
        return self.is_shared and self.shared_order is not None

    def admit(self, request: AdmissionRequest) -> Result[Admission, Refusal]:
        """Wait for admission in the order of the queue."""
        work = request.work
        if work is None or not self.is_ordered_by_target:
            return self.admission.admit(
                request.deadline, request.priority, wait_until=request.start_by
            )
        return self.admission.admit_work(work)

    def wait_until(self, request: AdmissionRequest, now: float) -> float:
        """Return the clock time until which an admitted request waits for a connection.

        Connections that idle transactions hold are not counted in flight, so that an
        admitted request may find none.
        """
        if request.target is None or not self.is_ordered_by_target:
            return max(request.start_by, now)
        return request.target if now < request.target else request.deadline

    def adjust(self) -> None:
        """Apply the current ceiling, and the queue discipline of owners of pools."""
        if self.is_shared and self.shared_order is not None:
            self.admission.set_order(self.shared_order)
            self.admission.set_queue_limit(SHARED_QUEUE_LIMIT)
        else:
            self.admission.set_order(self.own_order)
            self.admission.set_queue_limit(QUEUE_LIMIT)
        limit = self.ceiling.value()
        close_room = CLOSE_ROOM if self.ceiling.is_part else 0
        if limit != self.pool.limit or close_room != self.pool.close_room:
            self.pool.set_limit(limit, close_room=close_room)
            # A statement beyond these would wait in the pool, which does not estimate
            # how long.
            self.admission.set_max_in_flight(self.pool.caller_limit)

    def set_part(self, part: ConnectionPart) -> None:
        """Change the connections that this process may hold."""
        # An owner in reserve needs no turns, and takes over from one that does not
        # answer. A process with turns becomes an owner while its predecessor may still
        # use the connections.
        settles = not self.turns.is_always
        self.ceiling.set_highest(part.connections, is_part=True, settles=settles)
        self.turns.set_share(part.turn_share)
        self.adjust()

    def expire_connections(self) -> None:
        """Close connections that have been idle for too long or are out of turn."""
        if self.turns.wait() > 0:
            self.pool.close_idle()
        else:
            self.pool.close_expired()
