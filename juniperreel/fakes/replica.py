"""A fake endpoint's copy of its group's data: log, applied state, and epoch history."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from juniperreel.fakes.store import Commit, Store


class LogPosition(NamedTuple):
    """Identifies an entry of a group's log."""

    epoch: int
    position: int


class EpochStart(NamedTuple):
    """An epoch, and the last position that it took over from the previous one."""

    epoch: int
    start: int


class ExecutedWrite(NamedTuple):
    """The result of a write with an idempotency key: its commit position and the number of rows changed."""

    position: int
    rows: int


class ReplicaState:
    """A copy of the group's data. Positions are in microseconds on the group's clock."""

    def __init__(self) -> None:
        self.store = Store()
        self.log: list[Commit] = []
        self.received = 0  # the log is complete up to this position
        self.position = 0  # applied up to this position
        self.epochs: list[EpochStart] = [EpochStart(1, 0)]
        self.executed_writes: dict[str, ExecutedWrite] = {}  # by idempotency key
        self.apply_slowdown = 1.0  # factor on the time to apply a commit, set by a fault
        self.apply_budget = 0.0  # number of commits that may be applied now

    @property
    def epoch(self) -> int:
        """The latest epoch known to this copy."""
        return self.epochs[-1].epoch

    def apply(self, commit: Commit) -> int:
        """Apply the next commit and return the number of rows changed."""
        rows = self.store.apply(commit)
        if commit.idempotency_key:
            self.executed_writes[commit.idempotency_key] = ExecutedWrite(commit.position, rows)
        return rows

    def apply_all(self) -> None:
        """Apply the rest of the log."""
        while self.store.applied < len(self.log):
            self.apply(self.log[self.store.applied])

    def forget_writes(self, before: int) -> None:
        """Discard the idempotency keys of writes below a position."""
        expired = [key for key, write in self.executed_writes.items() if write.position < before]
        for key in expired:
            del self.executed_writes[key]

    def common_prefix(self, other: Iterable[LogPosition]) -> int:
        """The number of leading entries that are the same in this log and another."""
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
        """Follow a primary whose log has the first entries in common, and truncate the rest of this log."""
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
            # Positions received beyond this belong to the old epoch.
            self.received = min(self.received, newest.start)
        self.position = min(self.position, self.received)
        self.epochs = list(epochs)

    def append(self, entries: Iterable[Commit], heartbeat: int) -> None:
        """Append entries, after which the log is complete up to the heartbeat's position."""
        self.log.extend(entries)
        self.received = max(self.received, heartbeat)
