"""OpenTelemetry spans for requests, attempts and probes, if enabled in the settings."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import Any

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter


class Traces:
    """Writes each span to a file as a line of JSON; disabled without a file."""

    def __init__(self, file: Path | None = None, name: str = "edge") -> None:
        """`name` is the service name of all spans. Raises OSError if the file cannot be opened."""
        self._provider: TracerProvider | None = None
        self._tracer: Any = None
        if file is not None:
            out = file.open("a", encoding="utf-8")
            exporter = ConsoleSpanExporter(out=out, formatter=_format_span)
            self._provider = TracerProvider(resource=Resource({"service.name": name}), shutdown_on_exit=False)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
            self._tracer = self._provider.get_tracer("juniperreel")

    @property
    def enabled(self) -> bool:
        """Whether spans are written; if not, callers need not collect their fields."""
        return self._tracer is not None

    def span(self, name: str, **fields: str | int) -> AbstractContextManager[Any]:
        """Return a context manager for a span; a no-op if tracing is disabled."""
        if self._tracer is None:
            return nullcontext()
        context: AbstractContextManager[Any] = self._tracer.start_as_current_span(name, attributes=fields)
        return context

    def close(self) -> None:
        """Flush pending spans. No span may be opened afterwards."""
        if self._provider is not None:
            self._provider.shutdown()


def _format_span(span: ReadableSpan) -> str:
    line: str = span.to_json(indent=None)
    return line + "\n"
