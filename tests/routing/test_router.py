"""Processing of event batches: unknown names, timers, and event loop stalls."""

from __future__ import annotations

from juniperreel.routing.types import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Fail,
    HealthCheckEnded,
    Outcome,
    Reject,
    Request,
    Role,
    SetTimer,
    TimerFired,
)
from tests.routing.router_script import (
    ANY_READ,
    BOUNDED_READ,
    MS,
    SEC,
    RouterScript,
    endpoint,
)

UNKNOWN_CLASS = 77
UNKNOWN_TENANT = 9
UNKNOWN_GROUP = 12


def test_events_of_unknown_names_are_ignored() -> None:
    script = RouterScript()
    script.start_group("a")
    ended = AttemptEnded("x", 3, "nobody", Outcome.OK, 1, True, Role.PRIMARY, 5, None)
    checked = HealthCheckEnded("nobody", Outcome.OK, 1, None)
    script.process(ended, ClientDisconnected("x"), TimerFired(99), checked)
    assert script.endpoints_tried(script.submit_request(ANY_READ)) == ["a"]


def test_request_of_an_unknown_class_is_failed() -> None:
    script = RouterScript()
    script.start_group("a")
    script.process(Request("y", UNKNOWN_CLASS, 0, 0, script.now_us + SEC))
    assert script.actions_of(Fail, "y")


def test_request_of_an_unknown_tenant_and_group_past_its_deadline_is_rejected_once() -> None:
    script = RouterScript()
    script.start_group("a")
    read = script.submit_request(
        BOUNDED_READ, tenant_index=UNKNOWN_TENANT, group=UNKNOWN_GROUP, deadline_in_us=-5
    )
    assert len(script.actions_of(Reject, read)) == 1


def test_router_without_open_requests_sets_no_timer() -> None:
    """Idle wake-ups of hundreds of routers would cost more than the requests."""
    script = RouterScript()
    script.start_group("a", "b")
    script.end_attempt(script.submit_request(ANY_READ))
    script.run_for(100 * MS)
    assert not script.timers


def test_timer_of_a_poll_does_not_delay_that_of_an_open_request() -> None:
    """Scenario perth-boards-later: requests were lost while the only timer was due seconds later."""
    script = RouterScript(must_poll=True, router_count=500)
    script.update_endpoints(endpoint("a"))
    read = script.submit_request(BOUNDED_READ)
    timers = [action for action in script.last_actions if isinstance(action, SetTimer)]
    assert any(timer.delay_us <= 20 * MS for timer in timers)
    script.run_for(2 * SEC)
    assert len(script.actions_of(Reject, read)) == 1


def test_late_response_found_after_an_event_loop_stall_is_not_counted() -> None:
    """Scenario balancer_stall: late responses and time-outs after a stall are caused by the router."""
    script = RouterScript()
    script.start_group("a", "b")
    script.end_attempt(script.submit_request(ANY_READ), duration_us=50 * MS)
    request = script.submit_request(ANY_READ)
    name = script.first_endpoint(request)
    srtt_us = script.endpoint_state(name).srtt_us
    script.advance_clock(1200 * MS)
    overdue_timer = script.timers[-1]
    late_response = AttemptEnded(
        request, 0, name, Outcome.OK, 1200 * MS, True, Role.REPLICA, script.now_us, None
    )
    script.process(TimerFired(overdue_timer.key), late_response)
    assert script.endpoint_state(name).srtt_us == srtt_us
    assert not script.actions_of(Cancel, request)
