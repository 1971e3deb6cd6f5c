"""Each measure of spread on independent arrivals, and on a violation planted in them."""

from __future__ import annotations

import math
import random

import pytest

from juniperreel.verification import records as rec
from juniperreel.verification import spread
from juniperreel.verification.spread import SECOND, Arrival, Bounds

MEMBERS = [f"r{i}" for i in range(8)]
UNTIL = 30 * SECOND


def chance(rate: float = 60.0, seed: int = 1, members: list[str] = MEMBERS) -> list[Arrival]:
    """Independent arrivals at every member."""
    rng, came = random.Random(seed), []
    for member in members:
        at = rng.expovariate(rate)
        while at < UNTIL / SECOND:
            came.append(Arrival(int(at * SECOND), member, f"d{rng.randrange(20)}"))
            at += rng.expovariate(rate)
    return sorted(came, key=lambda a: a.at)


ALL = Bounds()


def measures(came: list[Arrival], bounds: Bounds = ALL, weight: spread.Weight = spread.even) -> set[str]:
    return {f.measure for f in spread.judge(came, MEMBERS, 0, UNTIL, bounds, weight)}


@pytest.mark.parametrize("seed", range(5))
def test_chance_breaks_nothing(seed: int) -> None:
    assert measures(chance(seed=seed)) == set()
    assert 0.75 < spread.dispersion(spread.cells(chance(seed=seed), MEMBERS, 0, UNTIL, SECOND)) < 1.25


def test_traffic_that_swings_is_nobodys_herd() -> None:
    swinging = [a for a in chance(180.0) if a.at % (10 * SECOND) > 5 * SECOND or a.at % 7 == 0]
    assert measures(swinging) == set()


def test_a_member_that_is_loved_or_shunned_is_found() -> None:
    loved = chance() + chance(40.0, 2, ["r3"])
    assert "share" in measures(sorted(loved, key=lambda a: a.at))
    rng = random.Random(3)
    shunned = [a for a in chance() if a.member != "r3" or rng.random() < 0.5]
    (first, *_) = spread.judge(shunned, MEMBERS, 0, UNTIL, Bounds())
    assert first.measure == "share" and first.text.startswith("r3")
    half = Bounds()
    assert measures(shunned, half, lambda m, _: 0.5 if m == "r3" else 1.0) == set()  # where that is fair


def test_a_herd_is_found_though_shares_are_even() -> None:
    """All drivers choose the same member for a second, each in turn."""
    came = [Arrival(a.at, MEMBERS[a.at // SECOND % 8], a.driver) if a.at % 5 < 2 else a for a in chance()]
    assert measures(came) >= {"dispersion", "herd"}


def test_a_member_left_idle_is_found_unless_it_is_gone() -> None:
    came = [a for a in chance() if a.member != "r5" or not 9 * SECOND < a.at < 12 * SECOND]
    assert measures(came, Bounds(dispersion=None)) == {"idle"}
    gone = lambda m, at: 0.0 if m == "r5" and 8 * SECOND < at < 13 * SECOND else 1.0  # noqa: E731
    assert measures(came, Bounds(dispersion=None, share=None), gone) == set()


def test_waves_show_as_oscillation() -> None:
    calm = spread.cells(chance(), MEMBERS, 0, UNTIL, SECOND)
    assert abs(spread.oscillation(calm, 2)) < 0.2
    turn = [a for a in chance() if MEMBERS.index(a.member) % 2 == a.at // (2 * SECOND) % 2 or a.at % 3 == 0]
    waves = spread.cells(turn, MEMBERS, 0, UNTIL, SECOND)
    assert spread.oscillation(waves, 2) < -0.7 and spread.oscillation(waves, 4) > 0.7
    assert math.isnan(spread.oscillation(calm[:3], 5))


def test_what_many_do_at_once_after_an_event_is_seen() -> None:
    rng = random.Random(1)
    apart = [rng.randrange(4 * SECOND) for _ in range(400)]
    assert spread.synchrony(apart, 0, 4 * SECOND) < 2.5
    assert spread.synchrony([*apart, *(SECOND + rng.randrange(1000) for _ in range(200))], 0, 4 * SECOND) > 10
    assert spread.synchrony([], 0, SECOND) == 0


def test_drivers_that_serve_worst_and_best() -> None:
    assert spread.ends({"a": (90, 100), "b": (19, 20), "c": (1, 5)}) == (0.9, 0.95)
    assert spread.ends({"c": (1, 5)}) is None


def test_arrivals_are_read_from_records() -> None:
    records = [
        rec.Arrived(20, "r1", "n0", "q1", 0, "q1", "board", False, 10),
        rec.EdgeUp(5, "n0"),
        rec.Arrived(10, "r0", "n1", "q2", 0, "q2", "board", False, 10),
        rec.Arrived(15, "other", "n1", "q3", 0, "q3", "board", False, 10),
    ]
    assert spread.arrivals(records, MEMBERS) == [Arrival(10, "r0", "n1"), Arrival(20, "r1", "n0")]
    assert math.isnan(spread.dispersion([]))
    assert spread.highest([]) == (0.0, None)


def test_who_is_able_is_read_from_records() -> None:
    second = SECOND
    able = spread.Able(
        [
            rec.Limits(0, 2 * second, 0.2, 6 * second, 2.0, 3 * second, 6),
            rec.Started(0, "r0", False, 4.0),
            rec.Started(0, "p", False, 4.0),
            rec.Asked(10, "q1", 0, "n0", "board", "s", "acme", 3, "k", 99),
            rec.Arrived(20, "r0", "n0", "q1", 0, "q1", "board", False, 10),
            rec.Arrived(21, "p", "n0", "q1", 1, "q1", "board", False, 10),
            rec.Committed(30, 3, 1, 7, "p", "q2", "k"),
            rec.Started(second, "late", True, 4.0),
            rec.Listed(9 * second, "n0", "r0", "draining"),
            rec.Stopped(12 * second, "late", "killed"),
            rec.EdgeUp(20 * second, "n0"),
        ]
    )
    assert able.replicas(3) == ["r0"] and able.replicas(1) == []
    assert [able("r0", at * second) for at in (1, 8, 10)] == [1.0, 1.0, 0.0]  # not once it drains
    assert [able("late", at * second) for at in (2, 8, 13)] == [0.0, 1.0, 0.0]  # warm only, and while it runs
    assert able("p", second) == 0.0  # it wrote
    assert able("unknown", second) == 0.0
