"""One attempt of a request: everything that is asked before its query is written, in one place."""

from __future__ import annotations

from typing import Protocol

from juniperreel.platform.counters import SendRefusal
from juniperreel.platform.exchange import ExchangeResult
from juniperreel.platform.open_requests import OpenRequest
from juniperreel.postgres.request_format import with_timeout

# An endpoint may be told at most 0.15 s more than the client has left, and the process may be held up for as
# long between the clock and the write: what the write itself takes comes on top.
STATED_MARGIN_US = 10_000


class AttemptHost(Protocol):
    """What an attempt needs of its driver."""

    def now(self) -> int:
        """Read the clock."""
        ...

    def confirm_send(self, request_id: str, number: int) -> bool:
        """Ask the router whether the attempt still fits."""
        ...

    def on_client_found_gone(self, request: OpenRequest) -> None:
        """Withdraw the requests of a client that has left, though no event says so yet."""
        ...

    def on_send_refused(self, attempt: Attempt, reason: SendRefusal) -> None:
        """A query is not written although a connection was there for it."""
        ...

    def on_attempt_written(self, attempt: Attempt) -> None:
        """A query was handed to its connection."""
        ...

    def on_attempt_done(self, attempt: Attempt, result: ExchangeResult) -> None:
        """The attempt has ended."""
        ...


class Attempt:
    """The owner of an attempt's exchange. `until_us` is when its time is up."""

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
        """Describe an attempt that is not written yet."""
        self._host = host
        self.request_id = request_id
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.started_us = started_us
        self.until_us = until_us
        self.stated_us = 0  # how long the endpoint was told that the client waits

    def may_send(self) -> bool:
        """Return whether the router, which decided on the attempt a while ago, confirms it."""
        confirmed = self._host.confirm_send(self.request_id, self.number)
        if not confirmed:
            self._host.on_send_refused(self, SendRefusal.NOT_CONFIRMED)
        return confirmed

    def build_query(self) -> bytes:
        """Return the client's statement with the time that is left of it."""
        remaining_us = min(self.until_us, self.request.deadline_us - STATED_MARGIN_US) - self._host.now()
        remaining_ms = max(remaining_us // 1000, 1)
        self.stated_us = remaining_ms * 1000
        return with_timeout(self.request.form.text, remaining_ms)

    def is_awaited(self) -> bool:
        """Return whether the client still waits, by a look at its connection."""
        command = self.request.command
        if command is None:
            self._host.on_send_refused(self, SendRefusal.ANSWERED)
            return False
        if command.client.has_left():
            self._host.on_send_refused(self, SendRefusal.CLIENT_LEFT)
            self._host.on_client_found_gone(self.request)
            return False
        return True

    def on_written(self) -> None:
        """Tell the driver."""
        self._host.on_attempt_written(self)

    def on_done(self, result: ExchangeResult) -> None:
        """Tell the driver."""
        self._host.on_attempt_done(self, result)
