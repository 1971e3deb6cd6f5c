"""A cluster of instances on loopback in one trio run, with scripted partitions between the instances."""

from __future__ import annotations

import hashlib
import random
from pathlib import Path
from typing import Any

import trio

from juniperreel.cli.instance import Instance
from juniperreel.net import Clock, Listener, TcpNetwork
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import Command, SetGroup, SetLimit, SetMember
from juniperreel.raft.configuration.model import Configuration, GroupInfo, MemberInfo
from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.messages import Message
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Membership
from juniperreel.settings.configd import InstanceSettings
from juniperreel.settings.values import Address
from juniperreel.telemetry.log import make_log
from juniperreel.verification.versions import VersionApplied, VersionConfirmed

KEY = b"k" * 32


class ReservingNetwork(TcpNetwork):
    """Listens on sockets opened in advance, so that instance names can contain their ports."""

    def __init__(self) -> None:
        self._reserved: dict[int, Listener] = {}

    async def reserve(self) -> int:
        listener = await super().listen("127.0.0.1", 0)
        self._reserved[listener.port] = listener
        return listener.port

    async def listen(self, host: str, port: int) -> Any:
        reserved = self._reserved.pop(port, None)
        return reserved if reserved is not None else await super().listen(host, port)


def digest(configuration: Configuration) -> str:
    return hashlib.blake2b(model.encode(configuration, clients=False), digest_size=12).hexdigest()


class Cluster:
    def __init__(self, folder: Path, nursery: trio.Nursery, **settings: Any) -> None:
        self.folder = folder
        self.nursery = nursery
        self.network = ReservingNetwork()
        self.clock = Clock()
        self.names: list[str] = []
        self.instances: dict[str, Instance] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ended: dict[str, trio.Event] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.records: list[VersionConfirmed | VersionApplied] = []
        self.settings = {"tick_us": 10_000, "election_ticks": 10, "snapshot_interval": 1000} | settings
        self.log = make_log(stream=(folder / "log").open("w"))
        self.sequence = 0

    async def reserve_name(self) -> str:
        return f"c{len(self.names)}@127.0.0.1:{await self.network.reserve()}"

    async def start(self, count: int) -> None:
        for _ in range(count):
            self.names.append(await self.reserve_name())
        for name in self.names:
            storage = Storage.create(
                self.path(name), "test", name, Membership(frozenset(self.names)), 1 << 26
            )
            await self.start_instance(name, storage)
        self.client = self.client_of()
        await self.nursery.start(self.client.run)

    def path(self, name: str) -> Path:
        return self.folder / name.partition("@")[0]

    async def start_instance(self, name: str, storage: Storage | None = None) -> Instance:
        storage = storage or Storage.open(self.path(name), "test", name, 1 << 26)
        host, _, port = name.partition("@")[2].rpartition(":")
        settings = InstanceSettings(
            name=name,
            listen=Address(host, int(port)),
            cluster="test",
            directory=self.path(name),
            key=KEY,
            members=tuple(self.names),
            log_format="json",
            log_level="info",
            **self.settings,
        )
        instance = Instance(settings, storage, self.network, self.clock, self.log)
        deliver = instance.node.deliver

        def deliver_unless_partitioned(message: Message) -> None:
            if (message.src, message.dst) not in self.partitions:
                deliver(message)

        instance.node.deliver = deliver_unless_partitioned  # type: ignore[method-assign]
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

    def client_of(self, names: list[str] | None = None) -> ConfigurationClient:
        addresses = [("127.0.0.1", int(n.rpartition(":")[2])) for n in names or self.names]
        return ConfigurationClient(self.network, self.clock, random.Random(len(self.records)), addresses)

    def partition(self, *side: str) -> None:
        others = set(self.instances) - set(side)
        self.partitions = {(a, b) for a in side for b in others} | {(b, a) for a in side for b in others}

    def heal(self) -> None:
        self.partitions = set()

    async def wait_for_leader(self, among: list[str] | None = None) -> str:
        with trio.fail_after(15):
            while True:
                for name in among or self.names:
                    node = self.instances[name].node
                    if node.core.is_leader and not node.stopped and node.core.has_committed_in_term:
                        return name
                await trio.sleep(0.01)

    def command(self, *changes: Any, expect: int | None = None, client: str = "test") -> Command:
        self.sequence += 1
        return Command(client, self.sequence, list(changes), expect)

    async def apply_changes(self, *changes: Any, tries: int = 60) -> Outcome:
        """Proposes a command with retries, and records the confirmed version and its contents."""
        outcome = await self.client.propose(self.command(*changes), tries)
        assert not outcome.rejection, outcome.rejection
        await self.record_current_version()
        return outcome

    async def record_current_version(self) -> Configuration:
        now = await self.client.get()
        self.records.append(VersionConfirmed(self.clock.now_us(), now.version, digest(now)))
        return now

    async def seed(self) -> None:
        member = MemberInfo(0, "127.0.0.1", 1000)
        await self.apply_changes(
            SetGroup(0, GroupInfo(1, "m0")),
            SetMember("m0", member),
            SetMember("m1", member),
            SetLimit("edges", 3),
        )

    async def start_watcher(self, name: str, names: list[str] | None = None) -> None:
        client = self.client_of(names)
        await self.nursery.start(client.run)

        def on_version(configuration: Configuration) -> None:
            applied = VersionApplied(self.clock.now_us(), name, configuration.version, digest(configuration))
            self.records.append(applied)

        self.nursery.start_soon(client.watch, name, model.EMPTY, on_version)

    async def wait_until_all_at(self, version: int, watchers: int) -> None:
        with trio.fail_after(15):
            while (
                len({r.node for r in self.records if isinstance(r, VersionApplied) and r.version >= version})
                < watchers
            ):
                await trio.sleep(0.01)
