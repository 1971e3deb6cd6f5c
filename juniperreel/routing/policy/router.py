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

from juniperreel.routing.policy import parameters
from juniperreel.routing.settings_check import check_settings
from juniperreel.routing.state import (
    CURRENT,
    IDLE_US,
    NEVER,
    NEVER_RAN,
    ClassStats,
    GroupState,
    MemberState,
    Pressure,
    RequestState,
)
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Consistency,
    DeadlineShortened,
    Endpoint,
    EndpointUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    KeyScope,
    LoadReport,
    Log,
    Outcome,
    Readiness,
    Reject,
    Request,
    Role,
    Send,
    SetTimer,
    Settings,
    StalenessGuard,
    StartHealthCheck,
    StreamStarted,
    Subscribe,
    TimerFired,
    UpdateKind,
)


class Router:
    """One driver's decisions: `handle` takes the events of one moment and returns what to do."""

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self.s = settings
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.members: dict[str, MemberState] = {}
        self.groups: dict[int, GroupState] = {}
        self.requests: dict[str, RequestState] = {}
        self.stats = [ClassStats(c.latency_objective_us) for c in settings.classes]
        self.sessions: dict[tuple[int, str | None], int] = {}
        self.tenants = [0.0 for _ in settings.tenants]
        self.retries = parameters.RETRY_BURST
        self.beside = 1.0  # looks that are left over
        values = [c.priority_weight / s.mean for c, s in zip(settings.classes, self.stats, strict=True)]
        self.usual_value = sum(values) / len(values)
        self.carried, self.carried_us = 0.0, 0  # answers of warm members within parameters.CARRY_US
        self.peak = 0.0  # of those, a second and for each unit of size
        self.size, self.size_us = 1.0, NEVER  # of all warm members
        self.overall = Pressure()  # of all replicas
        self.primaries = Pressure()  # of all groups' primaries
        self.report_lag = 0.0  # how far behind replicas' positions mostly are when a probe tells them
        self.usual_in_hand = 0.0  # by the reports of all members
        self.tick_key, self.tick_due, self.ask_us = 0, -1, IDLE_US
        self.search_us = int(parameters.PROBE_AGAIN_US * self.random.uniform(*parameters.SEARCH))
        self.logged: dict[str, int] = {}

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        self.now = max(self.now, now_us)
        self.actions = []
        events = list(events)
        # Danger: a router that stood still finds silence and late answers of its own making.
        self.stalled = self.tick_due >= 0 and self.now - self.tick_due > parameters.STALL_US
        gone = {e.request for e in events if isinstance(e, ClientDisconnected)}
        for request in sorted(gone & self.requests.keys()):  # first, so that no outcome leads to a send
            # Danger: clients that leave early and ask again double the work of members.
            self.recall_all(self.requests[request])
            self.close(self.requests[request])
        ring, looked = False, False
        for event in events:
            if isinstance(event, AttemptEnded):
                self.attempt_ended(event)
            elif isinstance(event, Request) and event.id not in gone:
                self.request(event)
            elif isinstance(event, HealthCheckEnded):
                self.probe_ended(event)
                looked = True
            elif isinstance(event, EndpointUpdate):
                self.member_list(event)
            elif isinstance(event, StreamStarted) and event.request in self.requests:
                self.close(self.requests[event.request])  # the client's from its first byte on
            elif isinstance(event, DeadlineShortened) and event.request in self.requests:
                r = self.requests[event.request]
                r.ask = replace(r.ask, deadline_us=min(r.ask.deadline_us, event.deadline_us))
            elif isinstance(event, TimerFired) and event.key == self.tick_key:
                ring = True
        if ring:  # last: what arrived is learned before anything is judged
            self.tick_due = -1
            self.tick()
        for number in dict.fromkeys(r.ask.group for r in self.requests.values()) if ring or looked else ():
            self.drain_held(self.group(number))
        wait = parameters.TICK_US if self.requests else max(self.ask_us - self.now, parameters.TICK_US)
        if wait < IDLE_US // 2 and (self.tick_due < 0 or self.tick_due > self.now + wait):
            self.tick_key, self.tick_due = self.tick_key + 1, self.now + wait
            self.actions.append(SetTimer(wait, self.tick_key))
        return self.actions

    def log(self, text: str) -> None:
        if self.now - self.logged.get(text, NEVER) >= parameters.LOG_EVERY_US:
            fresh = {t: at for t, at in self.logged.items() if self.now - at < parameters.LOG_EVERY_US}
            self.logged = fresh | {text: self.now}
            self.actions.append(Log(text))

    # Eligibility.

    def usable(self, m: MemberState, group: GroupState) -> bool:
        """Rule 3: a draining or departed member gets nothing new; a draining primary only until its
        successor must be looked for, at half the grace."""
        if m.info.readiness is Readiness.READY:
            return True
        if m.info.readiness is Readiness.DRAINING:
            return m is group.primary and self.now - m.told_us < self.s.drain_grace_us // 2
        return self.s.removed_endpoints_serve and not m.was_draining

    def legal(self, r: RequestState, m: MemberState) -> bool:
        """Rule 2: may this request be sent to this member now?"""
        over = (
            r.done
            or r.attempts >= self.s.max_attempts
            or self.now + parameters.LAST_TRY_US >= r.ask.deadline_us
        )
        if over or m.info.group != r.ask.group or (r.out and not self.s.hedging):
            return False
        if r.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if r.out or (r.ran_us is not None and r.cls.idempotency is Idempotency.NON_IDEMPOTENT):
            return False
        if r.ran_us is None or r.ran_at is None:
            return True
        in_time = self.now <= r.ran_us + r.cls.deduplication_window_us - parameters.LAST_TRY_US
        return in_time and (r.cls.key_scope is not KeyScope.ZONE or m.info.zone == r.ran_at.zone)

    def open_to(self, r: RequestState, m: MemberState) -> bool:
        return self.trusted(m) and self.legal(r, m) and self.cold_room(m)

    def trusted(self, m: MemberState) -> bool:
        """A suspect member gets one attempt at a time, after a pause and once a probe has passed; its own
        failures then lengthen the pause, so that probes which pass beside them start no endless cycle."""
        vouched = not self.s.health_checks or self.now - m.passed_us < parameters.PASSED_US
        return not m.suspect or (vouched and self.now >= m.retry_us and not m.out)

    def fresh_enough(self, r: RequestState, m: MemberState, slack_us: int) -> bool:
        """Rule 5, judged at the moment of sending: known positions only, which never go back."""
        bounded = r.cls.consistency is Consistency.BOUNDED
        return m.position + slack_us >= (self.now - r.cls.max_staleness_us if bounded else r.needs)

    def note_needs(self, r: RequestState) -> None:
        """What its session was answered, up to now. Danger: a write that is out may have gone through and its
        answer be lost: where that counts as had, only the primary surely has what was written."""
        if r.cls.consistency is Consistency.SESSION and self.s.requests_carry_session_age:
            r.needs = NEVER if r.ask.session_age_us is None else r.came_us - r.ask.session_age_us
        elif r.cls.consistency is Consistency.SESSION:
            key = (r.ask.group, r.ask.session)
            r.needs = max(r.needs, self.sessions.get(key, self.group(r.ask.group).floor))
            own = (o for o in self.requests.values() if (o.ask.group, o.ask.session) == key)
            out = [sent for o in own if o.cls.consistency is Consistency.WRITE for sent, _ in o.out.values()]
            if self.s.responses_may_be_lost and out and self.now - min(out) > parameters.ON_THE_WAY_US:
                r.needs, r.only_primary = self.now, True  # no probe tells of anything as new

    def confirm_send(self, now_us: int, request: str, attempt: int) -> bool:
        """Asked in the moment of writing. Danger: while a connection comes up, a session's write is answered,
        a replica's position grows old, a primary steps down, a drain is told."""
        r = self.requests.get(request)
        if r is None or r.done or attempt not in r.out:
            return False
        self.now, m = max(self.now, now_us), r.out[attempt][1]
        self.note_needs(r)
        kind, group = r.cls.consistency, self.group(r.ask.group)
        checked = self.s.staleness_guard is not StalenessGuard.OFF or self.fresh_enough(r, m, 0)
        fits = m is group.primary or kind in (Consistency.WRITE, Consistency.ANY)
        return self.usable(m, group) and (fits or (checked and kind is not Consistency.FRESH))

    def ramp(self, m: MemberState) -> float:
        """The part of its full capacity that a member surely has: 1 once it is warm."""
        age = self.now - m.cold_us
        if age >= self.s.slow_start_us:
            return 1.0
        return (
            self.s.slow_start_initial_capacity
            + (1 - self.s.slow_start_initial_capacity) * max(age, 0) / self.s.slow_start_us
        )

    def cold_room(self, m: MemberState) -> bool:
        """Rule 4. Danger: a cold member is rushed by the draw, retries, fallback or a role change. A router
        sends it no more than its ramp allows of what warm members carry for this router, which sums to a
        warm member's load over all routers. Mostly that is under one attempt: so the budget starts at a
        random part of one, and whole ones are spent. Harm: a cold sole server answers less than it could."""
        ramp = self.ramp(m)
        if ramp >= 1.0:
            return True
        floor = parameters.SEC / (
            self.s.router_count * self.s.overload_window_us
        )  # one attempt a window for all routers together
        rate = max(ramp * parameters.COLD_USE * self.s.overload_multiple * self.peak * m.info.capacity, floor)
        cap = max(1.0, rate * self.s.overload_window_us / parameters.SEC / 2)
        m.allow = min(m.allow + rate * (self.now - m.allow_us) / parameters.SEC, cap)
        m.allow_us = self.now
        return m.allow >= 1.0

    def note_carried(self) -> None:
        """What warm members answer, size for size: what they are sent says nothing of capacity."""
        gap, self.carried_us = self.now - self.carried_us, self.now
        self.carried = self.carried * max(0.0, 1 - gap / parameters.CARRY_US) + 1
        if self.now - self.size_us > parameters.SEC:
            up = [m for m in self.members.values() if m.info.readiness is Readiness.READY]
            self.size = max(sum(m.info.capacity for m in up if self.ramp(m) >= 1.0), 1e-3)
            self.size_us = self.now
        seen = self.carried * parameters.SEC / parameters.CARRY_US / self.size
        self.peak = max(self.peak * max(0.0, 1 - gap / parameters.PEAK_MEMORY_US), seen)

    # The draw.

    def draw(self, r: RequestState, group: GroupState, others: list[MemberState]) -> MemberState | None:
        """A replica by 1/srtt among those known to be fresh enough."""
        pool = [m for m in others if self.fresh_enough(r, m, 0)]
        if not pool and self.s.staleness_guard is not StalenessGuard.OFF and r.attempts == 0:
            slack_us = max(
                self.s.staleness_wait_us, parameters.GUARD_SLACK_US
            )  # these members check for themselves
            pool = [m for m in others if self.fresh_enough(r, m, slack_us)]
        if not pool:
            return None
        # Danger: srtt lags by an answer, so that a lucky member is sent more than it can take.
        limit = parameters.BOUNDED_LOAD * (sum(len(m.out) for m in pool) / len(pool)) + 1
        pool = [m for m in pool if len(m.out) <= limit]
        limit = parameters.BOUNDED_LOAD * self.usual_in_hand + 1
        calm = [m for m in pool if m.in_hand <= limit or self.now - m.in_hand_us >= parameters.REPORT_US]
        if not calm and r.looks < parameters.LOOKS:
            return None
        pool = calm or pool
        weights = self.weights(pool)
        pressed = sum(w * self.pressure(m, group) for m, w in zip(pool, weights, strict=True))
        r.pressure = pressed / sum(weights)
        return self.random.choices(pool, weights)[0]

    def pressure(self, m: MemberState, group: GroupState) -> float:
        """A member's own; where little was heard of it lately, that of its like in its group, or of all."""
        levels = (m.press, *self.shared(m, group))
        told = [p for p in levels if p.news(self.now) >= parameters.PRESSURE_TOLD]
        return self.overdue_pressure(m, (told[0] if told else levels[-1]).read(self.now))

    def shared(self, m: MemberState, group: GroupState) -> tuple[Pressure, ...]:
        return (self.primaries,) if m is group.primary else (group.press, self.overall)

    def overdue_pressure(self, m: MemberState, level: float) -> float:
        """Danger: answers tell of a queue only once they have been through it. What is out already longer
        than answers took counts as an answer of that time."""
        ages = [(self.now - sent) / aim for sent, aim in m.out.values()]
        ages = [a for a in ages if a > level]
        return (level * parameters.PRESSURE_ANSWERS + sum(ages)) / (parameters.PRESSURE_ANSWERS + len(ages))

    def weights(self, pool: list[MemberState]) -> list[float]:
        """1/srtt. Dangers: quick failures earn share; a router that meets a member once in many seconds shuns
        it long after it is well: with hundreds of them it stands idle. So what speaks against it fades."""
        heard = [m.srtt for m in pool if m.heard]
        mean = sum(heard) / len(heard) if heard else math.inf
        weights = []
        for m in pool:
            faded = 1 - math.exp((m.judged_us - self.now) / parameters.FADE_US)
            ok = m.ok_share + (1 - m.ok_share) * faded
            slower = max(m.srtt - mean, 0.0) if m.heard else 0.0
            weights.append(max(ok, 0.01) ** 2 / max(m.srtt - slower * faded, 1.0))
        known = [w for m, w in zip(pool, weights, strict=True) if m.heard and self.ramp(m) >= 1.0]
        usual = sum(known) / len(known) if known else math.inf
        for i, m in enumerate(pool):
            # Danger: the small first srtt, or an idle cold machine, draws a rush. Of one router that is a try
            # or two; hundreds that draw seldom give a new member more than its part for half a minute.
            if not m.heard:
                weights[i] = min(weights[i], usual)
            if self.ramp(m) < 1.0:
                part = min(1.0, parameters.COLD_USE * self.s.overload_multiple * self.ramp(m))
                weights[i] = min(weights[i], usual * part)
        return weights

    def spares_look(self, r: RequestState, group: GroupState, others: list[MemberState]) -> bool:
        """Danger: hundreds of routers that each hear little probe for nearly every read, and again for many,
        while the primary, which is always fresh, has room. For reads that ask for no session's write it takes
        part in the draw for whom to look at; after a look in vain the next one's price is saved. A primary
        that is pressed is left out."""
        p = self.primary_of(group, True)
        if p is None or not self.open_to(r, p):
            return False
        r.pressure = self.primary_pressure(r, p, group)
        if self.shed_part(r, True) > 0:
            return False
        if r.looks or r.cls.consistency is Consistency.SESSION:
            return r.looks > 0 and self.random.random() < p.ok_share
        pool = [p, *others]
        weights = self.weights(pool)
        known = [w for m, w in zip(pool, weights, strict=True) if m.heard]
        usual = sum(known) / len(known) if known else 1.0  # the small first srtt would keep the primary out
        weights = [w if m.heard else usual for m, w in zip(pool, weights, strict=True)]
        return self.random.choices(pool, weights)[0] is p

    def look(self, r: RequestState, others: list[MemberState]) -> bool:
        """Danger: with little traffic no position is known fresh when a read comes, and reads crowd the
        primary. Probe a replica drawn like any other and hold the read for that round trip."""
        unseen = [m for m in others if self.now - m.probe_us > parameters.LOOK_US]
        ahead = 0 if r.looks else int(r.needs + self.report_lag) - self.now
        wait = max(
            0 if unseen and not r.looks else parameters.LOOK_US, ahead
        )  # a first look takes but a round trip
        end = min(r.horizon, r.ask.deadline_us) - self.stats[r.ask.class_index].mean
        late = self.now + wait > min(end, r.hold_us)
        if not self.s.health_checks or not others or late or r.looks >= parameters.LOOKS or r.only_primary:
            r.looks = parameters.LOOKS
            return False
        if ahead > 0:
            r.wake_us = self.now + ahead  # a probe tells of nothing as new as what its session wrote
            return True
        r.looks, r.wake_us = r.looks + 1, self.now + parameters.LOOK_US
        if unseen:
            self.beside = max(self.beside - 1, -1.0)
            self.probe(self.random.choices(unseen, self.weights(unseen))[0])
        return True

    def look_beside(self, r: RequestState, others: list[MemberState]) -> None:
        """Danger: only who had work is known to be fresh, and so is given the next one: of a group's replicas
        some herd and some idle, and one that lost its work never has it back. Who would have been drawn were
        all known to be fresh is looked at beside the read, while looks are rare."""
        if not self.s.health_checks or self.beside < 1 or r.attempts:
            return
        behind = [m for m in others if not self.fresh_enough(r, m, 0)]
        m = self.random.choices(others, self.weights(others))[0] if behind else None
        if m is not None and m in behind and self.now - m.probe_us > parameters.PROBE_AGAIN_US:
            self.beside -= 1
            self.probe(m)

    # The primary.

    def primary_of(self, group: GroupState, for_read: bool) -> MemberState | None:
        p = group.primary
        if p is None and not for_read and group.listed is not None and group.listed.role is Role.UNKNOWN:
            # Danger: with answers of replicas alone, each of hundreds of routers would search by probes.
            p = group.listed
        return None if p is None or not self.trusted(p) or not self.usable(p, group) else p

    def saw_role(self, m: MemberState, role: Role) -> None:
        group = self.groups.get(m.info.group)
        if role is Role.UNKNOWN or group is None:
            return
        m.role = role
        if role is Role.PRIMARY and group.primary is not m:
            if group.primary is not None or group.held:
                self.log(f"primary of group {m.info.group} is now {m.info.id}")
            group.primary = m
        elif role is Role.REPLICA and group.primary is m:
            group.primary = None
            self.log(f"primary of group {m.info.group} stepped down")

    def look_for_primary(self, r: RequestState, group: GroupState) -> None:
        """Probe all members for their role; where that is not allowed, the write itself goes to them in
        turn: a miss costs them next to nothing. A fresh read waits: a replica would answer from old data."""
        for m in group.members if self.s.health_checks else ():
            if self.usable(m, group) and self.now - m.probe_us > self.search_us:
                self.probe(m)
        ready = [m for m in group.members if self.usable(m, group) and self.open_to(r, m)]
        spare = r.attempts + 1 < self.s.max_attempts and r.cls.consistency is Consistency.WRITE
        if ready and spare and not self.s.health_checks:
            del group.held[r.ask.id]
            self.send(r, ready[r.attempts % len(ready)])

    def primary_pressure(self, r: RequestState, p: MemberState, group: GroupState) -> float:
        told = p.press.news(self.now) or self.primaries.news(self.now) >= parameters.PRESSURE_TOLD
        if r.cls.consistency in CURRENT or r.only_primary or told or len(group.members) == 1:
            return self.pressure(p, group)
        return parameters.PRIMARY_UNHEARD  # danger: hundreds of routers that each think it idle

    # Admission.

    def request(self, ask: Request) -> None:
        if ask.id in self.requests:
            return
        if not 0 <= ask.class_index < len(self.s.classes):
            self.actions.append(Fail(ask.id))
            return
        cls = self.s.classes[ask.class_index]
        r = RequestState(ask, cls, self.now)
        self.requests[ask.id] = r
        self.retries = min(parameters.RETRY_BURST, self.retries + parameters.RETRY_SHARE)
        self.beside = min(1.0, self.beside + parameters.BESIDE_SHARE)
        self.usual_value += parameters.VALUE_STEP * (
            cls.priority_weight / self.stats[ask.class_index].mean - self.usual_value
        )
        if 0 <= ask.tenant_index < len(self.tenants):
            self.tenants = [parameters.TENANT_MEMORY * seen for seen in self.tenants]
            self.tenants[ask.tenant_index] += 1
        self.decide(r)

    def shed_part(self, r: RequestState, on_primary: bool) -> float:
        """Danger: a queue that makes all answers late. Refuse early, what is worth least first. The chance to
        be refused at the pressure on what may take it; none at 0 and less."""
        value = r.cls.priority_weight / self.stats[r.ask.class_index].mean / max(self.usual_value, 1e-12)
        factor = (1 + r.cls.late_priority_weight) * math.sqrt(
            min(max(value, parameters.VALUE_RANGE[0]), parameters.VALUE_RANGE[1])
        )
        if 0 <= r.ask.tenant_index < len(self.tenants):
            due = self.s.tenants[r.ask.tenant_index].capacity_share * sum(self.tenants)
            over = self.tenants[r.ask.tenant_index] > due + parameters.SHARE_DEVIATIONS * math.sqrt(due)
            factor *= parameters.OVER_SHARE_FACTOR if over else 1.0
        if on_primary and r.cls.consistency not in CURRENT and not r.only_primary:
            factor *= parameters.PRIMARY_READ_FACTOR
        return (r.pressure / factor - parameters.SHED_FROM) / (parameters.SHED_ALL - parameters.SHED_FROM)

    def sheds(self, r: RequestState, on_primary: bool) -> bool:
        part = self.shed_part(r, on_primary)
        return part > 0 and self.random.random() < part

    def decide(self, r: RequestState) -> None:
        """Send it, hold it, or end it: every open request without an attempt passes here."""
        group = self.group(r.ask.group)
        self.note_needs(r)
        if self.hopeless(r):
            self.give_up(r)
            return
        if r.wake_us > self.now:
            group.held[r.ask.id] = r
            return
        for m in group.members:
            due = m.suspect and self.now >= max(m.retry_us, m.probe_us + parameters.PROBE_AGAIN_US)
            if due and self.usable(m, group) and not m.out and not self.trusted(m):
                self.probe(m)
        target, on_primary = None, False
        if r.cls.consistency not in CURRENT:
            others = [m for m in group.members if m is not group.primary and m.info.id != r.avoid]
            others = [m for m in others if self.usable(m, group) and self.open_to(r, m)]
            target = self.draw(r, group, others)
            if target is None and not self.spares_look(r, group, others) and self.look(r, others):
                group.held[r.ask.id] = r
                return
            target = target or self.draw(r, group, others)
            self.look_beside(r, others)
        if target is None:
            p = self.primary_of(group, r.cls.consistency is not Consistency.WRITE)
            on_primary = True
            if p is not None and self.open_to(r, p):
                target, r.pressure = p, self.primary_pressure(r, p, group)
        if target is None:
            r.avoid = None
            group.held[r.ask.id] = r
            if r.cls.consistency in CURRENT and self.primary_of(group, False) is None:
                self.look_for_primary(r, group)
        elif r.attempts == 0 and self.sheds(r, on_primary):
            # Danger: replicas that die or hang leave the rest of their group full beside an idle primary.
            p = None if on_primary else self.primary_of(group, True)
            # Danger: hundreds of routers that each hear little of it would fill it, and writes would wait.
            if p is not None and p.press.news(self.now) >= parameters.OVERFLOW_TOLD and self.open_to(r, p):
                r.pressure = self.pressure(p, group)
                if not self.sheds(r, True):
                    self.send(r, p)
                    return
            self.give_up(r)
        else:
            self.send(r, target)

    def hopeless(self, r: RequestState) -> bool:
        end = min(r.ask.deadline_us - parameters.TICK_US, r.horizon)
        held = self.now > r.came_us and not r.reached  # what just came may be sent at once
        end = min(end, r.hold_us - parameters.TICK_US) if held else end
        spent = self.now + parameters.LAST_TRY_US >= end or r.attempts >= self.s.max_attempts
        if spent or r.ran_us is None:
            return spent
        late = self.now > r.ran_us + r.cls.deduplication_window_us - parameters.LAST_TRY_US
        return r.cls.idempotency is Idempotency.NON_IDEMPOTENT or (
            r.cls.idempotency is Idempotency.KEYED and late
        )

    def drain_held(self, group: GroupState) -> None:
        for r in list(group.held.values()):
            if r.wake_us <= self.now or self.hopeless(r):
                group.held.pop(r.ask.id, None)
                self.decide(r)

    # Attempts and their ends.

    def send(self, r: RequestState, m: MemberState) -> None:
        r.out[r.attempts] = (self.now, m)
        m.out[(r.ask.id, r.attempts)] = self.now, r.cls.latency_objective_us
        if self.ramp(m) < 1.0:
            m.allow -= 1  # danger: what it was sent while warm would keep it waiting for minutes
        timeout = min(r.ask.deadline_us, r.horizon) - self.now
        if not self.s.cancellation:
            timeout = min(timeout, int(self.stats[r.ask.class_index].overdue_us()))
        r.attempts += 1
        self.actions.append(Send(r.ask.id, m.info.id, timeout))

    def attempt_ended(self, e: AttemptEnded) -> None:
        r = self.requests.get(e.request)
        if r is None or e.attempt not in r.out:
            return
        sent_us, m = r.out.pop(e.attempt)
        m.out.pop((e.request, e.attempt), None)
        self.learn(m, r, e)
        group = self.group(r.ask.group)
        r.reached = r.reached or e.outcome not in (Outcome.UNREACHABLE, Outcome.NOT_SENT)
        if e.outcome not in NEVER_RAN and r.ran_us is None:
            r.ran_us, r.ran_at = sent_us, m.info
        if e.outcome not in NEVER_RAN and r.cls.consistency is Consistency.WRITE:
            self.remember(r, (e.outcome is Outcome.OK and e.position_us) or self.now)  # may have run by now
        if r.done or e.request_finished or e.outcome is Outcome.OK:
            self.close(r)
        if r.done or r.out:
            return
        r.avoid = e.endpoint
        r.errors += e.outcome is Outcome.ERROR
        if r.errors >= parameters.ERRORS_ELSEWHERE and (
            m is not group.primary or m.ok_share > parameters.OK_MEMORY
        ):
            self.give_up(r)  # danger: a request that fails anywhere eats the retries of good ones
            return
        if e.outcome in (Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            if self.retries < 1:
                self.give_up(r)
                return
            self.retries -= 1
        if m is group.primary and not m.suspect:
            r.wake_us = self.now + (parameters.PAUSE_US << min(r.attempts - 1, 5))
        self.decide(r)

    def learn(self, m: MemberState, r: RequestState, e: AttemptEnded) -> None:
        """What an attempt's end tells of the member."""
        good = e.outcome is Outcome.OK
        group = self.group(m.info.group)
        if e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.INELIGIBLE):
            m.losses, m.heard_us = 0, self.now
        if e.role is not Role.UNKNOWN:  # also of an answer that stopped short
            self.saw_role(m, e.role)
            m.role_us = self.now
        if e.position_us is not None:
            wrote = r.cls.consistency is Consistency.WRITE
            m.position = max(m.position, min(e.position_us - (parameters.MS if wrote else 0), self.now))
        self.saw_report(m, e.load_report or LoadReport())
        if m.suspect and (good or e.outcome is Outcome.INELIGIBLE):
            m.revive(self.now)
        if good:
            if self.ramp(m) >= 1.0:
                self.note_carried()
            m.judge(True, self.now)
            for other in r.accused:  # the request was sound, so the error was the member's
                other.judge(False, self.now)
            if not self.stalled:
                took = max(e.duration_us, 1)
                m.srtt = parameters.ALPHA * m.srtt + (1 - parameters.ALPHA) * took if m.heard else float(took)
                m.heard = True
                self.stats[r.ask.class_index].add(took)
                self.press(m, group, took / r.cls.latency_objective_us)
        elif e.outcome is Outcome.ERROR:
            r.accused.append(m)
        elif e.outcome is Outcome.REJECTED:
            m.judge(False, self.now)
            self.press(m, group, parameters.LOST_PRESSURE)
        elif e.outcome not in (Outcome.INELIGIBLE, Outcome.NOT_SENT) and not self.stalled and not r.done:
            refused, withdrawn = e.outcome is Outcome.UNREACHABLE, e.outcome is Outcome.CANCELLED
            # Danger: clients with little time left make members look silent and full that are neither.
            short = e.duration_us < min(
                r.cls.latency_objective_us - parameters.TICK_US, self.stats[r.ask.class_index].overdue_us()
            )
            withdrawn = withdrawn or (e.outcome is Outcome.TIMEOUT and short)
            if e.outcome is Outcome.RESET:
                # Danger: connections that break here and there are no load, and no silence: members that
                # lose one in ten would be shed and in doubt all day. One that died refuses the next
                # connection.
                m.srtt = min(m.srtt * parameters.LOST_PENALTY, parameters.SRTT_CAP_US)
                m.judge(False, self.now)
                return
            if not refused:
                self.press(
                    m,
                    group,
                    e.duration_us / r.cls.latency_objective_us if withdrawn else parameters.LOST_PRESSURE,
                )
            if not withdrawn or m.heard_us < self.now - e.duration_us:
                self.lose(m, group, refused)  # else it is well, and the request is slow

    def press(self, m: MemberState, group: GroupState, value: float) -> None:
        for p in (m.press, *self.shared(m, group)):
            p.add(self.now, value)

    def lose(self, m: MemberState, group: GroupState, refused: bool) -> None:
        """Dangers: a hung member swallows work; a dead one breaks connections. One lost answer is chance,
        and where others are lost as well the cause is shared: then the draw alone decides."""
        m.srtt = min(m.srtt * parameters.LOST_PENALTY, parameters.SRTT_CAP_US)
        m.judge(False, self.now)
        m.losses += 1
        well = [o for o in group.members if not o.suspect and self.usable(o, group)]
        again = m.losses >= parameters.LOST_IN_A_ROW
        if (refused and again) or (again and 2 * len(well) > len(group.members)):
            if not m.suspect:
                self.log(f"member {m.info.id} is refusing" if refused else f"member {m.info.id} is silent")
            m.suspend(self.now)

    def saw_report(self, m: MemberState, report: LoadReport) -> None:
        if report.position_us is not None:
            m.position = max(m.position, min(report.position_us, self.now))
        load = report.queued if report.in_flight is None else report.in_flight
        if load is not None:
            m.in_hand, m.in_hand_us = load / max(m.info.capacity, 0.01), self.now
            self.usual_in_hand += (1 - parameters.STATS_MEMORY) * (m.in_hand - self.usual_in_hand)

    def remember(self, r: RequestState, commit: int) -> None:
        key = (r.ask.group, r.ask.session)
        self.sessions[key] = max(commit, self.sessions.pop(key, commit))
        # Danger: new sessions come all day, and memory would grow with them.
        while self.sessions:
            old = next(iter(self.sessions))
            if (
                len(self.sessions) <= parameters.SESSIONS
                and self.sessions[old] >= self.now - parameters.SESSION_US
            ):
                break
            self.group(old[0]).floor = max(self.group(old[0]).floor, self.sessions.pop(old))

    def give_up(self, r: RequestState) -> None:
        """Answer at once: a refusal where a repeat does no harm, else a failure."""
        free = r.cls.idempotency is Idempotency.IDEMPOTENT or (r.ran_us is None and not r.out)
        if free or (r.cls.idempotency is Idempotency.KEYED and r.cls.key_scope is KeyScope.ALL):
            self.actions.append(
                Reject(r.ask.id, self.s.max_retry_after_us if self.s.retry_after_hints else 0)
            )
        else:
            self.actions.append(Fail(r.ask.id))
        self.recall_all(r)
        self.close(r)

    def recall_all(self, r: RequestState) -> None:
        if self.s.cancellation and not r.done:
            self.actions.extend(Cancel(r.ask.id, n) for n in r.out)

    def close(self, r: RequestState) -> None:
        r.done = True
        self.group(r.ask.group).held.pop(r.ask.id, None)
        if not r.out:
            self.requests.pop(r.ask.id, None)

    # The look at what is open, and probes.

    def tick(self) -> None:
        """Danger: a hung member, or answers lost on the way, hold a request until it is worth nothing."""
        for r in self.requests.values() if self.s.cancellation and not self.stalled else ():
            patience = self.stats[r.ask.class_index].overdue_us()
            patience *= parameters.PRIMARY_PATIENCE if r.cls.consistency in CURRENT else 1
            again = self.retries >= 1 and r.cls.idempotency is not Idempotency.NON_IDEMPOTENT and not r.done
            if again and r.attempts < self.s.max_attempts:
                overdue = [n for n, (sent, _) in r.out.items() if self.now - sent > patience]
                self.actions.extend(Cancel(r.ask.id, n) for n in overdue)
        if self.now >= self.ask_us:
            self.ask_us = IDLE_US
            self.actions.append(Subscribe(True))

    def probe(self, m: MemberState) -> None:
        m.probe_us = self.now
        self.actions.append(StartHealthCheck(m.info.id))

    def probe_ended(self, e: HealthCheckEnded) -> None:
        m = self.members.get(e.endpoint)
        if m is None:
            return
        group = self.group(m.info.group)
        m.passed_us = self.now if e.outcome is Outcome.OK else m.passed_us
        if e.outcome in (Outcome.UNREACHABLE, Outcome.RESET, Outcome.TIMEOUT) and not self.stalled:
            # Danger: a member that was only cut off is warm, and would be taken for cold when it is back.
            dead = e.outcome is Outcome.UNREACHABLE and e.duration_us < parameters.REFUSED_US
            m.down_us, m.passed_us = (m.down_us or self.now) if dead else m.down_us, NEVER
            m.suspend(self.now)
        report = e.load_report or LoadReport()
        self.saw_report(m, report)
        if report.position_us is not None and m is not group.primary:
            lag = min(self.now - report.position_us, parameters.REPORT_US)
            self.report_lag += (1 - parameters.STATS_MEMORY) * (lag - self.report_lag)
        if report.is_primary is not None and self.now - m.role_us > parameters.ROLE_REPORT_US:
            self.saw_role(m, Role.PRIMARY if report.is_primary else Role.REPLICA)
        for r in group.held.values():
            if r.looks:
                r.wake_us = min(r.wake_us, self.now)

    # List upkeep.

    def group(self, number: int) -> GroupState:
        return self.groups.setdefault(number, GroupState())

    def member_list(self, e: EndpointUpdate) -> None:
        spread = int(self.random.uniform(0, parameters.ASK_SPREAD_US * self.s.router_count))
        if e.kind is UpdateKind.TIMED_OUT:
            # Danger: what a silent watch misses counts as told seconds after it fell silent, and much of that
            # has passed already. Nobody turned it away, and watches that began apart fall due apart.
            self.actions.append(Subscribe(True))
            return
        if e.kind is UpdateKind.FAILED:
            self.ask_us = self.now + parameters.ASK_AGAIN_US + 2 * spread
            return
        if e.kind is UpdateKind.CACHED and self.s.must_poll:
            self.ask_us = self.now + spread
        for info in e.endpoints:
            self.member_entry(info)
        if e.kind is not UpdateKind.DELTA:
            named = {info.id for info in e.endpoints}
            for m in self.members.values():
                if m.info.id not in named and m.info.readiness is not Readiness.REMOVED:
                    self.member_entry(replace(m.info, readiness=Readiness.REMOVED))
        # Danger: members are replaced all day, and each would be remembered for good.
        for m in [m for m in self.members.values() if m.info.readiness is Readiness.REMOVED and not m.out]:
            if self.now - m.told_us > parameters.GONE_US and not self.s.removed_endpoints_serve:
                del self.members[m.info.id]
        for group in self.groups.values():
            group.members = []
            group.primary = self.members.get(group.primary.info.id) if group.primary else None
            group.listed = self.members.get(group.listed.info.id) if group.listed else None
        for _, m in sorted(self.members.items()):
            if m.info.readiness is not Readiness.REMOVED or self.s.removed_endpoints_serve:
                self.group(m.info.group).members.append(m)

    def member_entry(self, info: Endpoint) -> None:
        m = self.members.get(info.id)
        group = self.group(info.group)
        if m is None:
            m = MemberState(info, self.now, self.random)
            self.members[info.id] = m
        else:
            restarted = info.started_us > m.info.started_us
            if info.readiness is not m.info.readiness:
                m.told_us = self.now
            m.was_draining = m.was_draining or info.readiness is Readiness.DRAINING
            m.info = info
            if restarted:
                m.cold_us = max(m.cold_us, info.started_us)
                m.start_afresh(self.random)
                m.allow, m.retry_us = self.random.random(), self.now
        if info.listed_primary and self.s.list_names_primary:
            group.listed = m
