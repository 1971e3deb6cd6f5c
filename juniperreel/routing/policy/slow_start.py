"""Slow start: limits requests to a warming endpoint to its guaranteed capacity."""

from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.estimators import CachedValue, PeakRate, linear_ramp
from juniperreel.routing.policy import parameters
from juniperreel.routing.state import RouterState
from juniperreel.routing.types import Outcome


class SlowStart:
    """Tracks the request rate of warm endpoints per unit of capacity; endpoints hold their own tokens."""

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.peak_rate = PeakRate(parameters.THROUGHPUT_WINDOW_US, parameters.THROUGHPUT_PEAK_FADE_US)
        self._warm_capacity = CachedValue(parameters.WARM_CAPACITY_REFRESH_US, self._sum_warm_capacity)

    def capacity_fraction(self, endpoint: EndpointState) -> float:
        """Return the fraction of its full capacity that an endpoint has at least: 1 once it is warm."""
        settings = self.state.settings
        age_us = self.state.now_us - endpoint.warming_since_us
        return linear_ramp(age_us, settings.slow_start_us, settings.slow_start_initial_capacity)

    def has_capacity(self, endpoint: EndpointState) -> bool:
        """Safety rule 4: all routers together must not overload a warming endpoint."""
        # Selection, retries, fallback or a role change could do so. Each router sends the fraction allowed by
        # the ramp of its own rate to warm endpoints, which adds up to the load of one warm endpoint. Mostly
        # this is less than one attempt, so buckets start with a random fraction of a token and attempts cost
        # a whole one. The drawback: a sole endpoint that is warming serves less than it could.
        capacity_fraction = self.capacity_fraction(endpoint)
        if capacity_fraction >= 1.0:
            return True
        settings = self.state.settings
        window_us = settings.overload_window_us
        floor = parameters.SEC / (settings.router_count * window_us)  # one attempt per window for all routers
        safe_fraction = capacity_fraction * parameters.SLOW_START_UTILIZATION * settings.overload_multiple
        rate = max(safe_fraction * self.peak_rate.per_second * endpoint.info.capacity, floor)
        limit = max(1.0, rate * window_us / parameters.SEC / 2)
        endpoint.slow_start.refill(self.state.now_us, rate, limit)
        return endpoint.slow_start.tokens >= 1.0

    def on_send(self, endpoint: EndpointState) -> None:
        """Spend a token. Attempts sent while warm are free: their debt would block it for minutes."""
        if self.capacity_fraction(endpoint) < 1.0:
            endpoint.slow_start.tokens -= 1

    def on_outcome(self, endpoint: EndpointState, outcome: Outcome) -> None:
        """Count responses of warm endpoints: attempts sent say nothing about their capacity."""
        if outcome is Outcome.OK and self.capacity_fraction(endpoint) >= 1.0:
            self.peak_rate.observe(self.state.now_us, self._warm_capacity.value(self.state.now_us))

    def _sum_warm_capacity(self) -> float:
        warm = [e for e in self.state.ready_endpoints() if self.capacity_fraction(e) >= 1.0]
        return max(sum(e.info.capacity for e in warm), parameters.MIN_WARM_CAPACITY)
