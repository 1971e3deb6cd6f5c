"""Plays one soak: drivers as processes with faults of their own, in a fleet with faults, and all clients."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.script import Script
from juniperreel.net import Network
from juniperreel.testbed.faulty_driver import FAULTS_VARIABLE
from juniperreel.testbed.injected_faults import FaultKind
from juniperreel.testbed.processes import ProcessState
from juniperreel.testbed.scenario import CLASS_WEIGHTS
from juniperreel.testbed.single_process_trial import SingleProcessTrial
from juniperreel.testbed.soak.clients import LATE_US, ClientNotes, MisbehavingClients, SoakSession
from juniperreel.testbed.soak.oracle import SoakReport, judge
from juniperreel.testbed.soak.plan import FAULT_RATES, draw_plan
from juniperreel.verification import records as rec

FAULTY_DRIVER_PROGRAM = ("-m", "juniperreel.testbed.faulty_driver")
PAUSE_S = 0.15  # mean, between two requests of a session
MISBEHAVING_TASKS = 3


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
        faults = {
            "rates": {kind.value: rate for kind, rate in rates.items()},
            "seed": day["seed"],
            "counts": str(directory),
        }
        environment = {FAULTS_VARIABLE: json.dumps(faults), "JUNIPERREEL_TRACE": "1"}
        super().__init__(day, network, directory, PAUSE_S, program, CLASS_WEIGHTS, environment)

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
        )

    async def _play_day(self, mix: Sequence[rec.RequestClass]) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(MISBEHAVING_TASKS):
                clients = MisbehavingClients(
                    self.notes,
                    self._find_driver,
                    self._was_killed,
                    mix,
                    self.clock,
                    self.recorder,
                    self._rng.getrandbits(32),
                )
                nursery.start_soon(clients.run)
            await super()._play_day(mix)
            self._note_crashes()
            await self._drivers.shut_down_all()
            nursery.cancel_scope.cancel()

    def _new_session(self, index: int, mix: Sequence[rec.RequestClass]) -> SoakSession:
        session = super()._new_session(index, mix)
        assert isinstance(session, SoakSession)
        session.patience_us = LATE_US
        session.notes = self.notes
        session.was_killed = self._was_killed
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
