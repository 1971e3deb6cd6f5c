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

from juniperreel.proof.raft import RaftJudge, Unsafe
from juniperreel.raft.core import Core, Restored, Tuning
from juniperreel.raft.disk import MemoryDisk
from juniperreel.raft.types import Change, Entry, Members, Message, NotLeader, Ready, Rejected

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
}
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
        self.judge = RaftJudge()
        self.nodes: dict[str, Node] = {}
        self.wire: list[Message] = []
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
        self.judge.restarts(name, disk.snapshot.index)

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
        self.judge.votes(name, state.term, state.vote)
        if p.snapshot is not None and ready.install is not None:
            self.judge.restores(name, p.snapshot.index, p.snapshot.term)
        self.judge.stores(name, [(e.index, e.term, bytes((e.kind.value,)) + e.data) for e in p.entries])

    def _lead(self, name: str, node: Node, core: Core) -> None:
        if core.is_leader and node.led != core.term:
            node.led = core.term
            self.judge.leads(name, core.term)
            log = {core.log.base: core.log.base_term} | {e.index: e.term for e in core.log.entries}
            self.judge.complete(name, log)

    def _apply(self, name: str, node: Node, ready: Ready) -> None:
        if ready.install is not None:
            node.state = [s for s in ready.install.data.split(b"\0") if s]
        for entry in ready.apply:
            self.judge.applies(name, entry.index, entry.term, bytes((entry.kind.value,)) + entry.data)
            self._applied(node, entry)
        if ready.install is not None or ready.apply:
            self.judge.state(name, hashlib.blake2b(b"\0".join(node.state), digest_size=12).digest())
        for context, index in ready.reads:
            least = self.reads.pop(context, 0)
            if index < least:
                raise Unsafe(
                    f"linearizability: a read at {name} sees {index}; {least} was acknowledged before it"
                )

    def _applied(self, node: Node, entry: Entry) -> None:
        if entry.data and entry.kind.value == 0:
            node.state.append(entry.data)
        self.acknowledged = max(self.acknowledged, entry.index)

    # Operations.

    def play(self, ops: Sequence[Op]) -> None:
        """Raises Unsafe, or AssertionError where the core itself notices."""
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

    def calm(self, ticks: int = 120) -> bool:
        """All faults end; whether something new is committed within the ticks."""
        self.cuts.clear()
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
    except (Unsafe, AssertionError) as error:
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
