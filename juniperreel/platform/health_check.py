"""Health checks: queries for an endpoint's load report, independent of client requests."""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.platform.exchange import ExchangeResult

LOAD_REPORT_QUERY = b"SHOW pressure"

OnHealthCheckDone = Callable[["HealthCheck", ExchangeResult], None]


class HealthCheck:
    """The owner of a health check's exchange."""

    __slots__ = ("_on_done", "endpoint", "started_us")

    def __init__(self, endpoint: str, started_us: int, on_done: OnHealthCheckDone) -> None:
        """`on_done` receives the result."""
        self.endpoint = endpoint
        self.started_us = started_us
        self._on_done = on_done

    def may_send(self) -> bool:
        """Return True: a health check has no side effects and does not become invalid."""
        return True

    def build_query(self) -> bytes:
        """Return the query."""
        return LOAD_REPORT_QUERY

    def is_awaited(self) -> bool:
        """Return True: the driver itself waits for the reply."""
        return True

    def on_written(self) -> None:
        """Do nothing."""

    def on_done(self, result: ExchangeResult) -> None:
        """Report the result."""
        self._on_done(self, result)
