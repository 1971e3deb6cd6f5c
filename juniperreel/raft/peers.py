"""Sending messages to other nodes, with one task and one connection per peer."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from juniperreel.net import Clock, ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.proto.raft.v1 import raft_pb2
from juniperreel.raft import wire
from juniperreel.raft.errors import InvalidNodeNameError
from juniperreel.raft.messages import Message
from juniperreel.rpc.channel import Backoff, CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import RpcError
from juniperreel.rpc.wakeup import Wakeup

STEP_PATH = "/juniperreel.raft.v1.Raft/Step"
STEP_TIMEOUT_US = 1_000_000
CONNECT_TIMEOUT_US = 500_000
RECONNECT_BACKOFF = Backoff(20_000, 300_000)
RETRY_PAUSE_S = 0.01  # minimum; the pause is random, up to twice this
MAX_OUTBOX = 256  # messages queued per peer
MAX_BATCH = 64  # messages per call
MAX_NON_MEMBERS = 8
CALL_FAILURES = (ConnectError, CallUnprocessedError, CallInterruptedError, RpcError)


@dataclass(frozen=True, slots=True)
class PeerContext:
    """Context shared by the senders to all peers.

    Attributes:
        node: The sending node's name.
        cluster: The cluster's name.
        key: The cluster's key, used to sign every call.
        network: Opens connections.
        clock: Time source for deadlines.
        rng: Source of random pauses.
    """

    node: str
    cluster: str
    key: bytes
    network: Network
    clock: Clock
    rng: random.Random


class Peer:
    """Sends messages to one peer in order, dropping the oldest if the peer cannot keep up.

    Attributes:
        dropped: Number of messages dropped.
        scope: Cancels `run`.
    """

    def __init__(self, context: PeerContext, name: str) -> None:
        """`name` is the peer's node name, name@host:port."""
        self.dropped = 0
        self.scope = trio.CancelScope()
        self._context = context
        self._name = name
        self._outbox: list[Message] = []
        self._wakeup = Wakeup()

    def enqueue(self, message: Message) -> None:
        """Queue a message for sending."""
        self._outbox.append(message)
        if len(self._outbox) > MAX_OUTBOX:
            del self._outbox[0]
            self.dropped += 1
        self._wakeup.wake()

    async def run(self) -> None:
        """Send until `scope` is cancelled. Failed calls are not retried, since Raft retransmits as needed."""
        context = self._context
        host, port = wire.parse_address(self._name)
        channel = Channel(
            context.network,
            context.clock,
            host,
            port,
            Limits(),
            random.Random(context.rng.random()),
            CONNECT_TIMEOUT_US,
            RECONNECT_BACKOFF,
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(channel.run)
                while True:
                    while not self._outbox:
                        await self._wakeup.wait()
                    await self._send_batch(channel)

    async def _send_batch(self, channel: Channel) -> None:
        batch = self._outbox[:MAX_BATCH]
        self._outbox = self._outbox[MAX_BATCH:]
        request = self._signed_request(batch)
        try:
            with trio.move_on_after(STEP_TIMEOUT_US / US):
                await channel.unary(STEP_PATH, request, timeout_us=STEP_TIMEOUT_US)
        except CALL_FAILURES:
            await trio.sleep(RETRY_PAUSE_S * (1 + self._context.rng.random()))

    def _signed_request(self, batch: list[Message]) -> bytes:
        context = self._context
        data = wire.encode(batch)
        request = raft_pb2.StepRequest(
            cluster=context.cluster,
            src=context.node,
            dst=self._name,
            messages=data,
            signature=wire.sign(context.key, context.cluster, context.node, self._name, data),
        )
        serialized: bytes = request.SerializeToString()
        return serialized


class PeerSet:
    """The peers that a node sends messages to: the other members, and up to `MAX_NON_MEMBERS` other nodes.

    Nodes that this one does not know as members must be answered too, since a node that is being added does
    not know the membership yet. Only messages signed with the cluster's key are accepted at all.
    """

    def __init__(self, context: PeerContext, members: Callable[[], frozenset[str]], log: Any) -> None:
        """`members` returns the members in force; members without an address are reported to `log`."""
        self._context = context
        self._members = members
        self._log = log
        self._peers: dict[str, Peer] = {}
        self._non_members: list[str] = []
        self._start_soon: Callable[..., None] | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Start running the tasks of peers in `nursery`."""
        self._start_soon = nursery.start_soon
        self.update()

    def enqueue(self, message: Message) -> None:
        """Queue a message for its destination."""
        peer = self._peers.get(message.dst) or self._add_non_member(message.dst)
        if peer is not None:
            peer.enqueue(message)

    def _add_non_member(self, name: str) -> Peer | None:
        self._non_members.append(name)
        if len(self._non_members) > MAX_NON_MEMBERS:
            self._non_members.pop(0)
        self.update()
        return self._peers.get(name)

    def update(self) -> None:
        """Start missing peers, and stop those that are no longer needed."""
        assert self._start_soon is not None
        wanted = (self._members() | set(self._non_members)) - {self._context.node}
        for name in self._peers.keys() - wanted:
            self._peers.pop(name).scope.cancel()
        for name in sorted(wanted - self._peers.keys()):
            try:
                wire.parse_address(name)
            except InvalidNodeNameError as error:
                self._log.error("member name contains no address", member=name, error=str(error))
                continue
            peer = Peer(self._context, name)
            self._peers[name] = peer
            self._start_soon(peer.run)
