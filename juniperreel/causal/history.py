"""A group's history of epochs: which commits of an older epoch the newer ones still contain.

With its current epoch, an endpoint reports where each of its latest epochs began: the start is the last
position that was taken over from the epoch before. What an older epoch committed beyond that was lost in the
failover.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.causal.token import Token

MAX_EPOCHS = 16  # of a history; older epochs are not known to be contained


class EpochStart(NamedTuple):
    """One epoch, and the last position that it took over from the epoch before."""

    epoch: int
    position_us: int


@dataclass(frozen=True, slots=True)
class History:
    """The latest epochs of a group, oldest first; the last is the current one."""

    starts: tuple[EpochStart, ...]

    @staticmethod
    def from_starts(starts: Iterable[tuple[int, int]]) -> History:
        """A history from pairs of epoch and start position, in any order."""
        ordered = sorted(EpochStart(*start) for start in starts)
        return History(tuple(ordered[-MAX_EPOCHS:]))

    @property
    def epoch(self) -> int:
        """The current epoch; 0 if none is known."""
        return self.starts[-1].epoch if self.starts else 0

    def contains(self, epoch: int, position_us: int) -> bool:
        """Whether this history contains what `epoch` had committed up to a position, once applied that far.

        False also for what is unknown: a newer epoch, or one older than the history reaches.
        """
        if epoch == self.epoch:
            return True
        later_positions = [start.position_us for start in self.starts if start.epoch > epoch]
        if not later_positions:
            return False
        oldest_epoch = self.starts[0].epoch
        is_known = oldest_epoch <= epoch or oldest_epoch == epoch + 1
        return is_known and position_us <= min(later_positions)

    def required_position(self, token: Token, group: int) -> int | None:
        """The position that satisfies the token once applied: 0 if any does, None if none ever will."""
        required_us = token.floor
        for epoch, position_us in token.positions_in(group):
            if not self.contains(epoch, position_us):
                return None
            required_us = max(required_us, position_us)
        return required_us

    def satisfies(self, applied_us: int, token: Token, group: int) -> bool:
        """Whether an endpoint with this history and applied position may answer a read with the token."""
        required_us = self.required_position(token, group)
        return required_us is not None and applied_us >= required_us
