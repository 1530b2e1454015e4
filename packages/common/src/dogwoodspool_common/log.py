"""Structured logs: one line of key=value pairs per event."""

import atexit
import queue
import sys
import threading
import time
from typing import Any, Final, TextIO

from loguru import logger

from .const import (
    LOG_BURST_LINES,
    LOG_FIRST_BURST_LINES,
    LOG_FIRST_LINES_PER_SECOND,
    LOG_FLUSH_SECONDS,
    LOG_LINES_PER_SECOND,
    LOG_QUEUE_LINES,
    LOG_SUBJECTS,
)

LOG_FORMAT: Final = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
SECRET_KEYS: Final = frozenset({"password", "key", "secret", "token"})
REDACTED: Final = "***"


class QueuedWriter:
    """Write lines from a background thread, so that logging never blocks.

    Otherwise a stalled reader of standard output would block every request that
    logs. When the queue is full a line is dropped and counted, and the count is
    written before the next line.
    """

    def __init__(self, output: TextIO, capacity: int = LOG_QUEUE_LINES) -> None:
        self._output = output
        self._lines: queue.Queue[str | None] = queue.Queue(capacity)
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last count was written."""
        return self._dropped

    def set_up(self) -> None:
        """Start writing."""
        self._thread.start()

    def unload(self) -> None:
        """Write queued lines; wait at most twice ``LOG_FLUSH_SECONDS``."""
        try:
            self._lines.put(None, timeout=LOG_FLUSH_SECONDS)
        except queue.Full:
            return
        self._thread.join(LOG_FLUSH_SECONDS)

    def write(self, line: str) -> None:
        """Queue one line without blocking."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def _run(self) -> None:
        while (line := self._lines.get()) is not None:
            if self._dropped:
                count, self._dropped = self._dropped, 0
                self._output.write(f"level=WARNING event=log_lines_dropped n={count}\n")
            self._output.write(line)
            if self._lines.empty():
                self._output.flush()


class EventRateLimiter:
    """Limit the rate of log lines per event with a token bucket.

    Under load thousands of requests may be rejected for the same reason. Lines that
    are written report how many were suppressed before them.
    """

    def __init__(
        self,
        per_second: float = LOG_LINES_PER_SECOND,
        burst: float = LOG_BURST_LINES,
    ) -> None:
        self._per_second = per_second
        self._burst = burst
        self._lock = threading.Lock()
        self._tokens: dict[str, tuple[float, float]] = {}
        self._suppressed: dict[str, int] = {}

    def take(self, event: str, now: float) -> int | None:
        """Return the number of lines suppressed before; None to suppress this one."""
        with self._lock:
            tokens, filled_at = self._tokens.get(event, (self._burst, now))
            tokens = min(self._burst, tokens + (now - filled_at) * self._per_second)
            if tokens < 1:
                self._tokens[event] = tokens, now
                self._suppressed[event] = self._suppressed.get(event, 0) + 1
                return None
            self._tokens[event] = tokens - 1, now
            return self._suppressed.pop(event, 0)


class FirstLines:
    """Tell which lines are the first ones of an event on their subject.

    The line that explains a failed request is mostly such a line: a limit for each
    event would drop it while other subjects cause many. A limit of their own bounds
    these lines where the subjects are many.
    """

    def __init__(
        self,
        capacity: int = LOG_SUBJECTS,
        per_second: float = LOG_FIRST_LINES_PER_SECOND,
        burst: float = LOG_FIRST_BURST_LINES,
    ) -> None:
        self._capacity = capacity
        self._limiter = EventRateLimiter(per_second, burst)
        self._lock = threading.Lock()
        self._known: dict[tuple[str, str], None] = {}

    def take(self, event: str, subject: str, now: float) -> bool:
        """Return whether to write a line although its event has written many."""
        key = event, subject
        with self._lock:
            is_known = key in self._known
            # Subjects without a line for the longest time are forgotten first.
            self._known.pop(key, None)
            self._known[key] = None
            if len(self._known) > self._capacity:
                self._known.pop(next(iter(self._known)))
        return not is_known and self._limiter.take(event, now) is not None


_setup_lock = threading.Lock()
_rate_limiter = EventRateLimiter()
_first_lines = FirstLines()
_writer: QueuedWriter | None = None


def set_up_logging(program: str, instance: str, level: str = "INFO") -> None:
    """Send events of this process to standard output without blocking on it.

    Args:
        program: program name, part of every line.
        instance: instance name of this process, part of every line.
        level: lowest level that is written.
    """
    global _writer  # noqa: PLW0603
    with _setup_lock:
        shut_down_logging()
        _writer = QueuedWriter(sys.stdout)
        _writer.set_up()
        logger.remove()
        logger.add(
            _writer.write,
            format=f"{LOG_FORMAT} program={program} instance={instance}",
            level=level,
            backtrace=False,
            diagnose=False,  # Local variables may contain secrets.
        )


def shut_down_logging() -> None:
    """Write queued lines and stop the writer."""
    global _writer  # noqa: PLW0603
    if _writer is not None:
        _writer.unload()
        _writer = None


atexit.register(shut_down_logging)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event with its fields.

    Values of fields in ``SECRET_KEYS`` are redacted.

    Example:
        >>> log_event("grant_expired", group="orders", term=3)
    """
    pairs = " ".join(f"{key}={_render(key, value)}" for key, value in fields.items())
    logger.opt(depth=1).log(level, "{}", f"event={event} {pairs}".rstrip())


def log_rate_limited(
    event: str, level: str = "INFO", *, first_of: str = "", **fields: Any
) -> None:
    """Write one event caused by requests, at a limited rate per event.

    Args:
        event: name of the event.
        level: level of the line.
        first_of: what the line is about; the first line of the event on each such
            subject is written whatever its rate.
        fields: the line's fields.

    Example:
        >>> log_rate_limited("request_refused", request="5c0e", reason="queue_full")
        >>> log_rate_limited("removed_database_used", first_of="orders", view=7)
    """
    now = time.monotonic()
    is_first = bool(first_of) and _first_lines.take(event, first_of, now)
    suppressed = _rate_limiter.take(event, now)
    if suppressed is None and not is_first:
        return
    if suppressed:
        fields["left_out"] = suppressed
    log_event(event, level, **fields)


def _render(key: str, value: Any) -> str:
    if key in SECRET_KEYS:
        return REDACTED
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
