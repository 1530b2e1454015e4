"""Constants of the scenarios."""

from typing import Final

GROUP: Final = "orders"
OTHER_GROUP: Final = "chat"

# Long enough that load on the machine does not change the result of a scenario.
TIMEOUT_SECONDS: Final = 20.0
PROMPT_REPLY_SECONDS: Final = 3.0
POLL_SECONDS: Final = 0.02

OK: Final = "ok"
NOT_RUN: Final = "not-run"
UNKNOWN: Final = "unknown"
FAILED: Final = "failed"
LOST: Final = "lost"

TAG_OWN_DEPLOYMENT: Final = "own-deployment"
OPTION_MUTATION: Final = "mutation"
VARIABLE_MUTATION: Final = "FEATURES_MUTATION"

NO_FAULTS: Final = {
    "freeze": False,
    "refuse_connections": False,
    "cut_failure_domains": [],
    "cut_addresses": [],
    "stop_replication": False,
    "lag_ms": 0,
    "statement_ms": 0,
    "latency_ms": 0,
    "leaving": False,
}
