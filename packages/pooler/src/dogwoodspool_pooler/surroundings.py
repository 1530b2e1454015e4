"""What a pooling proxy reaches of the groups that its callers use."""

from dogwoodspool_following import ControlContact
from dogwoodspool_routing import ServerTable

from .const import IN_QUESTION_SECONDS, MAX_PRIMARIES_ASKED
from .known_primaries import KnownPrimaries
from .recovery import RecoveryProber
from .reporting import ReportCoordinator


class GroupSurroundings:
    """See ``ReachabilitySource``."""

    def __init__(
        self,
        failure_domain: str,
        primaries: KnownPrimaries,
        table: ServerTable,
        recovery: RecoveryProber,
        reports: ReportCoordinator,
    ) -> None:
        self._failure_domain = failure_domain
        self._primaries = primaries
        self._table = table
        self._recovery = recovery
        self._reports = reports

    def probe_actively(self, control: ControlContact) -> None:
        """Ask control, and the primaries where a majority of control is silent.

        A proxy with few callers would notice a cut only by their next requests, and one
        such proxy keeps the callers of its whole failure domain: with fewer than half
        of them in rotation, a balancer uses all.
        """
        # Not more often: during an election all proxies are told that it is under way.
        self._reports.ask_control(at_most_every=IN_QUESTION_SECONDS)
        if control.is_majority_silent:
            for server in self._primaries.names(MAX_PRIMARIES_ASKED):
                self._recovery.suspect(server)

    def lost_groups(self) -> int:
        """Return how many groups in use have no primary in reach."""
        return self._primaries.lost_groups()

    def answered_outside(self) -> float:
        """Return when a server of another failure domain last answered."""
        return self._table.answered_outside(self._failure_domain)
