"""A group of cores under a seeded scheduler that loses, doubles, reorders, crashes and partitions.

A schedule is a list of operations, each a kind and two numbers that pick from what there is at that moment.
So any part of a schedule is a schedule too, and a failing one can be cut down. One seed gives one run.
"""

from __future__ import annotations

import hashlib
import random
import traceback
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from juniperreel.raft.core import Core, Restored, Tuning
from juniperreel.raft.disk import MemoryDisk
from juniperreel.raft.types import (
    Append,
    Change,
    Entry,
    Members,
    Message,
    NotLeader,
    Ready,
    Rejected,
    Role,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from juniperreel.verification.errors import SafetyViolationError
from juniperreel.verification.raft import LogEntry, RaftSafetyChecker

NAMES = ("a", "b", "c", "d", "e")
SPARE = ("f", "g", "h", "i", "j", "k", "l", "m")  # names of nodes that may join
TUNING = Tuning(
    election_ticks=6, heartbeat_ticks=2, append_entries=4, window=3, chunk_bytes=16, trailing=3, caught_up=3
)
CoreMaker = Callable[[str, Restored, Tuning, random.Random], Core]

WEIGHTS = {
    "deliver": 60,
    "tick": 30,
    "propose": 10,
    "drop": 4,
    "double": 3,
    "crash": 2,
    "crash-unsynced": 1,
    "restart": 5,
    "cut": 2,
    "heal": 3,
    "compact": 3,
    "change": 3,
    "transfer": 1,
    "read": 4,
    "rush": 8,
    # Steered: rare orders of events that chance alone hardly meets.
    "usurp": 3,
    "duel": 1,
    "partial": 3,
    "behind": 2,
    "hold": 3,
    "release": 3,
}
STEERS = ("usurp", "duel", "partial", "behind", "restart", "read")
STEERED_PART = 0.3  # of schedules in which those come much more often than all else
STEERED = 8  # times
USURP_ROUNDS = 40  # of ticks and deliveries that one may take to be elected
Op = tuple[str, int, int]


@dataclass(slots=True)
class Node:
    core: Core | None  # None while it is down
    disk: MemoryDisk
    state: list[bytes]  # what was applied, since the beginning
    led: int = 0  # last term in which it was told to lead


class Group:
    """Plays operations and tells the judge of every step."""

    def __init__(self, seed: int, make: CoreMaker = Core) -> None:
        self._make = make
        rng = random.Random(seed)
        self.size = rng.choice((3, 3, 5))
        self.members = Members(frozenset(NAMES[: self.size]))
        self.rng = rng
        self.judge = RaftSafetyChecker()
        self.nodes: dict[str, Node] = {}
        self.wire: list[Message] = []
        self.held: list[Message] = []  # kept back on the way, until long after
        self.cuts: set[tuple[str, str]] = set()  # (from, to) over which nothing passes
        self.count = 0
        self.reads: dict[int, int] = {}  # context: what it must at least see
        self.acknowledged = 0
        self.joined = 0
        for name in NAMES[: self.size]:
            self._boot(name, MemoryDisk(self.members))

    def _boot(self, name: str, disk: MemoryDisk) -> None:
        core = self._make(name, disk.restore(), TUNING, random.Random(self.rng.getrandbits(32)))
        state = [s for s in disk.snapshot.data.split(b"\0") if s]
        self.nodes[name] = Node(core, disk, state)
        self.judge.record_restart(name, disk.snapshot.index)

    # One node's turn.

    def settle(self, name: str, crash: str = "") -> None:
        """Persist, send, apply, as long as there is something; or crash on the way."""
        node = self.nodes[name]
        core = node.core
        if core is None:
            return
        while core.has_ready():
            ready = core.take()
            if crash == "crash-unsynced":
                self._down(name)
                return
            self._persist(name, node, ready)
            if crash == "crash":
                self._down(name)
                return
            core.persisted(ready)
            self._lead(name, node, core)
            self.wire.extend(ready.send)
            self._apply(name, node, ready)
        if crash:
            self._down(name)

    def _down(self, name: str) -> None:
        self.nodes[name].core = None

    def _persist(self, name: str, node: Node, ready: Ready) -> None:
        p = ready.persist
        node.disk.write(p)
        state = node.disk.hard_state
        self.judge.record_vote(name, state.term, state.vote)
        if p.snapshot is not None and ready.install is not None:
            self.judge.record_snapshot(name, p.snapshot.index, p.snapshot.term)
        self.judge.record_append(
            name, [LogEntry(e.index, e.term, bytes((e.kind.value,)) + e.data) for e in p.entries]
        )

    def _lead(self, name: str, node: Node, core: Core) -> None:
        if core.is_leader and node.led != core.term:
            node.led = core.term
            self.judge.record_leader(name, core.term)
            log = {core.log.base: core.log.base_term} | {e.index: e.term for e in core.log.entries}
            self.judge.check_leader_completeness(name, log)

    def _apply(self, name: str, node: Node, ready: Ready) -> None:
        if ready.install is not None:
            node.state = [s for s in ready.install.data.split(b"\0") if s]
        for entry in ready.apply:
            data = bytes((entry.kind.value,)) + entry.data
            self.judge.record_apply(name, LogEntry(entry.index, entry.term, data))
            self._applied(node, entry)
        if ready.install is not None or ready.apply:
            self.judge.record_state(name, hashlib.blake2b(b"\0".join(node.state), digest_size=12).digest())
        for context, index in ready.reads:
            least = self.reads.pop(context, 0)
            if index < least:
                raise SafetyViolationError(
                    f"linearizability: a read at {name} sees {index}; {least} was acknowledged before it"
                )

    def _applied(self, node: Node, entry: Entry) -> None:
        if entry.data and entry.kind.value == 0:
            node.state.append(entry.data)
        self.acknowledged = max(self.acknowledged, entry.index)

    # Operations.

    def play(self, ops: Sequence[Op]) -> None:
        """Raises SafetyViolationError, or AssertionError where the core itself notices."""
        for kind, a, b in ops:
            getattr(self, "_do_" + kind.partition("-")[0])(kind, a, b)

    def _up(self, a: int) -> str | None:
        up = [n for n, node in self.nodes.items() if node.core is not None]
        return up[a % len(up)] if up else None

    def _leader(self, a: int) -> str | None:
        led = [n for n, node in self.nodes.items() if node.core is not None and node.core.is_leader]
        return led[a % len(led)] if led else None

    def _deliver(self, message: Message) -> None:
        node = self.nodes.get(message.dst)
        if node is not None and node.core is not None and (message.src, message.dst) not in self.cuts:
            node.core.step(message)
            self.settle(message.dst)

    def _do_deliver(self, kind: str, a: int, b: int) -> None:
        if self.wire:
            # Mostly the oldest, sometimes any: order within a pair is usual, but nothing promises it.
            at = 0 if b % 4 else a % len(self.wire)
            self._deliver(self.wire.pop(at))

    def _do_rush(self, kind: str, a: int, b: int) -> None:
        """Much is delivered in order: work gets done between the troubles."""
        for _ in range(min(len(self.wire), 5 + a % 20)):
            self._deliver(self.wire.pop(0))

    def _do_tick(self, kind: str, a: int, b: int) -> None:
        name = self._up(a)
        if name is not None:
            core = self.nodes[name].core
            for _ in range(1 + b % 3):
                if core is not None:
                    core.tick()
            self.settle(name)

    def _do_drop(self, kind: str, a: int, b: int) -> None:
        if self.wire:
            self.wire.pop(a % len(self.wire))

    def _do_double(self, kind: str, a: int, b: int) -> None:
        if self.wire:
            self.wire.insert(b % (len(self.wire) + 1), self.wire[a % len(self.wire)])

    def _do_propose(self, kind: str, a: int, b: int) -> None:
        name = self._leader(a)
        if name is not None:
            core = self.nodes[name].core
            assert core is not None
            self.count += 1
            try:
                core.propose(b"c%d" % self.count)
            except (NotLeader, Rejected):
                return
            if b % 3:
                self.settle(name)

    def _do_crash(self, kind: str, a: int, b: int) -> None:
        down = sum(node.core is None for node in self.nodes.values())
        name = self._up(a)
        if name is not None and down < len(self.nodes) // 2 + 1:
            if b % 2:
                self._do_tick("tick", a, b)
            self.settle(name, kind)

    def _do_restart(self, kind: str, a: int, b: int) -> None:
        down = sorted(n for n, node in self.nodes.items() if node.core is None)
        if down:
            name = down[a % len(down)]
            self._boot(name, self.nodes[name].disk)

    def _do_cut(self, kind: str, a: int, b: int) -> None:
        names = sorted(self.nodes)
        one = names[a % len(names)]
        if b % 3 == 0:  # it hears and is not heard
            self.cuts |= {(one, other) for other in names}
        elif b % 3 == 1:
            self.cuts |= {(one, other) for other in names} | {(other, one) for other in names}
        else:
            half = set(names[: 1 + b % len(names)])
            self.cuts |= {(x, y) for x in names for y in names if (x in half) != (y in half)}

    def _do_heal(self, kind: str, a: int, b: int) -> None:
        self.cuts.clear()

    def _do_compact(self, kind: str, a: int, b: int) -> None:
        name = self._up(a)
        if name is not None:
            node = self.nodes[name]
            core = node.core
            assert core is not None
            if core.applied > core.snapshot.index:
                core.compact(core.applied, b"\0".join(node.state))
                self.settle(name)

    def _do_change(self, kind: str, a: int, b: int) -> None:
        name = self._leader(a)
        if name is None:
            return
        core = self.nodes[name].core
        assert core is not None
        m = core.members
        try:
            if b % 3 == 0 and self.joined < len(SPARE):
                fresh = SPARE[self.joined]
                core.change(Change.ADD_LEARNER, fresh)
                self.joined += 1
                self._boot(fresh, MemoryDisk(Members(frozenset())))
            elif b % 3 == 1 and m.learners:
                core.change(Change.PROMOTE, sorted(m.learners)[a % len(m.learners)])
            elif len(m.voters) > 2:
                core.change(Change.REMOVE, sorted(m.all)[b % len(m.all)])
        except (Rejected, NotLeader):
            return
        self.settle(name)

    def _do_transfer(self, kind: str, a: int, b: int) -> None:
        name = self._leader(a)
        if name is not None:
            core = self.nodes[name].core
            assert core is not None
            try:
                core.transfer(sorted(core.members.voters)[b % len(core.members.voters)])
            except (Rejected, NotLeader):
                return
            self.settle(name)

    def _do_read(self, kind: str, a: int, b: int) -> None:
        name = self._leader(a)
        if name is not None:
            core = self.nodes[name].core
            assert core is not None
            self.count += 1
            self.reads[self.count] = self.acknowledged
            try:
                core.read(self.count)
            except (NotLeader, Rejected):
                return
            self.settle(name)

    # Steered operations.

    def _do_usurp(self, kind: str, a: int, b: int) -> None:
        """One that does not lead is made to: the leader falls silent, perhaps for good, and of the rest only
        what concerns the election is delivered. Then it has an entry of its own that nobody else has."""
        led = self._leader(0)
        fallen = sorted(n for n, node in self.nodes.items() if node.core is None)
        up = [n for n, node in self.nodes.items() if node.core is not None and n != led]
        if fallen and b % 8 >= 4:  # one that led before and knows nothing of what came since
            name = fallen[a % len(fallen)]
            self._boot(name, self.nodes[name].disk)
        elif up:
            name = up[a % len(up)]
        else:
            return
        down = sum(node.core is None for node in self.nodes.values())
        if led is not None and b % 2 and down < len(self.nodes) // 2:
            self._down(led)
        elif led is not None and b % 3:  # it lives on alone, and takes itself for the leader
            self.cuts |= {(led, n) for n in self.nodes} | {(n, led) for n in self.nodes}
        self.wire = [m for m in self.wire if isinstance(m, VoteRequest | VoteReply)]
        for _ in range(USURP_ROUNDS):
            core = self.nodes[name].core
            if core is None or core.is_leader:
                break
            core.tick()
            self.settle(name)
            chosen = [m for m in self.wire if name in (m.src, m.dst) and led not in (m.src, m.dst)]
            for message in chosen:
                self.wire.remove(message)
                if isinstance(message, VoteRequest | VoteReply):
                    self._deliver(message)
        core = self.nodes[name].core
        if core is not None and core.is_leader:
            self.wire = [m for m in self.wire if m.src != name or not isinstance(m, Append)]
            self._propose(core)
            self.settle(name)
            if b % 4 < 3:  # what it has just sent is lost
                self.wire = [m for m in self.wire if m.src != name or not isinstance(m, Append)]

    def _campaign(self, name: str, voters: Sequence[str]) -> bool:
        """The node becomes a candidate, its requests for votes still on the way."""
        for _ in range(USURP_ROUNDS):
            core = self.nodes[name].core
            if core is None or core.is_leader:
                return False
            asked = [m for m in self.wire if isinstance(m, VoteRequest) and m.src == name and not m.pre]
            if core.role is Role.CANDIDATE and any(m.term == core.term for m in asked):
                return True
            core.tick()
            self.settle(name)
            for message in [m for m in self.wire if name in (m.src, m.dst)]:
                self.wire.remove(message)
                if isinstance(message, VoteRequest | VoteReply) and message.pre:
                    if message.src in voters or message.dst in voters:
                        self._deliver(message)
                elif isinstance(message, VoteRequest):
                    self.wire.append(message)
        return False

    def _do_duel(self, kind: str, a: int, b: int) -> None:
        """Two ask for votes, term after term, while answers to the one are long on their way."""
        led = self._leader(0)
        down = sum(node.core is None for node in self.nodes.values())
        if led is not None and down >= len(self.nodes) // 2:
            return
        if led is not None:
            self._down(led)
        up = [n for n, node in self.nodes.items() if node.core is not None]
        if len(up) < 2:
            return
        self.wire.clear()
        self.cuts.clear()
        if led is not None and len(up) < 3:  # the fallen one is needed as a voter
            self._boot(led, self.nodes[led].disk)
            up.append(led)
        one, other = up[a % len(up)], up[(a + 1 + b % (len(up) - 1)) % len(up)]
        for _ in range(1 + b % 2):
            if not self._campaign(one, up):
                return
            for asked in [m for m in self.wire if isinstance(m, VoteRequest) and not m.pre]:
                self.wire.remove(asked)
                self._deliver(asked)
            late = [m for m in self.wire if isinstance(m, VoteReply) and not m.pre and m.dst == one]
            self.wire.clear()
            self.held.extend(late)
        if not self._campaign(one, up):
            return
        self.wire.clear()
        rest = [n for n in up if n != one]
        if self._campaign(other, rest):
            for _ in range(6):
                for message in [m for m in self.wire if one not in (m.src, m.dst)]:
                    self.wire.remove(message)
                    self._deliver(message)
        for message in [m for m in self.held if m.dst == one]:
            self.held.remove(message)
            self._deliver(message)

    def _do_partial(self, kind: str, a: int, b: int) -> None:
        """The leader's entries reach one or two of the others, and their answers it; then it may fall."""
        name = self._leader(a)
        if name is None:
            return
        core = self.nodes[name].core
        assert core is not None
        if b % 2:
            self._propose(core)
        others = sorted(core.members.all - {name})
        if not others:
            return
        lucky = {others[a % len(others)], others[(a >> 4) % len(others)] if b % 3 == 0 else name}
        for _ in range(6):
            core = self.nodes[name].core
            if core is None:
                return
            core.tick()
            self.settle(name)
            for message in [m for m in self.wire if m.src == name or m.dst == name]:
                self.wire.remove(message)
                if message.src in lucky or message.dst in lucky:
                    self._deliver(message)
        down = sum(node.core is None for node in self.nodes.values())
        if b % 4 < 2 and down < len(self.nodes) // 2:
            self._down(name)

    def _do_behind(self, kind: str, a: int, b: int) -> None:
        """One falls so far behind that it needs a snapshot, and the snapshots change while they are sent."""
        name = self._leader(0)
        if name is None:
            return
        core = self.nodes[name].core
        assert core is not None
        others = sorted(core.members.all - {name})
        if not others:
            return
        behind = others[a % len(others)]
        for turn in range(2 + b % 2):
            self.wire = [m for m in self.wire if behind not in (m.src, m.dst) or isinstance(m, SnapshotChunk)]
            for _ in range(3 + a % 6):
                self._propose(core)
                self.settle(name)
                for message in [m for m in self.wire if behind not in (m.src, m.dst)]:
                    self.wire.remove(message)
                    self._deliver(message)
                if self.nodes[name].core is not core or not core.is_leader:
                    return
            self._do_compact("compact", list(self.nodes).index(name), 0)
            for _ in range(4 + (b >> turn) % 8):  # some of its chunks arrive, some twice, some late
                core.tick()
                self.settle(name)
                chunks = [m for m in self.wire if behind in (m.src, m.dst)]
                if chunks:
                    message = chunks[b % len(chunks)] if b % 5 == 0 else chunks[0]
                    if b % 3:
                        self.wire.remove(message)
                    if b % 7 == 0:
                        self.held.append(message)
                    self._deliver(message)

    def _do_hold(self, kind: str, a: int, b: int) -> None:
        """Something of an election, of a leader, or of a snapshot is kept on the way until later."""
        slow = [m for m in self.wire if isinstance(m, VoteReply | Append | SnapshotChunk)]
        if slow and len(self.held) < 40:
            message = slow[a % len(slow)]
            self.wire.remove(message)
            self.held.append(message)

    def _do_release(self, kind: str, a: int, b: int) -> None:
        for _ in range(1 + b % 3):
            if self.held:
                self._deliver(self.held.pop(a % len(self.held)))

    def _propose(self, core: Core) -> None:
        self.count += 1
        try:
            core.propose(b"c%d" % self.count)
        except (NotLeader, Rejected):
            return

    def calm(self, ticks: int = 120) -> bool:
        """All faults end; whether something new is committed within the ticks."""
        self.cuts.clear()
        self.held.clear()
        for name, node in list(self.nodes.items()):
            if node.core is None:
                self._boot(name, node.disk)
        before = self.judge.committed
        for _ in range(ticks):
            for name in sorted(self.nodes):
                core = self.nodes[name].core
                assert core is not None
                core.tick()
                self.settle(name)
            for _ in range(2000):
                if not self.wire:
                    break
                self._deliver(self.wire.pop(0))
            led = self._leader(0)
            if led is not None and self.judge.committed > before + 2:
                return True
            self._do_propose("propose", 0, 1)
        return False


def schedule(seed: int, length: int) -> list[Op]:
    """The operations of a seed. Each schedule leaves some kinds out, so that others come together."""
    rng = random.Random(seed)
    kinds = {k: w for k, w in WEIGHTS.items() if k in ("deliver", "tick", "propose") or rng.random() < 0.7}
    if rng.random() < STEERED_PART:
        kinds |= {k: STEERED * w if k in STEERS else max(1, w // STEERED) for k, w in kinds.items()}
    names, weights = list(kinds), list(kinds.values())
    picked = rng.choices(names, weights, k=length)
    return [(kind, rng.getrandbits(16), rng.getrandbits(16)) for kind in picked]


@dataclass(frozen=True, slots=True)
class Failure:
    """A schedule that broke a property. `ops` are cut down as far as they still break it."""

    seed: int
    text: str
    ops: tuple[Op, ...]


def broken(seed: int, ops: Sequence[Op], make: CoreMaker = Core) -> str | None:
    """What the schedule breaks, or None."""
    group = Group(seed, make)
    try:
        group.play(ops)
        if not group.calm():
            return "liveness: nothing was committed after all faults had ended"
    except (SafetyViolationError, AssertionError) as error:
        return str(error) or type(error).__name__
    except Exception as error:  # a core that falls over is a finding like any other
        place = traceback.extract_tb(error.__traceback__)[-1]
        return f"crash: {type(error).__name__}: {error} in {place.name}:{place.lineno}"
    return None


def run(seed: int, length: int = 400, make: CoreMaker = Core, shrinking: bool = True) -> Failure | None:
    ops = schedule(seed, length)
    text = broken(seed, ops, make)
    if text is None:
        return None
    failure = Failure(seed, text, tuple(ops))
    return shrink(failure, make) if shrinking else failure


def shrink(failure: Failure, make: CoreMaker = Core) -> Failure:
    """Drops ever smaller parts as long as the schedule still breaks the same property."""
    kind = failure.text.partition(":")[0]
    ops = list(failure.ops)
    size = len(ops) // 2
    while size:
        at = 0
        while at < len(ops):
            shorter = ops[:at] + ops[at + size :]
            text = broken(failure.seed, shorter, make)
            if text is not None and text.partition(":")[0] == kind:
                ops, failure = shorter, replace(failure, text=text)
            else:
                at += size
        size //= 2
    return replace(failure, ops=tuple(ops))
