"""Runs attempts and health checks, and reports their outcomes. Makes no routing decisions."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from juniperreel.net import Clock
from juniperreel.net.clock import US
from juniperreel.proxy.attempts import AttemptRequest, EndpointConnections
from juniperreel.proxy.open_requests import Attempt, AttemptCompleted, HealthCheckCompleted
from juniperreel.proxy.outcomes import (
    ATTEMPT_ERRORS,
    is_statement_error,
    outcome_of_error,
    outcome_of_unfinished,
)
from juniperreel.routing.types import Outcome
from juniperreel.telemetry.traces import Traces


class AttemptRunner:
    """Runs attempts and health checks on the connections of one driver."""

    def __init__(
        self,
        connections: EndpointConnections,
        health_check_timeout_us: int,
        max_attempts: int,
        clock: Clock,
        log: Any,
        traces: Traces,
        confirm_send: Callable[[str, int], bool],
    ) -> None:
        """`confirm_send` asks the router whether an attempt may still be sent."""
        self._confirm_send = confirm_send
        self._connections = connections
        self._health_check_timeout_us = health_check_timeout_us
        self._max_attempts = max_attempts
        self._clock = clock
        self._log = log
        self._traces = traces

    async def run(self, attempt: Attempt, timeout_us: int) -> AttemptCompleted:
        """Run the attempt. Every end is reported as an outcome; only outside cancellation is raised."""
        deadline_us = attempt.started_us + timeout_us
        request_id = attempt.open_request.id
        with self._traces.span("attempt", request=request_id, member=attempt.endpoint, number=attempt.number):
            attempt.cancel_scope.deadline = self._clock.trio_time(deadline_us)
            with attempt.cancel_scope:
                return await self._execute(attempt, deadline_us)
        progress = attempt.progress
        outcome = outcome_of_unfinished(progress.sent.is_set(), attempt.cancelled, progress.waits_for_lease)
        return AttemptCompleted(attempt, outcome, self._clock.now_us())

    async def _execute(self, attempt: Attempt, deadline_us: int) -> AttemptCompleted:
        open_request = attempt.open_request
        attempt_request = AttemptRequest(
            request=open_request.request,
            number=attempt.number,
            class_name=open_request.request_class.name,
            is_write=open_request.is_write,
            priority_weight=open_request.request_class.priority_weight,
            required=attempt.required,
            may_send=partial(self._confirm_send, open_request.id, attempt.number),
            waiting_since_us=open_request.routed_us,
            is_last=attempt.number + 1 >= self._max_attempts,
        )
        remaining_us = deadline_us - self._clock.now_us()
        try:
            response = await self._connections.execute(
                attempt.endpoint, attempt_request, remaining_us, attempt.progress
            )
        except ATTEMPT_ERRORS as error:
            # An error in the statement is the request's result; the endpoint is healthy.
            outcome = Outcome.OK if is_statement_error(error) else outcome_of_error(error)
            return AttemptCompleted(attempt, outcome, self._clock.now_us(), error=error)
        except Exception as error:
            # Without this, a bug that a single attempt triggers would cancel the nursery and end the edge.
            # Whether the request was executed is unknown.
            self._log.error(
                "attempt raised unexpectedly",
                request=open_request.id,
                endpoint=attempt.endpoint,
                exc_info=error,
            )
            return AttemptCompleted(attempt, Outcome.ERROR, self._clock.now_us(), error=error)
        return AttemptCompleted(attempt, Outcome.OK, self._clock.now_us(), response)

    async def check_health(self, endpoint: str) -> HealthCheckCompleted:
        """Request the endpoint's report. Every end, a time-out included, is reported as an outcome."""
        started_us = self._clock.now_us()
        completed = HealthCheckCompleted(endpoint, Outcome.TIMEOUT, 0)
        with (
            self._traces.span("probe", member=endpoint),
            trio.move_on_after(self._health_check_timeout_us / US),
        ):
            completed = await self._fetch_report(endpoint)
        completed.duration_us = self._clock.now_us() - started_us
        return completed

    async def _fetch_report(self, endpoint: str) -> HealthCheckCompleted:
        try:
            report = await self._connections.check_health(endpoint)
        except ATTEMPT_ERRORS as error:
            return HealthCheckCompleted(endpoint, outcome_of_error(error), 0)
        except Exception as error:
            # As for attempts: a bug that a single endpoint triggers must not end the edge.
            self._log.error("health check raised unexpectedly", endpoint=endpoint, exc_info=error)
            return HealthCheckCompleted(endpoint, Outcome.ERROR, 0)
        return HealthCheckCompleted(endpoint, Outcome.OK, 0, report)
