"""Drivers to set beside ours in `juniperreel trial`: other draws, as the field has them, and planted faults.

    juniperreel trial run SCRIPT --crews 4 --driver "benchmarks/drivers/planted.py uniform"

Each changes one thing in the routing policy and starts the platform's driver; all else is ours: health
checks, endpoint lists, the safety rules.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[2]))

from juniperreel.platform.run import main
from juniperreel.platform.signal_queue import SignalQueue
from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.policy.position_checks import PositionChecker
from juniperreel.routing.policy.selection import Selection
from juniperreel.routing.policy.slow_start import SlowStart
from juniperreel.routing.router import Router
from juniperreel.routing.state import Endpoints

NEGLIGIBLE_WEIGHT = 1e-9  # a pool needs weights above 0
SLOW_MULTIPLE = 1.5
COMMON_SEED = 7


def only(pool: Endpoints, chosen: EndpointState) -> list[float]:
    """Weights with which this endpoint is drawn."""
    return [1.0 if endpoint is chosen else NEGLIGIBLE_WEIGHT for endpoint in pool]


def draw_uniformly(_selection: Selection, pool: Endpoints) -> list[float]:
    """All endpoints alike."""
    return [1.0] * len(pool)


def draw_round_robin(selection: Any, pool: Endpoints) -> list[float]:
    """The endpoint whose turn was longest ago."""
    turns = selection.__dict__.setdefault("turns", {})
    chosen = min(pool, key=lambda endpoint: (turns.get(endpoint.info.id, 0), endpoint.info.id))
    turns[chosen.info.id] = max(turns.values(), default=0) + 1
    return only(pool, chosen)


def draw_least_outstanding(_selection: Selection, pool: Endpoints) -> list[float]:
    """One of those with the fewest attempts in flight."""
    fewest = min(len(endpoint.in_flight) for endpoint in pool)
    return [1.0 if len(endpoint.in_flight) == fewest else NEGLIGIBLE_WEIGHT for endpoint in pool]


def draw_power_of_two_choices(selection: Selection, pool: Endpoints) -> list[float]:
    """Two at random; of them the one with fewer attempts in flight."""
    choices = selection.state.random.sample(pool, min(2, len(pool)))
    return only(pool, min(choices, key=lambda endpoint: len(endpoint.in_flight)))


def draw_least_srtt(_selection: Selection, pool: Endpoints) -> list[float]:
    """Planted: always the least smoothed response time, so that all routers choose the same endpoint."""
    return only(pool, min(pool, key=lambda endpoint: endpoint.srtt_us))


def draw_never_again(selection: Selection, pool: Endpoints) -> list[float]:
    """Planted: an endpoint that was once slow beside the best is not drawn again after its recovery."""
    slow = selection.__dict__.setdefault("slow", set())
    measured = [endpoint for endpoint in pool if endpoint.has_responded]
    if measured:
        limit_us = SLOW_MULTIPLE * min(endpoint.srtt_us for endpoint in measured)
        slow |= {endpoint.info.id for endpoint in measured if endpoint.srtt_us > limit_us}
    return [NEGLIGIBLE_WEIGHT if endpoint.info.id in slow else 1.0 / endpoint.srtt_us for endpoint in pool]


def seed_all_routers_alike() -> None:
    """Planted: all routers draw from one seed."""
    plain_init = Router.__init__
    Router.__init__ = lambda self, settings, _seed: plain_init(self, settings, COMMON_SEED)  # type: ignore[method-assign]


def skip_slow_start() -> None:
    """Planted: an endpoint that starts is taken for warm."""
    SlowStart.capacity_fraction = lambda *_: 1.0  # type: ignore[method-assign]


def skip_background_checks() -> None:
    """The policy before it checked positions in the background."""
    PositionChecker.check_in_background = lambda *_: None  # type: ignore[method-assign]


# By the name on the command line.
DRAWS: dict[str, Callable[[Any, Endpoints], list[float]]] = {
    "uniform": draw_uniformly,
    "round_robin": draw_round_robin,
    "least_outstanding": draw_least_outstanding,
    "two_choices": draw_power_of_two_choices,
    "least_srtt": draw_least_srtt,
    "never_again": draw_never_again,
}
CHANGES: dict[str, Callable[[], None]] = {
    "alike": seed_all_routers_alike,
    "no_ramp": skip_slow_start,
    "not_beside": skip_background_checks,
}


def start(name: str) -> int:
    """Run the platform's driver with this draw or change; SystemExit where none has that name."""
    if name in DRAWS:
        Selection.weights = DRAWS[name]  # type: ignore[assignment]
    elif name in CHANGES:
        CHANGES[name]()
    else:
        raise SystemExit(f"{name!r} is none of {', '.join([*DRAWS, *CHANGES])}")
    return main(SignalQueue())


if __name__ == "__main__":
    sys.exit(start(sys.argv[1]))
