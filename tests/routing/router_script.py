"""A small event script for tests: a router, a clock, and shorthand for events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from juniperreel.routing.router import Router
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
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

READ = RequestClass(
    "read",
    Idempotency.IDEMPOTENT,
    KeyScope.ALL,
    0,
    Consistency.BOUNDED,
    300 * MS,
    500 * MS,
    2 * SEC,
    1.0,
    0.2,
)
OWN = replace(READ, name="own", consistency=Consistency.SESSION, max_staleness_us=0)
WRITE = replace(
    READ,
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
LOOSE = replace(READ, name="loose", consistency=Consistency.ANY, max_staleness_us=0)
ONCE = replace(WRITE, name="once", idempotency=Idempotency.NON_IDEMPOTENT)
CURRENT = replace(READ, name="current", consistency=Consistency.FRESH, max_staleness_us=0)
CLASSES = (READ, OWN, WRITE, LOOSE, ONCE, CURRENT)
BY_NAME = {c.name: i for i, c in enumerate(CLASSES)}

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

A = TypeVar("A", bound=Action)


def member(name: str, **changes: Any) -> Endpoint:
    base = Endpoint(name, 0, 0, 0, Readiness.READY, False, 1.0, 0)
    return replace(base, **changes)


class Script:
    """Drives one router; each call is one batch, and its actions stay in `last` and `all`."""

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.router = Router(self.settings, seed)
        self.now = 1000 * SEC
        self.last: list[Action] = []
        self.all: list[tuple[int, Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.count = 0
        self.sends: dict[str, list[str]] = {}

    def batch(self, *events: Event) -> list[Action]:
        self.last = self.router.handle(self.now, events)
        for action in self.last:
            self.all.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_us, action.key))
            elif isinstance(action, Send):
                self.sends.setdefault(action.request, []).append(action.endpoint)
        return self.last

    def wait(self, us: int) -> list[Action]:
        """Let time pass with the timers that fall due; returns what was done meanwhile."""
        end, done = self.now + us, len(self.all)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.batch(TimerFired(due[1]))
        self.now = end
        return [action for _, action in self.all[done:]]

    def start(self, *members: Endpoint, kind: UpdateKind = UpdateKind.CACHED) -> None:
        self.batch(EndpointUpdate(kind, members))

    def probed(self, name: str, primary: bool, lag_us: int = 0) -> None:
        self.batch(HealthCheckEnded(name, Outcome.OK, MS, LoadReport(self.now - lag_us, primary)))

    def group(self, *replicas: str, primary: str = "p") -> None:
        """A settled group: roles and positions known."""
        names = (primary, *replicas)
        self.start(*(member(n, listed_primary=n == primary) for n in names))
        for name in names:
            self.probed(name, name == primary)

    def ask(self, cls: str, **changes: Any) -> str:
        name = f"{self.count:016x}"
        self.count += 1
        index = BY_NAME[cls]
        deadline = self.now + self.settings.classes[index].deadline_us
        base = Request(name, index, 0, 0, deadline, session="s" if cls in ("own", "write") else None)
        self.batch(replace(base, **changes))
        return name

    def end(self, request: str, outcome: Outcome = Outcome.OK, **changes: Any) -> list[Action]:
        """The request's latest attempt ends."""
        attempt = len(self.sends[request]) - 1
        base = AttemptEnded(
            request,
            attempt,
            self.sends[request][attempt],
            outcome,
            50 * MS,
            outcome is Outcome.OK,
            Role.UNKNOWN,
            None,
            None,
        )
        return self.batch(replace(base, **changes))

    def did(self, kind: type[A], request: str | None = None) -> list[A]:
        """All actions of a kind so far, those of one request if it is named."""
        return [
            a for _, a in self.all if isinstance(a, kind) and request in (None, getattr(a, "request", None))
        ]


def hear_primary(s: Script) -> None:
    s.router.state.endpoints["p"].pressure.observe(s.now, 0.1)


def press_primary(s: Script) -> None:
    """Full enough that no read is spared a look by going there."""
    for _ in range(4):
        s.router.state.endpoints["p"].pressure.observe(s.now, 0.6)
