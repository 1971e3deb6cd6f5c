"""Selection of the replica that serves a read."""

from __future__ import annotations

from collections import Counter

import pytest

from juniperreel.routing.policy import parameters
from juniperreel.routing.types import HealthCheckEnded, LoadReport, Outcome
from tests.routing.router_script import ANY_READ, BOUNDED_READ, MS, PRIMARY, RouterScript

FAST_FAILURE_US = 1 * MS


def test_draw_among_fresh_replicas_follows_one_over_srtt() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    script.set_srtt("a", 50.0 * MS)
    script.set_srtt("b", 150.0 * MS)
    draws: Counter[str] = Counter()
    for _ in range(800):
        request = script.submit_request(ANY_READ)
        drawn = script.first_endpoint(request)
        draws[drawn] += 1
        script.disconnect_client(request)
        script.forget_in_flight(drawn)
    assert draws[PRIMARY] == 0
    assert 2.3 < draws["a"] / draws["b"] < 4.0


def test_weights_before_any_response_follow_the_initial_srtt() -> None:
    """Before any endpoint has responded, the small random initial srtt determines the weights."""
    script = RouterScript()
    script.start_group("a", "b", "c")
    states = [script.endpoint_state(name) for name in "abc"]
    weights = script.router.selection.weights(states)
    assert weights == [1 / state.srtt_us for state in states]
    assert min(weights) > 1 / (20 * MS)


def test_weight_of_an_endpoint_without_responses_is_the_mean_of_the_others() -> None:
    script = RouterScript()
    script.start_group("a", "b", "c")
    script.set_srtt("a", 20.0 * MS)
    script.set_srtt("b", 60.0 * MS)
    states = [script.endpoint_state(name) for name in "abc"]
    fast, slow, without_responses = script.router.selection.weights(states)
    assert slow < without_responses < fast
    assert without_responses == pytest.approx((fast + slow) / 2)


def test_srtt_after_each_response_is_smoothed() -> None:
    script = RouterScript()
    script.start_group("a")
    for response_us, smoothed_us in ((100 * MS, 100 * MS), (200 * MS, 130 * MS)):
        script.end_attempt(script.submit_request(ANY_READ), duration_us=response_us)
        assert script.endpoint_state("a").srtt_us == pytest.approx(smoothed_us)


def test_srtt_after_a_reset_is_raised_by_a_fifth() -> None:
    script = RouterScript()
    script.start_group("a")
    script.end_attempt(script.submit_request(ANY_READ), duration_us=130 * MS)
    script.end_attempt(script.submit_request(ANY_READ), Outcome.RESET)
    assert script.endpoint_state("a").srtt_us == pytest.approx(156 * MS)


def test_endpoint_far_above_the_mean_in_flight_is_excluded_from_the_draw() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    script.endpoint_state("a").srtt_us = 1.0
    script.endpoint_state("b").srtt_us = 1e9
    draws = script.count_draws(ANY_READ, requests=40)
    assert draws["b"] >= 10


def test_endpoint_that_reports_much_in_flight_is_excluded_while_the_report_is_recent() -> None:
    """Incident i0b7f05: with many routers, a router's own attempts say little about an endpoint's load."""
    script = RouterScript()
    script.start_group("a", "b")
    for name, in_flight in (("a", 1.0), ("b", 60.0)):
        report = LoadReport(script.now_us, False, in_flight=in_flight)
        script.process(HealthCheckEnded(name, Outcome.OK, MS, report))
    assert script.endpoints_tried(script.submit_request(BOUNDED_READ)) == ["a"]
    script.forget_in_flight("a")
    script.advance_clock(600 * MS)
    assert set(script.count_draws(ANY_READ, requests=10)) == {"a", "b"}


def test_endpoint_whose_errors_are_served_by_others_loses_share() -> None:
    """Scenario fast_errors: fast failures lower srtt and would otherwise attract traffic."""
    script = RouterScript()
    script.start_group("a", "b")
    for _ in range(30):
        request = script.submit_request(ANY_READ)
        if script.first_endpoint(request) == "a":
            script.end_attempt(request, Outcome.ERROR, duration_us=FAST_FAILURE_US)
        script.end_attempt(request, duration_us=50 * MS)
    draws: Counter[str] = Counter()
    for _ in range(40):
        request = script.submit_request(ANY_READ)
        draws[script.first_endpoint(request)] += 1
        script.end_attempt(request, duration_us=50 * MS)
    assert draws["b"] > 3 * draws["a"]


def test_weight_of_an_endpoint_that_failed_fast_in_few_responses_is_low_until_it_recovers() -> None:
    """A router with few requests must soon avoid an endpoint that fails fast.

    In the fleet's replacement scenario, one of eight endpoints failed three in five requests within 20 ms and
    got 1.5 to 3 times the traffic of its peers, because each router sent it only a few requests.
    """
    script = RouterScript()
    script.start_group("a", "b")
    failing = script.endpoint_state("a")
    healthy = script.endpoint_state("b")
    script.set_srtt("a", 50.0 * MS)
    script.set_srtt("b", 50.0 * MS)
    for _ in range(2):
        request = script.submit_request(ANY_READ)
        while script.first_endpoint(request) != "a":
            script.end_attempt(request)
            request = script.submit_request(ANY_READ)
        script.end_attempt(request, Outcome.ERROR, duration_us=2 * MS)
        assert script.endpoints_tried(request) == ["a", "b"]
        script.end_attempt(request)
    failing_weight, healthy_weight = script.router.selection.weights([failing, healthy])
    assert failing_weight < healthy_weight / 6
    for _ in range(30):
        failing.success_rate.observe(script.now_us, True)
    assert failing.success_rate.value > 0.95


def test_success_rate_after_one_failure_among_many_successes_falls_little() -> None:
    script = RouterScript()
    script.start_group("a")
    success_rate = script.endpoint_state("a").success_rate
    for _ in range(20):
        success_rate.observe(script.now_us, True)
    success_rate.observe(script.now_us, False)
    assert success_rate.value == pytest.approx(parameters.SUCCESS_SMOOTHING)
