"""A trial played by one process: a few drivers, each a process by the program's own command, before members.

Every driver reaches every member and its discovery by a relay of its own. What passes is recorded as for
edges and judged by `proof`. The form for hundreds of drivers is `large.py`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, Network
from juniperreel.testbed.processes import Child, Processes
from juniperreel.testbed.relay import Links
from juniperreel.testbed.sides import (
    PROGRAM,
    TO_LIST,
    WEIGHTS,
    Doors,
    Drivers,
    classes,
    drivers_named,
    limits,
    names_of,
)
from juniperreel.verification import records as rec


class PlatformTrial:
    """One trial. `recorder.records` is what it leaves."""

    def __init__(
        self,
        day: Script,
        network: Network,
        directory: Path,
        pause_s: float,
        program: Sequence[str] = PROGRAM,
        weights: Sequence[float] = WEIGHTS,
    ) -> None:
        """`pause_s`: mean pause of a session between its requests; `program`: what a driver is started by;
        `weights`: how much of each class sessions ask for."""
        self.day, self._network, self._pause_s, self._weights = day, network, pause_s, weights
        self.clock = Clock()
        self.recorder = rec.Recorder()
        self.names = names_of(day)
        self._rng = random.Random(day["seed"])
        seed = self._rng.getrandbits(32)
        self.drivers = Drivers(
            day, self.names, network, self.clock, self.recorder, directory, self._door, seed, program
        )
        hosts = self.drivers.hosts
        self.fleet = Fleet(day, network, self.clock, self.recorder, endpoint_list=hosts, platform=True)
        self.doors: Doors | None = None

    @property
    def processes(self) -> Processes:
        return self.drivers.processes

    def events(self, child: Child) -> Iterator[dict[str, Any]]:
        return self.drivers.events(child)

    async def _door(self, driver: str, member: str) -> int:
        assert self.doors is not None
        return await self.doors.port(driver, member)

    async def on_edge(self, step: Step) -> None:
        if step.fault.startswith("link-") and step.other != TO_LIST:
            assert self.doors is not None
            await self.doors.fault(step, drivers_named(self.day, step))
        else:
            await self.drivers.fault(step)

    async def run(self) -> None:
        now = self.clock.now_us()
        mix = classes(now)
        for cls in mix:
            self.recorder(cls)
        self.recorder(limits(now, self.fleet.settings))
        async with trio.open_nursery() as nursery:
            links = Links(self._network, nursery, self._rng.getrandbits(32))
            self.drivers.links = links
            self.doors = Doors(self.fleet, links, self.names)
            try:
                await nursery.start(self.fleet.run)
                await self.drivers.start()
                until = self.clock.now_us() + self.day["last"]
                async with trio.open_nursery() as day:
                    day.start_soon(self.fleet.play, self.on_edge)
                    async with trio.open_nursery() as load:
                        for i in range(self.day["sessions"]):
                            one = self.drivers.session(f"s{i}", i, i % self.day["groups"], mix, self._weights)
                            load.start_soon(one.run, until, self._pause_s)
                    day.cancel_scope.cancel()
            finally:
                self.processes.end()
            nursery.cancel_scope.cancel()

    @property
    def probes(self) -> int:
        return self.doors.probes if self.doors is not None else 0

    @property
    def connections(self) -> int:
        return self.doors.connections if self.doors is not None else 0
