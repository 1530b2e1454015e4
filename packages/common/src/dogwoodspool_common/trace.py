"""Traces: a span for each hop, written as JSON lines."""

import json
import threading
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Final

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import INVALID_SPAN, Span
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from .const import HEADER_TRACEPARENT

TRACER_NAME: Final = "dogwoodspool"
NANOSECONDS_PER_MILLISECOND: Final = 1_000_000

_is_set_up = threading.Event()
_propagator = TraceContextTextMapPropagator()


class JsonLinesExporter(SpanExporter):
    """Append one JSON object for each finished span to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write finished spans."""
        for span in spans:
            self._file.write(json.dumps(_span_to_json(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


def set_up_tracing(program: str, instance: str, path: Path | None) -> None:
    """Record spans of this process to a file; without a path record none."""
    if path is None:
        return
    resource = Resource.create(
        {"service.name": program, "service.instance.id": instance}
    )
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(BatchSpanProcessor(JsonLinesExporter(path)))
    trace.set_tracer_provider(provider)
    _is_set_up.set()


@contextmanager
def span(
    name: str, traceparent: str | None = None, **attributes: str | int | float | bool
) -> Iterator[Span]:
    """Record one hop as the current span.

    Args:
        name: the hop, such as ``route`` or ``backend.statement``.
        traceparent: W3C trace context of the caller; None continues the
            current span of this thread.
        attributes: facts about the hop; never statements or secrets.
    """
    if not _is_set_up.is_set():
        # Without an exporter the library's own no-op span still costs a tenth of
        # a statement's time.
        yield INVALID_SPAN
        return
    context = None
    if traceparent is not None:
        context = _propagator.extract({HEADER_TRACEPARENT: traceparent})
    tracer = trace.get_tracer(TRACER_NAME)
    with tracer.start_as_current_span(
        name, context=context, attributes=attributes
    ) as current:
        yield current


def current_traceparent() -> str | None:
    """Return the W3C trace context of the current span, if there is one."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(HEADER_TRACEPARENT)


def _span_to_json(finished: ReadableSpan) -> dict[str, object]:
    context = finished.get_span_context()
    attributes: Mapping[str, object] = finished.attributes or {}
    started, ended = finished.start_time or 0, finished.end_time or 0
    return {
        "name": finished.name,
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": f"{finished.parent.span_id:016x}" if finished.parent else "",
        "start_ms": started / NANOSECONDS_PER_MILLISECOND,
        "duration_ms": (ended - started) / NANOSECONDS_PER_MILLISECOND,
        "resource": dict(finished.resource.attributes),
        "attributes": dict(attributes),
    }
