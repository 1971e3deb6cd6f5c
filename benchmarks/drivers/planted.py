"""Variants of the platform's driver for `juniperreel trial`: other selection algorithms, and injected faults.

    juniperreel trial run SCRIPT --crews 4 --driver "benchmarks/drivers/planted.py uniform"

Each variant replaces one part of the routing policy and starts the platform's driver; everything else is
unchanged, such as health checks, endpoint lists and the safety rules.
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

NEGLIGIBLE_WEIGHT = 1e-9  # the weights of a pool must be above 0
SLOW_SRTT_RATIO = 1.5
COMMON_SEED = 7


def weights_for_only(pool: Endpoints, chosen: EndpointState) -> list[float]:
    """Weights with which `chosen` is selected."""
    return [1.0 if endpoint is chosen else NEGLIGIBLE_WEIGHT for endpoint in pool]


def weigh_uniformly(_selection: Selection, pool: Endpoints) -> list[float]:
    """Equal weights."""
    return [1.0] * len(pool)


def weigh_round_robin(selection: Any, pool: Endpoints) -> list[float]:
    """Select the endpoint that was selected the longest time ago."""
    last_turns = selection.__dict__.setdefault("last_turns", {})
    chosen = min(pool, key=lambda endpoint: (last_turns.get(endpoint.info.id, 0), endpoint.info.id))
    last_turns[chosen.info.id] = max(last_turns.values(), default=0) + 1
    return weights_for_only(pool, chosen)


def weigh_least_outstanding(_selection: Selection, pool: Endpoints) -> list[float]:
    """Select among the endpoints with the fewest attempts in flight."""
    fewest = min(len(endpoint.in_flight) for endpoint in pool)
    return [1.0 if len(endpoint.in_flight) == fewest else NEGLIGIBLE_WEIGHT for endpoint in pool]


def weigh_power_of_two_choices(selection: Selection, pool: Endpoints) -> list[float]:
    """Select the one with fewer attempts in flight of two random endpoints."""
    choices = selection.state.random.sample(pool, min(2, len(pool)))
    return weights_for_only(pool, min(choices, key=lambda endpoint: len(endpoint.in_flight)))


def weigh_least_srtt(_selection: Selection, pool: Endpoints) -> list[float]:
    """Injected fault: always the lowest smoothed response time, so all routers choose the same endpoint."""
    return weights_for_only(pool, min(pool, key=lambda endpoint: endpoint.srtt_us))


def weigh_without_once_slow(selection: Selection, pool: Endpoints) -> list[float]:
    """Injected fault: an endpoint that was once much slower than the best is not used after its recovery."""
    once_slow = selection.__dict__.setdefault("once_slow", set())
    measured = [endpoint for endpoint in pool if endpoint.has_responded]
    if measured:
        limit_us = SLOW_SRTT_RATIO * min(endpoint.srtt_us for endpoint in measured)
        once_slow |= {endpoint.info.id for endpoint in measured if endpoint.srtt_us > limit_us}
    return [
        NEGLIGIBLE_WEIGHT if endpoint.info.id in once_slow else 1.0 / endpoint.srtt_us for endpoint in pool
    ]


def use_same_seed_in_all_routers() -> None:
    """Injected fault: all routers have the same seed."""
    original_init = Router.__init__
    Router.__init__ = lambda self, settings, _seed: original_init(self, settings, COMMON_SEED)  # type: ignore[method-assign]


def skip_slow_start() -> None:
    """Injected fault: an endpoint that has just started gets its full share of the requests."""
    SlowStart.capacity_fraction = lambda *_: 1.0  # type: ignore[method-assign]


def skip_background_checks() -> None:
    """The policy as it was before it checked positions in the background."""
    PositionChecker.check_in_background = lambda *_: None  # type: ignore[method-assign]


# Variants by their name on the command line.
WEIGHT_FUNCTIONS: dict[str, Callable[[Any, Endpoints], list[float]]] = {
    "uniform": weigh_uniformly,
    "round_robin": weigh_round_robin,
    "least_outstanding": weigh_least_outstanding,
    "two_choices": weigh_power_of_two_choices,
    "least_srtt": weigh_least_srtt,
    "never_again": weigh_without_once_slow,
}
POLICY_CHANGES: dict[str, Callable[[], None]] = {
    "alike": use_same_seed_in_all_routers,
    "no_ramp": skip_slow_start,
    "not_beside": skip_background_checks,
}


def start(name: str) -> int:
    """Run the platform's driver with the variant of this name. Raises SystemExit for an unknown name."""
    if name in WEIGHT_FUNCTIONS:
        Selection.weights = WEIGHT_FUNCTIONS[name]  # type: ignore[assignment]
    elif name in POLICY_CHANGES:
        POLICY_CHANGES[name]()
    else:
        raise SystemExit(
            f"unknown variant {name!r}; known: {', '.join([*WEIGHT_FUNCTIONS, *POLICY_CHANGES])}"
        )
    return main(SignalQueue())


if __name__ == "__main__":
    sys.exit(start(sys.argv[1]))
