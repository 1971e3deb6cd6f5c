"""Simulates endpoints behind admission controllers in virtual time: step responses, fairness, limits.

Requests arrive by a Poisson process, pass an admission controller, and queue at an endpoint with several
cores. Endpoint selection is a simplification of the router's (random, with bounded load), since the
simulation is for admission control.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from itertools import count
from typing import NamedTuple

from juniperreel.admission import Admission, AdmissionController, Arrival, Decision
from juniperreel.admission.concurrency import ConcurrencyLimit
from juniperreel.emulator.router_settings import SECOND_US
from juniperreel.emulator.virtual_time import VirtualClock
from juniperreel.routing.types import Settings

WORK_SIGMA = 0.4  # standard deviation of the logarithm of a request's work
BOUNDED_LOAD = 1.25  # an endpoint above this multiple of the mean load gets no new request
SAMPLE_INTERVAL_US = 50_000  # between samples of the limits
FAST_ERROR_US = 500  # response time of a fast error
NO_ENDPOINT_US = 20_000  # until a request fails for lack of an endpoint
TIMEOUT_US = 200_000  # until requests at a killed endpoint fail
MAX_OPEN = 100_000
FOREVER_US = 1 << 60


class Result(Enum):
    """How a request ended."""

    SERVED = "served"
    LATE = "late"  # served after its deadline
    REJECTED = "rejected"
    LOST = "lost"


class QueuedJob(NamedTuple):
    """A job in an endpoint's queue."""

    job: int
    work_us: int


@dataclass(slots=True)
class Server:
    """A simulated endpoint: cores with one queue."""

    cores: int
    alive: bool = True
    speed: float = 1.0
    busy: int = 0
    queue: deque[QueuedJob] = field(default_factory=deque)
    in_flight: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Job:
    """A request that has not ended."""

    controller: int
    class_index: int
    tenant_index: int
    arrived_us: int
    deadline_us: int
    work_us: int
    sent_us: int = 0
    server: int = -1


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """The end of one request."""

    ended_us: int
    arrived_us: int
    class_index: int
    tenant_index: int
    result: Result


@dataclass(frozen=True, slots=True)
class LimitSample:
    """The limits of all controllers for replicas, at a time."""

    at_us: int
    values: tuple[float, ...]


@dataclass(slots=True)
class Load:
    """Poisson arrivals of one kind, between two times."""

    rate_per_s: float
    class_index: int = 0
    tenant_index: int = -1
    start_us: int = 0
    end_us: int = FOREVER_US


class AdmissionModel:
    """The simulation. `at` schedules changes; `run` advances time and records `endings` and `limits`."""

    def __init__(
        self,
        settings: Settings,
        servers: list[Server],
        work_us: int = 45_000,
        controllers: int = 1,
        seed: int = 1,
        make_limit: Callable[[float], ConcurrencyLimit] = ConcurrencyLimit,
        admission_control: bool = True,
    ) -> None:
        """Set up an idle group.

        Args:
            settings: The settings of the routers.
            servers: The endpoints.
            work_us: Mean work of a request on one core.
            controllers: Number of edges that share the endpoints.
            seed: Of arrivals, work and endpoint selection; controllers use this seed and the following ones.
            make_limit: Creates a lane's limit from its minimum.
            admission_control: If false, every arrival is admitted.
        """
        self.settings = settings
        self.servers = servers
        self.work_us = work_us
        self.rng = random.Random(seed)
        self.controllers = [
            AdmissionController(settings, MAX_OPEN, seed + number, make_limit)
            for number in range(controllers)
        ]
        for controller in self.controllers:
            controller.set_endpoint_count(0, len(servers) + 1)
        self.admission_control = admission_control
        self.clock = VirtualClock()
        self.jobs: dict[int, Job] = {}
        self.endings: list[RequestEnd] = []
        self.limits: list[LimitSample] = []
        self.fast_errors = 0.0  # fraction of requests that end with a fast error
        self._job_numbers = count()

    @property
    def now_us(self) -> int:
        """The time of the simulation's clock."""
        return self.clock.now_us

    def at(self, time_us: int, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self.clock.at(time_us, action)

    def load(self, load: Load) -> None:
        """Start a Poisson process of arrivals."""
        self._schedule_arrival(load)

    def _schedule_arrival(self, load: Load) -> None:
        gap_us = int(self.rng.expovariate(load.rate_per_s) * SECOND_US)
        due_us = max(self.now_us, load.start_us) + gap_us
        if due_us < load.end_us:
            self.at(due_us, partial(self._arrive_and_schedule, load))

    def _arrive_and_schedule(self, load: Load) -> None:
        self._arrive(load)
        self._schedule_arrival(load)

    def burst(self, at_us: int, size: int, class_index: int = 0, tenant_index: int = -1) -> None:
        """Schedule `size` simultaneous arrivals."""
        load = Load(0.0, class_index, tenant_index)
        for _ in range(size):
            self.at(at_us, partial(self._arrive, load))

    def run(self, until_us: int) -> None:
        """Run until a time."""
        self._sample_limits()
        self.clock.run(until_us)

    def _sample_limits(self) -> None:
        values = tuple(
            lane.limit.value
            for controller in self.controllers
            for key, lane in controller.lanes()
            if not key.primary
        )
        self.limits.append(LimitSample(self.now_us, values))
        self.at(self.now_us + SAMPLE_INTERVAL_US, self._sample_limits)

    # Requests.

    def _arrive(self, load: Load) -> None:
        number = next(self._job_numbers)
        request_class = self.settings.classes[load.class_index]
        index = self.rng.randrange(len(self.controllers))
        work_us = int(self.work_us * self.rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA))
        deadline_us = self.now_us + request_class.deadline_us
        job = Job(index, load.class_index, load.tenant_index, self.now_us, deadline_us, work_us)
        self.jobs[number] = job
        if not self.admission_control:
            self._send(number)
            return
        rejection = self.controllers[index].reject_early(
            self.now_us, load.class_index, load.tenant_index, 0, request_class.deadline_us
        )
        if rejection is not None:
            self._end(number, Result.REJECTED)
            return
        arrival = Arrival(str(number), load.class_index, load.tenant_index, 0, self.now_us, deadline_us)
        self._carry_out(index, self.controllers[index].on_arrival(self.now_us, arrival))

    def _carry_out(self, index: int, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Admission):
                self._send(int(decision.request))
            else:
                self._end(int(decision.request), Result.REJECTED)
        due_us = self.controllers[index].next_timer_us()
        if due_us is not None:
            self.at(max(due_us, self.now_us), partial(self._run_timer, index))

    def _run_timer(self, index: int) -> None:
        due_us = self.controllers[index].next_timer_us()
        if due_us is not None and due_us <= self.now_us:
            self._carry_out(index, self.controllers[index].on_timer(self.now_us))

    def _send(self, number: int) -> None:
        if self.rng.random() < self.fast_errors:
            self.at(self.now_us + FAST_ERROR_US, partial(self._finish, number, Result.LOST, None))
            return
        alive = [index for index, server in enumerate(self.servers) if server.alive]
        if not alive:
            self.at(self.now_us + NO_ENDPOINT_US, partial(self._finish, number, Result.LOST, None))
            return
        mean = sum(len(self.servers[index].in_flight) for index in alive) / len(alive)
        eligible = [index for index in alive if len(self.servers[index].in_flight) <= BOUNDED_LOAD * mean + 1]
        job = self.jobs[number]
        job.server = self.rng.choice(eligible)
        job.sent_us = self.now_us
        server = self.servers[job.server]
        server.in_flight.add(number)
        server.queue.append(QueuedJob(number, job.work_us))
        self._start_queued(server)

    def _start_queued(self, server: Server) -> None:
        while server.queue and server.busy < server.cores and server.alive:
            queued = server.queue.popleft()
            if queued.job not in server.in_flight:
                continue
            server.busy += 1
            done_us = self.now_us + int(queued.work_us / server.speed)
            self.at(done_us, partial(self._complete, server, queued.job))

    def _complete(self, server: Server, number: int) -> None:
        if number not in server.in_flight:
            return
        server.busy -= 1
        server.in_flight.discard(number)
        job = self.jobs[number]
        result = Result.SERVED if self.now_us <= job.deadline_us else Result.LATE
        self._finish(number, result, self.now_us - job.sent_us)
        self._start_queued(server)

    def kill(self, index: int) -> None:
        """Kill an endpoint. Its requests end as lost after a time-out."""
        server = self.servers[index]
        server.alive = False
        server.busy = 0
        for number in server.in_flight:
            self.at(self.now_us + TIMEOUT_US, partial(self._finish, number, Result.LOST, None, dropped=True))
        server.in_flight.clear()
        server.queue.clear()

    def _finish(self, number: int, result: Result, took_us: int | None, dropped: bool = False) -> None:
        index = self.jobs[number].controller
        self._end(number, result)
        if self.admission_control:
            controller = self.controllers[index]
            self._carry_out(index, controller.on_finished(self.now_us, str(number), took_us, dropped))

    def _end(self, number: int, result: Result) -> None:
        job = self.jobs.pop(number)
        self.endings.append(
            RequestEnd(self.now_us, job.arrived_us, job.class_index, job.tenant_index, result)
        )

    # Results.

    def rate(
        self,
        result: Result,
        start_us: int,
        end_us: int,
        tenant_index: int | None = None,
        class_index: int | None = None,
    ) -> float:
        """Return the rate per second of requests that arrived between two times and ended with a result."""
        matching = sum(
            end.result is result
            and start_us <= end.arrived_us < end_us
            and tenant_index in (None, end.tenant_index)
            and class_index in (None, end.class_index)
            for end in self.endings
        )
        return matching / (end_us - start_us) * SECOND_US

    def total_limits(self, start_us: int, end_us: int) -> list[float]:
        """Return the samples of the sum of all limits between two times."""
        return [sum(sample.values) for sample in self.limits if start_us <= sample.at_us < end_us]
