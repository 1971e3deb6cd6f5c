"""One router's view of endpoints, groups and requests, shared by the components of its policy.

Plain records and their updates, without policy decisions or tuning parameters. Times and log positions are in
microseconds on the router's clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from juniperreel.routing.endpoint_state import DISTANT_PAST_US, EndpointState, InFlightAttempt
from juniperreel.routing.estimators import (
    Backoff,
    DecayingMean,
    MovingAverage,
    ResponseTimes,
    SuccessRate,
)
from juniperreel.routing.sessions import SessionTable
from juniperreel.routing.throttle import LogThrottle
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    Cancel,
    Consistency,
    Endpoint,
    Fail,
    LoadReport,
    Log,
    Outcome,
    Readiness,
    Reject,
    Request,
    RequestClass,
    Send,
    Settings,
    StartHealthCheck,
)

COMMIT_ROUNDING_US = 1_000  # commit times are reported in whole milliseconds

NOT_EXECUTED = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.INELIGIBLE)
PRIMARY_ONLY = (Consistency.WRITE, Consistency.FRESH)  # served by the primary only


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """An attempt in flight, as recorded for its request."""

    sent_us: int
    endpoint: EndpointState


class RequestState:
    """A request that has no final answer yet, or still has an attempt in flight."""

    def __init__(
        self,
        request: Request,
        request_class: RequestClass,
        now_us: int,
        useful_until_us: int,
        queue_deadline_us: int,
    ) -> None:
        self.id = request.id
        self.request = request
        self.request_class = request_class
        self.consistency = request_class.consistency
        self.idempotency = request_class.idempotency
        self.latency_objective_us = request_class.latency_objective_us
        self.is_write = self.consistency is Consistency.WRITE
        self.primary_only = self.consistency in PRIMARY_ONLY
        self.received_us = now_us
        self.useful_until_us = useful_until_us  # a later response is worth little
        self.queue_deadline_us = queue_deadline_us  # limit of queueing while unsent
        self.queued_until_us = now_us
        self.required_position_us = DISTANT_PAST_US  # position that a replica must have applied
        self.primary_required = False  # no replica position is sufficient
        self.attempt_count = 0
        self.position_checks = 0
        self.error_count = 0
        self.in_flight: dict[int, SentAttempt] = {}
        self.first_execution_us: int | None = None  # send time of the first possible execution
        self.executed_on: Endpoint | None = None
        self.avoided_endpoint: str | None = None
        # Endpoints that responded with an error; at fault if another endpoint serves the request.
        self.blamed_endpoints: list[EndpointState] = []
        self.reached_endpoint = False
        self.pressure = 0.0  # on the endpoint chosen for it
        self.finished = False

    @property
    def deadline_us(self) -> int:
        """When the answer is due; may have been shortened since the request arrived."""
        return self.request.deadline_us

    @property
    def session_key(self) -> tuple[int, str | None]:
        """Key of the session table: sessions are tracked per group."""
        return (self.request.group, self.request.session)


Endpoints = list[EndpointState]


class GroupState:
    """A replication group."""

    def __init__(self, pressure: DecayingMean) -> None:
        self.endpoints: list[EndpointState] = []  # by id
        self.primary: EndpointState | None = None
        self.listed_primary: EndpointState | None = None
        self.queued: dict[str, RequestState] = {}
        self.pressure = pressure  # of its replicas
        self.session_watermark_us = DISTANT_PAST_US  # latest commit of evicted sessions


@dataclass(frozen=True, slots=True)
class EstimatorFactory:
    """Creates estimators with the policy's parameters; `success_rate` takes the current time."""

    pressure: Callable[[], DecayingMean]
    success_rate: Callable[[int], SuccessRate]
    backoff: Callable[[], Backoff]


class RouterState:
    """Tables, current time and random source of one router, and the actions of the current batch."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        *,
        response_times: list[ResponseTimes],
        mean_load: MovingAverage,
        sessions: SessionTable,
        log_interval_us: int,
        estimator_factory: EstimatorFactory,
    ) -> None:
        """Create empty tables; `response_times` is indexed by class."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0
        self.stalled = False  # the event loop was late, which may itself explain missing responses
        self.actions: list[Action] = []
        self.endpoints: dict[str, EndpointState] = {}
        self.groups: dict[int, GroupState] = {}
        self.requests: dict[str, RequestState] = {}
        self._session_writes: dict[tuple[int, str | None], dict[tuple[str, int], SentAttempt]] = {}
        self.response_times = response_times
        self.mean_load = mean_load  # of all endpoints' reports, per unit of capacity
        self.sessions = sessions
        self._log_throttle = LogThrottle(log_interval_us)
        self._estimator_factory = estimator_factory

    def emit(self, action: Action) -> None:
        """Add an action to the current batch."""
        self.actions.append(action)

    def log(self, event: str, **fields: object) -> None:
        """Log an event with its fields, rate limited per distinct message."""
        message = " ".join([event, *(f"{name}={value}" for name, value in fields.items())])
        if self._log_throttle.passes(message, self.now_us):
            self.emit(Log(message))

    def group(self, number: int) -> GroupState:
        """Return the group's record, creating it on first use."""
        group = self.groups.get(number)
        if group is None:
            group = GroupState(self.new_pressure())
            self.groups[number] = group
        return group

    def new_pressure(self) -> DecayingMean:
        """Create a pressure estimator without samples."""
        return self._estimator_factory.pressure()

    def group_of(self, request: RequestState) -> GroupState:
        """Return the group that a request is for."""
        return self.group(request.request.group)

    def group_with(self, endpoint: EndpointState) -> GroupState:
        """Return the group that an endpoint serves."""
        return self.group(endpoint.info.group)

    def response_times_of(self, request: RequestState) -> ResponseTimes:
        """Return the response times of the request's class."""
        return self.response_times[request.request.class_index]

    def start_health_check(self, endpoint: EndpointState) -> None:
        """Request the endpoint's load report."""
        endpoint.checked_us = self.now_us
        self.emit(StartHealthCheck(endpoint.info.id))

    # Requests and their attempts.

    def observe_execution(self, request: RequestState, attempt: SentAttempt, outcome: Outcome) -> None:
        """Record whether an attempt reached an endpoint, and the first one that may have been executed."""
        if outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT):
            request.reached_endpoint = True
        if outcome not in NOT_EXECUTED and request.first_execution_us is None:
            request.first_execution_us = attempt.sent_us
            request.executed_on = attempt.endpoint.info

    def queue(self, request: RequestState) -> None:
        """Queue a request until its endpoint, or what is known of it, changes."""
        self.group_of(request).queued[request.id] = request

    def start_attempt(self, request: RequestState, endpoint: EndpointState, timeout_us: int) -> None:
        """Send the request to an endpoint."""
        number = request.attempt_count
        request.attempt_count += 1
        attempt = SentAttempt(self.now_us, endpoint)
        request.in_flight[number] = attempt
        if request.is_write:
            self._session_writes.setdefault(request.session_key, {})[(request.id, number)] = attempt
        endpoint.in_flight[(request.id, number)] = InFlightAttempt(self.now_us, request.latency_objective_us)
        self.emit(Send(request.id, endpoint.info.id, timeout_us))

    def end_attempt(self, request: RequestState, event: AttemptEnded) -> SentAttempt:
        """Remove an attempt from the records of its request and endpoint."""
        attempt = request.in_flight.pop(event.attempt)
        attempt.endpoint.in_flight.pop((event.request, event.attempt), None)
        if request.is_write:
            self._forget_session_write(request, event.attempt)
        return attempt

    def _forget_session_write(self, request: RequestState, number: int) -> None:
        writes = self._session_writes[request.session_key]
        del writes[(request.id, number)]
        if not writes:
            del self._session_writes[request.session_key]

    def cancel_attempt(self, request: RequestState, number: int) -> None:
        """Cancel one attempt; its `AttemptEnded` must still follow."""
        self.emit(Cancel(request.id, number))

    def cancel_attempts(self, request: RequestState) -> None:
        """Cancel the attempts of an open request, where cancellation is enabled."""
        if self.settings.cancellation and not request.finished:
            for attempt in request.in_flight:
                self.cancel_attempt(request, attempt)

    def finish(self, request: RequestState) -> None:
        """Mark a request as answered; its record is removed with its last attempt."""
        request.finished = True
        self.group_of(request).queued.pop(request.id, None)
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def reject(self, request: RequestState) -> None:
        """Answer that the request was rejected, with the maximum retry-after hint if hints are enabled."""
        hint_us = self.settings.max_retry_after_us if self.settings.retry_after_hints else 0
        self.emit(Reject(request.id, hint_us))
        self.cancel_attempts(request)
        self.finish(request)

    def fail(self, request: RequestState) -> None:
        """Answer that the request failed, and that its effect is unknown."""
        self.emit(Fail(request.id))
        self.cancel_attempts(request)
        self.finish(request)

    def wake_position_checks(self, group: GroupState) -> None:
        """Make reads that wait for a position check due for dispatch at once."""
        for request in group.queued.values():
            if request.position_checks:
                request.queued_until_us = min(request.queued_until_us, self.now_us)

    # Sessions.

    def session_commit_us(self, request: RequestState) -> int:
        """Return the session's latest commit, or its group's watermark if the session is not in the table."""
        commit_us = self.sessions.commit_us(request.session_key)
        return self.group_of(request).session_watermark_us if commit_us is None else commit_us

    def record_commit(self, request: RequestState, commit_us: int) -> None:
        """Record a commit of the request's session.

        To bound the table, the oldest sessions are evicted and their commits raise the group's watermark.
        """
        self.sessions.record(request.session_key, commit_us)
        while (evicted := self.sessions.evict_one(self.now_us)) is not None:
            group = self.group(evicted.group)
            group.session_watermark_us = max(group.session_watermark_us, evicted.commit_us)

    def writes_in_flight(self, request: RequestState) -> Iterable[SentAttempt]:
        """Return the attempts in flight of writes of the request's session."""
        return self._session_writes.get(request.session_key, {}).values()

    # Observations.

    def observe_positions(self, request: RequestState, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record the endpoint's position and the session's commit at the end of an attempt.

        Commit times are rounded up, so the position they prove is slightly lower. A write without a response
        that may have been executed counts as committed now.
        """
        if event.position_us is not None:
            rounding_us = COMMIT_ROUNDING_US if request.is_write else 0
            endpoint.observe_position(event.position_us - rounding_us, self.now_us)
        if request.is_write and event.outcome not in NOT_EXECUTED:
            committed_us = event.position_us if event.outcome is Outcome.OK else None
            self.record_commit(request, committed_us or self.now_us)

    def observe_response_time(
        self, request: RequestState, endpoint: EndpointState, response_us: int, smoothing: float
    ) -> None:
        """Record a response time for its endpoint and its class."""
        endpoint.observe_response_time(response_us, smoothing)
        self.response_times_of(request).observe(response_us)

    def observe_load_report(
        self, endpoint: EndpointState, report: LoadReport | None, min_capacity: float
    ) -> None:
        """Record the position that an endpoint reports, and its load per unit of capacity."""
        if report is None:
            return
        if report.position_us is not None:
            endpoint.observe_position(report.position_us, self.now_us)
        load = report.queued if report.in_flight is None else report.in_flight
        if load is not None:
            endpoint.reported_load = load / max(endpoint.info.capacity, min_capacity)
            endpoint.load_reported_us = self.now_us
            self.mean_load.observe(endpoint.reported_load)

    def adjust_endpoint_clock(self, shift_us: int) -> None:
        """Correct endpoint times by `shift_us`, and discard state that was compared with them.

        Positions must be observed again, and session reads require all commits up to now.
        """
        for endpoint in self.endpoints.values():
            endpoint.position_us = DISTANT_PAST_US
            endpoint.shift_start(shift_us)
        self.sessions.clear()
        for group in self.groups.values():
            group.session_watermark_us = self.now_us

    def ready_endpoints(self) -> list[EndpointState]:
        """Return the endpoints that the list shows as ready."""
        return [e for e in self.endpoints.values() if e.info.readiness is Readiness.READY]

    # Endpoints.

    def add_endpoint(self, info: Endpoint, srtt_us: float, slow_start_tokens: float) -> EndpointState:
        """Create the record of an endpoint that is new in the list."""
        endpoint = EndpointState(
            info,
            self.now_us,
            self._estimator_factory.success_rate(self.now_us),
            self.new_pressure(),
            self._estimator_factory.backoff(),
            srtt_us,
            slow_start_tokens,
        )
        self.endpoints[info.id] = endpoint
        return endpoint

    def unlisted_endpoints(self, listed: Iterable[Endpoint]) -> list[EndpointState]:
        """Return known endpoints, not yet removed, that are missing from a complete list."""
        names = {info.id for info in listed}
        known = [e for e in self.endpoints.values() if e.info.id not in names]
        return [endpoint for endpoint in known if endpoint.info.readiness is not Readiness.REMOVED]

    def forget_removed_endpoints(self, ttl_us: int) -> None:
        """Delete endpoints that left the list more than `ttl_us` ago and have no attempt in flight."""
        for endpoint in list(self.endpoints.values()):
            removed = endpoint.info.readiness is Readiness.REMOVED
            if removed and not endpoint.in_flight and self.now_us - endpoint.readiness_changed_us > ttl_us:
                del self.endpoints[endpoint.info.id]

    def rebuild_groups(self, include_removed: bool) -> None:
        """Assign known endpoints to their groups, and clear primaries that are no longer known."""
        for group in self.groups.values():
            group.endpoints = []
            group.primary = self._if_still_known(group.primary)
            group.listed_primary = self._if_still_known(group.listed_primary)
        for _, endpoint in sorted(self.endpoints.items()):
            if include_removed or endpoint.info.readiness is not Readiness.REMOVED:
                self.group(endpoint.info.group).endpoints.append(endpoint)

    def _if_still_known(self, endpoint: EndpointState | None) -> EndpointState | None:
        return self.endpoints.get(endpoint.info.id) if endpoint is not None else None
