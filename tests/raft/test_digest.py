"""Digest of every byte that the core sends or stores over 500 seeded schedules.

Guards against unintended changes of the protocol, the message order, the stored records or the random draws.
An intended change updates the expected digest and says so in its commit.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import lmdb
import msgspec
import pytest

from juniperreel.emulator.raft import make_schedule, play
from juniperreel.emulator.raft_group import SimulatedGroup
from juniperreel.raft import wire
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.core import RaftCore
from juniperreel.raft.memory_storage import InMemoryStorage
from juniperreel.raft.messages import Message
from juniperreel.raft.ready import PersistBatch, Ready
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Membership, RecoveredState

SCHEDULES = 500
OPERATIONS = 400
DIGEST = "3d61010f9e08d6a7812a2609c1c4b66d9520774ddb2f9f22ddb13d0b2285b776"


class Recorder:
    """Hashes all messages and records, each part prefixed with its length."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.messages = 0
        self.batches = 0

    def add(self, *parts: bytes) -> None:
        for part in parts:
            self._hash.update(len(part).to_bytes(8, "big"))
            self._hash.update(part)

    def add_messages(self, messages: list[Message]) -> None:
        """Names in sets are sorted, as sets are unordered; everything else is hashed as sent."""
        for message in messages:
            encoded = wire.encode([message])
            ((kind, fields),) = msgspec.msgpack.decode(encoded)
            if "members" in fields:
                fields["members"] = {part: sorted(names) for part, names in fields["members"].items()}
                encoded = msgspec.msgpack.encode([(kind, fields)])
            self.add(b"message", encoded)
            self.messages += 1

    def hexdigest(self) -> str:
        return self._hash.hexdigest()


class FakeCursor:
    def __init__(self, records: dict[bytes, bytes], recorder: Recorder) -> None:
        self._records = records
        self._recorder = recorder
        self._keys: list[bytes] = []

    def set_range(self, start: bytes) -> bool:
        self._keys = sorted((key for key in self._records if key >= start), reverse=True)
        return bool(self._keys)

    def key(self) -> bytes:
        return self._keys[-1]

    def delete(self) -> bool:
        key = self._keys.pop()
        del self._records[key]
        self._recorder.add(b"delete", key)
        return bool(self._keys)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(sorted(self._records.items()))


class FakeEnvironment:
    """In-memory fake of the part of lmdb.Environment that Storage uses; also serves as its transaction."""

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder
        self._databases: dict[bytes, dict[bytes, bytes]] = {}

    def open_db(self, name: bytes, **_options: bool) -> bytes:
        self._databases.setdefault(name, {})
        return name

    def begin(self, **_options: bool) -> FakeEnvironment:
        return self

    def __enter__(self) -> FakeEnvironment:
        return self

    def __exit__(self, *exception: object) -> None:
        self._recorder.add(b"end of transaction")

    def put(self, key: bytes, value: bytes, db: bytes) -> None:
        self._databases[db][key] = value
        self._recorder.add(b"put", db, key, value)

    def get(self, key: bytes, db: bytes) -> bytes | None:
        return self._databases[db].get(key)

    def drop(self, db: bytes, **_options: bool) -> None:
        self._databases[db].clear()
        self._recorder.add(b"drop", db)

    def cursor(self, db: bytes) -> FakeCursor:
        return FakeCursor(self._databases[db], self._recorder)


def digest_of(
    seeds: range, folder: Path, monkeypatch: pytest.MonkeyPatch, core_class: type[RaftCore] = RaftCore
) -> Recorder:
    recorder = Recorder()
    monkeypatch.setattr(lmdb, "open", lambda *_arguments, **_options: FakeEnvironment(recorder))

    class RecordingStorage(InMemoryStorage):
        """Also writes each batch through `Storage`, to record the bytes of its records."""

        def __init__(self, membership: Membership) -> None:
            super().__init__(membership)
            self._storage = Storage.create(folder, "cluster", "node", membership)

        def write(self, batch: PersistBatch) -> None:
            recorder.batches += 1
            super().write(batch)
            self._storage.write(batch)

    def recording_core(
        name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random
    ) -> RaftCore:
        core = core_class(name, recovered, config, rng)
        mark_persisted = core.mark_persisted

        def record(ready: Ready) -> None:
            mark_persisted(ready)
            recorder.add_messages(ready.messages)

        core.mark_persisted = record  # type: ignore[method-assign]
        return core

    for seed in seeds:
        group = SimulatedGroup(seed, recording_core, RecordingStorage)
        play(group, make_schedule(seed, OPERATIONS))
        recorder.add(b"end of schedule")
    return recorder


def test_messages_and_records_over_500_schedules_are_as_recorded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    recorder = digest_of(range(SCHEDULES), tmp_path, monkeypatch)
    assert recorder.messages > 100_000
    assert recorder.batches > 30_000
    assert recorder.hexdigest() == DIGEST


def test_digest_of_a_core_that_sends_a_smaller_batch_differs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class SmallBatches(RaftCore):
        def __init__(
            self, name: str, recovered: RecoveredState, config: RaftConfig, rng: random.Random
        ) -> None:
            super().__init__(name, recovered, replace(config, max_entries_per_append=3), rng)

    same = digest_of(range(3), tmp_path, monkeypatch).hexdigest()
    assert digest_of(range(3), tmp_path, monkeypatch).hexdigest() == same
    assert digest_of(range(3), tmp_path, monkeypatch, SmallBatches).hexdigest() != same
