"""A fake endpoint: a database server with a copy of its group's data and injectable faults."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

import trio

from juniperreel.fakes.capacity_model import CapacityModel
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.grpc_service import GrpcService
from juniperreel.fakes.mysql_server import MysqlServer
from juniperreel.fakes.postgres_server import PostgresServer
from juniperreel.fakes.replica import ExecutedWrite, ReplicaState
from juniperreel.fakes.replication_group import ReplicationGroup
from juniperreel.fakes.replication_stream import ReplicationClient
from juniperreel.fakes.store import Commit, Statement
from juniperreel.net import Clock, Network, ReservedPort
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Server
from juniperreel.verification.records import (
    OVERLOADED,
    Committed,
    EndpointStarted,
    EndpointStopped,
    Record,
    RecordSink,
)


@dataclass(slots=True)
class EndpointFaults:
    """Active faults. Fractions are probabilities between 0 and 1."""

    hung: bool = False  # nothing is processed; connections stay open
    partitioned: bool = False  # from its group
    rejecting: bool = False  # requests, but not load reports
    lost_responses: float = 0.0  # fraction of responses lost after executing
    broken_connections: float = 0.0  # fraction of responses replaced by a disconnect
    failed_requests: float = 0.0  # fraction of requests that fail at once
    clock_skew_us: int = 0  # of the clock used in its reports


class FakeEndpoint:
    """A database server whose ports stay the same over restarts."""

    def __init__(
        self,
        name: str,
        group: ReplicationGroup,
        zone: int,
        settings: EndpointSettings,
        network: Network,
        clock: Clock,
        seed: int,
        record: RecordSink,
    ) -> None:
        self.name = name
        self.group = group
        self.zone = zone
        self.settings = settings
        # Unless the ports are reserved, the operating system may assign one to another process's outgoing
        # connection while the endpoint is down, so that it cannot listen again.
        self._held_ports = [ReservedPort() for _ in range(2 if settings.mysql else 1)]
        self.port = self._held_ports[0].port
        self.mysql_port = self._held_ports[-1].port if settings.mysql else 0
        self.alive = False
        self.claims_primary = False  # believes that it is the primary
        self.draining = False
        self.overloaded = False  # failed while it warmed up, and stays down
        self.faults = EndpointFaults()
        self.replica = ReplicaState()
        self._network = network
        self._clock = clock
        self._record = record
        self._rng = random.Random(seed)
        self.write_lock = trio.Lock()  # from a transaction's first write to its end
        self.mysql = MysqlServer(self)
        self.postgres = PostgresServer(self)
        self._grpc = GrpcService(self)
        self.capacity = CapacityModel(clock, random.Random(seed + 1), settings, self._fail_by_overload)
        self._process: trio.CancelScope | None = None
        self._resumed = trio.Event()

    async def run(
        self, warming_up: bool, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the server's process until killed."""
        listener = await self._network.listen("127.0.0.1", self.port)
        now = self._clock.now_us()
        self.capacity.started_us = now if warming_up else 0
        self.alive = True
        self.faults.hung = False
        self._grpc.reset()
        self.write_lock = trio.Lock()
        self.mysql = MysqlServer(self)
        mysql = await self._network.listen("127.0.0.1", self.mysql_port) if self.settings.mysql else None
        self._record(EndpointStarted(now, self.name, warming_up, float(self.settings.cores)))
        server = Server(self._grpc.methods(), Limits(), self._clock)
        try:
            with trio.CancelScope() as self._process:
                async with trio.open_nursery() as nursery:
                    if self.group.streaming:
                        client = ReplicationClient(self, self._network, self._clock, self._rng)
                        nursery.start_soon(client.run)
                    if mysql is not None:
                        nursery.start_soon(self.mysql.serve, mysql)
                    if self.settings.postgres:
                        await nursery.start(self.postgres.serve)
                    task_status.started()
                    await server.serve(listener)
        finally:
            self.alive = False
            self.claims_primary = False
            with trio.CancelScope(shield=True):
                await listener.aclose()
                if mysql is not None:
                    await mysql.aclose()

    def release_ports(self) -> None:
        """Release the reserved ports; the endpoint will not be restarted."""
        for port in self._held_ports:
            port.close()

    def kill(self, cause: str = "killed") -> None:
        """Stop the process immediately, if it is running."""
        if self.alive:
            self.alive = False
            self.claims_primary = False
            self._record(EndpointStopped(self._clock.now_us(), self.name, cause))
            if self._process is not None:
                self._process.cancel()

    def _fail_by_overload(self) -> None:
        self.overloaded = True
        self.kill(OVERLOADED)

    def resume(self) -> None:
        """Clear the fault `hung`."""
        self.faults.hung = False
        self._resumed.set()
        self._resumed = trio.Event()

    async def wait_while_hung(self) -> None:
        """Return once the fault `hung` is cleared."""
        while self.faults.hung:
            await self._resumed.wait()

    @property
    def listed_port(self) -> int:
        """The port in the endpoint list."""
        return self.mysql_port if self.settings.mysql else self.port

    def now_us(self) -> int:
        """The time on the endpoint's own clock, including the skew of an injected fault."""
        return max(self._clock.now_us() + self.faults.clock_skew_us, 0)

    def recorded_at_us(self) -> int:
        """The time for a record, on the recording process's clock."""
        return self._clock.now_us()

    def record(self, record: Record) -> None:
        """Write a record."""
        self._record(record)

    def occurs(self, probability: float) -> bool:
        """Draw whether a fault occurs; nothing is drawn if its probability is 0."""
        return bool(probability) and self._rng.random() < probability

    def kill_connection(self, number: int) -> None:
        """End a MySQL connection."""
        self.mysql.kill(number)

    def mean_work_us(self, write: bool) -> int:
        """The mean work of a request."""
        return self.settings.write_us if write else self.settings.read_us

    def replication_status(self) -> member_pb2.Standing:
        """The role, applied position and epochs that the endpoint reports."""
        if self.claims_primary and self.group.primary is self:
            self.replica.position = self.group.heartbeat()
            self.replica.received = self.replica.position
        status = member_pb2.Standing(
            role=member_pb2.ROLE_PRIMARY if self.claims_primary else member_pb2.ROLE_REPLICA,
            position=max(self.replica.position + self.faults.clock_skew_us, 0),
        )
        for epoch in self.replica.epochs:
            status.epochs.add(epoch=epoch.epoch, start=epoch.start)
        return status

    def commit(
        self, statements: Sequence[Statement], idempotency_key: str, request_id: str, row: str
    ) -> ExecutedWrite:
        """Apply a transaction and append it to the log. Raises sqlite3 errors, with nothing applied."""
        epoch = self.replica.epoch
        position = self.group.next_position()
        commit = Commit(epoch, position, tuple(statements), idempotency_key, request_id)
        rows = self.replica.apply(commit)
        self.replica.log.append(commit)
        now = self._clock.now_us()
        self._record(Committed(now, self.group.number, epoch, position, self.name, request_id, row))
        return ExecutedWrite(position, rows)

    async def wait_until_replicated(self, position: int) -> None:
        """Return once another endpoint has received the commit; at once if replication is asynchronous."""
        epoch = self.replica.epoch
        while self.settings.synchronous_replication and not self.group.is_replicated(epoch, position, self):
            await self.group.received.wait()
