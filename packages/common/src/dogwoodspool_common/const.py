"""Constants shared by all libraries and programs."""

from typing import Final

VERSION: Final = "0.1.0"

HEADER_SIGNATURE: Final = "X-Dogwoodspool-Signature"
HEADER_TRACEPARENT: Final = "traceparent"

DEFAULT_HTTP_TIMEOUT: Final = 2.0
DEFAULT_HTTP_THREADS: Final = 32
MAX_HTTP_BODY_BYTES: Final = 8 * 1024 * 1024

MILLISECONDS: Final = 1000.0
FIRST_ERROR_STATUS: Final = 400
