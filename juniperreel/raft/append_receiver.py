"""Follower side of log replication: appends the leader's entries to the log."""

from __future__ import annotations

from juniperreel.raft.errors import SafetyViolationError
from juniperreel.raft.messages import AppendEntries, AppendEntriesReply
from juniperreel.raft.state import NodeState
from juniperreel.raft.types import Entry
from juniperreel.raft.unstable import UnstableState


class AppendReceiver:
    """Handles AppendEntries from the current leader.

    Invariant: a committed entry is never truncated.
    """

    def __init__(self, state: NodeState, unstable: UnstableState) -> None:
        """Modifies the log in `state` and tells `unstable` which entries must be rewritten."""
        self._state = state
        self._unstable = unstable
        self._probe_requested = False  # since the node started

    def on_append_entries(self, message: AppendEntries) -> None:
        """Append new entries, truncate conflicting ones, and advance the commit index."""
        state = self._state
        prev_term = state.log.term_at(message.prev_index)
        if prev_term is None and message.prev_index < state.commit_index:
            # Entries up to the snapshot are committed, so they match the leader's log.
            self._accept(message, state.commit_index)
            return
        if prev_term != message.prev_term:
            self._reject(message, rejected_index=message.prev_index)
            return
        for entry in message.entries:
            self._store(entry)
        last_index = message.prev_index + len(message.entries)
        state.commit_index = max(state.commit_index, min(message.commit_index, last_index))
        if not message.entries and not self._probe_requested:
            self._request_probe(message)
            return
        self._accept(message, last_index)

    def _request_probe(self, message: AppendEntries) -> None:
        """Reject the first heartbeat after a start, so that the leader sends what follows it.

        Messages sent while this node was down are lost, and a leader of an older version, whose heartbeats
        follow the match index, would not notice.
        """
        self._probe_requested = True
        self._reject(message, rejected_index=message.prev_index + 1)

    def _store(self, entry: Entry) -> None:
        state = self._state
        term = state.log.term_at(entry.index)
        if term is not None and term != entry.term:
            self._truncate(entry.index)
            term = None
        if term is None and entry.index > state.log.last_index:
            state.log.append(entry)
            state.memberships.append(entry)

    def _truncate(self, start: int) -> None:
        state = self._state
        if start <= state.commit_index:
            raise SafetyViolationError(state.name, f"committed entry {start} would be truncated")
        state.log.truncate(start)
        state.memberships.truncate(start)
        self._unstable.truncate(start)
        state.persisted_index = min(state.persisted_index, start - 1)

    def _accept(self, message: AppendEntries, index: int) -> None:
        state = self._state
        state.send(
            AppendEntriesReply(
                src=state.name,
                dst=message.src,
                term=state.term,
                accepted=True,
                index=index,
                heartbeat_round=message.heartbeat_round,
            )
        )

    def _reject(self, message: AppendEntries, rejected_index: int) -> None:
        state = self._state
        hint_index = state.log.find_conflict_index(message.prev_index, message.prev_term)
        state.send(
            AppendEntriesReply(
                src=state.name,
                dst=message.src,
                term=state.term,
                accepted=False,
                index=hint_index,
                hint_term=state.log.term_at(hint_index) or 0,
                rejected_index=rejected_index,
                heartbeat_round=message.heartbeat_round,
            )
        )
