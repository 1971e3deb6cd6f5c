"""A trial of tens to hundreds of drivers whose members, drivers and sessions run in several processes.

This process starts the others (`process_group.py`), forwards host updates to discovery, announces start and
end of the script, and merges the recordings by time. All run on one machine and share its clock.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import trio

from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.script import Script, render
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.net.network import Listener
from juniperreel.testbed.control_messages import (
    ControlConnection,
    EndDay,
    Hello,
    HostUpdate,
    Message,
    ProcessCounts,
    Ready,
    StartDay,
    StartDrivers,
)
from juniperreel.testbed.errors import ConnectionEndedError, ProcessLostError
from juniperreel.testbed.processes import Processes, ProcessState
from juniperreel.testbed.scenario import REPOSITORY, driver_names, limits, request_classes
from juniperreel.testbed.trial_process import DRIVERS, MEMBERS
from juniperreel.verification import records as rec

MAX_MEMBERS_PROCESSES = 4
START_TIMEOUT_S = 300  # allows for hundreds of processes on a loaded machine
START_LEAD_US = 500_000  # from the announcement of the start to the start itself
END_TIMEOUT_S = 60.0
IN_FLIGHT_WAIT_S = 5.0  # after the last request, for requests in flight
POLL_S = 0.2
LOG_TAIL_CHARACTERS = 2000


class MultiProcessTrial:
    """One trial, whose results are `records` and `counts` (keyed by process)."""

    def __init__(
        self, script: Script, directory: Path, driver_processes: int, program: Sequence[str] = ()
    ) -> None:
        """`directory` receives settings, logs and the recordings of the processes.

        `driver_processes` is the maximum number of processes for drivers. `program` is the command that
        starts a driver; the platform's own command if empty.
        """
        self.script = script
        self.drivers = driver_names(script)
        self.processes = Processes(directory)
        self.records: list[rec.Record] = []
        self.counts: dict[str, ProcessCounts] = {}
        self._directory = directory
        self._program = tuple(program)
        self._parts = {
            MEMBERS: min(script["groups"], MAX_MEMBERS_PROCESSES),
            DRIVERS: min(driver_processes, script["edges"]),
        }
        self._names = [f"{role}-{part}" for role, parts in self._parts.items() for part in range(parts)]
        self._connections: dict[str, ControlConnection] = {}
        self._ready: set[str] = set()
        self._clock = Clock()

    async def run(self, report: Callable[[str], None] = lambda _: None) -> None:
        """Run the script; `report` receives lines of progress.

        Raises an exception group with ProcessLostError if a process exits early, or with trio.TooSlowError
        if processes do not start or exit in time.
        """
        began_us = self._clock.now_us()
        try:
            async with trio.open_nursery() as nursery:
                listener = await TcpNetwork().listen("127.0.0.1", 0)
                nursery.start_soon(self._accept, listener, nursery)
                self._start_processes(listener.port)
                nursery.start_soon(self._watch_processes)
                with trio.fail_after(START_TIMEOUT_S):
                    await self._wait_until_ready(report)
                start_us = self._clock.now_us() + START_LEAD_US
                report(f"the day begins, {(self._clock.now_us() - began_us) / US:.1f} s after the start")
                await self._run_script(start_us)
                with trio.fail_after(END_TIMEOUT_S):
                    await self._wait_until_ended()
                nursery.cancel_scope.cancel()
        finally:
            self.processes.kill_all()
        self.records = self._merge_records(start_us)

    def _start_processes(self, control_port: int) -> None:
        environment = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(REPOSITORY)}
        directory = str(self._directory)
        script_path = self._directory / "day"
        script_path.write_text(render(self.script), encoding="utf-8")
        module = [sys.executable, "-m", "juniperreel.testbed.process_group"]
        for role, parts in self._parts.items():
            for part in range(parts):
                arguments = [str(script_path), role, str(part), str(parts), str(control_port), directory]
                command = [*module, *arguments, *self._program]
                self.processes.add(f"{role}-{part}", command, environment).start()

    async def _wait_until_ready(self, report: Callable[[str], None]) -> None:
        """Wait until all members run, then start the drivers and wait for them."""
        await self._wait_for(self._all_connected)
        members = {name for name in self._names if name.startswith(MEMBERS)}
        await self._wait_for(lambda: members <= self._ready)
        report(f"members stand; starting {len(self.drivers)} drivers")
        await self._broadcast(StartDrivers(), DRIVERS)
        await self._wait_for(lambda: len(self._ready) == len(self._names))

    async def _run_script(self, start_us: int) -> None:
        until_us = start_us + self.script["last"]
        await self._broadcast(StartDay(start_us, until_us))
        await trio.sleep_until(self._clock.trio_time(until_us) + IN_FLIGHT_WAIT_S)
        await self._broadcast(EndDay())

    async def _wait_until_ended(self) -> None:
        await self._wait_for(lambda: len(self.counts) == len(self._names))
        for name in self._names:
            await self.processes[name].wait()

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await trio.sleep(POLL_S)

    def _all_connected(self) -> bool:
        return len(self._connections) == len(self._names)

    async def _watch_processes(self) -> None:
        """Raise ProcessLostError when a process exits before it has sent its counts."""
        while True:
            await trio.sleep(POLL_S)
            for name in self._names:
                process = self.processes[name]
                if process.state is ProcessState.ENDED and name not in self.counts:
                    output = process.log.read_text(errors="replace")
                    raise ProcessLostError(name, output[-LOG_TAIL_CHARACTERS:])

    async def _broadcast(self, message: Message, role: str = "") -> None:
        """Send a message to all processes of a role, or to all processes if none is given."""
        for name, connection in self._connections.items():
            if name.startswith(role):
                await connection.send(message)

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        try:
            while True:
                nursery.start_soon(self._receive_messages, await listener.accept())
        finally:
            with trio.CancelScope(shield=True):
                await listener.aclose()

    async def _receive_messages(self, stream: trio.abc.Stream) -> None:
        connection = ControlConnection(stream)
        name = ""
        async with stream:
            try:
                while True:
                    match await connection.receive():
                        case Hello() as hello:
                            name = hello.name
                            self._connections[name] = connection
                        case Ready():
                            self._ready.add(name)
                        case HostUpdate() as update:
                            await self._forward_host_update(update)
                        case ProcessCounts() as counts:
                            self.counts[name] = counts
            except ConnectionEndedError:
                return  # `_watch_processes` detects an early exit

    async def _forward_host_update(self, update: HostUpdate) -> None:
        """Send an update to all processes that run drivers, each with the ports of its own drivers."""
        parts = self._parts[DRIVERS]
        await self._wait_for(self._all_connected)  # members may connect before drivers do
        for part in range(parts):
            ports = {driver: update.ports[driver] for driver in self.drivers[part::parts]}
            message = HostUpdate(update.serialized_host, update.delay_us, ports)
            await self._connections[f"{DRIVERS}-{part}"].send(message)

    def _merge_records(self, start_us: int) -> list[rec.Record]:
        """Merge the records of all processes by time, and add each fault once: every process records it."""
        shape = EndpointSettings(slow_start_us=self.script["cold-span"])
        classes = request_classes(start_us, self.script["longest-deadline"])
        merged: list[rec.Record] = [*classes, limits(start_us, shape)]
        for step in self.script.steps:
            merged.append(rec.Fault(start_us + step.at_us, step.text, True))
            merged.append(rec.Fault(start_us + step.at_us + step.for_us, step.text, False))
        for name in self._names:
            recorded = rec.read_recording(self._directory / f"{name}.recording")
            merged += [record for record in recorded if not isinstance(record, rec.Fault)]
        merged.sort(key=lambda record: record.at)
        return merged
