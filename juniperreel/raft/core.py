"""The Raft state machine: messages, ticks and requests in, a `Ready` out. No I/O, clock or threads.

`RaftCore` owns the role transitions and dispatches each event to the component that handles it:

    election.py             election timer, votes
    replication.py          leader side of log replication, commit index
    append_receiver.py      follower side of log replication
    snapshot_receiver.py    follower side of snapshot transfer
    read_index.py           linearizable reads
    leadership_transfer.py  leadership transfer
    membership.py           membership changes
    unstable.py             state not yet handed out for persistence

All randomness comes from the generator passed in, so the core is deterministic. Messages and committed
entries depend only on state that the caller has persisted first; see `Ready`.
"""

from __future__ import annotations

import random

from juniperreel.raft.append_receiver import AppendReceiver
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.election import Election, VoteResult
from juniperreel.raft.errors import LogIndexError, NotLeaderError, RequestRejectedError, SafetyViolationError
from juniperreel.raft.leadership_transfer import LeadershipTransfer
from juniperreel.raft.log import RaftLog
from juniperreel.raft.membership import changed_membership, encode_membership
from juniperreel.raft.messages import (
    AppendEntries,
    AppendEntriesReply,
    Message,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from juniperreel.raft.read_index import ReadIndex
from juniperreel.raft.ready import Ready
from juniperreel.raft.replication import Replication
from juniperreel.raft.snapshot_receiver import SnapshotReceiver
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import (
    Entry,
    EntryKind,
    LogPosition,
    Membership,
    MembershipChange,
    RaftStatus,
    RecoveredState,
    Role,
    Snapshot,
)
from juniperreel.raft.unstable import UnstableState

TRANSFER_IN_PROGRESS = "the leadership is being handed over"
TOO_MUCH_UNCOMMITTED = "too much waits to be committed"
NOTHING_COMMITTED_IN_TERM = "this leader has committed nothing in its term yet"
CHANGE_IN_PROGRESS = "another change of membership is under way"


class RaftCore:
    """One Raft node.

    Callers drive it with `step`, `tick` and the request methods. While `has_ready()` is true, they take a
    `Ready` and process it in the order documented there.
    """

    # Component classes; tests override them to inject bugs.
    election_class: type[Election] = Election
    replication_class: type[Replication] = Replication
    append_receiver_class: type[AppendReceiver] = AppendReceiver
    snapshot_receiver_class: type[SnapshotReceiver] = SnapshotReceiver
    read_index_class: type[ReadIndex] = ReadIndex

    def __init__(self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random) -> None:
        """Starts node `name` as a follower from its recovered state."""
        self.state = NodeState.recover(name, recovered, config)
        self._unstable = UnstableState(self.state, recovered.hard_state)
        self._election = self.election_class(self.state, rng)
        self._replication = self.replication_class(self.state)
        self._append_receiver = self.append_receiver_class(self.state, self._unstable)
        self._snapshot_receiver = self.snapshot_receiver_class(self.state, self._unstable)
        self._reads = self.read_index_class(self.state, self._replication)
        self._transfer = LeadershipTransfer(self.state, self._replication)

    # Observable state.

    @property
    def name(self) -> str:
        """The node's own name."""
        return self.state.name

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def role(self) -> Role:
        """The node's role in the current term."""
        return self.state.role

    @property
    def leader(self) -> str | None:
        """The leader of the current term, if known."""
        return self.state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this node is the leader of the current term."""
        return self.state.is_leader

    @property
    def membership(self) -> Membership:
        """The membership in force."""
        return self.state.membership

    @property
    def log(self) -> RaftLog:
        """The in-memory log; callers must not modify it."""
        return self.state.log

    @property
    def snapshot(self) -> Snapshot:
        """The latest snapshot, taken locally or installed from the leader."""
        return self.state.snapshot

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self.state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry handed out for application."""
        return self.state.applied_index

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self._replication.has_committed_in_term

    def status(self) -> RaftStatus:
        """The node's status as shown to operators."""
        return RaftStatus(
            name=self.name,
            role=self.role,
            term=self.term,
            leader=self.leader,
            commit_index=self.commit_index,
            applied_index=self.applied_index,
            first_index=self.log.first_index,
            last_index=self.log.last_index,
            membership=self.membership,
            match_indexes=self._replication.match_indexes(),
        )

    # Clock.

    def tick(self) -> None:
        """Advance the node's logical clock by one tick."""
        self._election.elapsed_ticks += 1
        if self.is_leader:
            self._tick_leader()
        elif self._election.timed_out and self.state.is_voter:
            self._campaign(pre_vote=True)

    def _tick_leader(self) -> None:
        if self._election.elapsed_ticks >= self.state.config.election_ticks:
            self._election.elapsed_ticks = 0
            self._transfer.abort()  # the target did not win an election within the timeout
            if not self._replication.check_quorum():
                # Without a quorum, another leader may have been elected unnoticed.
                self._become_follower(self.term, None)
                return
        if self._replication.heartbeat_due():
            self._replication.send_heartbeats()

    # Roles.

    def _become_follower(self, term: int, leader: str | None) -> None:
        state = self.state
        if term > state.term:
            state.term = term
            state.vote = None
        if state.is_leader:
            self._reads.fail_all()
            self._transfer.abort()
        state.role = Role.FOLLOWER
        state.leader = leader
        self._replication.stop()
        self._election.reset()

    def _campaign(self, *, pre_vote: bool, leadership_transfer: bool = False) -> None:
        result = self._election.start(pre_vote, leadership_transfer)
        if result is VoteResult.WON:
            self._on_election_won(pre_vote)

    def _on_election_won(self, pre_vote: bool) -> None:
        if pre_vote:
            self._campaign(pre_vote=False)
        else:
            self._become_leader()

    def _become_leader(self) -> None:
        self.state.role = Role.LEADER
        self.state.leader = self.name
        self._election.elapsed_ticks = 0
        self._replication.start_term()

    # Requests to the leader.

    def _require_leadership(self) -> None:
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        if self._transfer.in_progress:
            raise RequestRejectedError(TRANSFER_IN_PROGRESS)

    def propose(self, data: bytes) -> LogPosition:
        """Append a command to the log and return its position.

        Raises NotLeaderError or RequestRejectedError.
        """
        self._require_leadership()
        uncommitted = self.log.slice(self.commit_index + 1, self.log.last_index)
        waiting_bytes = sum(len(entry.data) for entry in uncommitted)
        if waiting_bytes and waiting_bytes + len(data) > self.state.config.max_uncommitted_bytes:
            raise RequestRejectedError(TOO_MUCH_UNCOMMITTED)
        entry = self._replication.append(EntryKind.COMMAND, data)
        self._replication.broadcast()
        return LogPosition(entry.term, entry.index)

    def change_membership(self, change: MembershipChange, name: str) -> LogPosition:
        """Propose a single-server membership change. Raises NotLeaderError or RequestRejectedError.

        A change is rejected until the leader has committed an entry of its term. Otherwise it could overlap
        with a change by an earlier leader that this one does not know of, and two disjoint quorums could
        commit different entries (the bug in section 4.1 of the dissertation, reported by Ongaro in 2015).
        """
        self._require_leadership()
        if not self.has_committed_in_term:
            raise RequestRejectedError(NOTHING_COMMITTED_IN_TERM)
        if self.state.memberships.index > self.commit_index:
            raise RequestRejectedError(CHANGE_IN_PROGRESS)
        membership = changed_membership(
            self.membership,
            change,
            name,
            lag=self._replication.lag_of(name),
            max_lag=self.state.config.max_promotion_lag,
        )
        return self._append_membership(membership)

    def _append_membership(self, membership: Membership) -> LogPosition:
        entry = self._replication.append(EntryKind.CONFIG, encode_membership(membership))
        self._replication.sync_followers()
        self._replication.broadcast()
        return LogPosition(entry.term, entry.index)

    def transfer_leadership(self, target: str) -> None:
        """Transfer the leadership to a voter once its log is up to date.

        Raises NotLeaderError or RequestRejectedError.
        """
        self._require_leadership()
        self._transfer.start(target)
        self._election.elapsed_ticks = 0

    def read_index(self, context: int) -> None:
        """Start a linearizable read; a later `Ready` returns `context` with the index that must be applied.

        Raises NotLeaderError or RequestRejectedError.
        """
        self._require_leadership()
        self._reads.request(context)

    def compact(self, index: int, data: bytes) -> None:
        """Record a state machine snapshot at `index` and compact the log, retaining `trailing_entries`.

        Raises LogIndexError if `index` is not applied yet or not newer than the last snapshot.
        """
        state = self.state
        if not state.snapshot.index < index <= state.applied_index:
            raise LogIndexError(
                index, f"snapshot index must be in ({state.snapshot.index}, {state.applied_index}]"
            )
        term = state.log.term_at(index)
        assert term is not None
        state.snapshot = Snapshot(index, term, state.memberships.at(index), data)
        self._unstable.save_snapshot(state.snapshot)
        state.log.compact(max(state.log.compacted_index, index - state.config.trailing_entries))
        state.memberships.compact(index)

    # Messages.

    def step(self, message: Message) -> None:
        """Process one message. Messages that do not apply to this node or its current term are dropped."""
        if message.dst != self.name:
            return
        if message.term < self.term:
            self._reply_to_stale_message(message)
            return
        if message.term > self.term and not self._adopt_term(message):
            return
        self._dispatch(message)

    def _adopt_term(self, message: Message) -> bool:
        """Adopt the newer term of a message where Raft requires it. Returns False if it must be dropped."""
        if isinstance(message, VoteRequest):
            if not message.leadership_transfer and self._election.has_recent_leader():
                # Otherwise a removed or partitioned node, whose election timer keeps expiring and whose term
                # keeps growing, would depose a working leader.
                return False
            if not message.pre_vote:
                self._become_follower(message.term, None)
        elif not (isinstance(message, VoteReply) and message.pre_vote and message.granted):
            from_leader = isinstance(message, AppendEntries | SnapshotChunk)
            self._become_follower(message.term, message.src if from_leader else None)
        return True

    def _reply_to_stale_message(self, message: Message) -> None:
        """Inform the sender of a message with an older term of the current term."""
        state = self.state
        if isinstance(message, AppendEntries | SnapshotChunk):
            last_index = state.log.last_index
            state.send(
                AppendEntriesReply(state.name, message.src, state.term, accepted=False, index=last_index)
            )
        elif isinstance(message, VoteRequest):
            state.send(
                VoteReply(state.name, message.src, state.term, granted=False, pre_vote=message.pre_vote)
            )

    def _dispatch(self, message: Message) -> None:
        match message:
            case VoteRequest():
                self._election.on_vote_request(message)
            case VoteReply():
                self._on_vote_reply(message)
            case AppendEntries():
                self._follow_leader(message.src)
                self._append_receiver.on_append_entries(message)
            case AppendEntriesReply():
                self._on_append_reply(message)
            case SnapshotChunk():
                self._follow_leader(message.src)
                self._snapshot_receiver.on_chunk(message)
            case SnapshotReply():
                self._replication.on_snapshot_reply(message)
            case TimeoutNow():
                if self.state.is_voter and not self.is_leader:
                    self._campaign(pre_vote=False, leadership_transfer=True)

    def _follow_leader(self, name: str) -> None:
        """Follow the leader of the current term."""
        if self.is_leader:
            raise SafetyViolationError(self.name, f"two leaders in term {self.term}: {self.name} and {name}")
        if self.role is not Role.FOLLOWER:
            self._become_follower(self.term, name)
        self.state.leader = name
        self._election.elapsed_ticks = 0

    def _on_vote_reply(self, reply: VoteReply) -> None:
        result = self._election.on_vote_reply(reply)
        if result is VoteResult.WON:
            self._on_election_won(reply.pre_vote)
        elif result is VoteResult.LOST:
            self._become_follower(self.term, None)

    def _on_append_reply(self, reply: AppendEntriesReply) -> None:
        progress = self._replication.progress_of(reply.src)
        if progress is None:
            return
        progress.recently_active = True
        if reply.heartbeat_round > progress.acknowledged_round:
            progress.acknowledged_round = reply.heartbeat_round
            self._reads.confirm()
        if self._replication.awaits_snapshot(progress, reply):
            self._replication.resend_lost_chunk(progress, reply)
            return
        if not reply.accepted:
            self._replication.on_rejected(progress, reply)
            return
        if self._replication.on_accepted(progress, reply):
            self._advance_commit()
        if self.is_leader:  # the commit may have removed this node from the group
            self._replication.send_to(reply.src)
            self._transfer.on_progress(reply.src)

    def _advance_commit(self) -> None:
        if not self.is_leader or not self._replication.advance_commit():
            return
        self._reads.on_commit()
        self._replication.broadcast_commit()
        if self.state.memberships.index <= self.commit_index and not self.state.is_voter:
            self._become_follower(self.term, None)  # the leader removed itself (dissertation, 4.2.2)

    # Output.

    def has_ready(self) -> bool:
        """Whether `take_ready` would return any work."""
        state = self.state
        return bool(
            state.outbox
            or self._unstable.has_changes
            or self._snapshot_receiver.has_installed
            or self._reads.has_results
            or state.applied_index < min(state.commit_index, state.log.last_index)
        )

    def take_ready(self) -> Ready:
        """Take the pending output: persist it, call `mark_persisted`, then send and apply the rest."""
        ready = Ready(
            persist=self._unstable.take_batch(),
            messages=self.state.outbox,
            installed_snapshot=self._snapshot_receiver.take_installed(),
            committed_entries=self._take_committed(),
            read_states=self._reads.take_confirmed(),
            lost_reads=self._reads.take_lost(),
        )
        self.state.outbox = []
        return ready

    def _take_committed(self) -> list[Entry]:
        state = self.state
        if state.applied_index >= state.commit_index:
            return []
        committed = state.log.slice(state.applied_index + 1, state.commit_index)
        state.applied_index = state.commit_index
        return committed

    def mark_persisted(self, ready: Ready) -> None:
        """Record that `ready.persist` is durable, so that this node's own copy counts towards a quorum."""
        if ready.persist.entries:
            last = ready.persist.entries[-1]
            if self.log.term_at(last.index) == last.term:
                self.state.persisted_index = max(self.state.persisted_index, last.index)
        self._advance_commit()
