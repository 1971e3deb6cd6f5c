"""Spans for request, attempt and probe, where the settings ask for them."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter


class Traces:
    """Off unless a file is given; then each span is a line of JSON in it."""

    def __init__(self, file: Path | None = None, name: str = "edge") -> None:
        """`name` is the service's in all spans. Raises OSError for a file that cannot be written."""
        self._provider: TracerProvider | None = None
        self._tracer: Any = None
        if file is not None:
            out = file.open("a", encoding="utf-8")
            exporter = ConsoleSpanExporter(out=out, formatter=_format_span)
            self._provider = TracerProvider(resource=Resource({"service.name": name}), shutdown_on_exit=False)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
            self._tracer = self._provider.get_tracer("juniperreel")

    @property
    def on(self) -> bool:
        """Whether spans are written; callers then need not collect their fields."""
        return self._tracer is not None

    def span(self, name: str, **fields: str | int) -> AbstractContextManager[Any]:
        """Return a context manager that is one span; it does nothing where traces are off."""
        if self._tracer is None:
            return nullcontext()
        context: AbstractContextManager[Any] = self._tracer.start_as_current_span(name, attributes=fields)
        return context

    def close(self) -> None:
        """Write the spans that wait; none may be opened afterwards."""
        if self._provider is not None:
            self._provider.shutdown()


def _format_span(span: ReadableSpan) -> str:
    line: str = span.to_json(indent=None)
    return line + "\n"
