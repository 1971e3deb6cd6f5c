"""Keeps a configuration cluster told of a stand-in fleet: the part that a site's own control plane plays."""

from __future__ import annotations

import random
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.net import Clock, Network
from juniperreel.net.clock import US
from juniperreel.raft.client import Instances, Unreachable
from juniperreel.raft.configuration.machine import Change, Command, SetGroup, SetMember
from juniperreel.raft.configuration.model import EMPTY, Configuration, GroupInfo, MemberInfo
from juniperreel.rpc.status import RpcError
from juniperreel.verification.records import EndpointListed, RecordSink

LOOK_S = 0.05
INSTANCES = 3

FILE = """\
[instance]
name {name}
cluster demo
directory {folder}
key cluster.key
tick 20ms
[cluster]
{members}
[log]
level warning
"""


class ConfigCluster:
    """Instances as processes of their own."""

    def __init__(self, folder: Path, network: Network) -> None:
        self._folder, self._network = folder, network
        self.ports: list[int] = []
        self._processes: list[trio.Process] = []
        self._commands: list[list[str]] = []

    async def start(self, key: bytes) -> None:
        (self._folder / "cluster.key").write_bytes(key)
        listeners = [await self._network.listen("127.0.0.1", 0) for _ in range(INSTANCES)]
        self.ports = [listener.port for listener in listeners]
        for listener in listeners:
            await listener.aclose()
        names = [f"c{n}@127.0.0.1:{port}" for n, port in enumerate(self.ports)]
        members = "\n".join(f"member {n}" for n in names)
        for n, name in enumerate(names):
            path = self._folder / f"c{n}.conf"
            directory = tempfile.mkdtemp(
                prefix=f"c{n}-", dir=self._folder
            )  # earlier days leave theirs behind
            path.write_text(FILE.format(name=name, folder=directory, members=members), encoding="utf-8")
            self._commands.append([sys.executable, "-m", "juniperreel.cli.main", "configd", str(path)])
            self._processes.append(await self._open([*self._commands[n], "--create"]))

    @staticmethod
    async def _open(command: list[str]) -> trio.Process:
        return await trio.lowlevel.open_process(command, stderr=subprocess.DEVNULL)

    async def kill(self, number: int, back_us: float) -> None:
        """Kills an instance; it comes back with its directory, if at all."""
        self._processes[number].kill()
        await self._processes[number].wait()
        if back_us:
            await trio.sleep(back_us / US)
            self._processes[number] = await self._open(self._commands[number])

    def addresses(self) -> list[tuple[str, int]]:
        return [("127.0.0.1", port) for port in self.ports]

    async def stop(self) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            await process.wait()


class Feeder:
    """Proposes the difference between the fleet as it is and the newest version that was confirmed."""

    def __init__(
        self,
        fleet: Fleet,
        network: Network,
        clock: Clock,
        addresses: list[tuple[str, int]],
        record: RecordSink,
        edges: Callable[[], list[str]],
    ) -> None:
        self._fleet, self._clock, self._record, self._edges = fleet, clock, record, edges
        self._instances = Instances(network, clock, random.Random(fleet.script["seed"]), addresses)
        self._now: Configuration = EMPTY
        self._sequence = 0
        self.ready = trio.Event()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self._instances.run)
            while True:
                changes = self._changes()
                if changes:
                    await self._propose(changes)
                await trio.sleep(LOOK_S)

    def _changes(self) -> list[Change]:
        changes: list[Change] = []
        for group in self._fleet.groups:
            primary = group.primary.name if group.primary is not None else None
            info = GroupInfo(group.epoch, primary)
            if self._now.groups.get(group.number) != info:
                changes.append(SetGroup(group.number, info))
        for name, member in self._fleet.endpoints.items():
            state = "up" if not member.draining else "draining" if member.alive else "gone"
            info_of = MemberInfo(
                member.group.number,
                "127.0.0.1",
                member.port,
                member.zone,
                state=state,
                started_us=member.capacity.started_us,
            )
            if self._now.members.get(name) != info_of:
                changes.append(SetMember(name, info_of))
        return changes

    async def _propose(self, changes: list[Change]) -> None:
        self._sequence += 1
        try:
            outcome = await self._instances.propose(Command("feeder", self._sequence, changes))
            if outcome.refusal:
                return  # the fleet moved on meanwhile; the next look will show
            before, self._now = self._now, await self._instances.get()
        except (RpcError, Unreachable):
            return
        self.ready.set()
        now = self._clock.now_us()
        for name, member in self._now.members.items():
            old = before.members.get(name)
            if old is None or old.state != member.state:
                for edge in self._edges():
                    self._record(EndpointListed(now, edge, name, member.state))
