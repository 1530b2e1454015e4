"""Constants of session tokens."""

from typing import Final

TOKEN_VERSION: Final = 1
TOKEN_SEPARATOR: Final = "."
MAX_TOKEN_LENGTH: Final = 4_096
MAX_TOKEN_GROUPS: Final = 32
MIN_KEY_BYTES: Final = 16
SIGNATURE_BYTES: Final = 16

NEW_SESSION: Final = "new"
