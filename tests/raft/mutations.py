"""Bugs planted in the core, one each, to prove that the scheduler and the judge would see them."""

from __future__ import annotations

from collections.abc import Callable

from juniperreel.raft.core import RaftCore
from juniperreel.raft.log import encode_membership
from juniperreel.raft.progress import Progress
from juniperreel.raft.types import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    MembershipChange,
    Message,
    PersistBatch,
    Ready,
    Role,
    Snapshot,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)


class VotesTwice(RaftCore):
    """Grants a vote whatever it voted before."""

    def _on_vote_request(self, m: VoteRequest) -> None:
        if not m.pre:
            self.vote, self.leader = None, None
        super()._on_vote_request(m)


class ForgetsItsVote(RaftCore):
    """Does not persist term and vote."""

    def take(self) -> Ready:
        ready = super().take()
        ready.persist.hard_state = None
        return ready


class SendsBeforePersisting(RaftCore):
    """Entries are acknowledged and lost with the next crash."""

    def take(self) -> Ready:
        ready = super().take()
        if self._rng.random() < 0.3:
            ready.persist = PersistBatch(
                ready.persist.hard_state, ready.persist.snapshot, ready.persist.reset, []
            )
        return ready


class CommitsOldTermsByCount(RaftCore):
    """Figure 8 of the paper: an entry of an earlier term is committed because a quorum holds it."""

    def _advance(self) -> None:
        if self.role is not Role.LEADER:
            return
        held = [self.stable if n == self.name else self._progress[n].match for n in self.members.voters]
        index = sorted(held, reverse=True)[self.members.quorum() - 1]
        self.commit = max(self.commit, index)
        super()._advance()

    def _elected(self, pre: bool) -> None:
        super()._elected(pre)
        if not pre and self.role is Role.LEADER and self.log.last > self.commit + 1:
            # Without the entry of its own term that hides the bug.
            self.log.truncate(self.log.last)
            self._unstable = min(self._unstable, self.log.last + 1)
            self._noop = self.log.last + 1
            self._out = [m for m in self._out if not isinstance(m, AppendEntries)]
            for p in self._progress.values():
                p.next, p.waiting = self.log.last + 1, False
            self._broadcast()


class CommitsWithoutQuorum(RaftCore):
    """One copy less than a quorum is enough for it."""

    def _advance(self) -> None:
        if self.role is Role.LEADER and len(self.members.voters) > 1:
            held = [self.stable if n == self.name else self._progress[n].match for n in self.members.voters]
            index = sorted(held, reverse=True)[self.members.quorum() - 2]
            if self.log.term(index) == self.term:
                self.commit = max(self.commit, index)
        super()._advance()


class IgnoresOlderLogs(RaftCore):
    """Votes for candidates whose log is older than its own."""

    def _on_vote_request(self, m: VoteRequest) -> None:
        lenient = VoteRequest(m.src, m.dst, m.term, m.last_index + 1000, 1 << 40, m.pre, m.transfer)
        super()._on_vote_request(lenient)


class SkipsTheMatchCheck(RaftCore):
    """Takes entries without looking at the one before them."""

    def _on_append(self, m: AppendEntries) -> None:
        term = self.log.term(m.prev_index)
        if term is not None and term != m.prev_term and m.prev_index > self.commit:
            m = AppendEntries(m.src, m.dst, m.term, m.prev_index, term, m.entries, m.commit, m.round)
        super()._on_append(m)


class KeepsConflicts(RaftCore):
    """Leaves an entry of another term where the leader sends its own."""

    def _truncate(self, start: int) -> None:
        pass


class CommitsWhatItDoesNotHold(RaftCore):
    """Takes the leader's commit index beyond what the message vouches for."""

    def _on_append(self, m: AppendEntries) -> None:
        super()._on_append(m)
        if self.log.term(m.prev_index) == m.prev_term:
            self.commit = max(self.commit, min(m.commit + 1, self.log.last))


class CountsUnpersistedEntries(RaftCore):
    """The leader's own copy counts before it is on disk."""

    def _append(self, kind: EntryKind, data: bytes) -> Entry:
        entry = super()._append(kind, data)
        self.stable = entry.index
        self._advance()
        return entry

    def take(self) -> Ready:
        ready = super().take()
        if len(self.members.voters) <= 2 or self._rng.random() < 0.2:
            ready.persist.entries = ready.persist.entries[:-1]
        return ready


class ReadsWithoutAsking(RaftCore):
    """A leader answers reads without hearing from a quorum that it still leads."""

    def _start_read(self, context: int) -> None:
        self._ready_reads.append((context, self.commit))


class ReadsBeforeItsTermCommits(RaftCore):
    """A fresh leader answers reads from a commit index that may lag behind the one before."""

    def read(self, context: int) -> None:
        self._must_lead()
        self._start_read(context)


class ChangesTwoAtOnce(RaftCore):
    """Begins a change of membership while another one is not committed, of any size."""

    def change(self, change: MembershipChange, name: str) -> tuple[int, int]:
        self._must_lead()
        members = self._changed(change, name)
        if change is MembershipChange.REMOVE and len(members.voters) > 2:
            other = sorted(members.voters - {self.name})
            if other:
                members = type(members)(members.voters - {other[0]}, members.learners, members.retired)
        entry = self._append(EntryKind.CONFIG, encode_membership(members))
        self._sync_progress()
        self._broadcast()
        return entry.term, entry.index


class TakesTermsOfOldReplies(RaftCore):
    """Counts vote replies of an earlier term."""

    def step(self, m: Message) -> None:
        if isinstance(m, VoteReply) and not m.pre and m.term < self.term:
            m = VoteReply(m.src, m.dst, self.term, m.granted)
        super().step(m)


class TakesOldLeaders(RaftCore):
    """Follows messages of an earlier term."""

    def step(self, m: Message) -> None:
        if isinstance(m, AppendEntries) and m.term < self.term and self.role is Role.FOLLOWER:
            m = AppendEntries(
                m.src, m.dst, self.term, m.prev_index, m.prev_term, m.entries, m.commit, m.round
            )
        super().step(m)


class BelievesReplies(RaftCore):
    """Takes any reply's index for what the follower holds, even a rejection's."""

    def _on_append_reply(self, m: AppendEntriesReply) -> None:
        if not m.accepted:
            m = AppendEntriesReply(m.src, m.dst, m.term, True, m.refused, m.hint_term, m.refused, m.round)
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

    def take(self) -> Ready:
        ready = super().take()
        if ready.install is not None:
            ready.install = Snapshot(ready.install.index, ready.install.term, ready.install.members, b"")
        return ready


class NeverNudges(RaftCore):
    """A lost message is never sent again: safe, and stuck."""

    def _heartbeat(self) -> None:
        nudge, Progress.nudge = Progress.nudge, lambda self: None  # type: ignore[method-assign]
        try:
            super()._heartbeat()
        finally:
            Progress.nudge = nudge  # type: ignore[method-assign]


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
