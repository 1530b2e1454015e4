"""Forward single statements to the owners in the failure domain of their primary."""

from collections.abc import Callable, Sequence

from dogwoodspool_common import Clock, Position
from dogwoodspool_sharing import Neighbour, RemoteOwners

from ..models import Reply
from ..requests import Request
from ..writes import write_in_doubt
from .errors import OwnerSilentError
from .owner_statements import OwnerStatements

# Records a position that a group's primary had certainly reached at a clock time.
RecordPosition = Callable[[str, Position | None, float], None]


class PrimaryForwarder:
    """Have requests for a remote primary served by the owners near it.

    All failure domains then share the admission queues and connections of one or two
    processes. A request that was forwarded to here is not forwarded again.
    """

    def __init__(
        self,
        remote: RemoteOwners,
        owners: OwnerStatements,
        record_position: RecordPosition,
        clock: Clock,
    ) -> None:
        self._remote = remote
        self._owners = owners
        self._record_position = record_position
        self._clock = clock

    def owners(self, request: Request) -> Sequence[Neighbour]:
        """Return the owners to forward to; none if it is to be served elsewhere."""
        if request.at_primary:
            return ()
        return self._remote.owners(request.endpoint.group, request.caller.account)

    def forward(self, request: Request) -> Reply | None:
        """Serve a statement at the primary; see ``forward_to``."""
        owners = self.owners(request)
        return self.forward_to(request, owners) if owners else None

    def forward_to(self, request: Request, owners: Sequence[Neighbour]) -> Reply | None:
        """Serve a statement at the primary; None if it did not run and none served it.

        Raises:
            NotServedError: an owner refused it; it did not run.
        """
        asked_at = self._clock.now()
        try:
            usable = self._remote.usable(owners)
            reply = self._owners.run(request.for_primary(), usable)
        except OwnerSilentError as error:
            if request.writes:
                return write_in_doubt(request, error)
            # A read changes nothing, so it is served elsewhere.
            return None
        if reply is not None and reply.error is None:
            group = request.endpoint.group
            self._record_position(group, reply.position, asked_at)
        return reply
