"""One fake endpoint's copy of its group's data: the log, what of it is applied, and the history of epochs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from juniperreel.fakes.store import Commit, Store


class LogPosition(NamedTuple):
    """Identifies an entry of a group's log."""

    epoch: int
    position: int


class EpochStart(NamedTuple):
    """The last position that an epoch took over from the one before."""

    epoch: int
    start: int


class ExecutedWrite(NamedTuple):
    """What a write that carried an idempotency key did: its commit position and the rows changed."""

    position: int
    rows: int


class ReplicaState:
    """A copy of the group's data. Positions are microseconds on the group's clock."""

    def __init__(self) -> None:
        self.store = Store()
        self.log: list[Commit] = []
        self.received = 0  # position up to which the log is complete
        self.position = 0  # up to which it is applied
        self.epochs: list[EpochStart] = [EpochStart(1, 0)]
        self.executed_writes: dict[str, ExecutedWrite] = {}  # by idempotency key
        self.apply_slowdown = 1.0  # a fault: factor on the time that applying a commit takes
        self.apply_budget = 0.0  # commits that may be applied now

    @property
    def epoch(self) -> int:
        """The newest epoch that this copy knows of."""
        return self.epochs[-1].epoch

    def apply(self, commit: Commit) -> int:
        """Apply the next commit and return the number of rows changed."""
        rows = self.store.apply(commit)
        if commit.idempotency_key:
            self.executed_writes[commit.idempotency_key] = ExecutedWrite(commit.position, rows)
        return rows

    def apply_all(self) -> None:
        """Apply all that is in the log."""
        while self.store.applied < len(self.log):
            self.apply(self.log[self.store.applied])

    def forget_writes(self, before: int) -> None:
        """Forget the idempotency keys of writes below a position."""
        expired = [key for key, write in self.executed_writes.items() if write.position < before]
        for key in expired:
            del self.executed_writes[key]

    def common_prefix(self, other: Iterable[LogPosition]) -> int:
        """The number of leading entries that another log has in common with this one."""
        length = 0
        for commit, position in zip(self.log, other, strict=False):
            if LogPosition(commit.epoch, commit.position) != position:
                break
            length += 1
        return length

    def log_positions(self) -> list[LogPosition]:
        """The positions of all entries of the log."""
        return [LogPosition(commit.epoch, commit.position) for commit in self.log]

    def follow(self, common_prefix: int, epochs: Sequence[EpochStart]) -> None:
        """Follow a primary whose log has the first entries in common; a failover cut off the others."""
        if common_prefix < len(self.log):
            self.log = self.log[:common_prefix]
            self.received = min(self.received, self.log[-1].position if self.log else 0)
        if self.store.applied > common_prefix:
            self.executed_writes = {}
            self.store.rebuild(())
            for commit in self.log:
                self.apply(commit)
        newest = epochs[-1]
        if newest.epoch != self.epoch:
            # What was received beyond belongs to the old epoch.
            self.received = min(self.received, newest.start)
        self.position = min(self.position, self.received)
        self.epochs = list(epochs)

    def append(self, entries: Iterable[Commit], heartbeat: int) -> None:
        """Append entries; the log is complete up to the position of the heartbeat."""
        self.log.extend(entries)
        self.received = max(self.received, heartbeat)
