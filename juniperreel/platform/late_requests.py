"""Logs requests whose client left close to their deadline, possibly because of a missing answer."""

from __future__ import annotations

from juniperreel.platform.command import Command
from juniperreel.platform.counters import Counters
from juniperreel.platform.log import Log
from juniperreel.platform.open_requests import OpenRequest

LEFT_AT_DEADLINE_US = 60_000  # a client that leaves with less time left may have timed out
MAX_LOGGED = 40  # further ones are only counted


class LateRequestLog:
    """Counts such requests, and logs the first of them."""

    def __init__(self, counters: Counters, log: Log) -> None:
        """Count in `counters`."""
        self._counters = counters
        self._log = log

    def on_client_left(self, request_id: str, request: OpenRequest, now_us: int) -> None:
        """Log an open request of a client that has left, if it left close to the deadline."""
        command = request.command
        left_us = request.deadline_us - now_us
        if command is None or left_us > LEFT_AT_DEADLINE_US:
            return
        self._counters.left_at_deadline += 1
        if self._counters.left_at_deadline <= MAX_LOGGED:
            self._write(request_id, request, command, left_us, now_us)

    def _write(
        self, request_id: str, request: OpenRequest, command: Command, left_us: int, now_us: int
    ) -> None:
        attempts = [
            [attempt.endpoint, attempt.written_us - command.arrived_us]
            for attempt in request.record.attempts.values()
        ]
        self._log.warning(
            "client left at its deadline",
            request=request_id,
            left_us=left_us,
            age_us=now_us - command.arrived_us,
            wait_us=command.wait_us,
            command=command.client.command_count,
            connected_us=command.arrived_us - command.client.accepted_us,
            attempts=attempts,
        )
