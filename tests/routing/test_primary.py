"""Which endpoint is the primary, and how one is searched for."""

from __future__ import annotations

from juniperreel.routing.types import (
    HealthCheckEnded,
    LoadReport,
    Outcome,
    Role,
    Send,
    StartHealthCheck,
)
from tests.routing.router_script import (
    MS,
    SEC,
    Script,
    member,
)


def test_successor_is_found_by_probes() -> None:
    s = Script()
    s.group("a", "b")
    r = s.ask("write")
    s.end(r, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert s.sends[r] == ["p"] and {StartHealthCheck("a"), StartHealthCheck("b")} <= set(s.last)
    s.probed("a", False)
    s.probed("b", True)
    assert s.sends[r] == ["p", "b"]


def test_successor_is_found_in_turn_where_probes_are_not_allowed() -> None:
    s = Script(health_checks=False)
    s.start(member("a"), member("b"), member("p", listed_primary=True))
    r = s.ask("write")
    for _ in range(3):
        s.end(r, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert s.sends[r][0] == "p" and {"a", "b"} <= set(s.sends[r])


def test_silent_primary_loses_its_writes_to_the_successor() -> None:
    s = Script()
    s.group("a")
    r = s.ask("write")
    assert s.did(Send, r)[0].timeout_us == 1 * SEC  # worth half when late: awaited to its aim
    s.wait(900 * MS)
    s.end(r, Outcome.CANCELLED)
    s.batch(HealthCheckEnded("p", Outcome.UNREACHABLE, MS, None))
    s.wait(40 * MS)
    s.probed("a", True)
    s.wait(40 * MS)
    assert s.sends[r][1] == "a"


def test_search_for_a_primary_is_spaced() -> None:
    """perth-boards-later big-2: a pause drawn anew at each tick let the shortest draw win."""
    s = Script()
    s.group("a", "b")
    s.end(s.ask("write"), Outcome.INELIGIBLE, role=Role.REPLICA)
    before = len(s.did(StartHealthCheck))
    for _ in range(10):
        s.wait(100 * MS)
        for name in ("a", "b", "p"):
            s.batch(HealthCheckEnded(name, Outcome.OK, MS, LoadReport(s.now, False)))
    assert 0 < len(s.did(StartHealthCheck)) - before <= 6


def test_the_listed_primary_takes_writes_until_it_says_otherwise() -> None:
    """Seen on the fleet's days: with one replica's answer heard, every router probed whole groups."""
    s = Script()
    s.start(member("a"), member("b"), member("p", listed_primary=True))
    r = s.ask("loose")
    s.end(r, role=Role.REPLICA)
    assert s.sends[s.ask("write")] == ["p"] and not s.did(StartHealthCheck)
    w = s.ask("write")
    s.end(w, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert s.sends[w] == ["p"] and {p.endpoint for p in s.did(StartHealthCheck)} == {"a", "b", "p"}
