"""Simulates hundreds of routers and one group of endpoints in virtual time, to measure the load distribution.

The routers are the production implementation, each with its own seed, endpoint list and timers. Endpoints
have cores, one queue and a speed, and may fail fast, disappear or start cold. Reads arrive by Poisson
processes with different rates per router. Arrivals at endpoints are recorded for `verification.spread`. The
simulation is deterministic for a seed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count
from typing import Any

from juniperreel.emulator.fleet_state import Attempt, AttemptKey, EndpointModel, RouterRecord
from juniperreel.emulator.router_settings import SECOND_US, make_request_class, make_settings
from juniperreel.emulator.virtual_time import VirtualClock
from juniperreel.routing.router import Router
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

MILLISECOND_US = 1_000
ONE_WAY_DELAY_US = (200, 600)  # range of the one-way network delay
UPDATE_DELAY_US = (200 * MILLISECOND_US, 1_000 * MILLISECOND_US)  # range, until a router gets an update
REPORT_AGE_US = 100 * MILLISECOND_US
WORK_SIGMA = 0.5  # standard deviation of the logarithm of a read's work
FAST_ERROR_US = 2 * MILLISECOND_US  # response time of a fast error
START_US = 1_000 * SECOND_US  # clock time at the start of the simulation
HEAVY_ROUTER_EVERY = 10  # every n-th router has more reads than the others

READ = make_request_class(latency_objective_us=500 * MILLISECOND_US)
BOUNDED_READ = replace(READ, consistency=Consistency.BOUNDED, max_staleness_us=300 * MILLISECOND_US)

RouterFactory = Callable[[Settings, int], Router]


def make_fleet_settings(router_count: int, read_class: RequestClass = READ, **changes: Any) -> Settings:
    """Return settings for routers that watch the endpoint list, with `changes` to their fields."""
    defaults: dict[str, Any] = {
        "max_attempts": 6,
        "response_grace_us": 20 * MILLISECOND_US,
        "slow_start_us": 10 * SECOND_US,
        "must_poll": False,
        "poll_interval_us": 10 * SECOND_US,
        "staleness_guard": StalenessGuard.OFF,
        "requests_carry_session_age": False,
    }
    return replace(make_settings((read_class,), router_count=router_count), **(defaults | changes))


class Fleet:
    """One simulation. `at` schedules changes to endpoints or routers; `run` advances to a time in seconds."""

    def __init__(
        self,
        router_count: int = 240,
        replicas: int = 11,
        rate_per_s: float = 1.86,
        heavy_factor: float = 5.0,
        work_us: int = 30 * MILLISECOND_US,
        seed: int = 1,
        make_router: RouterFactory = Router,
        read_class: RequestClass = READ,
        **changes: Any,
    ) -> None:
        """Set up the fleet and schedule the first arrivals.

        Each router gets `rate_per_s` reads a second, and every tenth one `heavy_factor` times as many.
        `work_us` is the mean work of a read on one core at full speed. `changes` apply to the routers'
        settings.
        """
        self.rng = random.Random(seed)
        self.read_class = read_class
        self.settings = make_fleet_settings(router_count, read_class, **changes)
        self.make_router = make_router
        self.work_us = work_us
        self.clock = VirtualClock(START_US)
        self._request_numbers = count()
        self.endpoints = {"p": EndpointModel("p", primary=True)}
        self.endpoints |= {f"r{i:02}": EndpointModel(f"r{i:02}") for i in range(replicas)}
        self.records = [
            RouterRecord(rate_per_s * (heavy_factor if i % HEAVY_ROUTER_EVERY == 0 else 1.0))
            for i in range(router_count)
        ]
        self.routers: list[Router] = []
        self.outstanding: set[AttemptKey] = set()  # attempts whose routers have not seen their end
        self.arrivals: list[Arrival] = []
        self.health_checks: list[Arrival] = []
        for router in range(router_count):
            self.routers.append(self._start_router(router))
            self._schedule_arrival(router)

    # Time.

    @property
    def now_us(self) -> int:
        """The time of the simulation's clock."""
        return self.clock.now_us

    def _after(self, delay_us: float, action: Callable[..., object], *arguments: Any) -> None:
        self.clock.at(self.now_us + int(delay_us), partial(action, *arguments))

    def at(self, second: float, change: Callable[[Fleet], object]) -> None:
        """Schedule a change, in seconds after the start."""
        self._after(START_US + second * SECOND_US - self.now_us, change, self)

    def time_us(self, second: float) -> int:
        """Convert seconds after the start to a time on the clock."""
        return START_US + int(second * SECOND_US)

    def run(self, until: float) -> None:
        """Run until a time in seconds after the start."""
        self.clock.run(self.time_us(until))

    # Changes to endpoints and routers.

    def announce(self, endpoint: EndpointModel, delay_us: tuple[int, int] = UPDATE_DELAY_US) -> None:
        """Send the endpoint's list entry to every router, each after a random delay."""
        entry = endpoint.list_entry()
        for router in range(len(self.routers)):
            self._after(self.rng.uniform(*delay_us), self._update_endpoint, router, entry)

    def _update_endpoint(self, router: int, entry: Endpoint) -> None:
        self._handle(router, EndpointUpdate(UpdateKind.DELTA, (entry,)))

    def replace_endpoint(self, name: str) -> str:
        """Replace the endpoint with a cold one, and return the new one's name."""
        old = self.endpoints[name]
        old.alive = False
        old.readiness = Readiness.REMOVED
        self.announce(old)
        new_name = f"n{len(self.endpoints):02}"
        new = EndpointModel(new_name, old.primary, old.cores, started_us=self.now_us)
        self.endpoints[new_name] = new
        self.announce(new)
        return new_name

    def restart_routers(self, fraction: float) -> None:
        """Restart a fraction of the routers at once; they keep no state but the endpoint list."""
        count = round(fraction * len(self.routers))
        for router in self.rng.sample(range(len(self.routers)), count):
            self.records[router].restart()
            self.routers[router] = self._start_router(router)

    def _start_router(self, router: int) -> Router:
        started = self.make_router(self.settings, self.rng.getrandbits(48))
        entries = tuple(
            endpoint.list_entry()
            for endpoint in self.endpoints.values()
            if endpoint.readiness is not Readiness.REMOVED
        )
        update = EndpointUpdate(UpdateKind.CACHED, entries)
        self._carry_out(router, started.handle(self.now_us, [update]))
        return started

    # Requests and routers.

    def _schedule_arrival(self, router: int) -> None:
        self._after(SECOND_US * self.rng.expovariate(self.records[router].rate_per_s), self._arrive, router)

    def _arrive(self, router: int) -> None:
        self._schedule_arrival(router)
        name = f"{next(self._request_numbers)}"
        self.records[router].open_requests[name] = self.now_us
        self.records[router].arrived += 1
        self._handle(router, Request(name, 0, -1, 0, self.now_us + self.read_class.deadline_us))

    def _handle(self, router: int, *events: Event) -> None:
        self._carry_out(router, self.routers[router].handle(self.now_us, events))

    def _carry_out(self, router: int, actions: list[Action]) -> None:
        incarnation = self.records[router].incarnation
        for action in actions:
            match action:
                case Send(request, endpoint, timeout_us):
                    self._send(router, request, endpoint, timeout_us)
                case SetTimer(delay_us, key):
                    self._after(delay_us, self._fire_timer, router, incarnation, key)
                case StartHealthCheck(endpoint):
                    self._start_health_check(router, endpoint)
                case Cancel(request, number):
                    self._cancel(AttemptKey(router, request, number))
                case Reject(request, _) | Fail(request):
                    self.records[router].open_requests.pop(request, None)

    def _send(self, router: int, request: str, endpoint: str, timeout_us: int) -> None:
        number = self.records[router].attempt_counts.get(request, 0)
        self.records[router].attempt_counts[request] = number + 1
        key = AttemptKey(router, request, number)
        self.outstanding.add(key)
        attempt = Attempt(key, self.records[router].incarnation, endpoint)
        self._after(self.rng.uniform(*ONE_WAY_DELAY_US), self._reach_endpoint, attempt)
        self._after(timeout_us, self._end_attempt, attempt, self.now_us, Outcome.TIMEOUT)

    def _cancel(self, key: AttemptKey) -> None:
        for endpoint in self.endpoints.values():
            if key in endpoint.queue:
                endpoint.queue.remove(key)
        attempt = Attempt(key, self.records[key.router].incarnation, endpoint="")
        self._after(0, self._end_attempt, attempt, self.now_us, Outcome.CANCELLED)

    def _start_health_check(self, router: int, endpoint: str) -> None:
        self.health_checks.append(Arrival(self.now_us, endpoint, str(router)))
        incarnation = self.records[router].incarnation
        round_trip_us = 2 * self.rng.uniform(*ONE_WAY_DELAY_US)
        self._after(round_trip_us, self._end_health_check, router, incarnation, endpoint, self.now_us)

    def _fire_timer(self, router: int, incarnation: int, key: int) -> None:
        if incarnation == self.records[router].incarnation:
            self._handle(router, TimerFired(key))

    def _end_health_check(self, router: int, incarnation: int, name: str, sent_us: int) -> None:
        if incarnation != self.records[router].incarnation:
            return
        endpoint = self.endpoints[name]
        took_us = self.now_us - sent_us
        if endpoint.alive:
            report = LoadReport(
                self.now_us - REPORT_AGE_US, endpoint.primary, queued=float(len(endpoint.queue))
            )
            self._handle(router, HealthCheckEnded(name, Outcome.OK, took_us, report))
        else:
            self._handle(router, HealthCheckEnded(name, Outcome.UNREACHABLE, took_us, None))

    # Endpoints.

    def _reach_endpoint(self, attempt: Attempt) -> None:
        router = attempt.key.router
        if attempt.incarnation != self.records[router].incarnation:
            return
        endpoint = self.endpoints[attempt.endpoint]
        if not endpoint.alive:
            self._end_attempt(attempt, self.now_us, Outcome.UNREACHABLE)
            return
        self.arrivals.append(Arrival(self.now_us, attempt.endpoint, str(router)))
        if self.rng.random() < endpoint.error_rate:
            self._after(FAST_ERROR_US, self._end_attempt, attempt, self.now_us, Outcome.ERROR)
        else:
            endpoint.queue.append(attempt.key)
            self._start_queued(endpoint)

    def _start_queued(self, endpoint: EndpointModel) -> None:
        while endpoint.queue and endpoint.busy < endpoint.cores:
            key = endpoint.queue.popleft()
            endpoint.busy += 1
            work_us = self.work_us * math.exp(self.rng.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))
            took_us = work_us / (endpoint.speed * self._warm_capacity(endpoint))
            attempt = Attempt(key, self.records[key.router].incarnation, endpoint.name)
            self._after(took_us, self._complete, endpoint, attempt)

    def _warm_capacity(self, endpoint: EndpointModel) -> float:
        """Return the fraction of its speed that a warming endpoint has, by its age."""
        age_us = self.now_us - endpoint.started_us
        initial = self.settings.slow_start_initial_capacity
        return min(1.0, initial + (1 - initial) * age_us / self.settings.slow_start_us)

    def _complete(self, endpoint: EndpointModel, attempt: Attempt) -> None:
        endpoint.busy -= 1
        if endpoint.alive:
            delay_us = self.rng.uniform(*ONE_WAY_DELAY_US)
            self._after(delay_us, self._end_attempt, attempt, self.now_us, Outcome.OK)
        self._start_queued(endpoint)

    def _end_attempt(self, attempt: Attempt, sent_us: int, outcome: Outcome) -> None:
        router, request, number = attempt.key
        if attempt.incarnation != self.records[router].incarnation or attempt.key not in self.outstanding:
            return
        self.outstanding.discard(attempt.key)
        arrived_us = self.records[router].open_requests.get(request)
        if outcome is Outcome.OK:
            if arrived_us is not None:
                took_us = self.now_us - arrived_us
                in_time = took_us <= self.read_class.latency_objective_us
                self.records[router].served_in_time += in_time
                del self.records[router].open_requests[request]
            sent_us = self._sent_us(router, request, sent_us)
        ended = AttemptEnded(
            request,
            number,
            attempt.endpoint,
            outcome,
            max(self.now_us - sent_us, 1),
            outcome is Outcome.OK or arrived_us is None,
            self._reported_role(attempt.endpoint, outcome),
            self.now_us if outcome is Outcome.OK else None,
            None,
        )
        self._handle(router, ended)
        if request not in self.routers[router].state.requests:
            self.records[router].attempt_counts.pop(request, None)

    def _reported_role(self, name: str, outcome: Outcome) -> Role:
        """Return the role that the response reports; unknown without a response."""
        endpoint = self.endpoints.get(name)
        if endpoint is None or outcome not in (Outcome.OK, Outcome.ERROR):
            return Role.UNKNOWN
        return Role.PRIMARY if endpoint.primary else Role.REPLICA

    def _sent_us(self, router: int, request: str, default_us: int) -> int:
        """Return when the attempt that just ended was sent, by the router's record."""
        state = self.routers[router].state.requests.get(request)
        times = [sent.sent_us for sent in state.in_flight.values()] if state is not None else []
        return min(times, default=default_us)

    @property
    def served_fraction(self) -> float:
        """The fraction of all requests that were served within the latency objective."""
        arrived = sum(record.arrived for record in self.records)
        return sum(record.served_in_time for record in self.records) / max(arrived, 1)
