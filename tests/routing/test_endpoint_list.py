"""Updates of the endpoint list, and when it is polled."""

from __future__ import annotations

from juniperreel.routing.policy import parameters
from juniperreel.routing.state import NEVER
from juniperreel.routing.types import (
    EndpointUpdate,
    Readiness,
    StartHealthCheck,
    Subscribe,
    UpdateKind,
)
from tests.routing.router_script import (
    MS,
    SEC,
    Script,
    member,
)


def test_draining_member_gets_nothing_new() -> None:
    s = Script()
    s.group("a", "b")
    s.start(member("a", readiness=Readiness.DRAINING), kind=UpdateKind.DELTA)
    assert {s.sends[s.ask("loose")][0] for _ in range(30)} == {"b"}


def test_draining_primary_keeps_writes_for_half_the_grace_only() -> None:
    s = Script()
    s.group("a")
    s.start(member("p", readiness=Readiness.DRAINING), kind=UpdateKind.DELTA)
    assert s.sends[s.ask("write")] == ["p"]
    s.wait(1000 * MS)  # exactly half the grace
    r = s.ask("write")
    assert r not in s.sends and StartHealthCheck("a") in s.last
    s.probed("a", True)
    assert s.sends[r] == ["a"]


def test_subscription_is_asked_for_and_again_after_a_failure() -> None:
    s = Script(must_poll=True)
    s.start(member("a"))
    assert any(isinstance(a, Subscribe) and a.enabled for a in s.wait(500 * MS))
    s.batch(EndpointUpdate(UpdateKind.FAILED, ()))
    assert any(isinstance(a, Subscribe) for a in s.wait(1100 * MS))


def test_a_watch_that_fell_silent_is_opened_anew_at_once() -> None:
    """What it misses counts as told; hundreds that spread their calls over seconds would send to members that
    drain."""
    s = Script(must_poll=True, router_count=400)
    s.start(member("a"))
    s.wait(5 * SEC)
    s.batch(EndpointUpdate(UpdateKind.TIMED_OUT, ()))
    assert any(isinstance(a, Subscribe) and a.enabled for a in s.last)


def test_members_that_are_gone_are_forgotten_and_may_come_back() -> None:
    """Seen on the soak day: members are replaced for hours, and each stayed in memory."""
    s = Script()
    s.group("a", "b")
    for i in range(200):
        s.wait(5 * SEC)
        s.batch(EndpointUpdate(UpdateKind.DELTA, (member(f"n{i}"),)))
        s.batch(EndpointUpdate(UpdateKind.DELTA, (member(f"n{i}", readiness=Readiness.REMOVED),)))
    assert len(s.router.state.endpoints) < 3 + 2 * parameters.REMOVED_ENDPOINT_TTL_US // (5 * SEC)
    s.batch(EndpointUpdate(UpdateKind.DELTA, (member("n0"),)))
    assert s.router.state.endpoints["n0"].position_us == NEVER
    r = s.ask("read")
    assert s.sends.get(r) != ["n0"]


def test_a_primary_that_is_forgotten_is_primary_no_more() -> None:
    s = Script()
    s.group("a", "b")
    s.batch(EndpointUpdate(UpdateKind.DELTA, (member("p", readiness=Readiness.REMOVED),)))
    s.wait(parameters.REMOVED_ENDPOINT_TTL_US + SEC)
    s.batch(EndpointUpdate(UpdateKind.DELTA, ()))
    assert "p" not in s.router.state.endpoints
    w = s.ask("write")
    assert w not in s.sends and {"a", "b"} <= {p.endpoint for p in s.did(StartHealthCheck)}
