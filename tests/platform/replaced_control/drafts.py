"""The series of configurations that the operator sends."""

import random
import time
from typing import Any, Final

from ..test_messages import config, route
from .const import (
    FIRST_VERSION,
    KEPT_DATABASES,
    MANY_ROUTES,
    REMOVAL_SHARE,
    RETURN_SHARE,
    TIMEOUTS_MS,
)
from .record import Version

KINDS: Final = ("primary", "read_your_writes", "bounded_staleness")


class Drafts:
    """Write complete configurations with uneven version steps.

    Args:
        source: of all choices.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._number = FIRST_VERSION
        self._newest = Version(0, frozenset(KEPT_DATABASES), 0.0)
        self._gone: list[str] = []

    def next(self, *, adds_many: bool = False) -> Version:
        """Return the next version, based on the newest one."""
        version = self._change(self._newest, adds_many=adds_many)
        self._newest = version
        return version

    def pair(self) -> tuple[Version, Version]:
        """Return two versions of two operators, both based on the newest one."""
        base = self._newest
        lower, higher = self._change(base), self._change(base)
        self._newest = higher
        return lower, higher

    def body(self, version: Version) -> dict[str, Any]:
        """Return the configuration as it is sent; the same for each version."""
        source = random.Random(version.number)
        routes = [
            route(
                name=f"r-{name}",
                host=name,
                kind=source.choice(KINDS),
                timeoutMs=source.choice(TIMEOUTS_MS),
            )
            for name in sorted(version.databases)
        ]
        source.shuffle(routes)
        return config(version=version.number, routes=routes)

    def invalid(self) -> tuple[str, dict[str, Any]]:
        """Return an invalid configuration, and a database that only it has."""
        number = self._number + self._random.randint(1, 3)
        name = f"bad{number:05d}"
        bad = route(name=f"r-{name}", host=name)
        wrong = self._random.choice(
            (
                route(name="r-wrong", host=name),
                route(name="r-wrong", host="wrong", service="unknown"),
                route(name="r-wrong", host="wrong", timeoutMs=0),
            )
        )
        return name, config(version=number, routes=[bad, wrong])

    def _change(self, base: Version, *, adds_many: bool = False) -> Version:
        self._number += self._random.randint(1, 9)
        databases = set(base.databases)
        if adds_many:
            many = self._random.randint(*MANY_ROUTES)
            databases |= {f"m{self._number:05d}x{one:03d}" for one in range(many)}
        else:
            databases = {one for one in databases if not one.startswith("m")}
        removable = sorted(one for one in databases if one.startswith("db"))
        if removable and self._random.random() < REMOVAL_SHARE:
            removed = self._random.choice(removable)
            databases.discard(removed)
            self._gone.append(removed)
        if self._gone and self._random.random() < RETURN_SHARE:
            databases.add(self._random.choice(self._gone))
        databases.add(f"db{self._number:05d}")
        return Version(self._number, frozenset(databases), time.monotonic())
