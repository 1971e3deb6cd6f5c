"""The requests of a load run, drawn from its plan ahead of the run.

Open loop: when a request is due does not depend on any answer, and latencies count from then, so that a slow
server hides nothing (Schroeder, Wierman, Harchol-Balter: Open Versus Closed, NSDI 2006).
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

from juniperreel.load.plan import Plan, Stage

SECOND_US = 1_000_000
NO_TENANT = -1


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request: when it is due, and what it asks.

    `stage`, `cls` and `tenant` are places in the plan, `tenant` NO_TENANT where it has none; `session` says
    whose rows, and in which group.
    """

    at_us: int
    number: int
    stage: int
    cls: int
    tenant: int
    session: int


def zipf_weights(count: int, exponent: float) -> list[float]:
    """Cumulative weights of `count` items, the n-th as 1/n^exponent."""
    return list(accumulate(1.0 / n**exponent for n in range(1, count + 1)))


def arrival_times(stage: Stage, rng: random.Random) -> Iterator[int]:
    """Yield arrival times from a stage's start, in microseconds.

    A burst comes first, then a Poisson process whose rate is a line, by thinning (Lewis and Shedler, 1979).
    """
    for _ in range(stage.burst):
        yield 0
    highest_rate = max(stage.rate, stage.end_rate)
    if highest_rate <= 0:
        return
    time_us = 0.0
    while (time_us := time_us + rng.expovariate(highest_rate) * SECOND_US) < stage.span_us:
        rate = stage.rate + (stage.end_rate - stage.rate) * time_us / stage.span_us
        if rng.random() * highest_rate < rate:
            yield int(time_us)


def draw_requests(plan: Plan) -> list[PlannedRequest]:
    """Return every request of the open stages, in order; the same for the same seed."""
    rng = random.Random(plan.seed)
    chooser = RequestChooser(plan, random.Random(rng.random()))
    requests: list[PlannedRequest] = []
    for index, stage in enumerate(plan.stages):
        for time_us in arrival_times(stage, rng):
            requests.append(chooser.draw(stage.start_us + time_us, len(requests), index))
    return requests


class RequestChooser:
    """Draws who asks for what."""

    def __init__(self, plan: Plan, rng: random.Random) -> None:
        self._rng = rng
        self._class_weights = list(accumulate(load_class.part for load_class in plan.classes))
        self._tenant_weights = list(accumulate(tenant.part for tenant in plan.tenants))
        self._session_weights = zipf_weights(plan.sessions, plan.skew)

    def draw(self, at_us: int, number: int, stage: int) -> PlannedRequest:
        """Draw class, tenant and session of the request that is due then."""
        cls = self._choose(self._class_weights)
        tenant = self._choose(self._tenant_weights) if self._tenant_weights else NO_TENANT
        session = self._choose(self._session_weights)
        return PlannedRequest(at_us, number, stage, cls, tenant, session)

    def _choose(self, cumulative_weights: list[float]) -> int:
        return self._rng.choices(range(len(cumulative_weights)), cum_weights=cumulative_weights)[0]
