"""What the parent decides: who gets a connection, who is replaced and when, who is drained. No I/O.

A worker's life: starting, serving, draining, ended. Each belongs to a generation, that of the settings it was
started with; a new generation's workers must serve before those of the old are drained.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

SEC = 1_000_000
BACKOFF_US = 200_000  # before a worker that ended is replaced; doubles with each that ends young
BACKOFF_CAP_US = 10 * SEC
YOUNG_US = 10 * SEC  # one that ends within this has not shown that its settings and machine let it live
QUIET_US = 1 * SEC  # without a word from it, a worker gets no new connection
HUNG_US = 10 * SEC  # and is killed and replaced
START_US = 30 * SEC  # within which one that starts must serve


class Phase(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(slots=True)
class Worker:
    """One process. `connections` as it last told, and those handed to it since."""

    number: int
    slot: int
    generation: int
    since_us: int
    phase: Phase = Phase.STARTING
    heard_us: int = 0
    connections: int = 0
    handed: int = 0


@dataclass(slots=True)
class Slot:
    """A place that one worker of a generation fills."""

    failures: int = 0
    due_us: int = 0  # not to be filled before
    worker: int | None = None


@dataclass(frozen=True, slots=True)
class Start:
    worker: int
    slot: int
    generation: int


@dataclass(frozen=True, slots=True)
class Drain:
    worker: int


@dataclass(frozen=True, slots=True)
class Kill:
    worker: int
    why: str


Order = Start | Drain | Kill


class Roster:
    """All workers of one edge. Every method returns what is to be done now."""

    def __init__(self, count: int, seed: int) -> None:
        self.workers: dict[int, Worker] = {}
        self.generation = 0
        self.stopping = False
        self.replaced = 0  # workers that ended without having been asked to
        self._slots = [Slot() for _ in range(count)]
        self._random = random.Random(seed)
        self._born = 0

    # What it may be asked.

    def serving(self) -> list[Worker]:
        return [w for w in self.workers.values() if w.phase is Phase.SERVING]

    def pick(self, now: int) -> int | None:
        """Who gets a connection that has just come: the one with fewest, of those that were heard lately."""
        able = self.serving()
        heard = [w for w in able if now - w.heard_us < QUIET_US]
        if not heard:
            # Danger: a machine that stood still finds all of them quiet; somebody must take it.
            heard = able
        if not heard:
            return None
        fewest = min(w.connections + w.handed for w in heard)
        chosen = self._random.choice([w for w in heard if w.connections + w.handed == fewest])
        chosen.handed += 1
        return chosen.number

    # Events.

    def tick(self, now: int) -> list[Order]:
        """To be called now and then, and after each other event."""
        orders: list[Order] = []
        for worker in self.workers.values():
            if worker.phase is Phase.STARTING and now - worker.since_us > START_US:
                orders.append(Kill(worker.number, "it did not come up"))
            elif worker.phase is Phase.SERVING and now - worker.heard_us > HUNG_US:
                orders.append(Kill(worker.number, "it was not heard of"))
        if self.stopping:
            return orders
        for number, slot in enumerate(self._slots):
            if slot.worker is None and now >= slot.due_us:
                slot.worker = self._born
                self.workers[self._born] = Worker(self._born, number, self.generation, now, heard_us=now)
                orders.append(Start(self._born, number, self.generation))
                self._born += 1
        return orders

    def heard(self, now: int, number: int, connections: int) -> list[Order]:
        """A worker says that it serves, and how many connections it has."""
        worker = self.workers.get(number)
        if worker is None:
            return []
        worker.heard_us, worker.connections, worker.handed = now, connections, 0
        if worker.phase is not Phase.STARTING:
            return []
        worker.phase = Phase.SERVING
        if self.stopping:
            return self._drain([worker])
        current = [w for w in self.serving() if w.generation == self.generation]
        old = [w for w in self.serving() if w.generation != self.generation]
        # The last of a generation to serve sends home the one before; until then both serve.
        return self._drain(old) if old and len(current) == len(self._slots) else []

    def ended(self, now: int, number: int) -> list[Order]:
        """A worker's process has ended."""
        worker = self.workers.pop(number, None)
        if worker is None or worker.phase is Phase.DRAINING or self.stopping:
            return self.tick(now)
        self.replaced += 1
        # Danger: one of the generation before may have had a slot that is no more.
        slot = self._slots[worker.slot] if worker.generation == self.generation else None
        if slot is not None and slot.worker == number:
            slot.worker = None
            slot.failures = slot.failures + 1 if now - worker.since_us < YOUNG_US else 0
            pause = min(BACKOFF_US << min(slot.failures, 10), BACKOFF_CAP_US) if slot.failures else 0
            # Danger: workers that die of one cause must not come back as one.
            slot.due_us = now + int(pause * self._random.uniform(0.5, 1.0))
        return self.tick(now)

    def renew(self, now: int, count: int) -> list[Order]:
        """New settings: a new generation beside the old, which goes when all of the new serve."""
        self.generation += 1
        unborn = [w for w in self.workers.values() if w.phase is Phase.STARTING]
        orders: list[Order] = [Kill(w.number, "its settings are out of date") for w in unborn]
        for worker in unborn:
            worker.phase = Phase.DRAINING
        self._slots = [Slot() for _ in range(count)]
        return orders + self.tick(now)

    def stop(self) -> list[Order]:
        self.stopping = True
        return self._drain(self.serving())

    @staticmethod
    def _drain(workers: list[Worker]) -> list[Order]:
        for worker in workers:
            worker.phase = Phase.DRAINING
        return [Drain(worker.number) for worker in workers]
