"""Translates log positions between the groups' clocks and the router's, always on the safe side. No I/O.

The router compares positions by number. What a number means depends on its epoch: after a failover the
same number may name a commit that the group no longer holds. Only this module knows both,
and it reports a smaller number whenever it is not sure.

One mapping serves applied and required positions alike (minus the bound on clock skew), so that comparing
the two loses nothing, while a position compared with this clock counts as older than it may be.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

from juniperreel.causal import History, Token
from juniperreel.pool.errors import InvalidGtidError
from juniperreel.pool.gtid import Gtid, GtidSet

MAX_TRACKED_COMMITS = 10_000  # per group; only those of the last moments before a failover matter
NEVER_REACHED_US = 1 << 60  # a position later than any clock's reading


class EpochPosition(NamedTuple):
    """A log position, on its group's clock, in the epoch that committed it."""

    epoch: int
    position: int


class CarriedCommit(NamedTuple):
    """A commit of an ended epoch that a later epoch is known to hold."""

    group: int
    epoch: int
    position: int


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """What an endpoint reports of itself: role, applied position, and its history of epochs.

    `clock_us` is the endpoint's own clock at the time of the report; a primary holds all that was committed
    on it until then. `is_primary` is None where the role is unknown.
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
    """What an endpoint must have applied to serve a read.

    `commits` are positions within their epochs; `floor` and `oldest` are positions of any epoch, from the
    session's token and from the bound on staleness.
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
        # A primary holds what its own epoch committed, wherever its heartbeat stands.
        is_own_epoch = status.is_primary is True and commit.epoch == history.epoch
        return is_own_epoch and status.clock_us >= commit.position


class PositionTracker:
    """Owns the newest epoch history that any endpoint of each group has reported."""

    def __init__(self, skew_us: int) -> None:
        """`skew_us` bounds the difference between the clocks of groups and this program."""
        self.skew_us = skew_us
        self._newest: dict[int, History] = {}
        self._commits: dict[int, deque[Commit]] = {}  # by group, the latest last
        self._carried: OrderedDict[CarriedCommit, None] = OrderedDict()

    def history(self, group: int) -> History:
        """The newest history known of the group; an empty one where nothing is known."""
        return self._newest.get(group, History(()))

    def record_status(self, group: int, status: ReplicationStatus) -> None:
        """Take over the reported history if it is newer than the known one."""
        known = self.history(group)
        reported = status.history
        if not reported.starts:
            return
        is_longer = reported.epoch == known.epoch and len(reported.starts) > len(known.starts)
        if reported.epoch > known.epoch or is_longer:
            self._newest[group] = reported

    def is_deposed(self, group: int, status: ReplicationStatus) -> bool:
        """Whether the endpoint lives in an epoch that is known to have ended."""
        return bool(status.history.starts) and status.history.epoch < self.history(group).epoch

    def is_primary(self, group: int, status: ReplicationStatus) -> bool | None:
        """The endpoint's role, None where it is unknown.

        A deposed primary goes on claiming the role; only its epoch shows that it lost it.
        """
        if status.is_primary and self.is_deposed(group, status):
            return False
        return status.is_primary

    def applied_position(self, group: int, status: ReplicationStatus) -> int:
        """The endpoint's applied position on the router's clock.

        Of an endpoint in an ended epoch only what the next epoch took over counts.
        """
        position = status.position
        if status.is_primary:
            position = max(position, status.clock_us)
        if self.is_deposed(group, status):
            later = [start for epoch, start in self.history(group).starts if epoch > status.history.epoch]
            position = min(position, *later) if later else 0
        return position - self.skew_us

    # Commits around a failover.

    def record_commit(self, group: int, epoch: int, position: int, gtids: str) -> None:
        """Remember a commit that an endpoint speaking MySQL confirmed to this driver.

        Its position is rounded up to the endpoint's clock and so may lie beyond the start of the next epoch
        although that epoch holds the commit; then its GTID decides.
        """
        try:
            gtid = Gtid.parse(gtids)
        except InvalidGtidError:
            return  # none was sent, or one of an unknown kind: only the position counts
        commits = self._commits.setdefault(group, deque(maxlen=MAX_TRACKED_COMMITS))
        commits.append(Commit(epoch, position, gtid))

    def record_executed_gtids(self, group: int, status: ReplicationStatus, gtids: str) -> None:
        """Look up commits of earlier epochs among the GTIDs that an endpoint executed; the rest are lost."""
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
        """The token, with commits that a later epoch is known to hold replaced by that epoch's start."""
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
        """Whether a commit confirmed just now is part of the newest history known."""
        known = self.history(group)
        return not known.starts or epoch > known.epoch or known.contains(epoch, commit_position)

    def session_age(self, now_us: int, group: int, token: Token) -> int | None:
        """How long ago, on the router's clock, the position lies that a read must see; None for none.

        Of a commit that no known history holds the position is one that is never reached: the router
        waits and then rejects, as with any position that no endpoint is known to have reached.
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
        """What is demanded of the endpoint itself, which knows its own epoch and position best."""
        oldest = 0 if max_staleness_us is None else max(0, now_us + self.skew_us - max_staleness_us)
        commits = tuple(EpochPosition(*pair) for pair in token.positions_in(group))
        return RequiredPosition(commits, token.floor, oldest)
