"""Guards of membership."""

from typing import Any

from .model import CONTROL, Guard


def late_announcements_ignored() -> None:
    """Record only the servers that announce themselves while their group is created."""
    from dogwoodspool_control.commands import RecordServer
    from dogwoodspool_control.membership.membership import Membership

    original = Membership._due_records
    initial_size = 3

    def _due_records(self: Any, observation: Any, announced: Any) -> Any:
        known = self._state.servers_of(announced.group)
        is_late = len(known) >= initial_size
        for command in original(self, observation, announced):
            if not (is_late and isinstance(command, RecordServer)):
                yield command

    Membership._due_records = _due_records


def new_addresses_ignored() -> None:
    """Keep the properties that a server announced first."""
    from dogwoodspool_control.membership.membership import Membership

    Membership._is_outdated = lambda _self, _known: False


def silent_servers_kept() -> None:
    """Never remove a server."""
    from dogwoodspool_control.membership.membership import Membership

    Membership._due_removals = lambda _self: []


def silent_primary_dropped() -> None:
    """Remove every server that is silent for long, including a primary.

    Both the decision and the command that it commits refuse to remove a primary.
    """
    from dogwoodspool_control.membership.instances import ServerTable
    from dogwoodspool_control.membership.membership import Membership

    original = ServerTable.remove

    def remove(self: Any, index: int, command: Any, _groups: Any) -> Any:
        return original(self, index, command, {})

    ServerTable.remove = remove
    Membership._is_removable = lambda _self, _server, _heard_at: True


GUARDS = (
    Guard("late-announcements-ignored", late_announcements_ignored, CONTROL),
    Guard("new-addresses-ignored", new_addresses_ignored, CONTROL),
    Guard("silent-servers-kept", silent_servers_kept, CONTROL),
    Guard("silent-primary-dropped", silent_primary_dropped, CONTROL),
)
