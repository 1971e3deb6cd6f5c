"""Estimates the offset between this machine's wall clock and the endpoints', from their reported positions.

Positions and endpoint start times are wall-clock times of other machines. This process reads its own wall
clock once, at start, when it may be off. A position cannot lie in the future, and a primary's position is
close to the present: reports that contradict the local clock and agree with each other reveal its offset.
Performs no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

TOLERANCE_US = 100_000  # by which a position may be ahead; synchronized clocks differ by less
MAX_PRIMARY_AGE_US = 1_000_000  # of a primary's position on arrival, with synchronized clocks
AGREEMENT_US = 1_000_000  # samples within this range indicate the same offset
MIN_AGREEING = 3  # fewer agreeing samples count as corrupt reports
# A group's positions stop advancing while it has no primary, and a large outage can affect many groups at
# once. A clock that is ahead by seconds cannot be distinguished from that; no outage lasts this long.
MIN_FORWARD_STEP_US = 600_000_000
SAMPLE_COUNT = 9


@dataclass(frozen=True, slots=True)
class PositionSample:
    """How far a reported position was ahead of this process's clock.

    `ahead_us` is relative to the time of reading, which may be late; `ahead_of_query_us` to the query's time.
    """

    endpoint: str
    is_primary: bool
    ahead_us: int
    ahead_of_query_us: int


class EndpointClock:
    """Converts endpoint times to this process's clock."""

    def __init__(self) -> None:
        """Start with an offset of zero."""
        self.offset_us = 0  # the endpoints' clock minus this process's
        self._samples: deque[PositionSample] = deque(maxlen=SAMPLE_COUNT)

    def to_driver_us(self, endpoint_time_us: int) -> int:
        """Convert a time of the endpoints' clock to this process's clock."""
        return endpoint_time_us - self.offset_us

    def is_plausible(self, endpoint_time_us: int, now_us: int) -> bool:
        """Return whether a position does not lie in the future.

        A future position means that the local clock is behind or that the report is corrupt. Either way it
        says nothing about the endpoint's freshness.
        """
        return self.to_driver_us(endpoint_time_us) <= now_us + TOLERANCE_US

    def observe(self, endpoint: str, is_primary: bool, position_us: int, asked_us: int, now_us: int) -> int:
        """Record a position; return the resulting change of the offset, or 0."""
        position_us = self.to_driver_us(position_us)
        self._samples.append(
            PositionSample(endpoint, is_primary, position_us - now_us, position_us - asked_us)
        )
        change_us = self._clock_behind_us() or self._clock_ahead_us()
        if change_us:
            self.offset_us += change_us
            self._samples.clear()
        return change_us

    def _clock_behind_us(self) -> int:
        """Return by how much this process's clock is known to be behind, or 0."""
        ahead = sorted(sample.ahead_us for sample in self._samples if sample.ahead_us > TOLERANCE_US)
        if not ahead:
            return 0
        middle_us = ahead[len(ahead) // 2]
        agreeing = [ahead_us for ahead_us in ahead if abs(ahead_us - middle_us) <= AGREEMENT_US]
        consistent_with_clock = sum(self._is_consistent(sample) for sample in self._samples)
        if len(agreeing) < MIN_AGREEING or len(agreeing) <= consistent_with_clock:
            return 0
        return max(agreeing)

    @staticmethod
    def _is_consistent(sample: PositionSample) -> bool:
        return sample.is_primary and -MAX_PRIMARY_AGE_US <= sample.ahead_us <= TOLERANCE_US

    def _clock_ahead_us(self) -> int:
        """Return by how much this process's clock is known to be ahead, as a negative number, or 0.

        Uses the freshest position, relative to the time of its query because this process may have been
        suspended since. Half of the tolerance is kept as a margin: if the local clock fell behind the
        endpoints', stale data would look fresh.
        """
        if len(self._samples) < SAMPLE_COUNT or not any(sample.is_primary for sample in self._samples):
            return 0
        freshest_us = max(sample.ahead_of_query_us for sample in self._samples)
        if freshest_us > -MIN_FORWARD_STEP_US:
            return 0
        oldest_primary_us = min(s.ahead_of_query_us for s in self._samples if s.is_primary)
        if freshest_us - oldest_primary_us > AGREEMENT_US:
            return 0
        return freshest_us + TOLERANCE_US // 2
