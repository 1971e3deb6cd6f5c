"""Replication streams: the replica's client and the primary's log sender."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from juniperreel.fakes.replica import EpochStart, LogPosition
from juniperreel.fakes.replication_group import LogTransfer
from juniperreel.fakes.store import Commit, Statement, value_from_proto, value_to_proto
from juniperreel.net import Clock, ConnectError, Network
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.rpc.call import Call
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import Code, RpcError

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint

REPLICATE_METHOD = "/juniperreel.member.v1.Member/Replicate"
RETRY_INTERVAL_S = 0.02  # between attempts to follow the primary
SEND_INTERVAL_S = 0.01  # between checks of the log
HEARTBEAT_INTERVAL_S = 0.03
CONNECT_TIMEOUT_US = 300_000


class ReplicationClient:
    """Keeps a stream open to the current primary of the group."""

    def __init__(self, endpoint: FakeEndpoint, network: Network, clock: Clock, rng: random.Random) -> None:
        self._endpoint = endpoint
        self._network = network
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Follow the primary, also after failovers, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(RETRY_INTERVAL_S)
                primary = self._endpoint.group.primary
                if primary is None or primary is self._endpoint or not self._may_follow(primary):
                    continue
                channel = self._channel_to(primary)
                await nursery.start(channel.run)
                try:
                    await self._follow(channel, primary)
                except (ConnectError, CallUnprocessedError, CallInterruptedError, RpcError):
                    pass  # the primary failed or lost its role
                finally:
                    channel.close()

    def _channel_to(self, primary: FakeEndpoint) -> Channel:
        rng = random.Random(self._rng.random())
        return Channel(
            self._network, self._clock, "127.0.0.1", primary.port, Limits(), rng, CONNECT_TIMEOUT_US
        )

    def _may_follow(self, primary: FakeEndpoint) -> bool:
        endpoint = self._endpoint
        is_replica = not endpoint.claims_primary
        return endpoint.group.primary is primary and not endpoint.faults.partitioned and is_replica

    async def _follow(self, channel: Channel, primary: FakeEndpoint) -> None:
        endpoint = self._endpoint
        replica = endpoint.replica
        request = member_pb2.ReplicateRequest(member=endpoint.name)
        for commit in replica.log:
            request.held.add(epoch=commit.epoch, position=commit.position)
        first = True
        async with channel.streaming(REPLICATE_METHOD, request.SerializeToString()) as messages:
            async for data in messages:
                await endpoint.wait_while_hung()
                if not self._may_follow(primary):
                    return
                update = member_pb2.ReplicateResponse.FromString(data)
                if first:
                    replica.follow(update.keep, [EpochStart(e.epoch, e.start) for e in update.epochs])
                    first = False
                replica.append([commit_from_proto(entry) for entry in update.entries], update.heartbeat)
                endpoint.group.notify_received()


class LogSender:
    """Sends a primary's log to one replica, with the replication delay."""

    def __init__(self, endpoint: FakeEndpoint, call: Call) -> None:
        self._endpoint = endpoint
        self._call = call
        self._sent = 0  # number of log entries
        self._sent_at_s = 0.0
        self._transfers: list[LogTransfer] = []
        self._message = member_pb2.ReplicateResponse()

    async def run(self) -> None:
        """Serve the call until cancelled. Raises RpcError when the endpoint is no longer primary."""
        endpoint = self._endpoint
        request = member_pb2.ReplicateRequest.FromString(await self._call.receive() or b"")
        positions = [LogPosition(entry.epoch, entry.position) for entry in request.held]
        self._sent = endpoint.replica.common_prefix(positions)
        self._message.keep = self._sent
        for epoch in endpoint.replica.epochs:
            self._message.epochs.add(epoch=epoch.epoch, start=epoch.start)
        self._transfers = [LogTransfer(0.0, self._sent, 0)]
        while True:
            if not endpoint.claims_primary or endpoint.group.primary is not endpoint:
                raise RpcError(Code.FAILED_PRECONDITION, f"{endpoint.name} is not the primary")
            if not endpoint.faults.hung and not endpoint.faults.partitioned:
                await self._send_arrived(trio.current_time())
            await trio.sleep(SEND_INTERVAL_S)

    async def _send_arrived(self, now: float) -> None:
        endpoint = self._endpoint
        group = endpoint.group
        log = endpoint.replica.log
        self._transfers.append(LogTransfer(now + group.replication_delay_s, len(log), group.heartbeat()))
        arrived = [transfer for transfer in self._transfers if transfer.due_s <= now]
        self._transfers = [transfer for transfer in self._transfers if transfer.due_s > now]
        newest = arrived[-1] if arrived else LogTransfer(0.0, self._sent, 0)
        message = self._message
        message.heartbeat = newest.heartbeat
        for commit in log[self._sent : newest.length]:
            message.entries.append(commit_to_proto(commit))
        heartbeat_due = now - self._sent_at_s > HEARTBEAT_INTERVAL_S
        if message.entries or message.keep or message.epochs or heartbeat_due:
            await self._call.send(message.SerializeToString())
            self._sent = max(self._sent, newest.length)
            self._sent_at_s = now
            self._message = member_pb2.ReplicateResponse()


def commit_to_proto(commit: Commit) -> member_pb2.LogEntry:
    """Encode a log entry."""
    first, *more = commit.statements
    return member_pb2.LogEntry(
        more=[
            member_pb2.Statement(
                statement=statement.text.encode(),
                parameters=[value_to_proto(value) for value in statement.parameters],
            )
            for statement in more
        ],
        epoch=commit.epoch,
        position=commit.position,
        statement=first.text.encode(),
        parameters=[value_to_proto(value) for value in first.parameters],
        idempotency_key=commit.idempotency_key,
        request=commit.request_id,
    )


def commit_from_proto(entry: member_pb2.LogEntry) -> Commit:
    """Decode a log entry."""
    messages: list[member_pb2.LogEntry | member_pb2.Statement] = [entry, *entry.more]
    statements = tuple(
        Statement(message.statement.decode(), tuple(value_from_proto(p) for p in message.parameters))
        for message in messages
    )
    return Commit(entry.epoch, entry.position, statements, entry.idempotency_key, entry.request)
