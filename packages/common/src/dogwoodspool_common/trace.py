"""Traces: a span for each hop.

The tracing library is loaded only where spans are recorded: it takes 0.13 s of a
process's start, in which callers have no service after a restart.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from .span_recorder import Span, SpanAttribute, SpanRecorder


class SilentSpan:
    """A hop that nobody records."""

    def set_attribute(self, key: str, value: SpanAttribute) -> None:
        """Forget the fact."""


_recorder: SpanRecorder | None = None
_silent = SilentSpan()


def set_up_tracing(program: str, instance: str, path: Path | None) -> None:
    """Record spans of this process to a file; without a path record none."""
    global _recorder  # noqa: PLW0603
    if path is None:
        return
    from .trace_file import FileSpanRecorder  # noqa: PLC0415

    _recorder = FileSpanRecorder(program, instance, path)


@contextmanager
def span(
    name: str, traceparent: str | None = None, **attributes: SpanAttribute
) -> Iterator[Span]:
    """Record one hop as the current span.

    Args:
        name: the hop, such as ``route`` or ``backend.statement``.
        traceparent: W3C trace context of the caller; None continues the
            current span of this thread.
        attributes: facts about the hop; never statements or secrets.
    """
    if _recorder is None:
        yield _silent
        return
    with _recorder.span(name, traceparent, attributes) as current:
        yield current


def current_traceparent() -> str | None:
    """Return the W3C trace context of the current span, if there is one."""
    return None if _recorder is None else _recorder.current_traceparent()
