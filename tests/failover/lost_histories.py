"""Random histories in which servers end without a word and control finds that out.

``python -m tests.failover.lost_histories FIRST COUNT [empty]`` plays so many seeds and
prints the ones in which a success is lost.
"""

import sys
from collections.abc import Callable

from dogwoodspool_api import ServerReport, ServerReports
from dogwoodspool_common import BackendServer, Position
from dogwoodspool_control.commands import RemoveServer
from dogwoodspool_failover import ServerRefusingError
from dogwoodspool_failover.lost import LostServers
from dogwoodspool_failover.reports import ReportTracker

from .ended_histories import EndedGroup, EndedHistory
from .fakes import GROUP, FakeServer

# Checks of a leader between two changes, and seconds between two of them.
CHECKS = 16
CHECK_SECONDS = 0.5
# Shares of the chances that a cut refuses control's connections, and of the replicas
# that come back with a part of their log.
REFUSING_CUT_SHARE = 0.2
SHORTER_SHARE = 0.3
MAX_LOST_ENTRIES = 3
# Shares of the checks between which something happens, and of the calm times in which a
# replica is cut off all the time.
EVENT_SHARE = 0.5
LONG_CUT_SHARE = 0.5
REFUSED_MS = 1000.0


class CutGroup(EndedGroup):
    """A group with servers behind a cut that refuses control's connections.

    Attributes:
        cut: the servers behind it.
    """

    cut: set[str]

    def _reach(self, server: BackendServer) -> FakeServer:
        if server.name in self.cut:
            raise ServerRefusingError(server.name)
        return super()._reach(server)


class LostHistory(EndedHistory):
    """Changes of primary among servers whose ends are announced by nobody.

    They come back with their log, with nothing, or, if they have not led, with a part
    of it. Some servers run behind a cut that refuses connections.

    Attributes:
        recorded_ends: number of ends that control has found.
        removals: number of servers that have left their group so.
    """

    group_class = CutGroup
    group: CutGroup

    def __init__(self, seed: int, *, begins_empty: bool = False) -> None:
        super().__init__(seed, begins_empty=begins_empty)
        self.group.cut = set()
        self.recorded_ends = self.removals = 0
        self._sequence = 0
        self._reports = ReportTracker(self.voter.clock)
        self._lost = LostServers(self.voter.dependencies, self._reports)

    def run(self) -> None:
        """Run some changes, and one last one with all servers in reach."""
        super().run()
        self.group.cut.clear()

    def _more_events(self) -> list[Callable[[], None]]:
        return [*super()._more_events(), self._cut]

    def _cut(self) -> None:
        """Cut a server off from control, or end its cut."""
        name = self.random.choice(self._names())
        if name in self.group.cut:
            self.group.cut.discard(name)
        elif self.random.random() < REFUSING_CUT_SHARE:
            self.group.cut.add(name)

    def _record_end(self, name: str) -> None:
        """Announce no end."""

    def _record(self) -> None:
        """Let control hear of a server that has started at the address of another."""
        if self._unrecorded:
            name, server = self._unrecorded.pop(0)
            super()._record_end(name)
            self.voter.join(server)

    def _come_back(self) -> None:
        known = len(self._unrecorded)
        super()._come_back()
        if len(self._unrecorded) == known:
            return
        old, server = self._unrecorded[-1]
        is_shorter = self.random.random() < SHORTER_SHARE
        if is_shorter and not self._has_led(old):
            self._shorten(server)

    def _has_led(self, name: str) -> bool:
        """Tell whether a server is the writer of the epoch, or leads now."""
        group = self.voter.state.group(GROUP)
        writer = "" if group is None or group.epoch is None else group.epoch.server
        return name in (writer, self.group.leader) or not self.group.leader

    def _shorten(self, server: FakeServer) -> None:
        lost = self.random.randint(1, MAX_LOST_ENTRIES)
        term, offset = server.received.term, server.received.offset - lost
        branch = self.group.branches.get(term)
        if branch is not None and offset > branch.offset:
            server.received = Position(term, offset)

    def _rest(self) -> None:
        super()._rest()
        behind = ""
        is_cut = self.random.random() < LONG_CUT_SHARE
        if is_cut and self._is_steady() and self._replicas():
            behind = self.random.choice(self._replicas())
        for _ in range(CHECKS):
            if not self._is_steady():
                return
            self.group.cut |= {behind} - {""}
            self._send_heartbeats()
            self._send_reports()
            self._check()
            self.voter.clock.advance(CHECK_SECONDS)
            if self.random.random() < EVENT_SHARE:
                self.happen()
        if behind:
            self._write_behind_cut(behind)

    def _leave(self) -> None:
        if set(self._names()) <= self.voter.state.servers.keys():
            super()._leave()

    def _replicas(self) -> list[str]:
        return [name for name in self._names() if name != self.group.leader]

    def _write_behind_cut(self, name: str) -> None:
        """Let a proxy with an old view tell of a write, and end the primary.

        Only a server that control can't reach has the write besides the primary.
        """
        leader = self.group.leader
        if leader and not self._is_down(leader) and not self._is_down(name):
            self.proxies[0].write_at(leader, [name])
            self._end_server(leader)
        self.group.cut.discard(name)

    def _check(self) -> None:
        for part in self._lost, self._departures:
            for command in list(part.due_commands()):
                self.removals += isinstance(command, RemoveServer)
                self.recorded_ends += part is self._lost
                self.voter.node.propose(command)

    def _send_heartbeats(self) -> None:
        """Let the servers that run, are known and reach control send one each."""
        self._sequence += 1
        unrecorded = {server.name for _, server in self._unrecorded}
        for name in self._names():
            server = self._server(name)
            is_out = server.is_silent or name in self.group.cut
            if name not in unrecorded and not is_out:
                self.voter.heartbeat(server, self._sequence)

    def _send_reports(self) -> None:
        """Let proxies of all failure domains report what refuses them.

        Those of a server's own domain are on its side of a cut.
        """
        for name in set(self.group.servers) - set(self._names()) | self.group.cut:
            domain = self._server(name).described().failure_domain
            if name in self.group.cut and not self._is_down(name):
                domain = "fd9"
            report = ServerReport(
                server=name, failing_ms=REFUSED_MS, refusing_ms=REFUSED_MS
            )
            self._reports.record(
                ServerReports(
                    proxy=f"{domain}-{name}", failure_domain=domain, reports=[report]
                )
            )


def main() -> None:
    """Play seeds and print those in which a success is lost."""
    first, count = map(int, sys.argv[1:3])
    found = effects = successes = ends = recorded = removals = served = 0
    for seed in range(first, first + count):
        history = LostHistory(seed, begins_empty="empty" in sys.argv[3:])
        history.run()
        found += bool(history.lost)
        effects += history.effects
        successes += history.successes
        ends += history.ends
        recorded += history.recorded_ends
        removals += history.removals
        served += history.has_primary
        if history.lost:
            print(f"seed {seed}: {len(history.lost)} lost")  # noqa: T201
    print(  # noqa: T201
        f"{found} of {count} lost; {effects} promotions, {successes} successes, "
        f"{ends} servers ended, {recorded} ends found, {removals} removed; {served} "
        "groups with a primary at the end"
    )


if __name__ == "__main__":
    main()
