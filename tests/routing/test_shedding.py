"""Pressure on endpoints, and load shedding."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

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
