"""Retries: permitted attempts, the retry budget, time-outs, and final answers without a response."""

from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.estimators import Budget
from juniperreel.routing.policy import parameters
from juniperreel.routing.state import RequestState, RouterState
from juniperreel.routing.types import AttemptEnded, Idempotency, KeyScope, Outcome, Request


class RetryPolicy:
    """Maintains the retry budget, which bounds the load that retries add to endpoints."""

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.budget = Budget(parameters.RETRY_BUDGET_RATIO, limit=parameters.RETRY_BUDGET_BURST)

    def new_request(self, request: Request) -> RequestState:
        """Create the record of a new request and add its fraction of a retry to the budget."""
        self.budget.earn()
        now_us = self.state.now_us
        request_class = self.state.settings.classes[request.class_index]
        late_weight = request_class.late_priority_weight - parameters.LATE_WEIGHT_FLOOR
        late_fraction = max(0.0, late_weight) / (1 - parameters.LATE_WEIGHT_FLOOR)
        objective_us = request_class.latency_objective_us
        useful_us = objective_us + int(late_fraction * (request_class.deadline_us - objective_us))
        queue_us = int(parameters.MAX_QUEUED_FRACTION * (request.deadline_us - now_us))
        return RequestState(request, request_class, now_us, now_us + useful_us, now_us + queue_us)

    def allows_attempt(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Safety rule 2: whether this request may be sent to this endpoint now."""
        concurrent = request.in_flight and not self.state.settings.hedging
        if request.finished or concurrent or endpoint.info.group != request.request.group:
            return False
        if self._is_exhausted(request, request.deadline_us):
            return False
        if request.in_flight and request.idempotency is not Idempotency.IDEMPOTENT:
            return False
        return self._may_be_executed_on(request, endpoint)

    def confirms_send(self, request: RequestState, endpoint: EndpointState) -> bool:
        """Whether an attempt may still be written, possibly seconds after it was decided."""
        # By then the idempotency key or the deadline may have expired: a stalled event loop may see the new
        # connection before it sees that the client has stopped waiting.
        return not self._is_too_late(request.deadline_us) and self._may_be_executed_on(request, endpoint)

    def cannot_succeed(self, request: RequestState) -> bool:
        """Whether no further attempt is permitted that could return a useful response."""
        end_us = min(request.deadline_us - parameters.TICK_US, request.useful_until_us)
        if self.state.now_us > request.received_us and not request.reached_endpoint:
            end_us = min(end_us, request.queue_deadline_us - parameters.TICK_US)
        if self._is_exhausted(request, end_us):
            return True
        if request.first_execution_us is None or request.idempotency is Idempotency.IDEMPOTENT:
            return False
        return request.idempotency is Idempotency.NON_IDEMPOTENT or self._key_expired(request)

    def finish_unserved(self, request: RequestState) -> None:
        """Answer at once: rejected if a retry by the client is safe, otherwise failed."""
        not_executed = request.first_execution_us is None and not request.in_flight
        everywhere = request.request_class.key_scope is KeyScope.ALL
        deduplicated = everywhere and request.idempotency is Idempotency.KEYED
        if not_executed or deduplicated or request.idempotency is Idempotency.IDEMPOTENT:
            self.state.reject(request)
        else:
            self.state.fail(request)

    def overdue_after_us(self, request: RequestState) -> float:
        """How long a response of this class may take before it is considered lost."""
        times = self.state.response_times_of(request)
        deviations_us = parameters.OVERDUE_DEVIATIONS * times.deviation_us
        return times.mean_us + max(deviations_us, parameters.OVERDUE_FLOOR_US)

    def attempt_timeout_us(self, request: RequestState) -> int:
        """Return the time-out of an attempt sent now."""
        timeout_us = min(request.deadline_us, request.useful_until_us) - self.state.now_us
        if self.state.settings.cancellation:
            return timeout_us
        return min(timeout_us, int(self.overdue_after_us(request)))

    def cancel_overdue(self) -> None:
        """Cancel overdue attempts of requests that can be retried."""
        # A hung endpoint or a lost response would otherwise hold the request until a response is worthless.
        if self.state.stalled or not self.state.settings.cancellation:
            return
        for request in self.state.requests.values():
            factor = parameters.PRIMARY_OVERDUE_FACTOR if request.primary_only else 1
            overdue_us = factor * self.overdue_after_us(request)
            for number, attempt in request.in_flight.items() if self._may_retry(request) else ():
                if self.state.now_us - attempt.sent_us > overdue_us:
                    self.state.cancel_attempt(request, number)

    def is_lost(self, request: RequestState, event: AttemptEnded) -> bool:
        """Whether an attempt got no response for reasons outside this router."""
        silent = event.outcome in (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.CANCELLED)
        return silent and not self.state.stalled and not request.finished

    def was_withdrawn(self, request: RequestState, event: AttemptEnded) -> bool:
        """Whether an attempt ended before its response was overdue."""
        # Otherwise clients with short deadlines would make healthy endpoints look silent and overloaded.
        objective_us = request.latency_objective_us - parameters.TICK_US
        early = event.duration_us < min(objective_us, self.overdue_after_us(request))
        return event.outcome is Outcome.CANCELLED or (event.outcome is Outcome.TIMEOUT and early)

    def _may_retry(self, request: RequestState) -> bool:
        attempts_remain = request.attempt_count < self.state.settings.max_attempts
        allowed = attempts_remain and request.idempotency is not Idempotency.NON_IDEMPOTENT
        return allowed and self.budget.balance >= 1 and not request.finished

    def _may_be_executed_on(self, request: RequestState, endpoint: EndpointState) -> bool:
        if request.idempotency is Idempotency.IDEMPOTENT or request.executed_on is None:
            return True
        if request.idempotency is Idempotency.NON_IDEMPOTENT or self._key_expired(request):
            return False
        same_zone = endpoint.info.zone == request.executed_on.zone
        return same_zone or request.request_class.key_scope is not KeyScope.ZONE

    def _is_exhausted(self, request: RequestState, end_us: int) -> bool:
        return self._is_too_late(end_us) or request.attempt_count >= self.state.settings.max_attempts

    def _is_too_late(self, end_us: int) -> bool:
        return self.state.now_us + parameters.MIN_REMAINING_US >= end_us

    def _key_expired(self, request: RequestState) -> bool:
        expires_us = (request.first_execution_us or 0) + request.request_class.deduplication_window_us
        return self.state.now_us > expires_us - parameters.MIN_REMAINING_US
