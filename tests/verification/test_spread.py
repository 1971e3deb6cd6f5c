"""Each measure of spread, on independent arrivals and with a violation injected into them."""

from __future__ import annotations

import math
import random

import pytest

from juniperreel.verification import records as rec
from juniperreel.verification import spread
from juniperreel.verification.spread import SECOND, Arrival, Bounds

ENDPOINTS = [f"r{i}" for i in range(8)]
END = 30 * SECOND


def independent_arrivals(
    rate: float = 60.0, seed: int = 1, endpoints: list[str] = ENDPOINTS
) -> list[Arrival]:
    """Poisson arrivals at each endpoint, from random edges."""
    rng = random.Random(seed)
    observed = []
    for endpoint in endpoints:
        at = rng.expovariate(rate)
        while at < END / SECOND:
            observed.append(Arrival(int(at * SECOND), endpoint, f"d{rng.randrange(20)}"))
            at += rng.expovariate(rate)
    return sorted(observed, key=lambda a: a.at)


ALL = Bounds()


def exceeded_measures(
    observed: list[Arrival], bounds: Bounds = ALL, weight: spread.Weight = spread.equal_weight
) -> set[str]:
    return {f.measure for f in spread.check_bounds(observed, ENDPOINTS, 0, END, bounds, weight)}


@pytest.mark.parametrize("seed", range(5))
def test_independent_arrivals_exceed_no_bound(seed: int) -> None:
    assert exceeded_measures(independent_arrivals(seed=seed)) == set()
    assert (
        0.75
        < spread.dispersion(spread.count_by_bin(independent_arrivals(seed=seed), ENDPOINTS, 0, END, SECOND))
        < 1.25
    )


def test_varying_traffic_is_not_reported_as_herding() -> None:
    varying = [a for a in independent_arrivals(180.0) if a.at % (10 * SECOND) > 5 * SECOND or a.at % 7 == 0]
    assert exceeded_measures(varying) == set()


def test_share_of_an_endpoint_selected_too_often_or_too_seldom_is_found() -> None:
    preferred = independent_arrivals() + independent_arrivals(40.0, 2, ["r3"])
    assert "share" in exceeded_measures(sorted(preferred, key=lambda a: a.at))
    rng = random.Random(3)
    avoided = [a for a in independent_arrivals() if a.endpoint != "r3" or rng.random() < 0.5]
    (first, *_) = spread.check_bounds(avoided, ENDPOINTS, 0, END, Bounds())
    assert first.measure == "share"
    assert first.text.startswith("r3")
    bounds = Bounds()
    # With half the weight, the lower share is the fair one.
    assert exceeded_measures(avoided, bounds, lambda m, _: 0.5 if m == "r3" else 1.0) == set()


def test_herd_is_found_though_shares_are_even() -> None:
    """All edges select the same endpoint for a second, then the next one."""
    observed = [
        Arrival(a.at, ENDPOINTS[a.at // SECOND % 8], a.edge) if a.at % 5 < 2 else a
        for a in independent_arrivals()
    ]
    assert exceeded_measures(observed) >= {"dispersion", "herd"}


def test_idle_endpoint_is_found_unless_it_was_removed() -> None:
    observed = [
        a for a in independent_arrivals() if a.endpoint != "r5" or not 9 * SECOND < a.at < 12 * SECOND
    ]
    assert exceeded_measures(observed, Bounds(dispersion=None)) == {"idle"}
    removed = lambda m, at: 0.0 if m == "r5" and 8 * SECOND < at < 13 * SECOND else 1.0  # noqa: E731
    assert exceeded_measures(observed, Bounds(dispersion=None, share=None), removed) == set()


def test_oscillation_is_negative_at_the_half_period_of_waves() -> None:
    steady = spread.count_by_bin(independent_arrivals(), ENDPOINTS, 0, END, SECOND)
    assert abs(spread.oscillation(steady, 2)) < 0.2
    alternating = [
        a
        for a in independent_arrivals()
        if ENDPOINTS.index(a.endpoint) % 2 == a.at // (2 * SECOND) % 2 or a.at % 3 == 0
    ]
    waves = spread.count_by_bin(alternating, ENDPOINTS, 0, END, SECOND)
    assert spread.oscillation(waves, 2) < -0.7
    assert spread.oscillation(waves, 4) > 0.7
    assert math.isnan(spread.oscillation(steady[:3], 5))


def test_synchrony_is_high_where_many_act_at_once() -> None:
    rng = random.Random(1)
    spaced = [rng.randrange(4 * SECOND) for _ in range(400)]
    assert spread.synchrony(spaced, 0, 4 * SECOND) < 2.5
    assert (
        spread.synchrony([*spaced, *(SECOND + rng.randrange(1000) for _ in range(200))], 0, 4 * SECOND) > 10
    )
    assert spread.synchrony([], 0, SECOND) == 0


def test_served_shares_give_the_worst_and_best_edge_with_enough_requests() -> None:
    totals = {
        "a": spread.RequestTotals(90, 100),
        "b": spread.RequestTotals(19, 20),
        "c": spread.RequestTotals(1, 5),
    }
    assert spread.served_shares(totals) == (0.9, 0.95)
    assert spread.served_shares({"c": spread.RequestTotals(1, 5)}) is None


def test_arrivals_are_read_from_records() -> None:
    records = [
        rec.AttemptReceived(20, "r1", "n0", "q1", 0, "q1", "board", False, 10),
        rec.EdgeUp(5, "n0"),
        rec.AttemptReceived(10, "r0", "n1", "q2", 0, "q2", "board", False, 10),
        rec.AttemptReceived(15, "other", "n1", "q3", 0, "q3", "board", False, 10),
    ]
    assert spread.arrivals(records, ENDPOINTS) == [Arrival(10, "r0", "n1"), Arrival(20, "r1", "n0")]
    assert math.isnan(spread.dispersion([]))
    assert spread.peak_rate([]) == (0.0, None)


def test_eligibility_weight_follows_records() -> None:
    second = SECOND
    eligible = spread.EligibilityWeight(
        [
            rec.Limits(0, 2 * second, 0.2, 6 * second, 2.0, 3 * second, 6),
            rec.EndpointStarted(0, "r0", False, 4.0),
            rec.EndpointStarted(0, "p", False, 4.0),
            rec.RequestSent(10, "q1", 0, "n0", "board", "s", "acme", 3, "k", 99),
            rec.AttemptReceived(20, "r0", "n0", "q1", 0, "q1", "board", False, 10),
            rec.AttemptReceived(21, "p", "n0", "q1", 1, "q1", "board", False, 10),
            rec.Committed(30, 3, 1, 7, "p", "q2", "k"),
            rec.EndpointStarted(second, "late", True, 4.0),
            rec.EndpointListed(9 * second, "n0", "r0", "draining"),
            rec.EndpointStopped(12 * second, "late", "killed"),
            rec.EdgeUp(20 * second, "n0"),
        ]
    )
    assert eligible.replicas(3) == ["r0"]
    assert eligible.replicas(1) == []
    assert [eligible("r0", at * second) for at in (1, 8, 10)] == [1.0, 1.0, 0.0]  # not once it is draining
    assert [eligible("late", at * second) for at in (2, 8, 13)] == [
        0.0,
        1.0,
        0.0,
    ]  # once it has warmed up, while it runs
    assert eligible("p", second) == 0.0  # it was primary
    assert eligible("unknown", second) == 0.0
