"""Test harness that drives one router with scripted events, a simulated clock and simulated timers.

Times and durations are whole microseconds, as in the router's types.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.router import Router
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    Consistency,
    Endpoint,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    Idempotency,
    KeyScope,
    LoadReport,
    Outcome,
    Prices,
    Readiness,
    Request,
    RequestClass,
    Role,
    Send,
    SetTimer,
    Settings,
    StalenessGuard,
    Tenant,
    TimerFired,
    UpdateKind,
)

MS = 1_000
SEC = 1_000_000

START_US = 1000 * SEC
RESPONSE_US = 50 * MS
PRIMARY = "primary"
SESSION = "session"

BUSY_PRESSURE = 0.6
BUSY_SAMPLES = 4  # enough samples for the primary's own pressure to be used
IDLE_PRESSURE = 0.1

BOUNDED_READ = RequestClass(
    "bounded_read",
    Idempotency.IDEMPOTENT,
    KeyScope.ALL,
    deduplication_window_us=0,
    consistency=Consistency.BOUNDED,
    max_staleness_us=300 * MS,
    latency_objective_us=500 * MS,
    deadline_us=2 * SEC,
    priority_weight=1.0,
    late_priority_weight=0.2,
)
SESSION_READ = replace(BOUNDED_READ, name="session_read", consistency=Consistency.SESSION, max_staleness_us=0)
WRITE = replace(
    BOUNDED_READ,
    name="write",
    idempotency=Idempotency.KEYED,
    key_scope=KeyScope.GROUP,
    deduplication_window_us=5 * SEC,
    consistency=Consistency.WRITE,
    max_staleness_us=0,
    latency_objective_us=1 * SEC,
    deadline_us=5 * SEC,
    late_priority_weight=0.5,
)
ANY_READ = replace(BOUNDED_READ, name="any_read", consistency=Consistency.ANY, max_staleness_us=0)
NON_IDEMPOTENT_WRITE = replace(WRITE, name="non_idempotent_write", idempotency=Idempotency.NON_IDEMPOTENT)
FRESH_READ = replace(BOUNDED_READ, name="fresh_read", consistency=Consistency.FRESH, max_staleness_us=0)
CLASSES = (BOUNDED_READ, SESSION_READ, WRITE, ANY_READ, NON_IDEMPOTENT_WRITE, FRESH_READ)
CLASS_INDEX = {request_class.name: index for index, request_class in enumerate(CLASSES)}
CLASSES_OF_SESSIONS = {SESSION_READ.name, WRITE.name}

SETTINGS = Settings(
    router_count=2,
    zone=0,
    classes=CLASSES,
    tenants=(Tenant("a", 0.7, 100.0), Tenant("b", 0.3, 40.0)),
    over_quota_weight=0.1,
    prices=Prices(),
    max_attempts=6,
    cancellation=True,
    health_checks=True,
    hedging=False,
    retry_after_hints=True,
    max_retry_after_us=1 * SEC,
    response_grace_us=20 * MS,
    drain_grace_us=2 * SEC,
    removed_endpoints_serve=False,
    slow_start_initial_capacity=0.2,
    slow_start_us=15 * SEC,
    overload_multiple=2.0,
    overload_window_us=2 * SEC,
    must_poll=False,
    poll_interval_us=0,
    staleness_guard=StalenessGuard.OFF,
    staleness_wait_us=0,
    requests_carry_session_age=False,
    responses_carry_position=True,
    list_names_primary=True,
)

ActionT = TypeVar("ActionT", bound=Action)


def endpoint(
    name: str,
    *,
    group: int = 0,
    zone: int = 0,
    readiness: Readiness = Readiness.READY,
    listed_primary: bool = False,
    started_us: int = 0,
) -> Endpoint:
    """An entry of the endpoint list, ready and warm by default."""
    return Endpoint(name, group, zone, 0, readiness, listed_primary, 1.0, started_us)


def classes_with(changed: RequestClass) -> tuple[RequestClass, ...]:
    """The default classes, with the class of the same name replaced."""
    return tuple(changed if known.name == changed.name else known for known in CLASSES)


@dataclass(frozen=True, order=True)
class Timer:
    """A timer that the router has set."""

    due_us: int
    key: int


@dataclass(frozen=True)
class RecordedAction:
    """An action, and the time at which the router emitted it."""

    at_us: int
    action: Action


class RouterScript:
    """Drives one router with events, one batch per call, and records its actions."""

    def __init__(self, seed: int = 1, **settings: Any) -> None:
        """Create a router; `settings` override fields of `SETTINGS`."""
        self.settings = replace(SETTINGS, **settings)
        self.router = Router(self.settings, seed)
        self.now_us = START_US
        self.last_actions: list[Action] = []
        self.history: list[RecordedAction] = []
        self.timers: list[Timer] = []
        self._request_count = 0
        self._endpoints_tried: dict[str, list[str]] = {}

    # Time.

    def process(self, *events: Event) -> list[Action]:
        """Pass one batch of events to the router, and return its actions."""
        self.last_actions = self.router.handle(self.now_us, events)
        for action in self.last_actions:
            self.history.append(RecordedAction(self.now_us, action))
            if isinstance(action, SetTimer):
                self.timers.append(Timer(self.now_us + action.delay_us, action.key))
            elif isinstance(action, Send):
                self._endpoints_tried.setdefault(action.request, []).append(action.endpoint)
        return self.last_actions

    def advance_clock(self, duration_us: int) -> None:
        """Advance the clock without calling the router; due timers stay pending."""
        self.now_us += duration_us

    def run_for(self, duration_us: int) -> list[Action]:
        """Advance the clock, firing due timers, and return the actions emitted meanwhile."""
        end_us = self.now_us + duration_us
        done = len(self.history)
        while self.timers and min(self.timers).due_us <= end_us:
            due = min(self.timers)
            self.timers.remove(due)
            self.now_us = max(self.now_us, due.due_us)
            self.process(TimerFired(due.key))
        self.now_us = end_us
        return [recorded.action for recorded in self.history[done:]]

    # Endpoints.

    def update_endpoints(self, *endpoints: Endpoint, kind: UpdateKind = UpdateKind.CACHED) -> None:
        """Deliver the endpoint list or an update of it."""
        self.process(EndpointUpdate(kind, endpoints))

    def start_group(self, *replicas: str) -> None:
        """List a primary and these replicas, and report their roles and current positions."""
        names = (PRIMARY, *replicas)
        self.update_endpoints(*(endpoint(name, listed_primary=name == PRIMARY) for name in names))
        for name in names:
            self.pass_health_check(name, is_primary=name == PRIMARY)

    def pass_health_check(self, name: str, *, is_primary: bool = False, lag_us: int = 0) -> None:
        """End a health check with a report of the endpoint's role and of a position `lag_us` ago."""
        report = LoadReport(self.now_us - lag_us, is_primary)
        self.process(HealthCheckEnded(name, Outcome.OK, MS, report))

    def fail_health_check(self, name: str, duration_us: int = MS) -> None:
        """End a health check whose connection failed."""
        self.process(HealthCheckEnded(name, Outcome.UNREACHABLE, duration_us, None))

    def endpoint_state(self, name: str) -> EndpointState:
        """The router's record of an endpoint."""
        return self.router.state.endpoints[name]

    def set_srtt(self, name: str, srtt_us: float) -> None:
        """Set an endpoint's srtt as if it had been measured."""
        state = self.endpoint_state(name)
        state.srtt_us = srtt_us
        state.has_responded = True

    def set_position(self, name: str, lag_us: int = 0) -> None:
        """Set an endpoint's known applied position to `lag_us` ago."""
        self.endpoint_state(name).position_us = self.now_us - lag_us

    def forget_in_flight(self, name: str) -> None:
        """Clear the attempts in flight in an endpoint's record."""
        self.endpoint_state(name).in_flight.clear()

    def observe_pressure(self, name: str, pressure: float, samples: int = 1) -> None:
        """Add samples to an endpoint's own pressure."""
        for _ in range(samples):
            self.endpoint_state(name).pressure.observe(self.now_us, pressure)

    def make_primary_busy(self) -> None:
        """Add enough pressure that no read goes to the primary to avoid a position check."""
        self.observe_pressure(PRIMARY, BUSY_PRESSURE, BUSY_SAMPLES)

    def make_primary_idle(self) -> None:
        """Add a sample of low pressure, so that the primary is known to have capacity."""
        self.observe_pressure(PRIMARY, IDLE_PRESSURE)

    def eject_until(self, name: str, retry_at_us: int) -> None:
        """Mark an endpoint as ejected with a backoff that ends at this time."""
        state = self.endpoint_state(name)
        state.ejected = True
        state.retry_at_us = retry_at_us

    # Requests.

    def submit_request(
        self,
        request_class: RequestClass,
        *,
        session: str | None = None,
        group: int = 0,
        tenant_index: int = 0,
        deadline_in_us: int | None = None,
    ) -> str:
        """Submit a client's request, and return its id.

        The deadline defaults to that of the class, and the session of a session class to `SESSION`.
        """
        request_id = f"{self._request_count:016x}"
        self._request_count += 1
        index = CLASS_INDEX[request_class.name]
        if deadline_in_us is None:
            deadline_in_us = self.settings.classes[index].deadline_us
        if session is None and request_class.name in CLASSES_OF_SESSIONS:
            session = SESSION
        deadline_us = self.now_us + deadline_in_us
        self.process(Request(request_id, index, tenant_index, group, deadline_us, session=session))
        return request_id

    def end_attempt(
        self,
        request: str,
        outcome: Outcome = Outcome.OK,
        *,
        duration_us: int = RESPONSE_US,
        request_finished: bool | None = None,
        role: Role = Role.UNKNOWN,
        position_us: int | None = None,
    ) -> list[Action]:
        """End the request's latest attempt; by default, success finishes the request."""
        tried = self._endpoints_tried[request]
        if request_finished is None:
            request_finished = outcome is Outcome.OK
        return self.process(
            AttemptEnded(
                request,
                len(tried) - 1,
                tried[-1],
                outcome,
                duration_us,
                request_finished,
                role,
                position_us,
                None,
            )
        )

    def disconnect_client(self, request: str) -> None:
        """Disconnect the client of a request."""
        self.process(ClientDisconnected(request))

    # Recorded actions.

    def endpoints_tried(self, request: str) -> list[str]:
        """The endpoints that a request was sent to, in order."""
        return list(self._endpoints_tried.get(request, []))

    def first_endpoint(self, request: str) -> str:
        """The endpoint of a request's first attempt; raises IndexError if it was not sent."""
        return self.endpoints_tried(request)[0]

    def count_draws(self, request_class: RequestClass, requests: int) -> Counter[str]:
        """Submit requests without ending them, and count the endpoints of their first attempts."""
        submitted = (self.submit_request(request_class) for _ in range(requests))
        return Counter(self.first_endpoint(request) for request in submitted)

    def actions_of(self, kind: type[ActionT], request: str | None = None) -> list[ActionT]:
        """All actions of a kind so far, optionally only those of one request."""
        actions: list[ActionT] = []
        for recorded in self.history:
            action = recorded.action
            if isinstance(action, kind) and request in (None, getattr(action, "request", None)):
                actions.append(action)
        return actions
