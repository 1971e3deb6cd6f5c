"""The fleet of one run: replication groups of fake endpoints, and the endpoint list watched by edges."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Collection
from typing import Protocol

import trio

from juniperreel.fakes.endpoint import FakeEndpoint
from juniperreel.fakes.endpoint_list_server import EndpointListServer
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.errors import UnknownTargetError
from juniperreel.fakes.fault_injector import FaultInjector
from juniperreel.fakes.replication_group import ReplicationGroup
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, Network
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import RecordSink

DETECTION_S = 1.2  # mean time to detect a failed primary
ELECTION_S = 1.0
STARTUP_S = 0.2
PRIMARY_CHECK_INTERVAL_S = 0.1
ZONES = 2

EdgeFaultHandler = Callable[[Step], Awaitable[None]]


class EndpointListPublisher(Protocol):
    """Receiver of endpoint updates: the endpoint list server, or a relay to it."""

    port: int
    frozen: bool

    async def run(self, task_status: trio.TaskStatus[None] = ...) -> None:
        """Serve until cancelled."""
        ...

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Publish an endpoint's state after a mean delay; None selects the list's default."""
        ...

    def endpoint_names(self) -> list[str]:
        """The endpoints that are published."""
        ...

    def hide(self, names: set[str]) -> None:
        """Omit exactly these endpoints from the list from now on."""
        ...

    def set_empty(self, empty: bool) -> None:
        """Serve an empty list, or the published endpoints again."""
        ...


class Fleet:
    """All endpoints of one run. `run` starts them; `play` injects the script's faults."""

    def __init__(
        self,
        script: Script,
        network: Network,
        clock: Clock,
        record: RecordSink,
        group_numbers: Collection[int] | None = None,
        endpoint_list: EndpointListPublisher | None = None,
        platform: bool = False,
    ) -> None:
        """Create the script's groups, or only some of them if other processes run the rest.

        `endpoint_list` replaces the default endpoint list server. With `platform`, endpoints speak the
        platform's protocol.
        """
        self.script = script
        self.clock = clock
        self.record = record
        self.rng = random.Random(script["seed"])
        self.settings = _endpoint_settings(script, platform)
        list_rng = random.Random(self.rng.random())
        self.endpoint_list: EndpointListPublisher = endpoint_list or EndpointListServer(
            network, clock, list_rng, record, script["list-delay"]
        )
        self.groups = [
            self._create_group(number, streaming=not platform)
            for number in range(script["groups"])
            if group_numbers is None or number in group_numbers
        ]
        self.endpoints: dict[str, FakeEndpoint] = {}
        self._network = network
        self._nursery: trio.Nursery | None = None
        self._created = 0  # total number of endpoints created
        self._listed_primaries: dict[int, str] = {}  # by group

    def _create_group(self, number: int, streaming: bool) -> ReplicationGroup:
        rng = random.Random(self.rng.random())
        return ReplicationGroup(
            number, self.clock, rng, self.record, DETECTION_S, ELECTION_S, streaming=streaming
        )

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run all endpoints until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                await self._nursery.start(self.endpoint_list.run)
                for group in self.groups:
                    for _ in range(self.script["members"]):
                        await self.add_endpoint(group, warming_up=False)
                    group.primary = group.endpoints[0]
                    group.primary.claims_primary = True
                    self._nursery.start_soon(group.run)
                for endpoint in self.endpoints.values():
                    self.publish(endpoint, hosts_pb2.READINESS_UP, 0)
                self._nursery.start_soon(self._publish_primaries)
                await trio.sleep(STARTUP_S)
                task_status.started()
        finally:
            for endpoint in self.endpoints.values():
                endpoint.release_ports()

    async def add_endpoint(self, group: ReplicationGroup, warming_up: bool) -> FakeEndpoint:
        """Add an endpoint to a group and start it."""
        name = f"g{group.number}-m{self._created}"
        zone = self._created % ZONES
        seed = self.rng.getrandbits(32)
        endpoint = FakeEndpoint(
            name, group, zone, self.settings, self._network, self.clock, seed, self.record
        )
        self._created += 1
        group.endpoints.append(endpoint)
        self.endpoints[name] = endpoint
        await self.start_endpoint(endpoint, warming_up)
        return endpoint

    async def start_endpoint(self, endpoint: FakeEndpoint, warming_up: bool) -> None:
        """Start or restart an endpoint's process."""
        assert self._nursery is not None
        await self._nursery.start(endpoint.run, warming_up)

    def publish(
        self, endpoint: FakeEndpoint, readiness: hosts_pb2.Readiness, delay_us: int | None = None
    ) -> None:
        """Publish an endpoint's state to the endpoint list."""
        group = endpoint.group.number
        host = hosts_pb2.Host(
            id=endpoint.name,
            address="127.0.0.1",
            port=endpoint.listed_port,
            group=group,
            zone=endpoint.zone,
            readiness=readiness,
            primary=self._listed_primaries.get(group) == endpoint.name,
            size=1.0,
            started=endpoint.capacity.started_us,
        )
        self.endpoint_list.publish(host, delay_us)

    async def _publish_primaries(self) -> None:
        """Publish new primaries, with a longer delay than other updates."""
        while True:
            await trio.sleep(PRIMARY_CHECK_INTERVAL_S)
            for group in self.groups:
                primary = group.primary
                if primary is None or self._listed_primaries.get(group.number) == primary.name:
                    continue
                self._listed_primaries[group.number] = primary.name
                for endpoint in group.endpoints:
                    if endpoint.alive:
                        readiness = (
                            hosts_pb2.READINESS_DRAINING if endpoint.draining else hosts_pb2.READINESS_UP
                        )
                        self.publish(endpoint, readiness, self.script["primary-delay"])

    def targets(self, target: str) -> list[FakeEndpoint]:
        """The endpoints that a target selects now. Raises UnknownTargetError."""
        alive = [endpoint for endpoint in self.endpoints.values() if endpoint.alive]
        if target == "all":
            return alive
        kind, separator, argument = target.partition(":")
        if kind == "zone" and argument.isdigit():
            return [endpoint for endpoint in alive if endpoint.zone == int(argument)]
        if kind == "random" and separator:
            part = float(argument.rstrip("%")) / 100
            count = max(min(1, len(alive)), round(part * len(alive)))
            return self.rng.sample(alive, min(count, len(alive)))
        name, _, which = target.partition("/")
        for group in self.groups:
            if name == f"g{group.number}":
                return self._targets_in(group, which)
        if name in {f"g{number}" for number in range(self.script["groups"])}:
            return []  # the group is run by another process
        raise UnknownTargetError(target)

    def _targets_in(self, group: ReplicationGroup, which: str) -> list[FakeEndpoint]:
        """The endpoints of a group by role or index, or all running ones if neither is given."""
        if which == "primary":
            return [group.primary] if group.primary is not None else []
        if which == "replica":
            replicas = [e for e in group.endpoints if e.alive and e is not group.primary]
            return self.rng.sample(replicas, 1) if replicas else []
        if which:
            return [group.endpoints[int(which)]]
        return [endpoint for endpoint in group.endpoints if endpoint.alive]

    async def play(self, on_edge_fault: EdgeFaultHandler) -> None:
        """Inject every fault of the script at its time; the handler receives those outside the fleet."""
        await FaultInjector(self, on_edge_fault).play()


def _endpoint_settings(script: Script, platform: bool) -> EndpointSettings:
    return EndpointSettings(
        cores=script["cores"],
        read_us=script["read-work"],
        write_us=script["write-work"],
        slow_start_us=script["cold-span"],
        mysql=bool(script["mysql-members"]),
        synchronous_replication=not script["alone"],
        postgres=platform,
    )
