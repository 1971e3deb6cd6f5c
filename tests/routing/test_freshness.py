"""Which log position a read needs, and which endpoints are known to have it."""

from __future__ import annotations

import pytest

from juniperreel.routing.policy import parameters
from juniperreel.routing.types import (
    Outcome,
    Role,
    StalenessGuard,
    StartHealthCheck,
)
from tests.routing.router_script import (
    MS,
    SEC,
    Script,
    press_primary,
)


def test_bounded_read_needs_a_known_fresh_position_when_sent() -> None:
    s = Script()
    s.group("a")
    assert s.sends[s.ask("read")] == ["a"]
    s.now += 300 * MS
    assert s.sends[s.ask("read")] == ["a"]  # exactly at the bound
    s.now += 1
    r = s.ask("read")
    assert r not in s.sends and StartHealthCheck("a") in s.last
    s.probed("a", False, lag_us=300 * MS + 1)
    assert r not in s.sends
    s.probed("a", False, lag_us=300 * MS)
    assert s.sends[r] == ["a"]


def test_session_read_waits_for_its_write() -> None:
    s = Script()
    s.group("a")
    assert s.sends[s.ask("own")] == ["a"]
    w = s.ask("write")
    s.now += 40 * MS
    s.end(w, role=Role.PRIMARY, position_us=s.now)
    press_primary(s)
    r = s.ask("own")
    assert r not in s.sends
    assert s.sends[s.ask("own", session="other")] == ["a"]
    s.probed("a", False, lag_us=1)
    assert r not in s.sends
    s.probed("a", False)
    assert s.sends[r] == ["a"]


def test_forgotten_sessions_leave_a_floor(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parameters, "MAX_SESSIONS", 2)
    s = Script()
    s.group("a")
    for i in range(3):
        w = s.ask("write", session=f"s{i}")
        s.now += MS
        s.end(w, role=Role.PRIMARY, position_us=s.now)
    press_primary(s)
    old, unknown = s.ask("own", session="s0"), s.ask("own", session="never wrote")
    assert old not in s.sends and unknown not in s.sends
    s.probed("a", False)
    assert s.sends[old] == s.sends[unknown] == ["a"]


def test_fresh_read_never_goes_looking_for_the_primary() -> None:
    """A replica would answer it, from old data."""
    s = Script()
    s.group("a", "b")
    s.end(s.ask("write"), Outcome.RESET)
    r = s.ask("current")
    s.wait(3 * SEC)
    assert not {"a", "b"} & set(s.sends.get(r, []))


def test_slightly_behind_replica_is_tried_where_members_check() -> None:
    s = Script(staleness_guard=StalenessGuard.REFUSE)
    s.group("a")
    s.now += 350 * MS
    r = s.ask("read")
    assert s.sends[r] == ["a"]
    s.end(r, Outcome.INELIGIBLE, role=Role.REPLICA)
    assert s.sends[r] == ["a", "p"]


def test_old_sessions_sink_into_the_floor_by_age() -> None:
    s = Script()
    s.group("a")
    for i in range(300):
        s.wait(SEC)
        w = s.ask("write", session=f"s{i}")
        s.end(w, role=Role.PRIMARY, position_us=s.now)
    assert len(s.router.state.sessions) <= parameters.SESSION_TTL_US // SEC + 1
    floor = s.router.state.groups[0].session_watermark_us
    assert s.now - parameters.SESSION_TTL_US - 2 * SEC <= floor < s.now - parameters.SESSION_TTL_US
    press_primary(s)
    old = s.ask("own", session="s0")
    assert old not in s.sends  # nothing is known of the replica since: it must show what was forgotten
    s.probed("a", False, lag_us=1)
    assert s.sends[old] == ["a"]
