"""The shell around a core: one task owns core, disk and state machine; others send it messages.

Everything is bounded: the inbox (peers' messages are dropped when it is full, which Raft bears), each peer's
outbox, the proposals in hand. What a Ready names is done in its order.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from juniperreel.net import Clock, ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.proto.raft.v1 import raft_pb2
from juniperreel.raft import wire
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine, Outcome
from juniperreel.raft.core import RaftCore
from juniperreel.raft.errors import DiskFullError, EntrySupersededError, NotLeaderError, RequestRejectedError
from juniperreel.raft.messages import Message
from juniperreel.raft.ready import Ready
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Entry, EntryKind, LogPosition, MembershipChange
from juniperreel.rpc.channel import Backoff, Broken, Channel, NeverSent
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.link import Wakeup
from juniperreel.rpc.status import RpcError

STEP = "/juniperreel.raft.v1.Raft/Step"
INBOX = 4096
OUTBOX = 256
PENDING = 1024
BATCH = 64  # messages in one call to a peer
STEP_US = 1_000_000
GUESTS = 8  # nodes answered though they are no members
FAILURES = (ConnectError, NeverSent, Broken, RpcError)


@dataclass(slots=True, eq=False)
class PendingOperation:
    """Runs `act` in the node's task; it may raise NotLeaderError or RequestRejectedError."""

    act: Callable[[], LogPosition | None]
    done: trio.Event = field(default_factory=trio.Event)
    result: Any = None
    error: Exception | None = None

    def end(self, result: Any = None, error: Exception | None = None) -> None:
        if not self.done.is_set():
            self.result, self.error = result, error
            self.done.set()


class Peer:
    """Sends one peer what there is for it, in order, dropping the oldest when it cannot keep up."""

    def __init__(self, node: RaftNode, name: str) -> None:
        self.name, self.node = name, node
        self.queue: list[Message] = []
        self.dropped = 0
        self.scope = trio.CancelScope()
        self._wake = Wakeup()

    def put(self, message: Message) -> None:
        self.queue.append(message)
        if len(self.queue) > OUTBOX:
            del self.queue[0]
            self.dropped += 1
        self._wake.wake()

    async def run(self) -> None:
        n = self.node
        host, port = wire.parse_address(self.name)
        channel = Channel(
            n.network,
            n.clock,
            host,
            port,
            Limits(),
            random.Random(n.rng.random()),
            500_000,
            Backoff(20_000, 300_000),
        )
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(channel.run)
                while True:
                    while not self.queue:
                        await self._wake.wait()
                    batch, self.queue = self.queue[:BATCH], self.queue[BATCH:]
                    data = wire.encode(batch)
                    signature = wire.sign(n.key, n.cluster, n.name, self.name, data)
                    request = raft_pb2.StepRequest(
                        cluster=n.cluster, src=n.name, dst=self.name, messages=data, signature=signature
                    )
                    try:
                        with trio.move_on_after(STEP_US / US):
                            await channel.unary(STEP, request.SerializeToString(), timeout_us=STEP_US)
                    except FAILURES:
                        await trio.sleep(0.01 * (1 + n.rng.random()))


class RaftNode:
    """One instance."""

    def __init__(
        self,
        name: str,
        cluster: str,
        key: bytes,
        storage: Storage,
        network: Network,
        clock: Clock,
        log: Any,
        rng: random.Random,
        config: RaftConfig | None = None,
        tick_us: int = 30_000,
        snapshot_every: int = 1000,
    ) -> None:
        """Raises StorageError where the directory cannot be read."""
        self.name, self.cluster, self.key = name, cluster, key
        self.storage, self.network, self.clock, self.log, self.rng = storage, network, clock, log, rng
        self.core = RaftCore(name, storage.recover(), config or RaftConfig(), random.Random(rng.random()))
        self.state_machine = ConfigurationStateMachine()
        self.state_machine.restore(self.core.snapshot.data)
        self.applied = Wakeup()
        self.stopped = False
        self._tick_us = tick_us
        self._every = snapshot_every
        self._send, self._inbox = trio.open_memory_channel[Message | PendingOperation](INBOX)
        self._peers: dict[str, Peer] = {}
        self._guests: list[str] = []
        self._pending: dict[int, tuple[int, PendingOperation]] = {}  # index: (term, who waits)
        self._reads: dict[int, PendingOperation] = {}
        self._context = 0
        self._nursery: trio.Nursery | None = None
        self._was: tuple[str, str | None] = ("", None)

    # From outside.

    def deliver(self, message: Message) -> None:
        """A peer's message; dropped if the inbox is full."""
        try:
            self._send.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return

    async def _ask(self, ask: PendingOperation) -> Any:
        if len(self._pending) + len(self._reads) >= PENDING:
            raise RequestRejectedError("too many requests are in hand")
        await self._send.send(ask)
        await ask.done.wait()
        if ask.error is not None:
            raise ask.error
        return ask.result

    async def propose(self, data: bytes) -> Outcome:
        """Once applied. Cancelled, its fate is open.

        Raises NotLeaderError, RequestRejectedError or EntrySupersededError."""
        outcome: Outcome = await self._ask(PendingOperation(lambda: self.core.propose(data)))
        return outcome

    async def change_membership(self, change: MembershipChange, name: str) -> None:
        """Once the membership is committed. Raises as `propose` does."""
        await self._ask(PendingOperation(lambda: self.core.change_membership(change, name)))

    async def transfer_leadership(self, name: str) -> None:
        def act() -> None:
            self.core.transfer_leadership(name)

        await self._ask(PendingOperation(act))

    async def read(self) -> None:
        """Returns when this node's state machine holds all that was committed when the read began. Raises
        NotLeaderError or RequestRejectedError."""
        self._context += 1
        context = self._context
        ask = PendingOperation(lambda: None)

        def act() -> None:
            self.core.read_index(context)
            self._reads[context] = ask

        ask.act = act
        try:
            await self._ask(ask)
        finally:
            self._reads.pop(context, None)

    # The task.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled. Raises DiskFullError: a node that cannot write must stop; its group goes on."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._connect()
                task_status.started()
                await self._loop()
        finally:
            self.stopped = True
            for ask in [a for _, a in self._pending.values()] + list(self._reads.values()):
                ask.end(error=RequestRejectedError("the instance stops"))
            self._send.close()
            self.applied.wake()

    async def _loop(self) -> None:
        due = trio.current_time() + self._tick_us / US
        while True:
            with trio.move_on_at(due):
                self._take(await self._inbox.receive())
            for _ in range(INBOX):
                try:
                    self._take(self._inbox.receive_nowait())
                except trio.WouldBlock:
                    break
            now = trio.current_time()
            if now >= due:
                self.core.tick()
                # After a pause no ticks are made up for: they would look like silence of the leader.
                due = max(due + self._tick_us / US, now)
            await self._settle()

    def _take(self, item: Message | PendingOperation) -> None:
        if not isinstance(item, PendingOperation):
            self.core.step(item)
            return
        try:
            place = item.act()
        except (NotLeaderError, RequestRejectedError) as error:
            item.end(error=error)
            return
        if place is not None:
            self._pending[place.index] = (place.term, item)
        elif item not in self._reads.values():
            item.end()

    async def _settle(self) -> None:
        while self.core.has_ready():
            ready = self.core.take_ready()
            if ready.persist:
                try:
                    await trio.to_thread.run_sync(self.storage.write, ready.persist)
                except DiskFullError as error:
                    self.log.error("the disk takes no more; this instance stops", error=str(error))
                    raise
            self.core.mark_persisted(ready)
            self._dispatch(ready)
        role = (self.core.role.value, self.core.leader)
        if role != self._was:
            self._was = role
            self.log.info("raft", role=role[0], leader=role[1], term=self.core.term)
            if not self.core.is_leader:
                self._abandon()

    def _abandon(self) -> None:
        """No longer the leader: entries beyond the commit may be replaced; whoever waits is told when the
        place is taken. Reads are told at once by the core."""
        for context in [c for c in self._reads if not self.core.is_leader]:
            ask = self._reads.pop(context)
            ask.end(error=NotLeaderError(self.core.leader))

    def _dispatch(self, ready: Ready) -> None:
        for message in ready.messages:
            peer = self._peers.get(message.dst) or self._guest(message.dst)
            if peer is not None:
                peer.put(message)
        if ready.installed_snapshot is not None:
            self.state_machine.restore(ready.installed_snapshot.data)
            for index in [i for i in self._pending if i <= ready.installed_snapshot.index]:
                self._pending.pop(index)[1].end(error=EntrySupersededError("a snapshot took its place"))
        for entry in ready.committed_entries:
            self._apply(entry)
        for read in ready.read_states:
            ask = self._reads.pop(read.context, None)
            if ask is not None:
                ask.end()
        for context in ready.lost_reads:
            ask = self._reads.pop(context, None)
            if ask is not None:
                ask.end(error=NotLeaderError(self.core.leader))
        if ready.committed_entries or ready.installed_snapshot is not None:
            self.applied.wake()
            if self.core.applied_index - self.core.snapshot.index >= self._every:
                self.core.compact(self.core.applied_index, self.state_machine.snapshot())
        if (
            any(e.kind is EntryKind.CONFIG for e in ready.persist.entries)
            or ready.installed_snapshot is not None
        ):
            self._connect()

    def _apply(self, entry: Entry) -> None:
        result: Outcome | None = None
        if entry.kind is EntryKind.COMMAND:
            result = self.state_machine.apply(entry.data)
        waiting = self._pending.pop(entry.index, None)
        if waiting is not None:
            term, ask = waiting
            if term == entry.term:
                ask.end(result)
            else:
                ask.end(error=EntrySupersededError("another leader's entry took its place"))

    def _guest(self, name: str) -> Peer | None:
        """A link to answer one that this node does not know as a member yet: a node that is being added knows
        nobody. Only who holds the cluster's key gets an answer at all."""
        self._guests.append(name)
        if len(self._guests) > GUESTS:
            self._guests.pop(0)
        self._connect()
        return self._peers.get(name)

    def _connect(self) -> None:
        """A link to each member and to the last guests, and none to others."""
        assert self._nursery is not None
        wanted = (self.core.membership.all | set(self._guests)) - {self.name}
        for name in self._peers.keys() - wanted:
            self._peers.pop(name).scope.cancel()
        for name in sorted(wanted - self._peers.keys()):
            try:
                wire.parse_address(name)
            except ValueError as error:
                self.log.error("a member that cannot be reached", error=str(error))
                continue
            self._peers[name] = Peer(self, name)
            self._nursery.start_soon(self._peers[name].run)
