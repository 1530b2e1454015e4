"""Simulate one scenario with one policy, number of proxies and seed."""

import math
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from dogwoodspool_common import Address, BackendServer
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_pooler.const import CONNECTION_SHARE
from dogwoodspool_pooler.registry import POOL_SETTINGS
from dogwoodspool_pooler.shared.const import POSITION_SECONDS
from dogwoodspool_sharing import Neighbour, ServerLimits
from expression import Error, Result

from .attempts import Attempt, EndCallback, Refused
from .const import LOST_OWNER_SECONDS, POOL_CHECK_SECONDS, PROXY_UPTIME_SECONDS
from .losses import ProcessLosses
from .models import Disturbance, DisturbanceKind, Requests, Scenario, Variant
from .outcomes import Outcomes
from .proxies import Proxy
from .read_rules import ReadRules
from .servers import GroupLog, Server
from .timeline import Timeline

PROCESS_LOSSES = frozenset((DisturbanceKind.POWER_LOSS, DisturbanceKind.FREEZE))
Progress = Callable[[float], None]


class Emulation:
    """Simulate the callers, proxies and servers of one scenario.

    Example:
        >>> Emulation(scenario, variant, proxies=72, seed=1).run().served_share
        0.998
    """

    def __init__(
        self, scenario: Scenario, variant: Variant, *, proxies: int, seed: int
    ) -> None:
        self._scenario = scenario
        self._variant = variant
        self._seed = seed
        self._random = random.Random(seed)
        self._timeline = Timeline()
        self._outcomes = Outcomes()
        self._groups = [f"g{number}" for number in range(scenario.groups)]
        self._accounts = [f"a{number}" for number in range(scenario.accounts)]
        self._account_weights = [
            (number + 1) ** -scenario.account_skew
            for number in range(scenario.accounts)
        ]
        self._servers = [
            one for group in self._groups for one in self._build_servers(group)
        ]
        self._proxies = [self._build_proxy(number) for number in range(proxies)]
        self._proxies_by_name = {one.neighbour.name: one for one in self._proxies}
        self._lost_proxies: set[str] = set()
        self._rate = scenario.per_second
        self._register_neighbours()
        if variant.has_primary_owners:
            self._register_primary_owners()
        self._losses = ProcessLosses(
            self._proxies_by_name,
            lambda name: self._build_proxy(int(name[1:]), self._timeline.now()),
            self._set_groups,
            self._timeline,
            seed,
        )
        kinds = {one.kind for one in scenario.troubles}
        self._has_losses = bool(kinds & PROCESS_LOSSES)

    def run(self, progress: Progress | None = None) -> Outcomes:
        """Simulate the whole scenario and return the outcomes of its requests.

        Args:
            progress: called after each simulated second with the fraction that is
                done.
        """
        self._timeline.after(0.0, self._next_request)
        self._timeline.after(POOL_CHECK_SECONDS, self._close_expired)
        if self._variant.has_primary_owners:
            self._timeline.after(POSITION_SECONDS, self._exchange_positions)
        if self._has_losses:
            self._losses.set_up()
        for disturbance in self._scenario.troubles:
            self._timeline.after(
                disturbance.at, partial(self._begin_disturbance, disturbance)
            )
            end = disturbance.at + disturbance.lasts
            self._timeline.after(end, partial(self._end_disturbance, disturbance))
        for second in range(math.ceil(self._scenario.seconds)):
            self._timeline.run(second + 1.0)
            if progress is not None:
                progress((second + 1) / self._scenario.seconds)
        patience_ms = max(one.patience_ms for one in self._scenario.requests)
        self._timeline.run(self._scenario.seconds + patience_ms / MILLISECONDS)
        return self._outcomes

    def _build_servers(self, group: str) -> list[Server]:
        settings, log = self._scenario.servers, GroupLog()
        first = self._groups.index(group)
        servers = []
        for number in range(settings.replicas + 1):
            domain = (first + number) % self._scenario.failure_domains
            server_info = BackendServer(
                name=f"{group}-s{number}",
                group=group,
                failure_domain=f"fd{domain}",
                address=Address("10.0.0.1", 1_000 + number),
                slots=settings.slots,
                connections=settings.connections,
            )
            servers.append(
                Server(
                    server_info,
                    settings,
                    log,
                    self._timeline,
                    self._outcomes.servers,
                    is_primary=number == 0,
                    random_source=random.Random(f"{self._seed} {server_info.name}"),
                )
            )
        return servers

    def _build_proxy(
        self, number: int, started_at: float = -PROXY_UPTIME_SECONDS
    ) -> Proxy:
        domain = f"fd{number % self._scenario.failure_domains}"
        name = f"p{number}"
        settings = POOL_SETTINGS
        if self._variant.idle_expiry is not None:
            settings = replace(settings, idle_expiry=self._variant.idle_expiry)
        if self._variant.surplus_expiry is not None:
            settings = replace(settings, surplus_expiry=self._variant.surplus_expiry)
        return Proxy(
            Neighbour(name, f"{name}:1"),
            domain,
            1 if self._variant.has_common_owners else self._scenario.failure_domains,
            self._servers,
            self._timeline,
            distance=self._scenario.distance_ms / MILLISECONDS,
            pool_settings=settings,
            connection_share=self._variant.connection_share or CONNECTION_SHARE,
            order=self._variant.order,
            uses_primary_owners=self._variant.has_primary_owners,
            forward=partial(self._forward_to_primary, name),
            has_parts=self._variant.has_parts,
            has_rated_accounts=self._variant.has_rated_accounts,
            rng=random.Random(f"{self._seed} {name}"),
            rules=ReadRules(
                self._variant.placement,
                self._variant.primary_penalty_ms,
                random.Random(f"{self._seed} {name}"),
            ),
            stats=self._outcomes.servers,
            started_at=started_at,
        )

    def _register_neighbours(self) -> None:
        """Register the proxies of each failure domain as neighbours of each other."""
        for proxy in self._proxies:
            proxy.directory.adopt(
                one.neighbour
                for one in self._proxies
                if self._variant.has_common_owners
                or one.failure_domain == proxy.failure_domain
            )
            self._set_groups(proxy)

    def _set_groups(self, proxy: Proxy) -> None:
        servers = self._scenario.servers
        limits = ServerLimits(servers.slots, servers.connections)
        if self._variant.is_shared:
            proxy.directory.set_groups(dict.fromkeys(self._groups, limits))

    def _register_primary_owners(self) -> None:
        """Tell all proxies the owners of each group near its primary."""
        primaries = {
            one.server_info.group: one.server_info.failure_domain
            for one in self._servers
            if one.is_primary
        }
        owners = {}
        for proxy in self._proxies:
            for group, failure_domain in primaries.items():
                if proxy.failure_domain == failure_domain:
                    assigned = proxy.directory.assigned(group)
                    if assigned is not None:
                        owners[group] = assigned
        for proxy in self._proxies:
            proxy.adopt_owners(owners)

    def _next_request(self) -> None:
        if self._timeline.now() >= self._scenario.seconds:
            return
        kinds = self._scenario.requests
        (kind,) = self._random.choices(kinds, [one.share for one in kinds])
        statements = 1
        is_read_only = False
        if self._random.random() < kind.transactions:
            statements = kind.statements
            is_read_only = self._random.random() < kind.read_only
        attempt = Attempt(
            kind=kind,
            group=self._random.choice(self._groups),
            writes=self._random.random() < kind.writes,
            work=self._sample_work(kind) / statements,
            statements=statements,
            arrived_at=self._timeline.now(),
            account=self._choose_account(),
            is_read_only=is_read_only,
            own_write_at=self._choose_own_write(kind),
        )
        self._send_attempt(attempt, self._timeline.now(), 0)
        self._timeline.after(self._random.expovariate(self._rate), self._next_request)

    def _choose_account(self) -> str:
        if not self._accounts:
            return ""
        (account,) = self._random.choices(self._accounts, self._account_weights)
        return account

    def _choose_own_write(self, kind: Requests) -> float | None:
        if self._random.random() >= kind.own_writes:
            return None
        think = self._random.expovariate(MILLISECONDS / kind.think_ms)
        return self._timeline.now() - think

    def _choose_entry(self) -> Proxy:
        """Choose the proxy that a caller is connected to."""
        if not self._scenario.swing:
            return self._random.choice(self._proxies)
        domains = self._scenario.failure_domains
        angle = 2 * math.pi * self._timeline.now() / self._scenario.swing_seconds
        weights = [
            1 + self._scenario.swing * math.sin(angle + 2 * math.pi * number / domains)
            for number in range(domains)
        ]
        (domain,) = self._random.choices(range(domains), weights)
        return self._random.choice(self._proxies[domain::domains])

    def _sample_work(self, kind: Requests) -> float:
        mean = math.log(kind.work_ms / MILLISECONDS) - kind.spread**2 / 2
        return self._random.lognormvariate(mean, kind.spread)

    def _send_attempt(self, attempt: Attempt, began_at: float, number: int) -> None:
        """Send one attempt to a proxy, which may forward it to an owner."""
        entry = self._choose_running_entry()
        current = replace(attempt, arrived_at=self._timeline.now())
        on_end: EndCallback = partial(self._handle_result, current, began_at, number)
        if self._has_losses:
            on_end = self._bound_by_deadline(current, on_end)
        self._forward(entry, current, on_end)

    def _choose_running_entry(self) -> Proxy:
        while True:
            entry = self._proxies_by_name[self._choose_entry().neighbour.name]
            if entry.is_up and entry.neighbour.name not in self._lost_proxies:
                return entry

    def _bound_by_deadline(self, attempt: Attempt, on_end: EndCallback) -> EndCallback:
        """Return a callback that is called once, at the deadline at the latest."""
        has_ended = False

        def end_once(result: Result[None, Refused]) -> None:
            nonlocal has_ended
            if not has_ended:
                has_ended = True
                on_end(result)

        remaining = attempt.deadline - self._timeline.now()
        lost: Result[None, Refused] = Error(Refused("no answer", 0.0))
        self._timeline.after(remaining, partial(end_once, lost))
        return end_once

    def _forward(self, entry: Proxy, attempt: Attempt, on_end: EndCallback) -> None:
        """Send an attempt from the proxy that a caller uses to the first owner."""
        account = attempt.account if self._variant.owners_by_account else ""
        sender = entry.neighbour.name
        if attempt.needs_primary and self._forward_to_primary(sender, attempt, on_end):
            return
        owners = entry.directory.owners(attempt.group, account)
        usable = [one for one in owners or () if one.name not in self._lost_proxies]
        if not entry.is_up or attempt.deadline <= self._timeline.now():
            return
        if not usable:
            entry.serve(attempt, on_end)
            return
        hop = self._scenario.hop_ms / MILLISECONDS
        owner = self._proxies_by_name[usable[0].name]
        if not owner.is_up:
            self._timeline.after(
                LOST_OWNER_SECONDS,
                partial(self._forward_to_next, entry, owner, attempt, on_end),
            )
            return
        if owner.failure_domain != entry.failure_domain:
            hop = self._scenario.distance_ms / MILLISECONDS

        def return_result(result: Result[None, Refused]) -> None:
            self._timeline.after(hop, partial(on_end, result))

        owner.directory.record_neighbour_request(attempt.group)
        self._timeline.after(hop, partial(owner.serve, attempt, return_result))

    def _forward_to_next(
        self, entry: Proxy, owner: Proxy, attempt: Attempt, on_end: EndCallback
    ) -> None:
        entry.directory.record_owner_failure(owner.neighbour.name)
        self._forward(entry, attempt, on_end)

    def _forward_to_primary(
        self, sender: str, attempt: Attempt, on_end: EndCallback
    ) -> bool:
        """Send an attempt to an owner near its primary; return whether there is one."""
        account = attempt.account if self._variant.owners_by_account else ""
        remote = self._proxies_by_name[sender].remote
        hop = self._scenario.distance_ms / MILLISECONDS

        def return_result(result: Result[None, Refused]) -> None:
            self._timeline.after(hop, partial(on_end, result))

        for owner in remote.owners(attempt.group, account):
            if owner.name in self._lost_proxies:
                continue
            forwarded = replace(attempt, at_primary=True, hop=hop)

            serve = self._proxies_by_name[owner.name].serve
            self._timeline.after(hop, partial(serve, forwarded, return_result))
            return True
        return False

    def _exchange_positions(self) -> None:
        """Have owners learn the positions of primaries elsewhere."""
        for proxy in self._proxies:
            for group in proxy.outdated_groups():
                for owner in proxy.remote.owners(group)[:1]:
                    newest = self._proxies_by_name[owner.name].newest_position(group)
                    if newest is not None:
                        proxy.record_position(group, newest[1], newest[0])
        self._timeline.after(POSITION_SECONDS, self._exchange_positions)

    def _handle_result(
        self,
        attempt: Attempt,
        began_at: float,
        number: int,
        result: Result[None, Refused],
    ) -> None:
        elapsed = self._timeline.now() - began_at
        if result.is_ok():
            is_in_time = elapsed <= attempt.kind.target_ms / MILLISECONDS
            self._outcomes.record(
                attempt.kind.name, began_at, "in_time" if is_in_time else "late"
            )
            return
        refused = result.error
        retry_at = elapsed + refused.retry_after
        can_retry = retry_at < attempt.kind.patience_ms / MILLISECONDS
        if number >= attempt.kind.retries or not can_retry:
            self._outcomes.reasons[refused.reason] += 1
            self._outcomes.record(attempt.kind.name, began_at, "refused")
            return
        retry = partial(self._send_attempt, attempt, began_at, number + 1)
        self._timeline.after(refused.retry_after, retry)

    def _close_expired(self) -> None:
        for proxy in self._proxies_by_name.values():
            proxy.close_expired()
        self._timeline.after(POOL_CHECK_SECONDS, self._close_expired)

    def _begin_disturbance(self, disturbance: Disturbance) -> None:
        match disturbance.kind:
            case DisturbanceKind.BURST:
                self._rate *= disturbance.factor
            case DisturbanceKind.LAG:
                self._scale_lag(disturbance.factor)
            case DisturbanceKind.NO_REPLICAS:
                self._scale_lag(math.inf)
            case DisturbanceKind.LOST_PROXIES:
                count = int(len(self._proxies) * disturbance.share)
                lost = self._random.sample(self._proxies, count)
                self._lost_proxies = {one.neighbour.name for one in lost}
            case DisturbanceKind.POWER_LOSS | DisturbanceKind.FREEZE:
                self._losses.begin(disturbance, self._groups)

    def _end_disturbance(self, disturbance: Disturbance) -> None:
        match disturbance.kind:
            case DisturbanceKind.BURST:
                self._rate /= disturbance.factor
            case DisturbanceKind.LAG | DisturbanceKind.NO_REPLICAS:
                self._scale_lag(1.0)
            case DisturbanceKind.LOST_PROXIES:
                self._lost_proxies = set()
            case DisturbanceKind.POWER_LOSS | DisturbanceKind.FREEZE:
                self._losses.end(disturbance)

    def _scale_lag(self, factor: float) -> None:
        for server in self._servers:
            if not server.is_primary:
                server.lag = self._scenario.servers.lag_ms / MILLISECONDS * factor
