"""A trial process that runs a subset of the drivers."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import Script
from juniperreel.testbed.control_messages import (
    ControlConnection,
    HostUpdate,
    ProcessCounts,
    StartDay,
    StartDrivers,
)
from juniperreel.testbed.driver_fleet import DriverFleet
from juniperreel.testbed.links import Links
from juniperreel.testbed.scenario import CLASS_WEIGHTS, DRIVER_PROGRAM, driver_names
from juniperreel.testbed.trial_process import (
    DRIVERS,
    POLL_S,
    ProcessArguments,
    TrialProcess,
    processor_time_s,
    steps_of_role,
)
from juniperreel.verification.records import Recorder


class DriversProcess(TrialProcess):
    """Runs a subset of the trial's drivers with their discovery servers and client sessions."""

    def __init__(
        self, script: Script, arguments: ProcessArguments, control: ControlConnection, record: Recorder
    ) -> None:
        super().__init__(script, arguments, control, record)
        directory = arguments.directory / arguments.name
        directory.mkdir(exist_ok=True)
        self._member_ports: dict[tuple[str, str], int] = {}  # keyed by driver and member
        self._drivers = DriverFleet(
            script,
            [name for number, name in enumerate(driver_names(script)) if arguments.owns(number)],
            self.network,
            self.clock,
            record,
            directory,
            self._member_port,
            self.rng.getrandbits(32),
            arguments.program or DRIVER_PROGRAM,
        )

    def on_host_update(self, update: HostUpdate) -> None:
        """Store the relay ports, then publish the host through discovery."""
        host = update.host
        self._member_ports |= {(driver, host.id): port for driver, port in update.ports.items()}
        self._drivers.hosts.publish(host, update.delay_us)

    async def run(self) -> None:
        """Run until the end of the trial; all drivers have exited on return."""
        own_script = replace(self.script, steps=steps_of_role(self.script, DRIVERS))
        fleet = Fleet(own_script, self.network, self.clock, self.record, frozenset(), self._drivers.hosts)
        async with trio.open_nursery() as nursery:
            self._drivers.links = Links(self.network, nursery, self.rng.getrandbits(32))
            nursery.start_soon(self.lag.run)
            nursery.start_soon(self.receive_messages)
            try:
                await nursery.start(fleet.run)
                await self.expect(StartDrivers)
                await self._wait_for_members()
                await self._drivers.start()
                await self.run_script(partial(self._play, fleet))
            finally:
                self._drivers.processes.kill_all()
            await self.control.send(self._counts())
            nursery.cancel_scope.cancel()

    async def _play(self, fleet: Fleet, start: StartDay) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.play, self._drivers.run_fault)
            nursery.start_soon(self._drivers.run_load, start.until_us, CLASS_WEIGHTS)

    async def _member_port(self, driver: str, member: str) -> int:
        await trio.lowlevel.checkpoint()
        return self._member_ports[driver, member]

    async def _wait_for_members(self) -> None:
        """Wait until the discovery server of every driver lists all members of the trial."""
        members = self.script["groups"] * self.script["members"]
        discoveries = self._drivers.hosts.servers.values()
        while any(len(discovery.hosts) < members for discovery in discoveries):
            await trio.sleep(POLL_S)

    def _counts(self) -> ProcessCounts:
        discoveries = self._drivers.hosts.servers.values()
        return ProcessCounts(
            self.arguments.name,
            discovery_calls=sum(discovery.calls for discovery in discoveries),
            max_lag_us=self.lag.max_us,
            cpu_s=processor_time_s(),
        )
