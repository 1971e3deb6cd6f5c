"""Bugs planted in the core, one each, to prove that the scheduler and the judge would see them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgspec

from juniperreel.raft.core import RaftCore
from juniperreel.raft.membership import encode_membership
from juniperreel.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Message,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from juniperreel.raft.progress import Progress
from juniperreel.raft.ready import PersistBatch, ReadState, Ready
from juniperreel.raft.types import Entry, EntryKind, LogPosition, MembershipChange, Role


class CountingCore(RaftCore):
    """Knows what the voters hold."""

    def _held(self) -> list[int]:
        held = self.match_indexes() | {self.name: self.persisted_index}
        return sorted((held[name] for name in self.membership.voters), reverse=True)


class VotesTwice(RaftCore):
    """Grants a vote whatever it voted before."""

    def _on_vote_request(self, m: VoteRequest) -> None:
        if not m.pre_vote:
            self.vote, self.leader = None, None
        super()._on_vote_request(m)


class ForgetsItsVote(RaftCore):
    """Does not persist term and vote."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        ready.persist.hard_state = None
        return ready


class SendsBeforePersisting(RaftCore):
    """Entries are acknowledged and lost with the next crash."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if self._rng.random() < 0.3:
            ready.persist = PersistBatch(
                ready.persist.hard_state, ready.persist.snapshot, ready.persist.replaces_log, []
            )
        return ready


class CommitsOldTermsByCount(CountingCore):
    """Figure 8 of the paper: an entry of an earlier term is committed because a quorum holds it."""

    def _advance(self) -> None:
        if self.role is not Role.LEADER:
            return
        index = self._held()[self.membership.quorum() - 1]
        self.commit_index = max(self.commit_index, index)
        super()._advance()

    def _elected(self, pre: bool) -> None:
        super()._elected(pre)
        if not pre and self.role is Role.LEADER and self.log.last_index > self.commit_index + 1:
            # Without the entry of its own term that hides the bug.
            self.log.truncate(self.log.last_index)
            self._unstable = min(self._unstable, self.log.last_index + 1)
            self._noop = self.log.last_index + 1
            self._out = [m for m in self._out if not isinstance(m, AppendEntries)]
            for p in self._progress.values():
                p.next_index, p.awaiting_reply = self.log.last_index + 1, False
            self._broadcast()


class CommitsWithoutQuorum(CountingCore):
    """One copy less than a quorum is enough for it."""

    def _advance(self) -> None:
        if self.role is Role.LEADER and len(self.membership.voters) > 1:
            index = self._held()[self.membership.quorum() - 2]
            if self.log.term_at(index) == self.term:
                self.commit_index = max(self.commit_index, index)
        super()._advance()


class IgnoresOlderLogs(RaftCore):
    """Votes for candidates whose log is older than its own."""

    def _on_vote_request(self, m: VoteRequest) -> None:
        lenient = msgspec.structs.replace(m, last_index=m.last_index + 1000, last_term=1 << 40)
        super()._on_vote_request(lenient)


class SkipsTheMatchCheck(RaftCore):
    """Takes entries without looking at the one before them."""

    def _on_append(self, m: AppendEntries) -> None:
        term = self.log.term_at(m.prev_index)
        if term is not None and term != m.prev_term and m.prev_index > self.commit_index:
            m = msgspec.structs.replace(m, prev_term=term)
        super()._on_append(m)


class KeepsConflicts(RaftCore):
    """Leaves an entry of another term where the leader sends its own."""

    def _truncate(self, start: int) -> None:
        pass


class CommitsWhatItDoesNotHold(RaftCore):
    """Takes the leader's commit index beyond what the message vouches for."""

    def _on_append(self, m: AppendEntries) -> None:
        super()._on_append(m)
        if self.log.term_at(m.prev_index) == m.prev_term:
            self.commit_index = max(self.commit_index, min(m.commit_index + 1, self.log.last_index))


class CountsUnpersistedEntries(RaftCore):
    """The leader's own copy counts before it is on disk."""

    def _append(self, kind: EntryKind, data: bytes) -> Entry:
        entry = super()._append(kind, data)
        self.persisted_index = entry.index
        self._advance()
        return entry

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if len(self.membership.voters) <= 2 or self._rng.random() < 0.2:
            ready.persist.entries = ready.persist.entries[:-1]
        return ready


class ReadsWithoutAsking(RaftCore):
    """A leader answers reads without hearing from a quorum that it still leads."""

    def _start_read(self, context: int) -> None:
        self._ready_reads.append(ReadState(context, self.commit_index))


class ReadsBeforeItsTermCommits(RaftCore):
    """A fresh leader answers reads from a commit index that may lag behind the one before."""

    def read_index(self, context: int) -> None:
        self._must_lead()
        self._start_read(context)


class ChangesTwoAtOnce(RaftCore):
    """Begins a change of membership while another one is not committed, of any size."""

    def change_membership(self, change: MembershipChange, name: str) -> LogPosition:
        self._must_lead()
        members = self._changed(change, name)
        if change is MembershipChange.REMOVE and len(members.voters) > 2:
            other = sorted(members.voters - {self.name})
            if other:
                members = type(members)(members.voters - {other[0]}, members.learners, members.retired)
        entry = self._append(EntryKind.CONFIG, encode_membership(members))
        self._sync_progress()
        self._broadcast()
        return LogPosition(entry.term, entry.index)


class TakesTermsOfOldReplies(RaftCore):
    """Counts vote replies of an earlier term."""

    def step(self, m: Message) -> None:
        if isinstance(m, VoteReply) and not m.pre_vote and m.term < self.term:
            m = VoteReply(m.src, m.dst, self.term, m.granted)
        super().step(m)


class TakesOldLeaders(RaftCore):
    """Follows messages of an earlier term."""

    def step(self, m: Message) -> None:
        if isinstance(m, AppendEntries) and m.term < self.term and self.role is Role.FOLLOWER:
            m = msgspec.structs.replace(m, term=self.term)
        super().step(m)


class BelievesReplies(RaftCore):
    """Takes any reply's index for what the follower holds, even a rejection's."""

    def _on_append_reply(self, m: AppendEntriesReply) -> None:
        if not m.accepted:
            m = msgspec.structs.replace(m, accepted=True, index=m.rejected_index)
        super()._on_append_reply(m)


class MixesSnapshots(RaftCore):
    """Takes a chunk wherever it falls."""

    def _on_chunk(self, m: SnapshotChunk) -> None:
        if self._incoming is not None and m.offset and len(self._incoming[2]) != m.offset:
            have = self._incoming[2]
            del have[min(m.offset, len(have)) :]
            have.extend(b"\0" * (m.offset - len(have)))
            self._incoming = (m.index, m.snapshot_term, have)
        super()._on_chunk(m)


class ForgetsAppliedSnapshots(RaftCore):
    """Does not hand an installed snapshot to the state machine."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if ready.installed_snapshot is not None:
            ready.installed_snapshot = replace(ready.installed_snapshot, data=b"")
        return ready


class NeverNudges(RaftCore):
    """A lost message is never sent again: safe, and stuck."""

    def _heartbeat(self) -> None:
        nudge, Progress.on_heartbeat = Progress.on_heartbeat, lambda self: None  # type: ignore[method-assign]
        try:
            super()._heartbeat()
        finally:
            Progress.on_heartbeat = nudge  # type: ignore[method-assign]


MUTATIONS: list[Callable[..., RaftCore]] = [
    VotesTwice,
    ForgetsItsVote,
    SendsBeforePersisting,
    CommitsOldTermsByCount,
    CommitsWithoutQuorum,
    IgnoresOlderLogs,
    SkipsTheMatchCheck,
    KeepsConflicts,
    CommitsWhatItDoesNotHold,
    CountsUnpersistedEntries,
    ReadsWithoutAsking,
    ReadsBeforeItsTermCommits,
    ChangesTwoAtOnce,
    TakesTermsOfOldReplies,
    TakesOldLeaders,
    BelievesReplies,
    MixesSnapshots,
    ForgetsAppliedSnapshots,
    NeverNudges,
]

# Bugs that need longer than most.
SEEDS = {"ReadsWithoutAsking": 200, "TakesOldLeaders": 400, "MixesSnapshots": 500}
