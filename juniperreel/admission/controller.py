"""The gate in front of the module: who is let through, who waits, and who is turned away with what wait.

Events in, verdicts out, like the module: no clock, no I/O. One limit for each group's replicas, one for
each group's primary, and one for this program as a whole, whose measure is how late its own loop is. A lane
that is full holds back its own requests and no others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from juniperreel.admission.concurrency import Limit
from juniperreel.admission.lane import Lane, Waiting
from juniperreel.routing.types import (
    Consistency,
    RequestClass,
    Settings,
)

MS = 1_000
LAST_US = 10 * MS  # with less than this left nothing can be answered in time
LAG_AIM_US = 100 * MS  # the loop's lag is measured against this, as answers are against their class's aim
LAG_SPAN_US = 100 * MS  # a loop that stands still is one event, not one for each of its requests
QUIET_US = 2_000 * MS  # a lane that heard nothing for so long knows nothing
WAIT_LEAST = 0.2  # of the longest wait, told where hardly anybody is turned away
WAIT_SPREAD = (0.5, 1.0)  # of the wait: those turned away together must not come back together
PART_MEMORY = 0.98  # weight of the old part of those turned away, at each arrival
QUEUE_MOST = 10_000  # that wait in one lane; a bound on memory, the sojourn is what limits

FULL = "the group is at its limit"
PROGRAM = "this edge is at its limit"
LATE = "too late to be answered in time"
WAITED = "the wait for the group's members was too long"
PUSHED = "others are worth more"
STOPPING = "the edge is stopping"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it comes. `read_us` is when its bytes could first have been read; `must` passes always
    (the commit of an open transaction)."""

    id: str
    cls: int
    tenant: int
    group: int
    read_us: int
    deadline_us: int
    repeat: bool = False
    must: bool = False


@dataclass(frozen=True, slots=True)
class Admit:
    """Hand it to the module."""

    request: str


@dataclass(frozen=True, slots=True)
class Turn:
    """Refuse it now; it was handed to nobody."""

    request: str
    reason: str
    wait_us: int


Verdict = Admit | Turn


@dataclass(slots=True)
class InHand:
    lane: Lane
    cls: RequestClass
    let_us: int
    full: bool


class Gate:
    """One gate for one router. Every `Admit` owes it one `ended`."""

    def __init__(
        self, settings: Settings, most: int, seed: int, limit: Callable[[float], Limit] = Limit
    ) -> None:
        """`most`: requests in hand whatever the limits learn. `limit` makes a lane's from its least value."""
        self._settings, self._limit = settings, limit
        self._shares = tuple(t.capacity_share for t in settings.tenants)
        self._random = random.Random(seed)
        self._lanes: dict[tuple[int, bool], Lane] = {}
        self._in_hand: dict[str, InHand] = {}
        self._waiting: dict[str, tuple[Lane, Waiting]] = {}
        self._members: dict[int, int] = {}
        self._lag_us = self._lag_told_us = 0
        self.program = Limit(least=8.0, start=float(most))
        self.program.starting = False
        self.most = most
        self.turned_part = 0.0  # of the arrivals of late
        self.repeats = 0
        self.stopping = False

    # What it may be asked.

    @property
    def in_hand(self) -> int:
        return len(self._in_hand)

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    def lanes(self) -> Iterable[tuple[int, bool, Lane]]:
        """Group, whether it is the primary's, and the lane."""
        return [(group, current, lane) for (group, current), lane in self._lanes.items()]

    def lane(self, group: int, cls: RequestClass) -> Lane:
        """Only the primary takes writes and fresh reads; all other reads share the replicas."""
        current = cls.consistency in (Consistency.WRITE, Consistency.FRESH)
        lane = self._lanes.get((group, current))
        if lane is None:
            lane = Lane(self._shares, self._limit(self._least(group, current)))
            self._lanes[group, current] = lane
        return lane

    def members(self, group: int, count: int) -> None:
        """How many members the group has: none of them should stand idle for a limit that is too low."""
        self._members[group] = count
        for current in (False, True):
            if (group, current) in self._lanes:
                limit = self._lanes[group, current].limit
                limit.least = self._least(group, current)
                limit.value = max(limit.value, limit.least)

    def _least(self, group: int, current: bool) -> float:
        replicas = 1 if current else max(self._members.get(group, 1) - 1, 1)
        return max(2.0, replicas / max(self._settings.router_count, 1))

    # Arrivals.

    def glance(self, now: int, cls: int, tenant: int, group: int, left_us: int) -> Turn | None:
        """Whether an arrival would be turned away at once, asked before anything is spent on it. It counts
        as an arrival only if so. `left_us`: from now to its deadline."""
        request = self._settings.classes[cls]
        lane = self.lane(group, request)
        reason = self._closed(request, tenant, lane, left_us)
        if reason is None:
            return None
        lane.came(now, tenant, request.priority_weight, turned=True)
        return self._turn("", reason)

    def _closed(self, cls: RequestClass, tenant: int, lane: Lane, left_us: int) -> str | None:
        """Why an arrival can't be taken, or None. The order matters: what is cheapest to know comes first."""
        if self.stopping:
            return STOPPING
        if left_us <= LAST_US:
            return LATE
        if len(self._in_hand) + len(self._waiting) >= self.most:
            return PROGRAM
        full = len(self._in_hand) >= self.program.value
        if not full and not lane.waiting and lane.room:
            return None
        if full and lane.limit.value <= lane.in_hand + lane.waiting:
            # Danger: where the loop itself is what is slow, those who wait cost more of it.
            lowest = lane.lowest_rank()
            return PROGRAM if lowest is None or lane.rank(tenant, cls.priority_weight) <= lowest else None
        wait = lane.wait_us(lane.ahead(tenant, cls.priority_weight) + 1, cls.latency_objective_us)
        if (
            wait
            > min(lane.sojourn_us(tenant, cls.priority_weight, cls.latency_objective_us), left_us - LAST_US)
            or lane.waiting >= QUEUE_MOST
        ):
            lowest = lane.lowest_rank()
            if lowest is None or lane.rank(tenant, cls.priority_weight) <= lowest:
                return PROGRAM if full else FULL
        return None

    def arrive(self, now: int, arrival: Arrival) -> list[Verdict]:
        """The arrival's own verdict comes now, or later if it waits; others' may come with it."""
        cls = self._settings.classes[arrival.cls]
        lane = self.lane(arrival.group, cls)
        self.repeats += arrival.repeat
        if arrival.must:
            return [self._let(now, lane, cls, arrival.id, arrival.tenant)]
        left = arrival.deadline_us - now
        reason = self._closed(cls, arrival.tenant, lane, left)
        lane.came(now, arrival.tenant, cls.priority_weight, turned=reason is not None)
        if reason is not None:
            return [self._turn(arrival.id, reason)]
        self.turned_part *= PART_MEMORY
        if self._opens(lane):
            return [self._let(now, lane, cls, arrival.id, arrival.tenant)]
        # What has already waited to be read has waited; but who may wait at all was judged as of now.
        sojourn = lane.sojourn_us(arrival.tenant, cls.priority_weight, cls.latency_objective_us)
        until = max(arrival.read_us + sojourn, now + 1)
        item = Waiting(arrival.id, cls, arrival.tenant, min(until, arrival.deadline_us - LAST_US))
        lane.join(item)
        self._waiting[arrival.id] = (lane, item)
        return self._late(now, lane)

    def _opens(self, lane: Lane) -> bool:
        return not lane.waiting and lane.room and len(self._in_hand) < self.program.value

    def _let(self, now: int, lane: Lane, cls: RequestClass, name: str, tenant: int) -> Admit:
        lane.pass_one(tenant)
        full = lane.waiting > 0 or not lane.room
        self._in_hand[name] = InHand(lane, cls, now, full)
        self.program.taken(len(self._in_hand))
        return Admit(name)

    def _turn(self, name: str, reason: str) -> Turn:
        self.turned_part = PART_MEMORY * self.turned_part + (1 - PART_MEMORY)
        most = self._settings.max_retry_after_us if self._settings.retry_after_hints else 0
        part = WAIT_LEAST + (1 - WAIT_LEAST) * self.turned_part
        return Turn(name, reason, int(most * part * self._random.uniform(*WAIT_SPREAD)))

    # Ends.

    def ended(self, now: int, request: str, took_us: int | None, lost: bool = False) -> list[Verdict]:
        """A request in hand has its final answer. `took_us`: of the attempt that served it; None if none
        did. `lost`: members had no room for it, or did not answer."""
        held = self._in_hand.pop(request, None)
        if held is None:
            return []
        lane = held.lane
        lane.ended(now, lane.waiting > 0 or held.full)
        if took_us is not None:
            lane.limit.answered(now, took_us, held.cls.latency_objective_us, lane.in_hand)
        elif lost:
            lane.limit.lost(now, now - held.let_us, lane.in_hand)
        return self.refill(now, lane)

    def gone(self, now: int, request: str) -> list[Verdict]:
        """The client has left. One that waited is forgotten; one in hand still owes its `ended`."""
        waits = self._waiting.pop(request, None)
        if waits is None:
            return []
        lane, item = waits
        lane.leave(item)
        return self.refill(now, lane)

    def refill(self, now: int, lane: Lane) -> list[Verdict]:
        verdicts: list[Verdict] = self._late(now, lane)
        while lane.waiting and lane.room and len(self._in_hand) < self.program.value:
            item = lane.next()
            if item is None:
                break
            del self._waiting[item.id]
            verdicts.append(self._let(now, lane, item.cls, item.id, item.tenant))
        return verdicts

    def _late(self, now: int, lane: Lane) -> list[Verdict]:
        verdicts: list[Verdict] = []
        while (item := lane.too_late(now)) is not None:
            del self._waiting[item.id]
            verdicts.append(self._turn(item.id, WAITED))
        while (item := lane.hopeless(now)) is not None:
            del self._waiting[item.id]
            verdicts.append(self._turn(item.id, PUSHED))
        return verdicts

    # Time.

    def due_us(self) -> int | None:
        """When `tick` has something to do."""
        dues = (lane.due_us() for lane in self._lanes.values() if lane.waiting)
        return min((due for due in dues if due is not None), default=None)

    def tick(self, now: int) -> list[Verdict]:
        """Turns away those for whom waiting has become useless."""
        verdicts: list[Verdict] = []
        for lane in self._lanes.values():
            if lane.waiting:
                if not lane.in_hand and now - lane.heard_us > QUIET_US:
                    lane.limit.fade()
                verdicts += self.refill(now, lane)
        return verdicts

    def lag(self, now: int, lag_us: int) -> None:
        """How late the program's own loop was. Danger: work in hand that the loop cannot look at ages like
        work in a queue; fewer in hand is the only cure."""
        self._lag_us = max(self._lag_us, lag_us)
        if now - self._lag_told_us >= LAG_SPAN_US:
            self._lag_told_us = now
            self.program.answered(now, self._lag_us, LAG_AIM_US, len(self._in_hand))
            self._lag_us = 0
