"""A group of members: who is primary in which epoch, how the log travels, and how a failover goes.

Each member has a log of its own. Replicas receive their primary's over a stream, after a delay, and apply
it on one thread.
A primary that is dead, cut off or silent for the detection span is given up; after the election the replica
that received most takes over in a new epoch. What only the old primary held is cut off.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

import trio

from juniperreel.fakes.store import Commit, Store
from juniperreel.net import Clock
from juniperreel.verification.records import Promoted, RecordSink

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import Member

TICK_S = 0.01
KEPT_EPOCHS = 16


class Replica:
    """One member's copy: its log, how far it is received and applied, and its history of epochs."""

    def __init__(self) -> None:
        self.store = Store()
        self.log: list[Commit] = []
        self.received = 0  # position up to which the log is complete
        self.position = 0  # up to which it is applied
        self.epochs: list[tuple[int, int]] = [(1, 0)]
        self.keys: dict[str, tuple[int, int]] = {}  # idempotency key: commit position, rows changed
        self.apply_factor = 1.0
        self.budget = 0.0

    @property
    def epoch(self) -> int:
        return self.epochs[-1][0]

    def apply(self, commit: Commit) -> int:
        rows = self.store.apply(commit)
        if commit.idempotency_key:
            self.keys[commit.idempotency_key] = (commit.position, rows)
        return rows

    def forget_keys(self, before: int) -> None:
        old = [key for key, (position, _) in self.keys.items() if position < before]
        for key in old:
            del self.keys[key]

    def held_with(self, theirs: Sequence[tuple[int, int]]) -> int:
        """How many entries of another log, told by epoch and position, this one holds too."""
        kept = 0
        for mine, (epoch, position) in zip(self.log, theirs, strict=False):
            if (mine.epoch, mine.position) != (epoch, position):
                break
            kept += 1
        return kept

    def follow(self, keep: int, epochs: list[tuple[int, int]]) -> None:
        """Follow a primary whose log holds the first `keep` entries; a failover cut the others off."""
        if keep < len(self.log):
            self.log = self.log[:keep]
            self.received = min(self.received, self.log[-1].position if self.log else 0)
        if self.store.applied > keep:
            self.keys = {}
            self.store.rebuild(())
            for commit in self.log:
                self.apply(commit)
        start = epochs[-1][1]
        if epochs[-1][0] != self.epoch:
            self.received = min(self.received, start)  # what it had heard beyond belongs to the old epoch
        self.position = min(self.position, self.received)
        self.epochs = epochs

    def take(self, entries: Iterable[Commit], heartbeat: int) -> None:
        self.log.extend(entries)
        self.received = max(self.received, heartbeat)


class Group:
    """The members of one group and the state of its replication."""

    def __init__(
        self,
        number: int,
        clock: Clock,
        rng: random.Random,
        record: RecordSink,
        detect_s: float,
        elect_s: float,
        streams: bool = True,
    ) -> None:
        """`streams`: replicas follow their primary over streams, as they do where edges are tried; else its
        log is handed on here, at a twentieth of the cost: a large trial's machine has other things to do."""
        self.number = number
        self.streams = streams
        self._followed: dict[str, tuple[str, int]] = {}  # by each replica: whom, in which epoch
        self._on_way: list[tuple[float, int, int]] = []  # when it arrives, how much of the log, the heartbeat
        self.members: list[Member] = []
        self.primary: Member | None = None
        self.epoch = 1
        self.delay_s = 0.005
        self.apply_us = 400  # of one commit on a replica's one thread
        self.key_memory_us = 5_000_000
        self.depose_s = 0.5  # for which a former primary goes on claiming the role
        self._claimants: dict[str, float] = {}
        self._clock, self._rng, self._record = clock, rng, record
        self._detect_s, self._elect_s = detect_s, elect_s
        self._last_position = 0
        self.arrived = trio.Event()  # renewed whenever a replica received something

    def next_position(self) -> int:
        """A commit position: the group's clock, made strictly increasing."""
        self._last_position = max(self._last_position + 1, self._clock.now_us())
        return self._last_position

    def heartbeat(self) -> int:
        """Everything committed so far lies at or below; nothing will be committed at or below."""
        self._last_position = max(self._last_position, self._clock.now_us())
        return self._last_position

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            nursery.start_soon(self._watch)

    async def _tick(self) -> None:
        """The primary's own position, and what replicas apply on their one thread."""
        while True:
            await trio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            now = trio.current_time()
            p = self.primary
            if p is not None and self._well(p) and p.copy.epoch == self.epoch:
                p.copy.received = p.copy.position = self.heartbeat()
                p.copy.forget_keys(p.copy.position - self.key_memory_us)
            if not self.streams and p is not None:
                self._hand_on(p, now)
            self._depose(now)
            for member in self.members:
                if member is not self.primary and member.alive and not member.hung:
                    self._apply(member)

    def _hand_on(self, p: Member, now: float) -> None:
        """What the primary's log held a delay ago, to all replicas that can hear it."""
        if not (self._well(p) and p.claims):
            self._on_way = []
            return
        self._on_way.append((now + self.delay_s, len(p.copy.log), self.heartbeat()))
        ready = [item for item in self._on_way if item[0] <= now]
        if not ready:
            return
        self._on_way = [item for item in self._on_way if item[0] > now]
        _, length, heartbeat = ready[-1]
        for m in self.members:
            if m is p or m.claims or not self._well(m):
                continue
            if self._followed.get(m.name) != (p.name, self.epoch):
                keep = p.copy.held_with([(c.epoch, c.position) for c in m.copy.log])
                m.copy.follow(keep, list(p.copy.epochs))
                self._followed[m.name] = p.name, self.epoch
            m.copy.take(p.copy.log[len(m.copy.log) : length], heartbeat)
        self.received()

    def received(self) -> None:
        """A replica has received something: writes that wait for a second copy look again."""
        self.arrived.set()
        self.arrived = trio.Event()

    def _apply(self, member: Member) -> None:
        copy = member.copy
        copy.budget = min(copy.budget + TICK_S * 1e6 / (self.apply_us * copy.apply_factor), 1e4)
        while copy.store.applied < len(copy.log) and copy.budget >= 1:
            commit = copy.log[copy.store.applied]
            copy.apply(commit)
            copy.budget -= 1
            copy.position = max(copy.position, commit.position)
        if copy.store.applied == len(copy.log):
            copy.budget = 0.0
            copy.position = max(copy.position, copy.received)
        copy.forget_keys(copy.position - self.key_memory_us)

    def replicated(self, epoch: int, position: int, source: Member) -> bool:
        """Whether another live member holds what was committed up to there."""
        others = [m for m in self.members if m is not source and m.alive and not m.cut_off]
        return any(m.copy.epoch == epoch and m.copy.received >= position for m in others)

    def _depose(self, now: float) -> None:
        """A former primary that can hear its group learns of the new epoch after a while."""
        for m in self.members:
            if m.claims and m is not self.primary and self.primary is not None and self._well(m):
                self._claimants.setdefault(m.name, now)
                if now - self._claimants[m.name] > self.depose_s:
                    m.claims = False
            else:
                self._claimants.pop(m.name, None)

    async def _watch(self) -> None:
        """Gives up a primary that does not answer its group, and elects."""
        while True:
            await trio.sleep(0.1)
            p = self.primary
            if p is not None and self._well(p) and p.claims:
                continue
            with trio.move_on_after(self._detect_s * self._rng.uniform(0.8, 1.2)) as patience:
                while p is not None and not (self._well(p) and p.claims):
                    await trio.sleep(0.05)
            if not patience.cancelled_caught and p is not None:
                continue
            self.primary = None
            await trio.sleep(self._elect_s * self._rng.uniform(0.8, 1.2))
            await self.elect()

    @staticmethod
    def _well(member: Member) -> bool:
        return member.alive and not member.hung and not member.cut_off

    async def elect(self, avoid: Member | None = None) -> Member | None:
        """The replica that received most takes over; it applies its backlog first."""
        while True:
            able = [m for m in self.members if self._well(m) and m is not avoid]
            steady = [m for m in able if not m.draining] or able
            if steady:
                break
            await trio.sleep(0.1)
        best = max(steady, key=lambda m: (m.copy.received, m.name))
        copy = best.copy
        while copy.store.applied < len(copy.log):
            copy.apply(copy.log[copy.store.applied])
        start = max([copy.received, *(c.position for c in copy.log[-1:])])
        self.epoch = max(self.epoch, copy.epoch) + 1
        copy.epochs = [*copy.epochs, (self.epoch, start)][-KEPT_EPOCHS:]
        self._last_position = max(self._last_position, start)
        copy.position = copy.received = self.heartbeat()
        old = self.primary
        self.primary = best
        best.claims = True
        if old is not None and old is not best and self._well(old):
            old.claims = False
        self._record(Promoted(self._clock.now_us(), self.number, self.epoch, start, best.name))
        return best
