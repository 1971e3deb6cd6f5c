"""How much is sent to an endpoint that is warming up."""

from __future__ import annotations

from collections import Counter

import pytest

from juniperreel.routing.types import (
    ClientDisconnected,
    HealthCheckEnded,
    Outcome,
    Role,
    UpdateKind,
)
from tests.routing.router_script import (
    MS,
    SEC,
    Script,
    member,
)


def test_cold_member_gets_no_rush() -> None:
    s = Script()
    s.group("a", "b")
    for _ in range(40):
        s.end(s.ask("loose"))
        s.now += 20 * MS
    s.start(member("c", started_us=s.now), kind=UpdateKind.DELTA)
    picked = Counter(s.sends[s.ask("loose")][0] for _ in range(60))
    assert picked["c"] <= 12


def test_cold_bound_follows_answers_not_sends() -> None:
    """i426656: in overload warm members are sent far more than they answer."""
    s = Script()
    s.group("a")
    for _ in range(60):
        s.ask("loose")
        s.wait(20 * MS)
    assert s.router.parts.slow_start.peak_rate.per_second == 0.0


def test_refused_connection_is_no_cold_start_but_a_failed_probe_is() -> None:
    """conn_squeeze: members that take few connections are as warm as before."""
    for down in (False, True):
        s = Script()
        s.group("a")
        s.end(s.ask("loose"), Outcome.UNREACHABLE)
        if down:
            s.batch(HealthCheckEnded("a", Outcome.UNREACHABLE, MS, None))
        s.wait(3 * SEC)
        s.probed("a", False)
        s.end(s.ask("loose"), role=Role.REPLICA)
        assert (s.router.parts.slow_start.capacity_fraction(s.router.state.endpoints["a"]) < 1.0) is down


@pytest.mark.parametrize("routers", [2, 500])
def test_cold_budget_holds_for_all_routers_together(routers: int) -> None:
    """big-1 of perth-boards-later: one attempt a window for each of hundreds pushed a member over."""
    sent = 0
    for seed in range(60):
        s = Script(seed, router_count=routers)
        s.start(member("p", listed_primary=True), member("a", started_us=s.now))
        s.probed("p", True)
        s.probed("a", False)
        for _ in range(10):
            r = s.ask("loose", deadline_us=s.now + 150 * MS)
            sent += s.sends.get(r, []) == ["a"]
            s.wait(200 * MS)
            s.batch(ClientDisconnected(r))
    assert sent <= 60 * 2 * (2 / routers) + 3  # two windows of one attempt for all routers together


def test_a_member_that_was_only_silent_is_warm_when_it_is_back_and_a_dead_one_cold() -> None:
    for took, ramp in ((250 * MS, 1.0), (1 * MS, 0.2)):
        s = Script()
        s.group("a")
        for _ in range(3):
            s.batch(HealthCheckEnded("a", Outcome.UNREACHABLE, took, None))
            s.wait(600 * MS)
        s.router.parts.outliers.reinstate(s.router.state.endpoints["a"])
        assert s.router.parts.slow_start.capacity_fraction(s.router.state.endpoints["a"]) == pytest.approx(
            ramp
        )


def test_what_a_member_was_sent_while_warm_is_not_taken_from_its_cold_budget() -> None:
    s = Script()
    s.group("a")
    for _ in range(200):
        s.end(s.ask("loose"))
        s.now += 5 * MS
    state = s.router.state.endpoints["a"]
    assert state.slow_start.tokens >= 0
    state.down_since_us = s.now - 2 * SEC
    s.router.parts.outliers.reinstate(state)
    s.wait(1 * SEC)
    s.batch()
    assert s.router.parts.slow_start.has_capacity(state)
