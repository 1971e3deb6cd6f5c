"""Moving and decaying statistics without policy decisions: every tuning constant is an argument.

Times are in microseconds on the router's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable

SECOND_US = 1_000_000
MIN_AVERAGE = 1e-12  # keeps ratios finite


def linear_decay(elapsed_us: int, span_us: int) -> float:
    """Return the fraction left after `elapsed_us` of a linear decay from 1 to 0 over `span_us`."""
    return max(0.0, 1 - elapsed_us / span_us)


def linear_ramp(elapsed_us: int, span_us: int, initial: float) -> float:
    """Return a value that grows linearly from `initial` to 1 over `span_us`."""
    if elapsed_us >= span_us:
        return 1.0
    return initial + (1 - initial) * max(elapsed_us, 0) / span_us


def mean(values: list[float], default: float) -> float:
    """Return the arithmetic mean, or the default if there are no values."""
    return sum(values) / len(values) if values else default


def weighted_mean(values: list[float], weights: list[float]) -> float:
    """Return the weighted mean."""
    return sum(weight * value for value, weight in zip(values, weights, strict=True)) / sum(weights)


class MovingAverage:
    """An exponentially weighted average: each sample moves it by `gain` of the difference."""

    def __init__(self, initial: float, gain: float) -> None:
        """Start at `initial`, which has the weight of a previous average."""
        self.value = initial
        self._gain = gain

    def observe(self, sample: float) -> None:
        """Add a sample."""
        self.value += self._gain * (sample - self.value)

    def ratio(self, sample: float) -> float:
        """Return a sample as a multiple of the average, which must not be negative."""
        return sample / max(self.value, MIN_AVERAGE)


class ResponseTimes:
    """Moving averages of response times and of their absolute deviation, in microseconds."""

    def __init__(self, mean_us: float, deviation_us: float, gain: float) -> None:
        """Start from an assumed mean and deviation."""
        self.mean_us = mean_us
        self.deviation_us = deviation_us
        self._gain = gain

    def observe(self, response_time_us: float) -> None:
        """Add a response time; its deviation is taken from the previous mean."""
        self.deviation_us += self._gain * (abs(response_time_us - self.mean_us) - self.deviation_us)
        self.mean_us += self._gain * (response_time_us - self.mean_us)


class DecayingMean:
    """The mean of the latest samples, whose weight decays linearly without new ones.

    At most `max_weight` samples count, each capped at `max_sample`; `fade_us` after the last one, their
    weight is 0. `value` adds `prior_weight` samples of 0, because few samples may mislead.
    """

    def __init__(self, fade_us: int, max_weight: float, max_sample: float, prior_weight: float) -> None:
        self._fade_us = fade_us
        self._max_weight = max_weight
        self._max_sample = max_sample
        self._prior_weight = prior_weight
        self._mean = 0.0
        self._weight = 0.0
        self._updated_us = 0

    def weight(self, now_us: int) -> float:
        """Return the weight that is left of the samples."""
        return self._weight * linear_decay(now_us - self._updated_us, self._fade_us)

    def value(self, now_us: int) -> float:
        """Return the mean of the samples and the prior."""
        weight = self.weight(now_us)
        return self._mean * weight / (weight + self._prior_weight)

    def observe(self, now_us: int, sample: float) -> None:
        """Add a sample."""
        weight = self.weight(now_us)
        self._mean = (weight * self._mean + min(sample, self._max_sample)) / (weight + 1)
        self._weight = min(weight + 1, self._max_weight)
        self._updated_us = now_us


class PeakRate:
    """The peak event rate per unit of capacity over a window, decaying over `fade_us`.

    The event count decays linearly over `window_us`, so that at a steady rate it is rate times window.
    """

    def __init__(self, window_us: int, fade_us: int) -> None:
        self._window_us = window_us
        self._fade_us = fade_us
        self._updated_us = 0
        self._count = 0.0
        self.per_second = 0.0

    def observe(self, now_us: int, capacity: float) -> None:
        """Count an event of endpoints that have this total capacity."""
        elapsed_us = now_us - self._updated_us
        self._updated_us = now_us
        self._count = self._count * linear_decay(elapsed_us, self._window_us) + 1
        rate = self._count * SECOND_US / self._window_us / capacity
        self.per_second = max(self.per_second * linear_decay(elapsed_us, self._fade_us), rate)


class CachedValue:
    """A computed value that is cached for `interval_us`."""

    def __init__(self, interval_us: int, compute: Callable[[], float]) -> None:
        """Defer the first computation until the first access."""
        self._interval_us = interval_us
        self._compute = compute
        self._value = 0.0
        self._computed_us: int | None = None

    def value(self, now_us: int) -> float:
        """Return the value, recomputed if it is older than `interval_us`."""
        if self._computed_us is None or now_us - self._computed_us > self._interval_us:
            self._value = self._compute()
            self._computed_us = now_us
        return self._value


class TokenBucket:
    """A token bucket with a variable refill rate."""

    def __init__(self, tokens: float, now_us: int) -> None:
        self.tokens = tokens
        self.refilled_us = now_us

    def refill(self, now_us: int, per_second: float, limit: float) -> None:
        """Add the tokens earned since the last call, up to the limit."""
        self.tokens = min(self.tokens + per_second * (now_us - self.refilled_us) / SECOND_US, limit)
        self.refilled_us = now_us


class Backoff:
    """Exponential backoff up to a limit."""

    def __init__(self, initial_us: int, limit_us: int) -> None:
        self._initial_us = initial_us
        self._limit_us = limit_us
        self.pause_us = initial_us

    def reset(self) -> None:
        """Return to the initial pause."""
        self.pause_us = self._initial_us

    def double(self) -> None:
        """Double the pause, up to the limit."""
        self.pause_us = min(2 * self.pause_us, self._limit_us)


class SuccessRate:
    """The success rate: the mean of the first few outcomes, then a moving average.

    After a pause the next outcome has more weight: about two thirds if the last one is `fade_us` old.
    """

    def __init__(self, smoothing: float, fade_us: int, now_us: int) -> None:
        """Start at 1; `smoothing` is the weight of the previous rate at each outcome."""
        self._smoothing = smoothing
        self._fade_us = fade_us
        self._outcomes = 1
        self.value = 1.0
        self.updated_us = now_us

    def reset(self) -> None:
        """Discard all outcomes, for example after a restart of the endpoint."""
        self._outcomes = 1
        self.value = 1.0

    def observe(self, now_us: int, succeeded: bool) -> None:
        """Add an outcome."""
        self._outcomes += 1
        recency = 1 - math.exp((self.updated_us - now_us) / self._fade_us)
        gain = max(1 - self._smoothing, 1 / self._outcomes, recency)
        self.updated_us = now_us
        self.value += gain * ((1.0 if succeeded else 0.0) - self.value)


class Budget:
    """A token budget: frequent events earn fractions of a token, rarer ones spend whole tokens."""

    def __init__(self, earned_per_event: float, limit: float) -> None:
        """Start with `limit` tokens, which is also the maximum balance."""
        self._earned_per_event = earned_per_event
        self._limit = limit
        self.balance = limit

    def earn(self) -> None:
        """Add the tokens earned by one event."""
        self.balance = min(self._limit, self.balance + self._earned_per_event)

    def spend(self, minimum: float = 0.0) -> None:
        """Spend a token; the balance does not fall below `minimum`."""
        self.balance = max(self.balance - 1, minimum)


class DecayingShares:
    """Event counts by source; all counts decay at each event."""

    def __init__(self, source_count: int, smoothing: float) -> None:
        """Start at 0; `smoothing` is the factor applied to all counts at each event."""
        self._smoothing = smoothing
        self.counts = [0.0] * source_count

    def increment(self, source: int) -> None:
        """Count an event of a source; unknown sources are ignored."""
        if not 0 <= source < len(self.counts):
            return
        self.counts = [self._smoothing * count for count in self.counts]
        self.counts[source] += 1

    def exceeds(self, source: int, share: float, deviations: float) -> bool:
        """Whether a source exceeds its share of events by more than this many standard deviations."""
        if not 0 <= source < len(self.counts):
            return False
        expected = share * sum(self.counts)
        return self.counts[source] > expected + deviations * math.sqrt(expected)
