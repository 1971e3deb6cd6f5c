"""Load shedding: rejects requests early, depending on the pressure on endpoints and on priority."""

import math

from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.estimators import DecayingShares, MovingAverage, mean
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.retry import RetryPolicy
from juniperreel.routing.pressure import PressureTable
from juniperreel.routing.state import RequestState, RouterState
from juniperreel.routing.types import AttemptEnded, Outcome, RequestClass


class LoadShedder:
    """Maintains the mean priority of requests and the traffic of tenants."""

    def __init__(self, state: RouterState, retries: RetryPolicy, pressure: PressureTable) -> None:
        self.state = state
        self.retries = retries
        self.pressure = pressure
        priorities = [self._priority(c, i) for i, c in enumerate(state.settings.classes)]
        self._mean_priority = MovingAverage(mean(priorities, 0.0), parameters.PRIORITY_GAIN)
        self._tenants = DecayingShares(len(state.settings.tenants), parameters.TENANT_SMOOTHING)

    def on_request(self, request: RequestState) -> None:
        """Add a new request to the mean priority and to its tenant's traffic."""
        self._mean_priority.observe(self._priority(request.request_class, request.request.class_index))
        self._tenants.increment(request.request.tenant_index)

    def on_outcome(self, endpoint: EndpointState, request: RequestState, event: AttemptEnded) -> None:
        """Update the pressure by the outcome of an attempt; refused connections do not count as load."""
        if event.outcome is Outcome.OK and not self.state.stalled:
            self.pressure.observe(endpoint, max(event.duration_us, 1) / request.latency_objective_us)
        elif event.outcome is Outcome.REJECTED:
            self.pressure.observe(endpoint, parameters.LOST_PRESSURE)
        elif event.outcome is not Outcome.UNREACHABLE and self.retries.is_lost(request, event):
            withdrawn = self.retries.was_withdrawn(request, event)
            relative_duration = event.duration_us / request.latency_objective_us
            self.pressure.observe(endpoint, relative_duration if withdrawn else parameters.LOST_PRESSURE)

    def primary_pressure(self, request: RequestState, primary: EndpointState) -> float:
        """Return the pressure on a primary that could serve the request."""
        # A primary without recent responses is assumed to be moderately loaded: otherwise each of hundreds of
        # routers would consider it idle.
        observed = primary.pressure.weight(self.state.now_us) > 0 or self.pressure.has_primary_samples()
        sole = len(self.state.group_with(primary).endpoints) == 1
        if observed or sole or request.primary_only or request.primary_required:
            return self.pressure.value(primary)
        return parameters.UNOBSERVED_PRIMARY_PRESSURE

    def shed_probability(self, request: RequestState, on_primary: bool) -> float:
        """Return the probability of rejection at the chosen endpoint's pressure; 0 or less means none."""
        # Queueing would make all responses late, so the lowest priorities are rejected first, and early.
        priority = self._priority(request.request_class, request.request.class_index)
        relative = self._mean_priority.ratio(priority)
        lowest, highest = parameters.PRIORITY_RANGE
        late_weight = 1 + request.request_class.late_priority_weight
        threshold = late_weight * math.sqrt(min(max(relative, lowest), highest))
        if self._is_over_quota(request.request.tenant_index):
            threshold *= parameters.OVER_QUOTA_FACTOR
        if on_primary and not request.primary_only and not request.primary_required:
            threshold *= parameters.PRIMARY_READ_FACTOR
        start = parameters.SHEDDING_START
        return (request.pressure / threshold - start) / (parameters.SHEDDING_END - start)

    def sheds(self, request: RequestState, on_primary: bool) -> bool:
        """Decide at random, by the shed probability, whether this request is rejected."""
        probability = self.shed_probability(request, on_primary)
        return probability > 0 and self.state.random.random() < probability

    def _priority(self, request_class: RequestClass, class_index: int) -> float:
        return request_class.priority_weight / self.state.response_times[class_index].mean_us

    def _is_over_quota(self, tenant_index: int) -> bool:
        tenants = self.state.settings.tenants
        share = tenants[tenant_index].capacity_share if 0 <= tenant_index < len(tenants) else 1.0
        return self._tenants.exceeds(tenant_index, share, parameters.QUOTA_DEVIATIONS)
