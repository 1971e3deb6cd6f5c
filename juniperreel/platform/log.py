"""Log lines of the platform's driver: JSON objects on standard error, as `telemetry.log` writes them.

structlog takes a fifth of this program's start (0.1 s of 0.5 s on the maintainers' machine) to load, and a
driver that restarts serves nobody meanwhile; what it would be used for here is this much.
"""

from __future__ import annotations

import sys
import time
import traceback
from typing import TextIO

import msgspec


class Log:
    """A logger whose methods take an event and fields that JSON can hold."""

    def __init__(self, stream: TextIO | None = None, tracing: bool = False) -> None:
        """Write to `stream`, or to standard error. `tracing`: write what `trace` is called with, too."""
        self.tracing = tracing
        self._stream = stream or sys.stderr
        self.lost_lines = 0

    def trace(self, event: str, **fields: object) -> None:
        """Log one step of one request, where that was asked for; callers look at `tracing` first."""
        if self.tracing:
            self._write("trace", event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log something expected."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a fault that the driver handles by itself."""
        self._write("warning", event, fields)

    def error(self, event: str, exc_info: BaseException | None = None, **fields: object) -> None:
        """Log a fault that needs somebody's attention, with the traceback of `exc_info`."""
        if exc_info is not None:
            fields["exception"] = "".join(traceback.format_exception(exc_info))
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        now_s = time.time()
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now_s))
        timestamp = f"{seconds}.{int(now_s * 1000) % 1000:03d}Z"
        line = {"timestamp": timestamp, "level": level, "event": event, **fields}
        try:
            self._stream.write(msgspec.json.encode(line).decode() + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self.lost_lines += 1  # a reader of the log that is gone must not end the program
