"""Sixty routers that each see two or three reads a second, in virtual time: how they share a group, and the
measures that find a herd planted in the policy."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from juniperreel.emulator.spread import BOUNDED, US, Fleet, Plant
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.position_checks import PositionChecker
from juniperreel.routing.policy.selection import Selection
from juniperreel.routing.router import Router
from juniperreel.routing.state import Endpoints
from juniperreel.verification import spread
from juniperreel.verification.spread import Bounds

ROUTERS = 60
REPLICAS = 5
NAMES = [f"r{number:02}" for number in range(REPLICAS)]
FAULTY = "r00"
# The first seconds are not judged: every router meets every endpoint for the first time.
SETTLED_S = 6.0
FAULT_FROM_S = 8
FAULT_UNTIL_S = 20
RECOVERED_S = 40


def run_fleet(until_s: float, seed: int = 1) -> Fleet:
    """A fleet in which nothing happens but requests."""
    fleet = Fleet(ROUTERS, REPLICAS, seed=seed)
    fleet.run(until_s)
    return fleet


def violated_measures(fleet: Fleet, since_s: float, until_s: float, endpoints: list[str] = NAMES) -> set[str]:
    """The measures of spread that are out of their bounds in this time."""
    bounds = Bounds(window_us=5 * US, highest=2.5)  # so few routers reach twice the rate by chance
    since_us = fleet.time(since_s)
    until_us = fleet.time(until_s)
    findings = spread.judge(fleet.arrivals, endpoints, since_us, until_us, bounds)
    return {finding.measure for finding in findings}


def share(fleet: Fleet, endpoint: str, since_s: float, until_s: float) -> float:
    """What an endpoint was sent in this time, as a multiple of its fair part."""
    since_us = fleet.time(since_s)
    until_us = fleet.time(until_s)
    cells = spread.cells(fleet.arrivals, NAMES, since_us, until_us, until_us - since_us)
    (cell,) = [cell for cell in cells if cell.member == endpoint]
    return cell.share


def set_plant(name: str, **values: Any) -> Callable[[Fleet], None]:
    """A change of an endpoint's speed or faults."""

    def change(fleet: Fleet) -> None:
        plant: Plant = fleet.plants[name]
        for field, value in values.items():
            setattr(plant, field, value)

    return change


def run_with_fault(**fault: Any) -> Fleet:
    """One endpoint has a fault from 8 to 20 s; the fleet runs to 40 s."""
    fleet = Fleet(ROUTERS, REPLICAS, seed=1)
    fleet.at(FAULT_FROM_S, set_plant(FAULTY, **fault))
    fleet.at(FAULT_UNTIL_S, set_plant(FAULTY, speed=1.0, failing=0.0))
    fleet.run(RECOVERED_S)
    return fleet


def test_endpoints_of_equal_speed_are_loaded_alike() -> None:
    for seed in (1, 2):
        fleet = run_fleet(20, seed)
        assert violated_measures(fleet, SETTLED_S, 20) == set()
        assert fleet.share_served > 0.99


def test_restart_of_most_routers_at_once_makes_no_herd() -> None:
    fleet = Fleet(ROUTERS, REPLICAS)
    fleet.at(8, lambda restarting: restarting.restart(0.7))
    fleet.run(18)
    assert not violated_measures(fleet, SETTLED_S, 18) - {"dispersion"}
    assert fleet.share_served > 0.97


def test_endpoint_that_fails_fast_loses_its_share_and_regains_it_after_recovery() -> None:
    fleet = run_with_fault(failing=1.0)
    assert share(fleet, FAULTY, 11, FAULT_UNTIL_S) < 0.4
    assert share(fleet, FAULTY, 32, RECOVERED_S) > 0.65
    assert fleet.share_served > 0.99
    assert violated_measures(fleet, SETTLED_S, RECOVERED_S, NAMES[1:]) == set()


def test_endpoint_that_was_slow_regains_its_share_by_evidence_that_fades(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_fading = run_with_fault(speed=0.25)
    assert share(with_fading, FAULTY, 14, FAULT_UNTIL_S) < 0.6
    assert share(with_fading, FAULTY, 28, RECOVERED_S) > 0.7
    # Planted: what was observed once is believed for good.
    monkeypatch.setattr(parameters, "EVIDENCE_FADE_US", 1 << 60)
    without_fading = run_with_fault(speed=0.25)
    recovered_share = share(with_fading, FAULTY, 28, RECOVERED_S)
    assert share(without_fading, FAULTY, 28, RECOVERED_S) < recovered_share - 0.05


def test_slow_endpoint_keeps_the_share_that_its_speed_earns() -> None:
    fleet = Fleet(ROUTERS, REPLICAS)
    fleet.plants[FAULTY].speed = 0.5
    fleet.run(40)
    earned = 0.5 / (REPLICAS - 0.5) * REPLICAS
    assert 0.8 < share(fleet, FAULTY, 10, 40) / earned < 1.25


def test_endpoints_replaced_one_a_second_are_not_rushed() -> None:
    fleet = Fleet(ROUTERS, REPLICAS)
    for number in range(2):
        fleet.at(8 + number, partial(Fleet.replace, name=NAMES[number]))
    fleet.run(30)
    for new in new_endpoints(fleet):
        endpoints = [new, *NAMES[2:]]
        cells = spread.cells(fleet.arrivals, endpoints, fleet.time(10), fleet.time(30), US // 2)
        assert max(cell.share for cell in cells if cell.member == new and cell.fair > 5) < 2.5
    assert fleet.share_served > 0.98
    assert not violated_measures(fleet, 20, 30, NAMES[2:]) - {"dispersion"}


def new_endpoints(fleet: Fleet) -> list[str]:
    """Those that replaced others."""
    return [name for name in fleet.plants if name.startswith("n")]


BUSY_NAMES = ["r00", "r01", "r02"]


def run_busy_fleet(seed: int, until_s: float) -> Fleet:
    """Six routers that hear of each endpoint many times a second; reads with a bound of 0.3 s."""
    fleet = Fleet(6, len(BUSY_NAMES), rate=32, heavy=1, work_us=10_000, seed=seed, read=BOUNDED)
    fleet.run(until_s)
    return fleet


def health_checks_per_request(fleet: Fleet) -> float:
    """The cost of position checks."""
    return len(fleet.probes) / sum(served.taken for served in fleet.served)


def test_bounded_reads_with_background_checks_do_not_stay_with_endpoints_that_had_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_checks = run_busy_fleet(5, 16)
    assert not violated_measures(with_checks, SETTLED_S, 16, BUSY_NAMES) & {"share", "idle", "herd"}
    assert health_checks_per_request(with_checks) < 1.2 * parameters.BACKGROUND_CHECK_RATIO
    # Planted: no position is checked in the background.
    monkeypatch.setattr(PositionChecker, "check_in_background", lambda *_: None)
    without_checks = run_busy_fleet(5, 16)
    assert {"share", "idle"} <= violated_measures(without_checks, SETTLED_S, 16, BUSY_NAMES)


def test_background_checks_where_most_reads_need_a_check_anyway_add_next_to_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Routers that see little check a position for most reads; those checks tell them enough."""
    with_background = Fleet(ROUTERS, REPLICAS, rate=0.5, heavy=1, read=BOUNDED)
    with_background.run(20)
    monkeypatch.setattr(PositionChecker, "check_in_background", lambda *_: None)
    without_background = Fleet(ROUTERS, REPLICAS, rate=0.5, heavy=1, read=BOUNDED)
    without_background.run(20)
    baseline = health_checks_per_request(without_background)
    assert baseline > 0.3
    assert health_checks_per_request(with_background) < baseline + 0.02


def test_new_endpoints_met_by_hundreds_of_routers_take_no_more_than_old_ones() -> None:
    """Each router draws once in some seconds, so that for most of them a new endpoint is long unheard."""
    old = ["r04", "r05"]
    old_shares = []
    for seed in (1, 2, 3):
        fleet = Fleet(120, 6, rate=0.5, heavy=5, seed=seed, work_us=20_000)
        for number in range(4):
            fleet.at(4 + number, partial(Fleet.replace, name=NAMES[number]))
        fleet.run(30)
        since_us = fleet.time(20)  # all are warm
        until_us = fleet.time(30)
        endpoints = [*old, *new_endpoints(fleet)]
        cells = spread.cells(fleet.arrivals, endpoints, since_us, until_us, until_us - since_us)
        old_shares.append(sum(cell.share for cell in cells if cell.member in old) / len(old))
    assert sum(old_shares) / len(old_shares) > 0.95, old_shares


def least_response_time(_: Selection, pool: Endpoints) -> list[float]:
    """Planted: the least response time, always."""
    least = min(endpoint.srtt_us for endpoint in pool)
    return [1.0 if endpoint.srtt_us == least else 1e-9 for endpoint in pool]


def test_measures_where_all_routers_choose_the_least_response_time_find_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Selection, "weights", least_response_time)
    assert violated_measures(run_fleet(20), SETTLED_S, 20) & {"share", "idle", "dispersion"}


def test_measures_where_all_routers_draw_alike_find_a_herd() -> None:
    """Sixty routers of one seed, with requests at the same moments, choose the same endpoint."""

    class SynchronousFleet(Fleet):
        def _arrive_next(self, driver: int) -> None:
            step = int(US / 2)
            self._after(step - self.now % step, self._arrive, driver)

    fleet = SynchronousFleet(ROUTERS, REPLICAS, make=lambda settings, _: Router(settings, 7))
    fleet.run(14)
    assert {"dispersion", "herd"} <= violated_measures(fleet, SETTLED_S, 14)
