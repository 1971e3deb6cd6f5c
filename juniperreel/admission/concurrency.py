"""An adaptive limit on requests in flight, driven by response times relative to the latency objective.

Additive increase and multiplicative decrease (Chiu and Jain, 1989) on response time over a class's latency
objective, doubling from below as TCP's slow start does (RFC 5681, 3.1). The alternatives that it was weighed
against, with their curves: docs/design/admission.md.
"""

from __future__ import annotations

from dataclasses import dataclass

# Response time over latency objective that is aimed at: long enough to keep endpoints busy, short enough that
# the router sheds nothing yet.
TARGET_RATIO = 0.25
RATIO_MEMORY = 0.9  # weight of the old moving average of the ratio, at each response
SMALLEST_DECREASE_FACTOR = 0.7  # part of the limit that remains after one decrease, whatever was measured
# Part of the limit that must have been in flight before a fast response says that a higher limit is safe too.
USED_FRACTION = 0.7
SLOW_START_FRACTION = 0.6  # of the target; while responses are faster, a limit never reached before doubles
DROP_RATIO = 2.0  # what an attempt without a response counts for, the same as in the router's own pressure
INITIAL_LIMIT = 16.0
MINIMUM_LIMIT = 2.0
MAXIMUM_LIMIT = 100_000.0


@dataclass(frozen=True, slots=True)
class Observation:
    """What one completed request says of the endpoints."""

    now_us: int
    latency_ratio: float  # response time over the latency objective
    elapsed_us: int
    in_flight: int  # after its end
    in_flight_at_start: int  # with it, when it was admitted


class ConcurrencyLimit:
    """How many requests may be in flight at once. All times are whole microseconds."""

    def __init__(self, minimum: float = MINIMUM_LIMIT, initial: float = INITIAL_LIMIT) -> None:
        """Start in slow start: the limit doubles per round trip until the first congestion is observed."""
        self.minimum = minimum
        self.value = max(initial, minimum)
        self.restart_limit = max(INITIAL_LIMIT, minimum)
        self.latency_ratio = 0.0  # moving average; 0 until there was a response
        self._in_slow_start = True
        self._next_decrease_us = 0
        self._peak_in_flight = 0  # since the last response

    def set_minimum(self, minimum: float) -> None:
        """Set the value below which the limit never falls, and raise the limit to it."""
        self.minimum = minimum
        self.value = max(self.value, minimum)

    def set_restart_limit(self, restart_limit: float) -> None:
        """Set what the limit restarts from when idle, and what responses that did not use it leave of it.

        As the restart window of a connection that was idle (RFC 5681, 4.1).
        """
        self.restart_limit = max(restart_limit, self.minimum)

    def on_start(self, in_flight: int) -> None:
        """Record that one more request is in flight, `in_flight` with it."""
        self._peak_in_flight = max(self._peak_in_flight, in_flight)

    def on_success(
        self,
        now_us: int,
        response_time_us: int,
        latency_objective_us: int,
        in_flight: int,
        in_flight_at_start: int,
    ) -> None:
        """Record a served request by the response time of the attempt that served it.

        Errors must not be recorded here: an endpoint that fails fast would look like an idle one, and the
        limit would rise while nothing is served.
        """
        latency_ratio = response_time_us / max(latency_objective_us, 1)
        self._observe(Observation(now_us, latency_ratio, response_time_us, in_flight, in_flight_at_start))

    def on_drop(self, now_us: int, waited_us: int, in_flight: int, in_flight_at_start: int) -> None:
        """Record a request that timed out, or that the endpoints rejected for overload."""
        self._observe(Observation(now_us, DROP_RATIO, waited_us, in_flight, in_flight_at_start))

    def on_idle(self) -> None:
        """Forget what was observed, after a time in which nothing was in flight."""
        self.value = max(self.value, self.restart_limit)
        self.latency_ratio = 0.0
        self._in_slow_start = True

    def _observe(self, observation: Observation) -> None:
        if self.latency_ratio:
            old = RATIO_MEMORY * self.latency_ratio
            self.latency_ratio = old + (1 - RATIO_MEMORY) * observation.latency_ratio
        else:
            self.latency_ratio = observation.latency_ratio
        peak_in_flight = max(self._peak_in_flight, observation.in_flight)
        self._peak_in_flight = observation.in_flight
        if self.latency_ratio > TARGET_RATIO:
            is_slow = observation.latency_ratio > TARGET_RATIO  # and not only those before it
            if is_slow and observation.now_us >= self._next_decrease_us:
                self._decrease(observation, peak_in_flight)
        elif peak_in_flight >= USED_FRACTION * self.value:
            self._increase()

    def _decrease(self, observation: Observation, peak_in_flight: int) -> None:
        """Lower the limit, at most once per response time.

        Responses to requests that were sent before a decrease still reflect the old limit. Acting on each of
        them would drive the limit to its minimum at the first sign of congestion.
        """
        self._in_slow_start = False
        # A limit that was never used says nothing about congestion (RFC 7661): decrease from what was used.
        # At the end of a burst that is what was in flight when the slow request came, not what is left.
        used = min(self.value, float(max(peak_in_flight + 1, observation.in_flight_at_start)))
        factor = max(SMALLEST_DECREASE_FACTOR, TARGET_RATIO / self.latency_ratio)
        decreased = used * factor
        if used < USED_FRACTION * self.value:
            decreased = max(decreased, min(self.value, self.restart_limit))
        self.value = max(self.minimum, decreased)
        self._next_decrease_us = observation.now_us + max(observation.elapsed_us, 1)

    def _increase(self) -> None:
        doubling = self._in_slow_start and self.latency_ratio < SLOW_START_FRACTION * TARGET_RATIO
        step = 1.0 if doubling else 1.0 / self.value
        self.value = min(MAXIMUM_LIMIT, self.value + step)
