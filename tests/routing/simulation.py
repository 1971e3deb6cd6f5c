"""Randomised simulation of a router against a fleet of endpoints, tracking the result of each request."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from juniperreel.routing.router import Router
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    Consistency,
    Endpoint,
    EndpointUpdate,
    Event,
    Fail,
    HealthCheckEnded,
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
DRAIN_STEP_US = 100 * MS
ANSWER_GRACE_US = 420 * MS  # the longest step plus the router's tick
MAX_DRAINING = 3

RESPONSE_PROBABILITY = 0.4
DISCONNECT_PROBABILITY = 0.02
FAILOVER_THRESHOLD = 0.03
LAG_CHANGE_THRESHOLD = 0.05
DRAIN_THRESHOLD = 0.06


class Fleet:
    """The true state of the endpoints."""

    def __init__(self, now_us: int) -> None:
        self.names = ["a", "b", "c", "d"]
        self.zones = {name: number % 2 for number, name in enumerate(self.names)}
        self.primary = "a"
        self.has_been_primary = {"a"}
        self.observed_as_replica: set[str] = set()  # reported to the router as replica since last primary
        self.positions_us = dict.fromkeys(self.names, now_us)
        self.lags_us = dict.fromkeys(self.names, 5 * MS)
        self.draining_since_us: dict[str, int] = {}

    def replicate(self, now_us: int) -> None:
        """Advance applied positions, up to each endpoint's lag."""
        for name in self.names:
            lag_us = 0 if name == self.primary else self.lags_us[name]
            self.positions_us[name] = max(self.positions_us[name], now_us - lag_us)

    def fail_over(self, successor: str) -> None:
        """Make this endpoint the primary; it may be the current one."""
        self.primary = successor
        self.has_been_primary.add(successor)
        self.observed_as_replica.discard(successor)

    def role(self, name: str) -> Role:
        """The true role of an endpoint."""
        return Role.PRIMARY if name == self.primary else Role.REPLICA

    def may_be_taken_for_primary(self, name: str) -> bool:
        """Whether the router may legitimately consider this endpoint the primary."""
        stepped_down_unobserved = name in self.has_been_primary and name not in self.observed_as_replica
        return name == self.primary or stepped_down_unobserved

    def listed(self) -> tuple[Endpoint, ...]:
        """The endpoint list, which always names the initial primary."""
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
    """An attempt that has not ended."""

    endpoint: str
    sent_us: int
    timeout_at_us: int


@dataclass
class RequestRecord:
    """A request and its progress."""

    request: Request
    request_class: RequestClass
    required_position_us: int  # latest commit of its session on arrival
    is_open: bool = True
    attempt_count: int = 0
    first_execution: Execution | None = None


class Simulation:
    """Drives a router with random events, and checks and executes its actions."""

    def __init__(self, seed: int, check: Check, **changes: Any) -> None:
        """Create a router; `changes` override its settings, `check` is called with each action."""
        self.check = check
        self.random = random.Random(seed)
        scope = self.random.choice(list(KeyScope))
        classes = tuple(replace(request_class, key_scope=scope) for request_class in CLASSES)
        self.settings = replace(SETTINGS, classes=classes, **changes)
        self.router = Router(self.settings, seed)
        self.now_us = START_US
        self.fleet = Fleet(self.now_us)
        self.requests: dict[str, RequestRecord] = {}
        self.in_flight: dict[tuple[str, int], AttemptInFlight] = {}
        self.commits_us: dict[str, int] = {}  # by session
        self.timers: list[Timer] = []
        self.health_checks: list[str] = []

    def open_requests(self) -> list[RequestRecord]:
        """Requests without a final answer whose clients are still connected."""
        return [record for record in self.requests.values() if record.is_open]

    def has_attempt_in_flight(self, request: str) -> bool:
        """Whether an attempt of this request has not ended."""
        return any(in_flight == request for in_flight, _ in self.in_flight)

    def process(self, events: list[Event]) -> None:
        """Pass one batch to the router; check and then execute each of its actions."""
        for action in self.router.handle(self.now_us, events):
            self.check(self, action)
            self.carry_out(action)

    # Actions.

    def carry_out(self, action: Action) -> None:
        """Execute an action, whose effect is a later event."""
        match action:
            case SetTimer():
                self.timers.append(Timer(self.now_us + action.delay_us, action.key))
            case StartHealthCheck():
                self.health_checks.append(action.endpoint)
            case Reject() | Fail():
                self.requests[action.request].is_open = False
            case Send():
                self.start_attempt(action)

    def start_attempt(self, action: Send) -> None:
        """Start an attempt, with the time at which it times out."""
        record = self.requests[action.request]
        timeout_at_us = min(record.request.deadline_us, self.now_us + action.timeout_us)
        attempt = AttemptInFlight(action.endpoint, self.now_us, timeout_at_us)
        self.in_flight[action.request, record.attempt_count] = attempt
        record.attempt_count += 1

    # Events.

    def step(self) -> None:
        """Advance the clock by a random step, and pass the events since then as one batch."""
        self.now_us += self.random.choice([0, 1, 5 * MS, 20 * MS, 90 * MS, 400 * MS])
        self.fleet.replicate(self.now_us)
        observed_as_replica: set[str] = set()
        events: list[Event] = [
            *self.due_timers(),
            *self.ended_attempts(observed_as_replica),
            *self.ended_health_checks(),
        ]
        self.check_deadlines()
        events += [
            *self.disconnects(),
            *self.fleet_changes(observed_as_replica),
            *self.new_requests(),
        ]
        self.process(events)
        self.fleet.observed_as_replica |= observed_as_replica

    def drain_step(self) -> None:
        """Advance the clock with no events but timers and time-outs."""
        self.now_us += DRAIN_STEP_US
        events: list[Event] = list(self.due_timers())
        observed_as_replica: set[str] = set()
        for (request, number), attempt in list(self.in_flight.items()):
            if self.now_us >= attempt.timeout_at_us:
                events.append(self.end_attempt(request, number, True, observed_as_replica))
        self.process(events)
        self.fleet.observed_as_replica |= observed_as_replica

    def start(self) -> None:
        """Deliver a cached endpoint list."""
        self.process([EndpointUpdate(UpdateKind.CACHED, self.fleet.listed())])

    def due_timers(self) -> list[Event]:
        """Remove the due timers, and return their events."""
        due = [timer for timer in self.timers if timer.due_us <= self.now_us]
        self.timers = [timer for timer in self.timers if timer.due_us > self.now_us]
        return [TimerFired(timer.key) for timer in due]

    def ended_attempts(self, observed_as_replica: set[str]) -> list[Event]:
        """End attempts that time out, and a random selection of the others."""
        events: list[Event] = []
        for (request, number), attempt in list(self.in_flight.items()):
            timed_out = self.now_us >= attempt.timeout_at_us
            if timed_out or self.random.random() < RESPONSE_PROBABILITY:
                events.append(self.end_attempt(request, number, timed_out, observed_as_replica))
        return events

    def end_attempt(
        self, request: str, number: int, timed_out: bool, observed_as_replica: set[str]
    ) -> AttemptEnded:
        """End an attempt with a random outcome, or as timed out."""
        attempt = self.in_flight.pop((request, number))
        record = self.requests[request]
        outcome = self.random.choice([Outcome.OK] * 5 + [o for o in Outcome if o is not Outcome.TIMEOUT])
        if timed_out:
            outcome = Outcome.TIMEOUT
        position_us = None
        succeeded = record.is_open and outcome is Outcome.OK
        if succeeded and record.request_class.consistency is Consistency.WRITE:
            if attempt.endpoint == self.fleet.primary:
                position_us = self.commit(record)
            else:
                outcome = Outcome.INELIGIBLE
        role = Role.UNKNOWN
        if outcome in OUTCOMES_WITH_ROLE:
            role = self.fleet.role(attempt.endpoint)
            position_us = self.fleet.positions_us[attempt.endpoint] if position_us is None else position_us
        if role is Role.REPLICA:
            observed_as_replica.add(attempt.endpoint)
        if outcome not in NOT_EXECUTED and record.first_execution is None:
            record.first_execution = Execution(attempt.sent_us, attempt.endpoint)
        finished = outcome is Outcome.OK or not record.is_open
        if finished:
            record.is_open = False
        duration_us = self.now_us - attempt.sent_us
        return AttemptEnded(
            request, number, attempt.endpoint, outcome, duration_us, finished, role, position_us, None
        )

    def commit(self, record: RequestRecord) -> int:
        """Commit a write of the request's session now, and return the commit time."""
        self.commits_us[record.request.session or ""] = self.now_us
        return self.now_us

    def ended_health_checks(self) -> list[Event]:
        """End all health checks, on average two in three with a load report."""
        events: list[Event] = []
        for name in self.health_checks:
            outcome = self.random.choice([Outcome.OK, Outcome.OK, Outcome.UNREACHABLE])
            report = None
            if outcome is Outcome.OK:
                report = LoadReport(self.fleet.positions_us[name], name == self.fleet.primary)
            events.append(HealthCheckEnded(name, outcome, MS, report))
        self.health_checks = []
        return events

    def check_deadlines(self) -> None:
        """Assert that no request is open beyond its deadline plus the grace."""
        for record in self.open_requests():
            assert self.now_us <= record.request.deadline_us + ANSWER_GRACE_US

    def disconnects(self) -> list[Event]:
        """Disconnect some clients at random."""
        events: list[Event] = []
        for record in self.open_requests():
            if self.random.random() < DISCONNECT_PROBABILITY:
                events.append(ClientDisconnected(record.request.id))
                record.is_open = False
        return events

    def fleet_changes(self, observed_as_replica: set[str]) -> list[Event]:
        """Occasionally fail over, change a lag or drain an endpoint."""
        draw = self.random.random()
        fleet = self.fleet
        if draw < FAILOVER_THRESHOLD:
            fleet.fail_over(self.random.choice(fleet.names))
            observed_as_replica.discard(fleet.primary)
        elif draw < LAG_CHANGE_THRESHOLD:
            lag_us = self.random.choice([5 * MS, 200 * MS, 2 * SEC])
            fleet.lags_us[self.random.choice(fleet.names)] = lag_us
        elif draw < DRAIN_THRESHOLD and len(fleet.draining_since_us) < MAX_DRAINING:
            fleet.draining_since_us.setdefault(self.random.choice(fleet.names), self.now_us)
            kind = self.random.choice([UpdateKind.DELTA, UpdateKind.SNAPSHOT])
            return [EndpointUpdate(kind, fleet.listed())]
        return []

    def new_requests(self) -> list[Event]:
        """Create zero to two requests."""
        return [self.new_request() for _ in range(self.random.choice([0, 1, 2]))]

    def new_request(self) -> Request:
        """Create a request with random class, tenant, session and deadline."""
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


Check = Callable[[Simulation, Action], None]
