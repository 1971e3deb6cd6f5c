"""Follower side of snapshot transfer: assembles the chunks and installs the snapshot."""

from __future__ import annotations

from dataclasses import dataclass, field

from juniperreel.raft.messages import AppendEntriesReply, SnapshotChunk, SnapshotReply
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import Snapshot
from juniperreel.raft.unstable import UnstableState


@dataclass(slots=True)
class IncomingSnapshot:
    """A partially received snapshot."""

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


class SnapshotReceiver:
    """Owns the snapshot being received and the installed one that the state machine has not restored yet."""

    def __init__(self, state: NodeState, unstable: UnstableState) -> None:
        """Installs snapshots into `state` and registers them with `unstable` for persistence."""
        self._state = state
        self._unstable = unstable
        self._incoming: IncomingSnapshot | None = None
        self._installed: Snapshot | None = None

    @property
    def has_installed(self) -> bool:
        """Whether the state machine has yet to restore an installed snapshot."""
        return self._installed is not None

    def take_installed(self) -> Snapshot | None:
        """Take the installed snapshot to restore the state machine from; it is returned once."""
        installed = self._installed
        self._installed = None
        return installed

    def on_chunk(self, chunk: SnapshotChunk) -> None:
        """Add a chunk to the snapshot being received; the last chunk installs it."""
        state = self._state
        if chunk.index <= state.commit_index:
            self._reply_done(chunk, state.commit_index)
            return
        if chunk.offset == 0:
            self._incoming = IncomingSnapshot(chunk.index, chunk.snapshot_term)
        incoming = self._matching_incoming(chunk)
        received = len(incoming.data) if incoming is not None else 0
        if incoming is None or received != chunk.offset:
            # The transfer was interrupted or the chunk is a duplicate: the leader resumes from this offset.
            self._reply_received(chunk, received)
            return
        if received + len(chunk.data) > state.config.max_snapshot_bytes:
            self._incoming = None
            return
        incoming.data.extend(chunk.data)
        if not chunk.last:
            self._reply_received(chunk, len(incoming.data))
            return
        self._incoming = None
        self._install(Snapshot(chunk.index, chunk.snapshot_term, chunk.membership, bytes(incoming.data)))
        self._reply_done(chunk, chunk.index)

    def _matching_incoming(self, chunk: SnapshotChunk) -> IncomingSnapshot | None:
        """The snapshot being received, if the chunk belongs to it."""
        incoming = self._incoming
        if incoming is None or (incoming.index, incoming.term) != (chunk.index, chunk.snapshot_term):
            return None
        return incoming

    def _reply_received(self, chunk: SnapshotChunk, offset: int) -> None:
        state = self._state
        state.send(SnapshotReply(state.name, chunk.src, state.term, chunk.index, offset, done=False))

    def _reply_done(self, chunk: SnapshotChunk, match_index: int) -> None:
        state = self._state
        state.send(SnapshotReply(state.name, chunk.src, state.term, chunk.index, 0, done=True))
        state.send(AppendEntriesReply(state.name, chunk.src, state.term, accepted=True, index=match_index))

    def _install(self, snapshot: Snapshot) -> None:
        """Install a snapshot.

        If the log contains the snapshot's last entry, later entries are kept (paper, figure 13, step 6).
        """
        state = self._state
        state.snapshot = snapshot
        self._installed = snapshot
        state.memberships.reset(snapshot.index, snapshot.membership)
        if state.log.term_at(snapshot.index) == snapshot.term:
            state.log.compact(snapshot.index)
            for entry in state.log.entries:
                state.memberships.append(entry)
            self._unstable.save_snapshot(snapshot)
        else:
            state.log.reset(snapshot.index, snapshot.term)
            state.persisted_index = snapshot.index
            self._unstable.replace_log(snapshot)
        state.commit_index = max(state.commit_index, snapshot.index)
        state.applied_index = snapshot.index
