"""Clusters of instances on loopback: partitions, crashes, restarts and watchers."""

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
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import Command, SetGroup, SetLimit, encode_command
from juniperreel.raft.configuration.model import GroupInfo
from juniperreel.raft.errors import (
    DiskFullError,
    EntrySupersededError,
    NotLeaderError,
    OutcomeUnknownError,
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
async def cluster_of_five(nursery: trio.Nursery, tmp_path: Path) -> Cluster:
    cluster = Cluster(tmp_path, nursery)
    await cluster.start(5)
    await cluster.seed()
    return cluster


@pytest.fixture
async def cluster_of_three(nursery: trio.Nursery, tmp_path: Path) -> Cluster:
    cluster = Cluster(tmp_path, nursery)
    await cluster.start(3)
    await cluster.seed()
    return cluster


async def test_watchers_through_partitions_see_only_committed_versions_and_catch_up_within_3_s(
    cluster_of_five: Cluster,
) -> None:
    """Guards against watchers that see uncommitted versions: a leader in a minority keeps proposing, and
    watchers are connected to both sides of the partition.
    """
    for n, name in enumerate(cluster_of_five.names):
        await cluster_of_five.start_watcher(f"edge{n}", [name])  # connected to one instance only
    for n in range(5, 10):
        await cluster_of_five.start_watcher(f"edge{n}")
    await cluster_of_five.wait_until_all_at(1, 10)
    delays_s: list[float] = []
    for round_number in range(3):
        old_leader = await cluster_of_five.wait_for_leader()
        follower = next(n for n in cluster_of_five.names if n != old_leader)
        cluster_of_five.partition(old_leader, follower)
        minority = cluster_of_five.client_of([old_leader])
        await cluster_of_five.nursery.start(minority.run)
        majority = [n for n in cluster_of_five.names if n not in (old_leader, follower)]

        async def propose_at_minority(client: Any = minority, round_number: int = round_number) -> None:
            command = cluster_of_five.command(
                SetLimit("edges", 1000 + round_number), client=f"minority{round_number}"
            )
            try:
                await client.propose(command, attempts=2)
            except Exception:  # the command was superseded, or its outcome is unknown
                return

        cluster_of_five.nursery.start_soon(propose_at_minority)
        await cluster_of_five.wait_for_leader(majority)
        outcome = await cluster_of_five.apply_changes(SetLimit("attempts", 2 + round_number))
        healed = cluster_of_five.clock.now_us()
        cluster_of_five.heal()
        with trio.fail_after(10):
            while propagation_delays_s(cluster_of_five.records, outcome.version, 10) is None:
                await trio.sleep(0.01)
        last = max(
            min(
                r.at
                for r in cluster_of_five.records
                if isinstance(r, VersionApplied) and r.node == node and r.version >= outcome.version
            )
            for node in {r.node for r in cluster_of_five.records if isinstance(r, VersionApplied)}
        )
        delays_s.append(max(last - healed, 0) / 1e6)
        await cluster_of_five.record_current_version()
    print("seconds from healing to the last of ten watchers:", ", ".join(f"{t:.3f}" for t in delays_s))
    assert max(delays_s) < 3.0, delays_s
    final = await cluster_of_five.record_current_version()
    for version in {r.version for r in cluster_of_five.records if isinstance(r, VersionApplied)} - {
        r.version for r in cluster_of_five.records if isinstance(r, VersionConfirmed)
    }:
        assert version < final.version  # proposed by the minority leader, committed after healing
        contents = {
            r.digest
            for r in cluster_of_five.records
            if isinstance(r, VersionApplied) and r.version == version
        }
        assert len(contents) == 1
        cluster_of_five.records.append(VersionConfirmed(0, version, contents.pop()))
    assert check_versions(cluster_of_five.records) == []


async def test_command_repeated_after_a_lost_response_is_applied_once(cluster_of_three: Cluster) -> None:
    command = cluster_of_three.command(SetLimit("edges", 7))
    first = await cluster_of_three.client.propose(command)
    leader = await cluster_of_three.wait_for_leader()
    await cluster_of_three.kill(leader)
    retried = await cluster_of_three.client.propose(command, attempts=60)  # as if the response was lost
    assert retried == first
    assert (await cluster_of_three.client.get()).version == first.version


async def test_command_of_a_leader_that_dies_before_committing_is_not_applied(
    cluster_of_three: Cluster,
) -> None:
    leader = await cluster_of_three.wait_for_leader()
    others = [n for n in cluster_of_three.names if n != leader]
    cluster_of_three.partition(leader)
    with trio.move_on_after(0.05):
        await cluster_of_three.instances[leader].node.propose(
            msgspec.msgpack.encode(cluster_of_three.command(SetLimit("edges", 9)))
        )
    await cluster_of_three.kill(leader)
    cluster_of_three.heal()
    await cluster_of_three.wait_for_leader(others)
    await cluster_of_three.start_instance(leader)
    outcome = await cluster_of_three.apply_changes(SetLimit("attempts", 3))
    assert outcome.version == 2
    assert (await cluster_of_three.client.get()).limits["edges"] == 3


async def propose_once(cluster: Cluster, name: str, command: Command) -> RpcError:
    """Propose a command to one instance, without retries, and return the error that it is answered with."""
    channel = await cluster.client._channel(("127.0.0.1", int(name.rpartition(":")[2])))
    request = pb.ProposeRequest(command=encode_command(command)).SerializeToString()
    with pytest.raises(RpcError) as raised:
        await channel.unary("/juniperreel.configuration.v1.Configuration/Propose", request)
    return raised.value


async def test_command_whose_entry_a_snapshot_covers_is_answered_with_its_outcome_unknown(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    """Guards against an applied command that is answered as `not applied`, and so proposed a second time."""
    cluster = Cluster(tmp_path, nursery, snapshot_interval=20)
    await cluster.start(3)
    await cluster.seed()
    leader = await cluster.wait_for_leader()
    others = [name for name in cluster.names if name != leader]
    cluster.partitions = {(other, leader) for other in others}  # its entries arrive, the replies do not
    errors: list[RpcError] = []

    async def propose_at_leader() -> None:
        command = cluster.command(SetLimit("edges", 8), client="cut off")
        errors.append(await propose_once(cluster, leader, command))

    nursery.start_soon(propose_at_leader)
    await cluster.wait_for_leader(others)
    for number in range(RaftConfig().trailing_entries + 20):
        await cluster.client.propose(cluster.command(SetLimit("attempts", 2 + number)), attempts=60)
    cluster.heal()
    with trio.fail_after(10):
        while not errors:
            await trio.sleep(0.01)
    assert (await cluster.client.get()).limits["edges"] == 8  # the command was applied
    (error,) = errors
    assert error.code is Code.UNAVAILABLE
    assert error.message.startswith("outcome unknown: ")
    assert error.reason("configuration.juniperreel") == "OUTCOME_UNKNOWN"


async def test_command_superseded_by_another_leaders_entry_is_answered_as_not_applied(
    cluster_of_three: Cluster,
) -> None:
    leader = await cluster_of_three.wait_for_leader()
    others = [name for name in cluster_of_three.names if name != leader]
    cluster_of_three.partition(leader)
    errors: list[RpcError] = []

    async def propose_at_leader() -> None:
        command = cluster_of_three.command(SetLimit("edges", 8), client="cut off")
        errors.append(await propose_once(cluster_of_three, leader, command))

    cluster_of_three.nursery.start_soon(propose_at_leader)
    await cluster_of_three.wait_for_leader(others)
    await cluster_of_three.apply_changes(SetLimit("attempts", 3))
    cluster_of_three.heal()
    with trio.fail_after(10):
        while not errors:
            await trio.sleep(0.01)
    assert (errors[0].code, errors[0].message.partition(":")[0]) == (Code.ABORTED, "not applied")
    assert (await cluster_of_three.client.get()).limits["edges"] == 3


async def test_command_pending_when_its_instance_stops_has_an_unknown_outcome(
    cluster_of_three: Cluster,
) -> None:
    """Guards against a rejection of what the others may still commit."""
    leader = await cluster_of_three.wait_for_leader()
    others = [name for name in cluster_of_three.names if name != leader]
    cluster_of_three.partitions = {(other, leader) for other in others}
    node = cluster_of_three.instances[leader].node
    unknown: list[OutcomeUnknownError] = []

    async def propose_at_leader() -> None:
        data = encode_command(cluster_of_three.command(SetLimit("edges", 8), client="cut off"))
        with pytest.raises(OutcomeUnknownError) as raised:
            await node.propose(data)
        unknown.append(raised.value)

    cluster_of_three.nursery.start_soon(propose_at_leader)
    await cluster_of_three.wait_for_leader(others)
    await cluster_of_three.kill(leader)
    with trio.fail_after(5):
        while not unknown:
            await trio.sleep(0.01)
    await cluster_of_three.apply_changes(SetLimit("attempts", 3))
    assert (await cluster_of_three.client.get()).limits["edges"] == 8


async def test_leader_that_receives_but_cannot_send_is_replaced(cluster_of_three: Cluster) -> None:
    leader = await cluster_of_three.wait_for_leader()
    others = [n for n in cluster_of_three.names if n != leader]
    cluster_of_three.partitions = {(leader, other) for other in others}
    new = await cluster_of_three.wait_for_leader(others)
    assert new != leader
    with trio.fail_after(5):
        while cluster_of_three.instances[leader].node.core.is_leader:
            await trio.sleep(0.01)
    await cluster_of_three.apply_changes(SetLimit("attempts", 3))
    cluster_of_three.heal()
    await cluster_of_three.wait_for_leader()


async def test_leader_with_a_stalled_disk_is_replaced_and_follows_the_new_one(
    cluster_of_three: Cluster,
) -> None:
    """A leader with a stalled disk sends nothing and must be replaced; the configuration must agree with the
    reported outcome of a proposal made to it meanwhile.
    """
    leader = await cluster_of_three.wait_for_leader()
    others = [n for n in cluster_of_three.names if n != leader]
    storage = cluster_of_three.instances[leader].storage
    write = storage.write

    def write_slowly(batch: PersistBatch) -> None:
        time.sleep(2)
        write(batch)

    storage.write = write_slowly  # type: ignore[method-assign]
    outcomes: list[str] = []

    async def propose_at_stalled_leader() -> None:
        try:
            data = encode_command(cluster_of_three.command(SetLimit("edges", 8), client="stalled"))
            await cluster_of_three.instances[leader].node.propose(data)
            outcomes.append("applied")
        except (NotLeaderError, RequestRejectedError, EntrySupersededError):
            outcomes.append("not applied")

    cluster_of_three.nursery.start_soon(propose_at_stalled_leader)
    await cluster_of_three.wait_for_leader(others)
    outcome = await cluster_of_three.apply_changes(SetLimit("attempts", 3))
    storage.write = write  # type: ignore[method-assign]
    with trio.fail_after(10):
        while (
            cluster_of_three.instances[leader].node.state_machine.current.version < outcome.version
            or not outcomes
        ):
            await trio.sleep(0.01)
    assert not cluster_of_three.instances[leader].node.core.is_leader
    assert (await cluster_of_three.client.get()).limits["edges"] == (8 if outcomes == ["applied"] else 3)


async def test_instances_all_killed_at_once_recover_every_confirmed_version(
    cluster_of_three: Cluster,
) -> None:
    for n in range(5):
        await cluster_of_three.apply_changes(SetLimit("attempts", 2 + n))
    for name in cluster_of_three.names:
        cluster_of_three.scopes[name].cancel()
    for name in cluster_of_three.names:
        await cluster_of_three.kill(name)
    for name in cluster_of_three.names:
        await cluster_of_three.start_instance(name)
    configuration = await cluster_of_three.client.get()
    assert (configuration.version, configuration.limits["attempts"]) == (6, 6)


async def test_instance_with_an_empty_disk_is_refused_and_replaced_under_a_new_name(
    cluster_of_three: Cluster,
) -> None:
    lost = cluster_of_three.names[0]
    await cluster_of_three.kill(lost)
    for file in cluster_of_three.path(lost).iterdir():
        file.unlink()
    with pytest.raises(StorageError, match="new name"):
        Storage.open(cluster_of_three.path(lost), "test", lost)
    await cluster_of_three.wait_for_leader(cluster_of_three.names[1:])
    new_name = await cluster_of_three.reserve_name()
    new_name = new_name.replace("c3@", "c9@")
    request = change("remove", lost)
    await cluster_of_three.client.call_leader("ChangeInstances", request)
    await cluster_of_three.start_instance(
        new_name,
        Storage.create(cluster_of_three.path(new_name), "test", new_name, Membership(frozenset()), 1 << 26),
    )
    await cluster_of_three.client.call_leader("ChangeInstances", change("add", new_name))
    await cluster_of_three.client.call_leader("ChangeInstances", change("promote", new_name))
    await cluster_of_three.apply_changes(SetLimit("attempts", 4))
    with trio.fail_after(5):
        while cluster_of_three.instances[new_name].node.state_machine.current.version < 2:
            await trio.sleep(0.01)
    with pytest.raises(RpcError, match="new one"):
        await cluster_of_three.client.call_leader("ChangeInstances", change("add", lost))


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
    new_name = (await cluster.reserve_name()).replace("c3@", "c9@")
    instance = await cluster.start_instance(
        new_name, Storage.create(cluster.path(new_name), "test", new_name, Membership(frozenset()), 1 << 26)
    )
    await cluster.client.call_leader("ChangeInstances", change("add", new_name))
    for n in range(50):
        await cluster.client.propose(cluster.command(SetLimit("attempts", 1 + n)))
    with trio.fail_after(10):
        while instance.node.state_machine.current.version < 351:
            await trio.sleep(0.01)
    leader = await cluster.wait_for_leader()
    assert instance.node.state_machine.current == cluster.instances[leader].node.state_machine.current
    assert instance.node.core.log.first_index > 1


async def test_command_that_breaks_a_rule_is_rejected_when_proposed_and_when_applied(
    cluster_of_three: Cluster,
) -> None:
    stale = SetGroup(0, GroupInfo(0, "m1"))
    outcome = await cluster_of_three.client.propose(cluster_of_three.command(stale))
    assert "older" in outcome.rejection
    assert "rule 5" in outcome.rejection
    outcome = await cluster_of_three.client.propose(
        cluster_of_three.command(SetLimit("attempts", 5), expect=0)
    )
    assert "made against version 0" in outcome.rejection
    leader = cluster_of_three.instances[await cluster_of_three.wait_for_leader()].node
    async with trio.open_nursery() as nursery:  # both pass when proposed; the second fails when applied
        results: list[str] = []

        async def propose(expect: int) -> None:
            command = cluster_of_three.command(
                SetLimit("attempts", expect + 5), expect=expect, client=f"x{len(results)}{id(expect)}"
            )
            results.append((await leader.propose(msgspec.msgpack.encode(command))).rejection)

        for _ in range(2):
            nursery.start_soon(propose, 1)
    assert sorted(bool(r) for r in results) == [False, True]


async def test_step_with_a_wrong_signature_is_denied(cluster_of_three: Cluster) -> None:
    name = cluster_of_three.names[0]
    data = wire.encode([TimeoutNow(cluster_of_three.names[1], name, 99)])

    async def step(cluster: str, src: str, dst: str, key: bytes) -> Code:
        signature = wire.sign(key, cluster, src, dst, data)
        request = raft_pb2.StepRequest(cluster=cluster, src=src, dst=dst, messages=data, signature=signature)
        channel = await cluster_of_three.client._channel(("127.0.0.1", int(name.rpartition(":")[2])))
        try:
            await channel.unary("/juniperreel.raft.v1.Raft/Step", request.SerializeToString())
        except RpcError as error:
            return error.code
        return Code.OK

    assert await step("test", cluster_of_three.names[1], name, b"wrong" * 8) is Code.PERMISSION_DENIED
    assert await step("other", cluster_of_three.names[1], name, KEY) is Code.PERMISSION_DENIED
    assert (
        await step("test", cluster_of_three.names[1], cluster_of_three.names[2], KEY)
        is Code.PERMISSION_DENIED
    )
    assert cluster_of_three.instances[name].node.core.term < 99


async def test_watcher_through_three_leader_changes_never_goes_back(cluster_of_three: Cluster) -> None:
    await cluster_of_three.start_watcher("edge")
    for round_number in range(3):
        leader = await cluster_of_three.wait_for_leader()
        other = next(n for n in cluster_of_three.names if n != leader)
        await cluster_of_three.client.call_leader("ChangeInstances", change("transfer", other))
        await cluster_of_three.apply_changes(SetLimit("attempts", 2 + round_number))
    await cluster_of_three.wait_until_all_at(4, 1)
    assert check_versions(cluster_of_three.records) == []


async def test_watcher_older_than_the_history_gets_a_complete_version(cluster_of_three: Cluster) -> None:
    before = await cluster_of_three.client.get()
    for n in range(70):  # more than the versions retained for deltas
        await cluster_of_three.client.propose(cluster_of_three.command(SetLimit("attempts", 1 + n)))
    seen: list[model.Configuration] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cluster_of_three.client.watch, "late", before, seen.append)
        with trio.fail_after(5):
            while not seen or seen[-1].version < 71:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert seen[0].version > before.version + 64
    assert seen[-1].limits["attempts"] == 70


async def test_change_with_three_hundred_watchers_reaches_all_within_3_s(cluster_of_three: Cluster) -> None:
    for n in range(300):
        await cluster_of_three.start_watcher(f"edge{n}")
    await cluster_of_three.wait_until_all_at(1, 300)
    outcome = await cluster_of_three.apply_changes(SetLimit("attempts", 9))
    await cluster_of_three.wait_until_all_at(outcome.version, 300)
    delays_s = propagation_delays_s(cluster_of_three.records, outcome.version, 300)
    assert delays_s is not None
    assert delays_s[-1] < 3
    assert check_versions(cluster_of_three.records) == []


async def test_config_source_on_a_new_version_passes_an_endpoint_list(
    cluster_of_three: Cluster, nursery: trio.Nursery
) -> None:
    updates: list[tuple[Any, list[Any]]] = []
    options: DriverOptions = options_for(cluster_of_three)
    source = ConfigurationSource(
        options,
        cluster_of_three.network,
        cluster_of_three.clock,
        random.Random(1),
        lambda k, h: updates.append((k, h)),
        print,
    )
    await nursery.start(source.run)
    source.subscribe(True)
    await cluster_of_three.apply_changes(SetGroup(0, GroupInfo(2, "m1")))
    with trio.fail_after(5):
        while source.version < 2:
            await trio.sleep(0.01)
    endpoints = {h.id: h for h in updates[-1][1]}
    assert endpoints["m1"].listed_primary
    assert not endpoints["m0"].listed_primary
    assert endpoints_from_configuration(await cluster_of_three.client.get(), 0) == []


def options_for(cluster: Cluster) -> DriverOptions:
    addresses = tuple(("127.0.0.1", int(n.rpartition(":")[2])) for n in cluster.names)
    return replace(driver_options(), configuration_addresses=addresses)


# The checker.


def test_check_versions_with_injected_violations_finds_each() -> None:
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


async def test_transient_disk_failure_on_all_instances_loses_nothing(
    cluster_of_three: Cluster,
) -> None:
    """After transient ENOSPC or EIO, confirmed versions survive and pending proposals are confirmed."""
    failures = dict.fromkeys(cluster_of_three.names, 4)
    for name in cluster_of_three.names:
        storage = cluster_of_three.instances[name].node._storage
        write = storage.write

        def fail_then_write(batch: PersistBatch, name: str = name, write: Any = write) -> None:
            if failures[name]:
                failures[name] -= 1
                raise DiskFullError(Path(name), "Input/output error")
            write(batch)

        storage.write = fail_then_write  # type: ignore[method-assign]
    with trio.fail_after(30):
        await cluster_of_three.apply_changes(SetLimit("attempts", 7))
    assert not all(failures.values())
    assert not any(instance.node.stopped for instance in cluster_of_three.instances.values())
