"""Structured logs: one line of key=value pairs for each event."""

import sys
import threading
from typing import Any, Final

from loguru import logger

LOG_FORMAT: Final = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
SECRET_KEYS: Final = frozenset({"password", "key", "secret", "token"})
REDACTED: Final = "***"

_setup_lock = threading.Lock()


def set_up_logging(program: str, instance: str, level: str = "INFO") -> None:
    """Send events of this process to standard error.

    Args:
        program: name of the program, the same in every line.
        instance: name of this process's instance.
        level: lowest level that is written.
    """
    with _setup_lock:
        logger.remove()
        logger.add(
            sys.stderr,
            format=f"{LOG_FORMAT} program={program} instance={instance}",
            level=level,
            backtrace=False,
            diagnose=False,  # Local variables may hold secrets.
        )


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event with its fields.

    Values of fields named like secrets are replaced.

    Example:
        >>> log_event("grant_expired", group="orders", term=3)
    """
    pairs = " ".join(f"{key}={_render(key, value)}" for key, value in fields.items())
    logger.opt(depth=1).log(level, "{}", f"event={event} {pairs}".rstrip())


def _render(key: str, value: Any) -> str:
    if key in SECRET_KEYS:
        return REDACTED
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
