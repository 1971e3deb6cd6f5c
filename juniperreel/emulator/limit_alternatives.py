"""Concurrency limits that were rejected in favour of the one in `admission`, kept to repeat the comparison.

docs/design/admission.md gives the reasons against each of them.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from juniperreel.admission.concurrency import INITIAL_LIMIT, MINIMUM_LIMIT, ConcurrencyLimit, Observation

# Weights of the old mean and of the new value. Both are written out, because computing one as 1 minus the
# other gives a different last bit.
SHORT_TERM_OLD = 0.9
SHORT_TERM_NEW = 0.1
LONG_TERM_OLD = 0.998
LONG_TERM_NEW = 0.002
GRADIENT_TOLERANCE = 1.5  # by which the short-term mean may exceed the long-term one
GRADIENT_FLOOR = 0.5
LIMIT_OLD = 0.8
LIMIT_NEW = 0.2
VEGAS_SMALL_QUEUE = 3
VEGAS_LARGE_QUEUE = 6


class FixedLimit(ConcurrencyLimit):
    """A limit that is configured once and never changes."""

    def _observe(self, observation: Observation) -> None:
        """Ignore the observation."""


class GradientLimit(ConcurrencyLimit):
    """Ratio of long-term to short-term response time, plus the limit's square root (Netflix's Gradient2)."""

    def __init__(self, minimum: float = MINIMUM_LIMIT, initial: float = INITIAL_LIMIT) -> None:
        super().__init__(minimum, initial)
        self._long_term_ratio = 0.0

    def _observe(self, observation: Observation) -> None:
        self.latency_ratio = _moving_average(
            self.latency_ratio, observation.latency_ratio, SHORT_TERM_OLD, SHORT_TERM_NEW
        )
        self._long_term_ratio = _moving_average(
            self._long_term_ratio, observation.latency_ratio, LONG_TERM_OLD, LONG_TERM_NEW
        )
        if observation.in_flight < self.value / 2:
            return
        gradient = GRADIENT_TOLERANCE * self._long_term_ratio / self.latency_ratio
        gradient = max(GRADIENT_FLOOR, min(1.0, gradient))
        new_limit = self.value * gradient + self.value**0.5
        smoothed = LIMIT_OLD * self.value + LIMIT_NEW * new_limit
        self.value = max(self.minimum, smoothed)


class VegasLimit(ConcurrencyLimit):
    """Estimates the queue from the minimum response time (TCP Vegas; Brakmo and Peterson, 1995)."""

    def __init__(self, minimum: float = MINIMUM_LIMIT, initial: float = INITIAL_LIMIT) -> None:
        super().__init__(minimum, initial)
        self._minimum_ratio = math.inf

    def _observe(self, observation: Observation) -> None:
        self.latency_ratio = _moving_average(
            self.latency_ratio, observation.latency_ratio, SHORT_TERM_OLD, SHORT_TERM_NEW
        )
        self._minimum_ratio = min(self._minimum_ratio, observation.latency_ratio)
        queue = self.value * (1 - self._minimum_ratio / self.latency_ratio)
        if queue < VEGAS_SMALL_QUEUE and observation.in_flight > self.value / 2:
            self.value += 1 / self.value
        elif queue > VEGAS_LARGE_QUEUE:
            self.value = max(self.minimum, self.value - 1 / self.value)


def _moving_average(average: float, value: float, old_weight: float, new_weight: float) -> float:
    """Return the new mean, which is `value` itself if there is no mean yet."""
    return old_weight * average + new_weight * value if average else value


ALTERNATIVES: dict[str, Callable[[float], ConcurrencyLimit]] = {
    "fixed": FixedLimit,
    "gradient": GradientLimit,
    "vegas": VegasLimit,
}
