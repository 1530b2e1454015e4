"""Registered proxies and announced backend servers as the log's entries change them."""

from collections.abc import Mapping

from dogwoodspool_common import BackendServer, GroupState

from ..commands import ForgetProxy, RecordServer, RegisterProxy, RemoveServer
from ..const import (
    CODE_CONFLICT,
    CODE_FULL,
    CODE_INVALID,
    MAX_ENDED_SERVERS,
    MAX_REPLACED_INCARNATIONS,
)
from ..models import Outcome, ProxyRecord


class ProxyTable:
    """Registered proxies by name.

    A registration is durable: it stands for base shares of connections that the
    proxy may use while it is cut off, so the table has a bound and nobody drops
    out of it by silence.
    """

    def __init__(self, proxies: Mapping[str, ProxyRecord]) -> None:
        self._proxies = dict(proxies)

    @property
    def proxies(self) -> Mapping[str, ProxyRecord]:
        """All registered proxies by name."""
        return self._proxies

    def register(self, index: int, command: RegisterProxy, max_proxies: int) -> Outcome:
        """Add a proxy or take over what its new process says."""
        if command.name not in self._proxies and len(self._proxies) >= max_proxies:
            return Outcome(False, CODE_FULL, f"{max_proxies} proxies are registered")
        known = self._proxies.get(command.name)
        replaced = () if known is None else _replaced(known, command.incarnation)
        if command.incarnation in replaced:
            return Outcome(False, CODE_CONFLICT, f"{command.name} is replaced")
        self._proxies[command.name] = ProxyRecord(
            command.name,
            command.incarnation,
            command.failure_domain,
            command.address,
            replaced,
        )
        return Outcome(True, index=index)

    def forget(self, index: int, command: ForgetProxy) -> Outcome:
        """Remove a proxy."""
        if self._proxies.pop(command.name, None) is None:
            return Outcome(False, CODE_INVALID, f"no proxy {command.name}")
        return Outcome(True, index=index)


class ServerTable:
    """Backend servers by name, as they last announced themselves.

    Processes that have ended are remembered for a while: a word of theirs that was
    held up by a partition would else record them again.
    """

    def __init__(
        self,
        servers: Mapping[str, BackendServer],
        ended: Mapping[str, int] | None = None,
    ) -> None:
        self._servers = dict(servers)
        self._ended = dict(ended or {})

    @property
    def ended(self) -> Mapping[str, int]:
        """The newest incarnation that has ended, by server."""
        return self._ended

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All known backend servers by name."""
        return self._servers

    def record(self, index: int, command: RecordServer) -> Outcome:
        """Add or change a server."""
        known = self._servers.get(command.server.name)
        if known == command.server:
            return Outcome(True, index=0)
        ended = self._ended.get(command.server.name, -1)
        if 0 < command.server.incarnation <= ended:
            message = f"this process of {command.server.name} has ended"
            return Outcome(False, CODE_CONFLICT, message)
        if known is not None and known.group != command.server.group:
            message = f"{known.name} belongs to {known.group}"
            return Outcome(False, CODE_CONFLICT, message)
        self._servers[command.server.name] = command.server
        return Outcome(True, index=index)

    def remove(
        self, index: int, command: RemoveServer, groups: Mapping[str, GroupState]
    ) -> Outcome:
        """Remove a server that its group does not need."""
        known = self._servers.get(command.name)
        if known is None:
            return Outcome(False, CODE_INVALID, f"no server {command.name}")
        group = groups.get(known.group)
        if group is not None and group.primary in (None, command.name):
            # Without a chosen primary each server may be the one that has all
            # acknowledged writes; a promotion must go on asking it.
            return Outcome(False, CODE_CONFLICT, f"{known.group} needs {known.name}")
        del self._servers[command.name]
        self._remember(known)
        return Outcome(True, index=index)

    def _remember(self, server: BackendServer) -> None:
        self._ended.pop(server.name, None)
        self._ended[server.name] = server.incarnation
        while len(self._ended) > MAX_ENDED_SERVERS:
            del self._ended[next(iter(self._ended))]


def _replaced(known: ProxyRecord, incarnation: str) -> tuple[str, ...]:
    if known.incarnation == incarnation:
        return known.replaced
    return (*known.replaced, known.incarnation)[-MAX_REPLACED_INCARNATIONS:]
