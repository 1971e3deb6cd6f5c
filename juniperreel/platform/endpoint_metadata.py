"""Metadata that endpoints report with their replies, converted to this process's clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from juniperreel.platform import parameter_status
from juniperreel.platform.endpoint_clock import EndpointClock
from juniperreel.routing.types import Endpoint, LoadReport, Role

LOAD_REPORT_PARAMETER = "pressure"


@dataclass(frozen=True, slots=True)
class ReplyMetadata:
    """Role, position and load report of one reply; missing or implausible values are omitted."""

    role: Role
    position_us: int | None
    load_report: LoadReport | None


class EndpointMetadataReader:
    """Reads metadata from replies and endpoint lists, and updates the endpoint clock from positions."""

    def __init__(
        self, clock: EndpointClock, now: Callable[[], int], on_clock_adjusted: Callable[[int], None]
    ) -> None:
        """`on_clock_adjusted` receives each change of `clock.offset_us`."""
        self._clock = clock
        self._now = now
        self._on_clock_adjusted = on_clock_adjusted

    def read_reply(self, endpoint: str, parameters: dict[str, str], asked_us: int) -> ReplyMetadata:
        """Read the metadata of an endpoint's reply to a query sent at `asked_us`."""
        role = parameter_status.role(parameters)
        position_us = self._read_position(
            endpoint, role is Role.PRIMARY, parameter_status.position_us(parameters), asked_us
        )
        report = self.read_report(endpoint, parameters.get(LOAD_REPORT_PARAMETER), asked_us)
        return ReplyMetadata(role, position_us, report)

    def read_report(self, endpoint: str, text: str | None, asked_us: int) -> LoadReport | None:
        """Parse a load report from an endpoint that was queried at `asked_us`."""
        report = parameter_status.load_report(text)
        if report is None or report.position_us is None:
            return report
        position_us = self._read_position(endpoint, bool(report.is_primary), report.position_us, asked_us)
        return replace(report, position_us=position_us)

    def with_local_start_time(self, endpoint: Endpoint) -> Endpoint:
        """Return a listed endpoint with its start time on this process's clock; 0 means unknown."""
        if not endpoint.started_us or not self._clock.offset_us:
            return endpoint
        return replace(endpoint, started_us=self._clock.to_driver_us(endpoint.started_us))

    def _read_position(
        self, endpoint: str, is_primary: bool, position_us: int | None, asked_us: int
    ) -> int | None:
        if position_us is None:
            return None
        now_us = self._now()
        change_us = self._clock.observe(endpoint, is_primary, position_us, asked_us, now_us)
        if change_us:
            self._on_clock_adjusted(change_us)
        if not self._clock.is_plausible(position_us, now_us):
            return None
        return self._clock.to_driver_us(position_us)
