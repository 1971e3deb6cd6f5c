"""Translates log positions between the clocks of groups and the router's clock. Performs no I/O.

The router compares positions as numbers, but the meaning of a number depends on its epoch: after a failover,
the same number may stand for a commit that the group has lost. This module knows both, and reports the
smaller position when in doubt.

Applied and required positions are mapped in the same way, by subtracting the bound on clock skew. Comparing
the two is therefore exact, while a position compared with the edge's clock appears older than it may be.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.causal import History, Token
from juniperreel.pool.errors import InvalidGtidError
from juniperreel.pool.gtid import Gtid, GtidSet

MAX_TRACKED_COMMITS = 10_000  # per group; only commits shortly before a failover matter
NEVER_REACHED_US = 1 << 60  # a position beyond any reading of a clock


class EpochPosition(NamedTuple):
    """A log position, on its group's clock, in the epoch that committed it."""

    epoch: int
    position: int


class CarriedCommit(NamedTuple):
    """A commit of an ended epoch that is known to be part of a later epoch."""

    group: int
    epoch: int
    position: int


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """An endpoint's reported role, applied position and epoch history.

    `clock_us` is the endpoint's clock at the time of the report; a primary has applied everything that was
    committed on it until then. `is_primary` is None if the role is unknown.
    """

    is_primary: bool | None
    position: int
    history: History
    clock_us: int = 0


@dataclass(frozen=True, slots=True)
class Commit:
    """A commit that an endpoint confirmed to this driver."""

    epoch: int
    position: int
    gtid: Gtid


@dataclass(frozen=True, slots=True)
class RequiredPosition:
    """The positions that an endpoint must have applied to serve a read.

    `commits` are positions within their epochs. `floor`, from the session's token, and `oldest`, from the
    bound on staleness, are positions in any epoch.
    """

    commits: tuple[EpochPosition, ...] = ()
    floor: int = 0
    oldest: int = 0

    def is_met_by(self, status: ReplicationStatus) -> bool:
        """Whether an endpoint of this status has applied everything required."""
        if status.position < max(self.floor, self.oldest):
            return False
        return all(self._is_applied(commit, status) for commit in self.commits)

    @staticmethod
    def _is_applied(commit: EpochPosition, status: ReplicationStatus) -> bool:
        history = status.history
        if not history.contains(commit.epoch, commit.position):
            return False
        if status.position >= commit.position:
            return True
        # A primary has applied everything that its own epoch committed, whatever its heartbeat reports.
        is_own_epoch = status.is_primary is True and commit.epoch == history.epoch
        return is_own_epoch and status.clock_us >= commit.position


class PositionTracker:
    """Owns the newest epoch history that any endpoint of a group has reported, for each group."""

    def __init__(self, skew_us: int) -> None:
        """`skew_us` is the bound on the difference between the clocks of groups and of the edge."""
        self.skew_us = skew_us
        self._newest: dict[int, History] = {}
        self._commits: dict[int, deque[Commit]] = {}  # by group, in order of confirmation
        self._carried: OrderedDict[CarriedCommit, None] = OrderedDict()

    def history(self, group: int) -> History:
        """Return the group's newest known history, an empty one if none is known."""
        return self._newest.get(group, History(()))

    def record_status(self, group: int, status: ReplicationStatus) -> None:
        """Record the reported history if it is newer than the known one."""
        known = self.history(group)
        reported = status.history
        if not reported.starts:
            return
        is_longer = reported.epoch == known.epoch and len(reported.starts) > len(known.starts)
        if reported.epoch > known.epoch or is_longer:
            self._newest[group] = reported

    def is_deposed(self, group: int, status: ReplicationStatus) -> bool:
        """Whether the endpoint's epoch is known to have ended."""
        return bool(status.history.starts) and status.history.epoch < self.history(group).epoch

    def is_primary(self, group: int, status: ReplicationStatus) -> bool | None:
        """Whether the endpoint is a primary, None if its role is unknown.

        A deposed primary may still report itself as primary; only its epoch shows that it is not.
        """
        if status.is_primary and self.is_deposed(group, status):
            return False
        return status.is_primary

    def applied_position(self, group: int, status: ReplicationStatus) -> int:
        """Return the endpoint's applied position on the router's clock.

        For an endpoint in an ended epoch, the position is limited to the start of the next epoch.
        """
        position = status.position
        if status.is_primary:
            position = max(position, status.clock_us)
        if self.is_deposed(group, status):
            later = [start for epoch, start in self.history(group).starts if epoch > status.history.epoch]
            position = min(position, *later) if later else 0
        return position - self.skew_us

    # Commits before a failover.

    def record_commit(self, group: int, epoch: int, position: int, gtids: str) -> None:
        """Record a commit that a MySQL endpoint confirmed to this driver.

        Its position is rounded up to the endpoint's clock, and may therefore be beyond the start of the next
        epoch although that epoch includes the commit. Its GTID then decides whether the commit was lost.
        """
        try:
            gtid = Gtid.parse(gtids)
        except InvalidGtidError:
            return  # no GTID, or one in an unknown format: the position decides
        commits = self._commits.setdefault(group, deque(maxlen=MAX_TRACKED_COMMITS))
        commits.append(Commit(epoch, position, gtid))

    def record_executed_gtids(self, group: int, status: ReplicationStatus, gtids: str) -> None:
        """Look up the commits of earlier epochs in the GTIDs that an endpoint has executed.

        Commits that are not among them were lost.
        """
        commits = self._commits.get(group)
        epoch = status.history.epoch
        if not commits or not any(c.epoch < epoch for c in commits) or self.is_deposed(group, status):
            return
        try:
            executed = GtidSet.parse(gtids)
        except InvalidGtidError:
            return
        for commit in [c for c in commits if c.epoch < epoch]:
            commits.remove(commit)
            if commit.gtid in executed:
                self._record_carried(CarriedCommit(group, commit.epoch, commit.position))

    def _record_carried(self, commit: CarriedCommit) -> None:
        self._carried[commit] = None
        if len(self._carried) > MAX_TRACKED_COMMITS:
            self._carried.popitem(last=False)

    def with_carried_commits(self, group: int, token: Token) -> Token:
        """Return the token with each carried commit replaced by the start of the next epoch."""
        if not self._carried:
            return token
        known = self.history(group)
        entries = dict(token.entries)
        for epoch, position in token.positions_in(group):
            if CarriedCommit(group, epoch, position) not in self._carried or known.contains(epoch, position):
                continue
            later = next((EpochPosition(*start) for start in known.starts if start[0] > epoch), None)
            if later is not None:
                del entries[group, epoch]
                key = (group, later.epoch)
                entries[key] = max(entries.get(key, 0), later.position)
        return token if entries == dict(token.entries) else Token.from_entries(entries, token.floor)

    def holds_commit(self, group: int, epoch: int, commit_position: int) -> bool:
        """Whether a commit that was just confirmed is part of the newest known history."""
        known = self.history(group)
        return not known.starts or epoch > known.epoch or known.contains(epoch, commit_position)

    def session_age(self, now_us: int, group: int, token: Token) -> int | None:
        """Return the age, on the router's clock, of the position that a read requires; None if there is none.

        A lost commit requires a position that is never reached, so the router waits and then rejects the
        request, as with any position that no endpoint is known to have reached.
        """
        known = self.history(group)
        commits = token.positions_in(group)
        if not commits and not token.floor:
            return None
        needed = token.floor
        for epoch, position in commits:
            if known.starts and epoch < known.epoch and not known.contains(epoch, position):
                needed = NEVER_REACHED_US
            needed = max(needed, position)
        return now_us - (needed - self.skew_us)

    def required_position(
        self, now_us: int, group: int, token: Token, max_staleness_us: int | None
    ) -> RequiredPosition:
        """Return the requirement for the endpoint itself, which knows its own epoch and position best."""
        oldest = 0 if max_staleness_us is None else max(0, now_us + self.skew_us - max_staleness_us)
        commits = tuple(EpochPosition(*pair) for pair in token.positions_in(group))
        return RequiredPosition(commits, token.floor, oldest)
