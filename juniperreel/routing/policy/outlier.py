"""Outlier detection: ejects endpoints that lose responses, health-checks and reinstates them."""

from dataclasses import dataclass

from juniperreel.routing.endpoint_state import DISTANT_PAST_US, EndpointState
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.endpoint_list import EndpointTracker
from juniperreel.routing.policy.retry import RetryPolicy
from juniperreel.routing.state import GroupState, RequestState, RouterState
from juniperreel.routing.types import AttemptEnded, HealthCheckEnded, Outcome


@dataclass(slots=True)
class OutlierDetector:
    """Maintains failure counts and the ejection state of endpoints."""

    state: RouterState
    endpoints: EndpointTracker
    retries: RetryPolicy

    def accepts_attempt(self, endpoint: EndpointState) -> bool:
        """Ejected endpoints get one attempt at a time, after the backoff and a passed health check."""
        # Failed attempts lengthen the backoff, so an endpoint that passes checks but fails requests is not
        # retried in an endless cycle.
        if not endpoint.ejected:
            return True
        check_age_us = self.state.now_us - endpoint.passed_check_us
        passed = check_age_us < parameters.PASSED_CHECK_TTL_US or not self.state.settings.health_checks
        return passed and self.state.now_us >= endpoint.retry_at_us and not endpoint.in_flight

    def check_ejected(self, group: GroupState) -> None:
        """Start health checks of the group's ejected endpoints whose backoff has ended."""
        for endpoint in group.endpoints:
            next_check_us = max(endpoint.retry_at_us, endpoint.checked_us + parameters.CHECK_INTERVAL_US)
            due = endpoint.ejected and self.state.now_us >= next_check_us and not endpoint.in_flight
            if due and self.endpoints.may_receive(endpoint, group) and not self.accepts_attempt(endpoint):
                self.state.start_health_check(endpoint)

    def on_health_check(self, endpoint: EndpointState, event: HealthCheckEnded) -> None:
        """Record a passed check, or eject the endpoint if it did not respond."""
        now_us = self.state.now_us
        if event.outcome is Outcome.OK:
            endpoint.passed_check_us = now_us
        failed = event.outcome in (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT)
        if failed and not self.state.stalled:
            # An endpoint that was only unreachable is still warm and must not be treated as restarted later.
            refused = event.duration_us < parameters.CONNECTION_REFUSED_US
            if refused and event.outcome is Outcome.UNREACHABLE:
                endpoint.down_since_us = endpoint.down_since_us or now_us
            endpoint.passed_check_us = DISTANT_PAST_US
            endpoint.eject(now_us)

    def on_outcome(self, endpoint: EndpointState, request: RequestState, event: AttemptEnded) -> None:
        """Update the endpoint's success rate, losses and ejection by the outcome of an attempt."""
        now_us = self.state.now_us
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.INELIGIBLE):
            endpoint.observe_response(now_us)
        if endpoint.ejected and outcome in (Outcome.OK, Outcome.INELIGIBLE):
            self.reinstate(endpoint)
        if outcome is Outcome.OK:
            endpoint.success_rate.observe(now_us, succeeded=True)
            for blamed in request.blamed_endpoints:  # served elsewhere: the error was the endpoint's
                blamed.success_rate.observe(now_us, succeeded=False)
        elif outcome is Outcome.ERROR:
            request.blamed_endpoints.append(endpoint)
        elif outcome is Outcome.REJECTED:
            endpoint.success_rate.observe(now_us, succeeded=False)
        elif self.retries.is_lost(request, event):
            # If the endpoint responded to others meanwhile, the withdrawn request was merely slow.
            silent = endpoint.last_response_us < now_us - event.duration_us
            if silent or not self.retries.was_withdrawn(request, event):
                self.record_loss(endpoint, outcome)
        elif outcome is Outcome.RESET and not self.state.stalled and not request.finished:
            # Sporadic resets indicate neither overload nor a hang: an endpoint that resets one connection in
            # ten would be shed and ejected permanently. A crashed endpoint refuses the next connection.
            endpoint.observe_failure(now_us, parameters.LOSS_PENALTY, parameters.MAX_SRTT_US)

    def record_loss(self, endpoint: EndpointState, cause: Outcome) -> None:
        """Count a lost response or refused connection, and eject the endpoint after consecutive ones."""
        # Hung endpoints do not respond, crashed ones break connections; a single loss is noise. If most of
        # the group fails, the fault is shared and ejection would only shift the load, so only the selection
        # weight changes. Refused connections are unambiguous and skip this check.
        endpoint.observe_failure(self.state.now_us, parameters.LOSS_PENALTY, parameters.MAX_SRTT_US)
        endpoint.consecutive_losses += 1
        if endpoint.consecutive_losses < parameters.LOSSES_TO_EJECT:
            return
        if cause is Outcome.UNREACHABLE or self._majority_is_healthy(endpoint):
            if not endpoint.ejected:
                self.state.log("endpoint ejected", endpoint=endpoint.info.id, cause=cause.value)
            endpoint.eject(self.state.now_us)

    def reinstate(self, endpoint: EndpointState) -> None:
        """End the ejection of an endpoint that has responded."""
        now_us = self.state.now_us
        if endpoint.down_since_us and now_us - endpoint.down_since_us > parameters.RESTART_AFTER_US:
            endpoint.restart_slow_start(now_us)  # the list may not show the restart yet; avoids overload
        endpoint.clear_ejection()

    def _majority_is_healthy(self, endpoint: EndpointState) -> bool:
        group = self.state.group_with(endpoint)
        serving = [e for e in group.endpoints if self.endpoints.may_receive(e, group)]
        return 2 * len([e for e in serving if not e.ejected]) > len(group.endpoints)
