"""An edge that learns of endpoints from instances of the configuration, each a process of its own."""

from __future__ import annotations

import json
import random
import signal
import subprocess
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.raft.client import CALL_FAILURES, ConfigurationClient
from juniperreel.raft.configuration.commands import (
    Command,
    ConfigurationChange,
    SetGroup,
    SetMember,
    SetState,
)
from juniperreel.raft.configuration.model import GroupInfo, MemberInfo
from juniperreel.rpc.channel import Channel
from juniperreel.rpc.limits import Limits
from juniperreel.verification.records import AttemptReceived, Recorder
from tests.cli.test_commands import COMMAND
from tests.cli.test_configd import ThreeInstanceCluster
from tests.e2e.environment import EDGE_SETTINGS, EXECUTE, SCRIPT

START_TIMEOUT_S = 30.0
CHANGE_BOUND_S = 3.0  # until every instance has applied a change, from when it follows a leader
DRAIN_GRACE_S = 2.0  # `drain-grace` of EDGE_SETTINGS
OBSERVED_S = 2.0  # after the grace
DRAINED = "g0-m1"
READERS = 4


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ThreeInstanceCluster]:
    cluster = ThreeInstanceCluster(tmp_path)
    yield cluster
    cluster.stop()


class EdgeProcess:
    """An edge that watches the configuration on one instance only."""

    def __init__(self, folder: Path, instance_port: int) -> None:
        text = EDGE_SETTINGS.replace("source 127.0.0.1:{hosts}", f"instance 127.0.0.1:{instance_port}")
        (folder / "edge.conf").write_text(text)
        self._log = folder / "edge.log"
        with self._log.open("w") as log:
            self._process = subprocess.Popen([*COMMAND, "edge", str(folder / "edge.conf")], stderr=log)

    def port(self) -> int | None:
        """The port, or None before the edge serves."""
        for line in self._log.read_text().splitlines():
            if '"serving"' in line:
                return int(json.loads(line)["listen"].rpartition(":")[2])
        return None

    def stop(self) -> None:
        self._process.kill()
        self._process.wait(10)


class ConfiguredFleet:
    """Fake endpoints in this process, and the commands that put them into the configuration."""

    def __init__(self, cluster: ThreeInstanceCluster) -> None:
        self.clock = Clock()
        self.network = TcpNetwork()
        self.recorder = Recorder()
        self.fleet = Fleet(parse(SCRIPT), self.network, self.clock, self.recorder)
        self._addresses = [("127.0.0.1", port) for port in cluster.ports]
        self.client = ConfigurationClient(self.network, self.clock, random.Random(1), self._addresses)
        self._sequence = 0

    async def propose(self, *changes: ConfigurationChange) -> None:
        self._sequence += 1
        outcome = await self.client.propose(Command("test", self._sequence, list(changes)), attempts=100)
        assert not outcome.rejection, outcome.rejection

    async def add_endpoints(self) -> None:
        members: list[ConfigurationChange] = [
            SetMember(
                name,
                MemberInfo(0, "127.0.0.1", endpoint.port, started_us=endpoint.capacity.started_us),
            )
            for name, endpoint in self.fleet.endpoints.items()
        ]
        primary = self.fleet.groups[0].primary
        assert primary is not None
        await self.propose(SetGroup(0, GroupInfo(1, primary.name)), *members)

    async def statuses(self) -> dict[int, Any]:
        """The status of each instance that answers, by number."""
        statuses = {}
        for number, address in enumerate(self._addresses):
            try:
                statuses[number] = await self.client.status(address)
            except (*CALL_FAILURES, trio.TooSlowError):
                continue
        return statuses

    async def follower(self) -> int:
        """The number of an instance that follows a leader and has its last entry."""
        while True:
            statuses = await self.statuses()
            leaders = {status.name: status for status in statuses.values() if status.role == "leader"}
            for number, status in statuses.items():
                leader = leaders.get(status.leader)
                if leader is not None and leader is not status and leader.applied == status.applied:
                    return number
            await trio.sleep(0.05)

    async def wait_until_following(self, number: int) -> None:
        """Wait until a restarted instance follows a leader."""
        while not (number in (statuses := await self.statuses()) and statuses[number].leader):
            await trio.sleep(0.05)

    def arrivals(self, endpoint: str, since_us: int) -> int:
        """The number of attempts that an endpoint received since a time."""
        return sum(
            isinstance(record, AttemptReceived) and record.endpoint == endpoint and record.at >= since_us
            for record in self.recorder.records
        )


def read_request(number: int) -> bytes:
    request = records_pb2.ExecuteRequest(
        statement=f"select id from runs where runner = ? /* rid r{number} */".encode(), session="s"
    )
    setattr(request, "class", "board")
    request.parameters.append(values_pb2.Value(text=f"runner{number}"))
    serialized: bytes = request.SerializeToString()
    return serialized


async def read_repeatedly(channel: Channel, on_served: Callable[[], None]) -> None:
    number = 0
    while True:
        number += 1
        try:
            await channel.unary(EXECUTE, read_request(number), timeout_us=5 * US)
        except CALL_FAILURES:
            await trio.sleep(0.05)
        else:
            on_served()


async def test_edge_leaves_an_endpoint_that_was_drained_while_its_instance_was_down(
    cluster: ThreeInstanceCluster, tmp_path: Path, nursery: trio.Nursery
) -> None:
    """Guards against an instance that misses a change while it restarts and is not told of it afterwards."""
    configured = ConfiguredFleet(cluster)
    await nursery.start(configured.fleet.run)
    await nursery.start(configured.client.run)
    with trio.fail_after(START_TIMEOUT_S):
        await configured.add_endpoints()
        number = await configured.follower()
    edge = EdgeProcess(tmp_path, cluster.ports[number])
    served = 0

    def count_served() -> None:
        nonlocal served
        served += 1

    try:
        with trio.fail_after(START_TIMEOUT_S):
            while (port := edge.port()) is None:
                await trio.sleep(0.05)
            channel = Channel(
                configured.network, configured.clock, "127.0.0.1", port, Limits(), random.Random(1)
            )
            await nursery.start(channel.run)
            for _ in range(READERS):
                nursery.start_soon(read_repeatedly, channel, count_served)
            while not configured.arrivals(DRAINED, 0):
                await trio.sleep(0.05)
        cluster.processes[number].send_signal(signal.SIGKILL)
        cluster.processes[number].wait(10)
        with trio.fail_after(START_TIMEOUT_S):
            await configured.propose(SetState(DRAINED, "draining"))
            cluster.start(number)
            await configured.wait_until_following(number)
        await trio.sleep(CHANGE_BOUND_S + DRAIN_GRACE_S)
        due_us = configured.clock.now_us()
        served_when_due = served
        await trio.sleep(OBSERVED_S)
        assert configured.arrivals(DRAINED, due_us) == 0
        assert served > served_when_due
    finally:
        edge.stop()
