"""On-disk storage: consistent after a crash at any point, and rejected if it was modified."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration.commands import Command, SetLimit, encode_command
from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine
from juniperreel.raft.core import RaftCore
from juniperreel.raft.errors import DiskFullError, StorageError
from juniperreel.raft.memory_storage import InMemoryStorage
from juniperreel.raft.offline import RescueResult, rescue
from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Entry, EntryKind, HardState, Membership, Snapshot

MEMBERS = Membership(frozenset("abc"))


def entries(start: int, end: int, term: int = 1, size: int = 10) -> list[Entry]:
    return [Entry(term, n, EntryKind.COMMAND, b"%d" % n * size) for n in range(start, end + 1)]


@pytest.fixture
def storage(tmp_path: Path) -> Storage:
    return Storage.create(tmp_path / "node", "c", "a", MEMBERS, 1 << 24)


def test_recover_after_writes_returns_what_was_written(storage: Storage) -> None:
    storage.write(PersistBatch(HardState(3, "b", 2), entries=entries(1, 5)))
    storage.write(PersistBatch(entries=entries(4, 6, term=2)))
    storage.close()
    restored = Storage.open(storage.path, "c", "a").recover()
    assert restored.hard_state == HardState(3, "b", 2)
    assert list(restored.entries) == entries(1, 3) + entries(4, 6, term=2)
    assert restored.snapshot == Snapshot(0, 0, MEMBERS, b"")


def test_storage_and_in_memory_storage_agree_after_every_restart(tmp_path: Path) -> None:
    """Writes every batch of a running core to both storages, with restarts in between."""
    for seed in range(5):
        disk = Storage.create(tmp_path / str(seed), "c", "a", Membership(frozenset("a")), 1 << 24)
        in_memory = InMemoryStorage(Membership(frozenset("a")))
        rng = random.Random(seed)
        core = RaftCore("a", in_memory.recover(), RaftConfig(trailing_entries=3), rng)
        for _ in range(300):
            core.tick()
            if core.is_leader and rng.random() < 0.5:
                core.propose(rng.randbytes(rng.randrange(50)))
            if rng.random() < 0.05 and core.applied_index > core.snapshot.index:
                core.compact(
                    core.applied_index, rng.randbytes(rng.randrange(3 << 20) if rng.random() < 0.1 else 20)
                )
            while core.has_ready():
                ready = core.take_ready()
                disk.write(ready.persist)
                in_memory.write(ready.persist)
                core.mark_persisted(ready)
            if rng.random() < 0.05:
                assert disk.recover() == in_memory.recover()
                core = RaftCore("a", disk.recover(), RaftConfig(trailing_entries=3), rng)
        assert disk.recover() == in_memory.recover()
        disk.close()


def test_snapshot_that_replaces_the_log_drops_older_entries(storage: Storage) -> None:
    storage.write(PersistBatch(entries=entries(1, 5)))
    snapshot = Snapshot(9, 2, MEMBERS, os.urandom(3 << 20))
    storage.write(
        PersistBatch(
            snapshot=snapshot, replaces_log=True, first_retained_index=10, entries=entries(10, 11, term=2)
        )
    )
    restored = storage.recover()
    assert restored.snapshot == snapshot
    assert list(restored.entries) == entries(10, 11, term=2)
    assert (restored.compacted_index, restored.compacted_term) == (9, 2)


WRITER_SCRIPT = """
import sys
from pathlib import Path
from juniperreel.raft.storage import (Storage)
from juniperreel.raft.types import (Entry, HardState, EntryKind)
from juniperreel.raft.ready import (PersistBatch)
storage = Storage.open(Path(sys.argv[1]), "c", "a")
n = len(storage.recover().entries)
while True:
    n += 1
    pair = [Entry(1, n, EntryKind.COMMAND, b"x" * 3000), Entry(1, n + 1, EntryKind.COMMAND, b"y" * 3000)]
    storage.write(PersistBatch(HardState(n, "a", 0), entries=pair))
    print(n, flush=True)
"""


def test_storage_killed_at_any_write_holds_every_confirmed_batch_completely(storage: Storage) -> None:
    storage.close()
    rng = random.Random(1)
    for _ in range(6):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER_SCRIPT, str(storage.path)], stdout=subprocess.PIPE
        )
        assert writer.stdout is not None
        confirmed = 0
        for _ in range(rng.randrange(1, 30)):
            confirmed = int(writer.stdout.readline())
        writer.send_signal(signal.SIGKILL)
        confirmed = max([confirmed, *map(int, writer.stdout.read().split())])
        writer.wait()
        reopened = Storage.open(storage.path, "c", "a")
        restored = reopened.recover()
        reopened.close()
        assert restored.hard_state.term >= confirmed
        # The second entry of the last batch is present too.
        assert len(restored.entries) == restored.hard_state.term + 1


def test_write_to_a_full_disk_raises_and_changes_nothing(storage: Storage) -> None:
    storage.write(PersistBatch(HardState(1, "a", 0), entries=entries(1, 3)))
    with pytest.raises(DiskFullError):
        storage.write(PersistBatch(HardState(9, "b", 0), entries=entries(2, 20, size=1 << 20)))
    restored = storage.recover()
    assert restored.hard_state.term == 1
    assert list(restored.entries) == entries(1, 3)
    storage.write(PersistBatch(entries=entries(4, 4)))


def test_open_of_a_foreign_or_empty_directory_is_refused(storage: Storage, tmp_path: Path) -> None:
    storage.close()
    for cluster, node in (("c", "b"), ("d", "a")):
        with pytest.raises(StorageError, match="belongs to node a of cluster c"):
            Storage.open(storage.path, cluster, node)
    with pytest.raises(StorageError, match="forgotten what it voted"):
        Storage.open(tmp_path / "nothing", "c", "a")
    with pytest.raises(StorageError, match="already"):
        Storage.create(storage.path, "c", "a", MEMBERS)


@pytest.mark.parametrize("keep", [0, 100, 8192, 20_000, 40_000])
def test_open_of_a_truncated_file_is_refused(storage: Storage, keep: int) -> None:
    storage.write(PersistBatch(HardState(1, "a", 0), entries=entries(1, 200, size=200)))
    storage.close()
    data = storage.path / "data.mdb"
    with data.open("r+b") as file:
        file.truncate(keep)
    with pytest.raises(StorageError, match="new name"):
        Storage.open(storage.path, "c", "a").recover()


def test_recover_with_flipped_bits_is_refused(storage: Storage) -> None:
    marker = b"MARKERMARKER"
    storage.write(
        PersistBatch(HardState(7, "votedforthis", 0), entries=[Entry(1, 1, EntryKind.COMMAND, marker * 30)])
    )
    storage.write(PersistBatch(snapshot=Snapshot(1, 1, MEMBERS, b"STATESTATE" * 300), first_retained_index=1))
    storage.close()
    data = storage.path / "data.mdb"
    original = data.read_bytes()
    refused = 0
    for needle in (marker, b"votedforthis", b"STATESTATE"):
        at = original.rindex(needle)
        for offset in range(0, len(needle), 3):
            changed = bytearray(original)
            for position in [i for i in range(len(original)) if original.startswith(needle, i)][:400]:
                changed[position + offset] ^= 4
            data.write_bytes(changed)
            with pytest.raises(StorageError, match="changed"):
                Storage.open(storage.path, "c", "a").recover()
            refused += 1
        assert at > 0
    assert refused == 12


def test_rescue_of_a_lost_quorum_starts_a_cluster_under_another_name(tmp_path: Path) -> None:
    old_storage = Storage.create(tmp_path / "lost", "old", "a", MEMBERS, 1 << 24)
    commands = [
        Entry(1, n, EntryKind.COMMAND, encode_command(Command("c", n, [SetLimit("attempts", n)])))
        for n in range(1, 6)
    ]
    old_storage.write(PersistBatch(HardState(3, "a", 4), entries=commands))
    old_storage.close()
    with pytest.raises(StorageError, match="another name"):
        rescue(tmp_path / "lost", tmp_path / "new", "old", "b@h:1")
    assert rescue(tmp_path / "lost", tmp_path / "new", "new", "b@h:1", 1 << 24) == RescueResult(5, 1)
    core = RaftCore(
        "b@h:1", Storage.open(tmp_path / "new", "new", "b@h:1").recover(), RaftConfig(), random.Random(1)
    )
    for _ in range(25):
        core.tick()
        while core.has_ready():
            core.mark_persisted(core.take_ready())
    assert core.is_leader
    assert core.term > 3
    assert core.membership.voters == {"b@h:1"}
    machine = ConfigurationStateMachine()
    machine.restore(core.snapshot.data)
    assert machine.current.limits["attempts"] == 5
