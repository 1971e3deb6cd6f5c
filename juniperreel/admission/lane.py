"""Those who wait for one resource, and in which order they leave the queue.

A lane is a group's replicas or its primary: what competes for the same members. Tenants that ask no more
than their share go first, then those that were given less; then by worth, then by arrival. How long one may
wait is settled when it comes: long where hardly anybody was turned away of late, as a burst deserves, and
hardly at all where many were ("controlled delay": Maurer, Fail at Scale, ACM Queue 13(8), 2015, after Nichols
and Jacobson's CoDel).
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from itertools import count

from juniperreel.admission.concurrency import TARGET, Limit
from juniperreel.routing.types import (
    RequestClass,
)

CALM_SOJOURN = 0.15  # of the aim may be spent waiting, where a queue is a burst that will pass
BUSY_SOJOURN = 0.05  # and where it is none: then waiting serves nobody, it only makes all later
HOPELESS = 2  # times what is left for it must be ahead of one that is given up before its time is over
BUSY_FROM = 0.1  # of those who came were turned away
TURNED_MEMORY = 0.95  # weight of the old part of those turned away, at each arrival
TURNED_HALF_US = 500_000  # after which half of it is forgotten in any case
SHARE_MEMORY = 0.998  # weight of the old parts of tenants, at each request let through
SHARE_DEVIATIONS = 3  # by which chance alone lifts a tenant over its share, hardly ever more
RATE_MEMORY = 0.9  # weight of the old time between answers


@dataclass(slots=True)
class Waiting:
    """One who waits; `until_us` is when waiting has become useless for it."""

    id: str
    cls: RequestClass
    tenant: int
    until_us: int
    left: bool = False

    @property
    def key(self) -> tuple[int, float]:
        return (self.tenant, self.cls.priority_weight)


class Lane:
    """The queue of one lane, and the limit on what it lets through."""

    def __init__(self, shares: tuple[float, ...], limit: Limit) -> None:
        self.limit = limit
        self.in_hand = 0
        self._shares = shares
        self._parts = list(shares)  # of what was let through of late, by tenant
        self._total = sum(shares)
        self._asked = list(shares)  # of the same whole, what came of late, by tenant
        self._queues: dict[tuple[int, float], deque[Waiting]] = {}  # by tenant and worth; oldest first
        self._lengths: dict[tuple[int, float], int] = {}  # without those that have left
        self._dues: list[tuple[int, int, Waiting]] = []
        self._order = count()
        self.waiting = 0
        self._turned: dict[tuple[int, float], tuple[float, int]] = {}  # part of those who came, and when
        self.gap_us = 0.0  # mean time between two that leave the lane, while it is full
        self._ended_us = 0
        self.heard_us = 0

    # What is known of its speed.

    def ended(self, now: int, full: bool) -> None:
        """One in hand has ended. The gap between ends is its capacity only while it is full."""
        self.in_hand -= 1
        if full and self._ended_us:
            gap = now - self._ended_us
            self.gap_us = RATE_MEMORY * self.gap_us + (1 - RATE_MEMORY) * gap if self.gap_us else float(gap)
        self._ended_us = now if full else 0
        self.heard_us = now

    def wait_us(self, ahead: int, aim_us: int) -> float:
        """How long one waits with so many ahead of it. Of a lane that was never full only its limit is known,
        and how long what is in hand takes; that, or the limit's target, has to do."""
        return ahead * (self.gap_us or (self.limit.ratio or TARGET) * aim_us / self.limit.value)

    @property
    def room(self) -> bool:
        return self.in_hand < self.limit.value

    def came(self, now: int, tenant: int, worth: float, turned: bool) -> None:
        """One has come. What was long ago says nothing of now, however few came since."""
        if 0 <= tenant < len(self._asked):
            self._asked[tenant] += 1 - SHARE_MEMORY
        part, before = self._turned.get((tenant, worth), (0.0, now))
        part *= TURNED_MEMORY * 0.5 ** ((now - before) / TURNED_HALF_US)
        self._turned[tenant, worth] = (part + (1 - TURNED_MEMORY) * turned, now)

    def sojourn_us(self, tenant: int, worth: float, aim_us: int) -> int:
        """How long one that comes now may wait. Judged by what became of its like: where others are turned
        away and these are not, a queue of these is a burst all the same."""
        part, _ = self._turned.get((tenant, worth), (0.0, 0))
        return int((BUSY_SOJOURN if part > BUSY_FROM else CALM_SOJOURN) * aim_us)

    # Tenants.

    def claim(self, tenant: int) -> int:
        """2: it asks no more than its share, and should lose nothing. 1: it asks more, and has not had its
        share yet. 0: it has. Danger: by what each was given alone, a greedy tenant that gets what the others
        leave looks as modest as they are."""
        if not 0 <= tenant < len(self._shares):
            return 0
        due = self._shares[tenant] * self._total
        # Of what comes by chance: the deviation of a mean that forgets at this rate.
        due += SHARE_DEVIATIONS * math.sqrt(due * (1 - SHARE_MEMORY) / 2)
        return 2 if self._asked[tenant] <= due else int(self._parts[tenant] <= due)

    def pass_one(self, tenant: int) -> None:
        """One of the tenant's is let through."""
        self.in_hand += 1
        self.limit.taken(self.in_hand)
        if 0 <= tenant < len(self._parts):
            self._parts = [SHARE_MEMORY * part for part in self._parts]
            self._asked = [SHARE_MEMORY * part for part in self._asked]
            self._parts[tenant] += 1 - SHARE_MEMORY
            self._total = sum(self._parts)

    # The queue.

    def rank(self, tenant: int, worth: float) -> tuple[int, float]:
        """Higher ranks go first."""
        return (self.claim(tenant), worth)

    def ahead(self, tenant: int, worth: float) -> int:
        """How many would leave the queue before a newcomer."""
        if not self.waiting:
            return 0
        mine = self.rank(tenant, worth)
        return sum(n for key, n in self._lengths.items() if self.rank(*key) >= mine)

    def lowest_rank(self) -> tuple[int, float] | None:
        return min((self.rank(*key) for key in self._lengths), default=None)

    def join(self, item: Waiting) -> None:
        self._queues.setdefault(item.key, deque()).append(item)
        self._lengths[item.key] = self._lengths.get(item.key, 0) + 1
        heapq.heappush(self._dues, (item.until_us, next(self._order), item))
        self.waiting += 1

    def leave(self, item: Waiting) -> None:
        """Out of the queue, for whatever reason; what is left of it in the middle goes when it comes up."""
        if item.left:
            return
        item.left = True
        self.waiting -= 1
        self._lengths[item.key] -= 1
        if not self._lengths[item.key]:
            del self._lengths[item.key], self._queues[item.key]
        if not self.waiting:
            self._dues.clear()

    def next(self) -> Waiting | None:
        """Takes out whoever is next."""
        if not self._lengths:
            return None
        queue = self._queues[max(self._lengths, key=lambda key: self.rank(*key))]
        while queue[0].left:
            queue.popleft()
        self.leave(queue[0])
        return queue.popleft()

    def hopeless(self, now: int) -> Waiting | None:
        """Takes out the newest of the lowest rank, if its turn will not come before its time is over. Danger:
        those that others overtake would wait their time out for nothing."""
        if not self._lengths:
            return None
        queue = self._queues[min(self._lengths, key=lambda key: self.rank(*key))]
        while queue[-1].left:
            queue.pop()
        last = queue[-1]
        if now + self.wait_us(self.waiting, last.cls.latency_objective_us) / HOPELESS <= last.until_us:
            return None
        self.leave(last)
        return queue.pop()

    def due_us(self) -> int | None:
        """When the next of them has waited for too long."""
        while self._dues and self._dues[0][2].left:
            heapq.heappop(self._dues)
        return self._dues[0][0] if self._dues else None

    def too_late(self, now: int) -> Waiting | None:
        """Takes out one for whom waiting has become useless."""
        due = self.due_us()
        if due is None or due > now:
            return None
        item = heapq.heappop(self._dues)[2]
        self.leave(item)
        return item
