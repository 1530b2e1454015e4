"""End the time in which leaving servers still get new work."""

from collections.abc import Iterator

from dogwoodspool_common import log_event

from ..commands import RetireServer
from ..state import ControlState


class Retirements:
    """Determine the leaving servers whose grace period is over.

    A proxy counts the period from when it has heard of the leaving. One that started
    later, or that was suspended, would count it anew, so that its end is committed.

    Args:
        grace: seconds for which a leaving primary still gets new work.
    """

    def __init__(self, state: ControlState, grace: float) -> None:
        self._state = state
        self._grace = grace

    def due_commands(self) -> Iterator[RetireServer]:
        """Yield the commands that are due now.

        An age that is not known, after a start of this process, may be any.
        """
        for server in self._state.servers.values():
            if not server.is_leaving or server.is_gone or server.is_retired:
                continue
            age = self._state.leaving_age(server.name)
            if age is not None and age < self._grace:
                continue
            log_event(
                "server_retired",
                group=server.group,
                server=server.name,
                incarnation=server.incarnation,
                leaving=None if age is None else round(age, 3),
            )
            yield RetireServer(server.name, server.incarnation)
