"""Pressure: the mean of response time over latency objective, by endpoint, group and role.

Measures without policy decisions; tuning constants are arguments.
"""

from __future__ import annotations

from juniperreel.routing.endpoint_state import EndpointState
from juniperreel.routing.estimators import DecayingMean
from juniperreel.routing.state import RouterState


class PressureTable:
    """Holds the pressure of all replicas and of all primaries; endpoints and groups hold their own."""

    def __init__(self, state: RouterState, min_weight: float, samples: int) -> None:
        """Use a level from `min_weight` recent samples on; `samples` is the sample count of a mean."""
        self._state = state
        self._min_weight = min_weight
        self._samples = samples
        objectives = [item.latency_objective_us for item in state.settings.classes]
        self._shortest_objective_us = min(objectives, default=1)
        self._all_replicas = state.new_pressure()
        self._all_primaries = state.new_pressure()

    def observe(self, endpoint: EndpointState, sample: float) -> None:
        """Add a sample to the pressure of the endpoint, its group and its role."""
        for level in self._levels(endpoint):
            level.observe(self._state.now_us, sample)

    def value(self, endpoint: EndpointState) -> float:
        """Return the endpoint's own pressure, or with few recent samples that of its group or role."""
        levels = self._levels(endpoint)
        known = [level for level in levels if level.weight(self._state.now_us) >= self._min_weight]
        level = known[0] if known else levels[-1]
        return self.with_overdue(endpoint, level.value(self._state.now_us))

    def with_overdue(self, endpoint: EndpointState, level: float) -> float:
        """Count attempts in flight for longer than `level` as responses of their current age.

        Responses alone show a queue only after they have passed through it.
        """
        overdue = []
        for attempt in endpoint.in_flight.values():  # in order of sending
            elapsed_us = self._state.now_us - attempt.sent_us
            if elapsed_us / self._shortest_objective_us <= level:
                break  # nor is any later attempt overdue
            age = elapsed_us / attempt.latency_objective_us
            if age > level:
                overdue.append(age)
        return (level * self._samples + sum(overdue)) / (self._samples + len(overdue))

    def has_primary_samples(self) -> bool:
        """Whether all primaries together have enough recent samples."""
        return self._all_primaries.weight(self._state.now_us) >= self._min_weight

    def _levels(self, endpoint: EndpointState) -> list[DecayingMean]:
        group = self._state.group_with(endpoint)
        if endpoint is group.primary:
            return [endpoint.pressure, self._all_primaries]
        return [endpoint.pressure, group.pressure, self._all_replicas]
