"""Tracing with one span per hop.

The tracing library is imported only where spans are recorded: the import adds 0.13 s to
the start of a process, during which callers are not served after a restart.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from .span_recorder import Span, SpanAttribute, SpanRecorder


class NoOpSpan:
    """A span that is not recorded."""

    def set_attribute(self, key: str, value: SpanAttribute) -> None:
        """Ignore the attribute."""


_recorder: SpanRecorder | None = None
_no_op_span = NoOpSpan()


def set_up_tracing(program: str, instance: str, path: Path | None) -> None:
    """Record spans of this process to a file; without a path disable tracing."""
    global _recorder  # noqa: PLW0603
    if path is None:
        return
    from .trace_file import FileSpanRecorder  # noqa: PLC0415

    _recorder = FileSpanRecorder(program, instance, path)


@contextmanager
def span(
    name: str, traceparent: str | None = None, **attributes: SpanAttribute
) -> Iterator[Span]:
    """Record a span as the current one.

    Args:
        name: span name, such as ``route`` or ``backend.statement``.
        traceparent: W3C trace context of the caller; None continues the
            current span of this thread.
        attributes: span attributes; never statements or secrets.
    """
    if _recorder is None:
        yield _no_op_span
        return
    with _recorder.span(name, traceparent, attributes) as current:
        yield current


def current_traceparent() -> str | None:
    """Return the W3C trace context of the current span, if there is one."""
    return None if _recorder is None else _recorder.current_traceparent()
