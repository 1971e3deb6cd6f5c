"""A group's history of epochs: which commits of an older epoch the newer ones still hold.

A member tells, with its epoch, where each of its last epochs began: `start` is the last position taken
over from the epoch before. What an older epoch committed beyond that was cut off by the failover.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from juniperreel.causal.token import Token

KEPT = 16  # epochs that a member tells of; older ones are not known to be reached


@dataclass(frozen=True, slots=True)
class History:
    """`starts`: (epoch, start position), oldest first, the last being the current epoch."""

    starts: tuple[tuple[int, int], ...]

    @staticmethod
    def of(starts: Iterable[tuple[int, int]]) -> History:
        return History(tuple(sorted(starts))[-KEPT:])

    @property
    def epoch(self) -> int:
        return self.starts[-1][0] if self.starts else 0

    def holds(self, epoch: int, position: int) -> bool:
        """Whether this history holds what `epoch` had committed up to `position`, once applied that far.

        False also for what is not known: a newer epoch, or one older than the history tells of.
        """
        if epoch == self.epoch:
            return True
        later = [start for number, start in self.starts if number > epoch]
        known = bool(self.starts) and (self.starts[0][0] <= epoch or self.starts[0][0] == epoch + 1)
        return bool(later) and known and position <= min(later)

    def needed(self, token: Token, group: int) -> int | None:
        """The position a member must have applied to satisfy the token; 0 for anything, None for never."""
        needed = token.floor
        for epoch, position in token.of_group(group):
            if not self.holds(epoch, position):
                return None
            needed = max(needed, position)
        return needed

    def satisfies(self, position: int, token: Token, group: int) -> bool:
        needed = self.needed(token, group)
        return needed is not None and position >= needed
