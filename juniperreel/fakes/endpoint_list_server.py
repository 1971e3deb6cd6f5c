"""A fake endpoint list server: a gRPC service with delayed updates and injectable faults."""

from __future__ import annotations

import random
from typing import NamedTuple

import trio

from juniperreel.net import Clock, Network
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.rpc.call import Call
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Method, Server
from juniperreel.rpc.status import Code, RpcError
from juniperreel.rpc.wakeup import Wakeup
from juniperreel.verification.records import EndpointListed, RecordSink

READINESS_NAMES = {
    hosts_pb2.READINESS_UP: "up",
    hosts_pb2.READINESS_DRAINING: "draining",
    hosts_pb2.READINESS_GONE: "gone",
}
MAX_WATCHES = 1000
UPDATE_INTERVAL_S = 0.05


class PendingUpdate(NamedTuple):
    """An update that becomes visible once it is due."""

    due_us: int
    host: hosts_pb2.Host


class ListVersion(NamedTuple):
    """The version of the list. A new generation ends all watches, so that edges need a new snapshot."""

    generation: int
    update: int


def draw_due_us(clock: Clock, rng: random.Random, delay_us: int) -> int:
    """Draw the time at which an update with this mean delay becomes visible."""
    return clock.now_us() + int(delay_us * rng.uniform(0.6, 1.4))


class EndpointListServer:
    """Serves the published endpoints, each after a delay."""

    def __init__(
        self, network: Network, clock: Clock, rng: random.Random, record: RecordSink, delay_us: int
    ) -> None:
        self.port = 0
        self.frozen = False  # updates stay pending
        self._empty = False
        self._network = network
        self._clock = clock
        self._rng = rng
        self._record = record
        self._delay_us = delay_us
        self._pending: list[PendingUpdate] = []
        self._published: dict[str, hosts_pb2.Host] = {}
        self._hidden: set[str] = set()
        self._version = ListVersion(0, 0)
        self._changed = Wakeup()
        self._watches = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listener = await self._network.listen("127.0.0.1", self.port)
        self.port = listener.port
        methods = {
            "/juniperreel.hosts.v1.Hosts/Fetch": Method(unary=self._fetch),
            "/juniperreel.hosts.v1.Hosts/Watch": Method(streaming=self._watch),
        }
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._show_due_updates)
            nursery.start_soon(Server(methods, Limits(), self._clock).serve, listener)
            task_status.started()

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Publish an endpoint's state after a mean delay; None selects the list's default."""
        delay_us = self._delay_us if delay_us is None else delay_us
        self._pending.append(PendingUpdate(draw_due_us(self._clock, self._rng, delay_us), host))

    def endpoint_names(self) -> list[str]:
        """All published endpoints that are not gone, including hidden ones."""
        return [name for name, host in self._published.items() if _is_present(host)]

    def hide(self, names: set[str]) -> None:
        """Omit exactly these endpoints from the list from now on, although they are running."""
        self._hidden = names
        self._notify()

    def end_watches(self) -> None:
        """End all watches; edges reconnect and receive a snapshot."""
        self._version = ListVersion(self._version.generation + 1, self._version.update)
        self._changed.wake()

    def set_empty(self, empty: bool) -> None:
        """Serve an empty list, or the published endpoints again."""
        self._empty = empty
        self.end_watches()

    def _notify(self) -> None:
        self._version = ListVersion(self._version.generation, self._version.update + 1)
        self._changed.wake()

    async def _show_due_updates(self) -> None:
        while True:
            await trio.sleep(UPDATE_INTERVAL_S)
            now = self._clock.now_us()
            if self.frozen:
                continue
            due = [update for update in self._pending if update.due_us <= now]
            if due:
                self._pending = [update for update in self._pending if update.due_us > now]
                for update in sorted(due, key=lambda update: update.due_us):
                    self._published[update.host.id] = update.host
                self._notify()

    def _visible(self) -> dict[str, hosts_pb2.Host]:
        return {name: host for name, host in self._published.items() if name not in self._hidden}

    def _snapshot(self) -> list[hosts_pb2.Host]:
        if self._empty:
            return []
        return [host for host in self._visible().values() if _is_present(host)]

    async def _fetch(self, _call: Call, data: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        edge = hosts_pb2.FetchRequest.FromString(data).edge
        hosts = self._snapshot()
        self._record_listed(edge, hosts, complete=True)
        return hosts_pb2.FetchResponse(hosts=hosts).SerializeToString()

    async def _watch(self, call: Call) -> None:
        edge = hosts_pb2.WatchRequest.FromString(await call.receive() or b"").edge
        if self._watches >= MAX_WATCHES:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many watches")
        self._watches += 1
        try:
            await self._send_updates(call, edge)
        finally:
            self._watches -= 1

    async def _send_updates(self, call: Call, edge: str) -> None:
        """Send a snapshot, then a delta for each change. Raises RpcError when the generation changes."""
        version = self._version
        sent = {host.id: host for host in self._snapshot()}
        self._record_listed(edge, list(sent.values()), complete=True)
        await call.send(hosts_pb2.WatchResponse(full=True, hosts=sent.values()).SerializeToString())
        while True:
            while self._version == version:
                await self._changed.wait()
            if self._version.generation != version.generation:
                raise RpcError(Code.UNAVAILABLE, "the list starts again")
            version = self._version
            visible = self._visible()
            delta = _delta(sent, visible)
            sent = visible
            if delta:
                self._record_listed(edge, delta, complete=False)
                await call.send(hosts_pb2.WatchResponse(hosts=delta).SerializeToString())

    def _record_listed(self, edge: str, hosts: list[hosts_pb2.Host], complete: bool) -> None:
        """Record the endpoints of a message to an edge.

        Endpoints missing from a snapshot are removed. An empty snapshot is a fault and removes none.
        """
        now = self._clock.now_us()
        for host in hosts:
            self._record(EndpointListed(now, edge, host.id, READINESS_NAMES[host.readiness]))
        if complete and hosts:
            removed = READINESS_NAMES[hosts_pb2.READINESS_GONE]
            for name in self._published.keys() - {host.id for host in hosts}:
                self._record(EndpointListed(now, edge, name, removed))


def _is_present(host: hosts_pb2.Host) -> bool:
    return host.readiness != hosts_pb2.READINESS_GONE


def _delta(before: dict[str, hosts_pb2.Host], now: dict[str, hosts_pb2.Host]) -> list[hosts_pb2.Host]:
    """The endpoints that changed; those no longer present are included as gone."""
    delta = [host for host in now.values() if before.get(host.id) != host]
    for name in before.keys() - now.keys():
        removed = hosts_pb2.Host()
        removed.CopyFrom(before[name])
        removed.readiness = hosts_pb2.READINESS_GONE
        delta.append(removed)
    return delta
