"""Poolers that hand requests to each other, without sockets or threads."""

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
from dogwoodspool_pooler.shared.access import SharingAccess
from dogwoodspool_pooler.shared.leases import LeaseBook
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
        is_down: nothing listens at its address.
        loses_answers: it does what it is asked, and no answer arrives.
    """

    pooler: Pooler
    leases: LeaseBook
    slots: WorkSlots
    statements: StatementApi
    transactions: TransactionApi
    is_down: bool = False
    loses_answers: bool = False
    asked: list[str] = field(default_factory=list)

    def leave(self) -> None:
        """Take only what belongs to open transactions."""
        self.slots.leave()

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [*self.statements.routes(), *self.transactions.routes()]


class FakeNeighbours(JsonClient):
    """Carry requests to owners by name."""

    def __init__(self) -> None:
        super().__init__(None)
        self.owners: dict[str, Owner] = {}
        self.bodies: list[dict[str, Any]] = []
        self.timeouts: list[float] = []

    def add(self, name: str, pooler: Pooler) -> Owner:
        """Let a pooler take requests of others."""
        leases = LeaseBook(lambda _group: IDLE_LIMIT, pooler.clock)
        slots = WorkSlots(SLOTS)
        owner = Owner(
            pooler,
            leases,
            slots,
            StatementApi(pooler.views, pooler.own, slots, pooler.clock),
            TransactionApi(pooler.views, pooler.access, leases, slots, pooler.clock),
        )
        self.owners[name] = owner
        return owner

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        owner = self.owners.get(address.host)
        if owner is None or owner.is_down:
            raise PeerNotConnectedError(f"{address}: refused")
        owner.asked.append(path)
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
    """Owners that a test names, whatever the group."""

    def __init__(self, names: Sequence[str], pooler: Pooler) -> None:
        super().__init__(Neighbour("own", "own:1"), DOMAINS, pooler.clock)
        self.names = list(names)
        self.failed: list[str] = []

    def owners(self, group: str) -> Sequence[Neighbour] | None:
        left = [one for one in self.names if one not in self.failed]
        return [Neighbour(one, f"{one}:1") for one in left]

    def record_owner_failure(self, name: str) -> None:
        self.failed.append(name)


class SharingProxy(Pooler):
    """A pooler whose requests run at the owners ``o1`` and ``o2``."""

    def __init__(
        self, servers: Sequence[FakeServer], promised: Endpoint | None = None
    ) -> None:
        super().__init__(servers, promised)
        self.neighbours = FakeNeighbours()
        for name in ("o1", "o2"):
            self.neighbours.add(name, Pooler(servers, promised))
        self.directory = FixedDirectory(["o1", "o2"], self)
        client = OwnerClient(self.directory, self.neighbours)
        self.sessions = self.sessions_over(
            self.views,
            self.clock,
            SharedStatements(self.own, self.directory, client, self.clock),
            SharingAccess(self.access, self.directory, client),
        )

    def owner(self, name: str) -> Owner:
        """Return a neighbour."""
        return self.neighbours.owners[name]
