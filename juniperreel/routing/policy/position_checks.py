"""Position checks: health checks that determine which replicas are fresh enough for a read."""

from juniperreel.routing.composition import Policy
from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.estimators import Budget, MovingAverage, mean
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.selection import Selection
from juniperreel.routing.state import Endpoints, RequestState
from juniperreel.routing.types import Consistency, LoadReport


class PositionChecker:
    """Maintains the budget of background checks and the mean replication lag in load reports."""

    def __init__(self, policy: Policy, selection: Selection) -> None:
        self.policy = policy
        self.state = policy.state
        self.selection = selection
        self.budget = Budget(parameters.BACKGROUND_CHECK_RATIO, limit=1.0)
        self._lag_us = MovingAverage(0.0, 1 - parameters.REPORT_SMOOTHING)

    def observe_report(self, endpoint: EndpointState, report: LoadReport) -> None:
        """Record a replica's lag and re-evaluate reads queued for a position check."""
        group = self.state.group_with(endpoint)
        if report.position_us is not None and endpoint is not group.primary:
            self._lag_us.observe(min(self.state.now_us - report.position_us, parameters.LOAD_REPORT_TTL_US))
        self.state.wake_position_checks(group)

    def prefers_primary(self, request: RequestState, candidates: Endpoints) -> bool:
        """Whether a read without a fresh replica goes to the primary instead of starting a position check."""
        # With hundreds of routers and few responses each, nearly every read would need a check although the
        # primary, which is always fresh, has capacity. After a check that found no fresh replica, the primary
        # saves the cost of another check.
        primary = self.policy.primaries.serving_primary(self.state.group_of(request), for_read=True)
        if primary is None or not self.selection.accepts(request, primary):
            return False
        request.pressure = self.policy.shedder.primary_pressure(request, primary)
        if self.policy.shedder.shed_probability(request, on_primary=True) > 0:
            return False
        if request.position_checks:
            return self.state.random.random() < primary.success_rate.value
        if request.consistency is Consistency.SESSION:
            return False
        pool = [primary, *candidates]
        weights = list(zip(pool, self.selection.weights(pool), strict=True))
        # Replicas without responses have a small initial srtt and would otherwise outweigh the primary.
        mean_weight = mean([weight for e, weight in weights if e.has_responded], 1.0)
        adjusted = [weight if e.has_responded else mean_weight for e, weight in weights]
        return self.state.random.choices(pool, adjusted)[0] is primary

    def check(self, request: RequestState, candidates: Endpoints) -> bool:
        """Check a replica drawn by weight while the read waits; return False if waiting is useless."""
        # At low request rates no position is known to be fresh when a read arrives, and all reads would go to
        # the primary.
        now_us = self.state.now_us
        first = not request.position_checks
        unchecked = [e for e in candidates if now_us - e.checked_us > parameters.POSITION_CHECK_US]
        ahead_us = int(request.required_position_us + self._lag_us.value) - now_us if first else 0
        wait_us = max(0 if unchecked and first else parameters.POSITION_CHECK_US, ahead_us)
        allowed = self.state.settings.health_checks and not request.primary_required
        exhausted = not candidates or request.position_checks >= parameters.MAX_POSITION_CHECKS
        if not allowed or exhausted or self._is_too_late(request, wait_us):
            request.position_checks = parameters.MAX_POSITION_CHECKS
            return False
        if ahead_us > 0:  # no report can show the session's latest write yet
            request.queued_until_us = now_us + ahead_us
            return True
        request.position_checks += 1
        request.queued_until_us = now_us + parameters.POSITION_CHECK_US
        if unchecked:
            self.budget.spend(minimum=-1.0)
            self.state.start_health_check(self.selection.draw_any(unchecked))
        return True

    def check_in_background(self, request: RequestState, candidates: Endpoints) -> None:
        """Within the budget, check the replica that would be drawn if all were known to be fresh."""
        # Otherwise only replicas that already serve requests are known to be fresh: these would be overloaded
        # and the others stay idle.
        if not self.state.settings.health_checks or self.budget.balance < 1 or request.attempt_count:
            return
        stale = [e for e in candidates if not self.policy.freshness.is_fresh_enough(request, e)]
        chosen = self.selection.draw_any(candidates) if stale else None
        if chosen in stale and self.state.now_us - chosen.checked_us > parameters.CHECK_INTERVAL_US:
            self.budget.spend()
            self.state.start_health_check(chosen)

    def _is_too_late(self, request: RequestState, wait_us: int) -> bool:
        end_us = min(request.useful_until_us, request.deadline_us)
        mean_us = self.state.response_times_of(request).mean_us
        return self.state.now_us + wait_us > min(end_us - mean_us, request.queue_deadline_us)
