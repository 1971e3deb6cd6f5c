"""A group of members behind gates, in virtual time: step responses, fairness, limits beside each other.

Requests come by a Poisson process, pass a gate, and queue at a member with cores of its own. The draw is the
module's in outline only (even, with bounded load): what is tried here is the gate. The limits that lost
against the one in `admission` are kept here, so that their curves can be drawn again.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from juniperreel.admission import Admit, Arrival, Gate, Verdict
from juniperreel.admission.concurrency import LEAST, START, Limit
from juniperreel.routing.types import (
    Consistency,
    Idempotency,
    KeyScope,
    Prices,
    RequestClass,
    Settings,
    StalenessGuard,
    Tenant,
)

US = 1_000_000
SPREAD = 0.4  # of the logarithm of a request's work
BOUND = 1.25


def request_class(name: str = "read", priority_weight: float = 1.0, **fields: object) -> RequestClass:
    values: dict[str, object] = {
        "name": name,
        "idempotency": Idempotency.IDEMPOTENT,
        "key_scope": KeyScope.ALL,
        "deduplication_window_us": 0,
        "consistency": Consistency.ANY,
        "max_staleness_us": 0,
        "latency_objective_us": 600_000,
        "deadline_us": 2 * US,
        "priority_weight": priority_weight,
        "late_priority_weight": 0.2,
    }
    return RequestClass(**(values | fields))  # type: ignore[arg-type]


def settings(
    classes: tuple[RequestClass, ...] = (request_class(),),
    tenants: tuple[Tenant, ...] = (),
    router_count: int = 1,
) -> Settings:
    return Settings(
        router_count=router_count,
        zone=0,
        classes=classes,
        tenants=tenants,
        over_quota_weight=1.0,
        prices=Prices(),
        max_attempts=4,
        cancellation=True,
        health_checks=True,
        hedging=False,
        retry_after_hints=True,
        max_retry_after_us=US,
        response_grace_us=0,
        drain_grace_us=2 * US,
        removed_endpoints_serve=False,
        slow_start_initial_capacity=0.2,
        slow_start_us=6 * US,
        overload_multiple=2.0,
        overload_window_us=2 * US,
        must_poll=True,
        poll_interval_us=0,
        staleness_guard=StalenessGuard.REFUSE,
        staleness_wait_us=0,
        requests_carry_session_age=True,
        responses_carry_position=True,
        list_names_primary=True,
    )


@dataclass(slots=True)
class Server:
    """One member: cores, and a queue in front of them."""

    cores: int
    alive: bool = True
    speed: float = 1.0
    busy: int = 0
    queue: deque[tuple[int, int]] = field(default_factory=deque)  # job, work
    held: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Job:
    gate: int
    cls: int
    tenant: int
    came_us: int
    deadline_us: int
    work_us: int
    sent_us: int = 0
    server: int = -1


@dataclass(slots=True)
class Told:
    """One request's end. `how`: served, late, turned or lost."""

    at_us: int
    came_us: int
    cls: int
    tenant: int
    how: str


@dataclass(slots=True)
class Load:
    """Arrivals of one kind: a rate a second, between two times."""

    rate: float
    cls: int = 0
    tenant: int = -1
    from_us: int = 0
    to_us: int = 1 << 60


class Model:
    """One group. `at` plans changes; `run` plays, and leaves what happened in `told` and `limits`."""

    def __init__(
        self,
        settings: Settings,
        servers: list[Server],
        work_us: int = 45_000,
        gates: int = 1,
        seed: int = 1,
        limit: Callable[[float], Limit] = Limit,
        guarded: bool = True,
    ) -> None:
        self.settings, self.servers, self.work_us = settings, servers, work_us
        self.rng = random.Random(seed)
        self.gates = [Gate(settings, 100_000, seed + n, limit) for n in range(gates)]
        for gate in self.gates:
            gate.members(0, len(servers) + 1)
        self.guarded = guarded  # without it every arrival is let through
        self.now = 0
        self.jobs: dict[int, Job] = {}
        self.told: list[Told] = []
        self.limits: list[tuple[int, list[float]]] = []
        self.fast_errors = 0.0  # part of requests that end at once with an error
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._names = count()

    def at(self, time_us: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (time_us, next(self._order), what))

    def load(self, load: Load) -> None:
        def arrive() -> None:
            self._arrive(load)
            again()

        def again() -> None:
            due = max(self.now, load.from_us) + int(self.rng.expovariate(load.rate) * US)
            if due < load.to_us:
                self.at(due, arrive)

        again()

    def burst(self, at_us: int, size: int, cls: int = 0, tenant: int = -1) -> None:
        for _ in range(size):
            self.at(at_us, lambda: self._arrive(Load(0.0, cls, tenant)))

    def run(self, until_us: int) -> None:
        self._sample()
        while self._heap and self._heap[0][0] <= until_us:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.now = until_us

    def _sample(self) -> None:
        values = [lane.limit.value for gate in self.gates for _, current, lane in gate.lanes() if not current]
        self.limits.append((self.now, values))
        self.at(self.now + 50_000, self._sample)

    # Requests.

    def _arrive(self, load: Load) -> None:
        name = next(self._names)
        cls = self.settings.classes[load.cls]
        gate = self.rng.randrange(len(self.gates))
        work = int(self.work_us * self.rng.lognormvariate(-(SPREAD**2) / 2, SPREAD))
        deadline = self.now + cls.deadline_us
        self.jobs[name] = Job(gate, load.cls, load.tenant, self.now, deadline, work)
        if not self.guarded:
            self._send(name)
            return
        arrival = Arrival(str(name), load.cls, load.tenant, 0, self.now, deadline)
        if self.gates[gate].glance(self.now, load.cls, load.tenant, 0, cls.deadline_us) is not None:
            self._end(name, "turned")
            return
        self._heed(gate, self.gates[gate].arrive(self.now, arrival))

    def _heed(self, gate: int, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            if isinstance(verdict, Admit):
                self._send(int(verdict.request))
            else:
                self._end(int(verdict.request), "turned")
        due = self.gates[gate].due_us()
        if due is not None:
            self.at(max(due, self.now), lambda: self._tick(gate))

    def _tick(self, gate: int) -> None:
        due = self.gates[gate].due_us()
        if due is not None and due <= self.now:
            self._heed(gate, self.gates[gate].tick(self.now))

    def _send(self, name: int) -> None:
        job = self.jobs[name]
        if self.rng.random() < self.fast_errors:
            self.at(self.now + 500, lambda: self._done(name, "lost", None))
            return
        alive = [i for i, s in enumerate(self.servers) if s.alive]
        if not alive:
            self.at(self.now + 20_000, lambda: self._done(name, "lost", None))
            return
        mean = sum(len(self.servers[i].held) for i in alive) / len(alive)
        pool = [i for i in alive if len(self.servers[i].held) <= BOUND * mean + 1]
        job.server, job.sent_us = self.rng.choice(pool), self.now
        server = self.servers[job.server]
        server.held.add(name)
        server.queue.append((name, job.work_us))
        self._serve(server)

    def _serve(self, server: Server) -> None:
        while server.queue and server.busy < server.cores and server.alive:
            name, work = server.queue.popleft()
            if name not in server.held:
                continue
            server.busy += 1
            self.at(self.now + int(work / server.speed), lambda name=name: self._finish(server, name))  # type: ignore[misc]

    def _finish(self, server: Server, name: int) -> None:
        if name not in server.held:
            return
        server.busy -= 1
        server.held.discard(name)
        job = self.jobs[name]
        self._done(name, "served" if self.now <= job.deadline_us else "late", self.now - job.sent_us)
        self._serve(server)

    def kill(self, number: int) -> None:
        """Its requests are lost; they end as such after a while, as by a time-out."""
        server = self.servers[number]
        server.alive, server.busy = False, 0
        for name in server.held:
            self.at(self.now + 200_000, lambda name=name: self._done(name, "lost", None, True))  # type: ignore[misc]
        server.held.clear()
        server.queue.clear()

    def _done(self, name: int, how: str, took_us: int | None, congested: bool = False) -> None:
        gate = self.jobs[name].gate
        self._end(name, how)
        if self.guarded:
            self._heed(gate, self.gates[gate].ended(self.now, str(name), took_us, congested))

    def _end(self, name: int, how: str) -> None:
        job = self.jobs.pop(name)
        self.told.append(Told(self.now, job.came_us, job.cls, job.tenant, how))

    # What came out.

    def rate(
        self, how: str, from_us: int, to_us: int, tenant: int | None = None, cls: int | None = None
    ) -> float:
        """Ends of a kind a second, of requests that came between two times."""
        found = sum(
            t.how == how
            and from_us <= t.came_us < to_us
            and tenant in (None, t.tenant)
            and cls in (None, t.cls)
            for t in self.told
        )
        return found / (to_us - from_us) * US

    def total_limit(self, from_us: int, to_us: int) -> list[float]:
        return [sum(values) for at, values in self.limits if from_us <= at < to_us]


# The limits that lost; docs/design/admission.md tells why.


class Fixed(Limit):
    """Somebody's guess, never changed."""

    def _sample(self, now: int, ratio: float, took_us: int, in_hand: int) -> None:
        return


class Gradient(Limit):
    """Short-term over long-term response time, with a queue of the limit's root (Netflix's Gradient2)."""

    def __init__(self, least: float = LEAST, start: float = START) -> None:
        super().__init__(least, start)
        self._long = 0.0

    def _sample(self, now: int, ratio: float, took_us: int, in_hand: int) -> None:
        self.ratio = 0.9 * self.ratio + 0.1 * ratio if self.ratio else ratio
        self._long = 0.998 * self._long + 0.002 * ratio if self._long else ratio
        if in_hand < self.value / 2:
            return
        gradient = max(0.5, min(1.0, 1.5 * self._long / self.ratio))
        wanted = self.value * gradient + self.value**0.5
        self.value = max(self.least, 0.8 * self.value + 0.2 * wanted)


class Vegas(Limit):
    """Queue estimated from the least response time ever seen (Brakmo and Peterson, 1995)."""

    def __init__(self, least: float = LEAST, start: float = START) -> None:
        super().__init__(least, start)
        self._best = 1e9

    def _sample(self, now: int, ratio: float, took_us: int, in_hand: int) -> None:
        self.ratio = 0.9 * self.ratio + 0.1 * ratio if self.ratio else ratio
        self._best = min(self._best, ratio)
        queue = self.value * (1 - self._best / self.ratio)
        if queue < 3 and in_hand > self.value / 2:
            self.value += 1 / self.value
        elif queue > 6:
            self.value = max(self.least, self.value - 1 / self.value)


LOSERS: dict[str, Callable[[float], Limit]] = {
    "fixed": Fixed,
    "gradient": Gradient,
    "vegas": Vegas,
}
