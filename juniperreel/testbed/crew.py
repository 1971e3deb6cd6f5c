"""One process of a large trial: some groups' members and the links to them, or some drivers with sessions.

    python -m juniperreel.testbed.crew SCRIPT members|drivers PART OF PORT DIRECTORY [PROGRAM...]

takes its orders from the trial that listens on PORT (`words.py`), writes its records into DIRECTORY and ends
with the trial. A script's faults are the same wherever they are played; which draws are made for those that
name a random part of members is each process's own.
"""

from __future__ import annotations

import random
import resource
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

import trio

from juniperreel.fakes import fleet_processes
from juniperreel.fakes.fleet import EdgeFaultHandler, Fleet
from juniperreel.fakes.script import Script, Step, parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.testbed import words as w
from juniperreel.testbed.relay import Links
from juniperreel.testbed.sides import PROGRAM, TO_LIST, WEIGHTS, Doors, Drivers, drivers_named, names_of
from juniperreel.verification.records import Recorder

CONNECT_US = 10_000_000
LOOK_S = 0.02
QUEUE = 100_000  # hosts that wait to be told


def of_drivers(step: Step) -> bool:
    """Whether a step strikes drivers, discovery or the links between them; all others strike members."""
    return step.fault.startswith("edge-") or TO_LIST in (step.target, step.other)


def own_steps(day: Script, drivers: bool) -> list[Step]:
    return [s for s in day.steps if of_drivers(s) is drivers and not s.fault.startswith("instance-")]


Order = TypeVar("Order", bound=w.Word)


class Lateness:
    """By how much the loop was late at most: what a trial's times can't resolve."""

    def __init__(self) -> None:
        self.most_us = 0

    async def run(self) -> None:
        while True:
            due = trio.current_time() + LOOK_S
            await trio.sleep_until(due)
            self.most_us = max(self.most_us, int((trio.current_time() - due) * US))


def spent_s() -> float:
    """Processor time of this process and of those it started that have ended."""
    ended = resource.getrusage(resource.RUSAGE_CHILDREN)
    return time.process_time() + ended.ru_utime + ended.ru_stime


class Upward(fleet_processes.EndpointListRelay):
    """Stands where a fleet's host list does: what it is told goes to the trial, from a queue, since drivers
    need doors to a member before they hear of it."""

    def __init__(self) -> None:
        self._send, self.told = trio.open_memory_channel[tuple[hosts_pb2.Host, int | None]](QUEUE)

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        copy = hosts_pb2.Host()
        copy.CopyFrom(host)
        self._send.send_nowait((copy, delay_us))


class Crew:
    """What both kinds have in common. `part` of `parts`."""

    def __init__(self, day: Script, name: str, part: int, parts: int, talk: w.Talk, record: Recorder) -> None:
        self.day, self.name, self.part, self.parts, self.talk = day, name, part, parts, talk
        self.record, self.network, self.clock = record, TcpNetwork(), Clock()
        self.late = Lateness()
        self._give, self._orders = trio.open_memory_channel[w.Word](4)
        self.rng = random.Random(f"{day['seed']} {name}")

    async def listen(self) -> None:
        """Hosts are told as they come; orders wait for `expect`."""
        while True:
            word = await self.talk.hear()
            if isinstance(word, w.Host):
                self.told(word)
            else:
                await self._give.send(word)

    async def expect(self, kind: type[Order]) -> Order:
        word = await self._orders.receive()
        if not isinstance(word, kind):
            raise RuntimeError(f"{word} came in place of {kind.__name__}")
        return word

    def told(self, word: w.Host) -> None:
        raise RuntimeError("members are told of no members")


class MembersCrew(Crew):
    async def run(self) -> None:
        names, up = names_of(self.day), Upward()
        mine = replace(self.day, steps=own_steps(self.day, drivers=False))
        mine.settings = self.day.settings | {"seed": self.rng.getrandbits(31)}
        groups = frozenset(n for n in range(self.day["groups"]) if n % self.parts == self.part)
        fleet = Fleet(mine, self.network, self.clock, self.record, groups, up, platform=True)
        async with trio.open_nursery() as nursery:
            links = Links(self.network, nursery, self.rng.getrandbits(32))
            doors = Doors(fleet, links, names)
            nursery.start_soon(self._tell, up, doors)
            nursery.start_soon(self.late.run)
            nursery.start_soon(self.listen)
            await nursery.start(fleet.run)
            await self.talk.say(w.Ready())
            begin = await self.expect(w.Begin)

            async def links_of(step: Step) -> None:
                await doors.fault(step, drivers_named(self.day, step))

            async with trio.open_nursery() as day:
                day.start_soon(self._play, fleet, links_of, begin)
                await self.expect(w.End)
                day.cancel_scope.cancel()
            count = w.Count(
                self.name, doors.probes, doors.connections, doors.most_held, 0, self.late.most_us, spent_s()
            )
            await self.talk.say(count)
            nursery.cancel_scope.cancel()

    async def _tell(self, up: Upward, doors: Doors) -> None:
        async for host, delay_us in up.told:
            ports = {driver: await doors.port(driver, host.id) for driver in doors.names}
            await self.talk.say(w.Host.of(host, delay_us, ports))

    async def _play(self, fleet: Fleet, on_edge: EdgeFaultHandler, begin: w.Begin) -> None:
        await trio.sleep_until(self.clock.trio_time(begin.at_us))
        self.late.most_us = 0  # by which it was late while all were started tells nothing of the day
        await fleet.play(on_edge)


class DriversCrew(Crew):
    def __init__(
        self,
        day: Script,
        name: str,
        part: int,
        parts: int,
        talk: w.Talk,
        record: Recorder,
        directory: Path,
        program: tuple[str, ...],
    ) -> None:
        super().__init__(day, name, part, parts, talk, record)
        names = [n for i, n in enumerate(names_of(day)) if i % parts == part]
        self.ports: dict[tuple[str, str], int] = {}
        self.drivers = Drivers(
            day,
            names,
            self.network,
            self.clock,
            record,
            directory,
            self._door,
            self.rng.getrandbits(32),
            program,
        )

    async def _door(self, driver: str, member: str) -> int:
        await trio.lowlevel.checkpoint()
        return self.ports[driver, member]

    def told(self, word: w.Host) -> None:
        host = word.host
        self.ports |= {(driver, host.id): port for driver, port in word.doors.items()}
        self.drivers.hosts.publish(host, word.delay_us)

    async def run(self) -> None:
        mine = replace(self.day, steps=own_steps(self.day, drivers=True))
        hosts = self.drivers.hosts
        fleet = Fleet(mine, self.network, self.clock, self.record, frozenset(), hosts)
        members = self.day["groups"] * self.day["members"]
        async with trio.open_nursery() as nursery:
            self.drivers.links = Links(self.network, nursery, self.rng.getrandbits(32))
            nursery.start_soon(self.late.run)
            nursery.start_soon(self.listen)
            try:
                await nursery.start(fleet.run)
                await self.expect(w.Launch)
                while any(len(d.hosts) < members for d in hosts.servers.values()):
                    await trio.sleep(LOOK_S)
                await self.drivers.start()
                await self.talk.say(w.Ready())
                begin = await self.expect(w.Begin)
                async with trio.open_nursery() as day:
                    day.start_soon(self._day, fleet, begin)
                    await self.expect(w.End)
                    day.cancel_scope.cancel()
            finally:
                self.drivers.processes.end()
            calls = sum(d.calls for d in hosts.servers.values())
            await self.talk.say(w.Count(self.name, 0, 0, 0, calls, self.late.most_us, spent_s()))
            nursery.cancel_scope.cancel()

    async def _day(self, fleet: Fleet, begin: w.Begin) -> None:
        await trio.sleep_until(self.clock.trio_time(begin.at_us))
        self.late.most_us = 0  # by which it was late while all were started tells nothing of the day
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.play, self.drivers.fault)
            nursery.start_soon(self.drivers.load, begin.until_us, WEIGHTS)


async def work(arguments: list[str]) -> None:
    script, role, part, of, port, directory, *program = arguments
    day, name = parse(Path(script).read_text(encoding="utf-8")), f"{role}-{part}"
    stream = await TcpNetwork().connect("127.0.0.1", int(port), CONNECT_US)
    talk = w.Talk(stream)
    await talk.say(w.Hello(name))
    with (Path(directory) / f"{name}.recording").open("wb") as out:
        record = Recorder(out)
        if role == "members":
            await MembersCrew(day, name, int(part), int(of), talk, record).run()
        else:
            folder = Path(directory) / name
            folder.mkdir(exist_ok=True)
            started = tuple(program) or PROGRAM
            await DriversCrew(day, name, int(part), int(of), talk, record, folder, started).run()


def main() -> None:
    # Hundreds of drivers hold thousands of connections to the members of one process, three descriptors each.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    trio.run(work, sys.argv[1:])


if __name__ == "__main__":
    main()
