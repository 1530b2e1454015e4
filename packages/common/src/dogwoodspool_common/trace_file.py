"""Spans written as JSON lines to a file."""

import json
from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Final

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from .const import HEADER_TRACEPARENT
from .span_recorder import Span, SpanAttribute

TRACER_NAME: Final = "dogwoodspool"
NANOSECONDS_PER_MILLISECOND: Final = 1_000_000

_propagator = TraceContextTextMapPropagator()


class JsonLinesExporter(SpanExporter):
    """Append one JSON object per finished span to a file."""

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


class FileSpanRecorder:
    """Record spans to a file; see ``SpanRecorder``."""

    def __init__(self, program: str, instance: str, path: Path) -> None:
        resource = Resource.create(
            {"service.name": program, "service.instance.id": instance}
        )
        provider = TracerProvider(resource=resource)
        provider.add_span_processor(BatchSpanProcessor(JsonLinesExporter(path)))
        self._tracer = provider.get_tracer(TRACER_NAME)

    def span(
        self, name: str, traceparent: str | None, attributes: dict[str, SpanAttribute]
    ) -> AbstractContextManager[Span]:
        """Record a span as the current one of this thread."""
        context = None
        if traceparent is not None:
            context = _propagator.extract({HEADER_TRACEPARENT: traceparent})
        return self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        )

    def current_traceparent(self) -> str | None:
        """Return the W3C trace context of the current span."""
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
