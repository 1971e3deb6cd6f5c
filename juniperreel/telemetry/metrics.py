"""Prometheus metrics of an edge, in a registry of their own."""

from __future__ import annotations

from functools import lru_cache
from typing import Literal

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# How gauge values of an edge's workers are aggregated on its metrics page.
MultiprocessMode = Literal["livesum", "livemax", "livemin"]
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """All metrics of an edge, one attribute each.

    Each rejection reason is counted separately, under its own label value. The metrics page lists metrics in
    the order in which they are registered here.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._add_requests()
        self._add_attempts()
        self._add_router()
        self._add_admission()
        self._add_members()
        self._add_pools()
        self._add_configuration()
        self._add_process()

        # Looking up a child by its labels costs more than incrementing it, so children are cached.
        self.request = lru_cache(maxsize=1024)(self.requests.labels)
        self.request_duration = lru_cache(maxsize=1024)(self.request_seconds.labels)
        self.rejection = lru_cache(maxsize=1024)(self.rejected.labels)
        self.attempt = lru_cache(maxsize=64)(self.attempts.labels)
        self.attempt_duration = lru_cache(maxsize=64)(self.attempt_seconds.labels)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"juniperreel_{name}", help_text, labels, registry=self.registry)

    def _gauge(self, name: str, help_text: str, *labels: str, mode: MultiprocessMode = "livesum") -> Gauge:
        """`mode` defines how values of several workers are aggregated."""
        full_name = f"juniperreel_{name}"
        return Gauge(full_name, help_text, labels, registry=self.registry, multiprocess_mode=mode)

    def _add_requests(self) -> None:
        """Register metrics of client requests."""
        self.requests = self._counter("requests", "Final answers", "cls", "outcome", "reason")
        self.repeats = self._counter("repeats", "Requests marked as a retry by the client", "cls")
        self.request_seconds = Histogram(
            "juniperreel_request_seconds",
            "Time from receiving a request to its final answer",
            ("cls", "outcome"),
            registry=self.registry,
            buckets=BUCKETS_S,
        )

    def _add_attempts(self) -> None:
        """Register metrics of attempts, probes and unusable answers."""
        self.attempts = self._counter("attempts", "Completed attempts at members", "outcome")
        self.attempt_seconds = Histogram(
            "juniperreel_attempt_seconds",
            "Duration of attempts",
            ("outcome",),
            registry=self.registry,
            buckets=BUCKETS_S,
        )
        self.probes = self._counter("probes", "Completed probes", "outcome")
        self.late_answers = self._counter(
            "late_answers", "Member answers dropped because the request was already answered"
        )
        self.stale_answers = self._counter(
            "stale_answers", "Answers whose position did not satisfy the requested consistency"
        )
        self.cut_off_writes = self._counter(
            "cut_off_writes", "Writes confirmed in an epoch that had already ended"
        )

    def _add_router(self) -> None:
        """Register metrics of the router's input."""
        self.rejected = self._counter("rejected", "Requests rejected before reaching the router", "reason")
        self.batches = self._counter("batches", "Batches passed to the router")
        self.module_errors = self._counter("module_errors", "Batches in which the router raised an error")

    def _add_admission(self) -> None:
        """Register metrics of admission control."""
        self.open_request_count = self._gauge("open_requests", "Requests in flight")
        self.waiting_request_count = self._gauge("waiting_requests", "Requests waiting for admission")
        self.program_limit = self._gauge("program_limit", "Limit of requests in flight in this process")
        self.lane_limit = self._gauge("lane_limit", "Limit of requests in flight", "group", "lane")
        self.lane_in_flight = self._gauge("lane_in_hand", "Requests in flight", "group", "lane")
        self.lane_waiting = self._gauge("lane_waiting", "Requests waiting for admission", "group", "lane")

    def _add_members(self) -> None:
        """Register metrics of members and the connections to them."""
        self.members = self._gauge("members", "Known members by readiness", "readiness", mode="livemax")
        self.member_connections = self._gauge("member_connections", "Open connections to members")

    def _add_pools(self) -> None:
        """Register metrics of the connection pools of MySQL members."""
        self.pool_connections = self._gauge(
            "pool_connections", "Connections in members' pools", "member", "state"
        )
        self.pool_waiting = self._gauge("pool_waiting", "Transactions waiting for a connection", "member")
        self.pool_limit = self._gauge(
            "pool_most", "Limit of connections to a member, lowered after it refused some", "member"
        )
        self.pool_rejections = self._counter(
            "pool_turned", "Attempts that did not get a connection", "reason"
        )
        self.pool_discards = self._counter("pool_spent", "Connections not reused after a lease", "reason")
        self.pool_replays = self._counter(
            "pool_replays", "Statements replayed to restore session state on a connection"
        )
        self.pool_kills = self._counter("pool_kills", "Abandoned statements killed at their member")

    def _add_configuration(self) -> None:
        """Register metrics of the host list and the configuration."""
        self.host_list_age = self._gauge(
            "host_list_age_seconds", "Time since the last update from the host list", mode="livemax"
        )
        self.configuration_version = self._gauge(
            "configuration_version", "Committed configuration version in effect", mode="livemin"
        )
        self.host_list_failures = self._counter("host_list_failures", "Failed host list calls")

    def _add_process(self) -> None:
        """Register metrics of the process."""
        self.stalls = self._counter("stalls", "Event loop stalls")
        self.clock_drift = self._gauge(
            "clock_drift_seconds",
            "Wall clock time minus the process clock used for log positions",
            mode="livemax",
        )
