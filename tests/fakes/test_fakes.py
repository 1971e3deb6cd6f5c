"""The fakes behave as the tests that use them assume."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from pathlib import Path

import grpc
import pytest
import trio

from juniperreel.fakes.capacity_model import CapacityModel
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.errors import QueueFullError, StatementError
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.replica import EpochStart, LogPosition, ReplicaState
from juniperreel.fakes.script import ScriptError, parse
from juniperreel.fakes.store import Commit, Statement, Store
from juniperreel.net import Clock, TcpNetwork
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import Recorder

WRITE = "insert into runs (runner, id) values (?, ?)"
READ = "select id from runs where runner = ? order by number"


def commit(position: int, rid: str, epoch: int = 1, key: str = "") -> Commit:
    return Commit(epoch, position, (Statement(WRITE, ("r", rid)),), key, rid)


def ids(store: Store) -> list[str]:
    return [row.values[0].text for row in store.query(READ, ["r"]).rows]


def test_query_result_shows_which_commits_it_contains() -> None:
    store = Store()
    for n in range(3):
        store.apply(commit(n, f"q{n}"))
    assert ids(store) == ["q0", "q1", "q2"]


@pytest.mark.parametrize(
    "statement,write",
    [("selekt", False), ("delete from runs", False), (READ, True), ("select * from x", False)],
)
def test_invalid_statement_is_rejected_without_executing(statement: str, write: bool) -> None:
    with pytest.raises(StatementError):
        Store().check(statement, ["r"] if "?" in statement else [], write)


def test_endpoint_that_was_cut_off_drops_what_the_group_does_not_have() -> None:
    old, new = ReplicaState(), ReplicaState()
    shared = [commit(1, "a", key="ka"), commit(2, "b")]
    for replica in (old, new):
        for c in shared:
            replica.log.append(c)
            replica.apply(c)
    lost = commit(3, "lost", key="kl")
    old.log.append(lost)
    old.apply(lost)
    old.position = 9
    old.received = 9
    common_prefix = new.common_prefix(old.log_positions())
    assert common_prefix == 2
    assert old.log_positions()[-1] == LogPosition(1, 3)
    old.follow(common_prefix, [EpochStart(1, 0), EpochStart(2, 2)])
    assert ids(old.store) == ["a", "b"]
    assert set(old.executed_writes) == {"ka"}
    assert old.epoch == 2
    assert old.position <= 2
    assert old.received <= 2
    old.append([commit(5, "c", epoch=2)], 20)
    assert (len(old.log), old.received) == (3, 20)


@pytest.mark.usefixtures("autojump_clock")
async def test_warming_endpoint_fails_only_under_more_work_than_it_bears() -> None:
    def create() -> tuple[CapacityModel, list[bool]]:
        fell: list[bool] = []
        settings = EndpointSettings(2, 5, 1, 1, 0.2, 6_000_000, 2.0, 2_000_000)
        model = CapacityModel(clock, random.Random(1), settings, lambda: fell.append(True))
        model.started_us = clock.now_us()
        return model, fell

    clock = Clock(0)
    await trio.sleep(1)
    cold, fell = create()
    for _ in range(15):  # 1.5 s of work in 2 s; 2 x 0.2 x 2 cores x 2 s = 1.6 s is borne
        cold.offer(100_000)
    assert not fell
    for _ in range(3):
        cold.offer(100_000)
    assert fell
    warm, fell = create()
    await trio.sleep(6.1)
    for _ in range(1000):
        warm.offer(100_000)
    assert not fell
    assert warm.capacity() == 2.0


@pytest.mark.usefixtures("autojump_clock")
async def test_full_queue_rejects_and_a_cancelled_wait_releases_its_place() -> None:
    settings = EndpointSettings(1, 1, 1, 1, 0.2, 1, 2.0, 1)
    machine = CapacityModel(Clock(0), random.Random(1), settings, lambda: None)
    async with trio.open_nursery() as nursery:

        async def busy() -> None:
            async with machine.core():
                await trio.sleep(1)

        nursery.start_soon(busy)
        await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(0.5):
            nursery.start_soon(busy)
            await trio.testing.wait_all_tasks_blocked()
            assert (machine.in_flight, machine.queued) == (2, 1)
            with pytest.raises(QueueFullError):
                async with machine.core():
                    pass
    assert (machine.in_flight, machine.queued) == (0, 0)


def test_script_is_parsed_into_settings_and_steps() -> None:
    day = parse("groups 2\nlast 5s # short\n\nat 3s kill g0/primary back 2s\nat 1s for 500ms lose g1/0 25%\n")
    assert (day["groups"], day["last"], day["members"]) == (2, 5_000_000, 4)
    first, second = day.steps
    assert (first.fault, first.value, first.for_us) == ("lose", 0.25, 500_000)
    assert (second.fault, second.value, second.target) == ("kill", 2_000_000.0, "g0/primary")


@pytest.mark.parametrize(
    "line",
    [
        "members many",
        "at",
        "at noon kill g0/0",
        "at 1s explode g0",
        "at 1s hang g0/0",
        "at 1s for 1s kill g0/0",
        "at 1s for 1s lose g0/0",
        "at 1s for 1s lose g0/0 200%",
        "at 1s kill g0/0 back",
        "at 1s kill g0/0 back 2s more",
        "at 1s for 1s slow g0/0 nan",
        "'",
    ],
)
def test_every_bad_line_of_a_script_is_reported(line: str) -> None:
    with pytest.raises(ScriptError) as error:
        parse(f"groups 3\n{line}\nflavour 1")
    assert "line 2" in str(error.value)
    assert "line 3" in str(error.value)


def test_groups_in_separate_processes_form_one_fleet(tmp_path: Path) -> None:
    """Both parts publish to one endpoint list; a fault reaches the part whose group it names."""
    script = tmp_path / "day"
    script.write_text("groups 2\nmembers 2\nlist-delay 10ms\nlast 60s\nat 100ms kill g1/1\n")
    command = [sys.executable, "-m", "juniperreel.cli.main", "standins", str(script), "--processes", "2"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            port = int(process.stdout.readline().rpartition(":")[2])
            ask = hosts_pb2.FetchRequest(edge="e").SerializeToString()
            with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
                call = channel.unary_unary("/juniperreel.hosts.v1.Hosts/Fetch")
                end = time.monotonic() + 30
                while True:
                    reply = call(ask, timeout=10, wait_for_ready=True)
                    hosts = hosts_pb2.FetchResponse.FromString(reply).hosts
                    if {h.id for h in hosts} == {"g0-m0", "g0-m1", "g1-m0", "g1-m1"}:
                        break
                    assert time.monotonic() < end
            ports = {h.id: h.port for h in hosts}
            assert len(set(ports.values())) == 4
            report = "/juniperreel.member.v1.Member/Report"
            for name, port in ports.items():
                with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
                    ask_member = channel.unary_unary(report)
                    end = time.monotonic() + 30
                    alive = True
                    while name == "g1-m1" and alive and time.monotonic() < end:
                        try:
                            ask_member(b"", timeout=1)
                        except grpc.RpcError:
                            alive = False
                    if name != "g1-m1":
                        ask_member(b"", timeout=10)
                    assert alive == (name != "g1-m1")
        finally:
            process.terminate()


async def test_endpoint_that_has_joined_without_data_is_not_promoted() -> None:
    """The others hang: a group whose newest endpoint took over would have forgotten its commits."""
    clock = Clock()
    fleet = Fleet(parse("groups 1\nmembers 3\n"), TcpNetwork(), clock, Recorder())
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        (group,) = fleet.groups
        with trio.fail_after(20):
            while not all(endpoint.replica.received for endpoint in group.endpoints):
                await trio.sleep(0.01)
        first = list(group.endpoints)
        for endpoint in first:
            endpoint.faults.hung = True
        joined = await fleet.add_endpoint(group, warming_up=True)
        with trio.move_on_after(0.3):
            await group.elect()
        assert not joined.claims_primary
        for endpoint in first:
            endpoint.resume()
        with trio.fail_after(20):
            assert await group.elect() in first
        nursery.cancel_scope.cancel()
