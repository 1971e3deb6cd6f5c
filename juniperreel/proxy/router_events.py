"""Translates host events of the request driver to router events. Performs no I/O.

On the way, positions are translated between clocks and epochs, responses are checked, and a request is
answered by the first response that passes the checks.
"""

from __future__ import annotations

from typing import Any

from juniperreel.net.clock import US
from juniperreel.proxy.endpoint_registry import EndpointRegistry
from juniperreel.proxy.open_requests import (
    AttemptCompleted,
    EndpointListUpdated,
    HealthCheckCompleted,
    OpenRequest,
)
from juniperreel.proxy.positions import PositionTracker
from juniperreel.proxy.request_table import RequestTable
from juniperreel.proxy.response_check import ResponseCheck
from juniperreel.routing.types import (
    AttemptEnded,
    EndpointUpdate,
    HealthCheckEnded,
    LoadReport,
    Outcome,
    Request,
)
from juniperreel.telemetry.metrics import Metrics


class RouterEventTranslator:
    """Translates one driver's events; subtracts `answer_margin_us` from the deadlines of requests."""

    def __init__(
        self,
        requests: RequestTable,
        positions: PositionTracker,
        registry: EndpointRegistry,
        answer_margin_us: int,
        log: Any,
        metrics: Metrics,
    ) -> None:
        self._requests = requests
        self._positions = positions
        self._registry = registry
        self._answer_margin_us = answer_margin_us
        self._log = log
        self._metrics = metrics
        self._response_check = ResponseCheck(positions, metrics)

    def request(self, open_request: OpenRequest, now_us: int) -> Request:
        """Translate a request on its way to the router."""
        request = open_request.request
        open_request.routed_us = now_us
        request.token = self._positions.with_carried_commits(request.group, request.token)
        return Request(
            id=request.id,
            class_index=request.class_index,
            tenant_index=request.tenant_index,
            group=request.group,
            deadline_us=request.deadline_us - self._answer_margin_us,
            session=request.session,
            session_age_us=self._positions.session_age(now_us, request.group, request.token),
            is_retry=request.is_retry,
        )

    def attempt_ended(self, completed: AttemptCompleted, client_disconnected: bool) -> AttemptEnded:
        """Check the attempt's response, and answer its request if the response passes.

        `client_disconnected` tells that the client disconnected in the same batch, which takes precedence
        over the response.
        """
        attempt = completed.attempt
        open_request = attempt.open_request
        open_request.in_flight.pop(attempt.number, None)
        checked = self._response_check.check(completed)
        self._record_attempt(completed, checked.outcome)
        is_ok = checked.outcome is Outcome.OK
        if is_ok:
            self._answer(completed, client_disconnected)
        else:
            open_request.last_outcome = checked.outcome
            completed.discard_response()
        self._requests.remove_if_done(open_request)
        return AttemptEnded(
            request=open_request.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint,
            outcome=checked.outcome,
            duration_us=max(completed.duration_us, 0),
            request_finished=is_ok,
            role=checked.role,
            position_us=checked.position_us,
            load_report=None,
        )

    def _record_attempt(self, completed: AttemptCompleted, outcome: Outcome) -> None:
        attempt = completed.attempt
        self._log.debug(
            "attempt ended",
            request=attempt.open_request.id,
            number=attempt.number,
            endpoint=attempt.endpoint,
            outcome=outcome.value,
            duration_us=completed.duration_us,
        )
        self._metrics.attempt(outcome.value).inc()
        self._metrics.attempt_duration(outcome.value).observe(completed.duration_us / US)

    def _answer(self, completed: AttemptCompleted, client_disconnected: bool) -> None:
        open_request = completed.attempt.open_request
        open_request.served_us = completed.duration_us
        if open_request.answer is not None or client_disconnected:
            self._metrics.late_answers.inc()
            completed.discard_response()
        else:
            self._requests.answer(open_request, self._response_check.answer(completed))

    def health_check_ended(self, completed: HealthCheckCompleted) -> HealthCheckEnded:
        """Record the endpoint's status, and translate its report."""
        self._metrics.probes.labels(completed.outcome.value).inc()
        load_report = None
        report = completed.report
        if report is not None:
            group = self._registry.group_of(completed.endpoint)
            self._positions.record_status(group, report.status)
            load_report = LoadReport(
                position_us=self._positions.applied_position(group, report.status),
                is_primary=self._positions.is_primary(group, report.status),
                in_flight=report.in_flight,
                queued=report.queued,
            )
        return HealthCheckEnded(completed.endpoint, completed.outcome, completed.duration_us, load_report)

    def endpoint_update(self, update: EndpointListUpdated) -> EndpointUpdate:
        """Translate an update, with start times on the router's clock."""
        skew_us = self._positions.skew_us
        endpoints = tuple(endpoint.router_endpoint(skew_us) for endpoint in update.endpoints)
        return EndpointUpdate(update.kind, endpoints)
