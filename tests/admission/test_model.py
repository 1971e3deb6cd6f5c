"""The gate in virtual time: it finds the capacity, follows it, divides it, and is not fooled."""

from __future__ import annotations

from functools import partial

import pytest

from juniperreel.emulator.admission import LOSERS, Load, Model, Server, request_class, settings
from juniperreel.routing.types import Tenant

US = 1_000_000
SERVERS, CORES, WORK = 6, 2, 45_000
CAPACITY = SERVERS * CORES / WORK * US


def model(**fields: object) -> Model:
    made: dict[str, object] = {"settings": settings(), "servers": [Server(CORES) for _ in range(SERVERS)]}
    return Model(**(made | fields))  # type: ignore[arg-type]


@pytest.mark.parametrize("gates", [1, 4])
@pytest.mark.parametrize("over", [2, 4, 10])
def test_goodput_stays_at_the_capacity_whatever_is_offered(over: int, gates: int) -> None:
    m = model(settings=settings(router_count=gates), gates=gates)
    m.load(Load(over * CAPACITY))
    m.run(12 * US)
    assert m.rate("served", 2 * US, 12 * US) > 0.93 * CAPACITY
    assert m.rate("late", 0, 12 * US) == 0
    refusals = sorted(t.at_us - t.came_us for t in m.told if t.how == "turned" and t.came_us > 2 * US)
    assert refusals[int(0.99 * len(refusals))] < 100_000


def test_without_the_gate_nothing_is_served_in_time() -> None:
    m = model(guarded=False)
    m.load(Load(2 * CAPACITY))
    m.run(12 * US)
    assert m.rate("served", 6 * US, 10 * US) < 0.1 * CAPACITY


def test_step_response_capacity_halves_and_doubles() -> None:
    m = model()
    m.load(Load(3 * CAPACITY))
    for n in range(3):
        m.at(10 * US, partial(m.kill, n))
        m.at(20 * US, partial(setattr, m.servers[n], "alive", True))
    m.run(30 * US)
    assert m.rate("served", 11 * US, 20 * US) > 0.9 * CAPACITY / 2
    assert m.rate("served", 22 * US, 30 * US) > 0.93 * CAPACITY
    assert m.rate("late", 0, 30 * US) < 0.01 * CAPACITY
    for start, end in ((5, 10), (14, 20), (24, 30)):
        values = m.total_limit(start * US, end * US)
        mean = sum(values) / len(values)
        assert 0.6 * mean < min(values) and max(values) < 1.4 * mean, "the limit swings"


def test_a_burst_is_served_as_far_as_its_aim_allows() -> None:
    m = model()
    m.load(Load(0.1 * CAPACITY))
    m.burst(5 * US, 300)
    m.run(10 * US)
    served = sum(t.how == "served" and t.came_us == 5 * US for t in m.told)
    # What the members do within the sojourn that is allowed, beside what they take at once.
    assert served > 0.15 * 0.6 * CAPACITY
    assert all(t.how in ("served", "turned") for t in m.told)


def test_after_ten_times_the_capacity_full_service_returns() -> None:
    m = model()
    m.load(Load(10 * CAPACITY, to_us=60 * US))
    m.load(Load(0.5 * CAPACITY, from_us=60 * US))
    m.run(70 * US)
    assert m.rate("served", 60 * US, 61 * US) > 0.9 * 0.5 * CAPACITY * 0.8
    assert m.rate("turned", 61 * US, 70 * US) < 0.01 * CAPACITY


def test_a_greedy_tenant_takes_nothing_from_those_within_their_share() -> None:
    tenants = (Tenant("greedy", 0.4, 0), Tenant("b", 0.3, 0), Tenant("c", 0.3, 0))
    m = model(settings=settings(tenants=tenants))
    m.load(Load(4 * CAPACITY, tenant=0))
    for tenant in (1, 2):
        m.load(Load(0.25 * CAPACITY, tenant=tenant))
    m.run(15 * US)
    for tenant in (1, 2):
        served, turned = (m.rate(how, 3 * US, 15 * US, tenant) for how in ("served", "turned"))
        assert turned < 0.03 * served
    assert m.rate("served", 3 * US, 15 * US) > 0.93 * CAPACITY, "what the others leave is the greedy one's"


def test_what_is_worth_most_is_served_first() -> None:
    classes = (request_class("cheap", 1.0), request_class("dear", 4.0))
    m = model(settings=settings(classes))
    m.load(Load(3.5 * CAPACITY, cls=0))
    m.load(Load(0.5 * CAPACITY, cls=1))
    m.run(12 * US)
    dear, cheap = (m.rate("served", 3 * US, 12 * US, cls=cls) for cls in (1, 0))
    best = 4 * 0.5 * CAPACITY + 0.5 * CAPACITY
    assert 4 * dear + cheap > 0.95 * best


def test_a_second_of_quick_errors_does_not_open_the_gate() -> None:
    m = model()
    m.load(Load(3 * CAPACITY))
    m.at(8 * US, lambda: setattr(m, "fast_errors", 0.9))
    m.at(9 * US, lambda: setattr(m, "fast_errors", 0.0))
    m.run(16 * US)
    before = m.total_limit(5 * US, 8 * US)
    assert max(m.total_limit(8 * US, 11 * US)) < 1.5 * max(before)
    assert m.rate("late", 8 * US, 16 * US) == 0
    assert m.rate("served", 10 * US, 16 * US) > 0.93 * CAPACITY


def test_the_limits_that_lost_still_lose() -> None:
    """So that the note's reasons stay true: each falls short where the one in use does not."""
    short = {}
    for name, limit in LOSERS.items():
        m = model(limit=limit)
        m.load(Load(3 * CAPACITY))
        m.run(15 * US)
        short[name] = m.rate("served", 3 * US, 15 * US) < 0.93 * CAPACITY
    assert all(short.values())
