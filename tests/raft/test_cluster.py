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
from juniperreel.proxy.configsource import ConfigSource, hosts_of
from juniperreel.raft import wire
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.machine import SetGroup, SetLimit, encode_command
from juniperreel.raft.configuration.model import GroupInfo
from juniperreel.raft.node import Superseded
from juniperreel.raft.storage import Storage, StorageError
from juniperreel.raft.types import Members, NotLeader, Rejected, TimeoutNow
from juniperreel.rpc.status import Code, RpcError
from juniperreel.verification.versions import (
    VersionApplied,
    VersionConfirmed,
    check_versions,
    propagation_delays_s,
)
from tests.proxy.test_driver import options as driver_options
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


async def test_partitions_never_show_an_uncommitted_version_and_healing_reaches_all_in_3_s(
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
                await client.propose(command, tries=2)
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


async def test_a_command_is_applied_once_whatever_happens_to_its_answers(three: Cluster) -> None:
    command = three.command(SetLimit("edges", 7))
    first = await three.client.propose(command)
    leader = await three.leader()
    await three.kill(leader)
    again = await three.client.propose(command, tries=60)  # the answer was lost, as far as the client knows
    assert again == first
    assert (await three.client.get()).version == first.version


async def test_the_leader_dies_between_proposing_and_committing(three: Cluster) -> None:
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
    assert outcome.version == 2 and (await three.client.get()).limits["edges"] == 3


async def test_a_leader_that_hears_and_is_not_heard_is_replaced(three: Cluster) -> None:
    leader = await three.leader()
    others = [n for n in three.names if n != leader]
    three.cuts = {(leader, other) for other in others}
    new = await three.leader(others)
    assert new != leader
    with trio.fail_after(5):
        while three.instances[leader].node.core.is_leader:
            await trio.sleep(0.01)
    await three.set(SetLimit("attempts", 3))
    three.heal()
    await three.leader()


async def test_a_leader_paused_for_seconds_finds_another_and_follows_it(three: Cluster) -> None:
    """Its disk stands still: nothing leaves it, and what it was asked meanwhile does not count by itself."""
    leader = await three.leader()
    others = [n for n in three.names if n != leader]
    storage = three.instances[leader].storage
    write = storage.write

    def slow(persist: Any) -> None:
        time.sleep(2)
        write(persist)

    storage.write = slow  # type: ignore[method-assign]
    stuck: list[str] = []

    async def ask() -> None:
        try:
            data = encode_command(three.command(SetLimit("edges", 8), client="stuck"))
            await three.instances[leader].node.propose(data)
            stuck.append("applied")
        except (NotLeader, Rejected, Superseded):
            stuck.append("not applied")

    three.nursery.start_soon(ask)
    await three.leader(others)
    outcome = await three.set(SetLimit("attempts", 3))
    storage.write = write  # type: ignore[method-assign]
    with trio.fail_after(10):
        while three.instances[leader].node.machine.now.version < outcome.version or not stuck:
            await trio.sleep(0.01)
    assert not three.instances[leader].node.core.is_leader
    assert (await three.client.get()).limits["edges"] == (8 if stuck == ["applied"] else 3)


async def test_all_killed_at_once_come_back_with_all_that_was_confirmed(three: Cluster) -> None:
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


async def test_an_empty_disk_is_not_taken_for_the_old_one(three: Cluster, tmp_path: Path) -> None:
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
    await three.client.lead("ChangeInstances", request)
    await three.boot(fresh, Storage.create(three.path(fresh), "test", fresh, Members(frozenset()), 1 << 26))
    await three.client.lead("ChangeInstances", change("add", fresh))
    await three.client.lead("ChangeInstances", change("promote", fresh))
    await three.set(SetLimit("attempts", 4))
    with trio.fail_after(5):
        while three.instances[fresh].node.machine.now.version < 2:
            await trio.sleep(0.01)
    with pytest.raises(RpcError, match="new one"):
        await three.client.lead("ChangeInstances", change("add", lost))


def change(kind: str, name: str) -> bytes:
    return pb.ChangeInstancesRequest(change=kind, name=name).SerializeToString()


async def test_a_new_instance_takes_a_snapshot_while_entries_go_on(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    cluster = Cluster(tmp_path, nursery, snapshot_every=20)
    await cluster.start(3)
    await cluster.seed()
    for n in range(300):
        await cluster.client.propose(cluster.command(SetLimit("attempts", 1 + n)))
    fresh = (await cluster.name()).replace("c3@", "c9@")
    instance = await cluster.boot(
        fresh, Storage.create(cluster.path(fresh), "test", fresh, Members(frozenset()), 1 << 26)
    )
    await cluster.client.lead("ChangeInstances", change("add", fresh))
    for n in range(50):
        await cluster.client.propose(cluster.command(SetLimit("attempts", 1 + n)))
    with trio.fail_after(10):
        while instance.node.machine.now.version < 351:
            await trio.sleep(0.01)
    leader = await cluster.leader()
    assert instance.node.machine.now == cluster.instances[leader].node.machine.now
    assert instance.node.core.log.first > 1


async def test_what_breaks_a_rule_is_refused_when_proposed_and_when_applied(three: Cluster) -> None:
    stale = SetGroup(0, GroupInfo(0, "m1"))
    outcome = await three.client.propose(three.command(stale))
    assert "older" in outcome.refusal and "rule 5" in outcome.refusal
    outcome = await three.client.propose(three.command(SetLimit("attempts", 5), expect=0))
    assert "made against version 0" in outcome.refusal
    leader = three.instances[await three.leader()].node
    async with trio.open_nursery() as nursery:  # both pass when proposed; the second fails when applied
        results: list[str] = []

        async def one(expect: int) -> None:
            command = three.command(
                SetLimit("attempts", expect + 5), expect=expect, client=f"x{len(results)}{id(expect)}"
            )
            results.append((await leader.propose(msgspec.msgpack.encode(command))).refusal)

        for _ in range(2):
            nursery.start_soon(one, 1)
    assert sorted(bool(r) for r in results) == [False, True]


async def test_a_stranger_takes_no_part(three: Cluster) -> None:
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


async def test_a_watcher_through_three_leader_changes_never_goes_back(three: Cluster) -> None:
    await three.watcher("edge")
    for turn in range(3):
        leader = await three.leader()
        other = next(n for n in three.names if n != leader)
        await three.client.lead("ChangeInstances", change("transfer", other))
        await three.set(SetLimit("attempts", 2 + turn))
    await three.all_at(4, 1)
    assert check_versions(three.records) == []


async def test_a_gap_that_is_compacted_away_is_closed_by_a_whole_version(three: Cluster) -> None:
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
    assert seen[0].version > before.version + 64 and seen[-1].limits["attempts"] == 70


async def test_three_hundred_watchers_and_one_change(three: Cluster) -> None:
    for n in range(300):
        await three.watcher(f"edge{n}")
    await three.all_at(1, 300)
    outcome = await three.set(SetLimit("attempts", 9))
    await three.all_at(outcome.version, 300)
    took = propagation_delays_s(three.records, outcome.version, 300)
    assert took is not None and took[-1] < 3
    assert check_versions(three.records) == []


async def test_the_driver_s_source_turns_versions_into_lists(three: Cluster, nursery: trio.Nursery) -> None:
    told: list[tuple[Any, list[Any]]] = []
    options: DriverOptions = options_for(three)
    source = ConfigSource(
        options,
        three.network,
        three.clock,
        random.Random(1),
        lambda k, h: told.append((k, h)),
        print,
    )
    await nursery.start(source.run)
    source.subscribe(True)
    await three.set(SetGroup(0, GroupInfo(2, "m1")))
    with trio.fail_after(5):
        while source.version < 2:
            await trio.sleep(0.01)
    hosts = {h.id: h for h in told[-1][1]}
    assert hosts["m1"].primary and not hosts["m0"].primary
    assert hosts_of(await three.client.get(), 0) == []


def options_for(cluster: Cluster) -> DriverOptions:
    places = tuple(("127.0.0.1", int(n.rpartition(":")[2])) for n in cluster.names)
    return replace(driver_options(), instances=places)


# The judge.


def test_planted_versions_are_seen() -> None:
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
    assert propagation_delays_s(good, 2, 1) == [2e-6] and propagation_delays_s(good, 2, 2) is None
