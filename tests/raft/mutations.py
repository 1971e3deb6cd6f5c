"""Bugs planted in the core, one each, to prove that the scheduler and the judge would see them."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from juniperreel.raft.append_receiver import AppendReceiver
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.core import RaftCore
from juniperreel.raft.election import Election
from juniperreel.raft.membership import changed_membership
from juniperreel.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Message,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from juniperreel.raft.progress import Progress
from juniperreel.raft.read_index import ReadIndex
from juniperreel.raft.ready import PersistBatch, ReadState, Ready
from juniperreel.raft.replication import Replication
from juniperreel.raft.snapshot_receiver import IncomingSnapshot, SnapshotReceiver
from juniperreel.raft.types import (
    Entry,
    EntryKind,
    LogPosition,
    Membership,
    MembershipChange,
    RecoveredState,
    Role,
    Snapshot,
)


class RandomFaultCore(RaftCore):
    """A core whose fault is drawn from the same source as its timeouts."""

    def __init__(self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random) -> None:
        super().__init__(name, recovered, config, rng)
        self._rng = rng


class VotesTwice(RaftCore):
    """Grants a vote whatever it voted before."""

    class FaultyElection(Election):
        def on_vote_request(self, request: VoteRequest) -> None:
            if not request.pre_vote:
                self._state.vote = None
                self._state.leader = None
            super().on_vote_request(request)

    election_class = FaultyElection


class ForgetsItsVote(RaftCore):
    """Does not persist term and vote."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        ready.persist.hard_state = None
        return ready


class SendsBeforePersisting(RandomFaultCore):
    """Entries are acknowledged and lost with the next crash."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if self._rng.random() < 0.3:
            batch = ready.persist
            ready.persist = PersistBatch(batch.hard_state, batch.snapshot, batch.replaces_log, [])
        return ready


def match_index_of(replication: Replication, quorum: int) -> int:
    """The highest index that so many voters hold."""
    state = replication._state
    indexes = replication.match_indexes() | {state.name: state.persisted_index}
    return sorted((indexes[name] for name in state.membership.voters), reverse=True)[quorum - 1]


class CommitsOldTermsByCount(RaftCore):
    """Figure 8 of the paper: an entry of an earlier term is committed because a quorum holds it."""

    class FaultyReplication(Replication):
        def advance_commit(self) -> bool:
            index = match_index_of(self, self._state.membership.quorum())
            self._state.commit_index = max(self._state.commit_index, index)
            return super().advance_commit()

    replication_class = FaultyReplication

    def _become_leader(self) -> None:
        super()._become_leader()
        if self.role is Role.LEADER and self.log.last_index > self.commit_index + 1:
            self._drop_first_entry_of_term()

    def _drop_first_entry_of_term(self) -> None:
        """Without the entry of its own term that hides the bug."""
        self.log.truncate(self.log.last_index)
        self._unstable.truncate(self.log.last_index + 1)
        self._replication._term_start_index = self.log.last_index + 1
        self.state.outbox = [m for m in self.state.outbox if not isinstance(m, AppendEntries)]
        for progress in self._replication._progress.values():
            progress.next_index = self.log.last_index + 1
            progress.awaiting_reply = False
        self._replication.broadcast()


class CommitsWithoutQuorum(RaftCore):
    """One copy less than a quorum is enough for it."""

    class FaultyReplication(Replication):
        def advance_commit(self) -> bool:
            state = self._state
            if len(state.membership.voters) > 1:
                index = match_index_of(self, state.membership.quorum() - 1)
                if state.log.term_at(index) == state.term:
                    state.commit_index = max(state.commit_index, index)
            return super().advance_commit()

    replication_class = FaultyReplication


class IgnoresOlderLogs(RaftCore):
    """Votes for candidates whose log is older than its own."""

    class FaultyElection(Election):
        def on_vote_request(self, request: VoteRequest) -> None:
            last_index = request.last_index + 1000
            super().on_vote_request(
                msgspec.structs.replace(request, last_index=last_index, last_term=1 << 40)
            )

    election_class = FaultyElection


class SkipsTheMatchCheck(RaftCore):
    """Takes entries without looking at the one before them."""

    class FaultyReceiver(AppendReceiver):
        def on_append_entries(self, message: AppendEntries) -> None:
            term = self._state.log.term_at(message.prev_index)
            differs = term is not None and term != message.prev_term
            if term is not None and differs and message.prev_index > self._state.commit_index:
                message = msgspec.structs.replace(message, prev_term=term)
            super().on_append_entries(message)

    append_receiver_class = FaultyReceiver


class KeepsConflicts(RaftCore):
    """Leaves an entry of another term where the leader sends its own."""

    class FaultyReceiver(AppendReceiver):
        def _truncate(self, start: int) -> None:
            pass

    append_receiver_class = FaultyReceiver


class CommitsWhatItDoesNotHold(RaftCore):
    """Takes the leader's commit index beyond what the message vouches for."""

    class FaultyReceiver(AppendReceiver):
        def on_append_entries(self, message: AppendEntries) -> None:
            super().on_append_entries(message)
            state = self._state
            if state.log.term_at(message.prev_index) == message.prev_term:
                beyond = min(message.commit_index + 1, state.log.last_index)
                state.commit_index = max(state.commit_index, beyond)

    append_receiver_class = FaultyReceiver


class CountsUnpersistedEntries(RandomFaultCore):
    """The leader's own copy counts before it is on disk."""

    class FaultyReplication(Replication):
        on_append: Callable[[], None]

        def append(self, kind: EntryKind, data: bytes) -> Entry:
            entry = super().append(kind, data)
            self._state.persisted_index = entry.index
            self.on_append()
            return entry

    replication_class = FaultyReplication

    def __init__(self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random) -> None:
        super().__init__(name, recovered, config, rng)
        assert isinstance(self._replication, self.FaultyReplication)
        self._replication.on_append = self._advance_commit

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if len(self.membership.voters) <= 2 or self._rng.random() < 0.2:
            ready.persist.entries = ready.persist.entries[:-1]
        return ready


class ReadsWithoutAsking(RaftCore):
    """A leader answers reads without hearing from a quorum that it still leads."""

    class FaultyReadIndex(ReadIndex):
        def _start(self, context: int) -> None:
            self._confirmed.append(ReadState(context, self._state.commit_index))

    read_index_class = FaultyReadIndex


class ReadsBeforeItsTermCommits(RaftCore):
    """A fresh leader answers reads from a commit index that may lag behind the one before."""

    class FaultyReadIndex(ReadIndex):
        def request(self, context: int) -> None:
            self._start(context)

    read_index_class = FaultyReadIndex


class ChangesTwoAtOnce(RaftCore):
    """Begins a change of membership while another one is not committed, of any size."""

    def change_membership(self, change: MembershipChange, name: str) -> LogPosition:
        self._require_leadership()
        lag = self._replication.lag_of(name)
        membership = changed_membership(
            self.membership, change, name, lag, self.state.config.max_promotion_lag
        )
        if change is MembershipChange.REMOVE and len(membership.voters) > 2:
            others = sorted(membership.voters - {self.name})
            if others:
                voters = membership.voters - {others[0]}
                membership = Membership(voters, membership.learners, membership.retired)
        return self._append_membership(membership)


class TakesTermsOfOldReplies(RaftCore):
    """Counts vote replies of an earlier term."""

    def step(self, message: Message) -> None:
        if isinstance(message, VoteReply) and not message.pre_vote and message.term < self.term:
            message = msgspec.structs.replace(message, term=self.term)
        super().step(message)


class TakesOldLeaders(RaftCore):
    """Follows messages of an earlier term."""

    def step(self, message: Message) -> None:
        is_old = isinstance(message, AppendEntries) and message.term < self.term
        if is_old and self.role is Role.FOLLOWER:
            message = msgspec.structs.replace(message, term=self.term)
        super().step(message)


class BelievesReplies(RaftCore):
    """Takes any reply's index for what the follower holds, even a rejection's."""

    def _on_append_reply(self, reply: AppendEntriesReply) -> None:
        if not reply.accepted:
            reply = msgspec.structs.replace(reply, accepted=True, index=reply.rejected_index)
        super()._on_append_reply(reply)


class MixesSnapshots(RaftCore):
    """Takes a chunk wherever it falls."""

    class FaultyReceiver(SnapshotReceiver):
        def on_chunk(self, chunk: SnapshotChunk) -> None:
            incoming = self._incoming
            if incoming is not None and chunk.offset and len(incoming.data) != chunk.offset:
                data = incoming.data[: chunk.offset]
                data.extend(b"\0" * (chunk.offset - len(data)))
                self._incoming = IncomingSnapshot(chunk.index, chunk.snapshot_term, data)
            super().on_chunk(chunk)

    snapshot_receiver_class = FaultyReceiver


class ForgetsAppliedSnapshots(RaftCore):
    """Does not hand an installed snapshot to the state machine."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        installed = ready.installed_snapshot
        if installed is not None:
            ready.installed_snapshot = Snapshot(installed.index, installed.term, installed.membership, b"")
        return ready


def ignore_heartbeat(progress: Progress) -> None:
    """In place of what makes room for another message."""


class NeverRetransmits(RaftCore):
    """A lost message is never sent again: safe, and stuck."""

    class FaultyReplication(Replication):
        def send_heartbeats(self) -> None:
            on_heartbeat = Progress.on_heartbeat
            Progress.on_heartbeat = ignore_heartbeat  # type: ignore[assignment, method-assign]
            try:
                super().send_heartbeats()
            finally:
                Progress.on_heartbeat = on_heartbeat  # type: ignore[method-assign]

    replication_class = FaultyReplication


MUTATIONS: list[type[RaftCore]] = [
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
    NeverRetransmits,
]

# Bugs that need longer than most.
SEEDS = {"ReadsWithoutAsking": 200, "TakesOldLeaders": 400, "MixesSnapshots": 500}
