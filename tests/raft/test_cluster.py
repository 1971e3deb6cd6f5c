"""Instances of the program on loopback: partitions, deaths, restarts, watchers."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.proto.raft.v1 import raft_pb2
from juniperreel.proxy import DriverOptions
from juniperreel.proxy.configuration_source import ConfigurationSource, endpoints_from_configuration
from juniperreel.raft import wire
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import SetGroup, SetLimit, encode_command
from juniperreel.raft.configuration.model import GroupInfo
from juniperreel.raft.errors import (
    DiskFullError,
    EntrySupersededError,
    NotLeaderError,
    RequestRejectedError,
    StorageError,
)
from juniperreel.raft.messages import TimeoutNow
from juniperreel.raft.ready import PersistBatch
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Membership
from juniperreel.rpc.status import Code, RpcError
from juniperreel.verification.versions import (
    VersionApplied,
    VersionConfirmed,
    check_versions,
    propagation_delays_s,
)
from tests.proxy.builders import driver_options
from tests.raft.cluster import KEY, Cluster


@pytest.fixture
async def five(nursery: trio.Nursery, tmp_path: Path) -> Cluster:
    cluster = Cluster(tmp_path, nursery)
    await cluster.start(5)
    await cluster.seed()
    return cluster


@pytest.fixture
async def three(nursery: trio.Nursery, tmp_path: Path) -> Cluster:
    cluster = Cluster(tmp_path, nursery)
    await cluster.start(3)
    await cluster.seed()
    return cluster


async def test_watchers_through_partitions_see_only_committed_versions_and_catch_up_within_3_s(
    five: Cluster,
) -> None:
    """A minority leader keeps proposing the old view; drivers are connected to both sides."""
    for n, name in enumerate(five.names):
        await five.watcher(f"edge{n}", [name])  # this one can only hear its own instance
    for n in range(5, 10):
        await five.watcher(f"edge{n}")
    await five.all_at(1, 10)
    took: list[float] = []
    for turn in range(3):
        old = await five.leader()
        friend = next(n for n in five.names if n != old)
        five.partition(old, friend)
        minority = five.instances_client([old])
        await five.nursery.start(minority.run)
        rest = [n for n in five.names if n not in (old, friend)]

        async def stubborn(client: Any = minority, turn: int = turn) -> None:
            command = five.command(SetLimit("edges", 1000 + turn), client=f"stubborn{turn}")
            try:
                await client.propose(command, attempts=2)
            except Exception:  # it learns that the outcome was not its own, or nothing at all
                return

        five.nursery.start_soon(stubborn)
        await five.leader(rest)
        outcome = await five.set(SetLimit("attempts", 2 + turn))
        healed = five.clock.now_us()
        five.heal()
        with trio.fail_after(10):
            while propagation_delays_s(five.records, outcome.version, 10) is None:
                await trio.sleep(0.01)
        last = max(
            min(
                r.at
                for r in five.records
                if isinstance(r, VersionApplied) and r.node == d and r.version >= outcome.version
            )
            for d in {r.node for r in five.records if isinstance(r, VersionApplied)}
        )
        took.append(max(last - healed, 0) / 1e6)
        await five.confirm()
    print("seconds from healing to the last of ten drivers:", ", ".join(f"{t:.3f}" for t in took))
    assert max(took) < 3.0, took
    final = await five.confirm()
    for version in {r.version for r in five.records if isinstance(r, VersionApplied)} - {
        r.version for r in five.records if isinstance(r, VersionConfirmed)
    }:
        assert version < final.version  # a stubborn command that went through after the healing
        contents = {r.digest for r in five.records if isinstance(r, VersionApplied) and r.version == version}
        assert len(contents) == 1
        five.records.append(VersionConfirmed(0, version, contents.pop()))
    assert check_versions(five.records) == []


async def test_command_repeated_after_a_lost_response_is_applied_once(three: Cluster) -> None:
    command = three.command(SetLimit("edges", 7))
    first = await three.client.propose(command)
    leader = await three.leader()
    await three.kill(leader)
    again = await three.client.propose(command, attempts=60)  # as if the answer was lost
    assert again == first
    assert (await three.client.get()).version == first.version


async def test_command_of_a_leader_that_dies_before_committing_is_not_applied(three: Cluster) -> None:
    leader = await three.leader()
    others = [n for n in three.names if n != leader]
    three.partition(leader)
    with trio.move_on_after(0.05):
        await three.instances[leader].node.propose(
            msgspec.msgpack.encode(three.command(SetLimit("edges", 9)))
        )
    await three.kill(leader)
    three.heal()
    await three.leader(others)
    await three.boot(leader)
    outcome = await three.set(SetLimit("attempts", 3))
    assert outcome.version == 2
    assert (await three.client.get()).limits["edges"] == 3


async def test_leader_that_receives_but_cannot_send_is_replaced(three: Cluster) -> None:
    leader = await three.leader()
    others = [n for n in three.names if n != leader]
    three.partitions = {(leader, other) for other in others}
    new = await three.leader(others)
    assert new != leader
    with trio.fail_after(5):
        while three.instances[leader].node.core.is_leader:
            await trio.sleep(0.01)
    await three.set(SetLimit("attempts", 3))
    three.heal()
    await three.leader()


async def test_leader_with_a_stalled_disk_is_replaced_and_follows_the_new_one(three: Cluster) -> None:
    """Its disk stands still: nothing leaves it, and what it was asked meanwhile does not count by itself."""
    leader = await three.leader()
    others = [n for n in three.names if n != leader]
    storage = three.instances[leader].storage
    write = storage.write

    def slow(batch: PersistBatch) -> None:
        time.sleep(2)
        write(batch)

    storage.write = slow  # type: ignore[method-assign]
    stuck: list[str] = []

    async def ask() -> None:
        try:
            data = encode_command(three.command(SetLimit("edges", 8), client="stuck"))
            await three.instances[leader].node.propose(data)
            stuck.append("applied")
        except (NotLeaderError, RequestRejectedError, EntrySupersededError):
            stuck.append("not applied")

    three.nursery.start_soon(ask)
    await three.leader(others)
    outcome = await three.set(SetLimit("attempts", 3))
    storage.write = write  # type: ignore[method-assign]
    with trio.fail_after(10):
        while three.instances[leader].node.state_machine.current.version < outcome.version or not stuck:
            await trio.sleep(0.01)
    assert not three.instances[leader].node.core.is_leader
    assert (await three.client.get()).limits["edges"] == (8 if stuck == ["applied"] else 3)


async def test_instances_all_killed_at_once_recover_every_confirmed_version(three: Cluster) -> None:
    for n in range(5):
        await three.set(SetLimit("attempts", 2 + n))
    for name in three.names:
        three.scopes[name].cancel()
    for name in three.names:
        await three.kill(name)
    for name in three.names:
        await three.boot(name)
    now = await three.client.get()
    assert (now.version, now.limits["attempts"]) == (6, 6)


async def test_instance_with_an_empty_disk_is_refused_and_replaced_under_a_new_name(three: Cluster) -> None:
    lost = three.names[0]
    await three.kill(lost)
    for file in three.path(lost).iterdir():
        file.unlink()
    with pytest.raises(StorageError, match="new name"):
        Storage.open(three.path(lost), "test", lost)
    await three.leader(three.names[1:])
    fresh = await three.name()
    fresh = fresh.replace("c3@", "c9@")
    request = change("remove", lost)
    await three.client.call_leader("ChangeInstances", request)
    await three.boot(
        fresh, Storage.create(three.path(fresh), "test", fresh, Membership(frozenset()), 1 << 26)
    )
    await three.client.call_leader("ChangeInstances", change("add", fresh))
    await three.client.call_leader("ChangeInstances", change("promote", fresh))
    await three.set(SetLimit("attempts", 4))
    with trio.fail_after(5):
        while three.instances[fresh].node.state_machine.current.version < 2:
            await trio.sleep(0.01)
    with pytest.raises(RpcError, match="new one"):
        await three.client.call_leader("ChangeInstances", change("add", lost))


def change(kind: str, name: str) -> bytes:
    return pb.ChangeInstancesRequest(change=kind, name=name).SerializeToString()


async def test_new_instance_under_load_catches_up_by_a_snapshot(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    cluster = Cluster(tmp_path, nursery, snapshot_interval=20)
    await cluster.start(3)
    await cluster.seed()
    for n in range(300):
        await cluster.client.propose(cluster.command(SetLimit("attempts", 1 + n)))
    fresh = (await cluster.name()).replace("c3@", "c9@")
    instance = await cluster.boot(
        fresh, Storage.create(cluster.path(fresh), "test", fresh, Membership(frozenset()), 1 << 26)
    )
    await cluster.client.call_leader("ChangeInstances", change("add", fresh))
    for n in range(50):
        await cluster.client.propose(cluster.command(SetLimit("attempts", 1 + n)))
    with trio.fail_after(10):
        while instance.node.state_machine.current.version < 351:
            await trio.sleep(0.01)
    leader = await cluster.leader()
    assert instance.node.state_machine.current == cluster.instances[leader].node.state_machine.current
    assert instance.node.core.log.first_index > 1


async def test_command_that_breaks_a_rule_is_rejected_when_proposed_and_when_applied(three: Cluster) -> None:
    stale = SetGroup(0, GroupInfo(0, "m1"))
    outcome = await three.client.propose(three.command(stale))
    assert "older" in outcome.rejection
    assert "rule 5" in outcome.rejection
    outcome = await three.client.propose(three.command(SetLimit("attempts", 5), expect=0))
    assert "made against version 0" in outcome.rejection
    leader = three.instances[await three.leader()].node
    async with trio.open_nursery() as nursery:  # both pass when proposed; the second fails when applied
        results: list[str] = []

        async def one(expect: int) -> None:
            command = three.command(
                SetLimit("attempts", expect + 5), expect=expect, client=f"x{len(results)}{id(expect)}"
            )
            results.append((await leader.propose(msgspec.msgpack.encode(command))).rejection)

        for _ in range(2):
            nursery.start_soon(one, 1)
    assert sorted(bool(r) for r in results) == [False, True]


async def test_step_with_a_wrong_signature_is_denied(three: Cluster) -> None:
    name = three.names[0]
    data = wire.encode([TimeoutNow(three.names[1], name, 99)])

    async def step(cluster: str, src: str, dst: str, key: bytes) -> Code:
        signature = wire.sign(key, cluster, src, dst, data)
        ask = raft_pb2.StepRequest(cluster=cluster, src=src, dst=dst, messages=data, signature=signature)
        channel = await three.client._channel(("127.0.0.1", int(name.rpartition(":")[2])))
        try:
            await channel.unary("/juniperreel.raft.v1.Raft/Step", ask.SerializeToString())
        except RpcError as error:
            return error.code
        return Code.OK

    assert await step("test", three.names[1], name, b"wrong" * 8) is Code.PERMISSION_DENIED
    assert await step("other", three.names[1], name, KEY) is Code.PERMISSION_DENIED
    assert await step("test", three.names[1], three.names[2], KEY) is Code.PERMISSION_DENIED
    assert three.instances[name].node.core.term < 99


async def test_watcher_through_three_leader_changes_never_goes_back(three: Cluster) -> None:
    await three.watcher("edge")
    for turn in range(3):
        leader = await three.leader()
        other = next(n for n in three.names if n != leader)
        await three.client.call_leader("ChangeInstances", change("transfer", other))
        await three.set(SetLimit("attempts", 2 + turn))
    await three.all_at(4, 1)
    assert check_versions(three.records) == []


async def test_watcher_older_than_the_history_gets_a_complete_version(three: Cluster) -> None:
    before = await three.client.get()
    for n in range(70):  # more than the versions kept for deltas
        await three.client.propose(three.command(SetLimit("attempts", 1 + n)))
    seen: list[model.Configuration] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(three.client.watch, "late", before, seen.append)
        with trio.fail_after(5):
            while not seen or seen[-1].version < 71:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert seen[0].version > before.version + 64
    assert seen[-1].limits["attempts"] == 70


async def test_change_with_three_hundred_watchers_reaches_all_within_3_s(three: Cluster) -> None:
    for n in range(300):
        await three.watcher(f"edge{n}")
    await three.all_at(1, 300)
    outcome = await three.set(SetLimit("attempts", 9))
    await three.all_at(outcome.version, 300)
    took = propagation_delays_s(three.records, outcome.version, 300)
    assert took is not None
    assert took[-1] < 3
    assert check_versions(three.records) == []


async def test_config_source_on_a_new_version_passes_an_endpoint_list(
    three: Cluster, nursery: trio.Nursery
) -> None:
    updates: list[tuple[Any, list[Any]]] = []
    options: DriverOptions = options_for(three)
    source = ConfigurationSource(
        options,
        three.network,
        three.clock,
        random.Random(1),
        lambda k, h: updates.append((k, h)),
        print,
    )
    await nursery.start(source.run)
    source.subscribe(True)
    await three.set(SetGroup(0, GroupInfo(2, "m1")))
    with trio.fail_after(5):
        while source.version < 2:
            await trio.sleep(0.01)
    hosts = {h.id: h for h in updates[-1][1]}
    assert hosts["m1"].listed_primary
    assert not hosts["m0"].listed_primary
    assert endpoints_from_configuration(await three.client.get(), 0) == []


def options_for(cluster: Cluster) -> DriverOptions:
    places = tuple(("127.0.0.1", int(n.rpartition(":")[2])) for n in cluster.names)
    return replace(driver_options(), configuration_addresses=places)


# The judge.


def test_check_versions_with_planted_violations_finds_each() -> None:
    good: list[VersionConfirmed | VersionApplied] = [
        VersionConfirmed(1, 1, "a"),
        VersionConfirmed(2, 2, "b"),
        VersionApplied(3, "e", 1, "a"),
        VersionApplied(4, "e", 2, "b"),
    ]
    assert check_versions(good) == []
    for bad in (
        [VersionApplied(5, "e", 3, "c")],
        [VersionApplied(5, "f", 2, "x")],
        [VersionApplied(5, "e", 1, "a")],
        [VersionConfirmed(9, 1, "z")],
    ):
        assert check_versions([*good, *bad])
    assert propagation_delays_s(good, 2, 1) == [2e-6]
    assert propagation_delays_s(good, 2, 2) is None


async def test_a_disk_that_fails_for_a_while_on_all_instances_loses_nothing(three: Cluster) -> None:
    """ENOSPC or EIO for some writes: what was confirmed holds, and what is proposed is confirmed later."""
    failures = dict.fromkeys(three.names, 4)
    for name in three.names:
        storage = three.instances[name].node._storage
        write = storage.write

        def failing(batch: PersistBatch, name: str = name, write: Any = write) -> None:
            if failures[name]:
                failures[name] -= 1
                raise DiskFullError(Path(name), "Input/output error")
            write(batch)

        storage.write = failing  # type: ignore[method-assign]
    with trio.fail_after(30):
        await three.set(SetLimit("attempts", 7))
    assert not all(failures.values())
    assert not any(instance.node.stopped for instance in three.instances.values())
