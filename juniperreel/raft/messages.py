"""Messages between nodes.

A message is sent as a map of its fields, so a field that was renamed keeps its old name on the wire through
`rename`; the tags of the messages stand in `juniperreel.raft.wire`. `term` is the sender's unless a message
says otherwise.
"""

from __future__ import annotations

import msgspec

from juniperreel.raft.types import Entry, Membership


class VoteRequest(msgspec.Struct, frozen=True, rename={"pre_vote": "pre", "leadership_transfer": "transfer"}):
    """RequestVote of the paper, or the question of a pre-vote.

    `term` is the one that the candidate stands for; in a pre-vote nobody adopts it (dissertation, 9.6).
    `leadership_transfer` tells that the leader itself asked for the election (dissertation, 3.10).
    """

    src: str
    dst: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, rename={"pre_vote": "pre"}):
    """Answer to a VoteRequest. `term` is the requested one if granted, otherwise the sender's."""

    src: str
    dst: str
    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(
    msgspec.Struct, frozen=True, rename={"commit_index": "commit", "heartbeat_round": "round"}
):
    """Entries that follow `prev_index`, or a heartbeat without any.

    `heartbeat_round` numbers the rounds of heartbeats that linearizable reads wait for.
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
    """Answer to AppendEntries.

    Accepted, `index` is the last one that matches the leader's log. Rejected, `index` and `hint_term` say
    where a match may lie (paper, end of 5.3), and `rejected_index` repeats the `prev_index` that did not
    match.
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
    """A part of the snapshot of `index`, at `offset` bytes; the last part says so (paper, figure 13)."""

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
    """How many bytes of the snapshot of `index` have arrived.

    `done` tells that the snapshot is installed or no longer needed.
    """

    src: str
    dst: str
    term: int
    index: int
    offset: int
    done: bool


class TimeoutNow(msgspec.Struct, frozen=True):
    """Asks a follower to stand for election at once (dissertation, 3.10)."""

    src: str
    dst: str
    term: int


Message = (
    VoteRequest | VoteReply | AppendEntries | AppendEntriesReply | SnapshotChunk | SnapshotReply | TimeoutNow
)
