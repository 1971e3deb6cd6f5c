"""Moving and decaying statistics. Every constant is an argument; nothing here decides anything.

Times are microseconds on the router's clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable

SECOND_US = 1_000_000
MIN_AVERAGE = 1e-12  # keeps ratios finite


def linear_decay(elapsed_us: int, span_us: int) -> float:
    """The part that is left after `elapsed_us` of what fades away evenly within `span_us`."""
    return max(0.0, 1 - elapsed_us / span_us)


def linear_ramp(elapsed_us: int, span_us: int, initial: float) -> float:
    """What grows evenly from `initial` to 1 within `span_us`."""
    if elapsed_us >= span_us:
        return 1.0
    return initial + (1 - initial) * max(elapsed_us, 0) / span_us


def mean(values: list[float], default: float) -> float:
    """The arithmetic mean, or the default where there are no values."""
    return sum(values) / len(values) if values else default


def weighted_mean(values: list[float], weights: list[float]) -> float:
    """The mean of values by weight."""
    return sum(weight * value for value, weight in zip(values, weights, strict=True)) / sum(weights)


class MovingAverage:
    """An exponentially weighted average: each sample moves it by `gain` of the difference."""

    def __init__(self, initial: float, gain: float) -> None:
        """Start at `initial`, which counts like any earlier average."""
        self.value = initial
        self._gain = gain

    def observe(self, sample: float) -> None:
        """Take in one sample."""
        self.value += self._gain * (sample - self.value)

    def ratio(self, sample: float) -> float:
        """A sample as a multiple of the average, which must not be negative."""
        return sample / max(self.value, MIN_AVERAGE)


class ResponseTimes:
    """Moving average of response times and of their absolute deviation, in microseconds."""

    def __init__(self, mean_us: float, deviation_us: float, gain: float) -> None:
        """Start from an assumed mean and deviation."""
        self.mean_us = mean_us
        self.deviation_us = deviation_us
        self._gain = gain

    def observe(self, response_time_us: float) -> None:
        """Take in one response time; the deviation is from the mean before it."""
        self.deviation_us += self._gain * (abs(response_time_us - self.mean_us) - self.deviation_us)
        self.mean_us += self._gain * (response_time_us - self.mean_us)


class DecayingMean:
    """The mean of the last samples, whose weight fades away when no more come.

    At most `max_weight` samples count, each at most `max_sample`; `fade_us` after the last one none does.
    On reading, `prior_weight` samples of 0 are added, as few may mislead.
    """

    def __init__(self, fade_us: int, max_weight: float, max_sample: float, prior_weight: float) -> None:
        """Start without samples."""
        self._fade_us = fade_us
        self._max_weight = max_weight
        self._max_sample = max_sample
        self._prior_weight = prior_weight
        self._mean = 0.0
        self._weight = 0.0
        self._updated_us = 0

    def weight(self, now_us: int) -> float:
        """How many samples still count."""
        return self._weight * linear_decay(now_us - self._updated_us, self._fade_us)

    def value(self, now_us: int) -> float:
        """The mean of those samples and the prior ones."""
        weight = self.weight(now_us)
        return self._mean * weight / (weight + self._prior_weight)

    def observe(self, now_us: int, sample: float) -> None:
        """Take in one sample."""
        weight = self.weight(now_us)
        self._mean = (weight * self._mean + min(sample, self._max_sample)) / (weight + 1)
        self._weight = min(weight + 1, self._max_weight)
        self._updated_us = now_us


class PeakRate:
    """The highest rate of events by unit of capacity, over a sliding window, fading away slowly.

    The count fades evenly within `window_us`, so that under a steady rate it is rate times window.
    """

    def __init__(self, window_us: int, fade_us: int) -> None:
        """Start at 0."""
        self._window_us = window_us
        self._fade_us = fade_us
        self._updated_us = 0
        self._count = 0.0
        self.per_second = 0.0

    def observe(self, now_us: int, capacity: float) -> None:
        """Count one event, where endpoints of this capacity together had it."""
        elapsed_us = now_us - self._updated_us
        self._updated_us = now_us
        self._count = self._count * linear_decay(elapsed_us, self._window_us) + 1
        rate = self._count * SECOND_US / self._window_us / capacity
        self.per_second = max(self.per_second * linear_decay(elapsed_us, self._fade_us), rate)


class CachedValue:
    """A value that is computed anew when it is asked for, at most once in `interval_us`."""

    def __init__(self, interval_us: int, compute: Callable[[], float]) -> None:
        """Compute it when it is first asked for."""
        self._interval_us = interval_us
        self._compute = compute
        self._value = 0.0
        self._computed_us: int | None = None

    def value(self, now_us: int) -> float:
        """The value as it was at most `interval_us` ago."""
        if self._computed_us is None or now_us - self._computed_us > self._interval_us:
            self._value = self._compute()
            self._computed_us = now_us
        return self._value


class TokenBucket:
    """Tokens that are earned at a varying rate, and spent one at a time."""

    def __init__(self, tokens: float, now_us: int) -> None:
        """Start with some tokens."""
        self.tokens = tokens
        self.refilled_us = now_us

    def refill(self, now_us: int, per_second: float, limit: float) -> None:
        """Earn what is due since the last call, up to the limit."""
        self.tokens = min(self.tokens + per_second * (now_us - self.refilled_us) / SECOND_US, limit)
        self.refilled_us = now_us


class Backoff:
    """A pause that doubles up to a limit."""

    def __init__(self, initial_us: int, limit_us: int) -> None:
        """Start at the initial pause."""
        self._initial_us = initial_us
        self._limit_us = limit_us
        self.pause_us = initial_us

    def reset(self) -> None:
        """Return to the initial pause."""
        self.pause_us = self._initial_us

    def double(self) -> None:
        """Make the next pause twice as long."""
        self.pause_us = min(2 * self.pause_us, self._limit_us)


class SuccessRate:
    """The share of successful outcomes: the mean of the first few, then a moving average.

    After a pause the next outcome weighs more: about two thirds when the last one is `fade_us` old.
    """

    def __init__(self, smoothing: float, fade_us: int, now_us: int) -> None:
        """Start at 1; `smoothing` is the weight of the old rate at each outcome."""
        self._smoothing = smoothing
        self._fade_us = fade_us
        self._outcomes = 1
        self.value = 1.0
        self.updated_us = now_us

    def reset(self) -> None:
        """Forget all outcomes, as after a restart of the endpoint."""
        self._outcomes = 1
        self.value = 1.0

    def observe(self, now_us: int, succeeded: bool) -> None:
        """Take in one outcome."""
        self._outcomes += 1
        recency = 1 - math.exp((self.updated_us - now_us) / self._fade_us)
        gain = max(1 - self._smoothing, 1 / self._outcomes, recency)
        self.updated_us = now_us
        self.value += gain * ((1.0 if succeeded else 0.0) - self.value)


class Budget:
    """Tokens earned by a steady flow of events and spent by rarer ones."""

    def __init__(self, earned_per_event: float, limit: float) -> None:
        """Start with `limit` tokens, and earn `earned` an event up to it."""
        self._earned_per_event = earned_per_event
        self._limit = limit
        self.balance = limit

    def earn(self) -> None:
        """Count one event of the steady flow."""
        self.balance = min(self._limit, self.balance + self._earned_per_event)

    def spend(self, minimum: float = 0.0) -> None:
        """Take one token; the balance does not fall below `minimum`."""
        self.balance = max(self.balance - 1, minimum)


class DecayingShares:
    """How many of the last events each of a few sources had: all counts fade at each event."""

    def __init__(self, source_count: int, smoothing: float) -> None:
        """Start at 0; `smoothing` is what is left of a count at each event."""
        self._smoothing = smoothing
        self.counts = [0.0] * source_count

    def increment(self, source: int) -> None:
        """Count one event of a source; an unknown one counts for nothing."""
        if not 0 <= source < len(self.counts):
            return
        self.counts = [self._smoothing * count for count in self.counts]
        self.counts[source] += 1

    def exceeds(self, source: int, share: float, deviations: float) -> bool:
        """Whether a source had more than its share of events, by so many standard deviations of chance."""
        if not 0 <= source < len(self.counts):
            return False
        expected = share * sum(self.counts)
        return self.counts[source] > expected + deviations * math.sqrt(expected)
