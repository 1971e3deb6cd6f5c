"""A group of members: who is primary in which epoch, how the log travels, and how a failover goes.

Each member has a log of its own. Replicas receive their primary's after a delay and apply it on one thread.
A primary that is dead, cut off or silent for the detection span is given up; after the election the replica
that received most takes over in a new epoch. What only the old primary held is cut off.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from juniperreel.net import Clock
from juniperreel.proof.records import Promoted, Sink
from juniperreel.standins.store import Commit, Store

if TYPE_CHECKING:
    from juniperreel.standins.member import Member

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
        if commit.key:
            self.keys[commit.key] = (commit.position, rows)
        return rows

    def forget_keys(self, before: int) -> None:
        old = [key for key, (position, _) in self.keys.items() if position < before]
        for key in old:
            del self.keys[key]

    def take_over(self, source: Replica) -> None:
        """Follow another member's history: drop what it does not hold."""
        kept = 0
        for mine, theirs in zip(self.log, source.log, strict=False):
            if mine is not theirs:
                break
            kept += 1
        if kept < len(self.log) or self.store.applied > kept:
            self.log = self.log[:kept]
            self.keys = {}
            self.store.rebuild(())
            for commit in self.log:
                self.apply(commit)
        last = self.log[-1].position if self.log else 0
        self.received = min(self.received, max(last, source.received if kept == len(source.log) else last))
        self.position = min(self.position, self.received)
        self.epochs = list(source.epochs)


class Group:
    """The members of one group and the state of its replication."""

    def __init__(
        self, number: int, clock: Clock, rng: random.Random, record: Sink, detect_s: float, elect_s: float
    ) -> None:
        self.number = number
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
            nursery.start_soon(self._replicate)
            nursery.start_soon(self._watch)

    async def _replicate(self) -> None:
        """One clock for all replicas of the group: each tick brings what was there a delay ago."""
        pending: list[
            tuple[float, Member, int, int]
        ] = []  # when it arrives, from whom, log length, heartbeat
        while True:
            await trio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            now = trio.current_time()
            p = self.primary
            if p is not None and self._well(p) and p.copy.epoch == self.epoch:
                p.copy.received = p.copy.position = self.heartbeat()
                pending.append((now + self.delay_s, p, len(p.copy.log), p.copy.position))
                p.copy.forget_keys(p.copy.position - self.key_memory_us)
            self._depose(now)
            ready = [item for item in pending if item[0] <= now]
            pending = [item for item in pending if item[0] > now]
            if ready:
                _, source, length, beat = ready[-1]
                if source is self.primary:
                    self._deliver(source, length, beat)
            for member in self.members:
                if member is not self.primary and member.alive and not member.hung:
                    self._apply(member)

    def _deliver(self, source: Member, length: int, beat: int) -> None:
        for member in self.members:
            if member is source or not member.alive or member.cut_off:
                continue
            copy = member.copy
            if copy.epochs != source.copy.epochs:
                if member.claims:
                    continue  # it takes itself for the primary and follows nobody yet
                copy.take_over(source.copy)
            copy.log.extend(source.copy.log[len(copy.log) : length])
            copy.received = max(copy.received, beat)
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
