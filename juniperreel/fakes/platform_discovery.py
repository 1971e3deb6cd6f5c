"""The platform's discovery for a fleet of fakes, which replaces the endpoint list server.

Each edge has its own discovery server, because the address of an endpoint may differ between edges.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import trio

from juniperreel.fakes.discovery_server import DiscoveryServer
from juniperreel.fakes.endpoint_list_server import READINESS_NAMES, draw_due_us
from juniperreel.net import Clock
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import EndpointListed, RecordSink

UPDATE_INTERVAL_S = 0.05
# Rule of the platform: updates missed by a muted watch count as delivered this long after the muting.
MUTED_NOTICE_S = 6.0
HEALTH = {
    hosts_pb2.READINESS_UP: "Ready",
    hosts_pb2.READINESS_DRAINING: "Terminating",
    hosts_pb2.READINESS_GONE: "Gone",
}
READINESS_BY_HEALTH = {HEALTH[readiness]: name for readiness, name in READINESS_NAMES.items()}

# Returns the port on which an edge reaches an endpoint. Arguments: edge, endpoint.
PortLookup = Callable[[str, str], Awaitable[int]]


class PendingUpdate(NamedTuple):
    """An update that becomes visible to an edge once it is due."""

    due_us: int
    edge: str
    host: hosts_pb2.Host


class RecordedDiscovery(DiscoveryServer):
    """The discovery server of one edge; records the endpoints in its answers."""

    def __init__(self, edge: str, clock: Clock, record: RecordSink) -> None:
        super().__init__([])
        self._edge = edge
        self._clock = clock
        self._record = record
        self._listed: set[str] = set()
        self._muted_at_s = 0.0

    def mute(self) -> None:
        """Never answer the calls open now."""
        super().mute()
        self._muted_at_s = trio.current_time()

    async def wait_muted(self) -> None:
        """Hold the call; record the missed updates once they count as delivered."""
        await trio.sleep_until(self._muted_at_s + MUTED_NOTICE_S)
        self.on_answer(self.hosts)
        await super().wait_muted()

    def on_answer(self, hosts: list[dict[str, Any]]) -> None:
        """Record the endpoints of an answer; those no longer present are recorded as gone."""
        now = self._clock.now_us()
        for host in hosts:
            readiness = READINESS_BY_HEALTH[host["health"]]
            self._record(EndpointListed(now, self._edge, host["host"], readiness))
        listed = {host["host"] for host in hosts}
        removed = READINESS_NAMES[hosts_pb2.READINESS_GONE]
        for name in self._listed - listed:
            self._record(EndpointListed(now, self._edge, name, removed))
        self._listed = listed


class PlatformDiscovery:
    """Replaces a fleet's endpoint list server. `delay_us` is the mean delay of updates."""

    def __init__(
        self,
        edges: Sequence[str],
        clock: Clock,
        rng: random.Random,
        record: RecordSink,
        delay_us: int,
        find_port: PortLookup,
    ) -> None:
        self.port = 0
        self.frozen = False  # updates stay pending
        self.servers = {edge: RecordedDiscovery(edge, clock, record) for edge in edges}
        self._clock = clock
        self._rng = rng
        self._delay_us = delay_us
        self._find_port = find_port
        self._pending: list[PendingUpdate] = []
        self._published: dict[str, dict[str, hosts_pb2.Host]] = {edge: {} for edge in edges}
        self._hidden: set[str] = set()
        self._empty = False
        self._outdated: set[str] = set()  # edges whose list must be rebuilt

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for discovery in self.servers.values():
                await nursery.start(discovery.run)
            nursery.start_soon(self._show_updates)
            task_status.started()

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Publish an endpoint's state to all edges after a mean delay; None selects the default."""
        delay_us = self._delay_us if delay_us is None else delay_us
        due_us = draw_due_us(self._clock, self._rng, delay_us)
        for edge in self.servers:
            self._pending.append(PendingUpdate(due_us, edge, host))

    def endpoint_names(self) -> list[str]:
        """All endpoints that were published to any edge, sorted."""
        return sorted({name for hosts in self._published.values() for name in hosts})

    def hide(self, names: set[str]) -> None:
        """Omit exactly these endpoints from the list from now on."""
        self._hidden = names
        self._outdated = set(self.servers)

    def set_empty(self, empty: bool) -> None:
        """Serve an empty list, or the published endpoints again."""
        self._empty = empty
        self._outdated = set(self.servers)

    async def _show_updates(self) -> None:
        while True:
            if not self.frozen:
                self._take_due_updates(self._clock.now_us())
                outdated = sorted(self._outdated)
                self._outdated = set()
                for edge in outdated:
                    discovery = self.servers[edge]
                    hosts = [] if self._empty else await self._hosts(edge)
                    if hosts != discovery.hosts:
                        discovery.replace(hosts)
            await trio.sleep(UPDATE_INTERVAL_S)

    def _take_due_updates(self, now: int) -> None:
        due = [update for update in self._pending if update.due_us <= now]
        for update in sorted(due, key=lambda update: update.due_us):
            self._published[update.edge][update.host.id] = update.host
            self._outdated.add(update.edge)
        self._pending = [update for update in self._pending if update.due_us > now]

    async def _hosts(self, edge: str) -> list[dict[str, Any]]:
        """The list for an edge, in the platform's format."""
        hosts = []
        for name, host in sorted(self._published[edge].items()):
            if name in self._hidden or host.readiness == hosts_pb2.READINESS_GONE:
                continue
            hosts.append(
                {
                    "host": name,
                    "dial": f"127.0.0.1:{await self._find_port(edge, name)}",
                    "site": f"z{host.zone}",
                    "class": "k",
                    "block": host.group,
                    "health": HEALTH[host.readiness],
                    "share": host.size,
                    "born_ms": -(-host.started // 1000),
                    "replication": "primary" if host.primary else "standby",
                }
            )
        return hosts
