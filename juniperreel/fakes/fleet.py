"""The fleet: groups of members, their host list, and the hands that carry out a script's faults."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

import trio

from juniperreel.fakes.endpoint import Member
from juniperreel.fakes.endpoint_list_server import HostList
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.replication_group import Group
from juniperreel.fakes.script import Day, Step
from juniperreel.net import Clock, Network
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import Fault, RecordSink

US = 1_000_000
HANDOVER_S = 0.4  # of a draining primary
STOP_AFTER_US = 5_000_000  # a draining member's process ends
DETECT_S, ELECT_S = 1.2, 1.0


class Hosts(Protocol):
    """Whoever is told of hosts: the host list, or who passes it on."""

    port: int
    frozen: bool

    async def run(self, task_status: trio.TaskStatus[None] = ...) -> None: ...

    def tell(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None: ...

    def names(self) -> list[str]: ...

    def hide(self, names: set[str]) -> None: ...

    def set_empty(self, empty: bool) -> None: ...


EdgeHand = Callable[[Step], Awaitable[None]]


class Fleet:
    """All members of one day. `run` starts them; `play` carries out the script."""

    def __init__(
        self,
        day: Day,
        network: Network,
        clock: Clock,
        record: RecordSink,
        only: Collection[int] | None = None,
        hosts: Hosts | None = None,
        platform: bool = False,
    ) -> None:
        """`only` some of the day's groups, where others play the rest; `hosts` in place of a host list;
        `platform`: members speak to the platform's drivers."""
        self.day, self._network, self._clock, self._record = day, network, clock, record
        self._rng = random.Random(day["seed"])
        self.settings = EndpointSettings(
            cores=day["cores"],
            read_us=day["read-work"],
            write_us=day["write-work"],
            slow_start_us=day["cold-span"],
            mysql=bool(day["mysql-members"]),
            synchronous_replication=not day["alone"],
            postgres=platform,
        )
        rng = random.Random(self._rng.random())
        self.hosts = hosts or HostList(network, clock, rng, record, day["list-delay"])
        self.groups = [
            Group(n, clock, random.Random(self._rng.random()), record, DETECT_S, ELECT_S, not platform)
            for n in range(day["groups"])
            if only is None or n in only
        ]
        self.members: dict[str, Member] = {}
        self._nursery: trio.Nursery | None = None
        self._born = 0
        self._listed_primary: dict[int, str] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        try:
            async with trio.open_nursery() as self._nursery:
                await self._nursery.start(self.hosts.run)
                for group in self.groups:
                    for _ in range(self.day["members"]):
                        await self._add(group, cold=False)
                    group.primary = group.members[0]
                    group.primary.claims = True
                    self._nursery.start_soon(group.run)
                for member in self.members.values():
                    self._tell(member, hosts_pb2.READINESS_UP, 0)
                self._nursery.start_soon(self._watch_primaries)
                await trio.sleep(0.2)
                task_status.started()
        finally:
            for member in self.members.values():
                member.release()

    async def _add(self, group: Group, cold: bool) -> Member:
        assert self._nursery is not None
        name = f"g{group.number}-m{self._born}"
        zone = self._born % 2
        seed = self._rng.getrandbits(32)
        member = Member(name, group, zone, self.settings, self._network, self._clock, seed, self._record)
        self._born += 1
        group.members.append(member)
        self.members[name] = member
        await self._nursery.start(member.run, cold)
        return member

    def _tell(self, member: Member, readiness: hosts_pb2.Readiness, delay_us: int | None = None) -> None:
        host = hosts_pb2.Host(
            id=member.name,
            address="127.0.0.1",
            port=member.door,
            group=member.group.number,
            zone=member.zone,
            readiness=readiness,
            primary=self._listed_primary.get(member.group.number) == member.name,
            size=1.0,
            started=member.machine.started_us,
        )
        self.hosts.tell(host, delay_us)

    async def _watch_primaries(self) -> None:
        """The list learns who is primary later than anything else."""
        while True:
            await trio.sleep(0.1)
            for group in self.groups:
                p = group.primary
                if p is not None and self._listed_primary.get(group.number) != p.name:
                    self._listed_primary[group.number] = p.name
                    for member in group.members:
                        if member.alive:
                            ready = (
                                hosts_pb2.READINESS_DRAINING if member.draining else hosts_pb2.READINESS_UP
                            )
                            self._tell(member, ready, self.day["primary-delay"])

    # Faults.

    def targets(self, target: str) -> list[Member]:
        """The members a target names now. Raises ValueError for one that names none."""
        alive = [m for m in self.members.values() if m.alive]
        if target == "all":
            return alive
        if target.startswith("zone:") and target[5:].isdigit():
            return [m for m in alive if m.zone == int(target[5:])]
        if target.startswith("random:"):
            count = max(min(1, len(alive)), round(float(target[7:].rstrip("%")) / 100 * len(alive)))
            return self._rng.sample(alive, min(count, len(alive)))
        name, _, which = target.partition("/")
        for group in self.groups:
            if name == f"g{group.number}":
                if which == "primary":
                    return [group.primary] if group.primary is not None else []
                if which == "replica":
                    able = [m for m in group.members if m.alive and m is not group.primary]
                    return self._rng.sample(able, 1) if able else []
                return [group.members[int(which)]] if which else [m for m in group.members if m.alive]
        if name in {f"g{n}" for n in range(self.day["groups"])}:
            return []  # another process plays it
        raise ValueError(f"nobody is called {target!r}")

    async def play(self, on_edge: EdgeHand) -> None:
        """Every step at its time, from now on; steps for edges go to `on_edge`."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for step in self.day.steps:
                await trio.sleep_until(start + step.at_us / US)
                nursery.start_soon(self._step, step, on_edge)

    async def _step(self, step: Step, on_edge: EdgeHand) -> None:
        self._record(Fault(self._clock.now_us(), step.text, True))
        if step.fault.startswith(("edge-", "instance-", "link-")):
            await on_edge(step)
        elif step.fault in ("freeze", "empty", "flap"):
            await self._list_fault(step)
        elif step.fault == "roll":
            await self._roll(step)
        elif step.fault in ("kill", "drain"):
            async with trio.open_nursery() as nursery:
                for member in self.targets(step.target):
                    nursery.start_soon(
                        self._kill if step.fault == "kill" else self._drain, member, step.value
                    )
        elif step.fault == "two-primaries":
            await self._two_primaries(step)
        else:
            members = self.targets(step.target)
            for member in members:
                self._set(member, step.fault, True, step.value)
            await trio.sleep(step.for_us / US)
            for member in members:
                self._set(member, step.fault, False, 0.0)
        self._record(Fault(self._clock.now_us(), step.text, False))

    @staticmethod
    def _set(member: Member, fault: str, on: bool, value: float) -> None:
        match fault:
            case "hang" if on:
                member.hung = True
            case "hang":
                member.wake()
            case "refuse":
                member.refusing = on
            case "lose":
                member.losing = value
            case "break":
                member.breaking = value
            case "fail":
                member.failing = value
            case "slow":
                member.machine.speed = value or 1.0
            case "lag":
                member.copy.apply_factor = value or 1.0
            case "cut":
                member.cut_off = on
            case "skew":
                member.skew_us = int(value)

    async def _kill(self, member: Member, back_us: float) -> None:
        assert self._nursery is not None
        member.kill()
        if back_us:
            await trio.sleep(back_us / US)
            if not member.alive and not member.fell:
                await self._nursery.start(member.run, True)
                self._tell(member, hosts_pb2.READINESS_UP)

    async def _drain(self, member: Member, _: float) -> None:
        member.draining = True
        self._tell(member, hosts_pb2.READINESS_DRAINING)
        if member.group.primary is member:
            await trio.sleep(HANDOVER_S)
            if member.group.primary is member:
                await member.group.elect(avoid=member)
        await trio.sleep(STOP_AFTER_US / US)
        member.kill("drained")
        self._tell(member, hosts_pb2.READINESS_GONE)

    async def _roll(self, step: Step) -> None:
        """Replaces the members one after another: a successor starts cold, then the old one drains."""
        async with trio.open_nursery() as nursery:
            for member in self.targets(step.target):
                fresh = await self._add(member.group, cold=True)
                self._tell(fresh, hosts_pb2.READINESS_UP)
                await trio.sleep(step.value / US)
                nursery.start_soon(self._drain, member, 0.0)

    async def _two_primaries(self, step: Step) -> None:
        """The group elects although its primary lives, and the old one goes on claiming the role."""
        for group in self.groups:
            if step.target == f"g{group.number}" and group.primary is not None:
                old, group.depose_s = group.primary, step.for_us / US
                await group.elect(avoid=old)
                old.claims = True
                await trio.sleep(step.for_us / US)
                old.claims = old is group.primary
                group.depose_s = 0.5

    async def _list_fault(self, step: Step) -> None:
        if step.fault == "freeze":
            self.hosts.frozen = True
            await trio.sleep(step.for_us / US)
            self.hosts.frozen = False
        elif step.fault == "empty":
            self.hosts.set_empty(True)
            await trio.sleep(step.for_us / US)
            self.hosts.set_empty(False)
        else:
            end = trio.current_time() + step.for_us / US
            while trio.current_time() < end:
                known = self.hosts.names()
                self.hosts.hide(set(self._rng.sample(known, len(known) // 4)))
                await trio.sleep(0.5)
                self.hosts.hide(set())
                await trio.sleep(0.5)
