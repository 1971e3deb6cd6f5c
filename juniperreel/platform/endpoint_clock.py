"""How far this machine's wall clock is from that of the endpoints, learned from the positions that they tell.

Positions, and the times at which endpoints started, are wall-clock times of other machines. This process read
its own machine's wall clock once, at its start, and that may have been stepped before. A position can't lie
in the future, and a primary stands at the present: answers that contradict the clock, and agree with each
other, show by how much it is off. Free of I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

TOLERANCE_US = 100_000  # by which a position may be ahead; readings of two machines differ by less
MAX_PRIMARY_AGE_US = 1_000_000  # of a primary's position when it arrives, on clocks that agree
AGREEMENT_US = 1_000_000  # samples no further apart than this show the same step
MIN_AGREEING = 3  # fewer are spoilt answers
# Positions of a group stand still while it has no primary, and those of many groups where many fail at once:
# a step of seconds can't be told from that, and no group stands still for so long.
CERTAIN_STEP_US = 600_000_000
SAMPLES = 9


@dataclass(frozen=True, slots=True)
class Sample:
    """A position that was told: by how much it was ahead of this process's clock.

    `ahead_us`: when it was read here, which may be late; `ahead_of_query_us`: when it was asked for.
    """

    endpoint: str
    is_primary: bool
    ahead_us: int
    ahead_of_query_us: int


class EndpointClock:
    """Translates times of endpoints to this process's clock."""

    def __init__(self) -> None:
        """Believe the wall clock."""
        self.offset_us = 0  # the endpoints' clock less this process's
        self._samples: deque[Sample] = deque(maxlen=SAMPLES)

    def to_driver_us(self, endpoint_time_us: int) -> int:
        """Return a time of the endpoints' clock on this process's."""
        return endpoint_time_us - self.offset_us

    def is_plausible(self, endpoint_time_us: int, now_us: int) -> bool:
        """Return whether a position is not in the future.

        One that is shows a clock that is behind, or a spoilt answer: neither says how fresh an endpoint is.
        """
        return self.to_driver_us(endpoint_time_us) <= now_us + TOLERANCE_US

    def observe(self, endpoint: str, is_primary: bool, position_us: int, asked_us: int, now_us: int) -> int:
        """Take note of a position; return by how much the offset has changed because of it."""
        position_us = self.to_driver_us(position_us)
        self._samples.append(Sample(endpoint, is_primary, position_us - now_us, position_us - asked_us))
        change_us = self._step_back_us() or self._step_forward_us()
        if change_us:
            self.offset_us += change_us
            self._samples.clear()
        return change_us

    def _step_back_us(self) -> int:
        """By how much this process's clock is known to be behind."""
        ahead = sorted(sample.ahead_us for sample in self._samples if sample.ahead_us > TOLERANCE_US)
        if not ahead:
            return 0
        middle_us = ahead[len(ahead) // 2]
        agreeing = [ahead_us for ahead_us in ahead if abs(ahead_us - middle_us) <= AGREEMENT_US]
        agreeing_with_the_clock = sum(self._is_present(sample) for sample in self._samples)
        if len(agreeing) < MIN_AGREEING or len(agreeing) <= agreeing_with_the_clock:
            return 0
        return max(agreeing)

    @staticmethod
    def _is_present(sample: Sample) -> bool:
        return sample.is_primary and -MAX_PRIMARY_AGE_US <= sample.ahead_us <= TOLERANCE_US

    def _step_forward_us(self) -> int:
        """By how much this process's clock is known to be ahead, as a negative number.

        The freshest of all positions is at least that old, counted from when it was asked for, as this
        process may have been held up since. A part of the tolerance is left: behind the endpoints' clock, old
        data would look fresh.
        """
        if len(self._samples) < SAMPLES or not any(sample.is_primary for sample in self._samples):
            return 0
        freshest_us = max(sample.ahead_of_query_us for sample in self._samples)
        if freshest_us > -CERTAIN_STEP_US:
            return 0
        oldest_primary_us = min(s.ahead_of_query_us for s in self._samples if s.is_primary)
        if freshest_us - oldest_primary_us > AGREEMENT_US:
            return 0
        return freshest_us + TOLERANCE_US // 2
