"""Plays one soak: drivers as processes with faults of their own, in a fleet with faults, and all clients."""

from __future__ import annotations

import json
import random
from collections.abc import Mapping, Sequence
from pathlib import Path

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.script import Script
from juniperreel.net import Network
from juniperreel.net.clock import US
from juniperreel.testbed.faulty_driver import FAULTS_VARIABLE
from juniperreel.testbed.hold_ups import monotonic_us
from juniperreel.testbed.injected_faults import MAX_HOLD_UP_S, FaultKind
from juniperreel.testbed.processes import ProcessState
from juniperreel.testbed.run_queue import RunQueueRecorder
from juniperreel.testbed.scenario import CLASS_WEIGHTS
from juniperreel.testbed.single_process_trial import SingleProcessTrial
from juniperreel.testbed.soak.clients import MisbehavingClients, SoakSession
from juniperreel.testbed.soak.crowd import IdleClient
from juniperreel.testbed.soak.loop_lag import LoopLag
from juniperreel.testbed.soak.oracle import SoakReport, judge
from juniperreel.testbed.soak.persistent_clients import PersistentClient
from juniperreel.testbed.soak.plan import FAULT_RATES, draw_plan
from juniperreel.testbed.soak.punctual_clients import PunctualClient
from juniperreel.testbed.soak.requests import LATE_US, ClientNotes, SoakRequests
from juniperreel.verification import records as rec

FAULTY_DRIVER_PROGRAM = ("-m", "juniperreel.testbed.faulty_driver")
PAUSE_S = 0.15  # mean, between two requests of a session
MISBEHAVING_TASKS = 3
PERSISTENT_CLIENTS_PER_DRIVER = 1
PUNCTUAL_CLIENTS_PER_DRIVER = 1
MAX_DEADLINE_MS = 4_000  # of unusual clients' requests
SETTLE_S = 5.0  # for clients to judge the ends of their connections
SETTLE_POLL_S = 0.02


class SoakTrial(SingleProcessTrial):
    """A trial with misbehaving clients, whose drivers are shut down in order at its end."""

    session_class = SoakSession

    def __init__(
        self,
        day: Script,
        network: Network,
        directory: Path,
        rates: Mapping[FaultKind, float],
        program: Sequence[str] = FAULTY_DRIVER_PROGRAM,
    ) -> None:
        """`directory` keeps settings, logs and counts."""
        self.notes = ClientNotes()
        self.crashed: list[str] = []
        self._directory = directory
        holds_up = rates.get(FaultKind.HOLD_UP) or rates.get(FaultKind.HOLD_UP_IN_WAIT)
        self._hold_up_us = int(MAX_HOLD_UP_S * US) if holds_up else 0
        faults = {
            "rates": {kind.value: rate for kind, rate in rates.items()},
            "seed": day["seed"],
            "counts": str(directory),
        }
        environment = {FAULTS_VARIABLE: json.dumps(faults), "JUNIPERREEL_TRACE": "1"}
        super().__init__(day, network, directory, PAUSE_S, program, CLASS_WEIGHTS, environment)
        self._lag = LoopLag(self.clock)
        self._run_queue = RunQueueRecorder(self.processes.by_name)

    def report(self) -> SoakReport:
        """Judge what was played."""
        logs = [process.log for process in self.processes.by_name.values()]
        return judge(
            self.day["seed"],
            self.recorder.records,
            self.notes,
            logs,
            self._directory,
            self._drivers.exit_statuses,
            self.crashed,
            self.clock.now_us() - monotonic_us(),
            self._run_queue.waits,
            has_crowd=bool(self.day["crowd"]),
            longest_lag_us=self._lag.longest_us,
        )

    async def _play_day(self, mix: Sequence[rec.RequestClass]) -> None:
        async with trio.open_nursery() as nursery:
            self._start_unusual_clients(nursery, mix)
            await super()._play_day(mix)
            self._note_crashes()
            await self._drivers.shut_down_all()
            with trio.move_on_after(SETTLE_S):
                while self.notes.conversations:
                    await trio.sleep(SETTLE_POLL_S)
            nursery.cancel_scope.cancel()

    def _start_unusual_clients(self, nursery: trio.Nursery, mix: Sequence[rec.RequestClass]) -> None:
        nursery.start_soon(self._lag.run)
        nursery.start_soon(self._run_queue.run)
        for _ in range(MISBEHAVING_TASKS):
            misbehaving = MisbehavingClients(
                self._new_requests(mix), self._find_driver, self._rng.getrandbits(32)
            )
            nursery.start_soon(misbehaving.run)
        for _ in range(PERSISTENT_CLIENTS_PER_DRIVER * len(self.names)):
            persistent = PersistentClient(
                self._new_requests(mix),
                self._find_driver,
                self._lag,
                self._hold_up_us,
                self._rng.getrandbits(32),
            )
            nursery.start_soon(persistent.run)
        for _ in range(PUNCTUAL_CLIENTS_PER_DRIVER * len(self.names)):
            punctual = PunctualClient(self._new_requests(mix), self._find_driver, self._rng.getrandbits(32))
            nursery.start_soon(punctual.run)
        for _ in range(self.day["crowd"] * len(self.names)):
            nursery.start_soon(IdleClient(self.notes, self._find_driver).run)

    def _new_requests(self, mix: Sequence[rec.RequestClass]) -> SoakRequests:
        return SoakRequests(
            self.notes,
            self._was_killed,
            mix,
            self.clock,
            self.recorder,
            min(self.day["longest-deadline"] // 1000, MAX_DEADLINE_MS),
            self.day["groups"],
            self._lag,
            random.Random(self._rng.getrandbits(32)),
        )

    def _new_session(self, index: int, mix: Sequence[rec.RequestClass]) -> SoakSession:
        session = super()._new_session(index, mix)
        assert isinstance(session, SoakSession)
        session.deadline_grace_us = LATE_US
        session.notes = self.notes
        session.was_killed = self._was_killed
        session.lag = self._lag
        return session

    def _find_driver(self) -> EdgeAddress | None:
        listening = sorted(self._drivers.ports)
        if not listening:
            return None
        name = self._rng.choice(listening)
        return EdgeAddress(name, self._drivers.ports[name])

    def _was_killed(self, driver: str, since_us: int) -> bool:
        """Whether the driver was killed since then, so that what it had open is excused."""
        return any(killed_us >= since_us for killed_us in self._drivers.killed_us[driver])

    def _note_crashes(self) -> None:
        for name in self.names:
            if self.processes[name].state is ProcessState.ENDED and name in self._drivers.ports:
                self.crashed.append(name)


async def play_soak(
    seed: int,
    drivers: int,
    last_ms: int,
    network: Network,
    directory: Path,
    rates: Mapping[FaultKind, float] = FAULT_RATES,
    program: Sequence[str] = FAULTY_DRIVER_PROGRAM,
) -> SoakReport:
    """Play the soak of a seed in an empty directory, and judge it."""
    trial = SoakTrial(draw_plan(seed, drivers, last_ms), network, directory, rates, program)
    await trial.run()
    return trial.report()
