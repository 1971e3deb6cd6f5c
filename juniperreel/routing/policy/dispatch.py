"""Dispatch: sends, queues or finishes open requests that have no attempt in flight."""

from juniperreel.routing.composition import Policy
from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.position_checks import PositionChecker
from juniperreel.routing.state import GroupState, RequestState
from juniperreel.routing.types import AttemptEnded, Consistency, Outcome, StalenessGuard

BUDGETED_OUTCOMES = (Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class Dispatcher:
    """Decides the next step of each request."""

    def __init__(self, policy: Policy, position_checks: PositionChecker) -> None:
        self.policy = policy
        self.state = policy.state
        self.selection = position_checks.selection
        self.position_checks = position_checks

    def dispatch(self, request: RequestState) -> None:
        """Send, queue or finish the request."""
        self.policy.freshness.update_required_position(request)
        if self.policy.retries.cannot_succeed(request):
            self.policy.retries.finish_unserved(request)
            return
        if request.queued_until_us > self.state.now_us:
            self.state.queue(request)
            return
        self.policy.outliers.check_ejected(self.state.group_of(request))
        if request.primary_only or not self._dispatch_to_replica(request):
            self._dispatch_to_primary(request)

    def dispatch_queued(self, group: GroupState) -> None:
        """Dispatch queued requests that are due or can no longer be served."""
        for request in list(group.queued.values()):
            if request.queued_until_us <= self.state.now_us or self.policy.retries.cannot_succeed(request):
                group.queued.pop(request.id, None)
                self.dispatch(request)

    def _dispatch_to_replica(self, request: RequestState) -> bool:
        """Return False where only the primary can serve the request."""
        candidates = self.selection.candidates(request)
        replica = self.selection.draw(request, candidates)
        may_wait = replica is None and not self.position_checks.prefers_primary(request, candidates)
        if may_wait and self.position_checks.check(request, candidates):
            self.state.queue(request)
            return True
        replica = replica or self.selection.draw(request, candidates)
        self.position_checks.check_in_background(request, candidates)
        if replica is not None:
            self._send_or_shed(request, replica, on_primary=False)
        return replica is not None

    def _dispatch_to_primary(self, request: RequestState) -> None:
        group = self.state.group_of(request)
        primary = self.policy.primaries.serving_primary(group, for_read=not request.is_write)
        if primary is not None and self.selection.accepts(request, primary):
            request.pressure = self.policy.shedder.primary_pressure(request, primary)
            self._send_or_shed(request, primary, on_primary=True)
            return
        request.avoided_endpoint = None
        self.state.queue(request)
        if request.primary_only and self.policy.primaries.serving_primary(group, for_read=False) is None:
            self.policy.primaries.search(group)
            self._try_in_turn(request, group)

    def _try_in_turn(self, request: RequestState, group: GroupState) -> None:
        # Without health checks, a write finds the primary by trying endpoints: replicas reject it cheaply.
        # A read that requires fresh data waits, because a replica would serve it from stale data.
        ready = self.selection.accepting(request, group.endpoints)
        searching = request.is_write and not self.state.settings.health_checks
        if ready and searching and request.attempt_count + 1 < self.state.settings.max_attempts:
            del group.queued[request.id]
            self._send(request, ready[request.attempt_count % len(ready)])

    def _send_or_shed(self, request: RequestState, endpoint: EndpointState, on_primary: bool) -> None:
        if request.attempt_count or not self.policy.shedder.sheds(request, on_primary):
            self._send(request, endpoint)
        elif on_primary or not self._overflow_to_primary(request):
            self.policy.retries.finish_unserved(request)

    def _overflow_to_primary(self, request: RequestState) -> bool:
        # When replicas crash or hang, the others are overloaded while the primary is idle. Only a primary
        # with many recent responses takes the overflow, as reads of hundreds of routers could delay writes.
        primary = self.policy.primaries.serving_primary(self.state.group_of(request), for_read=True)
        if primary is None or primary.pressure.weight(self.state.now_us) < parameters.OVERFLOW_MIN_WEIGHT:
            return False
        if not self.selection.accepts(request, primary):
            return False
        request.pressure = self.policy.shedder.pressure.value(primary)
        if self.policy.shedder.sheds(request, on_primary=True):
            return False
        self._send(request, primary)
        return True

    def _send(self, request: RequestState, endpoint: EndpointState) -> None:
        self.state.start_attempt(request, endpoint, self.policy.retries.attempt_timeout_us(request))
        self.policy.slow_start.on_send(endpoint)

    def confirm_send(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Whether an attempt is still valid when it is written to its connection."""
        # While the connection was being established, a write of the session may have completed, a position
        # become stale, a role changed, a drain started or an idempotency key expired.
        if not self.policy.retries.confirms_send(request, endpoint):
            return False
        self.policy.freshness.update_required_position(request)
        group = self.state.group_of(request)
        if not self.policy.endpoints.may_receive(endpoint, group):
            return False
        if endpoint is group.primary or request.consistency in (Consistency.WRITE, Consistency.ANY):
            return True
        guarded = self.state.settings.staleness_guard is not StalenessGuard.OFF
        fresh = guarded or self.policy.freshness.is_fresh_enough(request, endpoint)
        return fresh and request.consistency is not Consistency.FRESH

    def on_outcome(self, endpoint: EndpointState, request: RequestState, event: AttemptEnded) -> None:
        """Finish the request, or retry it unless another attempt is in flight."""
        if request.finished or event.request_finished or event.outcome is Outcome.OK:
            self.state.finish(request)
        elif not request.in_flight:
            self._retry(request, endpoint, event.outcome)

    def _retry(self, request: RequestState, endpoint: EndpointState, outcome: Outcome) -> None:
        retries = self.policy.retries
        is_primary = endpoint is self.state.group_of(request).primary
        request.avoided_endpoint = endpoint.info.id
        request.error_count += outcome is Outcome.ERROR
        healthy = not is_primary or endpoint.success_rate.value > parameters.SUCCESS_SMOOTHING
        fails_anywhere = healthy and request.error_count >= parameters.ERRORS_TO_FAIL
        spends_budget = outcome in BUDGETED_OUTCOMES
        if fails_anywhere or (spends_budget and retries.budget.balance < 1):
            retries.finish_unserved(request)  # a retry would use up the budget of others
            return
        if spends_budget:
            retries.budget.spend()
        if is_primary and not endpoint.ejected:
            doublings = min(request.attempt_count - 1, parameters.MAX_RETRY_DOUBLINGS)
            request.queued_until_us = self.state.now_us + (parameters.PRIMARY_RETRY_BACKOFF_US << doublings)
        self.dispatch(request)
