"""Random legal days: the five rules are checked from the events and actions alone."""

from __future__ import annotations

import random
from dataclasses import replace

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
from tests.routing.router_script import CLASSES, MS, SEC, SETTINGS, endpoint

NEVER_RAN = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.INELIGIBLE}


class World:
    """Members with true positions, and a judge that knows only what went over the interface."""

    def __init__(self, seed: int, changes: dict[str, object]) -> None:
        self.rng = random.Random(seed)
        scope = self.rng.choice(list(KeyScope))
        classes = tuple(replace(c, key_scope=scope) for c in CLASSES)
        self.settings = replace(SETTINGS, classes=classes, **changes)  # type: ignore[arg-type]
        self.router = Router(self.settings, seed)
        self.now = 50 * SEC
        self.names = ["a", "b", "c", "d"]
        self.zone = {n: i % 2 for i, n in enumerate(self.names)}
        self.primary = "a"
        self.was_primary = {"a"}
        self.told_replica: set[str] = set()
        self.position = dict.fromkeys(self.names, self.now)
        self.lag = dict.fromkeys(self.names, 5 * MS)
        self.drained: dict[str, int] = {}
        self.open: dict[str, Request] = {}
        self.ended: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.out: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.ran: dict[str, tuple[int, str]] = {}
        self.commits: dict[str, int] = {}
        self.needs: dict[str, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[str] = []
        self.asked = 0

    def cls(self, request: str) -> RequestClass:
        return self.settings.classes[self.open[request].class_index]

    def entries(self, names: list[str]) -> tuple[Endpoint, ...]:
        return tuple(
            endpoint(
                n,
                zone=self.zone[n],
                listed_primary=n == "a",
                readiness=Readiness.DRAINING if n in self.drained else Readiness.READY,
            )
            for n in names
        )

    def role(self, name: str) -> Role:
        return Role.PRIMARY if name == self.primary else Role.REPLICA

    def step(self) -> None:
        self.now += self.rng.choice([0, 1, 5 * MS, 20 * MS, 90 * MS, 400 * MS])
        for n in self.names:
            behind = 0 if n == self.primary else self.lag[n]
            self.position[n] = max(self.position[n], self.now - behind)
        events: list[Event] = [TimerFired(k) for at, k in self.timers if at <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        learned_replica: set[str] = set()
        for (request, attempt), (name, sent, limit) in list(self.out.items()):
            due = self.now >= limit
            if due or self.rng.random() < 0.4:
                events.append(self.ending(request, attempt, name, sent, due, learned_replica))
        for name in self.probes:
            outcome = self.rng.choice([Outcome.OK, Outcome.OK, Outcome.UNREACHABLE])
            report = None
            if outcome is Outcome.OK:
                report = LoadReport(self.position[name], name == self.primary)
            events.append(HealthCheckEnded(name, outcome, MS, report))
        self.probes = []
        for request, ask in list(self.open.items()):
            if self.rng.random() < 0.02:
                events.append(ClientDisconnected(request))
                self.finish(request)
            assert self.now <= ask.deadline_us + 420 * MS
        roll = self.rng.random()
        if roll < 0.03:
            self.primary = self.rng.choice(self.names)
            self.was_primary.add(self.primary)
            self.told_replica.discard(self.primary)
            learned_replica.discard(self.primary)
        elif roll < 0.05:
            self.lag[self.rng.choice(self.names)] = self.rng.choice([5 * MS, 200 * MS, 2 * SEC])
        elif roll < 0.06 and len(self.drained) < 3:
            name = self.rng.choice(self.names)
            self.drained.setdefault(name, self.now)
            kind = self.rng.choice([UpdateKind.DELTA, UpdateKind.SNAPSHOT])
            events.append(EndpointUpdate(kind, self.entries(self.names)))
        for _ in range(self.rng.choice([0, 1, 2])):
            events.append(self.request())
        self.judge(self.router.handle(self.now, events))
        self.told_replica |= learned_replica

    def request(self) -> Request:
        cls = self.rng.randrange(len(CLASSES))
        session = self.rng.choice(["s", "t"])
        ask = Request(
            f"{self.asked:016x}",
            cls,
            self.rng.randrange(3),
            0,
            self.now + self.rng.choice([0, 30 * MS, 800 * MS, 3 * SEC]),
            session=session,
        )
        self.asked += 1
        self.open[ask.id] = ask
        self.attempts[ask.id] = 0
        self.needs[ask.id] = self.commits.get(session, 0)
        return ask

    def ending(
        self, request: str, attempt: int, name: str, sent: int, due: bool, told: set[str]
    ) -> AttemptEnded:
        del self.out[request, attempt]
        live = request in self.open
        outcome = self.rng.choice([Outcome.OK] * 5 + [o for o in Outcome if o is not Outcome.TIMEOUT])
        if due:
            outcome = Outcome.TIMEOUT
        role, position = Role.UNKNOWN, None
        if live and outcome is Outcome.OK and self.cls(request).consistency is Consistency.WRITE:
            if name != self.primary:
                outcome = Outcome.INELIGIBLE
            else:
                session = self.open[request].session or ""
                self.commits[session] = self.now
                position = self.now
        if outcome in (Outcome.OK, Outcome.INELIGIBLE, Outcome.ERROR):
            role = self.role(name)
            position = self.position[name] if position is None else position
            if role is Role.REPLICA:
                told.add(name)
        if outcome not in NEVER_RAN and request not in self.ran:
            self.ran[request] = (sent, name)
        finished = outcome is Outcome.OK or not live
        if finished and live:
            self.finish(request)
        return AttemptEnded(request, attempt, name, outcome, self.now - sent, finished, role, position, None)

    def finish(self, request: str) -> None:
        del self.open[request]
        self.ended.add(request)

    def judge(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.key))
            elif isinstance(action, StartHealthCheck):
                self.probes.append(action.endpoint)
            elif isinstance(action, Cancel):
                assert 0 <= action.attempt < self.attempts[action.request], "an attempt that was made"
            elif isinstance(action, Reject | Fail):
                assert action.request in self.open, "one final answer"
                if isinstance(action, Reject):
                    self.judge_refusal(action.request)
                self.finish(action.request)
            elif isinstance(action, Send):
                self.judge_send(action)

    def judge_refusal(self, request: str) -> None:
        cls = self.cls(request)
        maybe = request in self.ran or any(r == request for r, _ in self.out)
        if cls.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not maybe
        elif cls.idempotency is Idempotency.KEYED and maybe:
            assert cls.key_scope is KeyScope.ALL

    def judge_send(self, action: Send) -> None:
        request, name = action.request, action.endpoint
        assert request in self.open, "nothing is sent after the end"
        ask, cls = self.open[request], self.cls(request)
        assert self.attempts[request] < self.settings.max_attempts
        assert not any(r == request for r, _ in self.out), "no two at once"
        if name in self.drained:
            assert self.now - self.drained[name] < self.settings.drain_grace_us
        if request in self.ran and cls.idempotency is not Idempotency.IDEMPOTENT:
            sent, where = self.ran[request]
            assert cls.idempotency is Idempotency.KEYED
            assert self.now <= sent + cls.deduplication_window_us
            assert cls.key_scope is not KeyScope.ZONE or self.zone[where] == self.zone[name]
        excused = name == self.primary or (name in self.was_primary and name not in self.told_replica)
        if not excused and cls.consistency is Consistency.BOUNDED:
            assert self.now - self.position[name] <= cls.max_staleness_us
        elif not excused and cls.consistency is Consistency.SESSION:
            assert self.position[name] >= self.needs[request]
        elif cls.consistency is Consistency.FRESH:
            assert excused
        limit = min(ask.deadline_us, self.now + action.timeout_us)
        self.out[request, self.attempts[request]] = (name, self.now, limit)
        self.attempts[request] += 1


@settings(derandomize=True, deadline=None, max_examples=60, database=None)
@given(
    seed=st.integers(0, 2**32),
    cancelling=st.booleans(),
    probes=st.booleans(),
    must_ask=st.booleans(),
    binds=st.booleans(),
)
def test_rules_hold_on_random_days(
    seed: int, cancelling: bool, probes: bool, must_ask: bool, binds: bool
) -> None:
    world = World(
        seed,
        {
            "cancellation": cancelling,
            "health_checks": probes,
            "must_poll": must_ask,
            "removed_endpoints_serve": binds,
        },
    )
    events: list[Event] = [EndpointUpdate(UpdateKind.CACHED, world.entries(world.names))]
    world.judge(world.router.handle(world.now, events))
    for _ in range(150):
        world.step()
    world.now += 1 * MS
    asked = world.asked
    for _ in range(60):
        world.now += 100 * MS
        fired: list[Event] = [TimerFired(k) for at, k in world.timers if at <= world.now]
        world.timers = [t for t in world.timers if t[0] > world.now]
        told: set[str] = set()
        for (request, attempt), (name, sent, limit) in list(world.out.items()):
            if world.now >= limit:
                fired.append(world.ending(request, attempt, name, sent, True, told))
        world.judge(world.router.handle(world.now, fired))
        world.told_replica |= told
    assert not world.open and len(world.ended) == asked, "each request has its answer"
