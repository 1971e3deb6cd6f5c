"""Settings of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Limits and timing of one node. Durations are in ticks, sizes in bytes.

    Attributes:
        election_ticks: Minimum election timeout; each timeout is drawn from [this, 2 * this).
        heartbeat_ticks: Interval between a leader's heartbeats.
        max_entries_per_append: Maximum number of entries in one AppendEntries message.
        max_bytes_per_append: Maximum size of the entries in one AppendEntries message; a single larger entry
            is sent on its own.
        max_inflight_appends: Maximum number of unacknowledged AppendEntries messages per follower.
        max_uncommitted_bytes: Maximum size of the uncommitted entries; further proposals are rejected.
        snapshot_chunk_bytes: Maximum size of the snapshot data in one message.
        max_snapshot_bytes: Maximum size of a snapshot that a follower accepts.
        trailing_entries: Entries retained behind a snapshot, so that slightly lagging followers do not need
            the snapshot.
        max_promotion_lag: Maximum number of committed entries that a learner may lack when it is promoted.
    """

    election_ticks: int = 10
    heartbeat_ticks: int = 2
    max_entries_per_append: int = 64
    max_bytes_per_append: int = 256 << 10
    max_inflight_appends: int = 16
    max_uncommitted_bytes: int = 8 << 20
    snapshot_chunk_bytes: int = 64 << 10
    max_snapshot_bytes: int = 64 << 20
    trailing_entries: int = 200
    max_promotion_lag: int = 50
