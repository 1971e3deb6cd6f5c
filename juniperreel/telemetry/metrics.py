"""Counters, gauges and histograms of one edge, in a registry of its own."""

from __future__ import annotations

from functools import lru_cache
from typing import Literal

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

Over = Literal["livesum", "livemax", "livemin"]
BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Metrics:
    """Each reason for which a request is turned away has a count of its own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()

        def counter(name: str, text: str, *labels: str) -> Counter:
            return Counter(f"juniperreel_{name}", text, labels, registry=self.registry)

        def gauge(name: str, text: str, *labels: str, over: Over = "livesum") -> Gauge:
            """`over`: what becomes of it where several workers share one page."""
            name = f"juniperreel_{name}"
            return Gauge(name, text, labels, registry=self.registry, multiprocess_mode=over)

        self.requests = counter("requests", "Final answers", "cls", "outcome", "reason")
        self.repeats = counter("repeats", "Requests that came marked as a retry", "cls")
        self.seconds = Histogram(
            "juniperreel_request_seconds",
            "From taking a request to its final answer",
            ("cls", "outcome"),
            registry=self.registry,
            buckets=BUCKETS,
        )
        self.attempts = counter("attempts", "Attempts at members that ended", "outcome")
        self.attempt_seconds = Histogram(
            "juniperreel_attempt_seconds",
            "Of attempts",
            ("outcome",),
            registry=self.registry,
            buckets=BUCKETS,
        )
        self.probes = counter("probes", "Probes that ended", "outcome")
        self.late = counter("late_answers", "Answers of members that came after the final one, dropped")
        self.stale = counter("stale_answers", "Answers whose standing did not satisfy what was asked for")
        self.cut_off = counter("cut_off_writes", "Writes confirmed in an epoch that had ended")
        self.rejected = counter("rejected", "Requests that never reached the module", "reason")
        self.batches = counter("batches", "Batches handed to the module")
        self.module_errors = counter("module_errors", "Batches in which the module failed")
        self.open = gauge("open_requests", "Requests in hand")
        self.parked = gauge("waiting_requests", "Requests that wait for admission")
        self.program_limit = gauge("program_limit", "Requests this program lets be in hand")
        self.lane_limit = gauge("lane_limit", "Requests that may be in hand", "group", "lane")
        self.lane_in_hand = gauge("lane_in_hand", "Requests in hand", "group", "lane")
        self.lane_waiting = gauge("lane_waiting", "Requests waiting for admission", "group", "lane")
        self.members = gauge("members", "Members known, by readiness", "readiness", over="livemax")
        self.connections = gauge("member_connections", "Live connections to members")
        self.pool = gauge("pool_connections", "Connections of members' pools", "member", "state")
        self.pool_waiting = gauge("pool_waiting", "Transactions that wait for a connection", "member")
        self.pool_most = gauge(
            "pool_most", "Connections asked of a member at most, after what it refused", "member"
        )
        self.pool_turned = counter("pool_turned", "Attempts that got no connection", "reason")
        self.pool_spent = counter(
            "pool_spent", "Connections that were not lent again after a lease", "reason"
        )
        self.replays = counter("pool_replays", "Statements that took a connection to a session's state")
        self.kills = counter("pool_kills", "Statements that nobody waited for, killed at their member")
        self.list_age = gauge(
            "host_list_age_seconds", "Since the host list last said anything", over="livemax"
        )
        self.config_version = gauge("configuration_version", "Committed version in force", over="livemin")
        self.list_failures = counter("host_list_failures", "Host list calls that failed")
        self.stalls = counter("stalls", "Times this program stood still")
        self.clock_drift = gauge(
            "clock_drift_seconds", "Wall time ahead of the clock positions are judged by", over="livemax"
        )

        # Looking a child up by its labels costs more than counting it does.
        self.request = lru_cache(maxsize=1024)(self.requests.labels)
        self.took = lru_cache(maxsize=1024)(self.seconds.labels)
        self.reject = lru_cache(maxsize=1024)(self.rejected.labels)
        self.attempt = lru_cache(maxsize=64)(self.attempts.labels)
        self.attempt_took = lru_cache(maxsize=64)(self.attempt_seconds.labels)

    def text(self) -> bytes:
        return generate_latest(self.registry)
