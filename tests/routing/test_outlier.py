"""Which endpoints are ejected, and when they are reinstated."""

from __future__ import annotations

from collections import Counter

from juniperreel.routing.types import (
    Outcome,
    Role,
)
from tests.routing.router_script import (
    MS,
    Script,
    member,
)


def test_suspect_member_returns_without_probes() -> None:
    s = Script(health_checks=False)
    s.start(member("a"))
    r = s.ask("loose")
    s.end(r, Outcome.RESET)
    assert s.sends[r] == ["a"]
    s.wait(400 * MS)
    assert s.sends[r] == ["a", "a"]
    s.end(r, role=Role.REPLICA)
    assert s.sends[s.ask("loose")] == ["a"]


def test_slow_request_is_not_its_members_fault() -> None:
    """heavy_tail: the member answered others meanwhile."""
    s = Script()
    s.group("a")
    s.end(s.ask("loose"), duration_us=50 * MS)
    slow = s.ask("loose")
    s.now += 400 * MS
    s.end(s.ask("loose"), duration_us=50 * MS)
    srtt = s.router.state.endpoints["a"].srtt_us
    s.end(slow, Outcome.CANCELLED, duration_us=500 * MS)
    assert s.router.state.endpoints["a"].srtt_us == srtt


def test_suspect_replica_returns_while_others_serve() -> None:
    """A member in doubt stayed out for as long as any other could take the reads."""
    s = Script()
    s.group("a", "b")
    while s.sends[r := s.ask("loose")][0] != "a":
        s.end(r, role=Role.REPLICA)
    s.end(r, Outcome.UNREACHABLE)
    s.end(r, role=Role.REPLICA)
    s.wait(300 * MS)
    s.end(s.ask("loose"), role=Role.REPLICA)
    s.probed("a", False)
    picked = Counter[str]()
    for _ in range(30):
        r = s.ask("loose")
        picked[s.sends[r][0]] += 1
        s.end(r, role=Role.REPLICA)
    assert picked["a"] > 0


def test_shared_losses_put_no_member_in_doubt() -> None:
    """answer_lost: where half the group loses answers the draw alone decides."""
    s = Script()
    s.group("a", "b", "c")
    for _ in range(40):
        r = s.ask("loose", deadline_us=s.now + 90 * MS)
        if r in s.sends:
            s.end(r, Outcome.RESET)
        s.wait(500 * MS)
    assert sum(m.ejected for m in s.router.state.endpoints.values()) <= 2


def test_a_reset_is_no_pressure_and_no_silence() -> None:
    s = Script()
    s.group("a", "b")
    for _ in range(6):
        r = s.ask("loose")
        s.end(r, Outcome.RESET)
        s.end(r)
    for name in ("a", "b"):
        state = s.router.state.endpoints[name]
        assert not state.ejected and state.pressure.value(s.now) < 0.5
    assert min(s.router.state.endpoints[n].success_rate.value for n in ("a", "b")) < 1.0


def test_one_refused_connection_is_chance_and_two_in_a_row_are_a_doubt() -> None:
    s = Script()
    s.group("a", "b")
    state = s.router.state.endpoints["a"]
    for expected in (False, True):
        s.router.parts.outliers.record_loss(state, Outcome.UNREACHABLE)
        assert state.ejected is expected


def test_a_try_with_little_time_says_nothing_of_a_member_that_answers_others() -> None:
    s = Script()
    s.group("a")
    s.end(s.ask("loose"))
    for _ in range(6):
        r = s.ask("loose", deadline_us=s.now + 60 * MS)
        s.now += 50 * MS
        s.end(s.ask("loose"))
        s.end(r, Outcome.TIMEOUT, duration_us=50 * MS)
    state = s.router.state.endpoints["a"]
    assert not state.ejected and state.pressure.value(s.now) < 0.3
