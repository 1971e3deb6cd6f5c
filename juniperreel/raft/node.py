"""A running node: one task owns the core, the storage and the state machine; other tasks send it messages.

All queues are bounded: the inbox (when it is full, messages from peers are dropped, which Raft tolerates),
the outbox of each peer, and the pending operations. Each `Ready` is processed in its documented order.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

import trio

from juniperreel.net import Clock, Network
from juniperreel.net.clock import US
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine, Outcome
from juniperreel.raft.core import RaftCore
from juniperreel.raft.errors import DiskFullError
from juniperreel.raft.messages import Message
from juniperreel.raft.operations import OperationTable, PendingOperation
from juniperreel.raft.peers import PeerContext, PeerSet
from juniperreel.raft.ready import PersistBatch, Ready
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Entry, EntryKind, MembershipChange, Role
from juniperreel.rpc.wakeup import Wakeup

MAX_INBOX = 4096
DEFAULT_TICK_US = 30_000
DEFAULT_SNAPSHOT_INTERVAL = 1000  # entries
WRITE_RETRY_S = 60.0  # how long a write is retried after transient errors
WRITE_RETRY_PAUSE_S = 0.2
NODE_STOPPING = "the instance stops"


class RoleAndLeader(NamedTuple):
    """Role and leader, whose changes are logged."""

    role: Role
    leader: str | None


class RaftNode:
    """One running Raft node.

    Attributes:
        name: The node's name, name@host:port.
        cluster: The cluster's name.
        key: The cluster's key, used to sign calls between nodes.
        core: The Raft state machine; only `run` may modify it.
        state_machine: The configuration as applied on this node.
        applied: Wakes the tasks that wait for a new version or for the node to stop.
        stopped: Whether `run` has ended.
    """

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
        tick_us: int = DEFAULT_TICK_US,
        snapshot_interval: int = DEFAULT_SNAPSHOT_INTERVAL,
    ) -> None:
        """Starts from the contents of the storage.

        `tick_us` is the tick interval; a snapshot is taken every `snapshot_interval` entries. Raises
        StorageError if the directory cannot be read.
        """
        self.name = name
        self.cluster = cluster
        self.key = key
        core_rng = random.Random(rng.random())
        self.core = RaftCore(name, storage.recover(), config or RaftConfig(), core_rng)
        self.state_machine = ConfigurationStateMachine()
        self.state_machine.restore(self.core.snapshot.data)
        self.applied = Wakeup()
        self.stopped = False
        self._storage = storage
        self._log = log
        self._tick_us = tick_us
        self._snapshot_interval = snapshot_interval
        self._send_channel, self._inbox = trio.open_memory_channel[Message | PendingOperation](MAX_INBOX)
        peer_context = PeerContext(name, cluster, key, network, clock, rng)
        self._peers = PeerSet(peer_context, lambda: self.core.membership.all, log)
        self._operations = OperationTable()
        self._last_read_context = 0
        self._last_logged: RoleAndLeader | None = None

    # Methods called by other tasks.

    def deliver(self, message: Message) -> None:
        """Queue a message from a peer; it is dropped if the inbox is full or the node has stopped."""
        try:
            self._send_channel.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return

    async def _perform(self, operation: PendingOperation) -> Outcome | None:
        self._operations.require_capacity()
        await self._send_channel.send(operation)
        return await operation.wait()

    async def propose(self, data: bytes) -> Outcome:
        """Propose a command and return its outcome once it is applied.

        If the call is cancelled, the command may still be applied. Raises NotLeaderError,
        RequestRejectedError, EntrySupersededError or OutcomeUnknownError.
        """
        outcome = await self._perform(PendingOperation(lambda: self.core.propose(data)))
        assert outcome is not None  # every command entry has an outcome
        return outcome

    async def change_membership(self, change: MembershipChange, name: str) -> None:
        """Change the membership and wait for the commit. Raises the errors of `propose`."""
        await self._perform(PendingOperation(lambda: self.core.change_membership(change, name)))

    async def transfer_leadership(self, target: str) -> None:
        """Start a leadership transfer to a voter. Raises NotLeaderError or RequestRejectedError."""
        await self._perform(PendingOperation(lambda: self.core.transfer_leadership(target)))

    async def read(self) -> None:
        """Wait until the state machine includes everything that was committed when the read started.

        Raises NotLeaderError or RequestRejectedError.
        """
        self._last_read_context += 1
        context = self._last_read_context
        operation = PendingOperation(lambda: self.core.read_index(context), read_context=context)
        try:
            await self._perform(operation)
        finally:
            self._operations.discard_read(context)

    # The node's task.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled.

        Raises DiskFullError after `WRITE_RETRY_S` of failed writes, or at once if the error is permanent: the
        node must stop so that its group continues without it.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._peers.start(nursery)
                task_status.started()
                await self._loop()
        finally:
            self.stopped = True
            self._operations.fail_all(NODE_STOPPING)
            self._send_channel.close()
            self.applied.wake()

    async def _loop(self) -> None:
        tick_s = self._tick_us / US
        next_tick = trio.current_time() + tick_s
        while True:
            with trio.move_on_at(next_tick):
                self._handle(await self._inbox.receive())
            self._drain_inbox()
            now = trio.current_time()
            if now >= next_tick:
                self.core.tick()
                # Ticks missed in a stall are skipped: catching up would make the leader appear silent.
                next_tick = max(next_tick + tick_s, now)
            await self._process_ready()

    def _drain_inbox(self) -> None:
        for _ in range(MAX_INBOX):
            try:
                item = self._inbox.receive_nowait()
            except trio.WouldBlock:
                return
            self._handle(item)

    def _handle(self, item: Message | PendingOperation) -> None:
        if isinstance(item, PendingOperation):
            self._operations.start(item)
        else:
            self.core.step(item)

    async def _process_ready(self) -> None:
        while self.core.has_ready():
            ready = self.core.take_ready()
            if ready.persist:
                await self._persist(ready.persist)
            self.core.mark_persisted(ready)
            self._send_and_apply(ready)
        self._log_role_change()

    async def _persist(self, batch: PersistBatch) -> None:
        """Write a batch, retrying transient errors.

        The node sends and answers nothing meanwhile, so the other nodes elect a leader without it. A failed
        write leaves the directory unchanged, so the same batch can be retried.
        """
        retry_deadline = trio.current_time() + WRITE_RETRY_S
        while True:
            try:
                await trio.to_thread.run_sync(self._storage.write, batch)
            except DiskFullError as error:
                if not error.transient or trio.current_time() >= retry_deadline:
                    self._log.error("disk full, instance stopping", error=str(error))
                    raise
                self._log.warning("write failed, retrying", error=str(error))
                await trio.sleep(WRITE_RETRY_PAUSE_S)
            else:
                return

    def _log_role_change(self) -> None:
        current = RoleAndLeader(self.core.role, self.core.leader)
        if current == self._last_logged:
            return
        self._last_logged = current
        self._log.info("role changed", role=current.role.value, leader=current.leader, term=self.core.term)
        if not self.core.is_leader:
            self._operations.on_leadership_lost(self.core.leader)

    def _send_and_apply(self, ready: Ready) -> None:
        """Send, apply and answer, once the batch in `ready` is durable."""
        for message in ready.messages:
            self._peers.enqueue(message)
        if ready.installed_snapshot is not None:
            self.state_machine.restore(ready.installed_snapshot.data)
            self._operations.on_snapshot_installed(ready.installed_snapshot.index)
        for entry in ready.committed_entries:
            self._apply(entry)
        self._operations.on_reads_confirmed(ready.read_states)
        self._operations.on_reads_lost(ready.lost_reads, self.core.leader)
        if ready.committed_entries or ready.installed_snapshot is not None:
            self.applied.wake()
            self._compact_if_due()
        membership_changed = any(entry.kind is EntryKind.CONFIG for entry in ready.persist.entries)
        if membership_changed or ready.installed_snapshot is not None:
            self._peers.update()

    def _apply(self, entry: Entry) -> None:
        outcome: Outcome | None = None
        if entry.kind is EntryKind.COMMAND:
            outcome = self.state_machine.apply(entry.data)
        self._operations.on_applied(entry, outcome)

    def _compact_if_due(self) -> None:
        if self.core.applied_index - self.core.snapshot.index >= self._snapshot_interval:
            self.core.compact(self.core.applied_index, self.state_machine.snapshot())
