"""Storage compatibility: a directory written by commit 5d30e02 can be opened, replayed and extended.

`data/commit-5d30e02.mdb.xz` is the data file that `write_history` produced at that commit; the same history
must still produce the same records.
"""

from __future__ import annotations

import hashlib
import lzma
import random
from pathlib import Path

import lmdb
import pytest

from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration.commands import (
    Command,
    ConfigurationChange,
    RemoveGroup,
    RemoveMember,
    SetClass,
    SetGroup,
    SetLimit,
    SetMember,
    SetState,
    SetTenant,
    encode_command,
)
from juniperreel.raft.configuration.model import ClassInfo, ClientSession, GroupInfo, MemberInfo, TenantInfo
from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine
from juniperreel.raft.core import RaftCore
from juniperreel.raft.offline import inspect_directory
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import EntryKind, HardState, Membership, MembershipChange

FIXTURE = Path(__file__).parent / "data" / "commit-5d30e02.mdb.xz"
CLUSTER = "test"
NODE = "c0@127.0.0.1:7301"
REMOVED = "c1@127.0.0.1:7302"
LEARNER = "c2@127.0.0.1:7303"
MAP_BYTES = 1 << 20

MEMBER_A = MemberInfo(0, "10.0.0.1", 3306, 1, 2, 1.5, "up", 1_000_000)
MEMBER_B = MemberInfo(0, "10.0.0.2", 3306)
MEMBER_C = MemberInfo(1, "10.0.0.3", 3307)
READ = ClassInfo("repeatable", "all", 0, "bounded", 300_000, 500_000, 2_000_000, 3.0, 0.2)
WRITE = ClassInfo("keyed", "group", 5_000_000, "write", 0, 500_000, 2_000_000, 4.0, 0.7)

REJECTION = "group 0: its primary a is gone (rule 3)"
SNAPSHOT_SHA256 = "ed815564c5758f0bf71a07ee54fc63b254f98db7de268c3a6b6970aaed4b97ea"
REPLAYED_SHA256 = "3a9d6abcebf4322186cc97722c4ea4cb8ee2516950a6972440352f95eba43844"


class SingleNode:
    """A single-node cluster whose core, storage and state machine are driven by the test."""

    def __init__(self, storage: Storage) -> None:
        self.storage = storage
        restored = storage.recover()
        self.core = RaftCore(NODE, restored, RaftConfig(trailing_entries=3), random.Random(1))
        self.state_machine = ConfigurationStateMachine()
        self.state_machine.restore(restored.snapshot.data)

    def elect(self) -> None:
        while not self.core.is_leader:
            self.core.tick()
            self.process_ready()
        self.process_ready()

    def process_ready(self) -> None:
        while self.core.has_ready():
            ready = self.core.take_ready()
            self.storage.write(ready.persist)
            self.core.mark_persisted(ready)
            for entry in ready.committed_entries:
                if entry.kind is EntryKind.COMMAND:
                    self.state_machine.apply(entry.data)

    def propose(
        self, client: str, sequence: int, *changes: ConfigurationChange, expect: int | None = None
    ) -> None:
        self.core.propose(encode_command(Command(client, sequence, list(changes), expect)))
        self.process_ready()

    def change(self, change: MembershipChange, name: str) -> None:
        self.core.change_membership(change, name)
        self.process_ready()

    def compact(self) -> None:
        self.core.compact(self.core.applied_index, self.state_machine.snapshot())
        self.process_ready()


def write_history(folder: Path) -> None:
    """Write every kind of command and entry, a rejected command, and a snapshot with entries around it."""
    storage = Storage.create(folder, CLUSTER, NODE, Membership(frozenset({NODE})), MAP_BYTES)
    node = SingleNode(storage)
    node.elect()
    node.propose(
        "seed",
        1,
        SetGroup(0, GroupInfo(1, "a")),
        SetGroup(1, GroupInfo(1, "c")),
        SetGroup(2, GroupInfo(0, None)),
        SetMember("a", MEMBER_A),
        SetMember("b", MEMBER_B),
        SetMember("c", MEMBER_C),
    )
    node.propose("seed", 2, SetClass("read", READ), SetClass("write", WRITE), SetClass("old", READ))
    node.propose(
        "seed",
        3,
        SetTenant("t", TenantInfo(0.25, 100.0)),
        SetTenant("u", TenantInfo(0.5)),
        SetLimit("attempts", 3),
        SetLimit("edges", 4),
    )
    node.propose("rejected", 1, SetState("a", "gone"))
    node.change(MembershipChange.ADD_LEARNER, REMOVED)
    node.propose("operator", 2, SetGroup(0, GroupInfo(2, "b")), SetState("a", "draining"))
    node.compact()
    node.propose("operator", 3, SetState("a", "gone"))
    node.propose(
        "operator",
        4,
        RemoveMember("a"),
        RemoveGroup(2),
        SetClass("old", None),
        SetTenant("u", None),
        SetLimit("edges", None),
        expect=5,
    )
    node.change(MembershipChange.REMOVE, REMOVED)
    node.change(MembershipChange.ADD_LEARNER, LEARNER)
    node.propose("operator", 5, SetState("b", "draining", 5_000_000), SetLimit("drain-grace-us", 250_000))
    storage.close()


def records(folder: Path) -> dict[bytes, list[tuple[bytes, bytes]]]:
    """All records of a directory, by database."""
    environment = lmdb.open(str(folder), readonly=True, max_dbs=4, lock=False)
    found = {}
    for name in (b"main", b"log", b"snapshot"):
        database = environment.open_db(name, create=False)
        with environment.begin() as transaction:
            found[name] = [(bytes(key), bytes(value)) for key, value in transaction.cursor(db=database)]
    environment.close()
    return found


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A copy of the directory written by commit 5d30e02."""
    copy = tmp_path / "copy"
    copy.mkdir()
    (copy / "data.mdb").write_bytes(lzma.decompress(FIXTURE.read_bytes()))
    return copy


def test_restore_of_an_old_directory_gives_hard_state_log_and_snapshot(folder: Path) -> None:
    contents = inspect_directory(folder)
    restored = contents.recovered

    assert (contents.cluster, contents.node) == (CLUSTER, NODE)
    assert restored.hard_state == HardState(1, NODE, 12)
    assert (restored.compacted_index, restored.compacted_term) == (4, 1)
    assert [(entry.term, entry.index, entry.kind) for entry in restored.entries] == [
        (1, 5, EntryKind.COMMAND),
        (1, 6, EntryKind.CONFIG),
        (1, 7, EntryKind.COMMAND),
        (1, 8, EntryKind.COMMAND),
        (1, 9, EntryKind.COMMAND),
        (1, 10, EntryKind.CONFIG),
        (1, 11, EntryKind.CONFIG),
        (1, 12, EntryKind.COMMAND),
    ]
    snapshot = restored.snapshot
    assert (snapshot.index, snapshot.term) == (7, 1)
    assert snapshot.membership == Membership(frozenset({NODE}), frozenset({REMOVED}), frozenset())
    assert hashlib.sha256(snapshot.data).hexdigest() == SNAPSHOT_SHA256


def test_snapshot_of_an_old_directory_decodes_and_encodes_to_the_same_bytes(folder: Path) -> None:
    restored = inspect_directory(folder).recovered
    machine = ConfigurationStateMachine()

    machine.restore(restored.snapshot.data)

    assert machine.snapshot() == restored.snapshot.data
    current = machine.current
    assert current.version == 4
    assert dict(current.members) == {
        "a": MemberInfo(0, "10.0.0.1", 3306, 1, 2, 1.5, "draining", 1_000_000),
        "b": MEMBER_B,
        "c": MEMBER_C,
    }
    assert dict(current.groups) == {0: GroupInfo(2, "b"), 1: GroupInfo(1, "c"), 2: GroupInfo(0, None)}
    assert dict(current.classes) == {"read": READ, "write": WRITE, "old": READ}
    assert dict(current.tenants) == {"t": TenantInfo(0.25, 100.0), "u": TenantInfo(0.5, 0.0)}
    assert dict(current.limits) == {"attempts": 3, "edges": 4}
    assert dict(current.clients) == {
        "seed": ClientSession(3, 3, ""),
        "rejected": ClientSession(1, 3, REJECTION),
        "operator": ClientSession(2, 4, ""),
    }


def test_an_old_directory_replays_to_the_configuration_it_held(folder: Path) -> None:
    node = SingleNode(Storage.open(folder, CLUSTER, NODE, MAP_BYTES))

    node.elect()

    current = node.state_machine.current
    assert current.version == 7
    assert dict(current.members) == {
        "b": MemberInfo(0, "10.0.0.2", 3306, 0, 0, 1.0, "draining", 5_000_000),
        "c": MEMBER_C,
    }
    assert dict(current.groups) == {0: GroupInfo(2, "b"), 1: GroupInfo(1, "c")}
    assert dict(current.classes) == {"read": READ, "write": WRITE}
    assert dict(current.tenants) == {"t": TenantInfo(0.25, 100.0)}
    assert dict(current.limits) == {"attempts": 3, "drain-grace-us": 250_000}
    assert dict(current.clients) == {
        "seed": ClientSession(3, 3, ""),
        "rejected": ClientSession(1, 3, REJECTION),
        "operator": ClientSession(5, 7, ""),
    }
    assert hashlib.sha256(node.state_machine.snapshot()).hexdigest() == REPLAYED_SHA256
    assert node.core.membership == Membership(frozenset({NODE}), frozenset({LEARNER}), frozenset({REMOVED}))
    node.storage.close()


def test_an_old_directory_takes_new_entries_and_opens_again(folder: Path) -> None:
    node = SingleNode(Storage.open(folder, CLUSTER, NODE, MAP_BYTES))
    node.elect()
    node.propose("operator", 6, SetLimit("attempts", 9))
    node.compact()
    node.propose("operator", 7, SetLimit("attempts", 10))
    node.storage.close()

    reopened = SingleNode(Storage.open(folder, CLUSTER, NODE, MAP_BYTES))
    assert reopened.storage.recover().hard_state == HardState(2, NODE, 15)
    assert reopened.state_machine.current.limits["attempts"] == 9
    reopened.elect()

    assert (reopened.core.term, reopened.core.commit_index) == (3, 16)
    assert reopened.state_machine.current.version == 9
    assert reopened.state_machine.current.limits["attempts"] == 10
    assert reopened.state_machine.current.clients["operator"] == ClientSession(7, 9, "")
    reopened.storage.close()


def test_the_same_history_leaves_the_same_records_as_commit_5d30e02(folder: Path, tmp_path: Path) -> None:
    write_history(tmp_path / "new")

    assert records(tmp_path / "new") == records(folder)
