"""Messages between nodes.

Messages are encoded as maps, so renamed fields keep their wire names through `rename`; the message tags are
defined in `juniperreel.raft.wire`. `term` is the sender's current term unless documented otherwise.
"""

from __future__ import annotations

import msgspec

from juniperreel.raft.types import Entry, Membership


class VoteRequest(msgspec.Struct, frozen=True, rename={"pre_vote": "pre", "leadership_transfer": "transfer"}):
    """RequestVote (paper, figure 2), or a pre-vote request.

    `term` is the candidate's term; receivers of a pre-vote do not adopt it (dissertation, 9.6).
    `leadership_transfer` is set if the leader requested the election (dissertation, 3.10).
    """

    src: str
    dst: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, rename={"pre_vote": "pre"}):
    """Reply to a VoteRequest. `term` is the requested term if granted, otherwise the sender's."""

    src: str
    dst: str
    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(
    msgspec.Struct, frozen=True, rename={"commit_index": "commit", "heartbeat_round": "round"}
):
    """Entries that follow `prev_index`, or a heartbeat without entries.

    `heartbeat_round` identifies the heartbeat round; linearizable reads wait for its acknowledgement.
    """

    src: str
    dst: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int = 0


class AppendEntriesReply(
    msgspec.Struct, frozen=True, rename={"rejected_index": "refused", "heartbeat_round": "round"}
):
    """Reply to AppendEntries.

    If accepted, `index` is the last index that matches the leader's log. If rejected, `index` and `hint_term`
    are a hint where the logs may match (paper, end of 5.3), and `rejected_index` is the `prev_index` that did
    not match.
    """

    src: str
    dst: str
    term: int
    accepted: bool
    index: int
    hint_term: int = 0
    rejected_index: int = 0
    heartbeat_round: int = 0


class SnapshotChunk(msgspec.Struct, frozen=True, rename={"membership": "members"}):
    """A chunk of the snapshot at `index`, from byte `offset` on (InstallSnapshot; paper, figure 13)."""

    src: str
    dst: str
    term: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    data: bytes
    last: bool


class SnapshotReply(msgspec.Struct, frozen=True):
    """Reply to a SnapshotChunk: `offset` is the number of bytes received of the snapshot at `index`.

    `done` is set if the snapshot is installed or no longer needed.
    """

    src: str
    dst: str
    term: int
    index: int
    offset: int
    done: bool


class TimeoutNow(msgspec.Struct, frozen=True):
    """Asks a follower to start an election immediately (dissertation, 3.10)."""

    src: str
    dst: str
    term: int


Message = (
    VoteRequest | VoteReply | AppendEntries | AppendEntriesReply | SnapshotChunk | SnapshotReply | TimeoutNow
)
