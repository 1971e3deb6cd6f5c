"""Race conditions: events that arrive between a request's arrival and its sending or its answer."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from juniperreel.routing.types import DeadlineShortened, Outcome, Readiness, Reject, Role, UpdateKind
from tests.routing.router_script import (
    ANY_READ,
    BOUNDED_READ,
    FRESH_READ,
    MS,
    PRIMARY,
    SEC,
    SESSION,
    SESSION_READ,
    WRITE,
    RouterScript,
    classes_with,
    endpoint,
)

FIRST_ATTEMPT = 0


def script_with_one_replica(**settings: Any) -> RouterScript:
    """A router with one replica that has applied everything up to now."""
    script = RouterScript(**settings)
    script.start_group("a")
    return script


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR, Outcome.CANCELLED])
def test_session_read_after_a_write_that_may_have_been_executed_needs_its_commit(outcome: Outcome) -> None:
    """The write's response was lost, but the write may have been committed before its attempt ended."""
    script = script_with_one_replica()
    write = script.submit_request(WRITE)
    script.advance_clock(300 * MS)
    script.end_attempt(write, outcome, request_finished=True)
    script.set_position("a", lag_us=1)
    assert "a" not in script.endpoints_tried(script.submit_request(SESSION_READ))
    script.set_position("a")
    assert script.endpoints_tried(script.submit_request(SESSION_READ)) == ["a"]
    assert script.endpoints_tried(script.submit_request(SESSION_READ, session="other")) == ["a"]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.INELIGIBLE])
def test_session_read_after_a_write_that_was_not_executed_needs_nothing_newer(outcome: Outcome) -> None:
    script = script_with_one_replica()
    write = script.submit_request(WRITE)
    script.advance_clock(300 * MS)
    script.end_attempt(write, outcome, request_finished=True)
    script.set_position("a", lag_us=SEC)
    assert script.endpoints_tried(script.submit_request(SESSION_READ)) == ["a"]


@pytest.mark.parametrize(
    "responses_may_be_lost, expected_endpoint",
    [pytest.param(True, PRIMARY, id="may-be-lost"), pytest.param(False, "a", id="never-lost")],
)
def test_session_read_while_a_write_of_its_session_is_in_flight_needs_the_primary_if_responses_may_be_lost(
    responses_may_be_lost: bool, expected_endpoint: str
) -> None:
    script = script_with_one_replica(responses_may_be_lost=responses_may_be_lost)
    script.submit_request(WRITE)
    # No response can have been sent yet.
    assert script.endpoints_tried(script.submit_request(SESSION_READ)) == ["a"]
    script.advance_clock(300 * MS)
    script.set_position("a", lag_us=1)
    assert script.endpoints_tried(script.submit_request(SESSION_READ)) == [expected_endpoint]
    assert script.endpoints_tried(script.submit_request(SESSION_READ, session="other")) == ["a"]
    own_read = script.submit_request(SESSION_READ, group=0, session=SESSION)
    assert script.endpoints_tried(own_read) == [expected_endpoint]


def test_session_read_retried_after_a_write_of_its_session_needs_the_commit() -> None:
    """A write of the session completes between the read's failed first attempt and its retry."""
    script = script_with_one_replica()
    script.set_position("a")
    read = script.submit_request(SESSION_READ)
    write = script.submit_request(WRITE)
    script.advance_clock(100 * MS)
    script.set_position("a")
    script.end_attempt(write, position_us=script.now_us + 50 * MS)
    script.end_attempt(read, Outcome.NOT_SENT)
    script.run_for(40 * MS)
    assert script.endpoints_tried(read)[1:] in ([], [PRIMARY])


def test_role_and_position_in_a_response_that_was_cut_off_are_observed() -> None:
    script = script_with_one_replica()
    write = script.submit_request(WRITE)
    script.advance_clock(300 * MS)
    script.end_attempt(write, Outcome.TIMEOUT, role=Role.REPLICA, position_us=script.now_us - 100 * MS)
    assert script.router.state.groups[0].primary is None
    assert script.endpoint_state(PRIMARY).position_us == script.now_us - 101 * MS


def test_send_of_a_bounded_read_is_confirmed_only_while_its_endpoint_is_fresh() -> None:
    script = script_with_one_replica()
    script.set_position("a", lag_us=250 * MS)
    read = script.submit_request(BOUNDED_READ)
    assert script.endpoints_tried(read) == ["a"]
    at_the_bound_us = script.now_us + 50 * MS
    beyond_the_bound_us = script.now_us + 51 * MS
    assert script.router.confirm_send(at_the_bound_us, read, FIRST_ATTEMPT)
    assert not script.router.confirm_send(beyond_the_bound_us, read, FIRST_ATTEMPT)
    script.set_position("a")
    assert script.router.confirm_send(beyond_the_bound_us, read, FIRST_ATTEMPT)


def test_send_of_a_request_whose_client_disconnected_is_not_confirmed() -> None:
    script = script_with_one_replica()
    read = script.submit_request(BOUNDED_READ)
    assert script.endpoints_tried(read) == ["a"]
    assert script.router.confirm_send(script.now_us, read, FIRST_ATTEMPT)
    script.disconnect_client(read)
    assert not script.router.confirm_send(script.now_us, read, FIRST_ATTEMPT)


def test_send_of_a_keyed_repeat_is_confirmed_only_within_the_window_of_its_key() -> None:
    """On a connection established too late, the endpoint would treat the repeat as a new write."""
    short_window_write = replace(WRITE, deduplication_window_us=1 * SEC)
    script = script_with_one_replica(classes=classes_with(short_window_write))
    write = script.submit_request(WRITE)
    script.advance_clock(500 * MS)
    script.end_attempt(write, Outcome.RESET)
    script.run_for(100 * MS)
    assert len(script.endpoints_tried(write)) == 2
    within_us = script.now_us + 300 * MS
    beyond_us = script.now_us + 400 * MS
    assert script.router.confirm_send(within_us, write, FIRST_ATTEMPT + 1)
    assert not script.router.confirm_send(beyond_us, write, FIRST_ATTEMPT + 1)


def test_send_of_a_keyed_write_that_was_not_executed_is_confirmed_whatever_its_window() -> None:
    short_window_write = replace(WRITE, deduplication_window_us=1 * SEC)
    script = script_with_one_replica(classes=classes_with(short_window_write))
    write = script.submit_request(WRITE)
    script.end_attempt(write, Outcome.REJECTED)
    script.run_for(100 * MS)
    assert len(script.endpoints_tried(write)) == 2
    assert script.router.confirm_send(script.now_us + 2 * SEC, write, FIRST_ATTEMPT + 1)


def test_send_of_a_request_whose_time_is_up_is_not_confirmed() -> None:
    """A stalled event loop may process the new connection before the deadline."""
    script = script_with_one_replica()
    read = script.submit_request(ANY_READ, deadline_in_us=400 * MS)
    assert script.router.confirm_send(script.now_us + 350 * MS, read, FIRST_ATTEMPT)
    assert not script.router.confirm_send(script.now_us + 400 * MS, read, FIRST_ATTEMPT)


def test_send_of_a_fresh_read_to_a_primary_that_stepped_down_is_not_confirmed() -> None:
    script = script_with_one_replica()
    fresh_read = script.submit_request(FRESH_READ)
    write = script.submit_request(WRITE)
    assert script.router.confirm_send(script.now_us, fresh_read, FIRST_ATTEMPT)
    assert script.router.confirm_send(script.now_us, write, FIRST_ATTEMPT)
    script.router.policy.primaries.observe_role(script.endpoint_state(PRIMARY), Role.REPLICA)
    assert not script.router.confirm_send(script.now_us, fresh_read, FIRST_ATTEMPT)
    # A write is safe to send: a replica rejects it as ineligible.
    assert script.router.confirm_send(script.now_us, write, FIRST_ATTEMPT)


def test_send_to_a_draining_endpoint_is_confirmed_for_a_primary_in_half_of_its_grace_only() -> None:
    script = script_with_one_replica()
    read = script.submit_request(ANY_READ)
    write = script.submit_request(WRITE)
    script.update_endpoints(
        endpoint("a", readiness=Readiness.DRAINING),
        endpoint(PRIMARY, readiness=Readiness.DRAINING),
        kind=UpdateKind.DELTA,
    )
    half_of_the_grace_us = script.settings.drain_grace_us // 2
    assert not script.router.confirm_send(script.now_us, read, FIRST_ATTEMPT)
    assert script.router.confirm_send(script.now_us, write, FIRST_ATTEMPT)
    assert not script.router.confirm_send(script.now_us + half_of_the_grace_us, write, FIRST_ATTEMPT)


def test_deadline_shortened_while_a_request_is_queued_rejects_it_by_then() -> None:
    script = script_with_one_replica()
    for name in list(script.router.state.endpoints):
        script.eject_until(name, script.now_us + 60 * SEC)
    queued = script.submit_request(WRITE)
    script.process(DeadlineShortened(queued, script.now_us + 500 * MS))
    script.process(DeadlineShortened(queued, script.now_us + 900 * MS))  # does not extend the deadline
    script.run_for(500 * MS)
    (rejected,) = script.actions_of(Reject, queued)
    assert rejected.request == queued
    script.process(DeadlineShortened("unknown", script.now_us))


def test_endpoint_that_restarted_while_others_serve_warms_up_again() -> None:
    """The same endpoint is listed with a later start time: it must not get full load at once."""
    script = script_with_one_replica()
    slow_start = script.router.policy.slow_start
    assert slow_start.capacity_fraction(script.endpoint_state("a")) == 1.0
    script.advance_clock(SEC)
    script.update_endpoints(
        endpoint(PRIMARY, listed_primary=True),
        endpoint("a", started_us=script.now_us),
        kind=UpdateKind.SNAPSHOT,
    )
    assert slow_start.capacity_fraction(script.endpoint_state("a")) < 0.25
    script.set_position("a")
    reads = [script.submit_request(ANY_READ) for _ in range(20)]
    assert sum(script.endpoints_tried(read) == ["a"] for read in reads) <= 1
