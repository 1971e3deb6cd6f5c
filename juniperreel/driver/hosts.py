"""The host list: fetched, watched, and kept on disk for a start without it.

Tells the driver lists as they come and failures as they happen. When to ask, and again, the module says.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec
import trio
from google.protobuf.message import DecodeError

from juniperreel import interface as ui
from juniperreel.driver.options import DriverOptions
from juniperreel.net import Clock, ConnectError, Network
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.raft.client import ConfigurationClient
from juniperreel.rpc.channel import Broken, Channel, NeverSent
from juniperreel.rpc.status import RpcError

FETCH = "/juniperreel.hosts.v1.Hosts/Fetch"
WATCH = "/juniperreel.hosts.v1.Hosts/Watch"
FORMAT = 1
READINESS = {
    hosts_pb2.READINESS_UP: ui.Readiness.UP,
    hosts_pb2.READINESS_DRAINING: ui.Readiness.DRAINING,
    hosts_pb2.READINESS_GONE: ui.Readiness.GONE,
}
FAILURES = (ConnectError, NeverSent, Broken, RpcError, DecodeError)


class Host(msgspec.Struct, frozen=True):
    """One line of the list, as the driver keeps it."""

    id: str
    address: str
    port: int
    group: int
    zone: int
    kind: int
    readiness: str
    primary: bool
    size: float
    started_us: int

    def member(self, skew_us: int) -> ui.Member:
        """For the module; a start counts as later than it may be, so that a cold member is not hurried."""
        return ui.Member(
            id=self.id,
            group=self.group,
            zone=self.zone,
            kind=self.kind,
            readiness=ui.Readiness(self.readiness),
            listed_primary=self.primary,
            size=self.size,
            started_us=self.started_us + skew_us if self.started_us else 0,
        )


class Saved(msgspec.Struct, frozen=True):
    format: int
    hosts: list[Host]
    version: int = 0  # of the configuration they come from; 0 from a host list


def read_host(host: hosts_pb2.Host, groups: int) -> Host | None:
    """None for a line that cannot be right; the rest of the list still counts."""
    if not host.id or not host.address or not 0 < host.port < 65536 or host.group >= groups:
        return None
    readiness = READINESS.get(host.readiness)
    if readiness is None or not host.size >= 0:
        return None
    return Host(
        id=host.id,
        address=host.address,
        port=host.port,
        group=host.group,
        zone=host.zone,
        kind=host.kind,
        readiness=readiness.value,
        primary=host.primary,
        size=host.size or 1.0,
        started_us=host.started,
    )


class MemberSource:
    """Where the driver learns of members: tells lists as they come and failures as they happen.

    One watch at a time, begun and ended by the module's word. `known` is the newest whole list, `heard_us`
    when the source last said anything, `version` that of the configuration, 0 for a host list.
    """

    def __init__(
        self,
        options: DriverOptions,
        clock: Clock,
        tell: Callable[[ui.ListKind, list[Host]], None],
        log: Callable[..., None],
        link: Channel | ConfigurationClient,
    ) -> None:
        self._options, self._clock, self._tell, self._log = options, clock, tell, log
        self._link = link
        self._nursery: trio.Nursery | None = None
        self._watching: trio.CancelScope | None = None
        self.known: dict[str, Host] = {}
        self.heard_us = 0
        self.version = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            await self._nursery.start(self._link.run)
            task_status.started()
            await trio.sleep_forever()

    def subscribe(self, on: bool) -> None:
        assert self._nursery is not None
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if on:
            self._watching = trio.CancelScope()
            self._nursery.start_soon(self._watch, self._watching)

    def fetch(self) -> None:
        """Ask for the whole list once."""
        raise NotImplementedError

    async def _watch(self, scope: trio.CancelScope) -> None:
        raise NotImplementedError


class HostList(MemberSource):
    """One driver's link to the host list."""

    def __init__(
        self,
        options: DriverOptions,
        network: Network,
        clock: Clock,
        rng: random.Random,
        tell: Callable[[ui.ListKind, list[Host]], None],
        log: Callable[..., None],
    ) -> None:
        host, port = options.hosts
        self._channel = Channel(network, clock, host, port, options.limits, rng, options.connect_timeout_us)
        super().__init__(options, clock, tell, log, self._channel)

    def fetch(self) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._fetch)

    async def _fetch(self) -> None:
        request = hosts_pb2.FetchRequest(edge=self._options.name).SerializeToString()
        try:
            with trio.fail_after(self._options.list_timeout_us / 1_000_000):
                reply = await self._channel.unary(FETCH, request, timeout_us=self._options.list_timeout_us)
                self._take(True, hosts_pb2.FetchResponse.FromString(reply.message).hosts)
        except (*FAILURES, trio.TooSlowError) as error:
            self._failed(error)

    async def _watch(self, scope: trio.CancelScope) -> None:
        request = hosts_pb2.WatchRequest(edge=self._options.name).SerializeToString()
        with scope:
            try:
                with trio.CancelScope() as first:  # a list that says nothing at all must not be waited for
                    first.deadline = trio.current_time() + self._options.list_timeout_us / 1_000_000
                    async with self._channel.streaming(WATCH, request) as messages:
                        async for data in messages:
                            first.deadline = float("inf")
                            update = hosts_pb2.WatchResponse.FromString(data)
                            self._take(update.full, update.hosts)
                error: Exception = TimeoutError(
                    "no list in time" if first.cancelled_caught else "the watch ended"
                )
            except FAILURES as caught:
                error = caught
            self._failed(error)

    def _failed(self, error: Exception) -> None:
        self._log("host list failed", error=str(error))
        self._tell(ui.ListKind.FAILED, [])

    def _take(self, full: bool, lines: Iterable[hosts_pb2.Host]) -> None:
        hosts = []
        for line in lines:
            host = read_host(line, self._options.groups)
            if host is None:
                self._log("host list line ignored", host=line.id[:100], group=line.group)
            else:
                hosts.append(host)
        if full and not hosts:
            # Danger: an empty fleet is a broken list far more often than a true one; believing it turns
            # every request away.
            self._failed(ValueError("the host list is empty"))
            return
        self.heard_us = self._clock.now_us()
        if full:
            self.known = {}
        self.known.update((h.id, h) for h in hosts)
        self._tell(ui.ListKind.FULL if full else ui.ListKind.CHANGES, hosts)


def load(path: Path | None, groups: int) -> tuple[list[Host], int]:
    """The last good list and its version; empty where there is none. Raises ValueError for a file that is
    not one."""
    if path is None or not path.exists():
        return [], 0
    try:
        saved = msgspec.json.decode(path.read_bytes(), type=Saved)
    except msgspec.DecodeError as error:
        raise ValueError(f"{path} is not a saved host list: {error}") from None
    if saved.format != FORMAT:
        raise ValueError(f"{path} has format {saved.format}; this program reads {FORMAT}")
    names = {r.value for r in ui.Readiness}
    return [h for h in saved.hosts if h.group < groups and h.readiness in names], saved.version


def save(path: Path, hosts: list[Host], version: int = 0) -> None:
    """Whole or not at all: written beside, synced, then renamed over. Raises OSError."""
    beside = path.with_suffix(path.suffix + ".new")
    data = msgspec.json.encode(Saved(FORMAT, hosts, version))
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        with os.fdopen(descriptor, "wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(beside, path)
    except OSError:
        beside.unlink(missing_ok=True)
        raise
