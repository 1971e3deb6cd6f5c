"""Log lines of the platform's driver: one JSON object a line on standard error, in the form of
`telemetry.log`.

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
    """`info`, `warning` and `error` take an event and fields that JSON can hold."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stderr
        self.lost = 0

    def info(self, event: str, **fields: object) -> None:
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._write("warning", event, fields)

    def error(self, event: str, exc_info: BaseException | None = None, **fields: object) -> None:
        if exc_info is not None:
            fields["exception"] = "".join(traceback.format_exception(exc_info))
        self._write("error", event, fields)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        now = time.time()
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now)) + f".{int(now * 1000) % 1000:03d}Z"
        line = {"timestamp": stamp, "level": level, "event": event, **fields}
        try:
            self._stream.write(msgspec.json.encode(line).decode() + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self.lost += 1  # a broken pipe behind the log must not end the program
