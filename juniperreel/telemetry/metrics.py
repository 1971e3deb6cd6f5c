"""Counters, gauges and histograms of one edge, in a registry of its own."""

from __future__ import annotations

from functools import lru_cache
from typing import Literal

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# How the workers of one edge are put together on its page of metrics.
MultiprocessMode = Literal["livesum", "livemax", "livemin"]
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """All metrics of one edge, an attribute each.

    Every reason for which a request is rejected has a count of its own. The page of metrics lists them in the
    order in which they are added here.
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

        # Looking a child up by its labels costs more than counting it does.
        self.request = lru_cache(maxsize=1024)(self.requests.labels)
        self.took = lru_cache(maxsize=1024)(self.seconds.labels)
        self.reject = lru_cache(maxsize=1024)(self.rejected.labels)
        self.attempt = lru_cache(maxsize=64)(self.attempts.labels)
        self.attempt_took = lru_cache(maxsize=64)(self.attempt_seconds.labels)

    def text(self) -> bytes:
        """The page of metrics, as Prometheus reads it."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"juniperreel_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str, mode: MultiprocessMode = "livesum") -> Gauge:
        """`mode`: what becomes of it where several workers share one page."""
        full_name = f"juniperreel_{name}"
        return Gauge(full_name, text, labels, registry=self.registry, multiprocess_mode=mode)

    def _add_requests(self) -> None:
        """Requests of clients, by their final answers."""
        self.requests = self._counter("requests", "Final answers", "cls", "outcome", "reason")
        self.repeats = self._counter("repeats", "Requests that came marked as a retry", "cls")
        self.seconds = Histogram(
            "juniperreel_request_seconds",
            "From taking a request to its final answer",
            ("cls", "outcome"),
            registry=self.registry,
            buckets=BUCKETS_S,
        )

    def _add_attempts(self) -> None:
        """Attempts and probes at members, and answers that were of no use."""
        self.attempts = self._counter("attempts", "Attempts at members that ended", "outcome")
        self.attempt_seconds = Histogram(
            "juniperreel_attempt_seconds",
            "Of attempts",
            ("outcome",),
            registry=self.registry,
            buckets=BUCKETS_S,
        )
        self.probes = self._counter("probes", "Probes that ended", "outcome")
        self.late = self._counter("late_answers", "Answers of members that came after the final one, dropped")
        self.stale = self._counter(
            "stale_answers", "Answers whose standing did not satisfy what was asked for"
        )
        self.cut_off = self._counter("cut_off_writes", "Writes confirmed in an epoch that had ended")

    def _add_router(self) -> None:
        """What the router was handed."""
        self.rejected = self._counter("rejected", "Requests that never reached the module", "reason")
        self.batches = self._counter("batches", "Batches handed to the module")
        self.module_errors = self._counter("module_errors", "Batches in which the module failed")

    def _add_admission(self) -> None:
        """Requests in flight and queued, with their limits."""
        self.open = self._gauge("open_requests", "Requests in hand")
        self.parked = self._gauge("waiting_requests", "Requests that wait for admission")
        self.program_limit = self._gauge("program_limit", "Requests this program lets be in hand")
        self.lane_limit = self._gauge("lane_limit", "Requests that may be in hand", "group", "lane")
        self.lane_in_flight = self._gauge("lane_in_hand", "Requests in hand", "group", "lane")
        self.lane_waiting = self._gauge("lane_waiting", "Requests waiting for admission", "group", "lane")

    def _add_members(self) -> None:
        """Members and the connections to them."""
        self.members = self._gauge("members", "Members known, by readiness", "readiness", mode="livemax")
        self.connections = self._gauge("member_connections", "Live connections to members")

    def _add_pools(self) -> None:
        """Pools of connections to members that speak MySQL."""
        self.pool = self._gauge("pool_connections", "Connections of members' pools", "member", "state")
        self.pool_waiting = self._gauge("pool_waiting", "Transactions that wait for a connection", "member")
        self.pool_most = self._gauge(
            "pool_most", "Connections asked of a member at most, after what it refused", "member"
        )
        self.pool_turned = self._counter("pool_turned", "Attempts that got no connection", "reason")
        self.pool_spent = self._counter(
            "pool_spent", "Connections that were not lent again after a lease", "reason"
        )
        self.replays = self._counter("pool_replays", "Statements that took a connection to a session's state")
        self.kills = self._counter("pool_kills", "Statements that nobody waited for, killed at their member")

    def _add_configuration(self) -> None:
        """Host list and configuration."""
        self.list_age = self._gauge(
            "host_list_age_seconds", "Since the host list last said anything", mode="livemax"
        )
        self.config_version = self._gauge(
            "configuration_version", "Committed version in force", mode="livemin"
        )
        self.list_failures = self._counter("host_list_failures", "Host list calls that failed")

    def _add_process(self) -> None:
        """The process itself."""
        self.stalls = self._counter("stalls", "Times this program stood still")
        self.clock_drift = self._gauge(
            "clock_drift_seconds", "Wall time ahead of the clock positions are judged by", mode="livemax"
        )
