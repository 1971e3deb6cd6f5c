"""Health checks that find out which replicas are fresh enough for a read."""

from __future__ import annotations

from collections import Counter

from juniperreel.routing.types import (
    Role,
    StartHealthCheck,
)
from tests.routing.router_script import (
    MS,
    SEC,
    Script,
    hear_primary,
    press_primary,
)


def test_read_goes_to_the_primary_once_looking_has_cost_its_time() -> None:
    s = Script()
    s.group("a")
    s.end(s.ask("write"), role=Role.PRIMARY, position_us=s.now)
    s.now += 400 * MS
    r = s.ask("read")
    for _ in range(20):
        s.wait(20 * MS)
        s.probed("a", False, lag_us=2 * SEC)
    assert s.sends[r] == ["p"]


def test_first_look_is_given_to_a_client_in_a_hurry() -> None:
    """give_up: reads that had no time for looking crowded the primaries instead."""
    s = Script()
    s.group("a")
    s.now += 400 * MS
    r = s.ask("read", deadline_us=s.now + 260 * MS)
    assert StartHealthCheck("a") in s.last and r not in s.sends
    s.probed("a", False)
    assert s.sends[r] == ["a"]


def blind_reads(pressed: bool, reads: int = 400) -> tuple[Counter[str], int]:
    """Where reads go that find no replica known fresh, and how many probes they cost."""
    s = Script()
    s.group("a", "b", "c")
    hear_primary(s)
    for name in "abcp":
        s.router.state.endpoints[name].srtt_us, s.router.state.endpoints[name].has_responded = 50.0 * MS, True
    went: Counter[str] = Counter()
    for _ in range(reads):
        s.wait(400 * MS)
        press_primary(s) if pressed else hear_primary(s)
        r = s.ask("read")
        for p in [a for a in s.last if isinstance(a, StartHealthCheck)]:
            s.probed(p.endpoint, False)
        went[s.sends[r][0]] += 1
        s.end(r, role=Role.PRIMARY if s.sends[r][0] == "p" else Role.REPLICA)
    return went, len(s.did(StartHealthCheck))


def test_the_primary_is_in_the_draw_for_whom_to_look_at_while_it_has_room() -> None:
    went, probes = blind_reads(pressed=False)
    assert 0.17 < went["p"] / went.total() < 0.33 and probes == went.total() - went["p"]
    went, probes = blind_reads(pressed=True)
    assert went["p"] == 0 and probes == went.total()


def test_a_look_in_vain_is_not_followed_by_more_while_the_primary_has_room() -> None:
    s = Script()
    s.group("a", "b", "c")
    hear_primary(s)
    p = s.router.state.endpoints["p"]
    p.srtt_us, p.has_responded = (
        200.0 * MS,
        True,
    )  # hardly ever drawn beside the small first srtt of the others
    for name in "abc":
        s.router.state.endpoints[name].has_responded = True
    s.now += 400 * MS
    r = s.ask("read")
    (look,) = (a for a in s.last if isinstance(a, StartHealthCheck))
    s.probed(look.endpoint, False, lag_us=2 * SEC)
    assert s.sends[r] == ["p"]
    press_primary(s)  # with no room there, other replicas are looked at
    s.now += 400 * MS
    r = s.ask("read")
    (look,) = (a for a in s.last if isinstance(a, StartHealthCheck))
    s.probed(look.endpoint, False, lag_us=2 * SEC)
    assert r not in s.sends and s.did(StartHealthCheck)[-1] != look


def test_a_session_read_waits_until_a_probe_can_tell_of_its_write() -> None:
    """Reports are some age when a probe brings them: one sent at once can't show what was just written."""
    s = Script()
    s.group("a")
    for _ in range(200):
        s.now += 400 * MS
        s.probed("a", False, lag_us=150 * MS)
    w = s.ask("write")
    s.now += 40 * MS
    s.end(w, role=Role.PRIMARY, position_us=s.now)
    press_primary(s)
    r, count = s.ask("own"), len(s.did(StartHealthCheck))
    s.wait(120 * MS)
    assert len(s.did(StartHealthCheck)) == count and r not in s.sends
    s.wait(60 * MS)
    assert len(s.did(StartHealthCheck)) == count + 1
    s.probed("a", False, lag_us=150 * MS)
    assert s.sends[r] == ["a"]
