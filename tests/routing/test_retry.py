"""Retries, time-outs and final answers."""

from __future__ import annotations

from dataclasses import replace

from juniperreel.routing.types import Cancel, Fail, Outcome, Reject, Role, Send, StartHealthCheck
from tests.routing.router_script import (
    ANY_READ,
    BOUNDED_READ,
    MS,
    NON_IDEMPOTENT_WRITE,
    PRIMARY,
    SEC,
    START_US,
    WRITE,
    RouterScript,
    classes_with,
)


def test_non_idempotent_write_that_may_have_been_executed_is_failed_without_retry() -> None:
    script = RouterScript()
    script.start_group("a")
    write = script.submit_request(NON_IDEMPOTENT_WRITE)
    script.end_attempt(write, Outcome.RESET)
    assert script.endpoints_tried(write) == [PRIMARY]
    assert script.actions_of(Fail, write)
    assert not script.actions_of(Reject, write)


def test_non_idempotent_write_that_was_not_executed_is_retried() -> None:
    script = RouterScript()
    script.start_group("a")
    write = script.submit_request(NON_IDEMPOTENT_WRITE)
    script.end_attempt(write, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert StartHealthCheck("a") in script.last_actions
    script.pass_health_check("a", is_primary=True)
    assert script.endpoints_tried(write) == [PRIMARY, "a"]
    assert not script.actions_of(Fail, write)


def test_keyed_write_is_retried_only_within_its_deduplication_window() -> None:
    keyed_write = replace(WRITE, deduplication_window_us=1 * SEC)
    script = RouterScript(classes=classes_with(keyed_write))
    script.start_group("a")
    write = script.submit_request(keyed_write)
    script.advance_clock(900 * MS)
    script.end_attempt(write, Outcome.ERROR)
    script.run_for(60 * MS)
    assert script.endpoints_tried(write) == [PRIMARY, PRIMARY]
    script.advance_clock(100 * MS)
    script.end_attempt(write, Outcome.ERROR)
    assert len(script.endpoints_tried(write)) == 2
    assert script.actions_of(Fail, write)


def test_queued_request_without_any_endpoint_is_answered_once_before_its_deadline() -> None:
    script = RouterScript()
    read = script.submit_request(BOUNDED_READ)
    assert script.endpoints_tried(read) == []
    script.run_for(2 * SEC)
    answered_us = [
        recorded.at_us
        for recorded in script.history
        if isinstance(recorded.action, Reject | Fail) and recorded.action.request == read
    ]
    assert len(answered_us) == 1
    assert answered_us[0] <= START_US + BOUNDED_READ.deadline_us


def test_request_that_reached_no_endpoint_is_rejected_after_half_of_its_time() -> None:
    script = RouterScript(must_poll=False)
    script.start_group("a")
    for name in (PRIMARY, "a"):
        script.eject_until(name, script.now_us + 60 * SEC)
    write = script.submit_request(WRITE, deadline_in_us=1200 * MS)  # half is less than the objective
    script.run_for(500 * MS)
    assert not script.actions_of(Reject, write)
    script.run_for(100 * MS)
    assert script.actions_of(Reject, write)


def test_request_with_little_time_is_sent_at_once() -> None:
    script = RouterScript()
    script.start_group("a")
    read = script.submit_request(ANY_READ, deadline_in_us=60 * MS)
    assert script.endpoints_tried(read)


def test_attempt_of_a_class_without_late_priority_times_out_at_the_objective() -> None:
    read_without_late_priority = replace(BOUNDED_READ, late_priority_weight=0.0)
    script = RouterScript(classes=classes_with(read_without_late_priority))
    script.start_group("a")
    read = script.submit_request(read_without_late_priority)
    assert script.actions_of(Send, read)[0].timeout_us == 500 * MS
    script.advance_clock(500 * MS)
    script.end_attempt(read, Outcome.TIMEOUT)
    assert script.actions_of(Reject, read)


def test_attempt_of_a_disconnected_client_is_cancelled_and_not_retried() -> None:
    """Incident iff5cf5: clients gave up early and retried while endpoints executed the first attempt."""
    script = RouterScript()
    script.start_group("a")
    read = script.submit_request(BOUNDED_READ)
    script.disconnect_client(read)
    assert [cancel.attempt for cancel in script.actions_of(Cancel, read)] == [0]
    script.end_attempt(read, Outcome.CANCELLED)
    assert not script.actions_of(Reject, read)
    assert len(script.endpoints_tried(read)) == 1


def test_request_that_fails_on_every_endpoint_costs_no_retry_budget_and_blames_none() -> None:
    """Scenario bad_requests: invalid requests must not cost valid ones their endpoints and retries."""
    script = RouterScript()
    script.start_group("a", "b")
    balance_before = script.router.policy.retries.budget.balance
    for _ in range(5):
        request = script.submit_request(ANY_READ)
        script.end_attempt(request, Outcome.ERROR)
        script.end_attempt(request, Outcome.ERROR)
        assert len(script.endpoints_tried(request)) == 2
        assert script.actions_of(Reject, request)
    assert script.router.policy.retries.budget.balance >= balance_before
    draws = script.count_draws(ANY_READ, requests=60)
    assert min(draws["a"], draws["b"]) >= 10
