"""An adaptive limit on requests in flight, driven by response times relative to the latency objective.

Additive increase, multiplicative decrease (AIMD; Chiu and Jain, 1989) on the ratio of response time to the
class's latency objective, with a slow start that doubles the limit as TCP's does (RFC 5681, 3.1). See
docs/design/admission.md for the alternatives that were evaluated, with their curves.
"""

from __future__ import annotations

from dataclasses import dataclass

# Target ratio of response time to latency objective: high enough to keep endpoints busy, low enough that the
# router does not shed requests.
TARGET_LATENCY_RATIO = 0.25
LATENCY_RATIO_DECAY = 0.9  # weight of the previous moving average, per response
MINIMUM_DECREASE_FACTOR = 0.7  # lower bound of the factor of a single decrease
# Fraction of the limit that must have been in flight for responses to be evidence about the limit: fast
# responses at lower utilization do not show that a higher limit is safe.
MINIMUM_UTILIZATION = 0.7
SLOW_START_FRACTION = 0.6  # of the target; in slow start the limit doubles while the ratio is below it
DROPPED_LATENCY_RATIO = 2.0  # ratio recorded for an attempt without a response; as in the router's pressure
INITIAL_LIMIT = 16.0
MINIMUM_LIMIT = 2.0
MAXIMUM_LIMIT = 100_000.0


@dataclass(frozen=True, slots=True)
class Observation:
    """A measurement taken when a request completes."""

    now_us: int
    latency_ratio: float  # response time / latency objective
    elapsed_us: int
    in_flight: int  # after this request completed
    in_flight_at_start: int  # including this request, when it was admitted


class ConcurrencyLimit:
    """Adaptive limit on the number of requests in flight. All times are integer microseconds."""

    def __init__(self, minimum: float = MINIMUM_LIMIT, initial: float = INITIAL_LIMIT) -> None:
        """Start in slow start: the limit doubles per round trip until the first congestion is observed."""
        self.minimum = minimum
        self.value = max(initial, minimum)
        self.restart_limit = max(INITIAL_LIMIT, minimum)
        self.latency_ratio = 0.0  # moving average; 0 before the first response
        self._in_slow_start = True
        self._next_decrease_us = 0
        self._peak_in_flight = 0  # since the last response

    def set_minimum(self, minimum: float) -> None:
        """Set the lower bound of the limit, and raise the limit to it if necessary."""
        self.minimum = minimum
        self.value = max(self.value, minimum)

    def set_restart_limit(self, restart_limit: float) -> None:
        """Set the value from which the limit restarts after an idle period.

        It is also the lower bound for decreases while the limit is underused. Corresponds to the restart
        window of an idle TCP connection (RFC 5681, 4.1).
        """
        self.restart_limit = max(restart_limit, self.minimum)

    def on_start(self, in_flight: int) -> None:
        """Record the start of a request; `in_flight` includes it."""
        self._peak_in_flight = max(self._peak_in_flight, in_flight)

    def on_success(
        self,
        now_us: int,
        response_time_us: int,
        latency_objective_us: int,
        in_flight: int,
        in_flight_at_start: int,
    ) -> None:
        """Record a successful request with the response time of its successful attempt.

        Errors must not be recorded here: an endpoint that fails fast would look like an idle one, and the
        limit would rise although no request succeeds.
        """
        latency_ratio = response_time_us / max(latency_objective_us, 1)
        self._observe(Observation(now_us, latency_ratio, response_time_us, in_flight, in_flight_at_start))

    def on_drop(self, now_us: int, waited_us: int, in_flight: int, in_flight_at_start: int) -> None:
        """Record a request that timed out or that endpoints rejected because of overload."""
        self._observe(Observation(now_us, DROPPED_LATENCY_RATIO, waited_us, in_flight, in_flight_at_start))

    def on_idle(self) -> None:
        """Restart from the restart limit, without observations, after a period without requests in flight."""
        self.value = max(self.value, self.restart_limit)
        self.latency_ratio = 0.0
        self._in_slow_start = True

    def _observe(self, observation: Observation) -> None:
        if self.latency_ratio:
            previous = LATENCY_RATIO_DECAY * self.latency_ratio
            self.latency_ratio = previous + (1 - LATENCY_RATIO_DECAY) * observation.latency_ratio
        else:
            self.latency_ratio = observation.latency_ratio
        peak_in_flight = max(self._peak_in_flight, observation.in_flight)
        self._peak_in_flight = observation.in_flight
        if self.latency_ratio > TARGET_LATENCY_RATIO:
            # A high average alone may stem from earlier responses.
            is_slow = observation.latency_ratio > TARGET_LATENCY_RATIO
            if is_slow and observation.now_us >= self._next_decrease_us:
                self._decrease(observation, peak_in_flight)
        elif peak_in_flight >= MINIMUM_UTILIZATION * self.value:
            self._increase()

    def _decrease(self, observation: Observation, peak_in_flight: int) -> None:
        """Lower the limit, at most once per response time.

        Responses to requests sent before a decrease still reflect the previous limit. Decreasing on each of
        them would drive the limit to its minimum at the first sign of congestion.
        """
        self._in_slow_start = False
        # An unused part of the limit carries no information about congestion (RFC 7661): decrease from the
        # used part. At the end of a burst this is the number in flight when the slow request was admitted,
        # not the number that remains.
        used = min(self.value, float(max(peak_in_flight + 1, observation.in_flight_at_start)))
        factor = max(MINIMUM_DECREASE_FACTOR, TARGET_LATENCY_RATIO / self.latency_ratio)
        decreased = used * factor
        if used < MINIMUM_UTILIZATION * self.value:
            decreased = max(decreased, min(self.value, self.restart_limit))
        self.value = max(self.minimum, decreased)
        self._next_decrease_us = observation.now_us + max(observation.elapsed_us, 1)

    def _increase(self) -> None:
        doubling = self._in_slow_start and self.latency_ratio < SLOW_START_FRACTION * TARGET_LATENCY_RATIO
        step = 1.0 if doubling else 1.0 / self.value
        self.value = min(MAXIMUM_LIMIT, self.value + step)
