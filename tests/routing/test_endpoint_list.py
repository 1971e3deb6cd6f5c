"""Updates and polling of the endpoint list."""

from __future__ import annotations

from itertools import pairwise

import pytest

from juniperreel.routing.endpoint_state import DISTANT_PAST_US
from juniperreel.routing.policy import parameters
from juniperreel.routing.types import Readiness, StartHealthCheck, Subscribe, UpdateKind
from tests.routing.router_script import (
    ANY_READ,
    BOUNDED_READ,
    MS,
    PRIMARY,
    SEC,
    WRITE,
    RouterScript,
    endpoint,
)


def test_draining_replica_gets_no_new_requests() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    script.update_endpoints(endpoint("a", readiness=Readiness.DRAINING), kind=UpdateKind.DELTA)
    assert set(script.count_draws(ANY_READ, requests=30)) == {"b"}


def test_draining_primary_gets_writes_for_half_of_the_grace_only() -> None:
    script = RouterScript()
    script.start_group("a")
    script.update_endpoints(endpoint(PRIMARY, readiness=Readiness.DRAINING), kind=UpdateKind.DELTA)
    assert script.endpoints_tried(script.submit_request(WRITE)) == [PRIMARY]
    script.run_for(1000 * MS)  # exactly half of the grace
    write = script.submit_request(WRITE)
    assert script.endpoints_tried(write) == []
    assert StartHealthCheck("a") in script.last_actions
    script.pass_health_check("a", is_primary=True)
    assert script.endpoints_tried(write) == ["a"]


def test_subscription_after_a_cached_list_is_opened_and_after_a_failure_opened_again() -> None:
    script = RouterScript(must_poll=True)
    script.update_endpoints(endpoint("a"))
    assert Subscribe(enabled=True) in script.run_for(500 * MS)
    script.update_endpoints(kind=UpdateKind.FAILED)
    assert Subscribe(enabled=True) in script.run_for(1100 * MS)


def test_watch_that_timed_out_is_opened_again_at_once() -> None:
    """Updates missed by a silent watch take effect anyway.

    If hundreds of routers spread their calls over seconds, they would send to draining endpoints.
    """
    script = RouterScript(must_poll=True, router_count=400)
    script.update_endpoints(endpoint("a"))
    script.run_for(5 * SEC)
    script.update_endpoints(kind=UpdateKind.TIMED_OUT)
    assert Subscribe(enabled=True) in script.last_actions


@pytest.mark.parametrize("router_count", [3, 200, 1000])
@pytest.mark.parametrize(
    "must_poll, latest_us",
    [
        # Polled updates take effect after 6 s, and a call may take 1.5 s of that.
        pytest.param(True, 4500 * MS, id="polled"),
        # Pushed updates take effect as soon as discovery has recovered and the operators' agent has them, so
        # only the drain grace is left.
        pytest.param(False, 750 * MS, id="pushed"),
    ],
)
def test_call_after_a_failed_one_comes_before_what_it_tells_binds(
    must_poll: bool, latest_us: int, router_count: int
) -> None:
    for seed in range(30):
        script = RouterScript(seed, must_poll=must_poll, router_count=router_count, drain_grace_us=1500 * MS)
        script.update_endpoints(endpoint("a"))
        script.run_for(20 * SEC)
        script.update_endpoints(kind=UpdateKind.FAILED)
        assert Subscribe(enabled=True) in script.run_for(latest_us + 20 * MS)


def test_calls_after_failed_ones_are_spread_over_the_whole_time_that_a_large_fleet_has() -> None:
    pauses_us = []
    for seed in range(200):
        script = RouterScript(seed, must_poll=True, router_count=1000)
        script.update_endpoints(endpoint("a"), kind=UpdateKind.SNAPSHOT)
        script.update_endpoints(kind=UpdateKind.FAILED)
        pauses_us.append(script.router.policy.endpoints.next_poll_us - script.now_us)
    pauses_us.sort()
    assert pauses_us[0] >= SEC
    assert pauses_us[100] < 3500 * MS
    assert max(later - earlier for earlier, later in pairwise(pauses_us)) < 200 * MS


@pytest.mark.parametrize("failure", [UpdateKind.FAILED, UpdateKind.TIMED_OUT])
def test_draining_primary_of_a_list_that_comes_late_gets_nothing(failure: UpdateKind) -> None:
    """Its grace, which starts when the drain takes effect, may have expired."""
    script = RouterScript()
    script.start_group("a")
    script.update_endpoints(kind=UpdateKind.DELTA)
    script.update_endpoints(kind=failure)
    script.update_endpoints(endpoint(PRIMARY, readiness=Readiness.DRAINING), kind=UpdateKind.DELTA)
    assert script.endpoints_tried(script.submit_request(WRITE)) == []


def test_removed_endpoints_after_their_ttl_are_forgotten_and_may_come_back() -> None:
    """Found in the soak scenario: endpoints are replaced for hours, and none was removed from memory."""
    script = RouterScript()
    script.start_group("a", "b")
    for number in range(200):
        name = f"n{number}"
        script.run_for(5 * SEC)
        script.update_endpoints(endpoint(name), kind=UpdateKind.DELTA)
        script.update_endpoints(endpoint(name, readiness=Readiness.REMOVED), kind=UpdateKind.DELTA)
    assert len(script.router.state.endpoints) < 3 + 2 * parameters.REMOVED_ENDPOINT_TTL_US // (5 * SEC)
    script.update_endpoints(endpoint("n0"), kind=UpdateKind.DELTA)
    assert script.endpoint_state("n0").position_us == DISTANT_PAST_US
    read = script.submit_request(BOUNDED_READ)
    assert script.endpoints_tried(read) != ["n0"]


def test_primary_that_is_forgotten_is_searched_for() -> None:
    script = RouterScript()
    script.start_group("a", "b")
    script.update_endpoints(endpoint(PRIMARY, readiness=Readiness.REMOVED), kind=UpdateKind.DELTA)
    script.run_for(parameters.REMOVED_ENDPOINT_TTL_US + SEC)
    script.update_endpoints(kind=UpdateKind.DELTA)
    assert PRIMARY not in script.router.state.endpoints
    write = script.submit_request(WRITE)
    assert script.endpoints_tried(write) == []
    assert {"a", "b"} <= {check.endpoint for check in script.actions_of(StartHealthCheck)}
