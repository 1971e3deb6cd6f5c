"""Runs one soak: driver processes with injected faults, in a fleet with faults, and all clients."""

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
from juniperreel.testbed.soak.oracle import SoakReport, check_soak
from juniperreel.testbed.soak.persistent_clients import PersistentClient
from juniperreel.testbed.soak.plan import FAULT_RATES, draw_plan
from juniperreel.testbed.soak.punctual_clients import ShortDeadlineClient
from juniperreel.testbed.soak.requests import MAX_ANSWER_DELAY_US, ClientObservations, SoakRequests
from juniperreel.verification import records as rec

FAULTY_DRIVER_PROGRAM = ("-m", "juniperreel.testbed.faulty_driver")
PAUSE_S = 0.15  # mean, between two requests of a session
MISBEHAVING_TASKS = 3
PERSISTENT_CLIENTS_PER_DRIVER = 1
SHORT_DEADLINE_CLIENTS_PER_DRIVER = 1
MAX_DEADLINE_MS = 4_000  # of requests of clients other than sessions
CLOSE_CHECK_TIMEOUT_S = 5.0  # for clients to check their requests after the drivers have exited
CLOSE_CHECK_POLL_S = 0.02


class SoakTrial(SingleProcessTrial):
    """A trial with additional and misbehaving clients, whose drivers are shut down gracefully at the end."""

    session_class = SoakSession

    def __init__(
        self,
        script: Script,
        network: Network,
        directory: Path,
        rates: Mapping[FaultKind, float],
        program: Sequence[str] = FAULTY_DRIVER_PROGRAM,
    ) -> None:
        """`directory` receives settings, logs and counts."""
        self.observations = ClientObservations()
        self.crashed: list[str] = []
        self._directory = directory
        injects_hold_ups = rates.get(FaultKind.HOLD_UP) or rates.get(FaultKind.HOLD_UP_IN_WAIT)
        self._hold_up_us = int(MAX_HOLD_UP_S * US) if injects_hold_ups else 0
        faults = {
            "rates": {kind.value: rate for kind, rate in rates.items()},
            "seed": script["seed"],
            "counts": str(directory),
        }
        environment = {FAULTS_VARIABLE: json.dumps(faults), "JUNIPERREEL_TRACE": "1"}
        super().__init__(script, network, directory, PAUSE_S, program, CLASS_WEIGHTS, environment)
        self._lag = LoopLag(self.clock)
        self._run_queue = RunQueueRecorder(self.processes.by_name)

    def report(self) -> SoakReport:
        """Check the results of the run."""
        logs = [process.log for process in self.processes.by_name.values()]
        return check_soak(
            self.script["seed"],
            self.recorder.records,
            self.observations,
            logs,
            self._directory,
            self._drivers.exit_statuses,
            self.crashed,
            self.clock.now_us() - monotonic_us(),
            self._run_queue.waits,
            has_crowd=bool(self.script["crowd"]),
            max_loop_lag_us=self._lag.max_us,
        )

    async def _run_script(self, classes: Sequence[rec.RequestClass]) -> None:
        async with trio.open_nursery() as nursery:
            self._start_extra_clients(nursery, classes)
            await super()._run_script(classes)
            self._record_crashes()
            await self._drivers.shut_down_all()
            with trio.move_on_after(CLOSE_CHECK_TIMEOUT_S):
                while self.observations.pending_connections:
                    await trio.sleep(CLOSE_CHECK_POLL_S)
            nursery.cancel_scope.cancel()

    def _start_extra_clients(self, nursery: trio.Nursery, classes: Sequence[rec.RequestClass]) -> None:
        nursery.start_soon(self._lag.run)
        nursery.start_soon(self._run_queue.run)
        for _ in range(MISBEHAVING_TASKS):
            misbehaving = MisbehavingClients(
                self._new_requests(classes), self._find_driver, self._rng.getrandbits(32)
            )
            nursery.start_soon(misbehaving.run)
        for _ in range(PERSISTENT_CLIENTS_PER_DRIVER * len(self.names)):
            persistent = PersistentClient(
                self._new_requests(classes),
                self._find_driver,
                self._lag,
                self._hold_up_us,
                self._rng.getrandbits(32),
            )
            nursery.start_soon(persistent.run)
        for _ in range(SHORT_DEADLINE_CLIENTS_PER_DRIVER * len(self.names)):
            short_deadline = ShortDeadlineClient(
                self._new_requests(classes), self._find_driver, self._rng.getrandbits(32)
            )
            nursery.start_soon(short_deadline.run)
        for _ in range(self.script["crowd"] * len(self.names)):
            nursery.start_soon(IdleClient(self.observations, self._find_driver).run)

    def _new_requests(self, classes: Sequence[rec.RequestClass]) -> SoakRequests:
        return SoakRequests(
            self.observations,
            self._was_killed,
            classes,
            self.clock,
            self.recorder,
            min(self.script["longest-deadline"] // 1000, MAX_DEADLINE_MS),
            self.script["groups"],
            self._lag,
            random.Random(self._rng.getrandbits(32)),
        )

    def _new_session(self, index: int, classes: Sequence[rec.RequestClass]) -> SoakSession:
        session = super()._new_session(index, classes)
        assert isinstance(session, SoakSession)
        session.deadline_grace_us = MAX_ANSWER_DELAY_US
        session.observations = self.observations
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
        """Whether the driver was killed since then, which excuses its open requests."""
        return any(killed_us >= since_us for killed_us in self._drivers.killed_us[driver])

    def _record_crashes(self) -> None:
        for name in self.names:
            if self.processes[name].state is ProcessState.ENDED and name in self._drivers.ports:
                self.crashed.append(name)


async def run_soak(
    seed: int,
    drivers: int,
    duration_ms: int,
    network: Network,
    directory: Path,
    rates: Mapping[FaultKind, float] = FAULT_RATES,
    program: Sequence[str] = FAULTY_DRIVER_PROGRAM,
) -> SoakReport:
    """Run the soak of a seed in an empty directory, and check it."""
    trial = SoakTrial(draw_plan(seed, drivers, duration_ms), network, directory, rates, program)
    await trial.run()
    return trial.report()
