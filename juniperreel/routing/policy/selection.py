"""Selection: the endpoints that may serve a read, and the random draw among them weighted by 1/srtt."""

import math

from juniperreel.routing.composition import Policy
from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.estimators import mean, weighted_mean
from juniperreel.routing.policy import parameters
from juniperreel.routing.state import Endpoints, RequestState
from juniperreel.routing.types import AttemptEnded, Outcome, StalenessGuard


class Selection:
    """Maintains the smoothed response times (srtt) of endpoints and draws among them."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.state = policy.state

    def on_outcome(self, endpoint: EndpointState, request: RequestState, event: AttemptEnded) -> None:
        """Record the response time of a successful attempt."""
        if event.outcome is Outcome.OK and not self.state.stalled:
            response_us = max(event.duration_us, 1)
            self.state.observe_response_time(request, endpoint, response_us, parameters.SRTT_SMOOTHING)

    def accepts(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Whether this endpoint may receive the request's next attempt now."""
        if not self.policy.outliers.accepts_attempt(endpoint):
            return False
        allowed = self.policy.retries.allows_attempt(request, endpoint)
        return allowed and self.policy.slow_start.has_capacity(endpoint)

    def accepting(self, request: RequestState, among: Endpoints) -> Endpoints:
        """Return the endpoints that may receive the request, regardless of their position."""
        group = self.state.group_of(request)
        serving = [e for e in among if self.policy.endpoints.may_receive(e, group)]
        return [e for e in serving if self.accepts(request, e)]

    def candidates(self, request: RequestState) -> Endpoints:
        """Return the group's replicas that may receive the request."""
        group = self.state.group_of(request)
        replicas = [e for e in group.endpoints if e is not group.primary]
        return self.accepting(request, [e for e in replicas if e.info.id != request.avoided_endpoint])

    def draw(self, request: RequestState, candidates: Endpoints) -> EndpointState | None:
        """Draw a replica by 1/srtt among those known to be fresh enough; set the request's pressure."""
        fresh = [e for e in candidates if self.policy.freshness.is_fresh_enough(request, e)]
        guarded = self.state.settings.staleness_guard is not StalenessGuard.OFF
        if not fresh and guarded and request.attempt_count == 0:
            slack_us = max(self.state.settings.staleness_wait_us, parameters.GUARDED_SLACK_US)
            fresh = [e for e in candidates if self.policy.freshness.is_fresh_enough(request, e, slack_us)]
        if not fresh:
            return None
        # srtt is updated only on a response; without a bound, chance alone could overload an endpoint.
        limit = parameters.IN_FLIGHT_BOUND * (sum(len(e.in_flight) for e in fresh) / len(fresh)) + 1
        bounded = [e for e in fresh if len(e.in_flight) <= limit]
        pool = [e for e in bounded if not self._reports_overload(e)]
        if not pool and request.position_checks < parameters.MAX_POSITION_CHECKS:
            return None
        pool = pool or bounded
        weights = self.weights(pool)
        pressures = [self.policy.shedder.pressure.value(e) for e in pool]
        request.pressure = weighted_mean(pressures, weights)
        return self.state.random.choices(pool, weights)[0]

    def draw_any(self, pool: Endpoints) -> EndpointState:
        """Draw one endpoint of the pool by 1/srtt."""
        return self.state.random.choices(pool, self.weights(pool))[0]

    def weights(self, pool: Endpoints) -> list[float]:
        """Return weights by 1/srtt, limited for endpoints without responses and for warming ones."""
        # A small initial srtt or an idle machine would attract a burst: hundreds of routers that draw rarely,
        # sending one or two attempts each, would exceed a new endpoint's share for half a minute.
        mean_srtt_us = mean([e.srtt_us for e in pool if e.has_responded], math.inf)
        weights = [self._weight(e, mean_srtt_us) for e in pool]
        fractions = [self.policy.slow_start.capacity_fraction(e) for e in pool]
        rows = list(zip(pool, weights, fractions, strict=True))
        mean_weight = mean(
            [weight for e, weight, fraction in rows if e.has_responded and fraction >= 1.0], math.inf
        )
        limits = [self._weight_limit(e, mean_weight, fraction) for e, _, fraction in rows]
        return [min(weight, limit) for weight, limit in zip(weights, limits, strict=True)]

    def _weight(self, endpoint: EndpointState, mean_srtt_us: float) -> float:
        # Fast failures must not gain traffic. Routers that rarely send to an endpoint would avoid it long
        # after its recovery, and with hundreds of them it would stay idle, so negative evidence decays.
        success = endpoint.success_rate
        faded = 1 - math.exp((success.updated_us - self.state.now_us) / parameters.EVIDENCE_FADE_US)
        rate = success.value + (1 - success.value) * faded
        excess_us = max(endpoint.srtt_us - mean_srtt_us, 0.0) if endpoint.has_responded else 0.0
        srtt_us = max(endpoint.srtt_us - excess_us * faded, parameters.MIN_SRTT_US)
        return max(rate, parameters.MIN_SUCCESS_RATE) ** 2 / srtt_us

    def _weight_limit(self, endpoint: EndpointState, mean_weight: float, capacity_fraction: float) -> float:
        if capacity_fraction < 1.0:
            multiple = parameters.SLOW_START_UTILIZATION * self.state.settings.overload_multiple
            return mean_weight * min(1.0, multiple * capacity_fraction)
        return math.inf if endpoint.has_responded else mean_weight

    def _reports_overload(self, endpoint: EndpointState) -> bool:
        limit = parameters.IN_FLIGHT_BOUND * self.state.mean_load.value + 1
        recent = self.state.now_us - endpoint.load_reported_us < parameters.LOAD_REPORT_TTL_US
        return endpoint.reported_load > limit and recent
