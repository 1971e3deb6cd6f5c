"""Sixty drivers that each see two or three reads a second, in virtual time: how they share a group, and the
measures that find a herd planted in the module."""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from juniperreel.emulator.spread import BOUNDED, US, Fleet, Plant
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy import router as rules
from juniperreel.routing.state import MemberState
from juniperreel.verification import spread
from juniperreel.verification.spread import Bounds

DRIVERS, REPLICAS = 60, 5
NAMES = [f"r{i:02}" for i in range(REPLICAS)]
# The first seconds count for nobody: every driver meets every member for the first time.
SETTLED = 6.0


def play(until: float, seed: int = 1, **kinds: Any) -> Fleet:
    fleet = Fleet(DRIVERS, REPLICAS, seed=seed, **kinds)
    fleet.run(until)
    return fleet


def found(fleet: Fleet, since: float, until: float, members: list[str] = NAMES) -> set[str]:
    bounds = Bounds(window_us=5 * US, peak=2.5)  # so few drivers reach twice the rate by chance
    return {
        f.measure
        for f in spread.check_bounds(fleet.arrivals, members, fleet.time(since), fleet.time(until), bounds)
    }


def share(fleet: Fleet, member: str, since: float, until: float) -> float:
    start, end = fleet.time(since), fleet.time(until)
    (cell,) = [
        c for c in spread.count_by_bin(fleet.arrivals, NAMES, start, end, end - start) if c.endpoint == member
    ]
    return cell.share


def changing(member: str, **values: Any) -> Any:
    def change(fleet: Fleet) -> None:
        plant: Plant = fleet.plants[member]
        for name, value in values.items():
            setattr(plant, name, value)

    return change


def troubled(seed: int = 1, **trouble: Any) -> Fleet:
    """One member is in trouble from 8 to 20 s."""
    fleet = Fleet(DRIVERS, REPLICAS, seed=seed)
    fleet.at(8, changing("r00", **trouble))
    fleet.at(20, changing("r00", speed=1.0, failing=0.0))
    fleet.run(40)
    return fleet


def test_members_that_are_alike_are_loaded_alike() -> None:
    for seed in (1, 2):
        fleet = play(20, seed)
        assert found(fleet, SETTLED, 20) == set()
        assert fleet.share_served > 0.99


def test_a_start_of_most_drivers_at_once_makes_no_herd() -> None:
    fleet = Fleet(DRIVERS, REPLICAS)
    fleet.at(8, lambda f: f.restart(0.7))
    fleet.run(18)
    assert not found(fleet, SETTLED, 18) - {"dispersion"}
    assert fleet.share_served > 0.97


def test_who_fails_fast_is_left_by_all_drivers_and_found_again_when_it_is_well() -> None:
    fleet = troubled(failing=1.0)
    assert share(fleet, "r00", 11, 20) < 0.4
    assert share(fleet, "r00", 32, 40) > 0.65
    assert fleet.share_served > 0.99
    assert found(fleet, SETTLED, 40, NAMES[1:]) == set()


def test_a_member_that_was_slow_has_its_work_back(monkeypatch: pytest.MonkeyPatch) -> None:
    now = troubled(speed=0.25)
    assert share(now, "r00", 14, 20) < 0.6
    assert share(now, "r00", 28, 40) > 0.7
    monkeypatch.setattr(rules, "FADE_US", 1 << 60)  # planted: what it was is believed for good
    before = troubled(speed=0.25)
    assert share(before, "r00", 28, 40) < share(now, "r00", 28, 40) - 0.05


def test_a_slow_member_keeps_what_its_speed_earns() -> None:
    fleet = Fleet(DRIVERS, REPLICAS)
    fleet.plants["r00"].speed = 0.5
    fleet.run(40)
    earned = 0.5 / (REPLICAS - 0.5) * REPLICAS
    assert 0.8 < share(fleet, "r00", 10, 40) / earned < 1.25


def test_members_that_are_replaced_one_a_second_are_not_rushed() -> None:
    fleet = Fleet(DRIVERS, REPLICAS)
    for i in range(2):
        fleet.at(8 + i, partial(Fleet.replace, name=NAMES[i]))
    fleet.run(30)
    for member in [m for m in fleet.plants if m.startswith("n")]:
        counts = spread.count_by_bin(
            fleet.arrivals, [member, *NAMES[2:]], fleet.time(10), fleet.time(30), US // 2
        )
        assert max(c.share for c in counts if c.endpoint == member and c.fair > 5) < 2.5
    assert fleet.share_served > 0.98
    assert not found(fleet, 20, 30, NAMES[2:]) - {"dispersion"}


BUSY = ["r00", "r01", "r02"]


def busy(seed: int, until: float) -> Fleet:
    """Six drivers that hear of each member many times a second, reads with a bound of 0.3 s."""
    fleet = Fleet(6, len(BUSY), rate=32, heavy=1, work_us=10_000, seed=seed, read=BOUNDED)
    fleet.run(until)
    return fleet


def looks(fleet: Fleet) -> float:
    return len(fleet.probes) / sum(s.taken for s in fleet.served)


def test_reads_with_a_bound_do_not_stay_with_whoever_had_them(monkeypatch: pytest.MonkeyPatch) -> None:
    now = busy(5, 16)
    assert not found(now, SETTLED, 16, BUSY) & {"share", "idle", "herd"}
    assert looks(now) < 1.2 * parameters.BESIDE_SHARE
    monkeypatch.setattr(rules.Router, "look_beside", lambda *_: None)  # planted: nobody looks beside a read
    assert {"share", "idle"} <= found(busy(5, 16), SETTLED, 16, BUSY)


def test_where_reads_have_to_look_anyway_nothing_is_looked_at_beside_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Drivers that see little probe for most reads; those looks are news enough."""
    sparse = Fleet(DRIVERS, REPLICAS, rate=0.5, heavy=1, read=BOUNDED)
    sparse.run(20)
    beside: list[object] = []
    monkeypatch.setattr(rules.Router, "look_beside", lambda *_: beside.append(0))
    before = Fleet(DRIVERS, REPLICAS, rate=0.5, heavy=1, read=BOUNDED)
    before.run(20)
    assert looks(before) > 0.3 and looks(sparse) < looks(before) + 0.02


def test_new_members_are_no_more_to_hundreds_of_drivers_than_old_ones() -> None:
    """Each driver draws once in some seconds, so that for most of them a new member is long unheard."""
    shares = []
    for seed in (1, 2, 3):
        fleet = Fleet(120, 6, rate=0.5, heavy=5, seed=seed, work_us=20_000)
        for i in range(4):
            fleet.at(4 + i, partial(Fleet.replace, name=NAMES[i]))
        fleet.run(30)
        old, new = ["r04", "r05"], [m for m in fleet.plants if m.startswith("n")]
        start, end = fleet.time(20), fleet.time(30)  # all are warm
        cells = spread.count_by_bin(fleet.arrivals, [*old, *new], start, end, end - start)
        shares.append(sum(c.share for c in cells if c.endpoint in old) / len(old))
    assert sum(shares) / len(shares) > 0.95, shares


class Least(rules.Router):
    """Planted: the least response time, always."""

    def weights(self, pool: list[MemberState]) -> list[float]:
        least = min(m.srtt for m in pool)
        return [1.0 if m.srtt == least else 1e-9 for m in pool]


def test_planted_the_least_response_time_always() -> None:
    assert found(play(20, make=Least), SETTLED, 20) & {"share", "idle", "dispersion"}


def test_planted_all_drivers_draw_alike() -> None:
    """Sixty drivers of one seed, asked at the same moments, go to the same member."""

    class Alike(Fleet):
        def _arrive_next(self, driver: int) -> None:
            step = int(US / 2)
            self._after(step - self.now % step, self._arrive, driver)

    fleet = Alike(DRIVERS, REPLICAS, make=lambda settings, _: rules.Router(settings, 7))
    fleet.run(14)
    assert {"dispersion", "herd"} <= found(fleet, SETTLED, 14)
