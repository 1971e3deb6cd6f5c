"""Updates the driver's gauges once a second, and logs excessive drift of the wall clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio

from juniperreel.admission import AdmissionController
from juniperreel.net import Clock
from juniperreel.net.clock import US
from juniperreel.proxy.attempts import EndpointConnections
from juniperreel.proxy.endpoint_list import EndpointSource
from juniperreel.proxy.endpoint_registry import EndpointRegistry
from juniperreel.proxy.mysql_endpoints import MysqlEndpoints
from juniperreel.proxy.open_requests import OpenRequest
from juniperreel.proxy.request_table import RequestTable
from juniperreel.telemetry.metrics import Metrics

INTERVAL_S = 1


@dataclass(frozen=True, slots=True)
class GaugeSources:
    """The parts of a driver that gauges are read from; none of them is modified."""

    open_requests: RequestTable
    waiting_requests: dict[str, OpenRequest]
    admission_controller: AdmissionController
    discovery: EndpointSource
    registry: EndpointRegistry
    connections: EndpointConnections


class GaugeReporter:
    """Reports one driver's gauges; `skew_us` is the wall clock drift that positions allow for."""

    def __init__(self, sources: GaugeSources, metrics: Metrics, clock: Clock, skew_us: int, log: Any) -> None:
        self._sources = sources
        self._metrics = metrics
        self._clock = clock
        self._skew_us = skew_us
        self._log = log

    async def run(self) -> None:
        """Update all gauges once per `INTERVAL_S` until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S)
            self._report_discovery()
            self._report_clock()
            self._report_requests()
            self._report_lanes()
            self._report_endpoints()

    def _report_discovery(self) -> None:
        discovery = self._sources.discovery
        if discovery.updated_us:
            self._metrics.host_list_age.set((self._clock.now_us() - discovery.updated_us) / US)
        self._metrics.configuration_version.set(discovery.version)

    def _report_clock(self) -> None:
        drift_us = self._clock.drift_us()
        self._metrics.clock_drift.set(drift_us / US)
        if abs(drift_us) > self._skew_us:
            self._log.warning("wall clock drift exceeds skew bound", drift_us=drift_us)

    def _report_requests(self) -> None:
        self._metrics.open_request_count.set(len(self._sources.open_requests))
        self._metrics.waiting_request_count.set(len(self._sources.waiting_requests))
        self._metrics.program_limit.set(self._sources.admission_controller.process_limit.value)

    def _report_lanes(self) -> None:
        for (group, is_primary), lane in self._sources.admission_controller.lanes():
            labels = (str(group), "primary" if is_primary else "replicas")
            self._metrics.lane_limit.labels(*labels).set(lane.limit.value)
            self._metrics.lane_in_flight.labels(*labels).set(lane.in_flight)
            self._metrics.lane_waiting.labels(*labels).set(lane.queued)

    def _report_endpoints(self) -> None:
        connections = self._sources.connections
        self._metrics.member_connections.set(connections.connection_count)
        if isinstance(connections, MysqlEndpoints):
            connections.report_gauges()
        self._metrics.members.labels("known").set(self._sources.registry.listed_count)
        self._metrics.members.labels("gone").set(self._sources.registry.removed_count)
