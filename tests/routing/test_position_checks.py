"""Health checks that determine which replicas are fresh enough for a read."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from juniperreel.routing.types import Role, StartHealthCheck
from tests.routing.router_script import (
    BOUNDED_READ,
    MS,
    PRIMARY,
    SEC,
    SESSION_READ,
    WRITE,
    RouterScript,
)

UNKNOWN_FRESHNESS_US = 400 * MS  # beyond the bound of a bounded read


def test_bounded_read_after_checks_without_a_fresh_replica_is_sent_to_the_primary() -> None:
    script = RouterScript()
    script.start_group("a")
    script.end_attempt(script.submit_request(WRITE), role=Role.PRIMARY, position_us=script.now_us)
    script.advance_clock(UNKNOWN_FRESHNESS_US)
    read = script.submit_request(BOUNDED_READ)
    for _ in range(20):
        script.run_for(20 * MS)
        script.pass_health_check("a", lag_us=2 * SEC)
    assert script.endpoints_tried(read) == [PRIMARY]


def test_bounded_read_with_little_time_gets_a_first_position_check() -> None:
    """Scenario give_up: reads without time for a check overloaded the primaries instead."""
    script = RouterScript()
    script.start_group("a")
    script.advance_clock(UNKNOWN_FRESHNESS_US)
    read = script.submit_request(BOUNDED_READ, deadline_in_us=260 * MS)
    assert StartHealthCheck("a") in script.last_actions
    assert script.endpoints_tried(read) == []
    script.pass_health_check("a")
    assert script.endpoints_tried(read) == ["a"]


@dataclass(frozen=True)
class StaleReads:
    """Endpoints chosen for reads without a known fresh replica, and the health checks they needed."""

    draws: Counter[str]
    health_checks: int


def send_stale_reads(primary_is_busy: bool, reads: int = 400) -> StaleReads:
    """Submit reads so far apart that no replica is known to be fresh for any of them."""
    script = RouterScript()
    script.start_group("a", "b", "c")
    script.make_primary_idle()
    for name in ("a", "b", "c", PRIMARY):
        script.set_srtt(name, 50.0 * MS)
    draws: Counter[str] = Counter()
    for _ in range(reads):
        script.run_for(UNKNOWN_FRESHNESS_US)
        if primary_is_busy:
            script.make_primary_busy()
        else:
            script.make_primary_idle()
        read = script.submit_request(BOUNDED_READ)
        for action in script.last_actions:
            if isinstance(action, StartHealthCheck):
                script.pass_health_check(action.endpoint)
        drawn = script.first_endpoint(read)
        draws[drawn] += 1
        script.end_attempt(read, role=Role.PRIMARY if drawn == PRIMARY else Role.REPLICA)
    return StaleReads(draws, len(script.actions_of(StartHealthCheck)))


def test_draw_of_whom_to_check_while_the_primary_has_capacity_includes_it() -> None:
    stale_reads = send_stale_reads(primary_is_busy=False)
    total = stale_reads.draws.total()
    on_primary = stale_reads.draws[PRIMARY]
    assert 0.17 < on_primary / total < 0.33
    assert stale_reads.health_checks == total - on_primary


def test_draw_of_whom_to_check_while_the_primary_is_busy_excludes_it() -> None:
    stale_reads = send_stale_reads(primary_is_busy=True)
    assert stale_reads.draws[PRIMARY] == 0
    assert stale_reads.health_checks == stale_reads.draws.total()


def started_health_check(script: RouterScript) -> StartHealthCheck:
    """The one health check of the last batch."""
    (health_check,) = (action for action in script.last_actions if isinstance(action, StartHealthCheck))
    return health_check


def script_with_slow_idle_primary() -> RouterScript:
    """A router whose primary is rarely drawn, given the small initial srtt of the replicas."""
    script = RouterScript()
    script.start_group("a", "b", "c")
    script.make_primary_idle()
    script.set_srtt(PRIMARY, 200.0 * MS)
    for name in "abc":
        script.endpoint_state(name).has_responded = True
    return script


def test_check_that_finds_no_fresh_replica_is_repeated_only_while_the_primary_is_busy() -> None:
    script = script_with_slow_idle_primary()
    script.advance_clock(UNKNOWN_FRESHNESS_US)
    read = script.submit_request(BOUNDED_READ)
    script.pass_health_check(started_health_check(script).endpoint, lag_us=2 * SEC)
    assert script.endpoints_tried(read) == [PRIMARY]
    script.make_primary_busy()
    script.advance_clock(UNKNOWN_FRESHNESS_US)
    read = script.submit_request(BOUNDED_READ)
    stale_check = started_health_check(script)
    script.pass_health_check(stale_check.endpoint, lag_us=2 * SEC)
    assert script.endpoints_tried(read) == []
    assert script.actions_of(StartHealthCheck)[-1] != stale_check


def test_session_read_after_a_write_delays_its_check_until_a_report_can_show_the_commit() -> None:
    """Load reports have some age, so a check sent at once cannot show the latest write."""
    script = RouterScript()
    script.start_group("a")
    for _ in range(200):
        script.advance_clock(400 * MS)
        script.pass_health_check("a", lag_us=150 * MS)
    write = script.submit_request(WRITE)
    script.advance_clock(40 * MS)
    script.end_attempt(write, role=Role.PRIMARY, position_us=script.now_us)
    script.make_primary_busy()
    read = script.submit_request(SESSION_READ)
    checks_before = len(script.actions_of(StartHealthCheck))
    script.run_for(120 * MS)
    assert len(script.actions_of(StartHealthCheck)) == checks_before
    assert script.endpoints_tried(read) == []
    script.run_for(60 * MS)
    assert len(script.actions_of(StartHealthCheck)) == checks_before + 1
    script.pass_health_check("a", lag_us=150 * MS)
    assert script.endpoints_tried(read) == ["a"]
