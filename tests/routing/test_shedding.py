"""Pressure on endpoints, and load shedding."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from juniperreel.routing.endpoint_state import InFlightAttempt
from juniperreel.routing.estimators import DecayingMean
from juniperreel.routing.policy import parameters
from juniperreel.routing.types import Reject, Role, UpdateKind
from tests.routing.router_script import (
    ANY_READ,
    MS,
    PRIMARY,
    SEC,
    SESSION_READ,
    WRITE,
    RouterScript,
    classes_with,
    endpoint,
)

OVERLOAD_PRESSURE = 3.0
LOW_PRESSURE = 0.05
PRESSURE_SAMPLES = 12


def full_pressure(script: RouterScript, pressure: float) -> DecayingMean:
    """A pressure estimator filled with recent samples of this value."""
    mean = script.router.state.new_pressure()
    for _ in range(parameters.PRESSURE_SAMPLES):
        mean.observe(script.now_us, pressure)
    return mean


def test_shedding_under_pressure_rejects_requests_of_lower_priority_first() -> None:
    low_priority_read = replace(ANY_READ, priority_weight=0.2)
    script = RouterScript(classes=classes_with(low_priority_read))
    script.start_group("a")
    rejected: Counter[str] = Counter()
    for _ in range(100):
        for request_class in (low_priority_read, SESSION_READ):
            script.router.state.groups[0].pressure = full_pressure(script, 0.6)
            request = script.submit_request(request_class)
            rejected[request_class.name] += len(script.actions_of(Reject, request))
            script.disconnect_client(request)
            script.forget_in_flight("a")
    assert rejected[low_priority_read.name] > rejected[SESSION_READ.name] + 20


def test_pressure_of_an_endpoint_with_few_responses_is_that_of_all_replicas() -> None:
    """Scenario pilbara-boards-later big-1: rare responses from each endpoint hid a burst."""
    groups = 20
    script = RouterScript()
    script.update_endpoints(*(endpoint(f"m{number}", group=number) for number in range(groups)))
    rejected = 0
    for number in range(100):
        request = script.submit_request(ANY_READ, group=number % groups)
        if script.endpoints_tried(request):
            script.end_attempt(request, duration_us=1800 * MS)
        rejected += len(script.actions_of(Reject, request))
        script.advance_clock(200 * MS)
    assert rejected >= 15


def test_pressure_of_a_primary_without_responses_is_that_of_other_primaries() -> None:
    script = RouterScript()
    script.start_group("a")
    script.update_endpoints(endpoint("q", group=1), endpoint("z", group=1), kind=UpdateKind.DELTA)
    script.pass_health_check("q", is_primary=True)
    unobserved_primary = script.endpoint_state("q")
    pressure = script.router.policy.shedder.pressure
    assert pressure.value(unobserved_primary) == 0
    for _ in range(4):
        script.run_for(SEC)
        script.end_attempt(script.submit_request(WRITE), role=Role.PRIMARY, duration_us=450 * MS)
    assert pressure.value(unobserved_primary) > 0.3


def test_read_that_its_replica_would_shed_overflows_to_a_primary_with_capacity() -> None:
    script = RouterScript()
    script.start_group("a")
    script.observe_pressure("a", OVERLOAD_PRESSURE, PRESSURE_SAMPLES)
    script.observe_pressure(PRIMARY, LOW_PRESSURE)
    # One response of the primary is not enough for overflow.
    assert script.actions_of(Reject, script.submit_request(ANY_READ))
    script.observe_pressure(PRIMARY, LOW_PRESSURE, samples=5)
    assert set(script.count_draws(ANY_READ, requests=3)) == {PRIMARY}
    script.observe_pressure(PRIMARY, OVERLOAD_PRESSURE, PRESSURE_SAMPLES)
    assert script.actions_of(Reject, script.submit_request(ANY_READ))


def test_attempts_in_flight_for_long_raise_the_pressure_before_they_end() -> None:
    script = RouterScript(cancellation=False)
    script.start_group("a")
    script.end_attempt(script.submit_request(ANY_READ))
    state = script.endpoint_state("a")
    pressure = script.router.policy.shedder.pressure
    before = pressure.with_overdue(state, 0.1)
    for number in range(8):
        attempt = InFlightAttempt(script.now_us - 900 * MS, latency_objective_us=500 * MS)
        state.in_flight[(f"{number}", 0)] = attempt
    assert before == pytest.approx(0.1)
    assert pressure.with_overdue(state, 0.1) > 0.8


class CountedAttempts(dict[tuple[str, int], InFlightAttempt]):
    """Attempts in flight that count how many of them are looked at."""

    looked_at = 0

    def values(self) -> Iterator[InFlightAttempt]:  # type: ignore[override]
        for attempt in super().values():
            self.looked_at += 1
            yield attempt


def test_pressure_looks_at_overdue_attempts_only() -> None:
    """Guards against late answers beside a crowd: each decision looked at all attempts of the endpoint."""
    script = RouterScript()
    script.start_group("a")
    state = script.endpoint_state("a")
    objective_us = min(item.latency_objective_us for item in script.router.state.settings.classes)
    attempts = CountedAttempts()
    for number in range(1_000):
        age_us = objective_us if number < 5 else objective_us // 20
        attempts[f"{number}", 0] = InFlightAttempt(script.now_us - age_us, objective_us)
    state.in_flight = attempts
    assert script.router.policy.shedder.pressure.with_overdue(state, 0.1) > 0.1
    assert attempts.looked_at == 6


@given(
    level=st.floats(0, 4),
    ages_us=st.lists(st.tuples(st.integers(0, 3_000_000), st.sampled_from([0, 1])), max_size=30),
)
def test_pressure_counts_exactly_the_overdue_attempts(level: float, ages_us: list[tuple[int, int]]) -> None:
    script = RouterScript()
    script.start_group("a")
    state = script.endpoint_state("a")
    objectives = [item.latency_objective_us for item in script.router.state.settings.classes]
    in_order = sorted(ages_us, key=lambda age: -age[0])
    ages = []
    for number, (age_us, index) in enumerate(in_order):
        objective_us = (min(objectives), 3 * min(objectives))[index]
        sent_us = script.router.state.now_us - age_us
        state.in_flight[f"{number}", 0] = InFlightAttempt(sent_us, objective_us)
        ages.append(age_us / objective_us)
    overdue = [age for age in ages if age > level]
    samples = parameters.PRESSURE_SAMPLES
    expected = (level * samples + sum(overdue)) / (samples + len(overdue))
    assert script.router.policy.shedder.pressure.with_overdue(state, level) == expected
