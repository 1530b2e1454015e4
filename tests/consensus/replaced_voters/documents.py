"""The documents that the simulated operator applies."""

import random
from typing import Any

from dogwoodspool_common import Consistency, Endpoint
from dogwoodspool_control.settings.documents import Document, pack

from .checks import MARKER


def document(revision: int) -> str:
    """Return the document of a revision, which is always the same."""
    rng = random.Random(revision)
    names = rng.sample("abcdefgh", rng.randint(1, 6))
    endpoints = [Endpoint(MARKER, "rev", "g1", Consistency.PRIMARY, revision, 1, 1)]
    endpoints += [
        Endpoint(
            f"r-{name}",
            f"{name}{rng.randrange(2)}",
            rng.choice(("g1", "g2")),
            Consistency.PRIMARY,
            rng.choice((800, 900)),
            100,
            1,
        )
        for name in names
    ]
    nodes: dict[str, dict[str, Any]] = {
        "/": {"max_transaction_idle_ms": rng.choice((2_000, 3_000))},
        "/g1": {"write_ack": rng.choice(("group", "primary"))},
    }
    if rng.random() < 0.7:
        nodes["/g2"] = {"server_connections": rng.choice((10, 20))}
    return pack(Document(nodes, tuple(endpoints), f"source {revision}"))
