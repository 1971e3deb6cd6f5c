"""Simulations of admission control in virtual time: goodput, adaptation to capacity, fairness and bursts."""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Any

import pytest

from juniperreel.emulator.admission import AdmissionModel, Load, Result, Server
from juniperreel.emulator.limit_alternatives import ALTERNATIVES
from juniperreel.emulator.router_settings import SECOND_US, make_request_class, make_settings
from juniperreel.routing.types import Tenant

SERVERS = 6
CORES = 2
WORK_US = 45_000
CAPACITY = SERVERS * CORES / WORK_US * SECOND_US  # requests per second


def make_model(**fields: Any) -> AdmissionModel:
    values: dict[str, Any] = {"settings": make_settings(), "servers": [Server(CORES) for _ in range(SERVERS)]}
    return AdmissionModel(**(values | fields))


@pytest.mark.parametrize("controllers", [1, 4])
@pytest.mark.parametrize("overload_factor", [2, 4, 10])
def test_goodput_under_overload_stays_at_the_capacity(overload_factor: int, controllers: int) -> None:
    model = make_model(settings=make_settings(router_count=controllers), controllers=controllers)
    model.load(Load(overload_factor * CAPACITY))
    model.run(12 * SECOND_US)
    assert model.rate(Result.SERVED, 2 * SECOND_US, 12 * SECOND_US) > 0.93 * CAPACITY
    assert model.rate(Result.LATE, 0, 12 * SECOND_US) == 0
    rejection_times_us = sorted(
        end.ended_us - end.arrived_us
        for end in model.endings
        if end.result is Result.REJECTED and end.arrived_us > 2 * SECOND_US
    )
    assert rejection_times_us[int(0.99 * len(rejection_times_us))] < 100_000


def test_overload_without_admission_control_serves_nothing_in_time() -> None:
    model = make_model(admission_control=False)
    model.load(Load(2 * CAPACITY))
    model.run(12 * SECOND_US)
    assert model.rate(Result.SERVED, 6 * SECOND_US, 10 * SECOND_US) < 0.1 * CAPACITY


def test_limit_adapts_when_capacity_halves_and_doubles() -> None:
    model = make_model()
    model.load(Load(3 * CAPACITY))
    for index in range(3):
        model.at(10 * SECOND_US, partial(model.kill, index))
        model.at(20 * SECOND_US, partial(setattr, model.servers[index], "alive", True))
    model.run(30 * SECOND_US)
    assert model.rate(Result.SERVED, 11 * SECOND_US, 20 * SECOND_US) > 0.9 * CAPACITY / 2
    assert model.rate(Result.SERVED, 22 * SECOND_US, 30 * SECOND_US) > 0.93 * CAPACITY
    assert model.rate(Result.LATE, 0, 30 * SECOND_US) < 0.01 * CAPACITY
    for start, end in ((5, 10), (14, 20), (24, 30)):
        values = model.total_limits(start * SECOND_US, end * SECOND_US)
        mean = sum(values) / len(values)
        assert 0.6 * mean < min(values), "the limit swings"
        assert max(values) < 1.4 * mean, "the limit swings"


def test_burst_on_an_idle_group_is_queued_within_the_latency_objective() -> None:
    model = make_model()
    model.load(Load(0.1 * CAPACITY))
    model.burst(5 * SECOND_US, 300)
    model.run(10 * SECOND_US)
    served = sum(end.result is Result.SERVED and end.arrived_us == 5 * SECOND_US for end in model.endings)
    # What the endpoints complete within the maximum sojourn time, in addition to what is admitted at once.
    assert served > 0.15 * 0.6 * CAPACITY
    assert all(end.result in (Result.SERVED, Result.REJECTED) for end in model.endings)


def test_goodput_recovers_after_ten_times_the_capacity() -> None:
    model = make_model()
    model.load(Load(10 * CAPACITY, end_us=60 * SECOND_US))
    model.load(Load(0.5 * CAPACITY, start_us=60 * SECOND_US))
    model.run(70 * SECOND_US)
    assert model.rate(Result.SERVED, 60 * SECOND_US, 61 * SECOND_US) > 0.9 * 0.5 * CAPACITY * 0.8
    assert model.rate(Result.REJECTED, 61 * SECOND_US, 70 * SECOND_US) < 0.01 * CAPACITY


def test_greedy_tenant_takes_no_capacity_from_tenants_within_their_share() -> None:
    tenants = (Tenant("greedy", 0.4, 0), Tenant("b", 0.3, 0), Tenant("c", 0.3, 0))
    model = make_model(settings=make_settings(tenants=tenants))
    model.load(Load(4 * CAPACITY, tenant_index=0))
    for tenant in (1, 2):
        model.load(Load(0.25 * CAPACITY, tenant_index=tenant))
    model.run(15 * SECOND_US)
    for tenant in (1, 2):
        served, rejected = (
            model.rate(result, 3 * SECOND_US, 15 * SECOND_US, tenant)
            for result in (Result.SERVED, Result.REJECTED)
        )
        assert rejected < 0.03 * served
    assert model.rate(Result.SERVED, 3 * SECOND_US, 15 * SECOND_US) > 0.93 * CAPACITY, (
        "the greedy tenant gets the spare capacity"
    )


def test_requests_of_higher_weight_under_overload_are_served_first() -> None:
    classes = (make_request_class("low-weight", 1.0), make_request_class("high-weight", 4.0))
    model = make_model(settings=make_settings(classes))
    model.load(Load(3.5 * CAPACITY, class_index=0))
    model.load(Load(0.5 * CAPACITY, class_index=1))
    model.run(12 * SECOND_US)
    high_weight, low_weight = (
        model.rate(Result.SERVED, 3 * SECOND_US, 12 * SECOND_US, class_index=index) for index in (1, 0)
    )
    optimum = 4 * 0.5 * CAPACITY + 0.5 * CAPACITY
    assert 4 * high_weight + low_weight > 0.95 * optimum


def test_limit_during_fast_errors_does_not_rise() -> None:
    model = make_model()
    model.load(Load(3 * CAPACITY))
    model.at(8 * SECOND_US, lambda: setattr(model, "fast_errors", 0.9))
    model.at(9 * SECOND_US, lambda: setattr(model, "fast_errors", 0.0))
    model.run(16 * SECOND_US)
    before = model.total_limits(5 * SECOND_US, 8 * SECOND_US)
    assert max(model.total_limits(8 * SECOND_US, 11 * SECOND_US)) < 1.5 * max(before)
    assert model.rate(Result.LATE, 8 * SECOND_US, 16 * SECOND_US) == 0
    assert model.rate(Result.SERVED, 10 * SECOND_US, 16 * SECOND_US) > 0.93 * CAPACITY


def test_alternative_limits_fall_short_of_the_capacity() -> None:
    """Verifies docs/design/admission.md: no alternative reaches the goodput of the limit in use."""
    falls_short = {}
    for name, limit in ALTERNATIVES.items():
        model = make_model(make_limit=limit)
        model.load(Load(3 * CAPACITY))
        model.run(15 * SECOND_US)
        falls_short[name] = model.rate(Result.SERVED, 3 * SECOND_US, 15 * SECOND_US) < 0.93 * CAPACITY
    assert all(falls_short.values())


def served_per_burst(model: AdmissionModel, interval_us: int, count: int = 10, size: int = 200) -> list[int]:
    """Simulate bursts at a fixed interval; return the number of requests served of each."""
    starts_us = [5 * SECOND_US + number * interval_us for number in range(count)]
    for start_us in starts_us:
        model.burst(start_us, size)
    model.run(starts_us[-1] + 5 * SECOND_US)
    served = Counter(end.arrived_us for end in model.endings if end.result is Result.SERVED)
    return [served[start_us] for start_us in starts_us]


@pytest.mark.parametrize("background_load", [0.0, 0.02])
@pytest.mark.parametrize("interval_us", [1 * SECOND_US, 3 * SECOND_US, 10 * SECOND_US])
def test_burst_after_other_bursts_is_served_like_the_first_one(
    interval_us: int, background_load: float
) -> None:
    """Guards against rejections of a burst caused by the end of the previous one or the pause after it."""
    model = make_model()
    if background_load:
        model.load(Load(background_load * CAPACITY))
    first, *others = served_per_burst(model, interval_us)
    assert min(others) > 0.8 * first, (first, others)


def test_burst_after_a_few_slow_responses_is_served_like_one_without_them() -> None:
    """Guards against a limit that falls to its minimum on slow responses while few requests are in flight."""
    served = []
    for speed in (0.1, 1.0):
        model = make_model()
        model.load(Load(0.01 * CAPACITY, end_us=int(1.9 * SECOND_US)))
        for server in model.servers:
            server.speed = speed
            model.at(2 * SECOND_US, partial(setattr, server, "speed", 1.0))
        served.append(served_per_burst(model, SECOND_US, count=1)[0])
    after_slow_responses, without_them = served
    assert after_slow_responses > 0.8 * without_them
