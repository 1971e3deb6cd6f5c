"""The records that the parts of a node share. Nothing here decides anything."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class EntryKind(Enum):
    """What an entry of the log is for. The values are stored and sent."""

    COMMAND = 0
    NOOP = 1  # a leader's first entry in its term (dissertation, 6.4)
    CONFIG = 2


class Role(Enum):
    """What a node is in its term. The values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log. It is sent as a map of its fields, so the field names are part of the wire."""

    term: int
    index: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Where a proposed entry stands. It was committed only if the entry at `index` still has `term`."""

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class Membership:
    """Who belongs to the group. It is sent as a map of its fields, so their names are part of the wire.

    Learners receive the log and do not count for a quorum (dissertation, 4.2.1). Names in `retired` have left
    and never come back: a node whose disk lost its vote must not return under a name that voted.
    """

    voters: frozenset[str]
    learners: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        """Everybody who receives the log: voters and learners."""
        return self.voters | self.learners

    def quorum(self) -> int:
        """The number of voters that make a majority."""
        return len(self.voters) // 2 + 1


class MembershipChange(Enum):
    """One step of membership (dissertation, 4.1): any quorum before it overlaps with any quorum after it."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class HardState:
    """What must be on disk before a message that depends on it is sent (paper, figure 2).

    `commit` need not be durable; it only saves work after a restart.
    """

    term: int = 0
    vote: str | None = None
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after `index`, and the membership in force there (paper, section 7)."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True)
class RecoveredState:
    """What a node's storage held when it was opened; the core starts from it.

    `compacted_index` and `compacted_term` belong to the entry before the first one in `entries`. They are
    lower than the snapshot's where entries were kept behind it, and `compacted_index` is None where none
    were.
    """

    hard_state: HardState
    snapshot: Snapshot
    entries: Sequence[Entry] = ()
    compacted_index: int | None = None
    compacted_term: int = 0


@dataclass(frozen=True, slots=True)
class RaftStatus:
    """A node's view of itself and of its group.

    `match_indexes` is empty on all but a leader, where it tells what each follower is known to hold.
    """

    name: str
    role: Role
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    first_index: int
    last_index: int
    membership: Membership
    match_indexes: dict[str, int]
