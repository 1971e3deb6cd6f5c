"""Variants of the core with one injected bug each, to verify that schedules and checker detect them."""

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


class RandomizedBugCore(RaftCore):
    """A core whose bug occurs at random, drawn from the same source as its timeouts."""

    def __init__(self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random) -> None:
        super().__init__(name, recovered, config, rng)
        self._rng = rng


class VotesTwice(RaftCore):
    """Grants votes regardless of its earlier vote in the term."""

    class BuggyElection(Election):
        def on_vote_request(self, request: VoteRequest) -> None:
            if not request.pre_vote:
                self._state.vote = None
                self._state.leader = None
            super().on_vote_request(request)

    election_class = BuggyElection


class DoesNotPersistVote(RaftCore):
    """Does not persist term and vote."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        ready.persist.hard_state = None
        return ready


class AcknowledgesBeforePersisting(RandomizedBugCore):
    """Acknowledges entries that were not persisted, so that the next crash loses them."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if self._rng.random() < 0.3:
            batch = ready.persist
            ready.persist = PersistBatch(batch.hard_state, batch.snapshot, batch.replaces_log, [])
        return ready


def match_index_of(replication: Replication, quorum: int) -> int:
    """The highest index that `quorum` voters have."""
    state = replication._state
    indexes = replication.match_indexes() | {state.name: state.persisted_index}
    return sorted((indexes[name] for name in state.membership.voters), reverse=True)[quorum - 1]


class CommitsEntriesOfEarlierTerms(RaftCore):
    """Commits an entry of an earlier term by counting replicas (paper, figure 8)."""

    class BuggyReplication(Replication):
        def advance_commit(self) -> bool:
            index = match_index_of(self, self._state.membership.quorum())
            self._state.commit_index = max(self._state.commit_index, index)
            return super().advance_commit()

    replication_class = BuggyReplication

    def _become_leader(self) -> None:
        super()._become_leader()
        if self.role is Role.LEADER and self.log.last_index > self.commit_index + 1:
            self._drop_first_entry_of_term()

    def _drop_first_entry_of_term(self) -> None:
        """Remove the no-op entry of the new term, which would hide the bug."""
        self.log.truncate(self.log.last_index)
        self._unstable.truncate(self.log.last_index + 1)
        self._replication._term_start_index = self.log.last_index + 1
        self.state.outbox = [m for m in self.state.outbox if not isinstance(m, AppendEntries)]
        for progress in self._replication._progress.values():
            progress.next_index = self.log.last_index + 1
            progress.awaiting_reply = False
        self._replication.broadcast()


class CommitsWithoutQuorum(RaftCore):
    """Commits entries that are one replica short of a quorum."""

    class BuggyReplication(Replication):
        def advance_commit(self) -> bool:
            state = self._state
            if len(state.membership.voters) > 1:
                index = match_index_of(self, state.membership.quorum() - 1)
                if state.log.term_at(index) == state.term:
                    state.commit_index = max(state.commit_index, index)
            return super().advance_commit()

    replication_class = BuggyReplication


class VotesForStaleLogs(RaftCore):
    """Votes for candidates whose log is not up to date."""

    class BuggyElection(Election):
        def on_vote_request(self, request: VoteRequest) -> None:
            last_index = request.last_index + 1000
            super().on_vote_request(
                msgspec.structs.replace(request, last_index=last_index, last_term=1 << 40)
            )

    election_class = BuggyElection


class SkipsPreviousEntryCheck(RaftCore):
    """Appends entries without checking the term of the previous entry."""

    class BuggyReceiver(AppendReceiver):
        def on_append_entries(self, message: AppendEntries) -> None:
            term = self._state.log.term_at(message.prev_index)
            differs = term is not None and term != message.prev_term
            if term is not None and differs and message.prev_index > self._state.commit_index:
                message = msgspec.structs.replace(message, prev_term=term)
            super().on_append_entries(message)

    append_receiver_class = BuggyReceiver


class KeepsConflictingEntries(RaftCore):
    """Does not truncate entries that conflict with the leader's."""

    class BuggyReceiver(AppendReceiver):
        def _truncate(self, start: int) -> None:
            pass

    append_receiver_class = BuggyReceiver


class CommitsBeyondLastNewEntry(RaftCore):
    """Advances the commit index beyond the last entry of the message."""

    class BuggyReceiver(AppendReceiver):
        def on_append_entries(self, message: AppendEntries) -> None:
            super().on_append_entries(message)
            state = self._state
            if state.log.term_at(message.prev_index) == message.prev_term:
                beyond = min(message.commit_index + 1, state.log.last_index)
                state.commit_index = max(state.commit_index, beyond)

    append_receiver_class = BuggyReceiver


class CountsUnpersistedEntries(RandomizedBugCore):
    """Counts the leader's own copy towards a quorum before it is durable."""

    class BuggyReplication(Replication):
        on_append: Callable[[], None]

        def append(self, kind: EntryKind, data: bytes) -> Entry:
            entry = super().append(kind, data)
            self._state.persisted_index = entry.index
            self.on_append()
            return entry

    replication_class = BuggyReplication

    def __init__(self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random) -> None:
        super().__init__(name, recovered, config, rng)
        assert isinstance(self._replication, self.BuggyReplication)
        self._replication.on_append = self._advance_commit

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        if len(self.membership.voters) <= 2 or self._rng.random() < 0.2:
            ready.persist.entries = ready.persist.entries[:-1]
        return ready


class ReadsWithoutQuorum(RaftCore):
    """Answers reads without confirming the leadership with a quorum."""

    class BuggyReadIndex(ReadIndex):
        def _start(self, context: int) -> None:
            self._confirmed.append(ReadState(context, self._state.commit_index))

    read_index_class = BuggyReadIndex


class ReadsBeforeCommitInTerm(RaftCore):
    """A new leader answers reads from a commit index that may be older than its predecessor's."""

    class BuggyReadIndex(ReadIndex):
        def request(self, context: int) -> None:
            self._start(context)

    read_index_class = BuggyReadIndex


class AllowsConcurrentMembershipChanges(RaftCore):
    """Allows a membership change while another is uncommitted, and changes of more than one voter."""

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


class AcceptsStaleVoteReplies(RaftCore):
    """Counts vote replies of an earlier term."""

    def step(self, message: Message) -> None:
        if isinstance(message, VoteReply) and not message.pre_vote and message.term < self.term:
            message = msgspec.structs.replace(message, term=self.term)
        super().step(message)


class AcceptsStaleLeaders(RaftCore):
    """Follows a leader of an earlier term."""

    def step(self, message: Message) -> None:
        is_old = isinstance(message, AppendEntries) and message.term < self.term
        if is_old and self.role is Role.FOLLOWER:
            message = msgspec.structs.replace(message, term=self.term)
        super().step(message)


class TrustsRejectedReplies(RaftCore):
    """Takes the index of a rejected append for the follower's match index."""

    def _on_append_reply(self, reply: AppendEntriesReply) -> None:
        if not reply.accepted:
            reply = msgspec.structs.replace(reply, accepted=True, index=reply.rejected_index)
        super()._on_append_reply(reply)


class AcceptsNonContiguousChunks(RaftCore):
    """Accepts snapshot chunks at any offset, which mixes data of different transfers."""

    class BuggyReceiver(SnapshotReceiver):
        def on_chunk(self, chunk: SnapshotChunk) -> None:
            incoming = self._incoming
            if incoming is not None and chunk.offset and len(incoming.data) != chunk.offset:
                data = incoming.data[: chunk.offset]
                data.extend(b"\0" * (chunk.offset - len(data)))
                self._incoming = IncomingSnapshot(chunk.index, chunk.snapshot_term, data)
            super().on_chunk(chunk)

    snapshot_receiver_class = BuggyReceiver


class DropsInstalledSnapshots(RaftCore):
    """Hands an empty snapshot to the state machine in place of the installed one."""

    def take_ready(self) -> Ready:
        ready = super().take_ready()
        installed = ready.installed_snapshot
        if installed is not None:
            ready.installed_snapshot = Snapshot(installed.index, installed.term, installed.membership, b"")
        return ready


class NeverRetransmits(RaftCore):
    """Sends heartbeats that every follower accepts, so that no lost message is noticed: safe, but stuck."""

    class BuggyReplication(Replication):
        def send_heartbeats(self) -> int:
            self._heartbeat_round += 1
            for name in sorted(self._progress):
                self._send_append(name, 0, 0, (), 0)
            return self._heartbeat_round

        def on_accepted(self, progress: Progress, reply: AppendEntriesReply) -> bool:
            return super().on_accepted(progress, reply) if reply.index else False

        def resend_lost_chunk(self, progress: Progress, reply: AppendEntriesReply) -> None:
            pass

    replication_class = BuggyReplication


class HeartbeatsFollowMatchIndex(RaftCore):
    """Sends heartbeats that follow the match index, which accepts a follower that lost later entries."""

    class BuggyReplication(Replication):
        def _send_empty_append(self, name: str, progress: Progress) -> None:
            next_index = progress.next_index
            progress.next_index = progress.match_index + 1
            super()._send_empty_append(name, progress)
            progress.next_index = next_index

    replication_class = BuggyReplication


class NeverResendsChunks(RaftCore):
    """Does not send a lost chunk of a snapshot again."""

    class BuggyReplication(Replication):
        def resend_lost_chunk(self, progress: Progress, reply: AppendEntriesReply) -> None:
            pass

    replication_class = BuggyReplication


MUTATIONS: list[type[RaftCore]] = [
    VotesTwice,
    DoesNotPersistVote,
    AcknowledgesBeforePersisting,
    CommitsEntriesOfEarlierTerms,
    CommitsWithoutQuorum,
    VotesForStaleLogs,
    SkipsPreviousEntryCheck,
    KeepsConflictingEntries,
    CommitsBeyondLastNewEntry,
    CountsUnpersistedEntries,
    ReadsWithoutQuorum,
    ReadsBeforeCommitInTerm,
    AllowsConcurrentMembershipChanges,
    AcceptsStaleVoteReplies,
    AcceptsStaleLeaders,
    TrustsRejectedReplies,
    AcceptsNonContiguousChunks,
    DropsInstalledSnapshots,
    NeverRetransmits,
    HeartbeatsFollowMatchIndex,
    NeverResendsChunks,
]

# Number of seeds for bugs that take longer than the default to detect.
SEED_COUNTS = {"ReadsWithoutQuorum": 200, "AcceptsStaleLeaders": 400, "AcceptsNonContiguousChunks": 500}
