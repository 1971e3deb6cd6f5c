"""Ejection and reinstatement of endpoints."""

from __future__ import annotations

from juniperreel.routing.types import Outcome, Role
from tests.routing.router_script import ANY_READ, MS, RouterScript, endpoint


def test_ejected_endpoint_where_health_checks_are_not_allowed_is_retried_after_its_backoff() -> None:
    script = RouterScript(health_checks=False)
    script.update_endpoints(endpoint("a"))
    request = script.submit_request(ANY_READ)
    script.end_attempt(request, Outcome.RESET)
    assert script.endpoints_tried(request) == ["a"]
    script.run_for(400 * MS)
    assert script.endpoints_tried(request) == ["a", "a"]
    script.end_attempt(request, role=Role.REPLICA)
    assert script.endpoints_tried(script.submit_request(ANY_READ)) == ["a"]


def test_ejected_replica_while_others_serve_is_reinstated() -> None:
    """Guards against an endpoint staying ejected for as long as others can serve the reads."""
    script = RouterScript()
    script.start_group("a", "b")
    request = script.submit_request(ANY_READ)
    while script.first_endpoint(request) != "a":
        script.end_attempt(request, role=Role.REPLICA)
        request = script.submit_request(ANY_READ)
    script.end_attempt(request, Outcome.UNREACHABLE)
    script.end_attempt(request, role=Role.REPLICA)
    script.run_for(300 * MS)
    script.end_attempt(script.submit_request(ANY_READ), role=Role.REPLICA)
    script.pass_health_check("a")
    sent_to_ejected = 0
    for _ in range(30):
        request = script.submit_request(ANY_READ)
        sent_to_ejected += script.first_endpoint(request) == "a"
        script.end_attempt(request, role=Role.REPLICA)
    assert sent_to_ejected > 0


def test_ejection_while_all_endpoints_lose_responses_affects_at_most_half_of_them() -> None:
    """Scenario answer_lost: if half of the group loses responses, only the selection weights change."""
    script = RouterScript()
    script.start_group("a", "b", "c")
    for _ in range(40):
        request = script.submit_request(ANY_READ, deadline_in_us=90 * MS)
        if script.endpoints_tried(request):
            script.end_attempt(request, Outcome.RESET)
        script.run_for(500 * MS)
    assert sum(state.ejected for state in script.router.state.endpoints.values()) <= 2


def test_endpoint_after_one_refused_connection_stays_and_after_two_in_a_row_is_ejected() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    state = script.endpoint_state("a")
    outliers = script.router.policy.outliers
    outliers.record_loss(state, Outcome.UNREACHABLE)
    assert state.ejected is False
    outliers.record_loss(state, Outcome.UNREACHABLE)
    assert state.ejected is True


def test_resets_on_all_endpoints_lower_the_success_rate_without_pressure_or_ejection() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    for _ in range(6):
        request = script.submit_request(ANY_READ)
        script.end_attempt(request, Outcome.RESET)
        script.end_attempt(request)
    states = [script.endpoint_state(name) for name in ("a", "b")]
    for state in states:
        assert not state.ejected
        assert state.pressure.value(script.now_us) < 0.5
    assert min(state.success_rate.value for state in states) < 1.0


def test_slow_request_cancelled_while_its_endpoint_serves_others_leaves_srtt_unchanged() -> None:
    """Scenario heavy_tail: the endpoint responded to other requests meanwhile."""
    script = RouterScript()
    script.start_group("a")
    script.end_attempt(script.submit_request(ANY_READ), duration_us=50 * MS)
    slow_request = script.submit_request(ANY_READ)
    script.advance_clock(400 * MS)
    script.end_attempt(script.submit_request(ANY_READ), duration_us=50 * MS)
    srtt_us = script.endpoint_state("a").srtt_us
    script.end_attempt(slow_request, Outcome.CANCELLED, duration_us=500 * MS)
    assert script.endpoint_state("a").srtt_us == srtt_us


def test_timeouts_cut_short_by_deadlines_while_the_endpoint_serves_others_do_not_eject_it() -> None:
    script = RouterScript()
    script.start_group("a")
    script.end_attempt(script.submit_request(ANY_READ))
    for _ in range(6):
        short_deadline_request = script.submit_request(ANY_READ, deadline_in_us=60 * MS)
        script.advance_clock(50 * MS)
        script.end_attempt(script.submit_request(ANY_READ))
        script.end_attempt(short_deadline_request, Outcome.TIMEOUT, duration_us=50 * MS)
    state = script.endpoint_state("a")
    assert not state.ejected
    assert state.pressure.value(script.now_us) < 0.3
