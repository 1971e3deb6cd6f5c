"""The fakes behave as the tests that use them expect."""

from __future__ import annotations

import os
import random
import signal
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


def test_follower_truncates_entries_that_its_primary_does_not_have() -> None:
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
async def test_warming_endpoint_fails_only_above_its_overload_threshold() -> None:
    def create() -> tuple[CapacityModel, list[bool]]:
        failures: list[bool] = []
        settings = EndpointSettings(2, 5, 1, 1, 0.2, 6_000_000, 2.0, 2_000_000)
        model = CapacityModel(clock, random.Random(1), settings, lambda: failures.append(True))
        model.started_us = clock.now_us()
        return model, failures

    clock = Clock(0)
    await trio.sleep(1)
    warming, failures = create()
    for _ in range(15):  # 1.5 s of work in 2 s; 2 x 0.2 x 2 cores x 2 s = 1.6 s are allowed
        warming.offer(100_000)
    assert not failures
    for _ in range(3):
        warming.offer(100_000)
    assert failures
    warm, failures = create()
    await trio.sleep(6.1)
    for _ in range(1000):
        warm.offer(100_000)
    assert not failures
    assert warm.capacity() == 2.0


@pytest.mark.usefixtures("autojump_clock")
async def test_full_queue_rejects_and_cancelled_wait_frees_its_slot() -> None:
    settings = EndpointSettings(1, 1, 1, 1, 0.2, 1, 2.0, 1)
    model = CapacityModel(Clock(0), random.Random(1), settings, lambda: None)
    async with trio.open_nursery() as nursery:

        async def busy() -> None:
            async with model.core():
                await trio.sleep(1)

        nursery.start_soon(busy)
        await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(0.5):
            nursery.start_soon(busy)
            await trio.testing.wait_all_tasks_blocked()
            assert (model.in_flight, model.queued) == (2, 1)
            with pytest.raises(QueueFullError):
                async with model.core():
                    pass
    assert (model.in_flight, model.queued) == (0, 0)


def test_script_is_parsed_into_settings_and_steps() -> None:
    script = parse(
        "groups 2\nlast 5s # short\n\nat 3s kill g0/primary back 2s\nat 1s for 500ms lose g1/0 25%\n"
    )
    assert (script["groups"], script["last"], script["members"]) == (2, 5_000_000, 4)
    first, second = script.steps
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
    """Both parts publish to one endpoint list; a fault is injected in the part that runs its group."""
    script = tmp_path / "script"
    script.write_text("groups 2\nmembers 2\nlist-delay 10ms\nlast 60s\nat 100ms kill g1/1\n")
    command = [sys.executable, "-m", "juniperreel.cli.main", "standins", str(script), "--processes", "2"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            assert process.stdout is not None
            port = int(process.stdout.readline().rpartition(":")[2])
            fetch_request = hosts_pb2.FetchRequest(edge="e").SerializeToString()
            with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
                call = channel.unary_unary("/juniperreel.hosts.v1.Hosts/Fetch")
                end = time.monotonic() + 30
                while True:
                    reply = call(fetch_request, timeout=10, wait_for_ready=True)
                    hosts = hosts_pb2.FetchResponse.FromString(reply).hosts
                    if {h.id for h in hosts} == {"g0-m0", "g0-m1", "g1-m0", "g1-m1"}:
                        break
                    assert time.monotonic() < end
            ports = {h.id: h.port for h in hosts}
            assert len(set(ports.values())) == 4
            report = "/juniperreel.member.v1.Member/Report"
            for name, port in ports.items():
                with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
                    request_report = channel.unary_unary(report)
                    end = time.monotonic() + 30
                    alive = True
                    while name == "g1-m1" and alive and time.monotonic() < end:
                        try:
                            request_report(b"", timeout=1)
                        except grpc.RpcError:
                            alive = False
                    if name != "g1-m1":
                        request_report(b"", timeout=10)
                    assert alive == (name != "g1-m1")
        finally:
            process.terminate()


def child_pids(pid: int) -> list[int]:
    by_thread = [file.read_text().split() for file in Path(f"/proc/{pid}/task").glob("*/children")]
    return [int(child) for children in by_thread for child in children]


def is_running(pid: int) -> bool:
    """Whether a process exists and is not a zombie."""
    try:
        return " Z " not in Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False


def wait_for_primaries(port: int, count: int) -> None:
    """Wait until the endpoint list names the primaries, after which the parts publish nothing more."""
    fetch_request = hosts_pb2.FetchRequest(edge="e").SerializeToString()
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary("/juniperreel.hosts.v1.Hosts/Fetch")
        end = time.monotonic() + 30
        while time.monotonic() < end:
            reply = call(fetch_request, timeout=10, wait_for_ready=True)
            if sum(host.primary for host in hosts_pb2.FetchResponse.FromString(reply).hosts) == count:
                return
            time.sleep(0.05)
    pytest.fail("no primaries were listed")


def test_terminated_stand_ins_leave_no_process_behind(tmp_path: Path) -> None:
    """Guards against parts that nothing ends, as they write nothing that would fail without their parent."""
    script = tmp_path / "script"
    script.write_text("groups 2\nmembers 1\nlist-delay 10ms\nprimary-delay 10ms\nlast 60s\n")
    command = [sys.executable, "-m", "juniperreel.cli.main", "standins", str(script), "--processes", "2"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        wait_for_primaries(int(process.stdout.readline().rpartition(":")[2]), 2)
        children = child_pids(process.pid)
        process.terminate()
        process.wait(30)
    assert len(children) == 2
    end = time.monotonic() + 10
    while any(map(is_running, children)) and time.monotonic() < end:
        time.sleep(0.02)
    left = [pid for pid in children if is_running(pid)]
    for pid in left:
        os.kill(pid, signal.SIGKILL)
    assert left == []


async def test_endpoint_that_has_joined_without_data_is_not_promoted() -> None:
    """While all others hang, promoting the new endpoint would lose the group's commits."""
    clock = Clock()
    fleet = Fleet(parse("groups 1\nmembers 3\n"), TcpNetwork(), clock, Recorder())
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        (group,) = fleet.groups
        with trio.fail_after(20):
            while not all(endpoint.replica.received for endpoint in group.endpoints):
                await trio.sleep(0.01)
        original = list(group.endpoints)
        for endpoint in original:
            endpoint.faults.hung = True
        joined = await fleet.add_endpoint(group, warming_up=True)
        with trio.move_on_after(0.3):
            await group.elect()
        assert not joined.claims_primary
        for endpoint in original:
            endpoint.resume()
        with trio.fail_after(20):
            assert await group.elect() in original
        nursery.cancel_scope.cancel()
