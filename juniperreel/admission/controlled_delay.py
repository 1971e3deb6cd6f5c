"""Controlled delay: limits how long a request may be queued.

The limit is long while few requests are rejected, since the queue then absorbs a short burst, and short under
lasting overload (Maurer, "Fail at Scale", ACM Queue 13(8), 2015; after Nichols and Jacobson's CoDel).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

BURST_SOJOURN_FRACTION = 0.15  # fraction of the latency objective that may be spent queued in a burst
# The same under lasting overload, where queueing only delays every response and raises no throughput.
OVERLOAD_SOJOURN_FRACTION = 0.05
OVERLOAD_REJECTED_FRACTION = 0.1  # of recent arrivals; above it, the overload counts as lasting
REJECTED_FRACTION_DECAY = 0.95  # weight of the previous fraction, per arrival
REJECTED_FRACTION_HALF_LIFE_US = 500_000  # of the decay by time, independent of arrivals


class QueueKey(NamedTuple):
    """Identifies a queue: requests of one tenant with the same priority weight."""

    tenant_index: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class RejectedFraction:
    """Exponentially decaying fraction of arrivals that were rejected, as of `updated_us`."""

    value: float
    updated_us: int


class ControlledDelay:
    """Tracks recent rejections per queue and derives the maximum sojourn time from them."""

    def __init__(self) -> None:
        self._rejected: dict[QueueKey, RejectedFraction] = {}

    def on_arrival(self, now_us: int, key: QueueKey, rejected: bool) -> None:
        """Record an arrival. The fraction decays with time as well as with arrivals."""
        previous = self._rejected.get(key, RejectedFraction(0.0, now_us))
        elapsed_us = now_us - previous.updated_us
        remaining = previous.value * (
            REJECTED_FRACTION_DECAY * 0.5 ** (elapsed_us / REJECTED_FRACTION_HALF_LIFE_US)
        )
        self._rejected[key] = RejectedFraction(remaining + (1 - REJECTED_FRACTION_DECAY) * rejected, now_us)

    def max_sojourn_us(self, key: QueueKey, latency_objective_us: int) -> int:
        """Return how long a request that arrives now may be queued.

        Only rejections from the same queue count: if only requests of other queues are rejected, this queue
        still holds a burst.
        """
        rejected = self._rejected.get(key)
        overloaded = rejected is not None and rejected.value > OVERLOAD_REJECTED_FRACTION
        sojourn = OVERLOAD_SOJOURN_FRACTION if overloaded else BURST_SOJOURN_FRACTION
        return int(sojourn * latency_objective_us)
