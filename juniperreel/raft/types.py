"""Data types shared by the components of a node."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class EntryKind(Enum):
    """The type of a log entry. The values are part of the wire and storage formats."""

    COMMAND = 0
    NOOP = 1  # the first entry of a leader's term (dissertation, 6.4)
    CONFIG = 2


class Role(Enum):
    """A node's role in the current term. The values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry. It is encoded as a map, so the field names are part of the wire format."""

    term: int
    index: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Position of a proposed entry. It was committed only if the entry at `index` still has `term`."""

    term: int
    index: int


@dataclass(frozen=True, slots=True)
class Membership:
    """The members of the group. Encoded as a map, so the field names are part of the wire format.

    Learners receive the log but do not count towards a quorum (dissertation, 4.2.1). Names in `retired` were
    removed and cannot be added again: a node that lost its disk, and with it its vote, must not rejoin under
    a name that has voted.
    """

    voters: frozenset[str]
    learners: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        """All nodes that receive the log: voters and learners."""
        return self.voters | self.learners

    def quorum(self) -> int:
        """The number of voters in a majority."""
        return len(self.voters) // 2 + 1


class MembershipChange(Enum):
    """A single-server membership change (dissertation, 4.1): old and new quorums always overlap."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class HardState:
    """State that must be durable before a message that depends on it is sent (paper, figure 2).

    `commit` is not required for safety; it only shortens recovery after a restart.
    """

    term: int = 0
    vote: str | None = None
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State machine state after `index` with the membership in force there (paper, section 7)."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True)
class RecoveredState:
    """The contents of a node's storage when it was opened; the core starts from it.

    `compacted_index` and `compacted_term` are those of the entry before the first one in `entries`. They are
    lower than the snapshot's if entries were retained behind it; `compacted_index` is None if none were.
    """

    hard_state: HardState
    snapshot: Snapshot
    entries: Sequence[Entry] = ()
    compacted_index: int | None = None
    compacted_term: int = 0


@dataclass(frozen=True, slots=True)
class RaftStatus:
    """A node's status and its view of the group.

    `match_indexes` is the match index of each follower on a leader, and empty on other nodes.
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
