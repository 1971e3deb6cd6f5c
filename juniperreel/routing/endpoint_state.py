"""One router's view of an endpoint.

A plain record and its updates, without policy decisions or tuning parameters. Times and log positions are in
microseconds on the router's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from juniperreel.routing.estimators import Backoff, DecayingMean, SuccessRate, TokenBucket
from juniperreel.routing.types import Endpoint, Readiness, Role

DISTANT_FUTURE_US = 1 << 60  # later than any clock reading
DISTANT_PAST_US = -DISTANT_FUTURE_US  # earlier than any clock reading


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt in flight, as recorded for its endpoint."""

    sent_us: int
    latency_objective_us: int


class EndpointState:
    """One router's view of an endpoint: list entry, health, load, position and role."""

    def __init__(
        self,
        info: Endpoint,
        now_us: int,
        success_rate: SuccessRate,
        pressure: DecayingMean,
        backoff: Backoff,
        srtt_us: float,
        slow_start_tokens: float,
    ) -> None:
        """Create the record from the endpoint list alone, without any observation."""
        self.info = info
        self.readiness_changed_us = now_us  # when the router learned of its readiness
        self.was_draining = info.readiness is Readiness.DRAINING
        self.warming_since_us = info.started_us or DISTANT_PAST_US
        self.srtt_us = srtt_us  # smoothed response time
        self.has_responded = False  # whether `srtt_us` is a measured value
        self.consecutive_losses = 0
        self.last_response_us = DISTANT_PAST_US
        self.success_rate = success_rate
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}  # by request and attempt
        self.ejected = False
        self.down_since_us = 0  # 0 if not known to be down
        self.backoff = backoff
        self.retry_at_us = 0  # no attempt before this time while ejected
        self.position_us = DISTANT_PAST_US  # highest known applied position
        self.role = Role.UNKNOWN
        self.role_observed_us = DISTANT_PAST_US  # last response that named a role
        self.pressure = pressure
        self.reported_load = 0.0  # from its load report, per unit of capacity
        self.load_reported_us = DISTANT_PAST_US
        self.slow_start = TokenBucket(slow_start_tokens, now_us)
        self.checked_us = DISTANT_PAST_US  # start of its last health check
        self.passed_check_us = DISTANT_PAST_US

    def update(self, info: Endpoint, now_us: int) -> bool:
        """Apply a newer list entry. Return True if the endpoint's process has restarted."""
        restarted = info.started_us > self.info.started_us
        if info.readiness is not self.info.readiness:
            self.readiness_changed_us = now_us
        self.was_draining = self.was_draining or info.readiness is Readiness.DRAINING
        self.info = info
        return restarted

    def shift_start(self, shift_us: int) -> None:
        """Move the listed start time by `shift_us` after an adjustment of the endpoints' clock."""
        if not self.info.started_us:
            return
        if self.warming_since_us == self.info.started_us:
            self.warming_since_us += shift_us
        self.info = replace(self.info, started_us=self.info.started_us + shift_us)

    def restart_slow_start(self, now_us: int) -> None:
        """Restart slow start for a process that restarted before the endpoint list shows it."""
        self.warming_since_us = max(self.warming_since_us, now_us)
        self.slow_start.refilled_us = now_us

    def clear_ejection(self) -> None:
        """Make the endpoint eligible for attempts again."""
        self.ejected = False
        self.down_since_us = 0

    def eject(self, now_us: int) -> None:
        """Eject the endpoint until its backoff ends; a failure after that doubles the next backoff."""
        if not self.ejected:
            self.backoff.reset()
        elif now_us >= self.retry_at_us:
            self.backoff.double()
        self.ejected = True
        self.retry_at_us = now_us + self.backoff.pause_us

    def restart(self, now_us: int, srtt_us: float, slow_start_tokens: float) -> None:
        """Reset response times and failures, and restart slow start."""
        self.warming_since_us = max(self.warming_since_us, self.info.started_us)
        self.srtt_us = srtt_us
        self.has_responded = False
        self.success_rate.reset()
        self.consecutive_losses = 0
        self.slow_start.tokens = slow_start_tokens
        self.retry_at_us = now_us

    def observe_response_time(self, response_us: int, smoothing: float) -> None:
        """Update srtt, which the first sample replaces. `smoothing` is the weight of the previous srtt."""
        smoothed_us = smoothing * self.srtt_us + (1 - smoothing) * response_us
        self.srtt_us = smoothed_us if self.has_responded else float(response_us)
        self.has_responded = True

    def observe_response(self, now_us: int) -> None:
        """Record that the endpoint responded, whatever the outcome."""
        self.consecutive_losses = 0
        self.last_response_us = now_us

    def observe_failure(self, now_us: int, penalty: float, limit_us: float) -> None:
        """Multiply srtt by a penalty, up to a limit, and record a failure in the success rate."""
        self.srtt_us = min(self.srtt_us * penalty, limit_us)
        self.success_rate.observe(now_us, succeeded=False)

    def observe_position(self, position_us: int, now_us: int) -> None:
        """Record an applied position, which never decreases and never exceeds the clock."""
        self.position_us = max(self.position_us, min(position_us, now_us))
