"""Persistent storage of hard state, log and snapshots in lmdb. Each write is one durable transaction.

A record that fails its checksum was corrupted or modified outside the program. It may have been acknowledged
to other nodes, so it is never dropped silently: the directory is rejected, and the error names the remedy.
Torn writes cannot occur, as lmdb's transactions are atomic.

A directory belongs to one node of one cluster. An empty directory has lost the node's vote, so it is only
initialized by an explicit `create`, never when an existing node is opened (dissertation, 11.7.3).
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

import lmdb
import msgspec

from juniperreel.raft.errors import DamagedDirectoryError, DiskFullError, StorageError
from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.records import (
    CHECKSUM,
    FORMAT,
    HARD_STATE_KEY,
    INDEX,
    OWNER_KEY,
    SNAPSHOT_METADATA_KEY,
    DirectoryOwner,
    SnapshotMetadata,
    StoredHardState,
    decode_entry,
    decode_record,
    encode_entry,
    encode_record,
)
from juniperreel.raft.types import Entry, HardState, Membership, RecoveredState, Snapshot

DATA_FILE = "data.mdb"
MAP_BYTES = 1 << 30
CHUNK_BYTES = 1 << 20
MAX_DATABASES = 4
MAIN_DATABASE = b"main"
LOG_DATABASE = b"log"
SNAPSHOT_DATABASE = b"snapshot"
MIN_FILE_BYTES = 2 * 4096  # lmdb's two meta pages

Record = TypeVar("Record", DirectoryOwner, StoredHardState, SnapshotMetadata)


class Storage:
    """One node's directory.

    Attributes:
        path: The directory.
        owner: The cluster and node that the directory belongs to.
    """

    def __init__(self, environment: lmdb.Environment, path: Path, owner: DirectoryOwner) -> None:
        """Use `create` or `open` instead, which validate the directory."""
        self.path = path
        self.owner = owner
        self._environment = environment
        self._log = environment.open_db(LOG_DATABASE, create=True)
        self._chunks = environment.open_db(SNAPSHOT_DATABASE, create=True)
        self._main = environment.open_db(MAIN_DATABASE, create=True)

    @staticmethod
    def create(
        path: Path, cluster: str, node: str, membership: Membership, map_bytes: int = MAP_BYTES
    ) -> Storage:
        """Create a new directory.

        `membership` is the initial membership of a new cluster, or empty for a node that will join one.
        `map_bytes` limits the size of the data file. Raises StorageError if that file already exists.
        """
        if (path / DATA_FILE).exists():
            raise StorageError(path, "already holds a node's data and is not overwritten")
        path.mkdir(parents=True, exist_ok=True)
        owner = DirectoryOwner(FORMAT, cluster, node)
        storage = Storage(open_environment(path, map_bytes), path, owner)
        with storage._environment.begin(write=True) as transaction:
            storage._put(transaction, OWNER_KEY, msgspec.msgpack.encode(owner))
            storage._put_hard_state(transaction, HardState())
            storage._put_snapshot(transaction, Snapshot(0, 0, membership, b""), 0, 0)
        return storage

    @staticmethod
    def open(path: Path, cluster: str, node: str, map_bytes: int = MAP_BYTES) -> Storage:
        """Open a directory. Raises StorageError if it is empty, damaged, or belongs to another node."""
        data_file = path / DATA_FILE
        if not data_file.exists():
            raise StorageError(
                path,
                "is empty: this node has forgotten what it voted. If the cluster is new, create it; "
                f"otherwise remove {node} from the cluster and add a node under a new name",
            )
        environment = _open_existing(path, node, map_bytes)
        storage = Storage(environment, path, DirectoryOwner(FORMAT, cluster, node))
        try:
            storage._check_owner()
        except StorageError:
            environment.close()
            raise
        return storage

    def _check_owner(self) -> None:
        with self._environment.begin() as transaction:
            owner = self._get(transaction, OWNER_KEY, DirectoryOwner)
        if owner.format != FORMAT:
            raise StorageError(self.path, f"has format {owner.format}; this program supports format {FORMAT}")
        if owner != self.owner:
            raise StorageError(
                self.path,
                f"belongs to node {owner.node} of cluster {owner.cluster}, "
                f"not to {self.owner.node} of {self.owner.cluster}",
            )

    def close(self) -> None:
        """Close the data file."""
        self._environment.close()

    # Records.

    def _put(self, transaction: Any, key: bytes, data: bytes) -> None:
        transaction.put(key, encode_record(key, data), db=self._main)

    def _get(self, transaction: Any, key: bytes, record_type: type[Record]) -> Record:
        record = transaction.get(key, db=self._main)
        if record is None or len(record) < CHECKSUM.size:
            raise DamagedDirectoryError(self.path, f"record {key.decode()} is missing", self.owner.node)
        data = decode_record(key, bytes(record))
        if data is None:
            raise DamagedDirectoryError(self.path, f"record {key.decode()} was changed", self.owner.node)
        try:
            return msgspec.msgpack.decode(data, type=record_type)
        except msgspec.DecodeError as error:
            raise DamagedDirectoryError(self.path, str(error), self.owner.node) from error

    def _put_hard_state(self, transaction: Any, hard_state: HardState) -> None:
        self._put(transaction, HARD_STATE_KEY, msgspec.msgpack.encode(StoredHardState.of(hard_state)))

    def _put_entry(self, transaction: Any, entry: Entry) -> None:
        key = INDEX.pack(entry.index)
        transaction.put(key, encode_record(key, encode_entry(entry)), db=self._log)

    def _read_entry(self, key: bytes, record: bytes) -> Entry:
        (index,) = INDEX.unpack(key)
        data = decode_record(key, record)
        entry = decode_entry(index, data) if data is not None else None
        if entry is None:
            raise DamagedDirectoryError(self.path, f"entry {index} was changed", self.owner.node)
        return entry

    # Writing.

    def write(self, batch: PersistBatch) -> None:
        """Write a batch in one durable transaction. Raises DiskFullError and writes nothing if it fails."""
        try:
            with self._environment.begin(write=True) as transaction:
                if batch.hard_state is not None:
                    self._put_hard_state(transaction, batch.hard_state)
                if batch.snapshot is not None:
                    self._write_snapshot(transaction, batch, batch.snapshot)
                if batch.entries:
                    self._delete_entries(transaction, batch.entries[0].index, None)
                    for entry in batch.entries:
                        self._put_entry(transaction, entry)
        except (lmdb.MapFullError, lmdb.DiskError, OSError) as error:
            transient = not isinstance(error, lmdb.MapFullError)
            raise DiskFullError(self.path, str(error), transient) from error

    def _write_snapshot(self, transaction: Any, batch: PersistBatch, snapshot: Snapshot) -> None:
        compacted_index = snapshot.index
        compacted_term = snapshot.term
        if batch.replaces_log:
            self._delete_entries(transaction, 0, None)
        elif 0 < batch.first_retained_index <= snapshot.index:
            retained_term = self._term_at(transaction, batch.first_retained_index - 1)
            if retained_term is not None:
                compacted_index = batch.first_retained_index - 1
                compacted_term = retained_term
        self._delete_entries(transaction, 0, compacted_index)
        self._put_snapshot(transaction, snapshot, compacted_index, compacted_term)

    def _term_at(self, transaction: Any, index: int) -> int | None:
        """The term of a stored entry or of the last compacted one, or None if it is neither."""
        metadata = self._get(transaction, SNAPSHOT_METADATA_KEY, SnapshotMetadata)
        key = INDEX.pack(index)
        record = transaction.get(key, db=self._log)
        if record is not None:
            return self._read_entry(key, bytes(record)).term
        return metadata.compacted_term if metadata.compacted_index == index else None

    def _delete_entries(self, transaction: Any, start: int, end: int | None) -> None:
        """Delete the entries from `start` to `end`, inclusive, or all from `start` on if `end` is None."""
        cursor = transaction.cursor(db=self._log)
        found = cursor.set_range(INDEX.pack(start))
        while found and (end is None or INDEX.unpack(cursor.key())[0] <= end):
            found = cursor.delete()

    def _put_snapshot(
        self, transaction: Any, snapshot: Snapshot, compacted_index: int, compacted_term: int
    ) -> None:
        transaction.drop(self._chunks, delete=False)
        data = snapshot.data
        chunks = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)]
        for number, chunk in enumerate(chunks):
            key = INDEX.pack(number)
            transaction.put(key, encode_record(key, chunk), db=self._chunks)
        metadata = SnapshotMetadata.of(snapshot, len(chunks), compacted_index, compacted_term)
        self._put(transaction, SNAPSHOT_METADATA_KEY, msgspec.msgpack.encode(metadata))

    # Reading.

    def recover(self) -> RecoveredState:
        """Read and verify the contents of the directory. Raises StorageError."""
        with self._environment.begin() as transaction:
            hard_state = self._get(transaction, HARD_STATE_KEY, StoredHardState)
            metadata = self._get(transaction, SNAPSHOT_METADATA_KEY, SnapshotMetadata)
            data = b"".join(self._read_chunk(transaction, number) for number in range(metadata.chunks))
            cursor = transaction.cursor(db=self._log)
            entries = [self._read_entry(bytes(key), bytes(record)) for key, record in cursor]
        for index, entry in enumerate(entries, metadata.compacted_index + 1):
            if entry.index != index:
                raise DamagedDirectoryError(self.path, f"entry {index} is missing", self.owner.node)
        return RecoveredState(
            hard_state.to_hard_state(),
            metadata.to_snapshot(data),
            entries,
            metadata.compacted_index,
            metadata.compacted_term,
        )

    def _read_chunk(self, transaction: Any, number: int) -> bytes:
        key = INDEX.pack(number)
        record = transaction.get(key, db=self._chunks)
        data = decode_record(key, bytes(record)) if record is not None else None
        if data is None:
            raise DamagedDirectoryError(self.path, "the snapshot was changed", self.owner.node)
        return data


def open_environment(path: Path, map_bytes: int) -> lmdb.Environment:
    """Open a directory's data file with a map at least as large as the file."""
    data_file = path / DATA_FILE
    size = map_bytes
    if data_file.exists():
        size = max(size, data_file.stat().st_size)
    return lmdb.open(str(path), map_size=size, max_dbs=MAX_DATABASES, metasync=True, sync=True)


def _open_existing(path: Path, node: str, map_bytes: int) -> lmdb.Environment:
    """Open an existing data file. Raises StorageError if it is damaged or in use."""
    data_file = path / DATA_FILE
    if data_file.stat().st_size < MIN_FILE_BYTES:
        raise DamagedDirectoryError(data_file, "is cut short", node)
    try:
        environment = open_environment(path, map_bytes)
        needed_bytes = (environment.info()["last_pgno"] + 1) * environment.stat()["psize"]
    except (lmdb.LockError, lmdb.ReadersFullError, lmdb.MemoryError) as error:
        raise StorageError(data_file, f"cannot be opened now: {error}") from error
    except lmdb.Error as error:
        if "already open" in str(error):
            raise StorageError(data_file, "is in use") from error
        raise DamagedDirectoryError(data_file, f"cannot be read ({error})", node) from error
    if data_file.stat().st_size < needed_bytes:
        # Reading past the end of a memory-mapped file would kill the process with SIGBUS, without a message.
        environment.close()
        raise DamagedDirectoryError(data_file, "is cut short", node)
    return environment
