"""Load distribution of sixty routers with two or three reads a second each, in virtual time.

Some tests put a defect into the router, and check that the measures detect it.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest

from juniperreel.emulator.fleet_state import EndpointModel
from juniperreel.emulator.router_settings import SECOND_US
from juniperreel.emulator.spread import BOUNDED_READ, Fleet
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.position_checks import PositionChecker
from juniperreel.routing.policy.selection import Selection
from juniperreel.routing.router import Router
from juniperreel.routing.state import Endpoints
from juniperreel.verification import spread
from juniperreel.verification.spread import Bounds

ROUTERS = 60
REPLICAS = 5
NAMES = [f"r{i:02}" for i in range(REPLICAS)]
# The first seconds are excluded, since no router has a response of any endpoint yet.
WARM_UP_S = 6.0


def run_fleet(until: float, seed: int = 1, **options: Any) -> Fleet:
    fleet = Fleet(ROUTERS, REPLICAS, seed=seed, **options)
    fleet.run(until)
    return fleet


def violated_measures(fleet: Fleet, since: float, until: float, members: list[str] = NAMES) -> set[str]:
    bounds = Bounds(window_us=5 * SECOND_US, peak=2.5)  # with so few routers, twice the rate occurs by chance
    return {
        f.measure
        for f in spread.check_bounds(
            fleet.arrivals, members, fleet.time_us(since), fleet.time_us(until), bounds
        )
    }


def load_share(fleet: Fleet, member: str, since: float, until: float) -> float:
    start, end = fleet.time_us(since), fleet.time_us(until)
    (bin_count,) = [
        c for c in spread.count_by_bin(fleet.arrivals, NAMES, start, end, end - start) if c.endpoint == member
    ]
    return bin_count.share


def set_attributes(member: str, **values: Any) -> Any:
    def change(fleet: Fleet) -> None:
        endpoint: EndpointModel = fleet.endpoints[member]
        for name, value in values.items():
            setattr(endpoint, name, value)

    return change


def run_with_faulty_endpoint(seed: int = 1, **fault: Any) -> Fleet:
    """Run a fleet in which one endpoint is slow or fails from 8 to 20 s."""
    fleet = Fleet(ROUTERS, REPLICAS, seed=seed)
    fleet.at(8, set_attributes("r00", **fault))
    fleet.at(20, set_attributes("r00", speed=1.0, error_rate=0.0))
    fleet.run(40)
    return fleet


def test_equal_endpoints_get_equal_load() -> None:
    for seed in (1, 2):
        fleet = run_fleet(20, seed)
        assert violated_measures(fleet, WARM_UP_S, 20) == set()
        assert fleet.served_fraction > 0.99


def test_restart_of_most_routers_at_once_causes_no_herd() -> None:
    fleet = Fleet(ROUTERS, REPLICAS)
    fleet.at(8, lambda f: f.restart_routers(0.7))
    fleet.run(18)
    assert not violated_measures(fleet, WARM_UP_S, 18) - {"dispersion"}
    assert fleet.served_fraction > 0.97


def test_endpoint_that_fails_fast_is_avoided_and_reinstated_once_it_recovers() -> None:
    fleet = run_with_faulty_endpoint(error_rate=1.0)
    assert load_share(fleet, "r00", 11, 20) < 0.4
    assert load_share(fleet, "r00", 32, 40) > 0.65
    assert fleet.served_fraction > 0.99
    assert violated_measures(fleet, WARM_UP_S, 40, NAMES[1:]) == set()


def test_endpoint_that_was_slow_gets_its_load_back(monkeypatch: pytest.MonkeyPatch) -> None:
    now = run_with_faulty_endpoint(speed=0.25)
    assert load_share(now, "r00", 14, 20) < 0.6
    assert load_share(now, "r00", 28, 40) > 0.7
    monkeypatch.setattr(parameters, "EVIDENCE_FADE_US", 1 << 60)  # defect: old evidence never fades
    before = run_with_faulty_endpoint(speed=0.25)
    assert load_share(before, "r00", 28, 40) < load_share(now, "r00", 28, 40) - 0.05


def test_slow_endpoint_gets_load_in_proportion_to_its_speed() -> None:
    fleet = Fleet(ROUTERS, REPLICAS)
    fleet.endpoints["r00"].speed = 0.5
    fleet.run(40)
    expected_share = 0.5 / (REPLICAS - 0.5) * REPLICAS
    assert 0.8 < load_share(fleet, "r00", 10, 40) / expected_share < 1.25


def test_endpoints_replaced_one_a_second_are_not_overloaded() -> None:
    fleet = Fleet(ROUTERS, REPLICAS)
    for i in range(2):
        fleet.at(8 + i, partial(Fleet.replace_endpoint, name=NAMES[i]))
    fleet.run(30)
    for member in [m for m in fleet.endpoints if m.startswith("n")]:
        counts = spread.count_by_bin(
            fleet.arrivals, [member, *NAMES[2:]], fleet.time_us(10), fleet.time_us(30), SECOND_US // 2
        )
        assert max(c.share for c in counts if c.endpoint == member and c.fair > 5) < 2.5
    assert fleet.served_fraction > 0.98
    assert not violated_measures(fleet, 20, 30, NAMES[2:]) - {"dispersion"}


BUSY = ["r00", "r01", "r02"]


def run_busy_fleet(seed: int, until: float) -> Fleet:
    """Six routers with many responses of each endpoint a second; reads have a staleness bound of 0.3 s."""
    fleet = Fleet(
        6, len(BUSY), rate_per_s=32, heavy_factor=1, work_us=10_000, seed=seed, read_class=BOUNDED_READ
    )
    fleet.run(until)
    return fleet


def checks_per_read(fleet: Fleet) -> float:
    return len(fleet.health_checks) / sum(record.arrived for record in fleet.records)


def test_bounded_reads_do_not_stick_to_one_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    now = run_busy_fleet(5, 16)
    assert not violated_measures(now, WARM_UP_S, 16, BUSY) & {"share", "idle", "herd"}
    assert checks_per_read(now) < 1.2 * parameters.BACKGROUND_CHECK_RATIO
    monkeypatch.setattr(
        PositionChecker, "check_in_background", lambda *_: None
    )  # defect: no background checks
    assert {"share", "idle"} <= violated_measures(run_busy_fleet(5, 16), WARM_UP_S, 16, BUSY)


def test_reads_that_check_positions_anyway_start_no_background_checks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Routers with few reads check positions for most of them, which makes background checks unnecessary."""
    with_checks = Fleet(ROUTERS, REPLICAS, rate_per_s=0.5, heavy_factor=1, read_class=BOUNDED_READ)
    with_checks.run(20)
    background_checks: list[object] = []
    monkeypatch.setattr(PositionChecker, "check_in_background", lambda *_: background_checks.append(0))
    before = Fleet(ROUTERS, REPLICAS, rate_per_s=0.5, heavy_factor=1, read_class=BOUNDED_READ)
    before.run(20)
    assert checks_per_read(before) > 0.3
    assert checks_per_read(with_checks) < checks_per_read(before) + 0.02


def test_new_endpoints_of_hundreds_of_routers_get_no_more_load_than_old_ones() -> None:
    """Each router sends a read only every few seconds, so most have no recent response of a new endpoint."""
    shares = []
    for seed in (1, 2, 3):
        fleet = Fleet(120, 6, rate_per_s=0.5, heavy_factor=5, seed=seed, work_us=20_000)
        for i in range(4):
            fleet.at(4 + i, partial(Fleet.replace_endpoint, name=NAMES[i]))
        fleet.run(30)
        old, new = ["r04", "r05"], [m for m in fleet.endpoints if m.startswith("n")]
        start, end = fleet.time_us(20), fleet.time_us(30)  # all endpoints are warm
        bin_counts = spread.count_by_bin(fleet.arrivals, [*old, *new], start, end, end - start)
        shares.append(sum(c.share for c in bin_counts if c.endpoint in old) / len(old))
    assert sum(shares) / len(shares) > 0.95, shares


def least_response_time(_: Selection, pool: Endpoints) -> list[float]:
    """Defective weights, which always select the least response time."""
    least = min(endpoint.srtt_us for endpoint in pool)
    return [1.0 if endpoint.srtt_us == least else 1e-9 for endpoint in pool]


def test_router_that_always_selects_the_least_response_time_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Selection, "weights", least_response_time)
    assert violated_measures(run_fleet(20), WARM_UP_S, 20) & {"share", "idle", "dispersion"}


def test_routers_that_select_identically_are_detected() -> None:
    """Sixty routers with one seed and simultaneous arrivals select the same endpoint."""

    class IdenticalRouters(Fleet):
        def _schedule_arrival(self, router: int) -> None:
            step = int(SECOND_US / 2)
            self._after(step - self.now_us % step, self._arrive, router)

    fleet = IdenticalRouters(ROUTERS, REPLICAS, make_router=lambda settings, _: Router(settings, 7))
    fleet.run(14)
    assert {"dispersion", "herd"} <= violated_measures(fleet, WARM_UP_S, 14)
