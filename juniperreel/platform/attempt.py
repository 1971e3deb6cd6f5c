"""One attempt of a request, with all checks that precede writing its query."""

from __future__ import annotations

from typing import Protocol

from juniperreel.platform.counters import SendRefusal
from juniperreel.platform.exchange import ExchangeResult
from juniperreel.platform.open_requests import OpenRequest
from juniperreel.postgres.request_format import with_timeout

# The timeout sent to an endpoint may exceed the client's remaining time by at most 0.15 s, and the process
# may be suspended for that long between reading the clock and writing. The margin covers the write itself.
STATED_MARGIN_US = 10_000


class AttemptHost(Protocol):
    """Driver operations used by attempts."""

    def now(self) -> int:
        """Return the current time in microseconds."""
        ...

    def confirm_send(self, request_id: str, number: int) -> bool:
        """Ask the router whether the attempt is still valid."""
        ...

    def on_client_disconnect_detected(self, request: OpenRequest) -> None:
        """Withdraw the requests of a client whose disconnect was detected before its event was handled."""
        ...

    def on_send_refused(self, attempt: Attempt, reason: SendRefusal) -> None:
        """Handle an attempt that is not written although a connection was available."""
        ...

    def on_attempt_written(self, attempt: Attempt) -> None:
        """Handle an attempt whose query was passed to its connection."""
        ...

    def on_attempt_done(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Handle the end of an attempt."""
        ...


class Attempt:
    """The owner of an attempt's exchange, which times out at `until_us`."""

    __slots__ = (
        "_host",
        "endpoint",
        "number",
        "request",
        "request_id",
        "started_us",
        "stated_us",
        "until_us",
    )

    def __init__(
        self,
        host: AttemptHost,
        request_id: str,
        request: OpenRequest,
        number: int,
        endpoint: str,
        started_us: int,
        until_us: int,
    ) -> None:
        """Create an attempt that has not been written yet."""
        self._host = host
        self.request_id = request_id
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.started_us = started_us
        self.until_us = until_us
        self.stated_us = 0  # the timeout sent to the endpoint

    def may_send(self) -> bool:
        """Return whether the router confirms the attempt, which it may have decided on some time ago."""
        confirmed = self._host.confirm_send(self.request_id, self.number)
        if not confirmed:
            self._host.on_send_refused(self, SendRefusal.NOT_CONFIRMED)
        return confirmed

    def build_query(self) -> bytes:
        """Return the client's statement with the remaining time as its timeout."""
        remaining_us = min(self.until_us, self.request.deadline_us - STATED_MARGIN_US) - self._host.now()
        remaining_ms = max(remaining_us // 1000, 1)
        self.stated_us = remaining_ms * 1000
        return with_timeout(self.request.statement.text, remaining_ms)

    def is_awaited(self) -> bool:
        """Return whether the client still waits, checking its connection."""
        command = self.request.command
        if command is None:
            self._host.on_send_refused(self, SendRefusal.ANSWERED)
            return False
        if command.client.has_disconnected():
            self._host.on_send_refused(self, SendRefusal.CLIENT_LEFT)
            self._host.on_client_disconnect_detected(self.request)
            return False
        return True

    def on_written(self) -> None:
        """Notify the driver."""
        self._host.on_attempt_written(self)

    def on_done(self, result: ExchangeResult) -> None:
        """Notify the driver."""
        self._host.on_attempt_done(self, result)
