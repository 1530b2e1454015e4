"""Capture the lines that the code under test logs."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from dogwoodspool_common.log import EventRateLimiter, FirstLines
from loguru import logger


@contextmanager
def captured_logs() -> Iterator[list[str]]:
    """Capture the logged lines.

    The limits are reset each time: earlier tests in this process may have used up the
    line budget of an event, which refills by the system clock.
    """
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        with (
            mock.patch("dogwoodspool_common.log._rate_limiter", EventRateLimiter()),
            mock.patch("dogwoodspool_common.log._first_lines", FirstLines()),
        ):
            yield lines
    finally:
        logger.remove(sink)
