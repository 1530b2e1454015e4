"""Interfaces for recording spans, independent of the tracing library."""

from contextlib import AbstractContextManager
from typing import Protocol

SpanAttribute = str | int | float | bool


class Span(Protocol):
    """One span that is being recorded."""

    def set_attribute(self, key: str, value: SpanAttribute) -> None:
        """Set an attribute of the span."""
        ...


class SpanRecorder(Protocol):
    """Record spans of this process."""

    def span(
        self, name: str, traceparent: str | None, attributes: dict[str, SpanAttribute]
    ) -> AbstractContextManager[Span]:
        """Record a span as the current one of this thread."""
        ...

    def current_traceparent(self) -> str | None:
        """Return the W3C trace context of the current span."""
        ...
