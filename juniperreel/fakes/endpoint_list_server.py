"""The host list: a gRPC service that knows late, and sometimes wrongly, which members there are."""

from __future__ import annotations

import random

import trio

from juniperreel.net import Clock, Network
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.link import Wakeup
from juniperreel.rpc.server import Call, Method, Server
from juniperreel.rpc.status import Code, RpcError
from juniperreel.verification.records import EndpointListed, RecordSink

NAMES = {
    hosts_pb2.READINESS_UP: "up",
    hosts_pb2.READINESS_DRAINING: "draining",
    hosts_pb2.READINESS_GONE: "gone",
}
MAX_WATCHES = 1000


class HostList:
    """`tell` is how the fleet reports a host; the list shows it `delay` later."""

    def __init__(
        self, network: Network, clock: Clock, rng: random.Random, record: RecordSink, delay_us: int
    ) -> None:
        self.port = 0
        self.frozen = self.empty = False
        self._network, self._clock, self._rng, self._record = network, clock, rng, record
        self._delay_us = delay_us
        self._due: list[tuple[int, hosts_pb2.Host]] = []
        self._shown: dict[str, hosts_pb2.Host] = {}
        self._hidden: set[str] = set()
        self._version = 0
        self._changed = Wakeup()
        self._watches = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listener = await self._network.listen("127.0.0.1", self.port)
        self.port = listener.port
        methods = {
            "/juniperreel.hosts.v1.Hosts/Fetch": Method(unary=self._fetch),
            "/juniperreel.hosts.v1.Hosts/Watch": Method(streaming=self._watch),
        }
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._show)
            nursery.start_soon(Server(methods, Limits(), self._clock).serve, listener)
            task_status.started()

    def tell(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        wait = self._delay_us if delay_us is None else delay_us
        self._due.append((self._clock.now_us() + int(wait * self._rng.uniform(0.6, 1.4)), host))

    def names(self) -> list[str]:
        """Of all hosts that it knows to be there."""
        return [n for n, h in self._shown.items() if h.readiness != hosts_pb2.READINESS_GONE]

    def hide(self, names: set[str]) -> None:
        """Hosts that the list forgets for now, though they run."""
        self._hidden = names
        self._bump()

    def drop_watches(self) -> None:
        """All watches end and start again with a full list."""
        self._version += 1_000_000
        self._changed.wake()

    def set_empty(self, empty: bool) -> None:
        self.empty = empty
        self.drop_watches()

    def _bump(self) -> None:
        self._version += 1
        self._changed.wake()

    async def _show(self) -> None:
        while True:
            await trio.sleep(0.05)
            now = self._clock.now_us()
            if self.frozen:
                continue
            ready = [host for due, host in sorted(self._due, key=lambda d: d[0]) if due <= now]
            if ready:
                self._due = [item for item in self._due if item[0] > now]
                for host in ready:
                    self._shown[host.id] = host
                self._bump()

    def _list(self) -> list[hosts_pb2.Host]:
        if self.empty:
            return []
        shown = [h for h in self._shown.values() if h.id not in self._hidden]
        return [h for h in shown if h.readiness != hosts_pb2.READINESS_GONE]

    async def _fetch(self, call: Call, data: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        edge = hosts_pb2.FetchRequest.FromString(data).edge
        hosts = self._list()
        self._note(edge, hosts, full=True)
        return hosts_pb2.FetchResponse(hosts=hosts).SerializeToString()

    async def _watch(self, call: Call) -> None:
        edge = hosts_pb2.WatchRequest.FromString(await call.receive() or b"").edge
        if self._watches >= MAX_WATCHES:
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many watches")
        self._watches += 1
        try:
            epoch, version = divmod(self._version, 1_000_000)
            told = {h.id: h for h in self._list()}
            self._note(edge, list(told.values()), full=True)
            await call.send(hosts_pb2.WatchResponse(full=True, hosts=told.values()).SerializeToString())
            while True:
                while divmod(self._version, 1_000_000) == (epoch, version):
                    await self._changed.wait()
                if self._version // 1_000_000 != epoch:
                    raise RpcError(Code.UNAVAILABLE, "the list starts again")
                epoch, version = divmod(self._version, 1_000_000)
                now = {h.id: h for h in self._shown.values() if h.id not in self._hidden}
                changed = [h for h in now.values() if told.get(h.id) != h]
                for name in told.keys() - now.keys():
                    gone = hosts_pb2.Host()
                    gone.CopyFrom(told[name])
                    gone.readiness = hosts_pb2.READINESS_GONE
                    changed.append(gone)
                told = now
                if changed:
                    self._note(edge, changed, full=False)
                    await call.send(hosts_pb2.WatchResponse(hosts=changed).SerializeToString())
        finally:
            self._watches -= 1

    def _note(self, edge: str, hosts: list[hosts_pb2.Host], full: bool) -> None:
        """Records what goes out. What a full list no longer names is gone; an empty one is no list."""
        now = self._clock.now_us()
        for host in hosts:
            self._record(EndpointListed(now, edge, host.id, NAMES[host.readiness]))
        if full and hosts:
            for name in self._shown.keys() - {h.id for h in hosts}:
                self._record(EndpointListed(now, edge, name, "gone"))
