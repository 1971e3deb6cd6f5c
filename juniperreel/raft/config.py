"""Settings of a Raft node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Limits and timing of one node. Durations are in ticks, sizes in bytes.

    Attributes:
        election_ticks: Least election timeout; each one is drawn from this to twice this.
        heartbeat_ticks: Time between a leader's heartbeats.
        max_entries_per_append: Entries in one AppendEntries message.
        max_bytes_per_append: Bytes of entries in one AppendEntries message, unless its first entry is larger.
        max_inflight_appends: Messages sent to one follower and not yet answered.
        max_uncommitted_bytes: Bytes of entries that may wait to be committed.
        snapshot_chunk_bytes: Bytes of a snapshot in one message.
        max_snapshot_bytes: Largest snapshot that a follower accepts.
        trailing_entries: Entries kept behind a snapshot for followers that lag a little.
        max_promotion_lag: Entries that a learner may lack when it is promoted to a voter.
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
