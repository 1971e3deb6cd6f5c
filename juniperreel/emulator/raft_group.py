"""A group of Raft cores without sockets, clocks or disks, in which every step is checked.

Owns the nodes, the messages in flight and the partitions between nodes. The operations of a schedule decide
the order of events; see `juniperreel.emulator.raft`.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.core import RaftCore
from juniperreel.raft.errors import NotLeaderError, RequestRejectedError
from juniperreel.raft.memory_storage import InMemoryStorage
from juniperreel.raft.messages import Message
from juniperreel.raft.ready import Ready
from juniperreel.raft.types import Entry, EntryKind, Membership, MembershipChange, RecoveredState
from juniperreel.verification.errors import SafetyViolationError
from juniperreel.verification.raft import LogEntry, RaftSafetyChecker

NODE_NAMES = ("a", "b", "c", "d", "e")
JOINING_NAMES = ("f", "g", "h", "i", "j", "k", "l", "m")
GROUP_SIZES = (3, 3, 5)  # one is drawn
# Small limits, so that a short schedule reaches all of them.
CONFIG = RaftConfig(
    election_ticks=6,
    heartbeat_ticks=2,
    max_entries_per_append=4,
    max_inflight_appends=3,
    snapshot_chunk_bytes=16,
    trailing_entries=3,
    max_promotion_lag=3,
)
DIGEST_BYTES = 12
COMMAND_SEPARATOR = b"\0"
RANDOM_SEED_BITS = 32

CoreFactory = Callable[[str, RecoveredState, RaftConfig, random.Random], RaftCore]
StorageFactory = Callable[[Membership], InMemoryStorage]


class CrashPoint(Enum):
    """When a node with a batch to persist crashes."""

    BEFORE_WRITE = "before the write"
    AFTER_WRITE = "after the write, before anything is sent"


class StaleReadError(SafetyViolationError):
    """A linearizable read missed entries that were acknowledged before it."""

    def __init__(self, node: str, index: int, acknowledged: int) -> None:
        """The read at `node` saw entries up to `index`, although `acknowledged` was acknowledged before."""
        super().__init__(
            f"linearizability: a read at {node} sees {index}; {acknowledged} was acknowledged before it"
        )
        self.node = node
        self.index = index
        self.acknowledged = acknowledged


@dataclass(slots=True)
class SimulatedNode:
    """A node and its disk.

    Attributes:
        core: None while the node is down.
        storage: The contents of its disk.
        commands: All commands applied so far, which are the state of the state machine.
        last_led_term: The last term in which the node was observed as leader.
    """

    core: RaftCore | None
    storage: InMemoryStorage
    commands: list[bytes]
    last_led_term: int = 0


class SimulatedGroup:
    """Nodes, the network between them, and the checker.

    Attributes:
        nodes: All nodes by name, including those that are down.
        network: Messages in flight, the oldest first.
        delayed: Messages held back for a late delivery.
        partitions: Pairs of sender and receiver that are cut off.
        checker: Raises SafetyViolationError at the first step that violates a property.
    """

    def __init__(
        self,
        seed: int,
        core_factory: CoreFactory = RaftCore,
        storage_factory: StorageFactory = InMemoryStorage,
    ) -> None:
        """Size and election timeouts are drawn from `seed`."""
        self._core_factory = core_factory
        self._storage_factory = storage_factory
        self._rng = random.Random(seed)
        size = self._rng.choice(GROUP_SIZES)
        membership = Membership(frozenset(NODE_NAMES[:size]))
        self.checker = RaftSafetyChecker()
        self.nodes: dict[str, SimulatedNode] = {}
        self.network: list[Message] = []
        self.delayed: list[Message] = []
        self.partitions: set[tuple[str, str]] = set()
        self._requests = 0
        self._added_nodes = 0
        self._acknowledged_index = 0
        self._least_indexes: dict[int, int] = {}  # by read context: the index that the read must at least see
        for name in NODE_NAMES[:size]:
            self._start(name, storage_factory(membership))

    # Nodes.

    def _start(self, name: str, storage: InMemoryStorage) -> None:
        rng = random.Random(self._rng.getrandbits(RANDOM_SEED_BITS))
        core = self._core_factory(name, storage.recover(), CONFIG, rng)
        self.nodes[name] = SimulatedNode(core, storage, _split_commands(storage.snapshot.data))
        self.checker.record_restart(name, storage.snapshot.index)

    def restart(self, name: str) -> None:
        """Start a node from the contents of its disk."""
        self._start(name, self.nodes[name].storage)

    def stop(self, name: str) -> None:
        """Crash a node; unwritten state is lost."""
        self.nodes[name].core = None

    def running_nodes(self) -> list[str]:
        """The names of the running nodes."""
        return [name for name, node in self.nodes.items() if node.core is not None]

    def stopped_nodes(self) -> list[str]:
        """The names of the nodes that are down, sorted."""
        return sorted(name for name, node in self.nodes.items() if node.core is None)

    def pick_running(self, pick: int) -> str | None:
        """Select one of the running nodes, if there are any."""
        names = self.running_nodes()
        return names[pick % len(names)] if names else None

    def pick_leader(self, pick: int = 0) -> str | None:
        """Select one of the nodes that consider themselves the leader, if there are any."""
        names = [name for name, node in self.nodes.items() if node.core is not None and node.core.is_leader]
        return names[pick % len(names)] if names else None

    def majority_survives_a_crash(self) -> bool:
        """Whether a majority of all nodes would still run after another crash."""
        return len(self.stopped_nodes()) < len(self.nodes) // 2

    def core(self, name: str) -> RaftCore:
        """The core of a running node."""
        core = self.nodes[name].core
        assert core is not None
        return core

    def isolate(self, name: str) -> None:
        """Cut a node off from all others in both directions."""
        self.partitions |= {(name, other) for other in self.nodes}
        self.partitions |= {(other, name) for other in self.nodes}

    # Processing of a node's output.

    def settle(self, name: str, crash: CrashPoint | None = None) -> None:
        """Write, send and apply until the node has nothing left to do, or crash it at a given point."""
        node = self.nodes[name]
        core = node.core
        if core is None:
            return
        while core.has_ready():
            ready = core.take_ready()
            if crash is CrashPoint.BEFORE_WRITE:
                self.stop(name)
                return
            self._persist(name, node, ready)
            if crash is CrashPoint.AFTER_WRITE:
                self.stop(name)
                return
            core.mark_persisted(ready)
            self._check_leadership(name, node, core)
            self.network.extend(ready.messages)
            self._apply(name, node, ready)
        if crash is not None:
            self.stop(name)

    def _persist(self, name: str, node: SimulatedNode, ready: Ready) -> None:
        batch = ready.persist
        node.storage.write(batch)
        hard_state = node.storage.hard_state
        self.checker.record_vote(name, hard_state.term, hard_state.vote)
        if batch.snapshot is not None and ready.installed_snapshot is not None:
            self.checker.record_snapshot(name, batch.snapshot.index, batch.snapshot.term)
        self.checker.record_append(
            name, [LogEntry(entry.index, entry.term, _contents(entry)) for entry in batch.entries]
        )

    def _check_leadership(self, name: str, node: SimulatedNode, core: RaftCore) -> None:
        if not core.is_leader or node.last_led_term == core.term:
            return
        node.last_led_term = core.term
        self.checker.record_leader(name, core.term)
        terms = {core.log.compacted_index: core.log.compacted_term}
        terms |= {entry.index: entry.term for entry in core.log.entries}
        self.checker.check_leader_completeness(name, terms)

    def _apply(self, name: str, node: SimulatedNode, ready: Ready) -> None:
        if ready.installed_snapshot is not None:
            node.commands = _split_commands(ready.installed_snapshot.data)
        for entry in ready.committed_entries:
            self.checker.record_apply(name, LogEntry(entry.index, entry.term, _contents(entry)))
            if entry.data and entry.kind is EntryKind.COMMAND:
                node.commands.append(entry.data)
            self._acknowledged_index = max(self._acknowledged_index, entry.index)
        if ready.installed_snapshot is not None or ready.committed_entries:
            state = COMMAND_SEPARATOR.join(node.commands)
            self.checker.record_state(name, hashlib.blake2b(state, digest_size=DIGEST_BYTES).digest())
        for read in ready.read_states:
            least_index = self._least_indexes.pop(read.context, 0)
            if read.index < least_index:
                raise StaleReadError(name, read.index, least_index)

    # Requests.

    def tick(self, name: str) -> None:
        """Advance a running node's time by one tick."""
        self.core(name).tick()
        self.settle(name)

    def propose(self, name: str) -> bool:
        """Propose a new command. Returns whether the node accepted it; its output is not processed yet."""
        self._requests += 1
        try:
            self.core(name).propose(b"c%d" % self._requests)
        except (NotLeaderError, RequestRejectedError):
            return False
        return True

    def read(self, name: str) -> None:
        """Begin a linearizable read, which must see all entries acknowledged so far."""
        self._requests += 1
        self._least_indexes[self._requests] = self._acknowledged_index
        try:
            self.core(name).read_index(self._requests)
        except (NotLeaderError, RequestRejectedError):
            return
        self.settle(name)

    def compact(self, name: str) -> None:
        """Take a snapshot of a node's state machine, if it has changed since the last one."""
        core = self.core(name)
        if core.applied_index > core.snapshot.index:
            core.compact(core.applied_index, COMMAND_SEPARATOR.join(self.nodes[name].commands))
            self.settle(name)

    def can_add_node(self) -> bool:
        """Whether there is an unused name for another node."""
        return self._added_nodes < len(JOINING_NAMES)

    def add_learner(self, leader: str) -> None:
        """Have a leader add a node with an empty disk. Raises what `RaftCore.change_membership` raises."""
        name = JOINING_NAMES[self._added_nodes]
        self.core(leader).change_membership(MembershipChange.ADD_LEARNER, name)
        self._added_nodes += 1
        self._start(name, self._storage_factory(Membership(frozenset())))

    # Network.

    def deliver(self, message: Message) -> None:
        """Deliver a message, unless its receiver is down or partitioned from the sender."""
        node = self.nodes.get(message.dst)
        if node is None or node.core is None or (message.src, message.dst) in self.partitions:
            return
        node.core.step(message)
        self.settle(message.dst)

    def deliver_oldest(self) -> None:
        """Deliver the message that was sent first."""
        self.deliver(self.network.pop(0))

    def deliver_matching(
        self, matches: Callable[[Message], bool], passes: Callable[[Message], bool] | None = None
    ) -> None:
        """Deliver the current messages that match, not the replies to them; drop those that do not pass."""
        for message in [message for message in self.network if matches(message)]:
            self.network.remove(message)
            if passes is None or passes(message):
                self.deliver(message)

    def drop_matching(self, matches: Callable[[Message], bool]) -> None:
        """Drop the messages that match."""
        self.network = [message for message in self.network if not matches(message)]


def involves(message: Message, name: str) -> bool:
    """Whether a node is the sender or the receiver of a message."""
    return name in (message.src, message.dst)


def _split_commands(state: bytes) -> list[bytes]:
    return [command for command in state.split(COMMAND_SEPARATOR) if command]


def _contents(entry: Entry) -> bytes:
    """The part of an entry that the checker compares."""
    return bytes((entry.kind.value,)) + entry.data
