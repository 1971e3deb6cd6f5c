"""Log positions between the groups' clocks and the module's, always on the safe side. Free of I/O.

The module compares positions by number. What a number means depends on its epoch: after a failover the
same number may name a commit that the group no longer holds. Here is the only place that knows both, and
it tells the module a smaller number whenever it is not sure.

One mapping serves positions and needs alike (minus the bound on skew), so that comparing the two loses
nothing, while a position compared with this clock counts as older than it may be.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from juniperreel.causal import History, Token
from juniperreel.pool.errors import InvalidGtidError
from juniperreel.pool.gtid import Gtid, GtidSet

KEPT_COMMITS = 10_000  # of a group; those of the last moments before a failover matter
NEVER_REACHED_US = 1 << 60  # a position later than any clock's reading


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a member says it stands: role, applied position, and its history of epochs. `clock_us`: its own,
    where it was told; a primary holds all that was committed on it until then."""

    primary: bool | None
    position: int
    history: History
    clock_us: int = 0


@dataclass(frozen=True, slots=True)
class Commit:
    epoch: int
    position: int
    gtid: Gtid


@dataclass(frozen=True, slots=True)
class Needs:
    """What a member must hold to answer a read: pairs of epoch and position, and floors of any epoch."""

    pairs: tuple[tuple[int, int], ...] = ()
    floor: int = 0
    oldest: int = 0

    def met_by(self, standing: Standing) -> bool:
        if standing.position < max(self.floor, self.oldest):
            return False
        history = standing.history
        return all(
            history.contains(e, p)
            # A primary holds what its own epoch committed, wherever its heartbeat stands.
            and (
                standing.position >= p
                or (standing.primary is True and e == history.epoch and standing.clock_us >= p)
            )
            for e, p in self.pairs
        )


class Positions:
    """The newest history that any member of each group has told of."""

    def __init__(self, skew_us: int) -> None:
        self.skew_us = skew_us
        self._newest: dict[int, History] = {}
        self._commits: dict[int, deque[Commit]] = {}  # by group, the latest last
        self._carried: OrderedDict[tuple[int, int, int], None] = OrderedDict()  # group, epoch, position

    def history(self, group: int) -> History:
        return self._newest.get(group, History(()))

    def learn(self, group: int, standing: Standing) -> None:
        known = self.history(group)
        told = standing.history
        if told.starts and (
            told.epoch > known.epoch or (len(told.starts) > len(known.starts) and told.epoch == known.epoch)
        ):
            self._newest[group] = told

    def deposed(self, group: int, standing: Standing) -> bool:
        """Whether the member lives in an epoch that is known to have ended."""
        return bool(standing.history.starts) and standing.history.epoch < self.history(group).epoch

    def primary(self, group: int, standing: Standing) -> bool | None:
        """The member's role. Danger: a deposed primary goes on claiming the role; its epoch tells."""
        return False if standing.primary and self.deposed(group, standing) else standing.primary

    def member_position(self, group: int, standing: Standing) -> int:
        """Its position on the module's clock. Of a member in an ended epoch only what the next one took
        over counts."""
        position = standing.position
        if standing.primary:
            position = max(position, standing.clock_us)
        if self.deposed(group, standing):
            later = [start for epoch, start in self.history(group).starts if epoch > standing.history.epoch]
            position = min(position, *later) if later else 0
        return position - self.skew_us

    # Commits around a failover.

    def committed(self, group: int, epoch: int, position: int, gtids: str) -> None:
        """A member that speaks MySQL confirmed a commit to this driver. Its position is rounded up to the
        member's clock and so may lie beyond the start of the next epoch, though that holds the commit; then
        its GTID tells."""
        try:
            gtid = Gtid.parse(gtids)
        except InvalidGtidError:
            return  # not told, or of a kind that is not known: only the position counts
        kept = self._commits.setdefault(group, deque(maxlen=KEPT_COMMITS))
        kept.append(Commit(epoch, position, gtid))

    def executed(self, group: int, standing: Standing, gtids: str) -> None:
        """What a member holds, by GTID: commits of epochs before its own are found there, or were lost."""
        commits = self._commits.get(group)
        epoch = standing.history.epoch
        if not commits or not any(c.epoch < epoch for c in commits) or self.deposed(group, standing):
            return
        try:
            held = GtidSet.parse(gtids)
        except InvalidGtidError:
            return
        for commit in [c for c in commits if c.epoch < epoch]:
            commits.remove(commit)
            if commit.gtid in held:
                self._carried[group, commit.epoch, commit.position] = None
                if len(self._carried) > KEPT_COMMITS:
                    self._carried.popitem(last=False)

    def healed(self, group: int, token: Token) -> Token:
        """The token with commits that a later epoch is known to hold told as that epoch's start."""
        if not self._carried:
            return token
        known = self.history(group)
        entries = dict(token.entries)
        for epoch, position in token.positions_in(group):
            if (group, epoch, position) in self._carried and not known.contains(epoch, position):
                later = next(((e, start) for e, start in known.starts if e > epoch), None)
                if later is not None:
                    del entries[group, epoch]
                    at = (group, later[0])
                    entries[at] = max(entries.get(at, 0), later[1])
        return token if entries == dict(token.entries) else Token.from_entries(entries, token.floor)

    def holds_commit(self, group: int, epoch: int, commit: int) -> bool:
        """Whether a commit confirmed just now stands in the newest history known."""
        known = self.history(group)
        return not known.starts or epoch > known.epoch or known.contains(epoch, commit)

    def session_age(self, now_us: int, group: int, token: Token) -> int | None:
        """How long ago, on the module's clock, the position lies that a read must see; None for none.

        Of a commit that no known history holds the position is one that is never reached: the module
        waits and then refuses, as with any position that nobody is known to have reached.
        """
        known = self.history(group)
        pairs = token.positions_in(group)
        if not pairs and not token.floor:
            return None
        needed = token.floor
        for epoch, position in pairs:
            if known.starts and epoch < known.epoch and not known.contains(epoch, position):
                needed = NEVER_REACHED_US
            needed = max(needed, position)
        return now_us - (needed - self.skew_us)

    def needs(self, now_us: int, group: int, token: Token, lag_allowed_us: int | None) -> Needs:
        """What is asked of the member itself, which knows its own epoch and position best."""
        oldest = 0 if lag_allowed_us is None else max(0, now_us + self.skew_us - lag_allowed_us)
        return Needs(tuple(token.positions_in(group)), token.floor, oldest)
