"""What a router believes of endpoints, groups and requests."""

from __future__ import annotations

import math
import random

from juniperreel.routing.policy.parameters import (
    BACKOFF_CAP_US,
    BACKOFF_US,
    FIRST_SRTT_US,
    HOLD_PART,
    LATE_WORTH,
    OK_MEMORY,
    OVERDUE_DEVIATIONS,
    OVERDUE_FLOOR_US,
    PRESSURE_ANSWERS,
    PRESSURE_DOUBT,
    PRESSURE_FADE_US,
    SEC,
    STATS_MEMORY,
)
from juniperreel.routing.types import Consistency, Endpoint, Outcome, Readiness, Request, RequestClass, Role

IDLE_US = 1 << 60  # long after any clock reading
NEVER = -IDLE_US
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.INELIGIBLE)
CURRENT = (Consistency.WRITE, Consistency.FRESH)  # only the primary serves these


class Pressure:
    """Response time over the aim, of late."""

    def __init__(self) -> None:
        self.value, self.weight, self.at_us = 0.0, 0.0, 0

    def news(self, now: int) -> float:
        return self.weight * max(0.0, 1 - (now - self.at_us) / PRESSURE_FADE_US)

    def read(self, now: int) -> float:
        return self.value * self.news(now) / (self.news(now) + PRESSURE_DOUBT)

    def add(self, now: int, value: float) -> None:
        weight = self.news(now)
        self.value = (weight * self.value + min(value, 4.0)) / (weight + 1)
        self.weight, self.at_us = min(weight + 1, PRESSURE_ANSWERS), now


class MemberState:
    """What this router believes of one member, and since when."""

    def __init__(self, info: Endpoint, now: int, random: random.Random) -> None:
        self.info = info
        self.told_us = now  # when its readiness was learned
        self.was_draining = info.readiness is Readiness.DRAINING
        self.cold_us = info.started_us or NEVER
        self.start_afresh(random)
        self.heard_us = NEVER  # its last answer
        self.judged_us = now  # and the last end of an attempt that told anything
        self.out: dict[tuple[str, int], tuple[int, int]] = {}  # attempt: when it was sent, and its aim
        self.suspect, self.down_us = False, 0
        self.backoff_us, self.retry_us = BACKOFF_US, 0
        self.position = NEVER
        self.role, self.role_us = Role.UNKNOWN, NEVER
        self.press = Pressure()
        self.in_hand, self.in_hand_us = 0.0, NEVER  # as it reports itself, size for size
        self.allow, self.allow_us = random.random(), now  # of a cold member's budget
        self.probe_us, self.passed_us = NEVER, NEVER

    def start_afresh(self, random: random.Random) -> None:
        self.srtt, self.heard = random.uniform(*FIRST_SRTT_US), False
        self.ok_share, self.ok_told, self.losses = 1.0, 1, 0

    def judge(self, good: bool, now: int) -> None:
        """One more answer, good or not, in the share of good ones: the mean of the first few, then a moving
        one, in which answers of long ago weigh less. Danger: where hundreds of routers see a failing member a
        few times each, a slow start or a long memory of every one leaves it more than its share, as it fails
        fast."""
        self.ok_told += 1
        fresh = 1 - math.exp((self.judged_us - now) / PRESSURE_FADE_US)
        gain = max(1 - OK_MEMORY, 1 / self.ok_told, fresh)
        self.judged_us = now
        self.ok_share += gain * ((1.0 if good else 0.0) - self.ok_share)

    def suspend(self, now: int) -> None:
        if not self.suspect:
            self.backoff_us = BACKOFF_US
        elif now >= self.retry_us:
            self.backoff_us = min(2 * self.backoff_us, BACKOFF_CAP_US)
        self.suspect, self.retry_us = True, now + self.backoff_us

    def revive(self, now: int) -> None:
        """Danger: after its process was down, as failed probes show, it is cold before a list says so."""
        if self.down_us and now - self.down_us > SEC:
            self.cold_us = max(self.cold_us, now)
            self.allow_us = now
        self.suspect, self.down_us = False, 0


class RequestState:
    """A request that this router owes an answer, or that still has an attempt out."""

    def __init__(self, ask: Request, cls: RequestClass, now: int) -> None:
        self.ask, self.cls = ask, cls
        patience = max(0.0, cls.late_priority_weight - LATE_WORTH) / (1 - LATE_WORTH)
        self.horizon = (
            now + cls.latency_objective_us + int(patience * (cls.deadline_us - cls.latency_objective_us))
        )  # worth little after
        self.needs = NEVER  # position that a replica must have passed
        self.attempts, self.looks, self.errors = 0, 0, 0
        self.out: dict[int, tuple[int, MemberState]] = {}  # attempt: when it was sent, and where
        self.ran_us: int | None = None  # send of the first attempt that may have run
        self.ran_at: Endpoint | None = None
        self.avoid: str | None = None
        self.accused: list[MemberState] = []  # answered with an error; to blame if another one serves it
        self.wake_us = now
        self.came_us = now
        self.hold_us = now + int(HOLD_PART * (ask.deadline_us - now))
        self.reached, self.only_primary = False, False  # an attempt came to a member; no replica will do
        self.pressure = 0.0  # on what may take it
        self.done = False


class GroupState:
    def __init__(self) -> None:
        self.members: list[MemberState] = []  # by id
        self.primary: MemberState | None = None
        self.listed: MemberState | None = None
        self.held: dict[str, RequestState] = {}
        self.press = Pressure()  # of its replicas
        self.floor = NEVER  # commits of forgotten sessions


class ClassStats:
    def __init__(self, aim_us: int) -> None:
        self.mean, self.dev = aim_us / 2, aim_us / 4

    def add(self, took: float) -> None:
        self.dev += (1 - STATS_MEMORY) * (abs(took - self.mean) - self.dev)
        self.mean += (1 - STATS_MEMORY) * (took - self.mean)

    def overdue_us(self) -> float:
        return max(self.mean + OVERDUE_DEVIATIONS * self.dev, self.mean + OVERDUE_FLOOR_US)
