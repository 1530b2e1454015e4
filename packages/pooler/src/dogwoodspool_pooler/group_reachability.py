"""What a pooling proxy can reach of the groups that its callers use."""

from dogwoodspool_following import ControlContact
from dogwoodspool_routing import ServerTable

from .const import CONTROL_QUERY_INTERVAL_SECONDS, MAX_PRIMARIES_PROBED
from .known_primaries import KnownPrimaries
from .recovery import RecoveryProber
from .reporting import ReportCoordinator


class GroupReachability:
    """Evidence from this proxy's groups for ``RotationCoordinator``."""

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
        """Call control, and probe primaries if a majority of control does not answer.

        A proxy with few callers would otherwise notice only with their next requests
        that it is cut off. A single such proxy keeps the callers of its whole failure
        domain there: if fewer than half of the proxies are in rotation, a balancer uses
        all of them.
        """
        # Rate-limited: during an election all proxies learn at the same time that there
        # is no leader.
        self._reports.ask_control(at_most_every=CONTROL_QUERY_INTERVAL_SECONDS)
        if control.is_majority_silent:
            for server in self._primaries.primary_names(MAX_PRIMARIES_PROBED):
                self._recovery.suspect(server)

    def lost_groups(self) -> int:
        """Return the number of groups in use that have no reachable primary."""
        return self._primaries.lost_groups()

    def answered_outside(self) -> float:
        """Return the clock time of the last answer from another failure domain."""
        return self._table.answered_outside(self._failure_domain)
