"""Operations on the directory of a stopped node: inspect it, or start a new cluster from it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import lmdb
import msgspec

from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine
from juniperreel.raft.errors import StorageError
from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.records import CHECKSUM, OWNER_KEY, DirectoryOwner
from juniperreel.raft.storage import DATA_FILE, MAIN_DATABASE, MAP_BYTES, MAX_DATABASES, Storage
from juniperreel.raft.types import EntryKind, HardState, Membership, RecoveredState, Snapshot


@dataclass(frozen=True, slots=True)
class DirectoryContents:
    """The owner and contents of a directory."""

    cluster: str
    node: str
    recovered: RecoveredState


@dataclass(frozen=True, slots=True)
class RescueResult:
    """Initial state of a cluster created by `rescue`.

    Attributes:
        version: The version of the configuration.
        uncommitted_entries: Number of applied entries that the old node did not know to be committed.
    """

    version: int
    uncommitted_entries: int


def inspect_directory(path: Path) -> DirectoryContents:
    """Read the owner and contents of a directory. Writes nothing. Raises StorageError."""
    if not (path / DATA_FILE).exists():
        raise StorageError(path, "holds no node's data")
    owner = _read_owner(path)
    storage = Storage.open(path, owner.cluster, owner.node)
    try:
        return DirectoryContents(owner.cluster, owner.node, storage.recover())
    finally:
        storage.close()


def _read_owner(path: Path) -> DirectoryOwner:
    try:
        with lmdb.open(str(path), readonly=True, max_dbs=MAX_DATABASES, lock=False) as environment:
            main = environment.open_db(MAIN_DATABASE, create=False)
            with environment.begin() as transaction:
                record = bytes(transaction.get(OWNER_KEY, db=main) or b"")
        return msgspec.msgpack.decode(record[CHECKSUM.size :], type=DirectoryOwner)
    except (lmdb.Error, msgspec.DecodeError) as error:
        raise StorageError(path, f"cannot be read: {error}") from error


def rescue(source: Path, target: Path, cluster: str, node: str, map_bytes: int = MAP_BYTES) -> RescueResult:
    """Create a single-node cluster from the directory of a stopped node whose cluster lost its quorum.

    Entries that the old node did not know to be committed are kept: they may have been confirmed by the lost
    quorum. Raises StorageError, also if `cluster` is the old cluster's name: the old nodes must never take
    part in the new cluster.
    """
    contents = inspect_directory(source)
    if cluster == contents.cluster:
        raise StorageError(source, f"the new cluster needs another name than {contents.cluster}")
    recovered = contents.recovered
    state_machine = ConfigurationStateMachine()
    state_machine.restore(recovered.snapshot.data)
    last_index = recovered.snapshot.index
    last_term = recovered.snapshot.term
    uncommitted_entries = 0
    for entry in recovered.entries:
        if entry.index <= recovered.snapshot.index:
            continue
        if entry.kind is EntryKind.COMMAND:
            state_machine.apply(entry.data)
        if entry.index > recovered.hard_state.commit:
            uncommitted_entries += 1
        last_index = entry.index
        last_term = entry.term
    membership = Membership(frozenset({node}))
    batch = PersistBatch(
        hard_state=HardState(max(last_term, recovered.hard_state.term), None, last_index),
        snapshot=Snapshot(last_index, last_term, membership, state_machine.snapshot()),
        replaces_log=True,
        first_retained_index=last_index + 1,
    )
    storage = Storage.create(target, cluster, node, membership, map_bytes)
    storage.write(batch)
    storage.close()
    return RescueResult(state_machine.current.version, uncommitted_entries)
