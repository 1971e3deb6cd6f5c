"""Priority queue in front of a group's replicas or its primary.

A lane holds the requests that compete for the same endpoints. They are ordered by quota status (tenants
within their quota first, then underserved ones), then by priority weight, then by arrival.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import NamedTuple

from juniperreel.admission.concurrency import TARGET_LATENCY_RATIO, ConcurrencyLimit
from juniperreel.admission.controlled_delay import ControlledDelay, QueueKey
from juniperreel.admission.quota import QuotaStatus, TenantQuotas
from juniperreel.routing.types import RequestClass

COMPLETION_INTERVAL_DECAY = 0.9  # weight of the previous mean, per completion
OBSERVATION_TTL_US = 2_000_000  # observations expire after this long without requests in flight
# A queued request is rejected early if its estimated wait exceeds this multiple of its remaining time.
STARVATION_FACTOR = 2


class Rank(NamedTuple):
    """Service order of queues; higher ranks are served first."""

    quota_status: QuotaStatus
    priority_weight: float


@dataclass(slots=True)
class QueuedRequest:
    """A queued request. It is rejected if it is still queued at `expires_us`."""

    id: str
    request_class: RequestClass
    tenant_index: int
    expires_us: int
    removed: bool = False

    @property
    def key(self) -> QueueKey:
        """Key of the queue that holds it."""
        return QueueKey(self.tenant_index, self.request_class.priority_weight)


class Expiry(NamedTuple):
    """Entry of the expiry heap. `sequence` is unique, so that requests are never compared."""

    at_us: int
    sequence: int
    request: QueuedRequest


class PriorityLane:
    """The queues of a lane and its limit on requests in flight.

    Invariant: `queued` and `_lengths` count only requests that have not been removed. Removal is lazy:
    removed requests may remain in `_queues` and `_expiries` until they reach the end that is popped.
    """

    def __init__(self, shares: tuple[float, ...], limit: ConcurrencyLimit) -> None:
        """`shares` are the tenants' capacity shares, in configuration order."""
        self.limit = limit
        self.in_flight = 0
        self.queued = 0
        self.last_completion_us = 0
        self._quotas = TenantQuotas(shares)
        self._controlled_delay = ControlledDelay()
        self._queues: dict[QueueKey, deque[QueuedRequest]] = {}  # oldest first
        self._lengths: dict[QueueKey, int] = {}
        self._expiries: list[Expiry] = []
        self._sequence = count()
        self._completion_interval_us = 0.0  # mean, while the lane is full
        self._last_full_completion_us = 0  # 0 unless the lane was full at the last completion

    # Arrivals, admissions and completions.

    def on_arrival(self, now_us: int, key: QueueKey, rejected: bool) -> None:
        """Record an arrival and whether it was rejected."""
        self._quotas.on_arrival(now_us, key.tenant_index)
        self._controlled_delay.on_arrival(now_us, key, rejected)

    def expire_observations(self, now_us: int) -> None:
        """Reset outdated observations of the endpoints after a long period without requests in flight."""
        if self.in_flight or now_us - self.last_completion_us <= OBSERVATION_TTL_US:
            return
        self.limit.on_idle()
        self._completion_interval_us = 0.0
        self._last_full_completion_us = 0

    def on_admission(self, tenant_index: int) -> None:
        """Record that a request of the tenant was admitted."""
        self.in_flight += 1
        if self.has_capacity:
            self._last_full_completion_us = 0  # the lane has not been full throughout
        self.limit.on_start(self.in_flight)
        self._quotas.on_admission(tenant_index)

    def on_completion(self, now_us: int, was_full: bool) -> None:
        """Record that a request in flight has completed.

        The interval between completions measures the capacity only while the lane is full.
        """
        self.in_flight -= 1
        if was_full and self._last_full_completion_us:
            self._observe_completion_interval(now_us - self._last_full_completion_us)
        self._last_full_completion_us = now_us if was_full else 0
        self.last_completion_us = now_us

    def _observe_completion_interval(self, interval_us: int) -> None:
        if self._completion_interval_us:
            previous = COMPLETION_INTERVAL_DECAY * self._completion_interval_us
            self._completion_interval_us = previous + (1 - COMPLETION_INTERVAL_DECAY) * interval_us
        else:
            self._completion_interval_us = float(interval_us)

    # Capacity and waiting times.

    @property
    def has_capacity(self) -> bool:
        """Whether the limit allows one more request in flight."""
        return self.in_flight < self.limit.value

    def estimated_wait_us(self, requests_ahead: int, latency_objective_us: int) -> float:
        """Return the estimated time until `requests_ahead` requests have left the queue.

        A lane that was never full has no measured completion rate; the observed latency ratio, or the target
        ratio if there is none, is used instead.
        """
        if self._completion_interval_us:
            return requests_ahead * self._completion_interval_us
        latency_ratio = self.limit.latency_ratio or TARGET_LATENCY_RATIO
        return requests_ahead * (latency_ratio * latency_objective_us / self.limit.value)

    def max_sojourn_us(self, key: QueueKey, latency_objective_us: int) -> int:
        """Return how long a request that arrives now may be queued."""
        return self._controlled_delay.max_sojourn_us(key, latency_objective_us)

    # Ranks.

    def quota_status(self, tenant_index: int) -> QuotaStatus:
        """Return the tenant's demand and usage relative to its share."""
        return self._quotas.status(tenant_index)

    def rank(self, key: QueueKey) -> Rank:
        """Return the rank of a queue's requests."""
        return Rank(self.quota_status(key.tenant_index), key.priority_weight)

    def queued_ahead(self, key: QueueKey) -> int:
        """Return how many queued requests would be admitted before a new request with this key."""
        if not self.queued:
            return 0
        rank = self.rank(key)
        return sum(length for other, length in self._lengths.items() if self.rank(other) >= rank)

    def outranks_any_queued(self, key: QueueKey) -> bool:
        """Return whether a new request would rank above the lowest-ranked queued one."""
        if not self._lengths:
            return False
        return self.rank(key) > min(self.rank(queued) for queued in self._lengths)

    # The queue.

    def enqueue(self, request: QueuedRequest) -> None:
        """Append a request to its queue."""
        self._queues.setdefault(request.key, deque()).append(request)
        self._lengths[request.key] = self._lengths.get(request.key, 0) + 1
        heapq.heappush(self._expiries, Expiry(request.expires_us, next(self._sequence), request))
        self.queued += 1

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from any position in its queue. Does nothing if it was already removed."""
        if request.removed:
            return
        request.removed = True
        self.queued -= 1
        self._lengths[request.key] -= 1
        if not self._lengths[request.key]:
            del self._lengths[request.key]
            del self._queues[request.key]
        if not self.queued:
            self._expiries.clear()

    def pop_next(self) -> QueuedRequest | None:
        """Remove and return the oldest request of the highest-ranked queue."""
        if not self._lengths:
            return None
        queue = self._queues[max(self._lengths, key=self.rank)]
        while queue[0].removed:
            queue.popleft()
        self.remove(queue[0])
        return queue.popleft()

    def pop_starving(self, now_us: int) -> QueuedRequest | None:
        """Remove and return the newest request of the lowest-ranked queue if it would expire while queued.

        Without this, requests that are constantly overtaken would wait for their full sojourn time in vain.
        """
        if not self._lengths:
            return None
        queue = self._queues[min(self._lengths, key=self.rank)]
        while queue[-1].removed:
            queue.pop()
        newest = queue[-1]
        wait_us = self.estimated_wait_us(self.queued, newest.request_class.latency_objective_us)
        if now_us + wait_us / STARVATION_FACTOR <= newest.expires_us:
            return None
        self.remove(newest)
        return queue.pop()

    def next_expiry_us(self) -> int | None:
        """Return the earliest expiry time of all queued requests."""
        while self._expiries and self._expiries[0].request.removed:
            heapq.heappop(self._expiries)
        return self._expiries[0].at_us if self._expiries else None

    def pop_expired(self, now_us: int) -> QueuedRequest | None:
        """Remove and return an expired request, if there is one."""
        expiry_us = self.next_expiry_us()
        if expiry_us is None or expiry_us > now_us:
            return None
        request = heapq.heappop(self._expiries).request
        self.remove(request)
        return request
