"""SQL statements for the table of request ids, and error numbers of the database."""

from typing import Final

REQUESTS_TABLE: Final = "dogwoodspool_requests"

CREATE_TABLE: Final = (
    f"CREATE TABLE IF NOT EXISTS {REQUESTS_TABLE} ("
    "request_id VARCHAR(64) NOT NULL PRIMARY KEY, "
    "fingerprint CHAR(32) NOT NULL, "
    "affected_rows BIGINT NOT NULL DEFAULT 0, "
    "last_insert_id BIGINT NOT NULL DEFAULT 0, "
    "created_at BIGINT NOT NULL)"
)
INSERT_REQUEST: Final = (
    f"INSERT INTO {REQUESTS_TABLE} (request_id, fingerprint, created_at) "
    "VALUES ('{request_id}', '{fingerprint}', UNIX_TIMESTAMP())"
)
RECORD_OUTCOME: Final = (
    f"UPDATE {REQUESTS_TABLE} SET affected_rows = {{affected_rows}}, "
    "last_insert_id = {last_insert_id} WHERE request_id = '{request_id}'"
)
SELECT_OUTCOME: Final = (
    "SELECT fingerprint, affected_rows, last_insert_id "
    f"FROM {REQUESTS_TABLE} WHERE request_id = '{{request_id}}'"
)
PRUNE: Final = (
    f"DELETE FROM {REQUESTS_TABLE} "
    "WHERE created_at < UNIX_TIMESTAMP() - {retention_s}"
)

FINGERPRINT_BYTES: Final = 16

ER_DUPLICATE_KEY: Final = 1062
ER_NO_SUCH_TABLE: Final = 1146
