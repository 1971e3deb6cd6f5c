"""The structured log: one JSON object a line, or a form for reading on a console."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def make_log(form: str = "json", level: str = "info", stream: TextIO | None = None, **fields: Any) -> Any:
    """Return a logger bound to `fields`; `form` is json or console, `level` a name of LEVELS.

    A broken pipe behind the log must not end the program, so writing errors are swallowed.
    """
    render: Any = structlog.processors.JSONRenderer()
    if form == "console":
        render = structlog.dev.ConsoleRenderer(colors=False)
    logger = structlog.wrap_logger(
        Sink(stream or sys.stderr),
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


class Sink:
    """Writes lines to a stream; `lost` counts those that could not be written."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self.lost = 0

    def msg(self, line: str) -> None:
        """Write a line; one that cannot be written is counted and dropped."""
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self.lost += 1

    debug = info = warning = error = critical = exception = msg
