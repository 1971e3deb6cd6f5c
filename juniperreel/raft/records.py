"""The records of a node's directory as bytes, each with a checksum of its key and contents. No I/O.

A field that was renamed keeps its stored name through `rename`, so that older directories can be read.
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
    """Which node of which cluster a directory belongs to, and in which format it is written."""

    format: int
    cluster: str
    node: str


class StoredHardState(msgspec.Struct, frozen=True):
    """`HardState` as it is stored."""

    term: int
    vote: str | None
    commit: int

    @classmethod
    def of(cls, hard_state: HardState) -> StoredHardState:
        """The record of a hard state."""
        return cls(hard_state.term, hard_state.vote, hard_state.commit)

    def to_hard_state(self) -> HardState:
        """The hard state that was stored."""
        return HardState(self.term, self.vote, self.commit)


class SnapshotMetadata(
    msgspec.Struct, frozen=True, rename={"compacted_index": "base", "compacted_term": "base_term"}
):
    """Where the snapshot and the log stand.

    `compacted_index` and `compacted_term` are those of the entry before the first one in the log. The
    snapshot's data is stored apart, in `chunks` numbered records.
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
        """The record of a snapshot whose data is stored in so many chunks."""
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
        """The snapshot that was stored, with its data."""
        membership = Membership(frozenset(self.voters), frozenset(self.learners), frozenset(self.retired))
        return Snapshot(self.index, self.term, membership, data)


def seal(key: bytes, data: bytes) -> bytes:
    """A record: the checksum of its key and data, then the data."""
    return CHECKSUM.pack(xxhash.xxh64_intdigest(key + data)) + data


def unseal(key: bytes, record: bytes) -> bytes | None:
    """The data of a record, or None where it does not match its checksum."""
    if len(record) < CHECKSUM.size:
        return None
    data = record[CHECKSUM.size :]
    (checksum,) = CHECKSUM.unpack_from(record)
    return data if checksum == xxhash.xxh64_intdigest(key + data) else None


def encode_entry(entry: Entry) -> bytes:
    """The data of an entry's record; its index is the key."""
    return ENTRY_HEADER.pack(entry.term, entry.kind.value) + entry.data


def decode_entry(index: int, data: bytes) -> Entry | None:
    """The entry in a record's data, or None where the data is too short for one."""
    if len(data) < ENTRY_HEADER.size:
        return None
    term, kind = ENTRY_HEADER.unpack_from(data)
    return Entry(term, index, EntryKind(kind), data[ENTRY_HEADER.size :])
