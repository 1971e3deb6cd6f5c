"""Sending messages to the other nodes: one task and one connection for each."""

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
RETRY_PAUSE_S = 0.01  # at least; at most twice this
MAX_OUTBOX = 256  # messages that wait for one peer
MAX_BATCH = 64  # messages in one call
MAX_GUESTS = 8
CALL_FAILURES = (ConnectError, CallUnprocessedError, CallInterruptedError, RpcError)


@dataclass(frozen=True, slots=True)
class PeerContext:
    """What the senders to all peers share.

    Attributes:
        node: The sending node's name.
        cluster: The cluster's name.
        key: The cluster's key, which signs every call.
        network: Where connections are made.
        clock: Reads the time for deadlines.
        rng: Pauses are drawn from it.
    """

    node: str
    cluster: str
    key: bytes
    network: Network
    clock: Clock
    rng: random.Random


class Peer:
    """Sends one peer its messages in order; drops the oldest when the peer cannot keep up.

    Attributes:
        dropped: How many messages were dropped.
        scope: Cancels `run`.
    """

    def __init__(self, context: PeerContext, name: str) -> None:
        """`name` is the peer's, name@host:port."""
        self.dropped = 0
        self.scope = trio.CancelScope()
        self._context = context
        self._name = name
        self._outbox: list[Message] = []
        self._wakeup = Wakeup()

    def enqueue(self, message: Message) -> None:
        """Have a message sent."""
        self._outbox.append(message)
        if len(self._outbox) > MAX_OUTBOX:
            del self._outbox[0]
            self.dropped += 1
        self._wakeup.wake()

    async def run(self) -> None:
        """Send until `scope` is cancelled. Failed calls are not repeated: Raft sends again what is needed."""
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
    """The peers that a node sends messages to: the other members, and some guests.

    A guest is a node that this one does not know as a member. It is answered nevertheless, as a node that is
    being added knows no members itself; only nodes that hold the cluster's key are heard at all.
    """

    def __init__(self, context: PeerContext, members: Callable[[], frozenset[str]], log: Any) -> None:
        """`members` names the members in force; `log` is told of those that have no address."""
        self._context = context
        self._members = members
        self._log = log
        self._peers: dict[str, Peer] = {}
        self._guests: list[str] = []
        self._start_soon: Callable[..., None] | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Run a task for each peer in the nursery from now on."""
        self._start_soon = nursery.start_soon
        self.update()

    def enqueue(self, message: Message) -> None:
        """Have a message sent to the node that it names."""
        peer = self._peers.get(message.dst) or self._add_guest(message.dst)
        if peer is not None:
            peer.enqueue(message)

    def _add_guest(self, name: str) -> Peer | None:
        self._guests.append(name)
        if len(self._guests) > MAX_GUESTS:
            self._guests.pop(0)
        self.update()
        return self._peers.get(name)

    def update(self) -> None:
        """Start the peers that are missing, and stop those that are neither members nor guests."""
        assert self._start_soon is not None
        wanted = (self._members() | set(self._guests)) - {self._context.node}
        for name in self._peers.keys() - wanted:
            self._peers.pop(name).scope.cancel()
        for name in sorted(wanted - self._peers.keys()):
            try:
                wire.parse_address(name)
            except InvalidNodeNameError as error:
                self._log.error("member has no address", member=name, error=str(error))
                continue
            peer = Peer(self._context, name)
            self._peers[name] = peer
            self._start_soon(peer.run)
