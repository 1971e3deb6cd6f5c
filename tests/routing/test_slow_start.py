"""Slow start: the load sent to endpoints that are warming up."""

from __future__ import annotations

import pytest

from juniperreel.routing.types import Outcome, Role, UpdateKind
from tests.routing.router_script import ANY_READ, MS, PRIMARY, SEC, RouterScript, endpoint


def capacity_fraction(script: RouterScript, name: str) -> float:
    """The fraction of its capacity that the router assumes for an endpoint."""
    return script.router.policy.slow_start.capacity_fraction(script.endpoint_state(name))


def test_endpoint_that_has_just_started_gets_few_requests() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    for _ in range(40):
        script.end_attempt(script.submit_request(ANY_READ))
        script.advance_clock(20 * MS)
    script.update_endpoints(endpoint("c", started_us=script.now_us), kind=UpdateKind.DELTA)
    draws = script.count_draws(ANY_READ, requests=60)
    assert draws["c"] <= 12


def test_peak_rate_of_warm_endpoints_counts_responses_and_not_attempts() -> None:
    """Incident i426656: in overload, warm endpoints get far more attempts than they answer."""
    script = RouterScript()
    script.start_group("a")
    for _ in range(60):
        script.submit_request(ANY_READ)
        script.run_for(20 * MS)
    assert script.router.policy.slow_start.peak_rate.per_second == 0.0


@pytest.mark.parametrize(
    "fails_health_check", [pytest.param(False, id="refused"), pytest.param(True, id="check-failed")]
)
def test_endpoint_that_refused_a_connection_warms_up_only_after_a_failed_health_check(
    fails_health_check: bool,
) -> None:
    """Scenario conn_squeeze: endpoints that accept only few connections are still warm."""
    script = RouterScript()
    script.start_group("a")
    script.end_attempt(script.submit_request(ANY_READ), Outcome.UNREACHABLE)
    if fails_health_check:
        script.fail_health_check("a")
    script.run_for(3 * SEC)
    script.pass_health_check("a")
    script.end_attempt(script.submit_request(ANY_READ), role=Role.REPLICA)
    is_warming_up = capacity_fraction(script, "a") < 1.0
    assert is_warming_up is fails_health_check


@pytest.mark.parametrize("router_count", [2, 500])
def test_slow_start_tokens_of_all_routers_together_stay_within_the_budget(router_count: int) -> None:
    """Scenario perth-boards-later big-1: one attempt per window of hundreds of routers was overload."""
    seeds = 60
    sent = 0
    for seed in range(seeds):
        script = RouterScript(seed, router_count=router_count)
        script.update_endpoints(
            endpoint(PRIMARY, listed_primary=True), endpoint("a", started_us=script.now_us)
        )
        script.pass_health_check(PRIMARY, is_primary=True)
        script.pass_health_check("a")
        for _ in range(10):
            request = script.submit_request(ANY_READ, deadline_in_us=150 * MS)
            sent += script.endpoints_tried(request) == ["a"]
            script.run_for(200 * MS)
            script.disconnect_client(request)
    windows = 2  # each allows one attempt of all routers together
    assert sent <= seeds * windows * (2 / router_count) + 3


@pytest.mark.parametrize(
    "check_duration_us, expected_fraction",
    [pytest.param(250 * MS, 1.0, id="silent"), pytest.param(1 * MS, 0.2, id="refused")],
)
def test_endpoint_reinstated_after_failed_health_checks_warms_up_only_if_it_refused_them(
    check_duration_us: int, expected_fraction: float
) -> None:
    """An endpoint that was only unreachable is still warm; one whose process was down has restarted."""
    script = RouterScript()
    script.start_group("a")
    for _ in range(3):
        script.fail_health_check("a", duration_us=check_duration_us)
        script.run_for(600 * MS)
    script.router.policy.outliers.reinstate(script.endpoint_state("a"))
    assert capacity_fraction(script, "a") == pytest.approx(expected_fraction)


def test_attempts_sent_while_an_endpoint_was_warm_cost_no_slow_start_tokens() -> None:
    script = RouterScript()
    script.start_group("a")
    for _ in range(200):
        script.end_attempt(script.submit_request(ANY_READ))
        script.advance_clock(5 * MS)
    state = script.endpoint_state("a")
    assert state.slow_start.tokens >= 0
    state.down_since_us = script.now_us - 2 * SEC
    script.router.policy.outliers.reinstate(state)
    script.run_for(1 * SEC)
    script.process()
    assert script.router.policy.slow_start.has_capacity(state)
