"""What the parent process decides: which worker gets a connection, and which are started, drained or killed.

A worker is starting, serving, then draining, until its process ends. Each belongs to a generation, that of
the settings it was started with; a new generation's workers must serve before those of the old are drained.
No I/O.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SECOND_US = 1_000_000
BACKOFF_US = 200_000  # before a worker that ended is replaced; doubles with each that ends early
BACKOFF_CAP_US = 10 * SECOND_US
BACKOFF_DOUBLINGS = 10  # at most, so that the shift stays small
BACKOFF_SPREAD = (0.5, 1.0)  # a part of the backoff, drawn between these
STABLE_AFTER_US = 10 * SECOND_US  # one that ends before has not shown that its settings and host let it run
HEARTBEAT_LATE_US = 1 * SECOND_US  # without a heartbeat for so long, a worker gets no new connection
HEARTBEAT_TIMEOUT_US = 10 * SECOND_US  # and is killed and replaced
STARTUP_TIMEOUT_US = 30 * SECOND_US  # within which a worker that starts must serve


class Phase(Enum):
    """The state of a worker. The values are labels of `juniperreel_workers`."""

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
    """One worker process."""

    number: int
    slot: int
    generation: int
    started_us: int
    phase: Phase = Phase.STARTING
    last_heartbeat_us: int = 0
    connections: int = 0  # as of its last heartbeat
    assigned: int = 0  # connections passed to it since

    @property
    def load(self) -> int:
        """Its connections, with those that it has not reported yet."""
        return self.connections + self.assigned


@dataclass(slots=True)
class Slot:
    """A place for one worker of the current generation."""

    failures: int = 0  # in a row
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
    """Tell a worker to answer what is in flight and end."""

    worker: int


@dataclass(frozen=True, slots=True)
class Kill:
    """End a worker's process now."""

    worker: int
    reason: KillReason


Action = Start | Drain | Kill


class Supervisor:
    """All workers of one edge. Events in; each method returns the actions to be carried out now.

    Invariant: each slot holds at most one worker, and a worker that was told to drain is not replaced.
    """

    def __init__(self, count: int, seed: int) -> None:
        """`count` workers serve at a time; `seed` is that of the random choices."""
        self.workers: dict[int, Worker] = {}
        self.generation = 0
        self.stopping = False
        self.replaced = 0  # workers that ended without having been told to
        self._slots = [Slot() for _ in range(count)]
        self._random = random.Random(seed)
        self._next_number = 0

    # State.

    def serving(self) -> list[Worker]:
        """Return the workers that serve."""
        return [worker for worker in self.workers.values() if worker.phase is Phase.SERVING]

    def assign_connection(self, now_us: int) -> int | None:
        """Return the worker for a new connection: the one with the fewest, of those with a recent heartbeat.

        None if no worker serves.
        """
        serving = self.serving()
        candidates = [worker for worker in serving if now_us - worker.last_heartbeat_us < HEARTBEAT_LATE_US]
        if not candidates:
            # After a stall of the whole host every heartbeat is late; some worker must take the connection.
            candidates = serving
        if not candidates:
            return None
        least_load = min(worker.load for worker in candidates)
        chosen = self._random.choice([worker for worker in candidates if worker.load == least_load])
        chosen.assigned += 1
        return chosen.number

    # Events.

    def on_timer(self, now_us: int) -> list[Action]:
        """Kill workers whose time is out, and fill empty slots. To be called every few tenths of a second."""
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
        """Record that a worker serves, and how many connections it has."""
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
        """Drain them once all workers of the current generation serve; until then both serve."""
        serving = self.serving()
        current = [worker for worker in serving if worker.generation == self.generation]
        if len(current) != len(self._slots):
            return []
        return self._drain([worker for worker in serving if worker.generation != self.generation])

    def on_exit(self, now_us: int, number: int) -> list[Action]:
        """Record that a worker's process has ended, and replace it unless it was told to end."""
        worker = self.workers.pop(number, None)
        if worker is not None and worker.phase is not Phase.DRAINING and not self.stopping:
            self.replaced += 1
            # A worker of an older generation may have had a slot that no longer exists.
            if worker.generation == self.generation:
                self._release_slot(now_us, worker)
        return self.on_timer(now_us)

    def _release_slot(self, now_us: int, worker: Worker) -> None:
        slot = self._slots[worker.slot]
        if slot.worker != worker.number:
            return
        slot.worker = None
        if now_us - worker.started_us < STABLE_AFTER_US:
            slot.failures += 1
            backoff_us = min(BACKOFF_US << min(slot.failures, BACKOFF_DOUBLINGS), BACKOFF_CAP_US)
        else:
            slot.failures = 0
            backoff_us = 0
        # Workers that end of one cause would otherwise be restarted, and fail, all at the same time.
        slot.start_after_us = now_us + int(backoff_us * self._random.uniform(*BACKOFF_SPREAD))

    def reload(self, now_us: int, count: int) -> list[Action]:
        """Start a new generation of `count` workers beside the old one, which drains once all of it serve."""
        self.generation += 1
        starting = [worker for worker in self.workers.values() if worker.phase is Phase.STARTING]
        actions: list[Action] = [Kill(worker.number, KillReason.SETTINGS_OUTDATED) for worker in starting]
        for worker in starting:
            worker.phase = Phase.DRAINING
        self._slots = [Slot() for _ in range(count)]
        return actions + self.on_timer(now_us)

    def stop(self) -> list[Action]:
        """Drain all workers, and start no more."""
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
