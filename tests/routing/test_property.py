"""Random legal days: the five rules are checked from the events and actions alone."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.routing import types as ui
from juniperreel.routing.policy.router import Router
from tests.script import CLASSES, MS, SEC, SETTINGS, member

NEVER_RAN = {ui.Outcome.REJECTED, ui.Outcome.UNREACHABLE, ui.Outcome.NOT_SENT, ui.Outcome.MISS}


class World:
    """Members with true positions, and a judge that knows only what went over the interface."""

    def __init__(self, seed: int, changes: dict[str, object]) -> None:
        self.rng = random.Random(seed)
        scope = self.rng.choice(list(ui.KeyScope))
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
        self.open: dict[str, ui.Request] = {}
        self.ended: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.out: dict[tuple[str, int], tuple[str, int, int]] = {}
        self.ran: dict[str, tuple[int, str]] = {}
        self.commits: dict[str, int] = {}
        self.needs: dict[str, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[str] = []
        self.asked = 0

    def cls(self, request: str) -> ui.RequestClass:
        return self.settings.classes[self.open[request].cls]

    def entries(self, names: list[str]) -> tuple[ui.Member, ...]:
        return tuple(
            member(
                n,
                zone=self.zone[n],
                listed_primary=n == "a",
                readiness=ui.Readiness.DRAINING if n in self.drained else ui.Readiness.UP,
            )
            for n in names
        )

    def role(self, name: str) -> ui.Role:
        return ui.Role.PRIMARY if name == self.primary else ui.Role.REPLICA

    def step(self) -> None:
        self.now += self.rng.choice([0, 1, 5 * MS, 20 * MS, 90 * MS, 400 * MS])
        for n in self.names:
            behind = 0 if n == self.primary else self.lag[n]
            self.position[n] = max(self.position[n], self.now - behind)
        events: list[ui.Event] = [ui.TimerFired(k) for at, k in self.timers if at <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        learned_replica: set[str] = set()
        for (request, attempt), (name, sent, limit) in list(self.out.items()):
            due = self.now >= limit
            if due or self.rng.random() < 0.4:
                events.append(self.ending(request, attempt, name, sent, due, learned_replica))
        for name in self.probes:
            outcome = self.rng.choice([ui.Outcome.OK, ui.Outcome.OK, ui.Outcome.UNREACHABLE])
            report = None
            if outcome is ui.Outcome.OK:
                report = ui.Report(self.position[name], name == self.primary)
            events.append(ui.ProbeEnded(name, outcome, MS, report))
        self.probes = []
        for request, ask in list(self.open.items()):
            if self.rng.random() < 0.02:
                events.append(ui.RequestGone(request))
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
            kind = self.rng.choice([ui.ListKind.CHANGES, ui.ListKind.FULL])
            events.append(ui.MemberList(kind, self.entries(self.names)))
        for _ in range(self.rng.choice([0, 1, 2])):
            events.append(self.request())
        self.judge(self.router.handle(self.now, events))
        self.told_replica |= learned_replica

    def request(self) -> ui.Request:
        cls = self.rng.randrange(len(CLASSES))
        session = self.rng.choice(["s", "t"])
        ask = ui.Request(
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
    ) -> ui.AttemptEnded:
        del self.out[request, attempt]
        live = request in self.open
        outcome = self.rng.choice(
            [ui.Outcome.OK] * 5 + [o for o in ui.Outcome if o is not ui.Outcome.TIMEOUT]
        )
        if due:
            outcome = ui.Outcome.TIMEOUT
        role, position = ui.Role.UNKNOWN, None
        if live and outcome is ui.Outcome.OK and self.cls(request).consistency is ui.Consistency.WRITE:
            if name != self.primary:
                outcome = ui.Outcome.MISS
            else:
                session = self.open[request].session or ""
                self.commits[session] = self.now
                position = self.now
        if outcome in (ui.Outcome.OK, ui.Outcome.MISS, ui.Outcome.ERROR):
            role = self.role(name)
            position = self.position[name] if position is None else position
            if role is ui.Role.REPLICA:
                told.add(name)
        if outcome not in NEVER_RAN and request not in self.ran:
            self.ran[request] = (sent, name)
        finished = outcome is ui.Outcome.OK or not live
        if finished and live:
            self.finish(request)
        return ui.AttemptEnded(
            request, attempt, name, outcome, self.now - sent, finished, role, position, None
        )

    def finish(self, request: str) -> None:
        del self.open[request]
        self.ended.add(request)

    def judge(self, actions: list[ui.Action]) -> None:
        for action in actions:
            if isinstance(action, ui.SetTimer):
                self.timers.append((self.now + action.after_us, action.key))
            elif isinstance(action, ui.Probe):
                self.probes.append(action.member)
            elif isinstance(action, ui.Cancel):
                assert 0 <= action.attempt < self.attempts[action.request], "an attempt that was made"
            elif isinstance(action, ui.Refuse | ui.Fail):
                assert action.request in self.open, "one final answer"
                if isinstance(action, ui.Refuse):
                    self.judge_refusal(action.request)
                self.finish(action.request)
            elif isinstance(action, ui.Send):
                self.judge_send(action)

    def judge_refusal(self, request: str) -> None:
        cls = self.cls(request)
        maybe = request in self.ran or any(r == request for r, _ in self.out)
        if cls.effect is ui.Effect.ONCE:
            assert not maybe
        elif cls.effect is ui.Effect.KEYED and maybe:
            assert cls.key_scope is ui.KeyScope.ALL

    def judge_send(self, action: ui.Send) -> None:
        request, name = action.request, action.member
        assert request in self.open, "nothing is sent after the end"
        ask, cls = self.open[request], self.cls(request)
        assert self.attempts[request] < self.settings.max_attempts
        assert not any(r == request for r, _ in self.out), "no two at once"
        if name in self.drained:
            assert self.now - self.drained[name] < self.settings.drain_grace_us
        if request in self.ran and cls.effect is not ui.Effect.REPEATABLE:
            sent, where = self.ran[request]
            assert cls.effect is ui.Effect.KEYED
            assert self.now <= sent + cls.memory_span_us
            assert cls.key_scope is not ui.KeyScope.ZONE or self.zone[where] == self.zone[name]
        excused = name == self.primary or (name in self.was_primary and name not in self.told_replica)
        if not excused and cls.consistency is ui.Consistency.BOUNDED:
            assert self.now - self.position[name] <= cls.lag_allowed_us
        elif not excused and cls.consistency is ui.Consistency.SESSION:
            assert self.position[name] >= self.needs[request]
        elif cls.consistency is ui.Consistency.FRESH:
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
        {"cancelling": cancelling, "probes": probes, "must_ask": must_ask, "only_draining_binds": binds},
    )
    events: list[ui.Event] = [ui.MemberList(ui.ListKind.SAVED, world.entries(world.names))]
    world.judge(world.router.handle(world.now, events))
    for _ in range(150):
        world.step()
    world.now += 1 * MS
    asked = world.asked
    for _ in range(60):
        world.now += 100 * MS
        fired: list[ui.Event] = [ui.TimerFired(k) for at, k in world.timers if at <= world.now]
        world.timers = [t for t in world.timers if t[0] > world.now]
        told: set[str] = set()
        for (request, attempt), (name, sent, limit) in list(world.out.items()):
            if world.now >= limit:
                fired.append(world.ending(request, attempt, name, sent, True, told))
        world.judge(world.router.handle(world.now, fired))
        world.told_replica |= told
    assert not world.open and len(world.ended) == asked, "each request has its answer"
