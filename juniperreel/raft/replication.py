"""Leader side of log replication: sends log entries and snapshots, and advances the commit index."""

from __future__ import annotations

from juniperreel.raft.messages import AppendEntries, AppendEntriesReply, SnapshotChunk, SnapshotReply
from juniperreel.raft.progress import Progress, ProgressState
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import Entry, EntryKind


class Replication:
    """Owns the progress of each follower and the numbering of heartbeat rounds.

    Invariant: a leader tracks the progress of exactly the other members; a node that is not the leader tracks
    none.
    """

    def __init__(self, state: NodeState) -> None:
        """Starts without followers, as the node is not the leader."""
        self._state = state
        self._progress: dict[str, Progress] = {}
        self._term_start_index = 0  # index of this leader's first entry in its term
        self._heartbeat_round = 0
        self._ticks_since_heartbeat = 0

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self._state.commit_index >= self._term_start_index

    def match_indexes(self) -> dict[str, int]:
        """The match index of each follower."""
        return {name: progress.match_index for name, progress in self._progress.items()}

    def progress_of(self, name: str) -> Progress | None:
        """The progress of a follower, or None if this node is not its leader."""
        return self._progress.get(name) if self._state.is_leader else None

    def lag_of(self, name: str) -> int:
        """The number of committed entries that a follower is not known to have."""
        progress = self._progress.get(name)
        return self._state.commit_index - (progress.match_index if progress is not None else 0)

    # Leadership.

    def start_term(self) -> None:
        """Start leading the term by appending a no-op entry.

        Entries of earlier terms are committed only through this entry (paper, 5.4.2 and section 8).
        """
        self._ticks_since_heartbeat = 0
        self._progress = {}
        self.sync_followers()
        self._term_start_index = self._state.log.last_index + 1
        self.append(EntryKind.NOOP, b"")
        self.broadcast()

    def stop(self) -> None:
        """Stop tracking followers."""
        self._progress = {}

    def sync_followers(self) -> None:
        """Update the tracked followers to the other members of the membership in force."""
        state = self._state
        followers = state.membership.all - {state.name}
        for name in self._progress.keys() - followers:
            del self._progress[name]
        for name in sorted(followers - self._progress.keys()):
            self._progress[name] = Progress(state.log.last_index + 1, state.config.max_inflight_appends)

    def check_quorum(self) -> bool:
        """Whether a quorum was active since the last check (dissertation, 6.2)."""
        active = {name for name, progress in self._progress.items() if progress.recently_active}
        active.add(self._state.name)
        for progress in self._progress.values():
            progress.recently_active = False
        membership = self._state.membership
        return len(active & membership.voters) >= membership.quorum()

    def append(self, kind: EntryKind, data: bytes) -> Entry:
        """Append an entry of this term to the leader's own log."""
        entry = Entry(self._state.term, self._state.log.last_index + 1, kind, data)
        self._state.log.append(entry)
        self._state.memberships.append(entry)
        return entry

    # Commit index.

    def advance_commit(self) -> bool:
        """Advance the commit index to the last entry durable on a quorum.

        An entry of an earlier term is never committed by counting replicas (paper, 5.4.2 and figure 8).
        Returns whether the commit index advanced.
        """
        state = self._state
        index = self._quorum_value(state.persisted_index, self.match_indexes())
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return False
        state.commit_index = index
        return True

    def acknowledged_round(self) -> int:
        """The latest heartbeat round that a quorum has acknowledged."""
        rounds = {name: progress.acknowledged_round for name, progress in self._progress.items()}
        return self._quorum_value(self._heartbeat_round, rounds)

    def _quorum_value(self, own: int, of_followers: dict[str, int]) -> int:
        """The highest value that a quorum of voters has reached."""
        membership = self._state.membership
        values = [own if name == self._state.name else of_followers[name] for name in membership.voters]
        values.sort(reverse=True)
        return values[membership.quorum() - 1]

    # Sending.

    def broadcast(self) -> None:
        """Send each follower the entries that it is missing."""
        for name in sorted(self._progress):
            self.send_to(name)

    def broadcast_commit(self) -> None:
        """Send each follower the new commit index, in an empty AppendEntries if it is missing no entries."""
        for name in sorted(self._progress):
            progress = self._progress[name]
            if not self.send_to(name) and progress.state is ProgressState.REPLICATE:
                self._send_empty_append(name, progress)

    def heartbeat_due(self) -> bool:
        """Count a tick. Returns whether a heartbeat is due."""
        self._ticks_since_heartbeat += 1
        if self._ticks_since_heartbeat < self._state.config.heartbeat_ticks:
            return False
        self._ticks_since_heartbeat = 0
        return True

    def send_heartbeats(self) -> int:
        """Start a heartbeat round and return its number.

        Each follower is sent the entries that may be sent now, or an empty AppendEntries.
        """
        self._heartbeat_round += 1
        for name in sorted(self._progress):
            if not self.send_to(name):
                self._send_empty_append(name, self._progress[name])
        return self._heartbeat_round

    def _send_empty_append(self, name: str, progress: Progress) -> None:
        """Send a follower an AppendEntries without entries that follows the last entry sent to it.

        A follower that lacks that entry rejects it, which tells the leader that messages were lost. The reply
        of a follower that has it makes up for lost replies.
        """
        state = self._state
        prev_index = progress.next_index - 1
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:
            prev_index = state.log.compacted_index
            prev_term = state.log.compacted_term
        self._send_append(name, prev_index, prev_term, (), state.commit_index)

    def send_to(self, name: str) -> bool:
        """Send a follower the entries that it is missing, within its in-flight window.

        Returns whether anything was sent.
        """
        state = self._state
        progress = self._progress[name]
        is_compacted = state.log.term_at(progress.next_index - 1) is None
        if is_compacted and progress.state is not ProgressState.SNAPSHOT:
            progress.become_snapshot(state.snapshot.index)
        sent = False
        while not progress.paused:
            if progress.state is ProgressState.SNAPSHOT:
                self._send_chunk(name, progress)
                return True
            prev_index = progress.next_index - 1
            prev_term = state.log.term_at(prev_index)
            assert prev_term is not None
            entries = self._next_batch(progress.next_index)
            if not entries and (progress.state is ProgressState.REPLICATE or sent):
                return sent
            self._send_append(name, prev_index, prev_term, entries, state.commit_index)
            progress.on_sent(entries[-1].index if entries else prev_index)
            sent = True
        return sent

    def _send_append(
        self, name: str, prev_index: int, prev_term: int, entries: tuple[Entry, ...], commit_index: int
    ) -> None:
        state = self._state
        state.send(
            AppendEntries(
                src=state.name,
                dst=name,
                term=state.term,
                prev_index=prev_index,
                prev_term=prev_term,
                entries=entries,
                commit_index=commit_index,
                heartbeat_round=self._heartbeat_round,
            )
        )

    def _next_batch(self, start: int) -> tuple[Entry, ...]:
        """The entries from `start` on that fit in one message; at least one if the log has any."""
        log = self._state.log
        config = self._state.config
        end = min(log.last_index, start + config.max_entries_per_append - 1)
        batch: list[Entry] = []
        size = 0
        for entry in log.slice(start, end):
            size += len(entry.data)
            if batch and size > config.max_bytes_per_append:
                break
            batch.append(entry)
        return tuple(batch)

    def _send_chunk(self, name: str, progress: Progress) -> None:
        state = self._state
        snapshot = state.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.become_snapshot(snapshot.index)  # the leader has taken a newer snapshot meanwhile
        offset = progress.snapshot_offset
        data = snapshot.data[offset : offset + state.config.snapshot_chunk_bytes]
        state.send(
            SnapshotChunk(
                src=state.name,
                dst=name,
                term=state.term,
                index=snapshot.index,
                snapshot_term=snapshot.term,
                membership=snapshot.membership,
                offset=offset,
                data=data,
                last=offset + len(data) >= len(snapshot.data),
            )
        )
        progress.chunk_round = self._heartbeat_round
        progress.on_sent(0)

    # Replies.

    def on_accepted(self, progress: Progress, reply: AppendEntriesReply) -> bool:
        """Record an accepted AppendEntries. Returns whether the match index advanced."""
        if progress.state is ProgressState.SNAPSHOT:
            progress.become_probe()
        return progress.on_accepted(min(reply.index, self._state.log.last_index))

    def awaits_snapshot(self, progress: Progress, reply: AppendEntriesReply) -> bool:
        """Whether a follower in state SNAPSHOT is still missing entries that this node has compacted."""
        if progress.state is not ProgressState.SNAPSHOT:
            return False
        return not reply.accepted or reply.index < self._state.log.compacted_index

    def resend_lost_chunk(self, progress: Progress, reply: AppendEntriesReply) -> None:
        """Send the snapshot chunk in flight again, if the reply to a heartbeat shows that it is lost."""
        if progress.lost_chunk(reply.heartbeat_round):
            progress.awaiting_reply = False
            self.send_to(reply.src)

    def on_rejected(self, progress: Progress, reply: AppendEntriesReply) -> None:
        """Move the follower's next index back after a rejected AppendEntries, and send from there."""
        hint_index = reply.index
        if reply.hint_term:
            # Skip this log's entries with a term above the hint's: none of them can match.
            hint_index = self._state.log.find_conflict_index(reply.index, reply.hint_term)
        if progress.on_rejected(reply.rejected_index, hint_index):
            self.send_to(reply.src)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Send the next chunk, if the reply belongs to the snapshot in transfer."""
        progress = self.progress_of(reply.src)
        if progress is None or progress.state is not ProgressState.SNAPSHOT:
            return
        progress.recently_active = True
        if reply.index != progress.snapshot_index:
            return
        progress.awaiting_reply = False
        if not reply.done:
            progress.snapshot_offset = min(reply.offset, len(self._state.snapshot.data))
            self.send_to(reply.src)
