"""A trial of a few drivers whose members, discovery and sessions run in this process.

Each driver is a process started by the program's own command, and reaches every member and its discovery
through its own relay. Requests and responses are recorded for the checkers in `verification`.
`multi_process_trial.py` runs trials of hundreds of drivers.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.platform_clients import PlatformSession
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, Network
from juniperreel.testbed.driver_fleet import DriverFleet
from juniperreel.testbed.links import Links
from juniperreel.testbed.member_links import MemberLinks
from juniperreel.testbed.processes import ManagedProcess, Processes
from juniperreel.testbed.scenario import (
    CLASS_WEIGHTS,
    DISCOVERY,
    DRIVER_PROGRAM,
    driver_names,
    limits,
    request_classes,
    targeted_drivers,
)
from juniperreel.verification import records as rec


class SingleProcessTrial:
    """One trial, whose result is `recorder.records`."""

    session_class = PlatformSession

    def __init__(
        self,
        script: Script,
        network: Network,
        directory: Path,
        pause_s: float,
        program: Sequence[str] = DRIVER_PROGRAM,
        weights: Sequence[float] = CLASS_WEIGHTS,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """`directory` receives settings and logs; `pause_s` is a session's mean pause between requests.

        `program` is the command that starts a driver, with `environment` in addition to its own variables.
        `weights` are the probabilities of the request classes in sessions.
        """
        self.script = script
        self.clock = Clock()
        self.recorder = rec.Recorder()
        self.names = driver_names(script)
        self._network = network
        self._pause_s = pause_s
        self._weights = weights
        self._rng = random.Random(script["seed"])
        self._drivers = DriverFleet(
            script,
            self.names,
            network,
            self.clock,
            self.recorder,
            directory,
            self._member_port,
            self._rng.getrandbits(32),
            program,
            environment,
        )
        self.fleet = Fleet(
            script, network, self.clock, self.recorder, endpoint_list=self._drivers.hosts, platform=True
        )
        self._member_links: MemberLinks | None = None

    @property
    def processes(self) -> Processes:
        """The driver processes by name."""
        return self._drivers.processes

    def events(self, process: ManagedProcess) -> Iterator[dict[str, Any]]:
        """Yield the events that a driver has logged since the previous call."""
        return self._drivers.events(process)

    @property
    def probes(self) -> int:
        """Number of health and position checks that members have answered."""
        return 0 if self._member_links is None else self._member_links.probes

    @property
    def connections_opened(self) -> int:
        """Total number of connections that drivers have opened to members."""
        return 0 if self._member_links is None else self._member_links.connections_opened

    async def run(self) -> None:
        """Run the script; all drivers have exited on return."""
        classes = request_classes(self.clock.now_us(), self.script["longest-deadline"])
        self._record_rules(classes)
        async with trio.open_nursery() as nursery:
            links = Links(self._network, nursery, self._rng.getrandbits(32))
            self._drivers.links = links
            self._member_links = MemberLinks(self.fleet, links, self.names)
            try:
                await nursery.start(self.fleet.run)
                await self._drivers.start()
                await self._run_script(classes)
            finally:
                self.processes.kill_all()
            nursery.cancel_scope.cancel()

    def _record_rules(self, classes: Sequence[rec.RequestClass]) -> None:
        for request_class in classes:
            self.recorder(request_class)
        self.recorder(limits(classes[0].at, self.fleet.settings))

    async def _run_script(self, classes: Sequence[rec.RequestClass]) -> None:
        """Run faults and sessions until the end of the script and the last answers of the sessions."""
        until_us = self.clock.now_us() + self.script["last"]
        async with trio.open_nursery() as faults:
            faults.start_soon(self.fleet.play, self._run_driver_fault)
            async with trio.open_nursery() as sessions:
                for index in range(self.script["sessions"]):
                    session = self._new_session(index, classes)
                    sessions.start_soon(session.run, until_us, self._pause_s)
            faults.cancel_scope.cancel()

    def _new_session(self, index: int, classes: Sequence[rec.RequestClass]) -> PlatformSession:
        group = index % self.script["groups"]
        return self._drivers.session(f"s{index}", index, group, classes, self._weights, self.session_class)

    async def _run_driver_fault(self, step: Step) -> None:
        """Run a fault of drivers or of any of their links until it is over."""
        if step.fault.startswith("link-") and step.other != DISCOVERY:
            assert self._member_links is not None
            await self._member_links.run_fault(step, targeted_drivers(self.script, step))
        else:
            await self._drivers.run_fault(step)

    async def _member_port(self, driver: str, member: str) -> int:
        assert self._member_links is not None
        return await self._member_links.port(driver, member)
