"""What records spans, whatever library does it."""

from contextlib import AbstractContextManager
from typing import Protocol

SpanAttribute = str | int | float | bool


class Span(Protocol):
    """One hop that is being recorded."""

    def set_attribute(self, key: str, value: SpanAttribute) -> None:
        """Add a fact about the hop."""
        ...


class SpanRecorder(Protocol):
    """Record spans of this process."""

    def span(
        self, name: str, traceparent: str | None, attributes: dict[str, SpanAttribute]
    ) -> AbstractContextManager[Span]:
        """Record one hop as the current span of this thread."""
        ...

    def current_traceparent(self) -> str | None:
        """Return the W3C trace context of the current span."""
        ...
