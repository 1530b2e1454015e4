"""Role changers with the current settings."""

from dogwoodspool_backend import RoleChanger, SqlRoleChanger
from dogwoodspool_common import Clock
from dogwoodspool_common.const import MILLISECONDS

from ..const import ROLE_STATEMENT_TIMEOUT
from ..state import ControlState


class SqlRoleChangers:
    """Build the role changer of a group from its settings.

    Each statement of a role changer uses its own connection, out of the connections
    that the setting ``reserved_connections`` keeps for control.
    """

    def __init__(self, clock: Clock, state: ControlState, failure_domain: str) -> None:
        self._clock = clock
        self._state = state
        self._failure_domain = failure_domain

    def of_group(self, group: str) -> RoleChanger:
        """Return a role changer with the group's current settings."""
        settings = self._state.settings.effective(group, self._failure_domain)
        return SqlRoleChanger(
            settings.backend_user,
            settings.backend_password,
            settings.statements,
            settings.connect_timeout_ms / MILLISECONDS,
            ROLE_STATEMENT_TIMEOUT,
            clock=self._clock,
            failure_domain=self._failure_domain,
        )
