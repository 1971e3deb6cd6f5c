"""The gate by events: who is let through, who waits, who is turned away, and that nobody is forgotten."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from juniperreel.admission import Admit, Arrival, Gate, Turn
from juniperreel.admission.controller import FULL, LATE, PROGRAM, PUSHED, STOPPING, WAITED
from juniperreel.emulator.admission import Fixed, request_class
from juniperreel.emulator.admission import settings as gate_settings
from juniperreel.routing.types import (
    Consistency,
    Tenant,
)

US = 1_000_000
CLASSES = (
    request_class("cheap", 1.0),
    request_class("dear", 5.0),
    request_class("write", 4.0, consistency=Consistency.WRITE),
)
TENANTS = (Tenant("big", 0.7, 0.0), Tenant("small", 0.3, 0.0))


def gate(most: int = 1000) -> Gate:
    made = Gate(gate_settings(CLASSES, TENANTS), most, seed=1, limit=Fixed)
    made.members(0, 4)
    return made


def arrival(name: str, cls: int = 0, tenant: int = 0, group: int = 0, at: int = 0, **more: object) -> Arrival:
    fields: dict[str, object] = {"deadline_us": at + 2 * US} | more
    return Arrival(name, cls, tenant, group, at, **fields)  # type: ignore[arg-type]


def fill(g: Gate, cls: int = 0, group: int = 0, at: int = 0) -> int:
    """Until the lane is full; how many that took."""
    count = 0
    while g.lane(group, CLASSES[cls]).room:
        (verdict,) = g.arrive(at, arrival(f"f{group}.{cls}.{count}", cls, group=group, at=at))
        assert isinstance(verdict, Admit)
        count += 1
    return count


def test_a_calm_gate_lets_everybody_through_at_once() -> None:
    g = gate()
    assert g.arrive(0, arrival("a")) == [Admit("a")]
    assert g.in_hand == 1 and g.waiting == 0
    assert g.ended(45_000, "a", 45_000) == []
    assert g.in_hand == 0


def test_one_who_waits_is_let_through_when_one_ends() -> None:
    g = gate()
    fill(g)
    assert g.arrive(0, arrival("late-comer")) == []
    assert g.waiting == 1
    assert g.ended(45_000, "f0.0.0", 45_000) == [Admit("late-comer")]


def test_a_full_lane_holds_back_no_other() -> None:
    g = gate()
    fill(g)
    g.arrive(0, arrival("waits"))
    assert g.arrive(0, arrival("other-group", group=1)) == [Admit("other-group")]
    assert g.arrive(0, arrival("a-write", 2)) == [Admit("a-write")], "the primary is not the replicas"


def test_whoever_waits_too_long_is_told_so_before_its_deadline() -> None:
    g = gate()
    fill(g)
    g.arrive(0, arrival("waits"))
    due = g.due_us()
    assert due is not None and due < CLASSES[0].latency_objective_us
    assert g.tick(due // 2) == []
    (turn,) = g.tick(due)
    assert isinstance(turn, Turn) and turn.request == "waits" and turn.reason == WAITED and turn.wait_us > 0
    assert g.waiting == 0


def test_a_deadline_nearer_than_the_sojourn_is_kept() -> None:
    g = gate()
    fill(g)
    g.arrive(0, arrival("hurried", deadline_us=60_000))
    due = g.due_us()
    assert due is not None and due < 60_000
    (turn,) = g.tick(due)
    assert isinstance(turn, Turn) and turn.reason == WAITED


def test_what_is_too_late_already_is_turned_away_at_once() -> None:
    (turn,) = gate().arrive(0, arrival("dead", deadline_us=5_000))
    assert isinstance(turn, Turn) and turn.reason == LATE


def steady(g: Gate, gap_us: int, turns: int = 60) -> int:
    """The lane stays full and ends one each gap, so that its speed is known. Returns the time."""
    fill(g)
    now = 0
    for n in range(turns):
        now += gap_us
        oldest = next(iter(g._in_hand))
        g.arrive(now, arrival(f"s{n}", at=now))
        g.ended(now, oldest, 130_000)
    return now


def test_a_queue_that_would_take_too_long_takes_no_more() -> None:
    g = gate()
    now = steady(g, 20_000)
    outcomes = [g.arrive(now, arrival(f"q{n}", at=now)) for n in range(40)]
    waiting = sum(o == [] for o in outcomes)
    assert 0 < waiting <= 0.5 * CLASSES[0].latency_objective_us / 20_000
    assert all(isinstance(o[0], Turn) for o in outcomes if o)
    glance = g.glance(now, 0, 0, 0, 2 * US)
    assert glance is not None and glance.reason == FULL


def test_the_worthier_push_out_the_others_and_go_first() -> None:
    g = gate()
    now = steady(g, 20_000)
    while not g.arrive(now, arrival(f"cheap{g.waiting}", at=now)):
        pass
    pushed = []
    for n in range(40):
        pushed += g.arrive(now, arrival(f"dear{n}", 1, at=now))
    refused = [v for v in pushed if isinstance(v, Turn)]
    assert refused and refused[0].request.startswith("cheap") and refused[0].reason == PUSHED
    oldest = next(iter(g._in_hand))
    assert Admit("dear0") in g.ended(now + 1, oldest, 130_000)


def test_a_tenant_over_its_share_waits_behind_the_others() -> None:
    g = gate()
    fill(g)
    lane = g.lane(0, CLASSES[0])
    for _ in range(600):  # the small tenant asks for all there is, and gets it
        lane.came(0, 1, 1.0, turned=False)
        lane.pass_one(1)
        lane.in_hand -= 1
    assert (lane.claim(0), lane.claim(1)) == (2, 0)
    g.arrive(0, arrival("small", tenant=1))
    g.arrive(1, arrival("big", tenant=0, at=1))
    assert g.ended(45_000, "f0.0.0", 45_000)[0] == Admit("big")


def test_whoever_asks_no_more_than_its_share_goes_before_who_was_given_little() -> None:
    lane = gate().lane(0, CLASSES[0])
    for n in range(4000):  # the big tenant asks ten times as often as it is served; both get their shares
        for _ in range(10):
            lane.came(0, 0, 1.0, turned=True)
        if n % 10 < 2:
            lane.came(0, 1, 1.0, turned=False)
        lane.pass_one(0 if n % 10 < 7 else 1)
    assert (lane.claim(0), lane.claim(1)) == (1, 2)
    assert lane.claim(-1) == 0


def test_commits_pass_whatever_is_full() -> None:
    g = gate(most=4)
    for n in range(4):
        g.arrive(0, arrival(f"a{n}"))
    (turn,) = g.arrive(0, arrival("no"))
    assert isinstance(turn, Turn) and turn.reason == PROGRAM
    assert g.arrive(0, arrival("commit", must=True)) == [Admit("commit")]


def test_a_stopping_gate_takes_nothing_and_finishes_what_it_has() -> None:
    g = gate()
    fill(g)
    g.arrive(0, arrival("waits"))
    g.stopping = True
    (turn,) = g.arrive(0, arrival("new"))
    assert isinstance(turn, Turn) and turn.reason == STOPPING
    assert g.ended(45_000, "f0.0.0", 45_000) == [Admit("waits")]


def test_a_client_that_leaves_the_queue_is_forgotten() -> None:
    g = gate()
    fill(g)
    g.arrive(0, arrival("left"))
    g.arrive(0, arrival("stays"))
    assert g.gone(10, "left") == [] and g.waiting == 1
    assert g.ended(45_000, "f0.0.0", 45_000) == [Admit("stays")]


def test_waits_of_those_turned_away_together_are_spread() -> None:
    g = gate(most=1)
    g.arrive(0, arrival("a"))
    waits = []
    for n in range(200):
        (turn,) = g.arrive(0, arrival(f"t{n}"))
        assert isinstance(turn, Turn)
        waits.append(turn.wait_us)
    assert max(waits[100:]) > 1.8 * min(waits[100:]) and max(waits) <= US
    assert sum(waits[150:]) > sum(waits[:50]), "the more are turned away, the longer they wait"


def test_a_slow_loop_lets_less_be_in_hand_and_recovers() -> None:
    g = gate(most=5000)
    for n in range(200):
        g.arrive(0, arrival(f"a{n}", group=n))
    for step in range(1, 40):
        g.lag(step * 100_000, 300_000)
    assert g.program.value < 20
    for n in range(200):
        g.ended(4 * US, f"a{n}", 45_000)
    for step in range(41, 400):
        for n in range(int(g.program.value)):
            g.arrive(step * 100_000, arrival(f"b{step}.{n}", group=n, at=step * 100_000))
        g.lag(step * 100_000, 1_000)
        for n in range(int(g.program.value) + 1):
            g.ended(step * 100_000, f"b{step}.{n}", 45_000)
    assert g.program.value > 20


STEP = st.one_of(
    st.tuples(
        st.just("arrive"), st.integers(0, 2), st.integers(-1, 1), st.integers(0, 2), st.integers(1, 3000)
    ),
    st.tuples(st.just("end"), st.integers(0, 400), st.sampled_from(("served", "lost", "error"))),
    st.tuples(st.just("gone"), st.integers(0, 400)),
    st.tuples(st.just("time"), st.integers(0, 400_000)),
    st.tuples(st.just("lag"), st.integers(0, 500_000)),
    st.tuples(st.just("members"), st.integers(0, 2), st.integers(0, 30)),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=120), st.integers(1, 40))
def test_everybody_gets_one_verdict_in_time(steps: list[tuple[object, ...]], most: int) -> None:
    """Conservation: whoever arrives is let through, turned away, or has left; once, and in time."""
    g = gate(most)
    now, names = 0, 0
    verdict_of: dict[str, object] = {}
    deadline_of: dict[str, int] = {}
    in_hand: list[str] = []

    def heed(verdicts: list[object]) -> None:
        for v in verdicts:
            assert isinstance(v, (Admit, Turn))
            assert v.request not in verdict_of, "a second verdict"
            verdict_of[v.request] = v
            if isinstance(v, Admit):
                in_hand.append(v.request)
                assert now <= deadline_of[v.request], "let through when it was too late"
            else:
                assert 0 <= v.wait_us <= US

    for step in steps:
        match step:
            case ("arrive", int(cls), int(tenant), int(group), int(left)):
                name = f"r{names}"
                names += 1
                deadline_of[name] = now + left * 1000
                g.glance(now, cls, tenant, group, left * 1000)
                heed(g.arrive(now, Arrival(name, cls, tenant, group, now, now + left * 1000)))  # type: ignore[arg-type]
            case ("end", int(which), how) if in_hand:
                name = in_hand.pop(which % len(in_hand))
                heed(g.ended(now, name, 50_000 if how == "served" else None, how == "lost"))  # type: ignore[arg-type]
            case ("gone", int(which)) if names:
                name = f"r{which % names}"
                if name not in verdict_of:
                    verdict_of[name] = None
                    heed(g.gone(now, name))  # type: ignore[arg-type]
            case ("time", int(span)):
                end = now + span
                while (due := g.due_us()) is not None and due <= end:
                    now = max(now, due)
                    heed(g.tick(now))  # type: ignore[arg-type]
                now = end
            case ("lag", int(lag)):
                g.lag(now, lag)
            case ("members", int(group), int(count)):
                g.members(group, count)
        assert g.in_hand == len(in_hand)
        assert g.waiting == sum(f"r{n}" not in verdict_of for n in range(names))
        assert g.in_hand + g.waiting <= most
        for _, _, lane in g.lanes():
            assert lane.limit.least <= lane.limit.value and lane.in_hand >= 0
    now += 3 * US
    heed(g.tick(now))  # type: ignore[arg-type]
    for name in list(in_hand):
        heed(g.ended(now, name, None))  # type: ignore[arg-type]
    assert g.waiting == 0 and all(f"r{n}" in verdict_of for n in range(names))
