"""Every decision of the router. Its types, events and actions are in interface.py.

A read's replica is drawn with probability proportional to 1/srtt among those whose known log
position satisfies the read; all else here guards that draw or covers what it leaves open.
One Router is one driver: it shares nothing, draws from its seed and knows only the time of its batch.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import replace

from juniperreel import interface as ui
from juniperreel.interface import Consistency, Effect, KeyScope, ListKind, Outcome, Readiness, Role

MS = 1_000  # microseconds
SEC = 1_000 * MS
IDLE_US = 1 << 60  # long after any clock reading
NEVER = -IDLE_US

# The draw (design page; the paper's BIND-8 and BIND-9).
ALPHA = 0.7  # weight of the old srtt
LOST_PENALTY = 1.2  # a lost answer raises srtt by a fifth
FIRST_SRTT_US = (1 * MS, 10 * MS)  # small and random, so that unheard members are tried early
SRTT_CAP_US = 60 * SEC  # keeps repeated penalties finite
BOUNDED_LOAD = 1.25  # of the mean attempts in flight, plus one; beyond it a member sits out the draw
GUARD_SLACK_US = 100 * MS  # how far behind a member that checks reads itself may be tried
REPORT_US = 500 * MS  # a member's own count of its work is news for this long
OVERDUE = 3  # an answer awaited for this many srtts counts as the srtt: silence is news too
OK_MEMORY = 0.85  # weight of the old share of good answers; a run of 5 failures halves it

# Waiting and trying again.
TICK_US = 20 * MS  # how late a held request, a silence or a due probe may be noticed
SILENCE_FLOOR_US = 200 * MS  # shorter silences are ordinary scheduling
SILENCE_DEVIATIONS = 6  # of a class's response time, divided by the attempts that are kept waiting
SILENCE_WITNESSES = 4  # beyond this many waiting attempts the threshold shrinks no more
BACKOFF_US = 250 * MS  # first pause before a failing member is looked at again
BACKOFF_CAP_US = 2 * SEC  # a member that is back must not idle for long
PAUSE_US = 30 * MS  # first pause of a request after an error of its primary; doubles
RETRY_SHARE = 0.2  # further attempts earned by each request: retries add at most a fifth of load
RETRY_BURST = 20.0  # and this many at once, for a member that dies with work in hand
LAST_TRY_US = 10 * MS  # with less than this left no answer can arrive in time
LATE_PATIENCE = 2.0  # late answers worth half or more are awaited to the deadline, others for less
STATS_MEMORY = 0.95  # weight of the old mean and deviation of a class's response time

# Finding the primary.
ROUND_PAUSE_US = 120 * MS  # hold after all members were asked in vain
ROLE_REPORT_US = 1 * SEC  # a probe's role is dated: an answer's role of this age outranks it
WINDOW_START = 4  # attempts in flight at a member that has just taken over; one more for each answer
WINDOW_OPEN = 64  # from here on the window no longer limits

# Shedding: pressure is response time over the class's aim.
PRESSURE_MEMORY = 0.9
PRESSURE_FADE_US = 3 * SEC  # without answers pressure is forgotten: knowledge ages
SHED_FROM = 0.45  # shed none below, all beyond SHED_ALL, in proportion between
SHED_ALL = 1.1
VALUE_STEP = 0.01  # of the way to a request's value, at each request
VALUE_RANGE = (0.4, 2.5)  # worth for the time taken, against the usual; its root moves the thresholds
OVER_SHARE_FACTOR = 0.5  # a tenant over its share is shed at this part of the pressure
PRIMARY_READ_FACTOR = 0.5  # so is a read that falls back on a primary that writes need
TENANT_MEMORY_US = 5 * SEC
SHARE_SLACK = 1.15  # a tenant's part of the traffic may exceed its share by chance

COLD_USE = 0.7  # of what would push a cold member over; it mostly has more than the surest ramp says
PEAK_MEMORY_US = 60 * SEC  # what warm members could carry a minute ago they mostly still can

# Probes.
PROBE_SHARE = 0.15  # probes earned by each request
PROBE_BURST = 40.0
PROBE_LOST_US = 1 * SEC  # an unanswered probe is forgotten
STALE_SHARE = 0.6  # probe when a known position has used up this part of the bound
DEMAND_US = 1 * SEC  # only groups with reads this recent are probed for freshness

# Lists and memory.
ASK_SPREAD_US = 400 * MS  # drivers that start together must not ask together
ASK_BACKOFF_US = 500 * MS
ASK_BACKOFF_CAP_US = 4 * SEC
SESSIONS = 20_000  # remembered; older ones sink into a floor that their group must have passed
LOG_EVERY_US = 10 * SEC

NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.MISS)
CURRENT = (Consistency.WRITE, Consistency.FRESH)  # only the primary serves these


class Recent:
    """How many of something fell into about the last span."""

    def __init__(self, now: int) -> None:
        self.count, self.at_us = 0.0, now

    def read(self, now: int, span_us: int) -> float:
        self.count *= max(0.0, 1 - (now - self.at_us) / span_us)
        self.at_us = now
        return self.count

    def add(self, now: int, span_us: int) -> None:
        self.count = self.read(now, span_us) + 1


class MemberState:
    """What this router believes of one member, and since when."""

    def __init__(self, info: ui.Member, now: int, srtt: float) -> None:
        self.info = info
        self.told_us = now  # when its readiness was learned
        self.was_draining = info.readiness is Readiness.DRAINING
        self.cold_us = info.started_us or NEVER
        self.srtt, self.heard = srtt, False
        self.ok_share = 1.0
        self.heard_us = now  # last sign of life
        self.ok_us = NEVER
        self.out: dict[tuple[str, int], tuple[int, int]] = {}  # attempt: (sent, class), oldest first
        self.suspect, self.lost_us, self.trial = False, 0, False
        self.backoff_us, self.retry_us = BACKOFF_US, 0
        self.position = NEVER
        self.role, self.role_us = Role.UNKNOWN, NEVER
        self.in_hand, self.in_hand_us = 0.0, NEVER  # as it reports itself, size for size
        self.window = float(WINDOW_OPEN)
        self.pressure, self.pressure_us = 0.0, now
        self.sent, self.answered = Recent(now), Recent(now)  # within about one overload window
        self.probe_us, self.probing = NEVER, False
        self.probe_gap_us = 0

    def wait_us(self, now: int) -> int:
        return now - next(iter(self.out.values()), (now, 0))[0]

    def suspend(self, now: int, lost: bool) -> None:
        if not self.suspect:
            self.backoff_us, self.lost_us = BACKOFF_US, 0
        elif now >= self.retry_us:
            self.backoff_us = min(2 * self.backoff_us, BACKOFF_CAP_US)
        if lost and not self.lost_us:
            self.lost_us = now
        self.suspect, self.trial, self.retry_us = True, False, now + self.backoff_us

    def revive(self, now: int) -> None:
        """Danger: a member back after a silence is cold, before any list says so."""
        if self.lost_us and now - self.lost_us > SEC:
            self.cold_us = max(self.cold_us, now)
        self.suspect, self.lost_us, self.window = False, 0, WINDOW_START


class RequestState:
    """A request that this router owes an answer, or that still has an attempt out."""

    def __init__(self, ask: ui.Request, cls: ui.RequestClass, now: int, needs: int) -> None:
        self.ask, self.cls, self.arrived = ask, cls, now
        patience = min(1.0, LATE_PATIENCE * cls.late_worth)
        self.horizon = now + cls.aim_us + int(patience * (cls.deadline_us - cls.aim_us))  # worth little after
        self.needs = needs  # position that a replica must have passed
        self.attempts = 0
        self.out: dict[int, int] = {}  # attempt: when it was sent
        self.ran_us: int | None = None  # send of the first attempt that may have run
        self.ran_at: ui.Member | None = None
        self.avoid: str | None = None
        self.wake_us = now
        self.done = False


class GroupState:
    def __init__(self) -> None:
        self.members: list[MemberState] = []  # by id
        self.primary: MemberState | None = None
        self.listed: MemberState | None = None
        self.turn, self.asked, self.scout_us = 0, 0, 0
        self.scout: tuple[str, int] | None = None
        self.writes: dict[str, RequestState] = {}  # held
        self.reads: dict[str, RequestState] = {}  # held
        self.bound_us, self.bounded_us = 0, NEVER
        self.floor = NEVER  # commits of forgotten sessions


class ClassStats:
    def __init__(self, aim_us: int) -> None:
        self.mean, self.dev = aim_us / 2, aim_us / 4

    def add(self, took: int) -> None:
        self.dev += (1 - STATS_MEMORY) * (abs(took - self.mean) - self.dev)
        self.mean += (1 - STATS_MEMORY) * (took - self.mean)


def check_settings(s: ui.Settings) -> None:
    if not s.classes:
        raise ValueError("classes: at least one is needed")
    for c in s.classes:
        if min(c.aim_us, c.deadline_us) <= 0 or min(c.memory_span_us, c.lag_allowed_us, c.worth) < 0:
            raise ValueError(f"classes: a span or the worth of {c.name!r} is out of range")
    above = ("routers", "max_attempts", "cold_from", "fall_multiple", "overload_us")
    spans = ("drain_grace_us", "cold_us", "answer_grace_us", "max_retry_after_us", "ask_every_us")
    for field in (*above, *spans):
        if getattr(s, field) < 0 or (field in above and getattr(s, field) == 0):
            raise ValueError(f"{field}: must not be {getattr(s, field)}")


class Router:
    """One driver's decisions: `handle` takes the events of one moment and returns what to do."""

    def __init__(self, settings: ui.Settings, seed: int) -> None:
        check_settings(settings)
        self.s = settings
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[ui.Action] = []
        self.members: dict[str, MemberState] = {}
        self.groups: dict[int, GroupState] = {}
        self.requests: dict[str, RequestState] = {}
        self.stats = [ClassStats(c.aim_us) for c in settings.classes]
        self.sessions: dict[tuple[int, str], int] = {}
        self.tenants = [Recent(0) for _ in settings.tenants]
        self.retries, self.probes = RETRY_BURST, PROBE_BURST
        self.usual_value = sum(c.worth / c.aim_us for c in settings.classes) / len(settings.classes)
        self.peak = 0.0  # what a warm member of size 1 has carried in a window
        self.tick_key, self.tick_due = 0, -1
        self.ask_us = IDLE_US
        self.ask_backoff_us = ASK_BACKOFF_US
        self.logged: dict[str, int] = {}

    def handle(self, now_us: int, events: Iterable[ui.Event]) -> list[ui.Action]:
        self.now = max(self.now, now_us)
        self.actions = []
        events = list(events)
        gone = [e.request for e in events if isinstance(e, ui.RequestGone)]
        for request in gone:  # first, so that no outcome in this batch leads to a send
            if request in self.requests:
                # Danger: clients that leave early and ask again double the work of members.
                self.recall_all(self.requests[request])
                self.close(self.requests[request])
        for event in events:
            if isinstance(event, ui.AttemptEnded):
                self.attempt_ended(event)
            elif isinstance(event, ui.Request) and event.id not in gone:
                self.request(event)
            elif isinstance(event, ui.ProbeEnded):
                self.probe_ended(event)
            elif isinstance(event, ui.MemberList):
                self.member_list(event)
            elif isinstance(event, ui.StreamStarted) and event.request in self.requests:
                self.close(self.requests[event.request])  # the client's from its first byte on
            elif isinstance(event, ui.TimerFired) and event.key == self.tick_key:
                self.tick_due = -1
                self.tick()
        for group in self.groups.values():
            if group.writes or group.reads:
                self.drain_held(group)
        if self.tick_due < self.now:
            self.tick_key, self.tick_due = self.tick_key + 1, self.now + TICK_US
            self.actions.append(ui.SetTimer(TICK_US, self.tick_key))
        return self.actions

    def log(self, text: str) -> None:
        if self.now - self.logged.get(text, NEVER) >= LOG_EVERY_US:
            fresh = {t: at for t, at in self.logged.items() if self.now - at < LOG_EVERY_US}
            self.logged = fresh | {text: self.now}
            self.actions.append(ui.Log(text))

    # Eligibility.

    def usable(self, m: MemberState, group: GroupState) -> bool:
        """Rule 3: a draining or departed member gets nothing new; a draining primary only until its
        successor must be looked for, at half the grace."""
        if m.info.readiness is Readiness.UP:
            return True
        if m.info.readiness is Readiness.DRAINING:
            return m is group.primary and self.now - m.told_us < self.s.drain_grace_us // 2
        return self.s.only_draining_binds and not m.was_draining

    def legal(self, r: RequestState, m: MemberState) -> bool:
        """Rule 2: may this request be sent to this member now?"""
        over = r.done or r.attempts >= self.s.max_attempts or self.now + LAST_TRY_US >= r.ask.deadline_us
        if over or m.info.group != r.ask.group or (r.out and not self.s.second_copies):
            return False
        if r.cls.effect is Effect.REPEATABLE:
            return True
        if r.out or (r.ran_us is not None and r.cls.effect is Effect.ONCE):
            return False
        if r.ran_us is None or r.ran_at is None:
            return True
        if self.now > r.ran_us + r.cls.memory_span_us - LAST_TRY_US:
            return False
        if r.cls.key_scope is KeyScope.ZONE:
            return m.info.zone == r.ran_at.zone
        return r.cls.key_scope is KeyScope.ALL or m.info.group == r.ran_at.group

    def open_to(self, r: RequestState, m: MemberState) -> bool:
        """A suspect member gets one attempt at a time, and that only after a probe or a pause."""
        healthy = not m.suspect or (m.trial and not m.out)
        return healthy and len(m.out) < m.window and self.legal(r, m) and self.cold_room(m)

    def fresh_enough(self, r: RequestState, m: MemberState, slack_us: int) -> bool:
        """Rule 5, judged at the moment of sending: known positions only, which never go back."""
        bounded = r.cls.consistency is Consistency.BOUNDED
        return m.position + slack_us >= (self.now - r.cls.lag_allowed_us if bounded else r.needs)

    def ramp(self, m: MemberState) -> float:
        """The part of its full capacity that a member surely has: 1 once it is warm."""
        age = self.now - m.cold_us
        if age >= self.s.cold_us:
            return 1.0
        return self.s.cold_from + (1 - self.s.cold_from) * max(age, 0) / self.s.cold_us

    def cold_room(self, m: MemberState) -> bool:
        """Rule 4. Danger: a cold member is rushed by the draw, retries, fallback or a role change.
        Whatever the reason, one driver sends it no more than its ramp allows of what this driver's
        warm members have carried in such a window. Harm: a cold sole server answers less than it could."""
        ramp = self.ramp(m)
        allowed = ramp * COLD_USE * self.s.fall_multiple * self.peak * m.info.size
        return ramp >= 1.0 or m.sent.read(self.now, self.s.overload_us) < allowed + 0.5

    def note_carried(self) -> None:
        """What warm members answer in a window, size for size: what they are sent says nothing of
        capacity when they are overloaded, and the luckiest one says too much."""
        warm = [m for m in self.members.values() if self.ramp(m) >= 1.0 and m.answered.count > 0]
        size = sum(m.info.size for m in warm)
        seen = sum(m.answered.read(self.now, self.s.overload_us) for m in warm) / max(size, 0.01)
        self.peak = max(self.peak * (1 - TICK_US / PEAK_MEMORY_US), seen)

    # The draw.

    def draw(self, r: RequestState, group: GroupState) -> tuple[MemberState | None, float]:
        """A replica by 1/srtt, and the pressure on those that could have been drawn."""
        others = [m for m in group.members if m is not group.primary and m.info.id != r.avoid]
        others = [m for m in others if self.usable(m, group) and self.open_to(r, m)]
        pool = [m for m in others if self.fresh_enough(r, m, 0)]
        if not pool and self.s.guard is not ui.Guard.OFF and r.attempts == 0:
            slack_us = max(self.s.guard_wait_us, GUARD_SLACK_US)  # these members check for themselves
            pool = [m for m in others if self.fresh_enough(r, m, slack_us)]
        if not pool:
            return None, 0.0
        # Danger: srtt lags by an answer, so that a lucky member is sent more than it can take.
        limit = BOUNDED_LOAD * (sum(len(m.out) for m in pool) / len(pool)) + 1
        pool = [m for m in pool if len(m.out) <= limit]
        told = [m.in_hand for m in pool if self.now - m.in_hand_us < REPORT_US]
        limit = BOUNDED_LOAD * sum(told) / max(len(told), 1) + 1
        pool = [m for m in pool if m.in_hand <= limit or self.now - m.in_hand_us >= REPORT_US]
        weights = [self.weight(m) for m in pool]
        known = [w for m, w in zip(pool, weights, strict=True) if m.heard and self.ramp(m) >= 1.0]
        if known:
            usual = sum(known) / len(known)
            for i, m in enumerate(pool):
                # Danger: the small first srtt, or an idle cold machine, draws a rush.
                if not m.heard and m.out:
                    weights[i] = min(weights[i], usual)
                if self.ramp(m) < 1.0:
                    part = min(1.0, COLD_USE * self.s.fall_multiple * self.ramp(m))
                    weights[i] = min(weights[i], usual * part)
        total = sum(weights)
        load = sum(w * self.pressure(m) for m, w in zip(pool, weights, strict=True)) / total
        return self.random.choices(pool, weights)[0], load

    def weight(self, m: MemberState) -> float:
        """1/srtt. Dangers: quick failures earn share, and a hung member keeps its last good srtt."""
        wait = m.wait_us(self.now)
        srtt = wait if wait > OVERDUE * m.srtt and m.heard else m.srtt
        return max(m.ok_share, 0.01) ** 2 / max(srtt, 1.0)

    def pressure(self, m: MemberState) -> float:
        gap = self.now - m.pressure_us
        return m.pressure * max(0.0, 1 - max(0, gap - PRESSURE_FADE_US) / PRESSURE_FADE_US)

    # The primary.

    def primary_of(self, group: GroupState, for_read: bool) -> MemberState | None:
        p = group.primary
        if p is None and not for_read and all(m.role is Role.UNKNOWN for m in group.members):
            p = group.listed
        blocked = p is None or (p.suspect and not p.trial) or not self.usable(p, group)
        return None if blocked else p

    def saw_role(self, m: MemberState, role: Role) -> None:
        group = self.groups.get(m.info.group)
        if role is Role.UNKNOWN or group is None:
            return
        m.role, m.role_us = role, self.now
        if role is Role.PRIMARY:
            if group.primary is not m:
                if group.primary is not None or group.writes:
                    m.window = min(m.window, WINDOW_START)  # danger: all held work arrives at once
                    self.log(f"primary of group {m.info.group} is now {m.info.id}")
                group.primary = m
        elif group.primary is m:
            group.primary = None
            group.turn, group.asked = 0, 0
            self.log(f"primary of group {m.info.group} stepped down")

    def look_for_primary(self, group: GroupState) -> None:
        """One held write at a time goes to the members in turn; a miss costs them next to nothing."""
        if group.scout is not None or self.now < group.scout_us or not group.members:
            return
        for r in sorted(group.writes.values(), key=lambda r: (r.attempts, r.ask.deadline_us)):
            fresh = r.cls.consistency is not Consistency.WRITE  # a replica would answer it from old data
            if fresh or r.attempts + 1 >= self.s.max_attempts or r.wake_us > self.now:
                continue
            while group.asked < len(group.members):
                m = group.members[group.turn % len(group.members)]
                group.turn, group.asked = group.turn + 1, group.asked + 1
                ready = not m.suspect or self.now >= m.retry_us
                if ready and self.usable(m, group) and self.legal(r, m) and self.cold_room(m):
                    del group.writes[r.ask.id]
                    group.scout = (r.ask.id, r.attempts)
                    self.send(r, m)
                    return
            break
        if group.asked >= len(group.members):
            group.asked, group.scout_us = 0, self.now + ROUND_PAUSE_US

    # Admission.

    def request(self, ask: ui.Request) -> None:
        if ask.id in self.requests:
            return
        if not 0 <= ask.cls < len(self.s.classes):
            self.actions.append(ui.Fail(ask.id))
            return
        cls = self.s.classes[ask.cls]
        group = self.group(ask.group)
        needs = NEVER
        if cls.consistency is Consistency.SESSION and not self.s.carried_age:
            needs = self.sessions.get((ask.group, ask.session or ""), group.floor)
        elif cls.consistency is Consistency.SESSION and ask.session_age_us is not None:
            needs = self.now - ask.session_age_us
        elif cls.consistency is Consistency.BOUNDED:
            group.bound_us, group.bounded_us = cls.lag_allowed_us, self.now
        r = RequestState(ask, cls, self.now, needs)
        self.requests[ask.id] = r
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.probes = min(PROBE_BURST, self.probes + PROBE_SHARE)
        self.usual_value += VALUE_STEP * (cls.worth / self.stats[ask.cls].mean - self.usual_value)
        if 0 <= ask.tenant < len(self.tenants):
            self.tenants[ask.tenant].add(self.now, TENANT_MEMORY_US)
        self.decide(r)

    def over_share(self, tenant: int) -> bool:
        if not 0 <= tenant < len(self.tenants):
            return False
        seen = [t.read(self.now, TENANT_MEMORY_US) for t in self.tenants]
        return seen[tenant] > SHARE_SLACK * self.s.tenants[tenant].fraction * max(sum(seen), 1.0)

    def sheds(self, r: RequestState, pressure: float, on_primary: bool) -> bool:
        """Danger: a queue that makes all answers late. Refuse early, what is worth least first."""
        value = r.cls.worth / self.stats[r.ask.cls].mean / max(self.usual_value, 1e-12)
        factor = (1 + r.cls.late_worth) * math.sqrt(min(max(value, VALUE_RANGE[0]), VALUE_RANGE[1]))
        if self.over_share(r.ask.tenant):
            factor *= OVER_SHARE_FACTOR
        if on_primary and r.cls.consistency not in CURRENT:
            factor *= PRIMARY_READ_FACTOR
        part = (pressure / factor - SHED_FROM) / (SHED_ALL - SHED_FROM)
        return part > 0 and self.random.random() < part

    def decide(self, r: RequestState) -> None:
        """Send it, hold it, or end it: every open request without an attempt passes here."""
        group = self.group(r.ask.group)
        if self.hopeless(r):
            self.give_up(r)
            return
        if r.wake_us > self.now:
            self.hold(r, group)
            return
        target, pressure, on_primary = None, 0.0, False
        if r.cls.consistency not in CURRENT:
            target, pressure = self.draw(r, group)
        if target is None:
            p = self.primary_of(group, r.cls.consistency is not Consistency.WRITE)
            on_primary = True
            if p is not None and self.open_to(r, p):
                target, pressure = p, self.pressure(p)
        if target is None:
            r.avoid = None
            self.hold(r, group)
        elif r.attempts == 0 and self.sheds(r, pressure, on_primary):
            self.give_up(r)
        else:
            self.send(r, target)

    def hopeless(self, r: RequestState) -> bool:
        end = min(r.ask.deadline_us - TICK_US, r.horizon)
        spent = self.now + LAST_TRY_US >= end or r.attempts >= self.s.max_attempts
        if spent or r.ran_us is None:
            return spent
        late = self.now > r.ran_us + r.cls.memory_span_us - LAST_TRY_US
        return r.cls.effect is Effect.ONCE or (r.cls.effect is Effect.KEYED and late)

    def hold(self, r: RequestState, group: GroupState) -> None:
        (group.writes if r.cls.consistency in CURRENT else group.reads)[r.ask.id] = r

    def drain_held(self, group: GroupState) -> None:
        for r in [*group.writes.values(), *group.reads.values()]:
            if r.wake_us <= self.now or self.hopeless(r):
                group.writes.pop(r.ask.id, None)
                group.reads.pop(r.ask.id, None)
                self.decide(r)
        if group.writes and self.primary_of(group, False) is None:
            self.look_for_primary(group)

    # Attempts and their ends.

    def send(self, r: RequestState, m: MemberState) -> None:
        r.out[r.attempts] = self.now
        m.out[(r.ask.id, r.attempts)] = (self.now, r.ask.cls)
        m.sent.add(self.now, self.s.overload_us)
        timeout = min(r.ask.deadline_us, r.horizon) - self.now
        if not self.s.cancelling:
            stats = self.stats[r.ask.cls]
            timeout = min(timeout, int(stats.mean + SILENCE_DEVIATIONS * stats.dev) + SILENCE_FLOOR_US)
        r.attempts += 1
        self.actions.append(ui.Send(r.ask.id, m.info.id, timeout))

    def attempt_ended(self, e: ui.AttemptEnded) -> None:
        r = self.requests.get(e.request)
        m = self.members.get(e.member)
        if r is None or e.attempt not in r.out:
            return
        sent_us = r.out.pop(e.attempt)
        if m is not None:
            m.out.pop((e.request, e.attempt), None)
            self.learn(m, r, e)
        group = self.group(r.ask.group)
        if group.scout == (e.request, e.attempt):
            group.scout = None
        if e.outcome not in NEVER_RAN and r.ran_us is None:
            r.ran_us = sent_us
            r.ran_at = None if m is None else m.info
        if e.outcome is Outcome.OK and r.cls.consistency is Consistency.WRITE:
            self.remember(r, self.now if e.position_us is None else e.position_us)
        if r.done or e.finished or e.outcome is Outcome.OK:
            self.close(r)
        if r.done or r.out:
            return
        r.avoid = e.member
        if e.outcome not in (Outcome.MISS, Outcome.UNREACHABLE, Outcome.NOT_SENT):
            if self.retries < 1:
                self.give_up(r)
                return
            self.retries -= 1
        if m is not None and m is group.primary and not m.suspect:
            r.wake_us = self.now + (PAUSE_US << min(r.attempts - 1, 5))
        self.decide(r)

    def learn(self, m: MemberState, r: RequestState, e: ui.AttemptEnded) -> None:
        """What an attempt's end tells of the member."""
        good = e.outcome is Outcome.OK
        if e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.MISS):
            m.heard_us = self.now
            self.saw_role(m, e.role)
            if e.position_us is not None:
                wrote = good and r.cls.consistency is Consistency.WRITE
                m.position = max(m.position, min(e.position_us - (MS if wrote else 0), self.now))
        self.saw_report(m, e.report or ui.Report())
        if m.suspect and (good or e.outcome is Outcome.MISS):
            m.revive(self.now)
        if good:
            took = max(e.took_us, 1)
            m.srtt = ALPHA * m.srtt + (1 - ALPHA) * took if m.heard else float(took)
            m.heard, m.ok_us = True, self.now
            m.answered.add(self.now, self.s.overload_us)
            m.ok_share = OK_MEMORY * m.ok_share + 1 - OK_MEMORY
            m.window = min(m.window + 1, float(WINDOW_OPEN))
            self.stats[r.ask.cls].add(took)
            self.press(m, took / r.cls.aim_us)
        elif e.outcome not in (Outcome.MISS, Outcome.NOT_SENT):
            m.srtt = min(m.srtt * LOST_PENALTY, SRTT_CAP_US)
            m.ok_share *= OK_MEMORY
            if e.outcome in (Outcome.UNREACHABLE, Outcome.RESET):
                m.suspend(self.now, True)
            elif e.outcome in (Outcome.REJECTED, Outcome.TIMEOUT):
                self.press(m, 2.0)

    def press(self, m: MemberState, value: float) -> None:
        m.pressure = PRESSURE_MEMORY * self.pressure(m) + (1 - PRESSURE_MEMORY) * min(value, 4.0)
        m.pressure_us = self.now

    def saw_report(self, m: MemberState, report: ui.Report) -> None:
        if report.position_us is not None:
            m.position = max(m.position, min(report.position_us, self.now))
        if report.in_hand is not None:
            m.in_hand, m.in_hand_us = report.in_hand / max(m.info.size, 0.01), self.now

    def remember(self, r: RequestState, commit: int) -> None:
        key = (r.ask.group, r.ask.session or "")
        self.sessions[key] = max(commit, self.sessions.pop(key, commit))
        if len(self.sessions) > SESSIONS:
            old = next(iter(self.sessions))
            self.group(old[0]).floor = max(self.group(old[0]).floor, self.sessions.pop(old))

    def give_up(self, r: RequestState) -> None:
        """Answer at once: a refusal where a repeat does no harm, else a failure."""
        free = r.cls.effect is Effect.REPEATABLE or (r.ran_us is None and not r.out)
        if free or (r.cls.effect is Effect.KEYED and r.cls.key_scope is KeyScope.ALL):
            self.actions.append(ui.Refuse(r.ask.id, self.s.max_retry_after_us if self.s.retry_hints else 0))
        else:
            self.actions.append(ui.Fail(r.ask.id))
        self.recall_all(r)
        self.close(r)

    def recall_all(self, r: RequestState) -> None:
        if self.s.cancelling and not r.done:
            self.actions.extend(ui.Cancel(r.ask.id, n) for n in r.out)

    def close(self, r: RequestState) -> None:
        r.done = True
        group = self.group(r.ask.group)
        group.writes.pop(r.ask.id, None)
        group.reads.pop(r.ask.id, None)
        if not r.out:
            self.requests.pop(r.ask.id, None)

    # Silence, probes and the periodic look round.

    def tick(self) -> None:
        self.note_carried()
        for group in self.groups.values():
            healthy = [m for m in group.members if not m.suspect and self.usable(m, group)]
            for m in group.members:
                # Danger: a hung member swallows work. If none but it is left the cause is shared.
                if m.out and not m.suspect and self.silent(m) and len(healthy) > 1:
                    m.suspend(self.now, False)
                    m.srtt = min(m.srtt * LOST_PENALTY, SRTT_CAP_US)
                    self.log(f"member {m.info.id} is silent")
                if m.suspect and m.out:
                    self.recall(m)
            self.probe_group(group)
        if self.now >= self.ask_us:
            self.ask_us = self.now + IDLE_US
            self.actions.append(ui.Subscribe(True))

    def silent(self, m: MemberState) -> bool:
        sent, cls = next(iter(m.out.values()))
        spread = SILENCE_DEVIATIONS * self.stats[cls].dev / min(len(m.out), SILENCE_WITNESSES)
        return self.now - max(sent, m.heard_us) > max(SILENCE_FLOOR_US, self.stats[cls].mean + spread)

    def recall(self, m: MemberState) -> None:
        """Take back what waits at a silent member, where it may be tried elsewhere."""
        for (request, attempt), (sent, cls) in list(m.out.items()):
            r = self.requests[request]
            stats = self.stats[cls]
            overdue = self.now - sent > max(SILENCE_FLOOR_US, stats.mean + 2 * stats.dev)
            may = self.s.cancelling and self.retries >= 1 and r.cls.effect is not Effect.ONCE
            if overdue and may and not r.done:
                self.actions.append(ui.Cancel(request, attempt))
                m.out[(request, attempt)] = (self.now + SRTT_CAP_US, cls)  # asked once

    def probe_group(self, group: GroupState) -> None:
        lost_primary = bool(group.writes or group.reads) and self.primary_of(group, True) is None
        demand = self.now - group.bounded_us < DEMAND_US
        for m in group.members:
            if not self.usable(m, group) or (m.probing and self.now - m.probe_us < PROBE_LOST_US):
                continue
            age = self.now - m.probe_us
            if m.suspect:
                due = self.now >= m.retry_us and not m.trial
            elif m.position == NEVER or m.role is Role.UNKNOWN:
                due = age > BACKOFF_US
            elif lost_primary:
                due = age > BACKOFF_US and self.probes >= 1
            else:
                old = self.now - m.position > STALE_SHARE * group.bound_us
                due = demand and old and m is not group.primary and self.probes >= 1
                due = due and age > max(group.bound_us // 2, m.probe_gap_us)
            if due and not self.s.probes:
                m.trial = m.suspect
            elif due:
                self.probes = max(0.0, self.probes - 1)
                m.probing, m.probe_us = True, self.now
                self.actions.append(ui.Probe(m.info.id))

    def probe_ended(self, e: ui.ProbeEnded) -> None:
        m = self.members.get(e.member)
        if m is None:
            return
        m.probing = False
        group = self.group(m.info.group)
        if e.outcome is not Outcome.OK and (m.suspect or self.now - m.ok_us > SEC):
            m.suspend(self.now, e.outcome is Outcome.UNREACHABLE)
        elif m.suspect and self.now >= m.retry_us:
            m.trial, m.retry_us = True, self.now + m.backoff_us
        report = e.report or ui.Report()
        self.saw_report(m, report)
        if report.position_us is not None:
            fresh = self.now - report.position_us <= group.bound_us
            m.probe_gap_us = 0 if fresh else min(max(2 * m.probe_gap_us, BACKOFF_US), BACKOFF_CAP_US)
        if report.primary is not None and self.now - m.role_us > ROLE_REPORT_US:
            self.saw_role(m, Role.PRIMARY if report.primary else Role.REPLICA)

    # List upkeep.

    def group(self, number: int) -> GroupState:
        return self.groups.setdefault(number, GroupState())

    def member_list(self, e: ui.MemberList) -> None:
        if e.kind is ListKind.FAILED:
            self.ask_us = self.now + int(self.ask_backoff_us * self.random.uniform(0.5, 1.5))
            self.ask_backoff_us = min(2 * self.ask_backoff_us, ASK_BACKOFF_CAP_US)
            return
        if e.kind is not ListKind.SAVED:
            self.ask_backoff_us = ASK_BACKOFF_US
        elif self.s.must_ask:
            self.ask_us = self.now + int(self.random.uniform(0, ASK_SPREAD_US))
        for info in e.members:
            self.member_entry(info)
        if e.kind is not ListKind.CHANGES:
            named = {info.id for info in e.members}
            for m in self.members.values():
                if m.info.id not in named and m.info.readiness is not Readiness.GONE:
                    self.set_readiness(m, Readiness.GONE)
        for group in self.groups.values():
            group.members = []
        for _, m in sorted(self.members.items()):
            if m.info.readiness is not Readiness.GONE or self.s.only_draining_binds:
                self.group(m.info.group).members.append(m)

    def member_entry(self, info: ui.Member) -> None:
        m = self.members.get(info.id)
        group = self.group(info.group)
        if m is None:
            m = MemberState(info, self.now, self.random.uniform(*FIRST_SRTT_US))
            self.members[info.id] = m
        else:
            restarted = info.started_us > m.info.started_us
            if info.readiness is not m.info.readiness:
                self.set_readiness(m, info.readiness)
            m.info = info
            if restarted:
                m.cold_us = max(m.cold_us, info.started_us)
                m.heard, m.srtt, m.ok_share = False, self.random.uniform(*FIRST_SRTT_US), 1.0
                m.retry_us = self.now
        if info.listed_primary and self.s.list_shows_role:
            group.listed = m

    def set_readiness(self, m: MemberState, readiness: Readiness) -> None:
        m.told_us = self.now
        m.was_draining = m.was_draining or readiness is Readiness.DRAINING
        m.info = replace(m.info, readiness=readiness)
