"""Paths and query parameters of the HTTP endpoints between the processes."""

from typing import Final

# Served by control processes.
PATH_RENEW: Final = "/v1/renew"
PATH_WATCH: Final = "/v1/watch"
PATH_SETTINGS_CHANGE: Final = "/v1/settings/change"
PATH_SETTINGS_TREE: Final = "/v1/settings/tree"
PATH_SETTINGS_EFFECTIVE: Final = "/v1/settings/effective"
PATH_SETTINGS_HISTORY: Final = "/v1/settings/history"
PATH_PROMOTE: Final = "/v1/groups/promote"
PATH_STATUS: Final = "/v1/status"
PATH_VOTERS: Final = "/v1/voters"
PATH_FORGET_PROXY: Final = "/v1/proxies/forget"
PATH_REPORTS: Final = "/v1/servers/reports"
PATH_JOIN: Final = "/v1/voters/join"

# Served by proxies.
PATH_ANNOUNCE: Final = "/v1/announce"
PATH_RELEASE: Final = "/v1/release"
PATH_DRAIN: Final = "/v1/drain"
PATH_READY: Final = "/ready"
PATH_LIVE: Final = "/live"
PATH_METRICS: Final = "/metrics"

QUERY_AFTER: Final = "after"
QUERY_WAIT_MS: Final = "wait_ms"
QUERY_CONFIRMED: Final = "confirmed"
QUERY_GIVEN_UP: Final = "given_up"
QUERY_RETIRED: Final = "retired"
QUERY_EPOCHS: Final = "epochs"
QUERY_ALL_EPOCHS: Final = "all_epochs"
QUERY_VOTERS: Final = "voters"
QUERY_DOCUMENT: Final = "document"
QUERY_MAX_AGE_MS: Final = "max_age_ms"
QUERY_DOCUMENT_AGE: Final = "document_age"
QUERY_PATH: Final = "path"

MAX_NAME_LENGTH: Final = 64
