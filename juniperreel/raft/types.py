"""What the core takes in and gives out. Nothing here decides anything."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class EntryKind(Enum):
    """What an entry of the log is for."""

    COMMAND = 0
    NOOP = 1  # a leader's first entry in its term (dissertation, 6.4)
    CONFIG = 2


class Role(Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Entry:
    term: int
    index: int
    kind: EntryKind
    data: bytes


@dataclass(frozen=True, slots=True)
class Membership:
    """Who belongs to the group. Learners receive the log and do not count (dissertation, 4.2.1).

    `retired` names have left and never come back: a disk that forgot its vote must not return under a name
    that is remembered.
    """

    voters: frozenset[str]
    learners: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        return self.voters | self.learners

    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


class MembershipChange(Enum):
    """One step of membership (dissertation, 4.1): any two quorums on its sides overlap."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class HardState:
    """What must be on disk before a message that depends on it leaves (paper, figure 2)."""

    term: int = 0
    vote: str | None = None
    commit: int = 0  # need not be durable; saves work after a restart


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after `index`, and the membership in force there (paper, section 7)."""

    index: int
    term: int
    members: Membership
    data: bytes


# Messages. `term` is the sender's, but in the two marked ones.


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """`term` is the one asked for; in a pre-vote nobody takes it on (dissertation, 9.6)."""

    src: str
    dst: str
    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False  # the leader itself asked for the election (dissertation, 3.10)


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Granted, `term` is the one asked for; otherwise the sender's."""

    src: str
    dst: str
    term: int
    granted: bool
    pre: bool = False


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries after `prev_index`, or a heartbeat without any. `round` numbers what reads wait for."""

    src: str
    dst: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class AppendEntriesReply:
    """Accepted: `index` is the last one that matches. Rejected: `index` and `hint_term` say where a match
    may lie (paper, end of 5.3), `refused` which prev_index it answers."""

    src: str
    dst: str
    term: int
    accepted: bool
    index: int
    hint_term: int = 0
    refused: int = 0
    round: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot at `offset`; the last one says so (paper, figure 13)."""

    src: str
    dst: str
    term: int
    index: int
    snapshot_term: int
    members: Membership
    offset: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """How much of the snapshot of `index` has arrived; `done` when it is in force or not needed."""

    src: str
    dst: str
    term: int
    index: int
    offset: int
    done: bool


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Stand for election at once (dissertation, 3.10)."""

    src: str
    dst: str
    term: int


Message = (
    VoteRequest | VoteReply | AppendEntries | AppendEntriesReply | SnapshotChunk | SnapshotReply | TimeoutNow
)


@dataclass(slots=True)
class PersistBatch:
    """To be on disk, all together or not at all, before anything else of a Ready happens.

    `entries` replace whatever the log holds from the first one's index on. `snapshot` replaces the log up
    to its index; if `reset`, the whole log.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    reset: bool = False
    entries: list[Entry] = field(default_factory=list)
    keep_from: int = 0  # entries below are no longer needed, once the snapshot is there

    def __bool__(self) -> bool:
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)


@dataclass(slots=True)
class Ready:
    """What the core wants done, in this order: `persist`, then tell the core so, then `send` and `apply`.

    Sending first would promise what a crash can take back; that is the one order that must not change.
    """

    persist: PersistBatch
    send: list[Message]
    install: Snapshot | None  # the state machine starts again from this
    apply: list[Entry]
    reads: list[tuple[int, int]]  # (context, index): the read may be answered once index is applied
    lost_reads: list[int]  # contexts whose leadership ended; ask again
