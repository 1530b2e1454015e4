"""Generated series of configurations, and a plain model of what they allow."""

import random
from typing import Any, Final

SERVICES: Final = tuple(f"db{number}" for number in range(6))
PREFIXES: Final = ("/", "/a", "/a/b")
KINDS: Final = ("primary", "bounded_staleness", "read_your_writes")
ODD_NAMES: Final = ("", "route", "a b", "ü/ß", "n" * 300, "route.1", "-", ".")
MANY_ROUTES: Final = 350


class ConfigurationSeries:
    """Change one configuration again and again, as operators do."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._routes: list[dict[str, Any]] = []
        self._dropped: list[dict[str, Any]] = []
        self._services = list(SERVICES[:2])
        self._tenants: list[dict[str, Any]] | None = None
        self._idle_ms: int | None = None
        self._hosts = 0

    def next(self, version: int) -> dict[str, Any]:
        """Return the next configuration."""
        for _ in range(self._rng.choice((1, 1, 1, 2, 5))):
            self._change()
        routes = list(self._routes)
        if self._rng.random() < 0.2:
            self._rng.shuffle(routes)
        body: dict[str, Any] = {
            "version": version,
            "routes": routes,
            "services": [self._service(name) for name in self._services],
            "limits": {} if self._idle_ms is None else {"txIdleMs": self._idle_ms},
            "unknownField": {"of": [version]},
        }
        if self._tenants is not None:
            body["tenants"] = self._tenants
        return body

    def _change(self) -> None:
        change = self._rng.choice(
            (
                self._add,
                self._add,
                self._add,
                self._drop,
                self._drop,
                self._bring_back,
                self._bring_back,
                self._move,
                self._rename,
                self._add_prefix,
                self._change_services,
                self._change_services,
                self._change_tenants,
                self._change_limits,
            )
        )
        if self._rng.random() < 0.02:
            change = self._add_many if len(self._routes) < 100 else self._drop_many
        change()

    def _new_route(self, host: str) -> dict[str, Any]:
        rng = self._rng
        route: dict[str, Any] = {
            "name": rng.choice((f"r-{host}", *ODD_NAMES)),
            "host": host,
            "pathPrefix": rng.choice(("/", "/", *PREFIXES)),
            "kind": rng.choice(KINDS),
            "timeoutMs": rng.choice((1, 800, 2_000, 10**12)),
            "service": rng.choice(self._services),
            "priority": rng.choice((0, 1, 5, 10**9)),
        }
        if rng.random() < 0.5:
            route["targetLatencyMs"] = rng.choice((0, 150, 10**12))
        if rng.random() < 0.3:
            route["maxStalenessMs"] = rng.choice((0, 500, 10**12))
        if rng.random() < 0.2:
            route["public"] = rng.random() < 0.5
        return route

    def _add(self) -> None:
        self._hosts += 1
        host = self._rng.choice((f"h{self._hosts}", f"h{self._hosts}.ü x"))
        self._routes.append(self._new_route(host))

    def _add_many(self) -> None:
        for _ in range(MANY_ROUTES):
            self._add()

    def _drop(self) -> None:
        if self._routes:
            index = self._rng.randrange(len(self._routes))
            self._dropped.append(self._routes.pop(index))

    def _drop_many(self) -> None:
        while len(self._routes) > 10:
            self._drop()
        del self._dropped[:-20]

    def _bring_back(self) -> None:
        if not self._dropped:
            return
        index = self._rng.randrange(len(self._dropped))
        route = self._dropped.pop(index)
        taken = {(one["host"], one["pathPrefix"]) for one in self._routes}
        if (route["host"], route["pathPrefix"]) not in taken:
            if route["service"] not in self._services:
                route = {**route, "service": self._services[0]}
            self._routes.append(route)

    def _move(self) -> None:
        if self._routes:
            index = self._rng.randrange(len(self._routes))
            service = self._rng.choice(self._services)
            self._routes[index] = {**self._routes[index], "service": service}

    def _rename(self) -> None:
        """Exchange the names of two routes."""
        if len(self._routes) > 1:
            one, other = self._rng.sample(range(len(self._routes)), 2)
            first, second = self._routes[one], self._routes[other]
            self._routes[one] = {**first, "name": second["name"]}
            self._routes[other] = {**second, "name": first["name"]}

    def _add_prefix(self) -> None:
        if not self._routes:
            return
        host = self._rng.choice(self._routes)["host"]
        taken = {one["pathPrefix"] for one in self._routes if one["host"] == host}
        free = [prefix for prefix in PREFIXES if prefix not in taken]
        if free:
            route = self._new_route(host)
            self._routes.append({**route, "pathPrefix": self._rng.choice(free)})

    def _change_services(self) -> None:
        absent = [name for name in SERVICES if name not in self._services]
        if absent and (len(self._services) < 2 or self._rng.random() < 0.5):
            self._services.append(self._rng.choice(absent))
            return
        if len(self._services) > 1:
            gone = self._services.pop(self._rng.randrange(len(self._services)))
            self._routes = [
                {**one, "service": self._services[0]} if one["service"] == gone else one
                for one in self._routes
            ]

    def _change_tenants(self) -> None:
        if self._tenants is not None and self._rng.random() < 0.5:
            self._tenants = None
            return
        names = self._rng.sample(("shop", "bakery", "bank"), self._rng.randrange(4))
        self._tenants = [
            {
                "name": name,
                "apiKeys": [f"{name}-{self._rng.randrange(3)}"],
                "ratePerS": self._rng.choice((0, 0.1, 5, 1e9)),
            }
            for name in names
        ]

    def _change_limits(self) -> None:
        self._idle_ms = self._rng.choice((None, 0, 10_000, 10**12))

    def _service(self, name: str) -> dict[str, Any]:
        service: dict[str, Any] = {"name": name, "syncReplicas": len(name) % 2}
        if name == SERVICES[0]:
            service["maxConns"] = self._rng.choice((1, 23, 10**9))
        return service


def served_hosts(body: dict[str, Any]) -> dict[str, str]:
    """Return the service of each host of a configuration, by the shortest prefix."""
    served: dict[str, tuple[int, str]] = {}
    for route in body["routes"]:
        host, length = route["host"], len(route["pathPrefix"])
        if host not in served or length < served[host][0]:
            served[host] = length, route["service"]
    return {host: service for host, (_, service) in served.items()}
