"""Structured logging, as JSON lines or in a console format."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def make_log(form: str = "json", level: str = "info", stream: TextIO | None = None, **fields: Any) -> Any:
    """Return a logger bound to `fields`; `form` is json or console, `level` a key of LEVELS.

    Write errors are ignored: a broken pipe on the log stream must not stop the process.
    """
    render: Any = structlog.processors.JSONRenderer()
    if form == "console":
        render = structlog.dev.ConsoleRenderer(colors=False)
    logger = structlog.wrap_logger(
        StreamLogger(stream or sys.stderr),
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
    )
    return logger.bind(**fields)


class StreamLogger:
    """Writes lines to a stream. `dropped_lines` counts lines that could not be written."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self.dropped_lines = 0

    def msg(self, line: str) -> None:
        """Write a line, or drop and count it on error."""
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self.dropped_lines += 1

    debug = info = warning = error = critical = exception = msg
