"""Hard state, log and snapshots on disk, in lmdb: each write is one durable transaction, or none.

Every record carries a checksum of its key and bytes. A record that does not match was changed behind the
program's back; since it may have been acknowledged to others, it is never dropped silently: the directory is
refused with what to do. A torn write cannot show, as lmdb's transactions are atomic.

A directory belongs to one node of one cluster. An empty one has forgotten what it voted: it is created only
where the caller says so, and never taken for the old one (dissertation, 11.7.3).
"""

from __future__ import annotations

import os
import struct
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import xxhash

from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine
from juniperreel.raft.core import RecoveredState
from juniperreel.raft.types import Entry, EntryKind, HardState, Membership, PersistBatch, Snapshot

FORMAT = 1
MAP_BYTES = 1 << 30
CHUNK = 1 << 20
INDEX = struct.Struct(">Q")
RECORD = struct.Struct(">QQB")  # checksum, term, kind
SUM = struct.Struct(">Q")
META, STATE, PLACE = b"meta", b"state", b"place"


class StorageError(Exception):
    """The directory cannot be used; the text says why and what to do."""


class DiskFullError(Exception):
    """The write did not happen; what was there before is whole."""


class DirectoryOwner(msgspec.Struct, frozen=True):
    format: int
    cluster: str
    node: str


class StoredHardState(msgspec.Struct, frozen=True):
    term: int
    vote: str | None
    commit: int


class SnapshotMetadata(msgspec.Struct, frozen=True):
    """Where the snapshot and the log stand."""

    index: int
    term: int
    voters: list[str]
    learners: list[str]
    retired: list[str]
    chunks: int
    base: int
    base_term: int


class Storage:
    """One node's directory."""

    def __init__(self, env: lmdb.Environment, path: Path, meta: DirectoryOwner) -> None:
        self._env, self.path, self.meta = env, path, meta
        self._log = env.open_db(b"log", create=True)
        self._chunks = env.open_db(b"snapshot", create=True)
        self._main = env.open_db(b"main", create=True)

    @staticmethod
    def create(
        path: Path, cluster: str, node: str, members: Membership, map_bytes: int = MAP_BYTES
    ) -> Storage:
        """A new directory. `members` is the first membership of a new cluster, or empty for a node that
        will be added to one. Raises StorageError where there is one already."""
        if (path / "data.mdb").exists():
            raise StorageError(f"{path} holds a node already; it is not created again")
        path.mkdir(parents=True, exist_ok=True)
        storage = Storage(open_env(path, map_bytes), path, DirectoryOwner(FORMAT, cluster, node))
        snapshot = Snapshot(0, 0, members, b"")
        with storage._env.begin(write=True) as txn:
            storage._put(txn, META, msgspec.msgpack.encode(storage.meta))
            storage._put(txn, STATE, msgspec.msgpack.encode(StoredHardState(0, None, 0)))
            storage._put_snapshot(txn, snapshot, 0, 0)
        return storage

    @staticmethod
    def open(path: Path, cluster: str, node: str, map_bytes: int = MAP_BYTES) -> Storage:
        """Raises StorageError for a directory that is empty, another's, or damaged."""
        data = path / "data.mdb"
        if not data.exists():
            raise StorageError(
                f"{path} is empty: this node has forgotten what it voted. If the cluster is new, create it; "
                f"otherwise remove {node} from the cluster and add a node under a new name"
            )
        if data.stat().st_size < 2 * 4096:
            raise StorageError(f"{data} is cut short; {again(node)}")
        try:
            env = open_env(path, map_bytes)
            needed = (env.info()["last_pgno"] + 1) * env.stat()["psize"]
        except (lmdb.LockError, lmdb.ReadersFullError, lmdb.MemoryError) as error:
            raise StorageError(f"{data} cannot be opened now: {error}") from None
        except lmdb.Error as error:
            if "already open" in str(error):
                raise StorageError(f"{data} is in use") from None
            raise StorageError(f"{data} cannot be read ({error}); {again(node)}") from None
        if data.stat().st_size < needed:
            # Danger: reading past the end of a mapped file kills the process without a word.
            env.close()
            raise StorageError(f"{data} is cut short; {again(node)}")
        storage = Storage(env, path, DirectoryOwner(FORMAT, cluster, node))
        try:
            storage._check_owner()
        except StorageError:
            env.close()
            raise
        return storage

    def _check_owner(self) -> None:
        with self._env.begin() as txn:
            try:
                meta = msgspec.msgpack.decode(self._get(txn, META), type=DirectoryOwner)
            except msgspec.DecodeError as error:
                raise StorageError(f"{self.path}: {error}; {again(self.meta.node)}") from None
        if meta.format != FORMAT:
            raise StorageError(f"{self.path} has format {meta.format}; this program reads {FORMAT}")
        if meta != self.meta:
            raise StorageError(
                f"{self.path} belongs to node {meta.node} of cluster {meta.cluster}, "
                f"not to {self.meta.node} of {self.meta.cluster}"
            )

    def close(self) -> None:
        self._env.close()

    # Records.

    def _put(self, txn: Any, key: bytes, data: bytes) -> None:
        txn.put(key, SUM.pack(xxhash.xxh64_intdigest(key + data)) + data, db=self._main)

    def _get(self, txn: Any, key: bytes) -> bytes:
        record = txn.get(key, db=self._main)
        if record is None or len(record) < SUM.size:
            raise StorageError(f"{self.path}: record {key.decode()} is missing; {again(self.meta.node)}")
        data = bytes(record[SUM.size :])
        if SUM.unpack_from(record)[0] != xxhash.xxh64_intdigest(key + data):
            raise StorageError(f"{self.path}: record {key.decode()} was changed; {again(self.meta.node)}")
        return data

    def _put_entry(self, txn: Any, entry: Entry) -> None:
        key = INDEX.pack(entry.index)
        body = RECORD.pack(0, entry.term, entry.kind.value)[SUM.size :] + entry.data
        txn.put(key, SUM.pack(xxhash.xxh64_intdigest(key + body)) + body, db=self._log)

    def _entry(self, key: bytes, record: bytes) -> Entry:
        (index,) = INDEX.unpack(key)
        if len(record) < RECORD.size or SUM.unpack_from(record)[0] != xxhash.xxh64_intdigest(
            key + record[8:]
        ):
            raise StorageError(f"{self.path}: entry {index} was changed; {again(self.meta.node)}")
        _, term, kind = RECORD.unpack_from(record)
        return Entry(term, index, EntryKind(kind), record[RECORD.size :])

    # Writing.

    def write(self, persist: PersistBatch) -> None:
        """All of it, durably, or nothing. Raises DiskFullError."""
        try:
            with self._env.begin(write=True) as txn:
                if persist.hard_state is not None:
                    h = persist.hard_state
                    self._put(txn, STATE, msgspec.msgpack.encode(StoredHardState(h.term, h.vote, h.commit)))
                if persist.snapshot is not None:
                    self._take_snapshot(txn, persist)
                if persist.entries:
                    self._delete(txn, persist.entries[0].index, None)
                    for entry in persist.entries:
                        self._put_entry(txn, entry)
        except (lmdb.MapFullError, lmdb.DiskError, OSError) as error:
            raise DiskFullError(f"{self.path}: {error}") from error

    def _take_snapshot(self, txn: Any, persist: PersistBatch) -> None:
        snapshot = persist.snapshot
        assert snapshot is not None
        base, base_term = snapshot.index, snapshot.term
        if persist.reset:
            self._delete(txn, 0, None)
        elif 0 < persist.keep_from <= snapshot.index:
            old = msgspec.msgpack.decode(self._get(txn, PLACE), type=SnapshotMetadata)
            before = txn.get(INDEX.pack(persist.keep_from - 1), db=self._log)
            base = persist.keep_from - 1
            if before is not None:
                base_term = self._entry(INDEX.pack(base), bytes(before)).term
            elif old.base == base:
                base_term = old.base_term
            else:
                base, base_term = snapshot.index, snapshot.term
        self._delete(txn, 0, base)
        self._put_snapshot(txn, snapshot, base, base_term)

    def _delete(self, txn: Any, start: int, end: int | None) -> None:
        """Entries from `start` to `end` included."""
        cursor = txn.cursor(db=self._log)
        found = cursor.set_range(INDEX.pack(start))
        while found and (end is None or INDEX.unpack(cursor.key())[0] <= end):
            found = cursor.delete()

    def _put_snapshot(self, txn: Any, s: Snapshot, base: int, base_term: int) -> None:
        txn.drop(self._chunks, delete=False)
        chunks = [s.data[at : at + CHUNK] for at in range(0, len(s.data), CHUNK)]
        for number, chunk in enumerate(chunks):
            key = INDEX.pack(number)
            txn.put(key, SUM.pack(xxhash.xxh64_intdigest(key + chunk)) + chunk, db=self._chunks)
        m = s.members
        place = SnapshotMetadata(
            s.index,
            s.term,
            sorted(m.voters),
            sorted(m.learners),
            sorted(m.retired),
            len(chunks),
            base,
            base_term,
        )
        self._put(txn, PLACE, msgspec.msgpack.encode(place))

    # Reading.

    def restore(self) -> RecoveredState:
        """All there is, checked. Raises StorageError."""
        with self._env.begin() as txn:
            try:
                state = msgspec.msgpack.decode(self._get(txn, STATE), type=StoredHardState)
                place = msgspec.msgpack.decode(self._get(txn, PLACE), type=SnapshotMetadata)
            except msgspec.DecodeError as error:
                raise StorageError(f"{self.path}: {error}; {again(self.meta.node)}") from None
            data = b"".join(self._chunk(txn, number) for number in range(place.chunks))
            entries = [self._entry(bytes(k), bytes(v)) for k, v in txn.cursor(db=self._log)]
        for number, entry in enumerate(entries, place.base + 1):
            if entry.index != number:
                raise StorageError(f"{self.path}: entry {number} is missing; {again(self.meta.node)}")
        members = Membership(frozenset(place.voters), frozenset(place.learners), frozenset(place.retired))
        snapshot = Snapshot(place.index, place.term, members, data)
        hard = HardState(state.term, state.vote, state.commit)
        return RecoveredState(hard, snapshot, entries, place.base, place.base_term)

    def _chunk(self, txn: Any, number: int) -> bytes:
        key = INDEX.pack(number)
        record = txn.get(key, db=self._chunks)
        if record is None or SUM.unpack_from(record)[0] != xxhash.xxh64_intdigest(key + record[SUM.size :]):
            raise StorageError(f"{self.path}: the snapshot was changed; {again(self.meta.node)}")
        return bytes(record[SUM.size :])


def look(path: Path) -> tuple[str, str, RecoveredState]:
    """Whose directory it is, and what it holds; writes nothing. Raises StorageError."""
    if not (path / "data.mdb").exists():
        raise StorageError(f"{path} holds no node")
    try:
        env = lmdb.open(str(path), readonly=True, max_dbs=4, lock=False)
        main = env.open_db(b"main", create=False)
        with env.begin() as txn:
            meta = msgspec.msgpack.decode(
                bytes(txn.get(META, db=main) or b"")[SUM.size :], type=DirectoryOwner
            )
        env.close()
    except (lmdb.Error, msgspec.DecodeError) as error:
        raise StorageError(f"{path} cannot be read: {error}") from None
    storage = Storage.open(path, meta.cluster, meta.node)
    try:
        return meta.cluster, meta.node, storage.restore()
    finally:
        storage.close()


def rescue(source: Path, into: Path, cluster: str, node: str, map_bytes: int = MAP_BYTES) -> tuple[int, int]:
    """A new cluster of one node from what a stopped node of a lost one holds: (version, entries beyond what
    it knew to be committed). Those are kept: they may have been confirmed, and the quorum that knew is gone.

    Raises StorageError, also for the old cluster's name: its other nodes must never take part in the new one.
    """
    old, _, restored = look(source)
    if cluster == old:
        raise StorageError(f"the new cluster needs another name than {old}")
    machine = ConfigurationStateMachine()
    machine.restore(restored.snapshot.data)
    last, term = restored.snapshot.index, restored.snapshot.term
    beyond = 0
    for entry in restored.entries:
        if entry.index <= restored.snapshot.index:
            continue
        if entry.kind is EntryKind.COMMAND:
            machine.apply(entry.data)
        beyond += entry.index > restored.hard_state.commit
        last, term = entry.index, entry.term
    storage = Storage.create(into, cluster, node, Membership(frozenset({node})), map_bytes)
    snapshot = Snapshot(last, term, Membership(frozenset({node})), machine.snapshot())
    state = HardState(max(term, restored.hard_state.term), None, last)
    storage.write(PersistBatch(state, snapshot=snapshot, reset=True, keep_from=last + 1))
    storage.close()
    return machine.current.version, beyond


def again(node: str) -> str:
    return f"remove {node} from the cluster and add a node under a new name with an empty directory"


def open_env(path: Path, map_bytes: int) -> lmdb.Environment:
    size = map_bytes
    if (path / "data.mdb").exists():
        size = max(size, os.path.getsize(path / "data.mdb"))
    return lmdb.open(str(path), map_size=size, max_dbs=4, metasync=True, sync=True)
