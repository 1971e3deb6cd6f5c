"""The Raft state machine: messages, ticks and proposals in, a Ready out. No I/O, no clock, no threads.

Owns term, vote, log and the beliefs of a leader. All randomness comes from the seed handed in, so that the
same inputs give the same outputs. Must never act on what is not persisted: see `Ready`.
"""

from __future__ import annotations

import random
from collections import deque

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.errors import LogIndexError, NotLeaderError, RequestRejectedError, SafetyViolationError
from juniperreel.raft.log import RaftLog
from juniperreel.raft.membership import MembershipHistory, changed_membership, encode_membership
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
from juniperreel.raft.progress import Progress, ProgressState
from juniperreel.raft.ready import PersistBatch, ReadState, Ready
from juniperreel.raft.types import (
    Entry,
    EntryKind,
    HardState,
    LogPosition,
    Membership,
    MembershipChange,
    RecoveredState,
    Role,
    Snapshot,
)


class RaftCore:
    """One node."""

    def __init__(self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random) -> None:
        self.name, self.config, self._rng = name, config, rng
        self.term, self.vote = recovered.hard_state.term, recovered.hard_state.vote
        self.snapshot = recovered.snapshot
        base = self.snapshot.index if recovered.compacted_index is None else recovered.compacted_index
        base_term = self.snapshot.term if recovered.compacted_index is None else recovered.compacted_term
        self.log = RaftLog(base, base_term, recovered.entries)
        self.memberships = MembershipHistory(self.snapshot.index, self.snapshot.membership)
        for entry in self.log.entries:
            if entry.index > self.snapshot.index:
                self.memberships.append(entry)
        self.commit_index = max(self.snapshot.index, min(recovered.hard_state.commit, self.log.last_index))
        self.applied_index = self.snapshot.index
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.persisted_index = self.log.last_index  # on disk
        self._unstable = self.log.last_index + 1  # first entry not yet handed out to be persisted
        self._saved = recovered.hard_state
        self._snapshot_due: Snapshot | None = None  # to be persisted
        self._reset = False
        self._install: Snapshot | None = None
        self._out: list[Message] = []
        self._votes: dict[str, bool] = {}
        self._progress: dict[str, Progress] = {}
        self._noop = 0  # index of this leader's first entry
        self._round = 0
        self._reads: deque[tuple[int, int, int]] = deque()  # (round, context, index)
        self._waiting_reads: list[int] = []  # until the term has a commit
        self._ready_reads: list[ReadState] = []
        self._lost_reads: list[int] = []
        self._transfer: str | None = None
        self._incoming: tuple[int, int, bytearray] | None = None  # snapshot on its way here
        self._elapsed = self._beat = 0
        self._limit = 0
        self._randomise()

    # Views.

    @property
    def membership(self) -> Membership:
        return self.memberships.current

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    def match_indexes(self) -> dict[str, int]:
        """A leader's followers and what each is known to hold."""
        return {name: p.match_index for name, p in self._progress.items()}

    def _randomise(self) -> None:
        self._limit = self.config.election_ticks + self._rng.randrange(self.config.election_ticks)

    # Time.

    def tick(self) -> None:
        self._elapsed += 1
        if self.role is not Role.LEADER:
            if self._elapsed >= self._limit and self.name in self.membership.voters:
                self._campaign(pre=True)
            return
        if self._elapsed >= self.config.election_ticks:
            self._elapsed = 0
            self._transfer = None  # the transfer did not come about
            self._check_quorum()
        self._beat += 1
        if self.role is Role.LEADER and self._beat >= self.config.heartbeat_ticks:
            self._beat = 0
            self._heartbeat()

    def _check_quorum(self) -> None:
        """A leader that hears no quorum steps down (dissertation, 6.2): it may have been replaced."""
        heard = {n for n, p in self._progress.items() if p.recently_active} | {self.name}
        for p in self._progress.values():
            p.recently_active = False
        if len(heard & self.membership.voters) < self.membership.quorum():
            self._follow(self.term, None)

    # Roles.

    def _follow(self, term: int, leader: str | None) -> None:
        if term > self.term:
            self.term, self.vote = term, None
        if self.role is Role.LEADER:
            self._lost_reads += [context for _, context, _ in self._reads] + self._waiting_reads
            self._reads.clear()
            self._waiting_reads.clear()
            self._transfer = None
        self.role, self.leader = Role.FOLLOWER, leader
        self._elapsed = 0
        self._progress = {}
        self._votes = {}
        self._randomise()

    def _campaign(self, pre: bool, transfer: bool = False) -> None:
        """Asks for votes. A pre-vote takes on no term, so that a node that was cut off comes back without
        ending a leadership that works (dissertation, 9.6)."""
        self.leader = None
        self._elapsed = 0
        self._randomise()
        if pre:
            self.role, term = Role.PRE_CANDIDATE, self.term + 1
        else:
            self.role = Role.CANDIDATE
            self.term += 1
            self.vote, term = self.name, self.term
        self._votes = {self.name: True}
        if self._won():
            self._elected(pre)
            return
        for peer in sorted(self.membership.voters - {self.name}):
            ask = VoteRequest(self.name, peer, term, self.log.last_index, self.log.last_term, pre, transfer)
            self._out.append(ask)

    def _won(self) -> bool:
        yes = sum(1 for n in self.membership.voters if self._votes.get(n))
        return yes >= self.membership.quorum()

    def _elected(self, pre: bool) -> None:
        if pre:
            self._campaign(pre=False)
            return
        self.role, self.leader = Role.LEADER, self.name
        self._elapsed = self._beat = 0
        self._progress = {}
        self._sync_progress()
        self._noop = self.log.last_index + 1
        # An entry of this term: earlier ones are committed only through it (paper, 5.4.2 and section 8).
        self._append(EntryKind.NOOP, b"")
        self._broadcast()

    def _sync_progress(self) -> None:
        peers = self.membership.all - {self.name}
        for name in self._progress.keys() - peers:
            del self._progress[name]
        for name in sorted(peers - self._progress.keys()):
            self._progress[name] = Progress(self.log.last_index + 1, self.config.max_inflight_appends)

    # Proposals.

    def propose(self, data: bytes) -> LogPosition:
        """(term, index) of the new entry. Raises NotLeaderError or RequestRejectedError."""
        self._must_lead()
        waiting = sum(len(e.data) for e in self.log.slice(self.commit_index + 1, self.log.last_index))
        if waiting and waiting + len(data) > self.config.max_uncommitted_bytes:
            raise RequestRejectedError("too much waits to be committed")
        entry = self._append(EntryKind.COMMAND, data)
        self._broadcast()
        return LogPosition(entry.term, entry.index)

    def _must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self._transfer is not None:
            raise RequestRejectedError("the leadership is being handed over")

    def change_membership(self, change: MembershipChange, name: str) -> LogPosition:
        """One step of membership. Raises NotLeaderError or RequestRejectedError.

        Danger: a change begun by a leader that has committed nothing in its term can overlap with one that it
        does not know of (the error in the dissertation's 4.1, reported by Ongaro in 2015); so it waits."""
        self._must_lead()
        if self.commit_index < self._noop:
            raise RequestRejectedError("this leader has committed nothing in its term yet")
        if self.memberships.index > self.commit_index:
            raise RequestRejectedError("another change of membership is under way")
        members = self._changed(change, name)
        entry = self._append(EntryKind.CONFIG, encode_membership(members))
        self._sync_progress()
        self._broadcast()
        return LogPosition(entry.term, entry.index)

    def _changed(self, change: MembershipChange, name: str) -> Membership:
        progress = self._progress.get(name)
        lag = self.commit_index - (progress.match_index if progress is not None else 0)
        return changed_membership(self.membership, change, name, lag, self.config.max_promotion_lag)

    def transfer_leadership(self, name: str) -> None:
        """Hand the leadership to a voter once it holds all of the log.

        Raises NotLeaderError or RequestRejectedError."""
        self._must_lead()
        if name not in self.membership.voters or name == self.name:
            raise RequestRejectedError(f"{name} is not another voter")
        self._transfer, self._elapsed = name, 0
        self._go_on_with_transfer(name)

    def _go_on_with_transfer(self, name: str) -> None:
        if self._transfer == name and self._progress[name].match_index == self.log.last_index:
            self._out.append(TimeoutNow(self.name, name, self.term))

    def read_index(self, context: int) -> None:
        """A linearizable read: a Ready names `context` with the index to wait for (dissertation, 6.4)."""
        self._must_lead()
        if self.commit_index < self._noop:
            self._waiting_reads.append(context)
        else:
            self._start_read(context)

    def _start_read(self, context: int) -> None:
        self._round += 1
        self._reads.append((self._round, context, self.commit_index))
        self._heartbeat()
        self._answer_reads()

    def _append(self, kind: EntryKind, data: bytes) -> Entry:
        entry = Entry(self.term, self.log.last_index + 1, kind, data)
        self.log.append(entry)
        self.memberships.append(entry)
        return entry

    # Sending.

    def _broadcast(self) -> None:
        for name in sorted(self._progress):
            self._send_to(name)

    def _heartbeat(self) -> None:
        for name in sorted(self._progress):
            p = self._progress[name]
            p.on_heartbeat()
            if not self._send_to(name):
                prev = min(p.match_index, self.log.last_index)
                term = self.log.term_at(prev)
                if term is None:
                    prev, term = self.log.compacted_index, self.log.compacted_term
                beat = AppendEntries(
                    self.name,
                    name,
                    self.term,
                    prev,
                    term,
                    (),
                    min(self.commit_index, p.match_index),
                    self._round,
                )
                self._out.append(beat)

    def _send_to(self, name: str) -> bool:
        """What the follower lacks, as far as its window allows; whether anything was sent."""
        p = self._progress[name]
        sent = False
        while not p.paused:
            if p.state is ProgressState.SNAPSHOT:
                self._send_chunk(name, p)
                return True
            prev = p.next_index - 1
            term = self.log.term_at(prev)
            if term is None:
                p.become_snapshot(self.snapshot.index)
                continue
            entries = self._batch(p.next_index)
            if not entries and (p.state is ProgressState.REPLICATE or sent):
                return sent
            message = AppendEntries(
                self.name, name, self.term, prev, term, entries, self.commit_index, self._round
            )
            self._out.append(message)
            p.on_sent(entries[-1].index if entries else prev)
            sent = True
        return sent

    def _batch(self, start: int) -> tuple[Entry, ...]:
        entries: list[Entry] = []
        size = 0
        for entry in self.log.slice(
            start, min(self.log.last_index, start + self.config.max_entries_per_append - 1)
        ):
            size += len(entry.data)
            if entries and size > self.config.max_bytes_per_append:
                break
            entries.append(entry)
        return tuple(entries)

    def _send_chunk(self, name: str, p: Progress) -> None:
        s = self.snapshot
        if p.snapshot_index != s.index:
            p.become_snapshot(s.index)  # a newer one has taken its place
        data = s.data[p.snapshot_offset : p.snapshot_offset + self.config.snapshot_chunk_bytes]
        last = p.snapshot_offset + len(data) >= len(s.data)
        self._out.append(
            SnapshotChunk(
                self.name, name, self.term, s.index, s.term, s.membership, p.snapshot_offset, data, last
            )
        )
        p.on_sent(0)

    # Messages.

    def step(self, m: Message) -> None:
        """One message. Whatever does not concern this node now is dropped."""
        if m.dst != self.name:
            return
        if m.term > self.term:
            if isinstance(m, VoteRequest):
                if not m.leadership_transfer and self._content():
                    return  # danger: a node that was removed or cut off ends a leadership that works
                if not m.pre_vote:
                    self._follow(m.term, None)
            elif not (isinstance(m, VoteReply) and m.pre_vote and m.granted):
                lead = m.src if isinstance(m, AppendEntries | SnapshotChunk) else None
                self._follow(m.term, lead)
        elif m.term < self.term:
            if isinstance(m, AppendEntries | SnapshotChunk):
                self._out.append(AppendEntriesReply(self.name, m.src, self.term, False, self.log.last_index))
            elif isinstance(m, VoteRequest):
                self._out.append(VoteReply(self.name, m.src, self.term, False, m.pre_vote))
            return
        match m:
            case VoteRequest():
                self._on_vote_request(m)
            case VoteReply():
                self._on_vote_reply(m)
            case AppendEntries():
                self._on_append(m)
            case AppendEntriesReply():
                self._on_append_reply(m)
            case SnapshotChunk():
                self._on_chunk(m)
            case SnapshotReply():
                self._on_snapshot_reply(m)
            case TimeoutNow():
                if self.name in self.membership.voters and self.role is not Role.LEADER:
                    self._campaign(pre=False, transfer=True)

    def _content(self) -> bool:
        """Whether a leader was heard of within the least election span (dissertation, 4.2.3)."""
        if self.role is Role.LEADER:
            return True
        return self.leader is not None and self._elapsed < self.config.election_ticks

    def _on_vote_request(self, m: VoteRequest) -> None:
        free = self.vote == m.src or (self.vote is None and self.leader is None)
        if m.pre_vote:
            free = m.term > self.term
        newer = (m.last_term, m.last_index) >= (self.log.last_term, self.log.last_index)
        granted = free and newer
        if granted and not m.pre_vote:
            self.vote = m.src
            self._elapsed = 0
        term = m.term if granted else self.term
        self._out.append(VoteReply(self.name, m.src, term, granted, m.pre_vote))

    def _on_vote_reply(self, m: VoteReply) -> None:
        wanted = Role.PRE_CANDIDATE if m.pre_vote else Role.CANDIDATE
        if self.role is not wanted or (m.pre_vote and m.granted and m.term != self.term + 1):
            return
        self._votes.setdefault(m.src, m.granted)
        if self._won():
            self._elected(m.pre_vote)
        elif (
            sum(1 for n in self.membership.voters if self._votes.get(n) is False) >= self.membership.quorum()
        ):
            self._follow(self.term, None)

    def _on_append(self, m: AppendEntries) -> None:
        if self.role is Role.LEADER:
            raise SafetyViolationError(self.name, f"two leaders in term {self.term}: {self.name} and {m.src}")
        if self.role is not Role.FOLLOWER:
            self._follow(self.term, m.src)
        self.leader, self._elapsed = m.src, 0
        if m.prev_index < self.commit_index and self.log.term_at(m.prev_index) is None:
            self._reply(m, True, self.commit_index)
            return
        if self.log.term_at(m.prev_index) != m.prev_term:
            index = self.log.find_conflict_index(m.prev_index, m.prev_term)
            hint_term = self.log.term_at(index) or 0
            reply = AppendEntriesReply(
                self.name, m.src, self.term, False, index, hint_term, m.prev_index, m.heartbeat_round
            )
            self._out.append(reply)
            return
        for entry in m.entries:
            here = self.log.term_at(entry.index)
            if here is not None and here != entry.term:
                self._truncate(entry.index)
                here = None
            if here is None and entry.index > self.log.last_index:
                self.log.append(entry)
                self.memberships.append(entry)
        last = m.prev_index + len(m.entries)
        self.commit_index = max(self.commit_index, min(m.commit_index, last))
        self._reply(m, True, last)

    def _truncate(self, start: int) -> None:
        if start <= self.commit_index:
            raise SafetyViolationError(self.name, f"committed entry {start} would be cut off")
        self.log.truncate(start)
        self.memberships.truncate(start)
        self._unstable = min(self._unstable, start)
        self.persisted_index = min(self.persisted_index, start - 1)

    def _reply(self, m: AppendEntries, accepted: bool, index: int) -> None:
        self._out.append(
            AppendEntriesReply(
                self.name, m.src, self.term, accepted, index, heartbeat_round=m.heartbeat_round
            )
        )

    def _on_append_reply(self, m: AppendEntriesReply) -> None:
        p = self._progress.get(m.src)
        if self.role is not Role.LEADER or p is None:
            return
        p.recently_active = True
        if m.heartbeat_round > p.acknowledged_round:
            p.acknowledged_round = m.heartbeat_round
            self._answer_reads()
        if m.accepted:
            if p.state is ProgressState.SNAPSHOT:
                if m.index < self.log.compacted_index:
                    return
                p.become_probe()
            news = p.on_accepted(min(m.index, self.log.last_index))
            if news:
                self._advance()
            if self.role is not Role.LEADER:
                return  # that commit removed it
            self._send_to(m.src)
            self._go_on_with_transfer(m.src)
        elif p.state is not ProgressState.SNAPSHOT:
            # The follower's hint, brought down to where this log has that term or an older one.
            hint = self.log.find_conflict_index(m.index, m.hint_term) if m.hint_term else m.index
            if p.on_rejected(m.rejected_index, hint):
                self._send_to(m.src)

    def _advance(self) -> None:
        """Commits what a quorum has on disk, if it is of this term (paper, 5.4.2 and figure 8)."""
        if self.role is not Role.LEADER:
            return
        held = [
            self.persisted_index if n == self.name else self._progress[n].match_index
            for n in self.membership.voters
        ]
        held.sort(reverse=True)
        index = held[self.membership.quorum() - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            waiting, self._waiting_reads = self._waiting_reads, []
            for context in waiting:
                self._start_read(context)
            self._broadcast_commit()
            if self.memberships.index <= self.commit_index and self.name not in self.membership.voters:
                self._follow(self.term, None)  # it removed itself (dissertation, 4.2.2)

    def _broadcast_commit(self) -> None:
        for name in sorted(self._progress):
            p = self._progress[name]
            if not self._send_to(name) and p.state is ProgressState.REPLICATE:
                term = self.log.term_at(p.match_index)
                if term is not None:
                    commit = min(self.commit_index, p.match_index)
                    self._out.append(
                        AppendEntries(
                            self.name, name, self.term, p.match_index, term, (), commit, self._round
                        )
                    )

    def _answer_reads(self) -> None:
        rounds = [
            self._round if n == self.name else self._progress[n].acknowledged_round
            for n in self.membership.voters
        ]
        rounds.sort(reverse=True)
        heard = rounds[self.membership.quorum() - 1]
        while self._reads and self._reads[0][0] <= heard:
            _, context, index = self._reads.popleft()
            self._ready_reads.append(ReadState(context, index))

    # Snapshots.

    def compact(self, index: int, data: bytes) -> None:
        """The state machine's snapshot after `index`, which is applied. Entries far behind it are dropped."""
        if not self.snapshot.index < index <= self.applied_index:
            raise LogIndexError(
                index, f"a snapshot is taken between {self.snapshot.index} and {self.applied_index}"
            )
        term = self.log.term_at(index)
        assert term is not None
        self.snapshot = Snapshot(index, term, self.memberships.at(index), data)
        self._snapshot_due = self.snapshot
        keep = max(self.log.compacted_index, index - self.config.trailing_entries)
        self.log.compact(keep)
        self.memberships.compact(index)

    def _on_chunk(self, m: SnapshotChunk) -> None:
        if self.role is Role.LEADER:
            raise SafetyViolationError(self.name, f"two leaders in term {self.term}: {self.name} and {m.src}")
        if self.role is not Role.FOLLOWER:
            self._follow(self.term, m.src)
        self.leader, self._elapsed = m.src, 0
        if m.index <= self.commit_index:
            self._out.append(SnapshotReply(self.name, m.src, self.term, m.index, 0, True))
            self._out.append(AppendEntriesReply(self.name, m.src, self.term, True, self.commit_index))
            return
        if m.offset == 0:
            self._incoming = (m.index, m.snapshot_term, bytearray())
        have = self._incoming
        if have is None or have[:2] != (m.index, m.snapshot_term) or len(have[2]) != m.offset:
            # Interrupted, or a chunk twice: say how far it got.
            at = len(have[2]) if have is not None and have[:2] == (m.index, m.snapshot_term) else 0
            self._out.append(SnapshotReply(self.name, m.src, self.term, m.index, at, False))
            return
        if len(have[2]) + len(m.data) > self.config.max_snapshot_bytes:
            self._incoming = None
            return
        have[2].extend(m.data)
        if m.last:
            self._incoming = None
            self._restore(Snapshot(m.index, m.snapshot_term, m.membership, bytes(have[2])))
            self._out.append(SnapshotReply(self.name, m.src, self.term, m.index, 0, True))
            self._out.append(AppendEntriesReply(self.name, m.src, self.term, True, m.index))
        else:
            self._out.append(SnapshotReply(self.name, m.src, self.term, m.index, len(have[2]), False))

    def _restore(self, s: Snapshot) -> None:
        """A log that holds the snapshot's last entry keeps what follows it (paper, figure 13, step 6)."""
        self.snapshot = self._install = self._snapshot_due = s
        if self.log.term_at(s.index) == s.term:
            self.log.compact(s.index)
            self.memberships.reset(s.index, s.membership)
            for entry in self.log.entries:
                self.memberships.append(entry)
        else:
            self.log.reset(s.index, s.term)
            self.memberships.reset(s.index, s.membership)
            self._reset = True
            self._unstable = s.index + 1
            self.persisted_index = s.index
        self.commit_index = max(self.commit_index, s.index)
        self.applied_index = s.index

    def _on_snapshot_reply(self, m: SnapshotReply) -> None:
        p = self._progress.get(m.src)
        if self.role is not Role.LEADER or p is None or p.state is not ProgressState.SNAPSHOT:
            return
        p.recently_active = True
        if m.index != p.snapshot_index:
            return
        p.awaiting_reply = False
        if not m.done:
            p.snapshot_offset = min(m.offset, len(self.snapshot.data))
            self._send_to(m.src)

    # Out.

    def has_ready(self) -> bool:
        return bool(
            self._out
            or self._snapshot_due
            or self._install
            or self._ready_reads
            or self._lost_reads
            or self._unstable <= self.log.last_index
            or self.applied_index < min(self.commit_index, self.log.last_index)
            or (self.term, self.vote) != (self._saved.term, self._saved.vote)
        )

    def take_ready(self) -> Ready:
        """All that is to be done now. Persist it, then call `persisted`, then send and apply."""
        persist = PersistBatch()
        state = HardState(self.term, self.vote, self.commit_index)
        if (state.term, state.vote) != (
            self._saved.term,
            self._saved.vote,
        ) or self.commit_index > self._saved.commit:
            persist.hard_state = state
        if self._snapshot_due is not None:
            persist.snapshot, persist.replaces_log = self._snapshot_due, self._reset
            persist.first_retained_index = self.log.first_index
            self._snapshot_due, self._reset = None, False
        if self._unstable <= self.log.last_index:
            persist.entries = self.log.slice(self._unstable, self.log.last_index)
            self._unstable = self.log.last_index + 1
        self._saved = state
        apply = (
            self.log.slice(self.applied_index + 1, self.commit_index)
            if self.applied_index < self.commit_index
            else []
        )
        self.applied_index = max(self.applied_index, self.commit_index)
        ready = Ready(persist, self._out, self._install, apply, self._ready_reads, self._lost_reads)
        self._out, self._install, self._ready_reads, self._lost_reads = [], None, [], []
        return ready

    def mark_persisted(self, ready: Ready) -> None:
        """What `ready.persist` named is on disk: now this node's own copy counts for commits."""
        if ready.persist.entries:
            last = ready.persist.entries[-1]
            if self.log.term_at(last.index) == last.term:
                self.persisted_index = max(self.persisted_index, last.index)
        self._advance()
