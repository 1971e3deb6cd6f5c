"""The five rules, judged from records alone.

Each checker returns the violations it finds, with the record that shows each. The tolerances cover what
the record cannot resolve: two sockets and two processes do not share an order finer than that.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from juniperreel.verification import records as rec

CROSSING_US = 60_000  # between an event seen on one socket and its consequence on another
LATE_US = 15_000  # by which a client's own timer may overtake an answer that was in time
SERVED = 0
REFUSALS = (8, 14)  # RESOURCE_EXHAUSTED and UNAVAILABLE
UNTOUCHED = {"NOT_PRIMARY", "BEHIND", "NOT_EXECUTED", "STATEMENT"}


@dataclass(frozen=True, slots=True)
class Violation:
    rule: int
    text: str
    record: rec.Record


@dataclass(slots=True)
class Day:
    """The records, indexed."""

    classes: dict[str, rec.Class] = field(default_factory=dict)
    limits: rec.Limits | None = None
    asked: dict[tuple[str, int], rec.Asked] = field(default_factory=dict)
    told: dict[tuple[str, int], list[rec.Told]] = field(default_factory=lambda: defaultdict(list))
    arrived: dict[str, list[rec.Arrived]] = field(default_factory=lambda: defaultdict(list))  # by rid
    given_up: dict[tuple[str, int, str], int] = field(default_factory=dict)
    within: list[rec.Within] = field(default_factory=list)
    left: dict[tuple[str, int, str], rec.Left] = field(default_factory=dict)
    committed: dict[str, list[rec.Committed]] = field(default_factory=lambda: defaultdict(list))  # by rid
    promoted: dict[int, list[rec.Promoted]] = field(default_factory=lambda: defaultdict(list))
    listed: dict[tuple[str, str], list[rec.Listed]] = field(default_factory=lambda: defaultdict(list))
    lives: dict[str, list[rec.Started]] = field(default_factory=lambda: defaultdict(list))
    stopped: dict[str, list[rec.Stopped]] = field(default_factory=lambda: defaultdict(list))
    down: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))  # of edges
    tries: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    end: int = 0

    @staticmethod
    def of(records: Iterable[rec.Record]) -> Day:
        day = Day()
        for r in records:
            day.end = max(day.end, r.at)
            match r:
                case rec.Class():
                    day.classes[r.name] = r
                case rec.Limits():
                    day.limits = r
                case rec.Asked():
                    day.asked[r.rid, r.number] = r
                    day.tries[r.rid].append(r.number)
                case rec.Told():
                    day.told[r.rid, r.number].append(r)
                case rec.Arrived():
                    day.arrived[r.rid].append(r)
                case rec.Abandoned():
                    day.given_up[r.request, r.attempt, r.member] = r.at
                case rec.Within():
                    day.within.append(r)
                case rec.Left():
                    day.left[r.request, r.attempt, r.member] = r
                case rec.Committed():
                    day.committed[r.rid].append(r)
                case rec.Promoted():
                    day.promoted[r.group].append(r)
                case rec.Listed():
                    day.listed[r.edge, r.host].append(r)
                case rec.Started():
                    day.lives[r.member].append(r)
                case rec.Stopped():
                    day.stopped[r.member].append(r)
                case rec.EdgeDown():
                    day.down[r.edge].append((r.at, 1 << 62))
                case rec.EdgeUp():
                    if day.down[r.edge]:
                        day.down[r.edge][-1] = (day.down[r.edge][-1][0], r.at)
                case rec.EdgeStalled():
                    day.down[r.edge].append((r.at, r.until))
        return day

    def edge_was_down(self, edge: str, start: int, end: int) -> bool:
        return any(a <= end and b + CROSSING_US >= start for a, b in self.down[edge])

    def survives(self, commit: rec.Committed) -> bool:
        """Whether the group still holds the commit after all its failovers."""
        later = [p.start for p in self.promoted[commit.group] if p.epoch > commit.epoch]
        return all(commit.position <= start for start in later)


def check_answers(day: Day) -> list[Violation]:
    """Rule 1: one final answer before the client gives up, and nothing sent for it afterwards."""
    found = []
    for key, asked in day.asked.items():
        answers = day.told.get(key, [])
        if not answers:
            if asked.deadline <= day.end and not day.edge_was_down(asked.edge, asked.at, asked.deadline):
                found.append(Violation(1, f"{asked.rid} was never answered", asked))
            continue
        if len(answers) > 1:
            found.append(Violation(1, f"{asked.rid} has {len(answers)} answers", answers[1]))
        first = answers[0]
        excused = day.edge_was_down(asked.edge, asked.at, first.at)
        if first.local and not excused:
            found.append(Violation(1, f"{asked.rid} had no answer of its edge {asked.edge}", first))
        elif first.at > asked.deadline + LATE_US and not excused:
            found.append(Violation(1, f"{asked.rid} was answered {first.at - asked.deadline} us late", first))
    for rid, arrivals in day.arrived.items():
        for a in arrivals:
            if rid and not any(open_at(day, rid, number, a) for number in day.tries[rid]):
                found.append(Violation(1, f"{rid} was sent to {a.member} after its final answer", a))
    return found


def open_at(day: Day, rid: str, number: int, a: rec.Arrived) -> bool:
    """Whether a try was still without its answer when an attempt arrived at a member."""
    asked, told = day.asked[rid, number], day.told.get((rid, number))
    if asked.at > a.at:
        return False
    if not told or told[0].local or a.at <= told[0].at + CROSSING_US:
        return True
    return day.edge_was_down(a.edge, asked.at, a.at)


def check_effects(day: Day) -> list[Violation]:
    """Rule 2: no effect twice; no two attempts of an edge at once; repeats only as the class allows."""
    found = []
    for rid, commits in day.committed.items():
        kept = [c for c in commits if day.survives(c)]
        if rid and len(kept) > 1:
            found.append(Violation(2, f"{rid} took effect {len(kept)} times", kept[1]))
    limit = day.limits.max_attempts if day.limits else 1 << 30
    for rid, arrivals in day.arrived.items():
        by_request: dict[str, list[rec.Arrived]] = defaultdict(list)
        for a in arrivals:
            by_request[a.request].append(a)
        for request, attempts in by_request.items():
            attempts.sort(key=lambda a: a.at)
            if len(attempts) > limit:
                found.append(Violation(2, f"{rid} had {len(attempts)} attempts", attempts[-1]))
            for before, after in pairwise(attempts):
                key = (request, before.attempt, before.member)
                left = day.left.get(key)
                ends = [day.given_up[key]] if key in day.given_up else []
                ends += [left.at] if left is not None else []
                overlap = not ends or min(ends) > after.at + CROSSING_US
                if overlap and not down_meanwhile(day, before, after):
                    found.append(Violation(2, f"{rid}: two attempts were out at once", after))
            found.extend(repeats(day, rid, request, attempts))
        found.extend(untrue_refusals(day, rid, arrivals))
    return found


def down_meanwhile(day: Day, before: rec.Arrived, after: rec.Arrived) -> bool:
    """A dead member leaves nothing; its process's end is the attempt's."""
    return any(before.at <= s.at <= after.at + CROSSING_US for s in day.stopped[before.member])


def repeats(day: Day, rid: str, request: str, attempts: list[rec.Arrived]) -> list[Violation]:
    cls = day.classes.get(attempts[0].cls)
    if cls is None or cls.effect == "repeatable":
        return []
    ran: rec.Arrived | None = None
    for a in attempts:
        if ran is not None:
            if cls.effect == "once":
                return [Violation(2, f"{rid} was sent again although it may have run", a)]
            if a.at > ran.at + cls.memory_us + CROSSING_US:
                return [Violation(2, f"{rid} was sent again after its key was forgotten", a)]
        left = day.left.get((request, a.attempt, a.member))
        if ran is None and (left is None or left.how not in UNTOUCHED):
            ran = a
    return []


def untrue_refusals(day: Day, rid: str, arrivals: list[rec.Arrived]) -> list[Violation]:
    """A refusal says that a repeat does no harm; of a class without keys that means it never ran."""
    cls = day.classes.get(arrivals[0].cls)
    if cls is None or cls.effect != "once":
        return []
    found = []
    for number in day.tries[rid]:
        asked = day.asked[rid, number]
        for answer in day.told.get((rid, number), []):
            ran = [c for c in day.committed.get(rid, []) if asked.at <= c.at <= answer.at]
            if ran and answer.status in REFUSALS and not answer.local and not answer.never:
                found.append(Violation(2, f"{rid} was refused although it took effect", answer))
    return found


def check_drains(day: Day) -> list[Violation]:
    """Rule 3: nothing new to a member later than the grace after its edge was told that it drains or left."""
    found: list[Violation] = []
    grace = day.limits.drain_grace_us if day.limits else 0
    everything: list[list[rec.Arrived] | list[rec.Within]] = [*day.arrived.values(), day.within]
    for arrivals in everything:
        for a in arrivals:
            notes = day.listed.get((a.edge, a.member), [])
            at = bisect_right([n.at for n in notes], a.at)
            told_us: int | None = None
            for note in notes[:at]:
                if note.readiness == "up":
                    told_us = None
                elif told_us is None:
                    told_us = note.at
            if told_us is not None and a.at > told_us + grace + CROSSING_US:
                late = (a.at - told_us) / 1e6
                found.append(Violation(3, f"{a.edge} sent to {a.member} {late:.2f} s after the notice", a))
    return found


def check_cold(day: Day) -> list[Violation]:
    """Rule 4: all edges together never send a cold member more than the multiple of what it can do."""
    found: list[Violation] = []
    limits = day.limits
    if limits is None:
        return found
    by_member: dict[str, list[rec.Arrived]] = defaultdict(list)
    for arrivals in day.arrived.values():
        for a in arrivals:
            by_member[a.member].append(a)
    for member, lives in day.lives.items():
        arrivals = sorted(by_member[member], key=lambda a: a.at)
        for life in lives:
            if not life.cold:
                continue
            window: list[rec.Arrived] = []
            for a in arrivals:
                age = a.at - life.at
                if not 0 <= age < limits.cold_us:
                    continue
                window = [w for w in window if w.at > a.at - limits.overload_us] + [a]
                ramp = limits.cold_from + (1 - limits.cold_from) * age / limits.cold_us
                able = limits.fall_multiple * ramp * life.capacity * limits.overload_us
                sent = sum(w.work_us for w in window)
                if sent > able:
                    found.append(Violation(4, f"{member} was sent {sent / able:.2f} times what it bears", a))
                    break
    for member, ends in day.stopped.items():
        found.extend(Violation(4, f"{member} fell over", s) for s in ends if s.why == "fell")
    return found


@dataclass(slots=True)
class Reads:
    """What rule 5 was judged from."""

    own: int = 0
    bounded: int = 0
    rows: int = 0


def check_reads(day: Day, count: Reads | None = None) -> list[Violation]:
    """Rule 5: every served read shows what its class promises, told from the rows of its answer."""
    count = count or Reads()
    found = []
    by_row: dict[str, list[rec.Committed]] = defaultdict(list)
    for commits in day.committed.values():
        for c in commits:
            by_row[c.row].append(c)
    for commits in by_row.values():
        commits.sort(key=lambda c: c.position)
    wrote: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
    for (rid, _), answers in day.told.items():
        for t in answers:
            asked = day.asked.get((rid, t.number))
            if asked is not None and t.status == SERVED and day.classes[asked.cls].write:
                wrote[asked.session, asked.row].append((t.at, rid))
    for key, asked in day.asked.items():
        cls = day.classes[asked.cls]
        served = [t for t in day.told.get(key, []) if t.status == SERVED]
        if cls.write or not served:
            continue
        told = served[0]
        shown = set(told.rows)
        count.rows += len(shown)
        commits = by_row[asked.row]
        oldest = min((c.position for c in commits if c.rid in shown), default=0) if told.more else 0
        if cls.session:
            count.own += 1
            for at, rid in wrote[asked.session, asked.row]:
                mine = [c.position for c in day.committed.get(rid, [])]
                if at <= asked.at and rid not in shown and max(mine, default=oldest) >= oldest:
                    found.append(Violation(5, f"{asked.rid} does not show its session's write {rid}", told))
                    break
        if cls.lag_us >= 0:
            count.bounded += 1
            # The attempt that was answered is the last one at its member.
            sent = [
                a.at for a in day.arrived.get(asked.rid, []) if a.member == told.member and a.at <= told.at
            ]
            if sent:
                due = max(sent) - cls.lag_us
                for c in commits:
                    if oldest <= c.position <= due and c.rid not in shown and day.survives(c):
                        age = (max(sent) - c.position) / 1000
                        found.append(Violation(5, f"{asked.rid} lacks {c.rid}, {age:.0f} ms old", told))
                        break
    return found


RULES = {
    1: ("one final answer in time", check_answers),
    2: ("no effect twice", check_effects),
    3: ("drains are kept", check_drains),
    4: ("no cold member pushed over", check_cold),
    5: ("no stale read", check_reads),
}


def check_all(records: Iterable[rec.Record]) -> dict[int, list[Violation]]:
    day = Day.of(records)
    return {number: check(day) for number, (_, check) in RULES.items()}
