"""Random legal sequences of events: the five safety rules are checked from events and actions alone."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.routing.router import Router
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Consistency,
    Endpoint,
    EndpointUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    KeyScope,
    LoadReport,
    Outcome,
    Readiness,
    Reject,
    Request,
    RequestClass,
    Role,
    Send,
    SetTimer,
    StartHealthCheck,
    TimerFired,
    UpdateKind,
)
from tests.routing.router_script import CLASSES, MS, SEC, SETTINGS, Timer, endpoint

NOT_EXECUTED = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.INELIGIBLE}
OUTCOMES_WITH_ROLE = (Outcome.OK, Outcome.INELIGIBLE, Outcome.ERROR)

START_US = 50 * SEC
STEPS = 150
DRAIN_STEPS = 60
DRAIN_STEP_US = 100 * MS
ANSWER_GRACE_US = 420 * MS  # the longest step, and the tick of the router
MAX_DRAINING = 3

RESPONSE_PROBABILITY = 0.4
DISCONNECT_PROBABILITY = 0.02
FAILOVER_BELOW = 0.03
LAG_CHANGE_BELOW = 0.05
DRAIN_BELOW = 0.06


class Fleet:
    """The endpoints as they really are."""

    def __init__(self, now_us: int) -> None:
        self.names = ["a", "b", "c", "d"]
        self.zones = {name: number % 2 for number, name in enumerate(self.names)}
        self.primary = "a"
        self.has_been_primary = {"a"}
        self.observed_as_replica: set[str] = set()  # since it was primary, as the router was told
        self.positions_us = dict.fromkeys(self.names, now_us)
        self.lags_us = dict.fromkeys(self.names, 5 * MS)
        self.draining_since_us: dict[str, int] = {}

    def replicate(self, now_us: int) -> None:
        """Let all endpoints apply what their lag allows."""
        for name in self.names:
            lag_us = 0 if name == self.primary else self.lags_us[name]
            self.positions_us[name] = max(self.positions_us[name], now_us - lag_us)

    def fail_over(self, successor: str) -> None:
        self.primary = successor
        self.has_been_primary.add(successor)
        self.observed_as_replica.discard(successor)

    def role(self, name: str) -> Role:
        return Role.PRIMARY if name == self.primary else Role.REPLICA

    def may_be_taken_for_primary(self, name: str) -> bool:
        """Whether the router could not know better than to take this endpoint for the primary."""
        stepped_down_unobserved = name in self.has_been_primary and name not in self.observed_as_replica
        return name == self.primary or stepped_down_unobserved

    def listed(self) -> tuple[Endpoint, ...]:
        """The endpoint list; it names the first primary for good."""
        return tuple(
            endpoint(
                name,
                zone=self.zones[name],
                listed_primary=name == "a",
                readiness=Readiness.DRAINING if name in self.draining_since_us else Readiness.READY,
            )
            for name in self.names
        )


@dataclass(frozen=True)
class Execution:
    """An attempt that may have been executed."""

    sent_us: int
    endpoint: str


@dataclass(frozen=True)
class AttemptInFlight:
    """An attempt whose end is owed."""

    endpoint: str
    sent_us: int
    timeout_at_us: int


@dataclass
class RequestRecord:
    """A request and what became of it."""

    request: Request
    request_class: RequestClass
    required_position_us: int  # the last commit of its session when it arrived
    is_open: bool = True
    attempt_count: int = 0
    first_execution: Execution | None = None


class Simulation:
    """Drives a router by random events, and checks its actions against the rules."""

    def __init__(self, seed: int, changes: dict[str, object]) -> None:
        self.random = random.Random(seed)
        scope = self.random.choice(list(KeyScope))
        classes = tuple(replace(request_class, key_scope=scope) for request_class in CLASSES)
        self.settings = replace(SETTINGS, classes=classes, **changes)  # type: ignore[arg-type]
        self.router = Router(self.settings, seed)
        self.now_us = START_US
        self.fleet = Fleet(self.now_us)
        self.requests: dict[str, RequestRecord] = {}
        self.in_flight: dict[tuple[str, int], AttemptInFlight] = {}
        self.commits_us: dict[str, int] = {}  # by session
        self.timers: list[Timer] = []
        self.health_checks: list[str] = []

    def open_requests(self) -> list[RequestRecord]:
        return [record for record in self.requests.values() if record.is_open]

    def process(self, events: list[Event]) -> None:
        self.check_actions(self.router.handle(self.now_us, events))

    # Events.

    def step(self) -> None:
        """Let some time pass, and hand the router what happened meanwhile in one batch."""
        self.now_us += self.random.choice([0, 1, 5 * MS, 20 * MS, 90 * MS, 400 * MS])
        self.fleet.replicate(self.now_us)
        observed_as_replica: set[str] = set()
        events: list[Event] = [
            *self.due_timers(),
            *self.ended_attempts(observed_as_replica),
            *self.ended_health_checks(),
            *self.disconnects(),
            *self.fleet_changes(observed_as_replica),
            *self.new_requests(),
        ]
        self.process(events)
        self.fleet.observed_as_replica |= observed_as_replica

    def drain_step(self) -> None:
        """Let time pass in which nothing happens but timers and time-outs."""
        self.now_us += DRAIN_STEP_US
        events: list[Event] = list(self.due_timers())
        observed_as_replica: set[str] = set()
        for (request, number), attempt in list(self.in_flight.items()):
            if self.now_us >= attempt.timeout_at_us:
                events.append(self.end_attempt(request, number, True, observed_as_replica))
        self.process(events)
        self.fleet.observed_as_replica |= observed_as_replica

    def due_timers(self) -> list[Event]:
        due = [timer for timer in self.timers if timer.due_us <= self.now_us]
        self.timers = [timer for timer in self.timers if timer.due_us > self.now_us]
        return [TimerFired(timer.key) for timer in due]

    def ended_attempts(self, observed_as_replica: set[str]) -> list[Event]:
        """Attempts that time out, and some that end before."""
        events: list[Event] = []
        for (request, number), attempt in list(self.in_flight.items()):
            timed_out = self.now_us >= attempt.timeout_at_us
            if timed_out or self.random.random() < RESPONSE_PROBABILITY:
                events.append(self.end_attempt(request, number, timed_out, observed_as_replica))
        return events

    def end_attempt(
        self, request: str, number: int, timed_out: bool, observed_as_replica: set[str]
    ) -> AttemptEnded:
        """End an attempt, with a random outcome unless it timed out."""
        attempt = self.in_flight.pop((request, number))
        record = self.requests[request]
        was_open = record.is_open
        outcome = self.random.choice([Outcome.OK] * 5 + [o for o in Outcome if o is not Outcome.TIMEOUT])
        if timed_out:
            outcome = Outcome.TIMEOUT
        position_us = None
        if was_open and outcome is Outcome.OK and record.request_class.consistency is Consistency.WRITE:
            if attempt.endpoint != self.fleet.primary:
                outcome = Outcome.INELIGIBLE
            else:
                self.commits_us[record.request.session or ""] = self.now_us
                position_us = self.now_us
        role = Role.UNKNOWN
        if outcome in OUTCOMES_WITH_ROLE:
            role = self.fleet.role(attempt.endpoint)
            position_us = self.fleet.positions_us[attempt.endpoint] if position_us is None else position_us
            if role is Role.REPLICA:
                observed_as_replica.add(attempt.endpoint)
        if outcome not in NOT_EXECUTED and record.first_execution is None:
            record.first_execution = Execution(attempt.sent_us, attempt.endpoint)
        finished = outcome is Outcome.OK or not was_open
        if finished:
            record.is_open = False
        duration_us = self.now_us - attempt.sent_us
        return AttemptEnded(
            request, number, attempt.endpoint, outcome, duration_us, finished, role, position_us, None
        )

    def ended_health_checks(self) -> list[Event]:
        events: list[Event] = []
        for name in self.health_checks:
            outcome = self.random.choice([Outcome.OK, Outcome.OK, Outcome.UNREACHABLE])
            report = None
            if outcome is Outcome.OK:
                report = LoadReport(self.fleet.positions_us[name], name == self.fleet.primary)
            events.append(HealthCheckEnded(name, outcome, MS, report))
        self.health_checks = []
        return events

    def disconnects(self) -> list[Event]:
        """Some clients disconnect; nobody waits beyond the deadline."""
        events: list[Event] = []
        for record in self.open_requests():
            if self.random.random() < DISCONNECT_PROBABILITY:
                events.append(ClientDisconnected(record.request.id))
                record.is_open = False
            assert self.now_us <= record.request.deadline_us + ANSWER_GRACE_US
        return events

    def fleet_changes(self, observed_as_replica: set[str]) -> list[Event]:
        """Now and then a failover, another lag, or an endpoint that drains."""
        draw = self.random.random()
        fleet = self.fleet
        if draw < FAILOVER_BELOW:
            fleet.fail_over(self.random.choice(fleet.names))
            observed_as_replica.discard(fleet.primary)
        elif draw < LAG_CHANGE_BELOW:
            lag_us = self.random.choice([5 * MS, 200 * MS, 2 * SEC])
            fleet.lags_us[self.random.choice(fleet.names)] = lag_us
        elif draw < DRAIN_BELOW and len(fleet.draining_since_us) < MAX_DRAINING:
            fleet.draining_since_us.setdefault(self.random.choice(fleet.names), self.now_us)
            kind = self.random.choice([UpdateKind.DELTA, UpdateKind.SNAPSHOT])
            return [EndpointUpdate(kind, fleet.listed())]
        return []

    def new_requests(self) -> list[Event]:
        return [self.new_request() for _ in range(self.random.choice([0, 1, 2]))]

    def new_request(self) -> Request:
        class_index = self.random.randrange(len(CLASSES))
        session = self.random.choice(["s", "t"])
        request = Request(
            f"{len(self.requests):016x}",
            class_index,
            self.random.randrange(3),
            0,
            self.now_us + self.random.choice([0, 30 * MS, 800 * MS, 3 * SEC]),
            session=session,
        )
        request_class = self.settings.classes[class_index]
        self.requests[request.id] = RequestRecord(request, request_class, self.commits_us.get(session, 0))
        return request

    # Checks.

    def check_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SetTimer():
                    self.timers.append(Timer(self.now_us + action.delay_us, action.key))
                case StartHealthCheck():
                    self.health_checks.append(action.endpoint)
                case Cancel():
                    attempts = self.requests[action.request].attempt_count
                    assert 0 <= action.attempt < attempts, "only an attempt that was made is cancelled"
                case Reject() | Fail():
                    self.check_final_answer(action)
                case Send():
                    self.check_send(action)

    def check_final_answer(self, action: Reject | Fail) -> None:
        record = self.requests[action.request]
        assert record.is_open, "one final answer"
        if isinstance(action, Reject):
            self.check_rejected_is_safe_to_retry(record)
        record.is_open = False

    def has_attempt_in_flight(self, request: str) -> bool:
        return any(in_flight == request for in_flight, _ in self.in_flight)

    def check_rejected_is_safe_to_retry(self, record: RequestRecord) -> None:
        in_flight = self.has_attempt_in_flight(record.request.id)
        may_be_executed = record.first_execution is not None or in_flight
        if record.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not may_be_executed
        elif record.request_class.idempotency is Idempotency.KEYED and may_be_executed:
            assert record.request_class.key_scope is KeyScope.ALL

    def check_send(self, action: Send) -> None:
        record = self.requests[action.request]
        assert record.is_open, "nothing is sent after the final answer"
        assert record.attempt_count < self.settings.max_attempts
        assert not self.has_attempt_in_flight(action.request), "no two attempts at once"
        if action.endpoint in self.fleet.draining_since_us:
            draining_us = self.now_us - self.fleet.draining_since_us[action.endpoint]
            assert draining_us < self.settings.drain_grace_us
        self.check_retry_is_safe(record, action.endpoint)
        self.check_freshness(record, action.endpoint)
        timeout_at_us = min(record.request.deadline_us, self.now_us + action.timeout_us)
        attempt = AttemptInFlight(action.endpoint, self.now_us, timeout_at_us)
        self.in_flight[action.request, record.attempt_count] = attempt
        record.attempt_count += 1

    def check_retry_is_safe(self, record: RequestRecord, name: str) -> None:
        request_class = record.request_class
        execution = record.first_execution
        if execution is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        assert request_class.idempotency is Idempotency.KEYED
        assert self.now_us <= execution.sent_us + request_class.deduplication_window_us
        same_zone = self.fleet.zones[execution.endpoint] == self.fleet.zones[name]
        assert request_class.key_scope is not KeyScope.ZONE or same_zone

    def check_freshness(self, record: RequestRecord, name: str) -> None:
        request_class = record.request_class
        position_us = self.fleet.positions_us[name]
        excused = self.fleet.may_be_taken_for_primary(name)
        if not excused and request_class.consistency is Consistency.BOUNDED:
            assert self.now_us - position_us <= request_class.max_staleness_us
        elif not excused and request_class.consistency is Consistency.SESSION:
            assert position_us >= record.required_position_us
        elif request_class.consistency is Consistency.FRESH:
            assert excused


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    seed=st.integers(0, 2**32),
    cancellation=st.booleans(),
    health_checks=st.booleans(),
    must_poll=st.booleans(),
    removed_endpoints_serve=st.booleans(),
)
def test_safety_rules_under_random_events_hold(
    seed: int, cancellation: bool, health_checks: bool, must_poll: bool, removed_endpoints_serve: bool
) -> None:
    simulation = Simulation(
        seed,
        {
            "cancellation": cancellation,
            "health_checks": health_checks,
            "must_poll": must_poll,
            "removed_endpoints_serve": removed_endpoints_serve,
        },
    )
    simulation.process([EndpointUpdate(UpdateKind.CACHED, simulation.fleet.listed())])
    for _ in range(STEPS):
        simulation.step()
    simulation.now_us += 1 * MS
    for _ in range(DRAIN_STEPS):
        simulation.drain_step()
    assert not simulation.open_requests(), "each request has its final answer"
