"""One process of a trial that several play: the members of some groups with their links, or some drivers.

    python -m juniperreel.testbed.process_group SCRIPT members|drivers PART OF PORT DIRECTORY [PROGRAM...]

It takes its orders from the trial that listens on PORT (`control_messages.py`), writes its records into
DIRECTORY and ends with the trial. A script's faults are the same in every process; the random members that a
fault strikes are drawn by the process that plays them.
"""

from __future__ import annotations

import random
import resource
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import NamedTuple, TypeVar

import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.parts import Relay as HostListRelay
from juniperreel.fakes.script import Day, Step, parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proto.hosts.v1 import hosts_pb2
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
from juniperreel.testbed.driver_fleet import DriverFleet
from juniperreel.testbed.errors import UnexpectedMessageError
from juniperreel.testbed.links import Links
from juniperreel.testbed.member_links import MemberLinks
from juniperreel.testbed.scenario import (
    CLASS_WEIGHTS,
    DISCOVERY,
    DRIVER_PROGRAM,
    driver_names,
    targeted_drivers,
)
from juniperreel.verification.records import Recorder

MEMBERS = "members"
DRIVERS = "drivers"
CONNECT_TIMEOUT_US = 10_000_000
POLL_S = 0.02
MAX_QUEUED_HOSTS = 100_000
MAX_QUEUED_MESSAGES = 4

AnyOrder = TypeVar("AnyOrder", bound=Message)


@dataclass(frozen=True, slots=True)
class ProcessArguments:
    """The command line: `part` of `parts` processes with this role; `program` starts a driver."""

    script: Path
    role: str
    part: int
    parts: int
    control_port: int
    directory: Path
    program: tuple[str, ...]

    @staticmethod
    def parse(arguments: list[str]) -> ProcessArguments:
        """Raises ValueError where arguments are missing or no numbers."""
        script, role, part, parts, port, directory, *program = arguments
        return ProcessArguments(
            Path(script), role, int(part), int(parts), int(port), Path(directory), tuple(program)
        )

    @property
    def name(self) -> str:
        """The process's name in its trial."""
        return f"{self.role}-{self.part}"

    def owns(self, number: int) -> bool:
        """Whether the group or driver of this number is this process's."""
        return number % self.parts == self.part


class PendingHostUpdate(NamedTuple):
    """A host on its way to discovery; `delay_us` is None where discovery's own delay holds."""

    host: hosts_pb2.Host
    delay_us: int | None


class EventLoopLag:
    """By how much the event loop was late at most: what a trial's times cannot resolve."""

    def __init__(self) -> None:
        self.max_us = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = trio.current_time() + POLL_S
            await trio.sleep_until(due)
            self.max_us = max(self.max_us, int((trio.current_time() - due) * US))

    def reset(self) -> None:
        """Forget what was measured so far."""
        self.max_us = 0


class HostUpdateQueue(HostListRelay):
    """Stands where a fleet's host list does and queues its updates for the trial.

    They are sent later since a driver needs a port to a member before it hears of the member.
    """

    def __init__(self) -> None:
        self._send, self.updates = trio.open_memory_channel[PendingHostUpdate](MAX_QUEUED_HOSTS)

    def tell(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Queue a copy of the host. Raises trio.WouldBlock if the queue is full."""
        copy = hosts_pb2.Host()
        copy.CopyFrom(host)
        self._send.send_nowait(PendingHostUpdate(copy, delay_us))


class TrialProcess:
    """What processes of both roles do: receive orders, keep the day's times, count.

    `rng` is seeded by the script's seed and the process's name.
    """

    def __init__(
        self, day: Day, arguments: ProcessArguments, control: ControlConnection, record: Recorder
    ) -> None:
        self.day = day
        self.arguments = arguments
        self.control = control
        self.record = record
        self.network = TcpNetwork()
        self.clock = Clock()
        self.lag = EventLoopLag()
        self.rng = random.Random(f"{day['seed']} {arguments.name}")
        self._enqueue_order, self._orders = trio.open_memory_channel[Message](MAX_QUEUED_MESSAGES)

    async def receive_messages(self) -> None:
        """Handle updates of hosts as they come and queue all other messages for `expect`, until cancelled."""
        while True:
            message = await self.control.receive()
            if isinstance(message, HostUpdate):
                self.on_host_update(message)
            else:
                await self._enqueue_order.send(message)

    async def expect(self, kind: type[AnyOrder]) -> AnyOrder:
        """Wait for the next order. Raises UnexpectedMessageError if it is of another kind."""
        message = await self._orders.receive()
        if not isinstance(message, kind):
            raise UnexpectedMessageError(message, kind.__name__)
        return message

    def on_host_update(self, update: HostUpdate) -> None:
        """Handle what discovery is to say of a member. Raises UnexpectedMessageError unless overridden."""
        raise UnexpectedMessageError(update, "an order")

    async def play_day(self, play: Callable[[StartDay], Awaitable[None]]) -> None:
        """Report that all stands, run `play` from the day's beginning, and cancel it at its end."""
        await self.control.send(Ready())
        start = await self.expect(StartDay)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._play_from_start, play, start)
            await self.expect(EndDay)
            nursery.cancel_scope.cancel()

    async def _play_from_start(self, play: Callable[[StartDay], Awaitable[None]], start: StartDay) -> None:
        await trio.sleep_until(self.clock.trio_time(start.at_us))
        self.lag.reset()  # its lag while all were started says nothing of the day
        await play(start)


class MembersProcess(TrialProcess):
    """Plays the members of some groups, and the links to them from all drivers of the trial."""

    async def run(self) -> None:
        """Play to the trial's end."""
        own_day = replace(self.day, steps=steps_of_role(self.day, MEMBERS))
        own_day.settings = self.day.settings | {"seed": self.rng.getrandbits(31)}
        groups = frozenset(number for number in range(self.day["groups"]) if self.arguments.owns(number))
        hosts = HostUpdateQueue()
        fleet = Fleet(own_day, self.network, self.clock, self.record, groups, hosts, platform=True)
        async with trio.open_nursery() as nursery:
            links = Links(self.network, nursery, self.rng.getrandbits(32))
            member_links = MemberLinks(fleet, links, driver_names(self.day))
            nursery.start_soon(self._send_host_updates, hosts, member_links)
            nursery.start_soon(self.lag.run)
            nursery.start_soon(self.receive_messages)
            await nursery.start(fleet.run)
            await self.play_day(partial(self._play, fleet, member_links))
            await self.control.send(self._counts(member_links))
            nursery.cancel_scope.cancel()

    async def _play(self, fleet: Fleet, member_links: MemberLinks, _: StartDay) -> None:
        await fleet.play(partial(self._play_link_fault, member_links))

    async def _play_link_fault(self, member_links: MemberLinks, step: Step) -> None:
        await member_links.play_fault(step, targeted_drivers(self.day, step))

    async def _send_host_updates(self, hosts: HostUpdateQueue, member_links: MemberLinks) -> None:
        async for host, delay_us in hosts.updates:
            ports = {driver: await member_links.port(driver, host.id) for driver in member_links.drivers}
            await self.control.send(HostUpdate.of(host, delay_us, ports))

    def _counts(self, member_links: MemberLinks) -> ProcessCounts:
        return ProcessCounts(
            self.arguments.name,
            probes=member_links.probes,
            connections=member_links.connections_opened,
            peak_connections=member_links.peak_connections,
            max_lag_us=self.lag.max_us,
            cpu_s=processor_time_s(),
        )


class DriversProcess(TrialProcess):
    """Plays some of the trial's drivers with their discovery and their sessions."""

    def __init__(
        self, day: Day, arguments: ProcessArguments, control: ControlConnection, record: Recorder
    ) -> None:
        super().__init__(day, arguments, control, record)
        directory = arguments.directory / arguments.name
        directory.mkdir(exist_ok=True)
        self._member_ports: dict[tuple[str, str], int] = {}  # by driver and member
        self._drivers = DriverFleet(
            day,
            [name for number, name in enumerate(driver_names(day)) if arguments.owns(number)],
            self.network,
            self.clock,
            record,
            directory,
            self._member_port,
            self.rng.getrandbits(32),
            arguments.program or DRIVER_PROGRAM,
        )

    def on_host_update(self, update: HostUpdate) -> None:
        """Hand it to discovery, once the ports are known."""
        host = update.host
        self._member_ports |= {(driver, host.id): port for driver, port in update.ports.items()}
        self._drivers.hosts.tell(host, update.delay_us)

    async def run(self) -> None:
        """Play to the trial's end; the drivers have ended then."""
        own_day = replace(self.day, steps=steps_of_role(self.day, DRIVERS))
        fleet = Fleet(own_day, self.network, self.clock, self.record, frozenset(), self._drivers.hosts)
        async with trio.open_nursery() as nursery:
            self._drivers.links = Links(self.network, nursery, self.rng.getrandbits(32))
            nursery.start_soon(self.lag.run)
            nursery.start_soon(self.receive_messages)
            try:
                await nursery.start(fleet.run)
                await self.expect(StartDrivers)
                await self._wait_for_members()
                await self._drivers.start()
                await self.play_day(partial(self._play, fleet))
            finally:
                self._drivers.processes.kill_all()
            await self.control.send(self._counts())
            nursery.cancel_scope.cancel()

    async def _play(self, fleet: Fleet, start: StartDay) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.play, self._drivers.play_fault)
            nursery.start_soon(self._drivers.run_load, start.until_us, CLASS_WEIGHTS)

    async def _member_port(self, driver: str, member: str) -> int:
        await trio.lowlevel.checkpoint()
        return self._member_ports[driver, member]

    async def _wait_for_members(self) -> None:
        """Return once every driver's discovery has all members of the trial."""
        members = self.day["groups"] * self.day["members"]
        discoveries = self._drivers.hosts.discoveries.values()
        while any(len(discovery.hosts) < members for discovery in discoveries):
            await trio.sleep(POLL_S)

    def _counts(self) -> ProcessCounts:
        discoveries = self._drivers.hosts.discoveries.values()
        return ProcessCounts(
            self.arguments.name,
            discovery_calls=sum(discovery.calls for discovery in discoveries),
            max_lag_us=self.lag.max_us,
            cpu_s=processor_time_s(),
        )


def steps_of_role(day: Day, role: str) -> list[Step]:
    """The faults that processes of this role play; those of configuration instances are nobody's."""
    wanted = role == DRIVERS
    return [
        step
        for step in day.steps
        if targets_driver_side(step) is wanted and not step.fault.startswith("instance-")
    ]


def targets_driver_side(step: Step) -> bool:
    """Whether a step strikes drivers, discovery or the links between them; all others strike members."""
    return step.fault.startswith("edge-") or DISCOVERY in (step.target, step.other)


def processor_time_s() -> float:
    """Processor time of this process and of those it started that have ended."""
    ended = resource.getrusage(resource.RUSAGE_CHILDREN)
    return time.process_time() + ended.ru_utime + ended.ru_stime


async def run_process(arguments: ProcessArguments) -> None:
    """Connect to the trial, play this process's part and leave its recording."""
    day = parse(arguments.script.read_text(encoding="utf-8"))
    stream = await TcpNetwork().connect("127.0.0.1", arguments.control_port, CONNECT_TIMEOUT_US)
    control = ControlConnection(stream)
    await control.send(Hello(arguments.name))
    process_class = MembersProcess if arguments.role == MEMBERS else DriversProcess
    with (arguments.directory / f"{arguments.name}.recording").open("wb") as out:
        await process_class(day, arguments, control, Recorder(out)).run()


def main() -> None:
    """The process's entry point."""
    # Hundreds of drivers hold thousands of connections to the members of one process, three descriptors each.
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    trio.run(run_process, ProcessArguments.parse(sys.argv[1:]))


if __name__ == "__main__":
    main()
