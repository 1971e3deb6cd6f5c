"""The queue in front of one group's replicas or its primary, and the order in which requests leave it.

A lane holds the requests that compete for the same endpoints. Tenants within their quota go first, then those
that were given less than their share; then by priority weight, then by arrival.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import NamedTuple

from juniperreel.admission.concurrency import TARGET_RATIO, ConcurrencyLimit
from juniperreel.admission.controlled_delay import ControlledDelay, QueueKey
from juniperreel.admission.quota import QuotaStanding, TenantQuotas
from juniperreel.routing.types import RequestClass

COMPLETION_GAP_MEMORY = 0.9  # weight of the old mean time between two completions
OBSERVATIONS_EXPIRE_US = 2_000_000  # with nothing in flight for so long, what was observed is outdated
# A queued request is given up early when the estimated wait is this many times the time that it still has.
STARVATION_FACTOR = 2


class Rank(NamedTuple):
    """The order in which queues are served; higher ranks go first."""

    standing: QuotaStanding
    priority_weight: float


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue; from `expires_us` on it can no longer be answered in time."""

    id: str
    request_class: RequestClass
    tenant_index: int
    expires_us: int
    removed: bool = False

    @property
    def key(self) -> QueueKey:
        """The queue that it belongs to."""
        return QueueKey(self.tenant_index, self.request_class.priority_weight)


class Expiry(NamedTuple):
    """An entry of the heap of expiry times; `sequence` keeps requests out of comparisons."""

    at_us: int
    sequence: int
    request: QueuedRequest


class PriorityLane:
    """The queue of one lane and its limit on requests in flight.

    Invariant: `queued` and `_lengths` count the requests that have not been removed. Removed requests may
    remain inside `_queues` and `_expiries` until they come up there.
    """

    def __init__(self, shares: tuple[float, ...], limit: ConcurrencyLimit) -> None:
        """`shares` are the tenants' capacity shares, in the order of the settings."""
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
        self._completion_gap_us = 0.0  # mean time between two completions while the lane is full
        self._full_completion_us = 0  # the last completion, if the lane was full then

    # Arrivals, admissions and completions.

    def on_arrival(self, now_us: int, key: QueueKey, rejected: bool) -> None:
        """Record an arrival, rejected or not."""
        self._quotas.on_arrival(key.tenant_index)
        self._controlled_delay.on_arrival(now_us, key, rejected)

    def expire_observations(self, now_us: int) -> None:
        """Forget what was observed of the endpoints, if nothing was in flight for long."""
        if self.in_flight or now_us - self.last_completion_us <= OBSERVATIONS_EXPIRE_US:
            return
        self.limit.on_idle()
        self._completion_gap_us = 0.0
        self._full_completion_us = 0

    def on_admission(self, tenant_index: int) -> None:
        """Record that a request of the tenant is in flight now."""
        self.in_flight += 1
        if self.has_capacity:
            self._full_completion_us = 0  # whatever has passed since, the lane was not full all the time
        self.limit.on_start(self.in_flight)
        self._quotas.on_admission(tenant_index)

    def on_completion(self, now_us: int, was_full: bool) -> None:
        """Record that a request in flight has ended.

        The time between completions measures the capacity only while the lane is full.
        """
        self.in_flight -= 1
        if was_full and self._full_completion_us:
            self._observe_completion_gap(now_us - self._full_completion_us)
        self._full_completion_us = now_us if was_full else 0
        self.last_completion_us = now_us

    def _observe_completion_gap(self, gap_us: int) -> None:
        if self._completion_gap_us:
            old = COMPLETION_GAP_MEMORY * self._completion_gap_us
            self._completion_gap_us = old + (1 - COMPLETION_GAP_MEMORY) * gap_us
        else:
            self._completion_gap_us = float(gap_us)

    # Capacity and waiting times.

    @property
    def has_capacity(self) -> bool:
        """Whether the limit allows one more request in flight."""
        return self.in_flight < self.limit.value

    def estimated_wait_us(self, requests_ahead: int, latency_objective_us: int) -> float:
        """Return how long a request waits until `requests_ahead` have left the queue.

        A lane that was never full has no completion rate: the response time observed so far, or else the
        limit's target, stands in for it.
        """
        if self._completion_gap_us:
            return requests_ahead * self._completion_gap_us
        latency_ratio = self.limit.latency_ratio or TARGET_RATIO
        return requests_ahead * (latency_ratio * latency_objective_us / self.limit.value)

    def longest_sojourn_us(self, key: QueueKey, latency_objective_us: int) -> int:
        """Return how long a request that arrives now may be queued."""
        return self._controlled_delay.longest_sojourn_us(key, latency_objective_us)

    # Ranks.

    def standing(self, tenant_index: int) -> QuotaStanding:
        """Return how the tenant stands against its share."""
        return self._quotas.standing(tenant_index)

    def rank(self, key: QueueKey) -> Rank:
        """Return the rank of a queue's requests."""
        return Rank(self.standing(key.tenant_index), key.priority_weight)

    def queued_ahead(self, key: QueueKey) -> int:
        """Return how many queued requests would be admitted before a new one of the queue."""
        if not self.queued:
            return 0
        rank = self.rank(key)
        return sum(length for other, length in self._lengths.items() if self.rank(other) >= rank)

    def outranks_any_queued(self, key: QueueKey) -> bool:
        """Return whether a new request would rank above the lowest that is queued."""
        if not self._lengths:
            return False
        return self.rank(key) > min(self.rank(queued) for queued in self._lengths)

    # The queue.

    def enqueue(self, request: QueuedRequest) -> None:
        """Add a request behind those of its own queue."""
        self._queues.setdefault(request.key, deque()).append(request)
        self._lengths[request.key] = self._lengths.get(request.key, 0) + 1
        heapq.heappush(self._expiries, Expiry(request.expires_us, next(self._sequence), request))
        self.queued += 1

    def remove(self, request: QueuedRequest) -> None:
        """Take a request out of the queue, wherever it stands; a removed one is ignored."""
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
        """Take out the oldest request of the highest rank."""
        if not self._lengths:
            return None
        queue = self._queues[max(self._lengths, key=self.rank)]
        while queue[0].removed:
            queue.popleft()
        self.remove(queue[0])
        return queue.popleft()

    def pop_starving(self, now_us: int) -> QueuedRequest | None:
        """Take out the newest request of the lowest rank, if it will not be admitted before it expires.

        Without this, requests that others overtake would sit out their time in the queue for nothing.
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
        """Return when the next queued request expires."""
        while self._expiries and self._expiries[0].request.removed:
            heapq.heappop(self._expiries)
        return self._expiries[0].at_us if self._expiries else None

    def pop_expired(self, now_us: int) -> QueuedRequest | None:
        """Take out a request that has expired."""
        expiry_us = self.next_expiry_us()
        if expiry_us is None or expiry_us > now_us:
            return None
        request = heapq.heappop(self._expiries).request
        self.remove(request)
        return request
