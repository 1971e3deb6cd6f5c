"""Hundreds of drivers before one group of members, in virtual time: who is sent what when members change.

Drivers are the module's routers, each with its own seed, list and timers; members have cores, one queue, a
speed, and may fail quickly, vanish or start cold. Reads come by Poisson processes, unevenly over the drivers.
What arrives at members is left as `proof.spread` reads it. One seed gives one play.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from juniperreel.emulator.router_settings import make_settings
from juniperreel.routing.policy.router import Router
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    Cancel,
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
    Settings,
    StalenessGuard,
    StartHealthCheck,
    TimerFired,
    UpdateKind,
)
from juniperreel.verification.spread import Arrival

MS = 1_000
US = 1_000_000
TRIP_US = (200, 600)  # one way
REPORT_AGE_US = 100 * MS
WORK_SPREAD = 0.5  # of the logarithm of a read's work
QUICK_US = 2 * MS  # in which a member that fails answers
START_US = 1_000 * US  # of the play's clock

READ = RequestClass(
    "read", Idempotency.IDEMPOTENT, KeyScope.ALL, 0, Consistency.ANY, 0, 500 * MS, 2 * US, 1.0, 0.2
)

BOUNDED = replace(READ, consistency=Consistency.BOUNDED, max_staleness_us=300 * MS)

MakeRouter = Callable[[Settings, int], Router]


def settings(drivers: int, read: RequestClass = READ, **changes: Any) -> Settings:
    ours: dict[str, Any] = {
        "max_attempts": 6,
        "response_grace_us": 20 * MS,
        "slow_start_us": 10 * US,
        "must_poll": False,
        "poll_interval_us": 10 * US,
        "staleness_guard": StalenessGuard.OFF,
        "requests_carry_session_age": False,
    }
    return replace(make_settings((read,), router_count=drivers), **(ours | changes))


@dataclass(slots=True)
class Plant:
    """One member."""

    name: str
    primary: bool = False
    cores: int = 4
    speed: float = 1.0
    failing: float = 0.0  # the part of its attempts that it answers with a quick error
    alive: bool = True
    born_us: int = 0
    readiness: Readiness = Readiness.READY
    busy: int = 0
    queue: deque[tuple[int, str, int]] = field(default_factory=deque)  # driver, request, attempt

    def line(self) -> Endpoint:
        return Endpoint(self.name, 0, 0, 0, self.readiness, self.primary, 1.0, self.born_us)


@dataclass(slots=True)
class Served:
    """By driver: what was taken, and what was served within its aim."""

    taken: int = 0
    good: int = 0


class Fleet:
    """One play. `at` plans what happens to members or drivers; `run` plays on to a second of the play."""

    def __init__(
        self,
        drivers: int = 240,
        replicas: int = 11,
        rate: float = 1.86,
        heavy: float = 5.0,
        work_us: int = 30 * MS,
        seed: int = 1,
        make: MakeRouter = Router,
        read: RequestClass = READ,
        **changes: Any,
    ) -> None:
        """`rate`: reads a second of an ordinary driver; one in ten has `heavy` times that."""
        self.rng = random.Random(seed)
        self.read = read
        self.settings, self.make, self.work_us = settings(drivers, read, **changes), make, work_us
        self.now = START_US
        self._heap: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._count = 0
        self.plants = {"p": Plant("p", primary=True)}
        self.plants |= {f"r{i:02}": Plant(f"r{i:02}") for i in range(replicas)}
        self.rates = [rate * (heavy if i % 10 == 0 else 1.0) for i in range(drivers)]
        self.routers: list[Router] = []
        self.lives = [0] * drivers
        self.open: list[dict[str, int]] = [{} for _ in range(drivers)]  # request: when it came
        self.out: set[tuple[int, str, int]] = set()  # attempts that their driver waits for
        self.tried: list[dict[str, int]] = [{} for _ in range(drivers)]
        self.served = [Served() for _ in range(drivers)]
        self.arrivals: list[Arrival] = []
        self.probes: list[Arrival] = []
        for i in range(drivers):
            self.routers.append(self._fresh(i))
            self._arrive_next(i)

    # Planning.

    def _after(self, us: float, what: Callable[..., object], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._heap, (self.now + int(us), self._count, what, args))

    def at(self, second: float, what: Callable[[Fleet], object]) -> None:
        self._after(START_US + second * US - self.now, what, self)

    def time(self, second: float) -> int:
        """A time of the play on its clock."""
        return START_US + int(second * US)

    def run(self, until: float) -> None:
        end = self.time(until)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
        self.now = end

    # What happens to members and drivers.

    def tell(self, plant: Plant, late_us: tuple[int, int] = (200 * MS, 1_000 * MS)) -> None:
        """Every driver learns of the member's line after a time of its own."""
        line = plant.line()
        for i in range(len(self.routers)):
            self._after(self.rng.uniform(*late_us), self._told, i, line)

    def _told(self, driver: int, line: Endpoint) -> None:
        self._hand(driver, EndpointUpdate(UpdateKind.DELTA, (line,)))

    def replace(self, name: str) -> str:
        """The member is gone; another starts cold under a new name."""
        old = self.plants[name]
        old.alive, old.readiness = False, Readiness.REMOVED
        self.tell(old)
        fresh = Plant(f"n{len(self.plants):02}", old.primary, old.cores, born_us=self.now)
        self.plants[fresh.name] = fresh
        self.tell(fresh)
        return fresh.name

    def restart(self, part: float) -> None:
        """So many of the drivers start anew at once, with nothing known but the list."""
        for i in self.rng.sample(range(len(self.routers)), round(part * len(self.routers))):
            self.lives[i] += 1
            self.open[i], self.tried[i] = {}, {}
            self.routers[i] = self._fresh(i)

    def _fresh(self, driver: int) -> Router:
        router = self.make(self.settings, self.rng.getrandbits(48))
        lines = tuple(p.line() for p in self.plants.values() if p.readiness is not Readiness.REMOVED)
        self._act(driver, router.handle(self.now, [EndpointUpdate(UpdateKind.CACHED, lines)]))
        return router

    # Requests.

    def _arrive_next(self, driver: int) -> None:
        self._after(US * self.rng.expovariate(self.rates[driver]), self._arrive, driver)

    def _arrive(self, driver: int) -> None:
        self._arrive_next(driver)
        self._count += 1
        name = f"{self._count}"
        self.open[driver][name] = self.now
        self.served[driver].taken += 1
        self._hand(driver, Request(name, 0, -1, 0, self.now + self.read.deadline_us))

    def _hand(self, driver: int, *events: Event) -> None:
        self._act(driver, self.routers[driver].handle(self.now, events))

    def _act(self, driver: int, actions: list[Action]) -> None:
        life = self.lives[driver]
        for action in actions:
            match action:
                case Send(request, member, timeout):
                    number = self.tried[driver].get(request, 0)
                    self.tried[driver][request] = number + 1
                    self.out.add((driver, request, number))
                    attempt = (driver, life, request, number, member)
                    self._after(self.rng.uniform(*TRIP_US), self._reach, *attempt)
                    self._after(timeout, self._end, *attempt, self.now, "timeout")
                case SetTimer(after, key):
                    self._after(after, self._ring, driver, life, key)
                case StartHealthCheck(member):
                    self.probes.append(Arrival(self.now, member, str(driver)))
                    self._after(2 * self.rng.uniform(*TRIP_US), self._probed, driver, life, member, self.now)
                case Cancel(request, number):
                    for plant in self.plants.values():
                        if (driver, request, number) in plant.queue:
                            plant.queue.remove((driver, request, number))
                    self._after(0, self._end, driver, life, request, number, "", self.now, "cancelled")
                case Reject(request, _) | Fail(request):
                    self.open[driver].pop(request, None)

    def _ring(self, driver: int, life: int, key: int) -> None:
        if life == self.lives[driver]:
            self._hand(driver, TimerFired(key))

    def _probed(self, driver: int, life: int, member: str, sent_us: int) -> None:
        if life != self.lives[driver]:
            return
        plant, took = self.plants[member], self.now - sent_us
        if plant.alive:
            report = LoadReport(self.now - REPORT_AGE_US, plant.primary, queued=float(len(plant.queue)))
            self._hand(driver, HealthCheckEnded(member, Outcome.OK, took, report))
        else:
            self._hand(driver, HealthCheckEnded(member, Outcome.UNREACHABLE, took, None))

    # Members.

    def _reach(self, driver: int, life: int, request: str, number: int, member: str) -> None:
        if life != self.lives[driver]:
            return
        plant = self.plants[member]
        if not plant.alive:
            self._end(driver, life, request, number, member, self.now, "unreachable")
            return
        self.arrivals.append(Arrival(self.now, member, str(driver)))
        if self.rng.random() < plant.failing:
            self._after(QUICK_US, self._end, driver, life, request, number, member, self.now, "error")
        else:
            plant.queue.append((driver, request, number))
            self._work(plant)

    def _work(self, plant: Plant) -> None:
        while plant.queue and plant.busy < plant.cores:
            driver, request, number = plant.queue.popleft()
            plant.busy += 1
            age = self.now - plant.born_us
            s = self.settings
            warm = min(
                1.0,
                s.slow_start_initial_capacity + (1 - s.slow_start_initial_capacity) * age / s.slow_start_us,
            )
            work = self.work_us * math.exp(self.rng.gauss(-(WORK_SPREAD**2) / 2, WORK_SPREAD))
            took = work / (plant.speed * warm)
            self._after(took, self._done, plant, driver, self.lives[driver], request, number)

    def _done(self, plant: Plant, driver: int, life: int, request: str, number: int) -> None:
        plant.busy -= 1
        if plant.alive:
            trip = self.rng.uniform(*TRIP_US)
            self._after(trip, self._end, driver, life, request, number, plant.name, self.now, "ok")
        self._work(plant)

    def _end(
        self, driver: int, life: int, request: str, number: int, member: str, sent_us: int, how: str
    ) -> None:
        if life != self.lives[driver] or (driver, request, number) not in self.out:
            return
        self.out.discard((driver, request, number))
        came = self.open[driver].get(request)
        outcome = Outcome(how)
        plant = self.plants.get(member)
        if outcome is Outcome.OK and came is not None:
            self.served[driver].good += self.now - came <= self.read.latency_objective_us
            del self.open[driver][request]
        started = sent_us if how != "ok" else self._sent(driver, request, sent_us)
        position = self.now if outcome is Outcome.OK else None
        role = Role.UNKNOWN
        if plant is not None and outcome in (Outcome.OK, Outcome.ERROR):
            role = Role.PRIMARY if plant.primary else Role.REPLICA
        self._hand(
            driver,
            AttemptEnded(
                request,
                number,
                member,
                outcome,
                max(self.now - started, 1),
                outcome is Outcome.OK or came is None,
                role,
                position,
                None,
            ),
        )
        if request not in self.routers[driver].requests:
            self.tried[driver].pop(request, None)

    def _sent(self, driver: int, request: str, sent_us: int) -> int:
        """When the attempt that just ended was sent, as its router has it."""
        state = self.routers[driver].requests.get(request)
        times = [sent for sent, _ in state.out.values()] if state is not None else []
        return min(times, default=sent_us)

    @property
    def share_served(self) -> float:
        taken = sum(s.taken for s in self.served)
        return sum(s.good for s in self.served) / max(taken, 1)
