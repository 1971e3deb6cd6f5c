"""A small event script for tests: a router, a clock, and shorthand for events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from juniperreel.routing import types as ui
from juniperreel.routing.policy.router import Router

MS = 1_000
SEC = 1_000_000

READ = ui.RequestClass(
    "read",
    ui.Effect.REPEATABLE,
    ui.KeyScope.ALL,
    0,
    ui.Consistency.BOUNDED,
    300 * MS,
    500 * MS,
    2 * SEC,
    1.0,
    0.2,
)
OWN = replace(READ, name="own", consistency=ui.Consistency.SESSION, lag_allowed_us=0)
WRITE = replace(
    READ,
    name="write",
    effect=ui.Effect.KEYED,
    key_scope=ui.KeyScope.GROUP,
    memory_span_us=5 * SEC,
    consistency=ui.Consistency.WRITE,
    lag_allowed_us=0,
    aim_us=1 * SEC,
    deadline_us=5 * SEC,
    late_worth=0.5,
)
LOOSE = replace(READ, name="loose", consistency=ui.Consistency.ANY, lag_allowed_us=0)
ONCE = replace(WRITE, name="once", effect=ui.Effect.ONCE)
CURRENT = replace(READ, name="current", consistency=ui.Consistency.FRESH, lag_allowed_us=0)
CLASSES = (READ, OWN, WRITE, LOOSE, ONCE, CURRENT)
BY_NAME = {c.name: i for i, c in enumerate(CLASSES)}

SETTINGS = ui.Settings(
    routers=2,
    zone=0,
    classes=CLASSES,
    tenants=(ui.Tenant("a", 0.7, 100.0), ui.Tenant("b", 0.3, 40.0)),
    over_share_worth=0.1,
    prices=ui.Prices(),
    max_attempts=6,
    cancelling=True,
    probes=True,
    second_copies=False,
    retry_hints=True,
    max_retry_after_us=1 * SEC,
    answer_grace_us=20 * MS,
    drain_grace_us=2 * SEC,
    only_draining_binds=False,
    cold_from=0.2,
    cold_us=15 * SEC,
    fall_multiple=2.0,
    overload_us=2 * SEC,
    must_ask=False,
    ask_every_us=0,
    guard=ui.Guard.OFF,
    guard_wait_us=0,
    carried_age=False,
    positions_in_answers=True,
    list_shows_role=True,
)

A = TypeVar("A", bound=ui.Action)


def member(name: str, **changes: Any) -> ui.Member:
    base = ui.Member(name, 0, 0, 0, ui.Readiness.UP, False, 1.0, 0)
    return replace(base, **changes)


class Script:
    """Drives one router; each call is one batch, and its actions stay in `last` and `all`."""

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.router = Router(self.settings, seed)
        self.now = 1000 * SEC
        self.last: list[ui.Action] = []
        self.all: list[tuple[int, ui.Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.count = 0
        self.sends: dict[str, list[str]] = {}

    def batch(self, *events: ui.Event) -> list[ui.Action]:
        self.last = self.router.handle(self.now, events)
        for action in self.last:
            self.all.append((self.now, action))
            if isinstance(action, ui.SetTimer):
                self.timers.append((self.now + action.after_us, action.key))
            elif isinstance(action, ui.Send):
                self.sends.setdefault(action.request, []).append(action.member)
        return self.last

    def wait(self, us: int) -> list[ui.Action]:
        """Let time pass with the timers that fall due; returns what was done meanwhile."""
        end, done = self.now + us, len(self.all)
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.batch(ui.TimerFired(due[1]))
        self.now = end
        return [action for _, action in self.all[done:]]

    def start(self, *members: ui.Member, kind: ui.ListKind = ui.ListKind.SAVED) -> None:
        self.batch(ui.MemberList(kind, members))

    def probed(self, name: str, primary: bool, lag_us: int = 0) -> None:
        self.batch(ui.ProbeEnded(name, ui.Outcome.OK, MS, ui.Report(self.now - lag_us, primary)))

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
        base = ui.Request(name, index, 0, 0, deadline, session="s" if cls in ("own", "write") else None)
        self.batch(replace(base, **changes))
        return name

    def end(self, request: str, outcome: ui.Outcome = ui.Outcome.OK, **changes: Any) -> list[ui.Action]:
        """The request's latest attempt ends."""
        attempt = len(self.sends[request]) - 1
        base = ui.AttemptEnded(
            request,
            attempt,
            self.sends[request][attempt],
            outcome,
            50 * MS,
            outcome is ui.Outcome.OK,
            ui.Role.UNKNOWN,
            None,
            None,
        )
        return self.batch(replace(base, **changes))

    def did(self, kind: type[A], request: str | None = None) -> list[A]:
        """All actions of a kind so far, those of one request if it is named."""
        return [
            a for _, a in self.all if isinstance(a, kind) and request in (None, getattr(a, "request", None))
        ]
