"""Models of validated scenarios."""

from enum import StrEnum
from typing import Self

from dogwoodspool_pooler.queue_orders import QueueOrderName
from pydantic import BaseModel, ConfigDict, Field, model_validator


class Section(BaseModel):
    """One table of a scenario; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Servers(Section):
    """The backend servers of each group: a primary and its replicas.

    Attributes:
        slots: number of statements that a server runs concurrently.
        queue: number of statements that may wait in a server; others are refused.
        connections: number of connections that a server accepts.
        connect_ms: slot time that a new connection takes.
        close_ms: time after a close for which a server counts a connection.
        lag_ms: mean replication lag of the replicas.
        lag_spread: standard deviation of the logarithm of the lag, which each replica
            draws anew every tenth of a second.
    """

    replicas: int = Field(default=2, ge=0)
    slots: int = Field(default=3, ge=1)
    queue: int = Field(default=24, ge=0)
    connections: int = Field(default=35, ge=1)
    connect_ms: float = Field(default=12.0, ge=0)
    close_ms: float = Field(default=0.0, ge=0)
    lag_ms: float = Field(default=20.0, ge=0)
    lag_spread: float = Field(default=0.0, ge=0)


class Requests(Section):
    """One kind of request.

    Attributes:
        share: weight of this kind among all requests.
        work_ms: mean slot time of a request; it has a lognormal distribution.
        spread: standard deviation of the logarithm of the slot time.
        target_ms: target latency; a later answer counts as late.
        deadline_ms: time for one attempt.
        patience_ms: time since the first attempt within which a refused caller
            retries.
        retries: maximum number of retries.
        writes: fraction of the requests that write.
        max_age_ms: data age that reads accept; None to read at the primary only.
        transactions: fraction of the requests that are transactions, which run on
            the primary unless they are read-only.
        read_only: fraction of the transactions that are read-only.
        own_writes: fraction of the reads that must reflect a write of their session.
        think_ms: mean time between that write and the read.
        statements: number of statements of a transaction; ``work_ms`` is the time
            of all of them together.
    """

    name: str
    share: float = Field(gt=0)
    work_ms: float = Field(gt=0)
    spread: float = Field(default=0.7, ge=0)
    target_ms: int = Field(gt=0)
    deadline_ms: int = Field(gt=0)
    patience_ms: int = Field(gt=0)
    retries: int = Field(default=2, ge=0)
    priority: int = Field(default=2, ge=0)
    writes: float = Field(default=0.0, ge=0, le=1)
    max_age_ms: int | None = None
    transactions: float = Field(default=0.0, ge=0, le=1)
    statements: int = Field(default=4, ge=1)
    read_only: float = Field(default=0.0, ge=0, le=1)
    own_writes: float = Field(default=0.0, ge=0, le=1)
    think_ms: float = Field(default=50.0, gt=0)


class DisturbanceKind(StrEnum):
    """Kinds of temporary disturbances.

    Attributes:
        BURST: the request rate is multiplied by ``factor``.
        LAG: the lag of the replicas is multiplied by ``factor``.
        NO_REPLICAS: no replica has the position that a read requires.
        LOST_PROXIES: a fraction of the proxies is down; their callers use others.
        POWER_LOSS: processes lose power and start again at the end. Servers count
            their connections for some seconds.
        FREEZE: processes no longer answer; their connections stay open.
    """

    BURST = "burst"
    LAG = "lag"
    NO_REPLICAS = "no_replicas"
    LOST_PROXIES = "lost_proxies"
    POWER_LOSS = "power_loss"
    FREEZE = "freeze"


class LossTarget(StrEnum):
    """Processes that a power loss or a freeze affects.

    Attributes:
        PROXIES: a fraction of all proxies.
        OWNERS: the owners in use of all groups.
        ALL_OWNERS: those in use and in reserve.
    """

    PROXIES = "proxies"
    OWNERS = "owners"
    ALL_OWNERS = "all_owners"


class Disturbance(Section):
    """One disturbance.

    Attributes:
        at: start, in seconds of the scenario.
        lasts: duration in seconds.
        factor: factor of ``BURST`` and ``LAG``.
        share: fraction of the proxies that ``LOST_PROXIES`` takes down, and of the
            target of ``POWER_LOSS`` and ``FREEZE``.
        target: processes that ``POWER_LOSS`` and ``FREEZE`` affect.
        domains: failure domains in which they do so; None for all.
    """

    kind: DisturbanceKind
    at: float = Field(ge=0)
    lasts: float = Field(gt=0)
    factor: float = Field(default=1.0, gt=0)
    share: float = Field(default=0.5, gt=0, le=1)
    target: LossTarget = LossTarget.PROXIES
    domains: int | None = Field(default=None, ge=1)


class Placement(StrEnum):
    """Rules by which servers for reads are chosen.

    Attributes:
        STANDING: by constant penalties.
        LOAD: by the load of the primary, where pools are shared.
        LOAD_AND_WAITS: the same, and reads wait for replicas.
    """

    STANDING = "standing"
    LOAD = "load"
    LOAD_AND_WAITS = "load_and_waits"


class Variant(Section):
    """One of the policies that are compared.

    Attributes:
        is_shared: whether proxies forward requests to the owners of a group's pools.
        idle_expiry: seconds after which the last idle connection of a pool is closed;
            None for the default.
        surplus_expiry: the same for surplus connections.
        connection_share: greatest part of a server's connections that one process may
            hold; None for the default.
        owners_by_account: whether the owner of a pool is chosen by client account
            rather than by the proxy that forwards.
        has_common_owners: whether all failure domains use the same owners.
        has_primary_owners: whether the owners in a primary's failure domain serve the
            requests of all failure domains that need the primary.
        order: order in which the requests of shared pools wait for admission.
        has_parts: whether each process may hold a part of a server's connections, so
            that all parts fit the server; otherwise each may hold
            ``connection_share``.
        has_rated_accounts: whether the idle connection is evicted that is expected to
            be needed last, rather than the one that has been idle the longest.
        placement: how servers for reads are chosen.
        primary_penalty_ms: penalty of the primary under the standing placement; None
            for the default.
    """

    name: str
    is_shared: bool = True
    idle_expiry: float | None = Field(default=None, gt=0)
    surplus_expiry: float | None = Field(default=None, gt=0)
    connection_share: float | None = Field(default=None, gt=0, le=1)
    owners_by_account: bool = True
    has_common_owners: bool = False
    has_primary_owners: bool = False
    order: QueueOrderName = QueueOrderName.ARRIVAL
    has_parts: bool = True
    has_rated_accounts: bool = True
    placement: Placement = Placement.STANDING
    primary_penalty_ms: float | None = Field(default=None, ge=0)


class Scenario(Section):
    """A load on a deployment.

    Attributes:
        seconds: simulated duration.
        seeds: seeds of the random numbers; each is simulated separately.
        proxies: numbers of proxies; each is simulated separately.
        per_second: requests per second to all groups together.
        hop_ms: one-way latency between two proxies of a failure domain.
        distance_ms: one-way latency between two failure domains.
        accounts: number of client accounts, which share no connections; 0 for none.
        account_skew: exponent of the Zipf distribution of requests over accounts.
        swing: part of the mean by which the demand of each failure domain oscillates;
            the phases of the failure domains are spread evenly.
        swing_seconds: period of the oscillation.
    """

    seconds: float = Field(default=20.0, gt=0)
    seeds: list[int] = Field(default=[1], min_length=1)
    failure_domains: int = Field(default=3, ge=1)
    proxies: list[int] = Field(default=[72], min_length=1)
    groups: int = Field(default=4, ge=1)
    per_second: float = Field(gt=0)
    hop_ms: float = Field(default=0.3, ge=0)
    distance_ms: float = Field(default=1.0, ge=0)
    accounts: int = Field(default=0, ge=0)
    account_skew: float = Field(default=1.0, ge=0)
    swing: float = Field(default=0.0, ge=0, lt=1)
    swing_seconds: float = Field(default=15.0, gt=0)
    servers: Servers = Servers()
    requests: list[Requests] = Field(min_length=1)
    troubles: list[Disturbance] = []
    variants: list[Variant] = Field(default=[Variant(name="shared")], min_length=1)

    @model_validator(mode="after")
    def _check_names(self) -> Self:
        names = [one.name for one in self.variants]
        if len(set(names)) != len(names):
            raise ValueError("variants must have different names")
        if min(self.proxies) < self.failure_domains:
            raise ValueError(
                f"each failure domain needs a proxy: proxies must be at least "
                f"{self.failure_domains}"
            )
        return self
