"""Poolers that forward requests to each other, without sockets or threads."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from dogwoodspool_common import (
    Address,
    Endpoint,
    JsonClient,
    JsonRequest,
    PeerNotConnectedError,
    PeerRefusedError,
    PeerUnreachableError,
    Route,
)
from dogwoodspool_common.const import CODE_BAD_REQUEST
from dogwoodspool_pooler.shared.access import SharingAccess
from dogwoodspool_pooler.shared.caller_check import CallerCheck
from dogwoodspool_pooler.shared.leases import LeaseTracker
from dogwoodspool_pooler.shared.owner_client import OwnerClient
from dogwoodspool_pooler.shared.slots import WorkSlots
from dogwoodspool_pooler.shared.statement_api import StatementApi
from dogwoodspool_pooler.shared.statements import SharedStatements
from dogwoodspool_pooler.shared.transaction_api import TransactionApi
from dogwoodspool_sharing import Neighbour, ProxyDirectory

from ..fakes import FakeServer, Pooler

IDLE_LIMIT = 3.0
DOMAINS = 3
SLOTS = 2


@dataclass
class Owner:
    """A neighbour that owns pools.

    Attributes:
        is_down: whether connections to its address are refused.
        loses_answers: whether it serves requests but its answers get lost.
        rejects_messages: whether it cannot read any message.
        requested_paths: paths of the requests that it got.
    """

    pooler: Pooler
    leases: LeaseTracker
    slots: WorkSlots
    statements: StatementApi
    transactions: TransactionApi
    is_down: bool = False
    loses_answers: bool = False
    rejects_messages: bool = False
    requested_paths: list[str] = field(default_factory=list)

    def leave(self) -> None:
        """Accept only requests of open transactions."""
        self.slots.leave()

    def routes(self) -> list[Route]:
        """Return the routes that it serves."""
        return [*self.statements.routes(), *self.transactions.routes()]


class FakeNeighbours(JsonClient):
    """Client that calls owners in memory by name."""

    def __init__(self) -> None:
        super().__init__(None)
        self.owners: dict[str, Owner] = {}
        self.bodies: list[dict[str, Any]] = []
        self.timeouts: list[float] = []

    def add(self, name: str, pooler: Pooler) -> Owner:
        """Make a pooler an owner that accepts requests of others."""
        leases = LeaseTracker(lambda _group: IDLE_LIMIT, pooler.clock)
        slots = WorkSlots(SLOTS)
        callers = CallerCheck(pooler.views, pooler.control)
        owner = Owner(
            pooler,
            leases,
            slots,
            StatementApi(
                pooler.views, callers, pooler.local_statements, slots, pooler.clock
            ),
            TransactionApi(
                pooler.views,
                callers,
                pooler.access,
                leases,
                slots,
                pooler.final_writes,
                pooler.clock,
                pooler.placement.keeps_room,
            ),
        )
        self.owners[name] = owner
        return owner

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        owner = self.owners.get(address.host)
        if owner is None or owner.is_down:
            raise PeerNotConnectedError(f"{address}: refused")
        if owner.rejects_messages:
            raise PeerRefusedError(400, CODE_BAD_REQUEST, "extra fields")
        owner.requested_paths.append(path)
        self.bodies.append(body)
        self.timeouts.append(timeout)
        handlers = {route.path: route.handler for route in owner.routes()}
        response = handlers[path](JsonRequest(path, {}, body))
        if owner.loses_answers:
            raise PeerUnreachableError(f"{address}: no answer")
        if response.status >= 400:
            code, message = response.body["error"], response.body["message"]
            raise PeerRefusedError(response.status, code, message)
        return dict(response.body)


class FixedDirectory(ProxyDirectory):
    """A directory with the owners that a test names, for all groups."""

    def __init__(self, names: Sequence[str], pooler: Pooler) -> None:
        super().__init__(Neighbour("own", "own:1"), DOMAINS, pooler.clock)
        self.names = list(names)
        self.failed: list[str] = []

    def owners(self, group: str, account: str = "") -> Sequence[Neighbour] | None:
        left = [one for one in self.names if one not in self.failed]
        return [Neighbour(one, f"{one}:1") for one in left]

    def record_owner_failure(self, name: str) -> None:
        self.failed.append(name)


class SharingProxy(Pooler):
    """A pooler whose requests run at the owners ``o1`` and ``o2``.

    Args:
        share: part of the group's load that each owner has; see ``Pooler``.
    """

    def __init__(
        self,
        servers: Sequence[FakeServer],
        served_endpoint: Endpoint | None = None,
        share: float | None = None,
    ) -> None:
        super().__init__(servers, served_endpoint, share)
        self.neighbours = FakeNeighbours()
        for name in ("o1", "o2"):
            self.neighbours.add(name, Pooler(servers, served_endpoint, share))
        self.directory = FixedDirectory(["o1", "o2"], self)
        client = OwnerClient(self.directory, self.neighbours)
        self.sessions = self.sessions_with(
            self.views,
            self.clock,
            SharedStatements(self.local_statements, self.directory, client, self.clock),
            SharingAccess(self.access, self.directory, client),
        )

    def owner(self, name: str) -> Owner:
        """Return a neighbour."""
        return self.neighbours.owners[name]
