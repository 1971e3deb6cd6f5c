"""Encoding of the records in a node's directory, each with a checksum of its key and data. No I/O.

Renamed fields keep their stored names through `rename`, so that existing directories stay readable.
"""

from __future__ import annotations

import struct

import msgspec
import xxhash

from juniperreel.raft.types import Entry, EntryKind, HardState, Membership, Snapshot

FORMAT = 1
INDEX = struct.Struct(">Q")
CHECKSUM = struct.Struct(">Q")
ENTRY_HEADER = struct.Struct(">QB")  # term, kind
OWNER_KEY = b"meta"
HARD_STATE_KEY = b"state"
SNAPSHOT_METADATA_KEY = b"place"


class DirectoryOwner(msgspec.Struct, frozen=True):
    """The cluster and node that a directory belongs to, and its storage format."""

    format: int
    cluster: str
    node: str


class StoredHardState(msgspec.Struct, frozen=True):
    """Stored form of `HardState`."""

    term: int
    vote: str | None
    commit: int

    @classmethod
    def of(cls, hard_state: HardState) -> StoredHardState:
        """Convert a hard state to its stored form."""
        return cls(hard_state.term, hard_state.vote, hard_state.commit)

    def to_hard_state(self) -> HardState:
        """Convert to a hard state."""
        return HardState(self.term, self.vote, self.commit)


class SnapshotMetadata(
    msgspec.Struct, frozen=True, rename={"compacted_index": "base", "compacted_term": "base_term"}
):
    """Metadata of the snapshot and the start of the log.

    `compacted_index` and `compacted_term` are those of the entry before the first one in the log. The
    snapshot's data is stored separately, in `chunks` numbered records.
    """

    index: int
    term: int
    voters: list[str]
    learners: list[str]
    retired: list[str]
    chunks: int
    compacted_index: int
    compacted_term: int

    @classmethod
    def of(
        cls, snapshot: Snapshot, chunks: int, compacted_index: int, compacted_term: int
    ) -> SnapshotMetadata:
        """The metadata of a snapshot whose data is stored in `chunks` records."""
        membership = snapshot.membership
        return cls(
            index=snapshot.index,
            term=snapshot.term,
            voters=sorted(membership.voters),
            learners=sorted(membership.learners),
            retired=sorted(membership.retired),
            chunks=chunks,
            compacted_index=compacted_index,
            compacted_term=compacted_term,
        )

    def to_snapshot(self, data: bytes) -> Snapshot:
        """Convert to a snapshot with the given data."""
        membership = Membership(frozenset(self.voters), frozenset(self.learners), frozenset(self.retired))
        return Snapshot(self.index, self.term, membership, data)


def encode_record(key: bytes, data: bytes) -> bytes:
    """Encode a record: a checksum over key and data, followed by the data."""
    return CHECKSUM.pack(xxhash.xxh64_intdigest(key + data)) + data


def decode_record(key: bytes, record: bytes) -> bytes | None:
    """The data of a record, or None if the checksum does not match."""
    if len(record) < CHECKSUM.size:
        return None
    data = record[CHECKSUM.size :]
    (checksum,) = CHECKSUM.unpack_from(record)
    return data if checksum == xxhash.xxh64_intdigest(key + data) else None


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry as record data; its index is the record's key."""
    return ENTRY_HEADER.pack(entry.term, entry.kind.value) + entry.data


def decode_entry(index: int, data: bytes) -> Entry | None:
    """Decode an entry from record data, or None if the data is too short."""
    if len(data) < ENTRY_HEADER.size:
        return None
    term, kind = ENTRY_HEADER.unpack_from(data)
    return Entry(term, index, EntryKind(kind), data[ENTRY_HEADER.size :])
