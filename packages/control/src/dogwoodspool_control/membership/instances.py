"""Registered proxies and recorded backend servers of the replicated state."""

from collections.abc import Mapping
from dataclasses import replace

from dogwoodspool_common import BackendServer, GroupState

from ..commands import (
    ForgetProxy,
    RecordServer,
    RegisterProxy,
    RemoveServer,
    RetireServer,
)
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

    A registration is durable: it reserves base shares of connections that the proxy
    may use while it is cut off. The table is therefore bounded, and a proxy is not
    removed because nothing is heard from it.
    """

    def __init__(self, proxies: Mapping[str, ProxyRecord]) -> None:
        self._proxies = dict(proxies)

    @property
    def proxies(self) -> Mapping[str, ProxyRecord]:
        """All registered proxies by name."""
        return self._proxies

    def register(self, index: int, command: RegisterProxy, max_proxies: int) -> Outcome:
        """Add a proxy or update it from its new process."""
        if command.name not in self._proxies and len(self._proxies) >= max_proxies:
            return Outcome(
                False, CODE_FULL, f"the limit of {max_proxies} proxies is reached"
            )
        known = self._proxies.get(command.name)
        replaced = (
            () if known is None else _replaced_incarnations(known, command.incarnation)
        )
        if command.incarnation in replaced:
            return Outcome(
                False, CODE_CONFLICT, f"this process of {command.name} was replaced"
            )
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
            return Outcome(False, CODE_INVALID, f"unknown proxy {command.name}")
        return Outcome(True, index=index)


class ServerTable:
    """Backend servers by name, with their latest announced properties.

    Incarnations that have ended are kept for a while: an announcement delayed by a
    network partition would otherwise record such a process again.
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
        """The latest incarnation that has ended, by server."""
        return self._ended

    @property
    def servers(self) -> Mapping[str, BackendServer]:
        """All recorded backend servers by name."""
        return self._servers

    def record(self, index: int, command: RecordServer) -> Outcome:
        """Add or update a server."""
        known = self._servers.get(command.server.name)
        server = _with_retirement(command.server, known)
        if known == server:
            return Outcome(True, index=0)
        ended = self._ended.get(command.server.name, -1)
        if 0 < command.server.incarnation <= ended:
            message = f"this process of {command.server.name} has ended"
            return Outcome(False, CODE_CONFLICT, message)
        if known is not None and known.group != command.server.group:
            message = f"{known.name} belongs to group {known.group}"
            return Outcome(False, CODE_CONFLICT, message)
        self._servers[server.name] = server
        return Outcome(True, index=index)

    def retire(self, index: int, command: RetireServer) -> Outcome:
        """Record that a leaving server gets no new work from now on."""
        known = self._servers.get(command.name)
        if known is None or known.incarnation != command.incarnation:
            return Outcome(False, CODE_INVALID, f"unknown process of {command.name}")
        if not known.is_leaving:
            return Outcome(False, CODE_CONFLICT, f"{known.name} is not leaving")
        if known.is_retired:
            return Outcome(True, index=0)
        self._servers[command.name] = replace(known, is_retired=True)
        return Outcome(True, index=index)

    def remove(
        self, index: int, command: RemoveServer, groups: Mapping[str, GroupState]
    ) -> Outcome:
        """Remove a server that its group does not need."""
        known = self._servers.get(command.name)
        if known is None:
            return Outcome(False, CODE_INVALID, f"unknown server {command.name}")
        group = groups.get(known.group)
        if group is not None and group.primary in (None, command.name):
            # Until a primary is chosen, any server may be the only one with all
            # acknowledged writes, so the promotion must keep querying it.
            return Outcome(
                False, CODE_CONFLICT, f"group {known.group} needs {known.name}"
            )
        del self._servers[command.name]
        self._record_ended(known)
        return Outcome(True, index=index)

    def _record_ended(self, server: BackendServer) -> None:
        self._ended.pop(server.name, None)
        self._ended[server.name] = server.incarnation
        while len(self._ended) > MAX_ENDED_SERVERS:
            del self._ended[next(iter(self._ended))]


def _with_retirement(
    server: BackendServer, known: BackendServer | None
) -> BackendServer:
    """Return a description that keeps what its sender does not know."""
    is_same = known is not None and known.incarnation == server.incarnation
    is_retired = known is not None and known.is_retired and is_same
    return replace(server, is_retired=is_retired and server.is_leaving)


def _replaced_incarnations(known: ProxyRecord, incarnation: str) -> tuple[str, ...]:
    if known.incarnation == incarnation:
        return known.replaced
    return (*known.replaced, known.incarnation)[-MAX_REPLACED_INCARNATIONS:]
