"""Instances on loopback in one trio run, with scripted partitions between them and towards clients."""

from __future__ import annotations

import hashlib
import random
from pathlib import Path
from typing import Any

import trio

from juniperreel.cli.configd import Instance
from juniperreel.net import Clock, Listener, Silent, TcpNetwork
from juniperreel.raft.client import Instances
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.machine import Command, Outcome, SetGroup, SetLimit, SetMember
from juniperreel.raft.configuration.model import Configuration, GroupInfo, MemberInfo
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Members, Message
from juniperreel.settings.configd import InstanceSettings
from juniperreel.telemetry.log import make_log
from juniperreel.verification.versions import VersionApplied, VersionConfirmed

KEY = b"k" * 32


class Ports(TcpNetwork):
    """Listens on sockets that were opened beforehand, so that names hold their ports."""

    def __init__(self) -> None:
        self.held: dict[int, Listener] = {}
        self.refusing: set[int] = set()

    async def reserve(self) -> int:
        listener = await super().listen("127.0.0.1", 0)
        self.held[listener.port] = listener
        return listener.port

    async def listen(self, host: str, port: int) -> Any:
        held = self.held.pop(port, None)
        return held if held is not None else await super().listen(host, port)

    async def connect(self, host: str, port: int, timeout_us: int) -> trio.abc.Stream:
        if port in self.refusing:
            raise Silent(f"{port} is cut off")
        return await super().connect(host, port, timeout_us)


def digest(c: Configuration) -> str:
    return hashlib.blake2b(model.encode(c, clients=False), digest_size=12).hexdigest()


class Cluster:
    def __init__(self, folder: Path, nursery: trio.Nursery, **settings: Any) -> None:
        self.folder, self.nursery = folder, nursery
        self.network = Ports()
        self.clock = Clock()
        self.names: list[str] = []
        self.instances: dict[str, Instance] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ended: dict[str, trio.Event] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.records: list[VersionConfirmed | VersionApplied] = []
        self.settings = {"tick_us": 10_000, "election_ticks": 10, "snapshot_every": 1000} | settings
        self.log = make_log(stream=(folder / "log").open("w"))
        self.sequence = 0

    async def name(self) -> str:
        return f"c{len(self.names)}@127.0.0.1:{await self.network.reserve()}"

    async def start(self, count: int) -> None:
        for _ in range(count):
            self.names.append(await self.name())
        for name in self.names:
            storage = Storage.create(self.path(name), "test", name, Members(frozenset(self.names)), 1 << 26)
            await self.boot(name, storage)
        self.client = self.instances_client()
        await self.nursery.start(self.client.run)

    def path(self, name: str) -> Path:
        return self.folder / name.partition("@")[0]

    async def boot(self, name: str, storage: Storage | None = None) -> Instance:
        storage = storage or Storage.open(self.path(name), "test", name, 1 << 26)
        host, _, port = name.partition("@")[2].rpartition(":")
        settings = InstanceSettings(
            name=name,
            listen=(host, int(port)),
            cluster="test",
            directory=self.path(name),
            key=KEY,
            members=tuple(self.names),
            log_form="json",
            log_level="info",
            **self.settings,
        )
        instance = Instance(settings, storage, self.network, self.clock, self.log)
        deliver = instance.node.deliver

        def cut(message: Message) -> None:
            if (message.src, message.dst) not in self.cuts:
                deliver(message)

        instance.node.deliver = cut  # type: ignore[method-assign]
        self.instances[name] = instance
        self.scopes[name] = trio.CancelScope()
        self.ended[name] = trio.Event()

        async def run(task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
            with self.scopes[name]:
                await instance.run(task_status=task_status)
            self.ended[name].set()

        await self.nursery.start(run)
        return instance

    async def kill(self, name: str) -> None:
        self.scopes[name].cancel()
        with trio.fail_after(5):
            await self.ended[name].wait()

    def instances_client(self, names: list[str] | None = None) -> Instances:
        places = [("127.0.0.1", int(n.rpartition(":")[2])) for n in names or self.names]
        return Instances(self.network, self.clock, random.Random(len(self.records)), places)

    def partition(self, *side: str) -> None:
        others = set(self.instances) - set(side)
        self.cuts = {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}

    def heal(self) -> None:
        self.cuts = set()

    async def leader(self, among: list[str] | None = None) -> str:
        with trio.fail_after(15):
            while True:
                for name in among or self.names:
                    node = self.instances[name].node
                    if node.core.is_leader and not node.stopped and node.core.commit >= node.core._noop:
                        return name
                await trio.sleep(0.01)

    def command(self, *changes: Any, expect: int | None = None, client: str = "test") -> Command:
        self.sequence += 1
        return Command(client, self.sequence, list(changes), expect)

    async def set(self, *changes: Any, tries: int = 60) -> Outcome:
        """Proposes until it is confirmed, and records what the confirmed version holds."""
        outcome = await self.client.propose(self.command(*changes), tries)
        assert not outcome.refusal, outcome.refusal
        await self.confirm()
        return outcome

    async def confirm(self) -> Configuration:
        now = await self.client.get()
        self.records.append(VersionConfirmed(self.clock.now_us(), now.version, digest(now)))
        return now

    async def seed(self) -> None:
        member = MemberInfo(0, "127.0.0.1", 1000)
        await self.set(
            SetGroup(0, GroupInfo(1, "m0")),
            SetMember("m0", member),
            SetMember("m1", member),
            SetLimit("edges", 3),
        )

    async def watcher(self, name: str, names: list[str] | None = None) -> None:
        client = self.instances_client(names)
        await self.nursery.start(client.run)

        def told(c: Configuration) -> None:
            self.records.append(VersionApplied(self.clock.now_us(), name, c.version, digest(c)))

        self.nursery.start_soon(client.watch, name, model.EMPTY, told)

    async def all_at(self, version: int, watchers: int) -> None:
        with trio.fail_after(15):
            while (
                len({r.node for r in self.records if isinstance(r, VersionApplied) and r.version >= version})
                < watchers
            ):
                await trio.sleep(0.01)
