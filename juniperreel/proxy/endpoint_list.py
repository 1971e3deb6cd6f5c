"""The request driver's endpoint list, and a client that polls and watches the discovery service over gRPC.

Reports each list and each failed call. The router decides when to poll, and when to open a new watch.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import msgspec
import trio
from google.protobuf.message import DecodeError

from juniperreel.net import Clock, ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.proxy.options import DriverOptions
from juniperreel.raft.client import ConfigurationClient
from juniperreel.routing.types import Endpoint, Readiness, UpdateKind
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.status import RpcError

FETCH = "/juniperreel.hosts.v1.Hosts/Fetch"
WATCH = "/juniperreel.hosts.v1.Hosts/Watch"
READINESS = {
    hosts_pb2.READINESS_UP: Readiness.READY,
    hosts_pb2.READINESS_DRAINING: Readiness.DRAINING,
    hosts_pb2.READINESS_GONE: Readiness.REMOVED,
}
DISCOVERY_ERRORS = (ConnectError, CallUnprocessedError, CallInterruptedError, RpcError, DecodeError)
MAX_LOGGED_ID = 100  # characters of an endpoint's id in a log line
DEFAULT_CAPACITY = 1.0  # for entries without a size
STORED_NAMES = {"machine_type": "kind", "listed_primary": "primary", "capacity": "size"}


class ListedEndpoint(msgspec.Struct, frozen=True, rename=STORED_NAMES):
    """An entry of the endpoint list; `rename` keeps the field names of the cached list file."""

    id: str
    address: str
    port: int
    group: int
    zone: int
    machine_type: int
    readiness: str
    listed_primary: bool
    capacity: float
    started_us: int

    def router_endpoint(self, skew_us: int) -> Endpoint:
        """Convert the entry for the router.

        Adds `skew_us` to the start time, so that clock skew never shortens slow start.
        """
        return Endpoint(
            id=self.id,
            group=self.group,
            zone=self.zone,
            machine_type=self.machine_type,
            readiness=Readiness(self.readiness),
            listed_primary=self.listed_primary,
            capacity=self.capacity,
            started_us=self.started_us + skew_us if self.started_us else 0,
        )


UpdateListener = Callable[[UpdateKind, list[ListedEndpoint]], None]


def parse_endpoint(entry: hosts_pb2.Host, groups: int) -> ListedEndpoint | None:
    """Convert an entry of the discovery service's list; None if it is invalid.

    An invalid entry does not invalidate the rest of the list.
    """
    readiness = READINESS.get(entry.readiness)
    if readiness is None or not _is_valid(entry, groups):
        return None
    return ListedEndpoint(
        id=entry.id,
        address=entry.address,
        port=entry.port,
        group=entry.group,
        zone=entry.zone,
        machine_type=entry.kind,
        readiness=readiness.value,
        listed_primary=entry.primary,
        capacity=entry.size or DEFAULT_CAPACITY,
        started_us=entry.started,
    )


def _is_valid(entry: hosts_pb2.Host, groups: int) -> bool:
    if not entry.id or not entry.address:
        return False
    # A size of NaN fails the comparison and is rejected.
    return 0 < entry.port < 65536 and entry.group < groups and entry.size >= 0


class EndpointSource(ABC):
    """Base of the sources of the endpoint list; `run` must be running.

    Owns at most one watch, which the router opens and ends. `endpoints` is the newest complete list by id,
    `updated_us` the time of the source's last message, and `version` the version of the configuration, 0 for
    a source without versions.
    """

    def __init__(
        self,
        options: DriverOptions,
        clock: Clock,
        on_update: UpdateListener,
        log: Callable[..., None],
        client: Channel | ConfigurationClient,
    ) -> None:
        """`on_update` is called for each list, delta and failed call; `log` writes a warning."""
        self._options = options
        self._clock = clock
        self._on_update = on_update
        self._log = log
        self._client = client
        self._nursery: trio.Nursery | None = None
        self._watch_scope: trio.CancelScope | None = None
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.updated_us = 0
        self.version = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the connection and the tasks of polls and watches until cancelled."""
        async with trio.open_nursery() as self._nursery:
            await self._nursery.start(self._client.run)
            task_status.started()
            await trio.sleep_forever()

    def subscribe(self, enabled: bool) -> None:
        """Open a new watch in place of the current one, or end it."""
        assert self._nursery is not None
        if self._watch_scope is not None:
            self._watch_scope.cancel()
            self._watch_scope = None
        if enabled:
            self._watch_scope = trio.CancelScope()
            self._nursery.start_soon(self._watch, self._watch_scope)

    @abstractmethod
    def poll(self) -> None:
        """Request the complete list once, without waiting for the response."""

    @abstractmethod
    async def _watch(self, scope: trio.CancelScope) -> None:
        """Report updates until `scope` is cancelled or the watch fails."""


class EndpointListClient(EndpointSource):
    """A driver's client of the discovery service."""

    def __init__(
        self,
        options: DriverOptions,
        network: Network,
        clock: Clock,
        rng: random.Random,
        on_update: UpdateListener,
        log: Callable[..., None],
    ) -> None:
        host, port = options.discovery_address
        self._channel = Channel(network, clock, host, port, options.limits, rng, options.connect_timeout_us)
        super().__init__(options, clock, on_update, log, self._channel)

    def poll(self) -> None:
        """Request the complete list once, without waiting for the response."""
        assert self._nursery is not None
        self._nursery.start_soon(self._poll)

    async def _poll(self) -> None:
        request = hosts_pb2.FetchRequest(edge=self._options.name).SerializeToString()
        timeout_us = self._options.discovery_timeout_us
        try:
            with trio.fail_after(timeout_us / US):
                reply = await self._channel.unary(FETCH, request, timeout_us=timeout_us)
                self._update(True, hosts_pb2.FetchResponse.FromString(reply.message).hosts)
        except (*DISCOVERY_ERRORS, trio.TooSlowError) as error:
            self._report_failure(error)

    async def _watch(self, scope: trio.CancelScope) -> None:
        with scope:
            try:
                error: Exception = await self._read_watch()
            except DISCOVERY_ERRORS as caught:
                error = caught
            self._report_failure(error)

    async def _read_watch(self) -> TimeoutError:
        """Report updates until the watch ends; return the reason, or raise it as a discovery error.

        The wait for the first message has a time-out, as the service may accept a watch and never respond.
        """
        request = hosts_pb2.WatchRequest(edge=self._options.name).SerializeToString()
        with trio.CancelScope() as first_message_scope:
            first_message_scope.deadline = trio.current_time() + self._options.discovery_timeout_us / US
            async with self._channel.streaming(WATCH, request) as messages:
                async for data in messages:
                    first_message_scope.deadline = float("inf")
                    update = hosts_pb2.WatchResponse.FromString(data)
                    self._update(update.full, update.hosts)
        if first_message_scope.cancelled_caught:
            return TimeoutError("the discovery service sent no endpoint list before the time-out")
        return TimeoutError("the discovery service ended the watch")

    def _report_failure(self, error: Exception) -> None:
        self._log("endpoint list call failed", error=str(error))
        self._on_update(UpdateKind.FAILED, [])

    def _update(self, is_snapshot: bool, entries: Iterable[hosts_pb2.Host]) -> None:
        endpoints = []
        for entry in entries:
            endpoint = parse_endpoint(entry, self._options.groups)
            if endpoint is None:
                self._log("endpoint list entry ignored", endpoint=entry.id[:MAX_LOGGED_ID], group=entry.group)
            else:
                endpoints.append(endpoint)
        if is_snapshot and not endpoints:
            # An empty endpoint list is far more often a fault of the discovery service than correct, and
            # applying it would cause every request to be rejected.
            self._report_failure(ValueError("the discovery service sent an empty endpoint list"))
            return
        self.updated_us = self._clock.now_us()
        if is_snapshot:
            self.endpoints = {}
        self.endpoints.update((endpoint.id, endpoint) for endpoint in endpoints)
        self._on_update(UpdateKind.SNAPSHOT if is_snapshot else UpdateKind.DELTA, endpoints)
