"""What one router believes of one endpoint, and since when.

A plain record and its upkeep: no decision and no tuned value. Times and log positions are microseconds on the
router's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from juniperreel.routing.estimators import Backoff, DecayingMean, SuccessRate, TokenBucket
from juniperreel.routing.types import Endpoint, Readiness, Role

DISTANT_FUTURE_US = 1 << 60  # long after any clock reading
DISTANT_PAST_US = -DISTANT_FUTURE_US  # long before any


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt as its endpoint's record has it."""

    sent_us: int
    latency_objective_us: int


class EndpointState:
    """What the router believes of one endpoint, and since when."""

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
        """Start without any observation but the list's."""
        self.info = info
        self.readiness_changed_us = now_us  # when its readiness was learned
        self.was_draining = info.readiness is Readiness.DRAINING
        self.warming_since_us = info.started_us or DISTANT_PAST_US
        self.srtt_us = srtt_us  # smoothed response time
        self.has_responded = False  # whether `srtt_us` is measured
        self.consecutive_losses = 0
        self.last_response_us = DISTANT_PAST_US
        self.success_rate = success_rate
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}  # by request and attempt
        self.ejected = False
        self.down_since_us = 0  # 0: not known to be down
        self.backoff = backoff
        self.retry_at_us = 0  # ejected: no attempt before
        self.position_us = DISTANT_PAST_US  # the highest applied position known
        self.role = Role.UNKNOWN
        self.role_observed_us = DISTANT_PAST_US  # in a response
        self.pressure = pressure
        self.reported_load = 0.0  # as it reports itself, by unit of capacity
        self.load_reported_us = DISTANT_PAST_US
        self.slow_start = TokenBucket(slow_start_tokens, now_us)
        self.checked_us = DISTANT_PAST_US  # its last health check began
        self.passed_check_us = DISTANT_PAST_US

    def update(self, info: Endpoint, now_us: int) -> bool:
        """Take over a later entry of the list. True where the endpoint's process has restarted."""
        restarted = info.started_us > self.info.started_us
        if info.readiness is not self.info.readiness:
            self.readiness_changed_us = now_us
        self.was_draining = self.was_draining or info.readiness is Readiness.DRAINING
        self.info = info
        return restarted

    def shift_start(self, shift_us: int) -> None:
        """The list's time of its start lies `shift_us` later than was thought."""
        if not self.info.started_us:
            return
        if self.warming_since_us == self.info.started_us:
            self.warming_since_us += shift_us
        self.info = replace(self.info, started_us=self.info.started_us + shift_us)

    def restart_slow_start(self, now_us: int) -> None:
        """Its process has started anew, though no list says so yet."""
        self.warming_since_us = max(self.warming_since_us, now_us)
        self.slow_start.refilled_us = now_us

    def clear_ejection(self) -> None:
        """Give it attempts again."""
        self.ejected = False
        self.down_since_us = 0

    def eject(self, now_us: int) -> None:
        """Give it no attempts until a backoff is over; failing after that one doubles the next."""
        if not self.ejected:
            self.backoff.reset()
        elif now_us >= self.retry_at_us:
            self.backoff.double()
        self.ejected = True
        self.retry_at_us = now_us + self.backoff.pause_us

    def restart(self, now_us: int, srtt_us: float, slow_start_tokens: float) -> None:
        """Forget response times and failures, and warm up again."""
        self.warming_since_us = max(self.warming_since_us, self.info.started_us)
        self.srtt_us = srtt_us
        self.has_responded = False
        self.success_rate.reset()
        self.consecutive_losses = 0
        self.slow_start.tokens = slow_start_tokens
        self.retry_at_us = now_us

    def observe_response_time(self, response_us: int, smoothing: float) -> None:
        """Smooth the response time; the first one counts alone. `smoothing` is the weight of the old one."""
        smoothed_us = smoothing * self.srtt_us + (1 - smoothing) * response_us
        self.srtt_us = smoothed_us if self.has_responded else float(response_us)
        self.has_responded = True

    def observe_response(self, now_us: int) -> None:
        """Take note that it responded at all."""
        self.consecutive_losses = 0
        self.last_response_us = now_us

    def observe_failure(self, now_us: int, penalty: float, limit_us: float) -> None:
        """Raise the smoothed response time by a factor, and count against the success rate."""
        self.srtt_us = min(self.srtt_us * penalty, limit_us)
        self.success_rate.observe(now_us, succeeded=False)

    def observe_position(self, position_us: int, now_us: int) -> None:
        """Take over an applied position; it never goes back, nor ahead of the clock."""
        self.position_us = max(self.position_us, min(position_us, now_us))
