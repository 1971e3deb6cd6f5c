"""How long a request may be queued: controlled delay.

Long where hardly any request was rejected recently, since the queue is then a burst that will pass; hardly at
all where many were ("controlled delay": Maurer, Fail at Scale, ACM Queue 13(8), 2015, after Nichols and
Jacobson's CoDel).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

BURST_SOJOURN = 0.15  # of the latency objective may be spent in the queue during a burst
# The same under lasting overload: queueing serves nobody then, it only delays every response.
OVERLOAD_SOJOURN = 0.05
OVERLOAD_FRACTION = 0.1  # of the arrivals rejected, from which on it counts as lasting overload
REJECTED_MEMORY = 0.95  # weight of the old rejected fraction, at each arrival
REJECTED_HALF_LIFE_US = 500_000  # after which half of the fraction has decayed in any case


class QueueKey(NamedTuple):
    """What requests of one queue have in common."""

    tenant_index: int
    priority_weight: float


@dataclass(frozen=True, slots=True)
class RejectedFraction:
    """The decayed part of recent arrivals that were rejected, as of a time."""

    value: float
    updated_us: int


class ControlledDelay:
    """Recent rejections of each queue, and the longest sojourn that follows from them."""

    def __init__(self) -> None:
        self._rejected: dict[QueueKey, RejectedFraction] = {}

    def on_arrival(self, now_us: int, key: QueueKey, rejected: bool) -> None:
        """Record an arrival; the fraction decays with time as well, however few arrive."""
        previous = self._rejected.get(key, RejectedFraction(0.0, now_us))
        elapsed_us = now_us - previous.updated_us
        remaining = previous.value * (REJECTED_MEMORY * 0.5 ** (elapsed_us / REJECTED_HALF_LIFE_US))
        self._rejected[key] = RejectedFraction(remaining + (1 - REJECTED_MEMORY) * rejected, now_us)

    def longest_sojourn_us(self, key: QueueKey, latency_objective_us: int) -> int:
        """Return how long a request that arrives now may be queued.

        Judged by the requests of the same queue alone: where others are rejected and these are not, a queue
        of these is a burst all the same.
        """
        rejected = self._rejected.get(key)
        overloaded = rejected is not None and rejected.value > OVERLOAD_FRACTION
        sojourn = OVERLOAD_SOJOURN if overloaded else BURST_SOJOURN
        return int(sojourn * latency_objective_us)
