"""Outlier detection: endpoints that lose responses are ejected, health-checked, and reinstated."""

from dataclasses import dataclass

from juniperreel.routing.endpoint_state import DISTANT_PAST_US, EndpointState
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.endpoint_list import EndpointTracker
from juniperreel.routing.policy.retry import RetryPolicy
from juniperreel.routing.state import GroupState, RequestState, RouterState
from juniperreel.routing.types import AttemptEnded, HealthCheckEnded, Outcome


@dataclass(slots=True)
class OutlierDetector:
    """Owns the failure counts of endpoints, and which of them are ejected."""

    state: RouterState
    endpoints: EndpointTracker
    retries: RetryPolicy

    def accepts_attempt(self, endpoint: EndpointState) -> bool:
        """An ejected endpoint gets single attempts, after a backoff and once a health check has passed."""
        # Their failures lengthen the backoff, so that checks passing beside them start no endless cycle.
        if not endpoint.ejected:
            return True
        check_age_us = self.state.now_us - endpoint.passed_check_us
        passed = check_age_us < parameters.PASSED_CHECK_TTL_US or not self.state.settings.health_checks
        return passed and self.state.now_us >= endpoint.retry_at_us and not endpoint.in_flight

    def check_ejected(self, group: GroupState) -> None:
        """Health-check the group's ejected endpoints whose backoff is over."""
        for endpoint in group.endpoints:
            next_check_us = max(endpoint.retry_at_us, endpoint.checked_us + parameters.CHECK_INTERVAL_US)
            due = endpoint.ejected and self.state.now_us >= next_check_us and not endpoint.in_flight
            if due and self.endpoints.may_receive(endpoint, group) and not self.accepts_attempt(endpoint):
                self.state.start_health_check(endpoint)

    def on_health_check(self, endpoint: EndpointState, event: HealthCheckEnded) -> None:
        """Take note that a check passed, or eject the endpoint where it got no response."""
        now_us = self.state.now_us
        if event.outcome is Outcome.OK:
            endpoint.passed_check_us = now_us
        failed = event.outcome in (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT)
        if failed and not self.state.stalled:
            # An endpoint that was only cut off is warm, and must not be taken for restarted when it is back.
            refused = event.duration_us < parameters.CONNECTION_REFUSED_US
            if refused and event.outcome is Outcome.UNREACHABLE:
                endpoint.down_since_us = endpoint.down_since_us or now_us
            endpoint.passed_check_us = DISTANT_PAST_US
            endpoint.eject(now_us)

    def on_outcome(self, endpoint: EndpointState, request: RequestState, event: AttemptEnded) -> None:
        """Count the end of an attempt for the endpoint, or against it."""
        now_us = self.state.now_us
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.INELIGIBLE):
            endpoint.observe_response(now_us)
        if endpoint.ejected and outcome in (Outcome.OK, Outcome.INELIGIBLE):
            self.reinstate(endpoint)
        if outcome is Outcome.OK:
            endpoint.success_rate.observe(now_us, succeeded=True)
            for blamed in request.blamed_endpoints:  # the request was sound, so the error was the endpoint's
                blamed.success_rate.observe(now_us, succeeded=False)
        elif outcome is Outcome.ERROR:
            request.blamed_endpoints.append(endpoint)
        elif outcome is Outcome.REJECTED:
            endpoint.success_rate.observe(now_us, succeeded=False)
        elif self.retries.is_lost(request, event):
            # One that has responded meanwhile is well, and the request that was withdrawn is slow.
            silent = endpoint.last_response_us < now_us - event.duration_us
            if silent or not self.retries.was_withdrawn(request, event):
                self.record_loss(endpoint, outcome)
        elif outcome is Outcome.RESET and not self.state.stalled and not request.finished:
            # Connections that break here and there are no load and no silence: endpoints that lose one in ten
            # would be shed and ejected all day. One that died refuses the next connection.
            endpoint.observe_failure(now_us, parameters.LOSS_PENALTY, parameters.MAX_SRTT_US)

    def record_loss(self, endpoint: EndpointState, cause: Outcome) -> None:
        """Count a lost response or refused connection, and eject the endpoint if it repeats."""
        # Hung endpoints swallow requests, dead ones break connections; a single loss is noise. Where most of
        # the group fails, the fault is shared and ejecting would only move the load: the selection weight
        # alone reacts. Refused connections are unambiguous and skip that check.
        endpoint.observe_failure(self.state.now_us, parameters.LOSS_PENALTY, parameters.MAX_SRTT_US)
        endpoint.consecutive_losses += 1
        if endpoint.consecutive_losses < parameters.LOSSES_TO_EJECT:
            return
        if cause is Outcome.UNREACHABLE or self._majority_is_healthy(endpoint):
            if not endpoint.ejected:
                self.state.log("endpoint ejected", endpoint=endpoint.info.id, cause=cause.value)
            endpoint.eject(self.state.now_us)

    def reinstate(self, endpoint: EndpointState) -> None:
        """End the ejection, of an endpoint that has responded."""
        now_us = self.state.now_us
        if endpoint.down_since_us and now_us - endpoint.down_since_us > parameters.RESTART_AFTER_US:
            endpoint.restart_slow_start(now_us)  # before a list says so, or it would be overloaded
        endpoint.clear_ejection()

    def _majority_is_healthy(self, endpoint: EndpointState) -> bool:
        group = self.state.group_with(endpoint)
        serving = [e for e in group.endpoints if self.endpoints.may_receive(e, group)]
        return 2 * len([e for e in serving if not e.ejected]) > len(group.endpoints)
