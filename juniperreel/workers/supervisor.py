"""Decides which worker gets a connection, and which workers are started, drained or killed. No I/O.

A worker is starting, then serving, then draining, until its process exits. It belongs to the generation of
the settings with which it was started. The workers of an old generation are only drained once those of the
new one are serving.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SECOND_US = 1_000_000
INITIAL_BACKOFF_US = 200_000  # before a worker is replaced after an early exit; doubles with each further one
MAX_BACKOFF_US = 10 * SECOND_US
MAX_BACKOFF_DOUBLINGS = 10  # bounds the shift that computes the backoff
BACKOFF_JITTER = (0.5, 1.0)  # random factor of the backoff
STABLE_UPTIME_US = 10 * SECOND_US  # an earlier exit may be due to its settings or host, and causes a backoff
HEARTBEAT_LATE_US = 1 * SECOND_US  # without a heartbeat for this long, a worker gets no new connections
HEARTBEAT_TIMEOUT_US = 10 * SECOND_US  # without a heartbeat for this long, a worker is killed and replaced
STARTUP_TIMEOUT_US = 30 * SECOND_US  # within which a started worker must be serving


class Phase(Enum):
    """Lifecycle phase of a worker. The values are label values of `juniperreel_workers`."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class KillReason(Enum):
    """Why a worker is killed."""

    STARTUP_TIMED_OUT = "startup timed out"
    HEARTBEAT_TIMED_OUT = "heartbeat timed out"
    SETTINGS_OUTDATED = "settings outdated"


@dataclass(slots=True)
class Worker:
    """State of a worker process."""

    number: int
    slot: int
    generation: int
    started_us: int
    phase: Phase = Phase.STARTING
    last_heartbeat_us: int = 0
    connections: int = 0  # reported by the last heartbeat
    assigned: int = 0  # connections assigned since the last heartbeat

    @property
    def load(self) -> int:
        """Number of connections, including those not reported yet."""
        return self.connections + self.assigned


@dataclass(slots=True)
class Slot:
    """A place for one worker of the current generation."""

    failures: int = 0  # consecutive early exits
    start_after_us: int = 0
    worker: int | None = None


@dataclass(frozen=True, slots=True)
class Start:
    """Start a worker process."""

    worker: int
    slot: int
    generation: int


@dataclass(frozen=True, slots=True)
class Drain:
    """Tell a worker to complete its requests in flight and exit."""

    worker: int


@dataclass(frozen=True, slots=True)
class Kill:
    """Kill a worker's process."""

    worker: int
    reason: KillReason


Action = Start | Drain | Kill


class Supervisor:
    """Supervises the workers of an edge. Event methods return the actions to execute.

    Invariant: each slot holds at most one worker, and a draining worker is not replaced.
    """

    def __init__(self, count: int, seed: int) -> None:
        """`count` is the number of workers; `seed` initializes the random choices."""
        self.workers: dict[int, Worker] = {}
        self.generation = 0
        self.stopping = False
        self.replaced = 0  # workers that exited unexpectedly
        self._slots = [Slot() for _ in range(count)]
        self._random = random.Random(seed)
        self._next_number = 0

    # State.

    def serving(self) -> list[Worker]:
        """Return the serving workers."""
        return [worker for worker in self.workers.values() if worker.phase is Phase.SERVING]

    def assign_connection(self, now_us: int) -> int | None:
        """Return the worker for a new connection, or None if no worker is serving.

        Selects the least-loaded worker among those with a recent heartbeat.
        """
        serving = self.serving()
        candidates = [worker for worker in serving if now_us - worker.last_heartbeat_us < HEARTBEAT_LATE_US]
        if not candidates:
            # After a stall of the whole host, all heartbeats are late; any serving worker is eligible.
            candidates = serving
        if not candidates:
            return None
        least_load = min(worker.load for worker in candidates)
        chosen = self._random.choice([worker for worker in candidates if worker.load == least_load])
        chosen.assigned += 1
        return chosen.number

    # Events.

    def on_timer(self, now_us: int) -> list[Action]:
        """Kill workers that timed out, and fill empty slots. Must be called every few hundred ms."""
        actions: list[Action] = []
        for worker in self.workers.values():
            reason = _kill_reason(worker, now_us)
            if reason is not None:
                actions.append(Kill(worker.number, reason))
        if self.stopping:
            return actions
        for index, slot in enumerate(self._slots):
            if slot.worker is None and now_us >= slot.start_after_us:
                actions.append(self._start_worker(now_us, index))
        return actions

    def _start_worker(self, now_us: int, slot_index: int) -> Start:
        number = self._next_number
        self._next_number += 1
        self._slots[slot_index].worker = number
        self.workers[number] = Worker(number, slot_index, self.generation, now_us, last_heartbeat_us=now_us)
        return Start(number, slot_index, self.generation)

    def on_heartbeat(self, now_us: int, number: int, connections: int) -> list[Action]:
        """Record a heartbeat: the worker is serving, with this number of connections."""
        worker = self.workers.get(number)
        if worker is None:
            return []
        worker.last_heartbeat_us = now_us
        worker.connections = connections
        worker.assigned = 0
        if worker.phase is not Phase.STARTING:
            return []
        worker.phase = Phase.SERVING
        if self.stopping:
            return self._drain([worker])
        return self._drain_old_generations()

    def _drain_old_generations(self) -> list[Action]:
        """Drain old workers once the whole current generation is serving; until then, both serve."""
        serving = self.serving()
        current = [worker for worker in serving if worker.generation == self.generation]
        if len(current) != len(self._slots):
            return []
        return self._drain([worker for worker in serving if worker.generation != self.generation])

    def on_exit(self, now_us: int, number: int) -> list[Action]:
        """Record the exit of a worker's process, and replace the worker unless it was draining."""
        worker = self.workers.pop(number, None)
        if worker is not None and worker.phase is not Phase.DRAINING and not self.stopping:
            self.replaced += 1
            # The slot of a worker of an older generation may no longer exist.
            if worker.generation == self.generation:
                self._release_slot(now_us, worker)
        return self.on_timer(now_us)

    def _release_slot(self, now_us: int, worker: Worker) -> None:
        slot = self._slots[worker.slot]
        if slot.worker != worker.number:
            return
        slot.worker = None
        if now_us - worker.started_us < STABLE_UPTIME_US:
            slot.failures += 1
            backoff_us = min(INITIAL_BACKOFF_US << min(slot.failures, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_US)
        else:
            slot.failures = 0
            backoff_us = 0
        # Jitter: workers that exit for a common reason would otherwise be restarted, and fail, together.
        slot.start_after_us = now_us + int(backoff_us * self._random.uniform(*BACKOFF_JITTER))

    def reload(self, now_us: int, count: int) -> list[Action]:
        """Start a new generation of `count` workers; the old one drains once all of these are serving."""
        self.generation += 1
        starting = [worker for worker in self.workers.values() if worker.phase is Phase.STARTING]
        actions: list[Action] = [Kill(worker.number, KillReason.SETTINGS_OUTDATED) for worker in starting]
        for worker in starting:
            worker.phase = Phase.DRAINING
        self._slots = [Slot() for _ in range(count)]
        return actions + self.on_timer(now_us)

    def stop(self) -> list[Action]:
        """Drain all workers, and do not start any more."""
        self.stopping = True
        return self._drain(self.serving())

    @staticmethod
    def _drain(workers: list[Worker]) -> list[Action]:
        for worker in workers:
            worker.phase = Phase.DRAINING
        return [Drain(worker.number) for worker in workers]


def _kill_reason(worker: Worker, now_us: int) -> KillReason | None:
    if worker.phase is Phase.STARTING and now_us - worker.started_us > STARTUP_TIMEOUT_US:
        return KillReason.STARTUP_TIMED_OUT
    if worker.phase is Phase.SERVING and now_us - worker.last_heartbeat_us > HEARTBEAT_TIMEOUT_US:
        return KillReason.HEARTBEAT_TIMED_OUT
    return None
