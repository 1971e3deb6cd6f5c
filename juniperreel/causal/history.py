"""A group's epoch history, which determines the commits of older epochs that newer ones still contain.

In addition to its current epoch, an endpoint reports the start of each of its latest epochs: the last
position that it inherited from the previous epoch. Commits of an older epoch beyond that position were lost
in the failover.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.causal.token import Token

MAX_EPOCHS = 16  # per history; commits of older epochs count as unknown


class EpochStart(NamedTuple):
    """An epoch, and the last position that it inherited from the previous epoch."""

    epoch: int
    position_us: int


@dataclass(frozen=True, slots=True)
class History:
    """The latest epochs of a group, in ascending order; the last one is current."""

    starts: tuple[EpochStart, ...]

    @staticmethod
    def from_starts(starts: Iterable[tuple[int, int]]) -> History:
        """Create a history from pairs of epoch and start position, in any order."""
        ordered = sorted(EpochStart(*start) for start in starts)
        return History(tuple(ordered[-MAX_EPOCHS:]))

    @property
    def epoch(self) -> int:
        """The current epoch, or 0 if none is known."""
        return self.starts[-1].epoch if self.starts else 0

    def contains(self, epoch: int, position_us: int) -> bool:
        """Return whether this history includes the commits of `epoch` up to a position.

        An endpoint then has them once it has applied that position. The result is also False if this is
        unknown: for a newer epoch, or one older than the history covers.
        """
        if epoch == self.epoch:
            return True
        later_start_positions = [start.position_us for start in self.starts if start.epoch > epoch]
        if not later_start_positions:
            return False
        oldest_epoch = self.starts[0].epoch
        is_epoch_known = oldest_epoch <= epoch or oldest_epoch == epoch + 1
        return is_epoch_known and position_us <= min(later_start_positions)

    def required_position(self, token: Token, group: int) -> int | None:
        """Return the position that must be applied to satisfy the token; 0 if any does, None if none will."""
        required_us = token.floor
        for epoch, position_us in token.positions_in(group):
            if not self.contains(epoch, position_us):
                return None
            required_us = max(required_us, position_us)
        return required_us

    def satisfies(self, applied_us: int, token: Token, group: int) -> bool:
        """Return whether an endpoint with this history and applied position may serve a read for a token."""
        required_us = self.required_position(token, group)
        return required_us is not None and applied_us >= required_us
