"""Tracking of the primary, and the search for it."""

from __future__ import annotations

from juniperreel.routing.types import Outcome, Role, Send, StartHealthCheck
from tests.routing.router_script import ANY_READ, MS, PRIMARY, SEC, WRITE, RouterScript, endpoint


def test_write_after_the_primary_stepped_down_is_sent_to_the_successor_found_by_health_checks() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    write = script.submit_request(WRITE)
    script.end_attempt(write, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert script.endpoints_tried(write) == [PRIMARY]
    assert {StartHealthCheck("a"), StartHealthCheck("b")} <= set(script.last_actions)
    script.pass_health_check("a")
    script.pass_health_check("b", is_primary=True)
    assert script.endpoints_tried(write) == [PRIMARY, "b"]


def test_write_without_a_primary_where_health_checks_are_not_allowed_tries_endpoints_in_turn() -> None:
    script = RouterScript(health_checks=False)
    script.update_endpoints(endpoint("a"), endpoint("b"), endpoint(PRIMARY, listed_primary=True))
    write = script.submit_request(WRITE)
    for _ in range(3):
        script.end_attempt(write, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert script.first_endpoint(write) == PRIMARY
    assert {"a", "b"} <= set(script.endpoints_tried(write))


def test_write_on_a_primary_that_fell_silent_is_retried_on_the_successor() -> None:
    script = RouterScript()
    script.start_group("a")
    write = script.submit_request(WRITE)
    # A late response is worth half, so it is awaited only up to the latency objective.
    assert script.actions_of(Send, write)[0].timeout_us == WRITE.latency_objective_us == 1 * SEC
    script.run_for(900 * MS)
    script.end_attempt(write, Outcome.CANCELLED)
    script.fail_health_check(PRIMARY)
    script.run_for(40 * MS)
    script.pass_health_check("a", is_primary=True)
    script.run_for(40 * MS)
    assert script.endpoints_tried(write)[1] == "a"


def test_search_for_a_primary_that_none_claims_to_be_is_spaced() -> None:
    """Scenario perth-boards-later big-2: an interval drawn at each tick made the shortest one decide."""
    script = RouterScript()
    script.start_group("a", "b")
    script.end_attempt(script.submit_request(WRITE), Outcome.INELIGIBLE, role=Role.REPLICA)
    checks_before = len(script.actions_of(StartHealthCheck))
    for _ in range(10):
        script.run_for(100 * MS)
        for name in ("a", "b", PRIMARY):
            script.pass_health_check(name, is_primary=False)
    checks = len(script.actions_of(StartHealthCheck)) - checks_before
    assert 0 < checks <= 6


def test_listed_primary_takes_writes_until_it_responds_as_a_replica() -> None:
    """Guards against routers health-checking whole groups after observing only a replica's response."""
    script = RouterScript()
    script.update_endpoints(endpoint("a"), endpoint("b"), endpoint(PRIMARY, listed_primary=True))
    read = script.submit_request(ANY_READ)
    script.end_attempt(read, role=Role.REPLICA)
    assert script.endpoints_tried(script.submit_request(WRITE)) == [PRIMARY]
    assert not script.actions_of(StartHealthCheck)
    write = script.submit_request(WRITE)
    script.end_attempt(write, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert script.endpoints_tried(write) == [PRIMARY]
    checked = {check.endpoint for check in script.actions_of(StartHealthCheck)}
    assert checked == {"a", "b", PRIMARY}
