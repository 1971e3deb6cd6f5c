"""A demo day: fakes and clients in this process, edges as processes of their own, and a recording."""

from __future__ import annotations

import json
import os
import random
import secrets
import signal
import subprocess
import sys
from dataclasses import dataclass, replace
from pathlib import Path

import trio

from juniperreel.cli.configuration_cluster import ConfigurationCluster
from juniperreel.cli.demo_settings import (
    CAPACITY_SHARES,
    DRAIN_GRACE_US,
    MAX_ATTEMPTS,
    MYSQL_TENANT,
    MYSQL_USER,
    EdgeParameters,
    edge_settings,
    mix_of,
)
from juniperreel.cli.promotion_source import PromotionSource
from juniperreel.fakes.client_population import ClientPopulation
from juniperreel.fakes.client_session import EdgeAddress, MysqlTraffic
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.mysql_server import PASSWORD as MEMBER_PASSWORD
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.verification import records as rec

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0  # of all edges and instances together
EDGE_STOP_TIMEOUT_S = 3.0
SETTLE_S = 1.0  # for edges to learn of all members before clients come
PASSWORD = b"of the board's app servers"


@dataclass(frozen=True, slots=True)
class EnvironmentOptions:
    """How a day is played.

    `careless`: by edges that pick members at random and retry blindly, in place of the program's own; `raft`:
    edges learn of members from a configuration cluster in place of the late host list; `code`: another tree
    whose edges are played.
    """

    careless: bool = False
    raft: bool = False
    code: Path | None = None


@dataclass(slots=True)
class EdgeProcess:
    """An edge and, once it has been started, its process. Ports are 0 until it listens."""

    name: str
    number: int
    port: int = 0
    mysql_port: int = 0
    process: trio.Process | None = None

    @property
    def running_process(self) -> trio.Process | None:
        """Its process, None if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return None
        return self.process


class Environment:
    """Everything around the edges of one day; `run` plays the day and leaves its records in the recorder.

    `population` is None until the edges are ready for clients.
    """

    def __init__(
        self, day: Script, folder: Path, recorder: rec.Recorder, options: EnvironmentOptions
    ) -> None:
        """`folder` keeps keys, settings and logs."""
        self.record = recorder
        self.population: ClientPopulation | None = None
        self._day = day
        self._folder = folder
        self._options = options
        self._clock = Clock()
        self._network = TcpNetwork()
        self.fleet = Fleet(day, self._network, self._clock, recorder)
        self._edges = [EdgeProcess(f"edge{number}", number) for number in range(day["edges"])]
        self._cluster = ConfigurationCluster(folder, self._network) if options.raft else None
        self._nursery: trio.Nursery | None = None
        (folder / "app.password").write_bytes(PASSWORD)
        (folder / "member.password").write_bytes(MEMBER_PASSWORD)
        (folder / "token.key").write_bytes(secrets.token_hex(32).encode())

    async def run(self) -> None:
        """Play the day. Raises trio.TooSlowError where an edge or the cluster does not start."""
        self._record_rules()
        async with trio.open_nursery() as self._nursery:
            try:
                await self._nursery.start(self.fleet.run)
                if self._cluster is not None:
                    await self._start_cluster(self._cluster, self._nursery)
                for edge in self._edges:
                    await self._start_edge(edge)
                await trio.sleep(SETTLE_S)
                self.population = self._make_population()
                async with trio.open_nursery() as faults:
                    faults.start_soon(self.fleet.play, self._play_edge_fault)
                    await self.population.run(float(self._day["rate"]), self._day["last"])
                    faults.cancel_scope.cancel()
            finally:
                with trio.CancelScope(shield=True, deadline=trio.current_time() + STOP_TIMEOUT_S):
                    await self._stop_edges()
                    if self._cluster is not None:
                        await self._cluster.stop()
            self._nursery.cancel_scope.cancel()

    def _record_rules(self) -> None:
        """Record the classes and limits that the day is judged by."""
        now_us = self._clock.now_us()
        for mix in mix_of(self._day):
            self.record(mix.request_class)
        self.record(self.fleet.settings.limits(now_us, DRAIN_GRACE_US, MAX_ATTEMPTS))

    def _make_population(self) -> ClientPopulation:
        return ClientPopulation(
            self._network,
            self._clock,
            self.record,
            random.Random(self._day["seed"]),
            mix_of(self._day),
            CAPACITY_SHARES,
            self._day["groups"],
            self._day["sessions"],
            self._day["retries"],
            [EdgeAddress(edge.name, edge.port) for edge in self._edges],
            self._mysql_clients(),
        )

    def _mysql_clients(self) -> MysqlTraffic | None:
        """What clients over MySQL do; None where the day has none or the edges do not offer it."""
        ports = [edge.mysql_port for edge in self._edges]
        if not self._day["mysql"] or not all(ports):
            return None
        part = self._day["mysql"] / 100
        clients = MysqlTraffic(ports, part, MYSQL_USER, PASSWORD, MYSQL_TENANT, "own-read", "run-write")
        return replace(clients, transaction_part=self._day["transactions"] / 100)

    async def _start_cluster(self, cluster: ConfigurationCluster, nursery: trio.Nursery) -> None:
        await cluster.start(secrets.token_hex(32).encode())
        names = [edge.name for edge in self._edges]
        source = PromotionSource(
            self.fleet, self._network, self._clock, cluster.addresses(), self.record, lambda: names
        )
        nursery.start_soon(source.run)
        with trio.fail_after(START_TIMEOUT_S):
            await source.ready.wait()

    async def _start_edge(self, edge: EdgeProcess) -> None:
        """Start the edge's process and wait until it serves. Raises trio.TooSlowError."""
        assert self._nursery is not None
        edge.process = await trio.lowlevel.open_process(
            self._edge_command(edge), stderr=subprocess.PIPE, cwd=self._options.code
        )
        serving = trio.Event()
        self._nursery.start_soon(self._follow_log, edge, edge.process, serving)
        with trio.fail_after(START_TIMEOUT_S):
            await serving.wait()
        self.record(rec.EdgeUp(self._clock.now_us(), edge.name))

    def _edge_command(self, edge: EdgeProcess) -> list[str]:
        parameters = EdgeParameters(
            edge.name, edge.number, edge.port, edge.mysql_port, self._member_sources()
        )
        settings = self._folder / f"{edge.name}.conf"
        settings.write_text(edge_settings(self._day, parameters), encoding="utf-8")
        if self._options.careless:
            hosts = str(self.fleet.endpoint_list.port)
            return [sys.executable, "-m", "juniperreel.fakes.naive_proxy", edge.name, str(edge.port), hosts]
        return [sys.executable, "-m", "juniperreel.cli.main", "edge", str(settings)]

    def _member_sources(self) -> str:
        if self._cluster is None:
            return f"source 127.0.0.1:{self.fleet.endpoint_list.port}"
        return "\n".join(f"instance 127.0.0.1:{port}" for port in self._cluster.ports)

    async def _follow_log(self, edge: EdgeProcess, process: trio.Process, serving: trio.Event) -> None:
        """Copy the edge's log to its file, and learn from it where the edge listens."""
        assert process.stderr is not None
        incomplete = b""
        with (self._folder / f"{edge.name}.log").open("ab") as log:
            async for chunk in process.stderr:
                log.write(chunk)
                log.flush()
                *lines, incomplete = (incomplete + chunk).split(b"\n")
                for line in lines:
                    if b'"serving"' in line and not serving.is_set():
                        event = json.loads(line)
                        edge.port = port_of(event["listen"])
                        edge.mysql_port = port_of(event.get("mysql") or ":0")
                        serving.set()

    async def _play_edge_fault(self, step: Step) -> None:
        """Play a fault of an edge or of an instance of the configuration, to its end."""
        number = int(step.target.partition("/")[2])
        if step.fault == "instance-kill":
            if self._cluster is not None:
                await self._cluster.kill(number, step.value)
            return
        edge = self._edges[number]
        process = edge.running_process
        if process is None:
            return
        if step.fault == "edge-kill":
            await self._kill_edge(edge, process, step.value)
        else:
            await self._stall_edge(edge, process, step.for_us)

    async def _kill_edge(self, edge: EdgeProcess, process: trio.Process, restart_after_us: float) -> None:
        self.record(rec.EdgeDown(self._clock.now_us(), edge.name))
        process.kill()
        await process.wait()
        if restart_after_us:
            await trio.sleep(restart_after_us / US)
            await self._start_edge(edge)

    async def _stall_edge(self, edge: EdgeProcess, process: trio.Process, duration_us: int) -> None:
        start_us = self._clock.now_us()
        os.kill(process.pid, signal.SIGSTOP)
        await trio.sleep(duration_us / US)
        os.kill(process.pid, signal.SIGCONT)
        self.record(rec.EdgeStalled(start_us, edge.name, self._clock.now_us()))

    async def _stop_edges(self) -> None:
        for edge in self._edges:
            process = edge.running_process
            if process is not None:
                self.record(rec.EdgeDown(self._clock.now_us(), edge.name))
                os.kill(process.pid, signal.SIGCONT)
                process.terminate()
        for edge in self._edges:
            if edge.process is not None:
                with trio.move_on_after(EDGE_STOP_TIMEOUT_S):
                    await edge.process.wait()
                if edge.process.poll() is None:
                    edge.process.kill()


def port_of(address: str) -> int:
    """The port of an address `host:port`."""
    return int(address.rpartition(":")[2])
