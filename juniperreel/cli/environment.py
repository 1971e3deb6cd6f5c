"""The environment of a demo: fakes and clients in this process, one process per edge, and a recording."""

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
    traffic_classes,
)
from juniperreel.cli.promotion_source import ConfigurationPublisher
from juniperreel.fakes.client_population import ClientPopulation
from juniperreel.fakes.client_session import EdgeAddress, MysqlTraffic
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.mysql_server import PASSWORD as MEMBER_PASSWORD
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.verification import records as rec

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0  # for all edges and instances together
EDGE_STOP_TIMEOUT_S = 3.0
DISCOVERY_SETTLE_S = 1.0  # time for edges to discover all endpoints before clients start
PASSWORD = b"of the board's app servers"


@dataclass(frozen=True, slots=True)
class EnvironmentOptions:
    """How a script is run.

    `naive_proxy`: against naive proxies, which select endpoints at random and retry unconditionally, in place
    of the project's edges; `use_raft`: edges learn of endpoints from a configuration cluster in place of the
    delayed endpoint list; `source_tree`: run the edges of another source tree.
    """

    naive_proxy: bool = False
    use_raft: bool = False
    source_tree: Path | None = None


@dataclass(slots=True)
class EdgeProcess:
    """An edge and, once started, its process. Ports are 0 until it listens."""

    name: str
    number: int
    port: int = 0
    mysql_port: int = 0
    process: trio.Process | None = None

    @property
    def running_process(self) -> trio.Process | None:
        """The edge's process, or None if it is not running."""
        if self.process is None or self.process.poll() is not None:
            return None
        return self.process


class Environment:
    """The edges of one run and everything around them; `run` runs the script and records its events.

    `population` is None until the edges are ready for clients.
    """

    def __init__(
        self, script: Script, folder: Path, recorder: rec.Recorder, options: EnvironmentOptions
    ) -> None:
        """`folder` receives keys, settings and logs."""
        self.recorder = recorder
        self.population: ClientPopulation | None = None
        self._script = script
        self._folder = folder
        self._options = options
        self._clock = Clock()
        self._network = TcpNetwork()
        self.fleet = Fleet(script, self._network, self._clock, recorder)
        self._edges = [EdgeProcess(f"edge{number}", number) for number in range(script["edges"])]
        self._cluster = ConfigurationCluster(folder, self._network) if options.use_raft else None
        self._nursery: trio.Nursery | None = None
        (folder / "app.password").write_bytes(PASSWORD)
        (folder / "member.password").write_bytes(MEMBER_PASSWORD)
        (folder / "token.key").write_bytes(secrets.token_hex(32).encode())

    async def run(self) -> None:
        """Run the script. Raises trio.TooSlowError if an edge or the cluster does not start in time."""
        self._record_rule_parameters()
        async with trio.open_nursery() as self._nursery:
            try:
                await self._nursery.start(self.fleet.run)
                if self._cluster is not None:
                    await self._start_cluster(self._cluster, self._nursery)
                for edge in self._edges:
                    await self._start_edge(edge)
                await trio.sleep(DISCOVERY_SETTLE_S)
                self.population = self._make_population()
                async with trio.open_nursery() as fault_nursery:
                    fault_nursery.start_soon(self.fleet.play, self._inject_edge_fault)
                    await self.population.run(float(self._script["rate"]), self._script["last"])
                    fault_nursery.cancel_scope.cancel()
            finally:
                with trio.CancelScope(shield=True, deadline=trio.current_time() + STOP_TIMEOUT_S):
                    await self._stop_edges()
                    if self._cluster is not None:
                        await self._cluster.stop()
            self._nursery.cancel_scope.cancel()

    def _record_rule_parameters(self) -> None:
        """Record the request classes and limits that the rules are checked against."""
        now_us = self._clock.now_us()
        for traffic_class in traffic_classes(self._script):
            self.recorder(traffic_class.request_class)
        self.recorder(self.fleet.settings.limits(now_us, DRAIN_GRACE_US, MAX_ATTEMPTS))

    def _make_population(self) -> ClientPopulation:
        return ClientPopulation(
            self._network,
            self._clock,
            self.recorder,
            random.Random(self._script["seed"]),
            traffic_classes(self._script),
            CAPACITY_SHARES,
            self._script["groups"],
            self._script["sessions"],
            self._script["retries"],
            [EdgeAddress(edge.name, edge.port) for edge in self._edges],
            self._mysql_traffic(),
        )

    def _mysql_traffic(self) -> MysqlTraffic | None:
        """Return the MySQL clients' traffic, or None if the script has none or an edge has no MySQL port."""
        ports = [edge.mysql_port for edge in self._edges]
        if not self._script["mysql"] or not all(ports):
            return None
        mysql_share = self._script["mysql"] / 100
        traffic = MysqlTraffic(
            ports, mysql_share, MYSQL_USER, PASSWORD, MYSQL_TENANT, "own-read", "run-write"
        )
        return replace(traffic, transaction_part=self._script["transactions"] / 100)

    async def _start_cluster(self, cluster: ConfigurationCluster, nursery: trio.Nursery) -> None:
        await cluster.start(secrets.token_hex(32).encode())
        edge_names = [edge.name for edge in self._edges]
        publisher = ConfigurationPublisher(
            self.fleet, self._network, self._clock, cluster.addresses(), self.recorder, lambda: edge_names
        )
        nursery.start_soon(publisher.run)
        with trio.fail_after(START_TIMEOUT_S):
            await publisher.ready.wait()

    async def _start_edge(self, edge: EdgeProcess) -> None:
        """Start an edge's process and wait until it serves. Raises trio.TooSlowError."""
        assert self._nursery is not None
        edge.process = await trio.lowlevel.open_process(
            self._edge_command(edge), stderr=subprocess.PIPE, cwd=self._options.source_tree
        )
        serving = trio.Event()
        self._nursery.start_soon(self._read_log, edge, edge.process, serving)
        with trio.fail_after(START_TIMEOUT_S):
            await serving.wait()
        self.recorder(rec.EdgeUp(self._clock.now_us(), edge.name))

    def _edge_command(self, edge: EdgeProcess) -> list[str]:
        parameters = EdgeParameters(
            edge.name, edge.number, edge.port, edge.mysql_port, self._endpoint_sources()
        )
        settings = self._folder / f"{edge.name}.conf"
        settings.write_text(edge_settings(self._script, parameters), encoding="utf-8")
        if self._options.naive_proxy:
            list_port = str(self.fleet.endpoint_list.port)
            return [
                sys.executable,
                "-m",
                "juniperreel.fakes.naive_proxy",
                edge.name,
                str(edge.port),
                list_port,
            ]
        return [sys.executable, "-m", "juniperreel.cli.main", "edge", str(settings)]

    def _endpoint_sources(self) -> str:
        if self._cluster is None:
            return f"source 127.0.0.1:{self.fleet.endpoint_list.port}"
        return "\n".join(f"instance 127.0.0.1:{port}" for port in self._cluster.ports)

    async def _read_log(self, edge: EdgeProcess, process: trio.Process, serving: trio.Event) -> None:
        """Copy an edge's log to its file, and take the edge's ports from the `serving` event."""
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
                        edge.port = parse_port(event["listen"])
                        edge.mysql_port = parse_port(event.get("mysql") or ":0")
                        serving.set()

    async def _inject_edge_fault(self, step: Step) -> None:
        """Inject a fault of an edge or a configuration instance and wait until it ends."""
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
        self.recorder(rec.EdgeDown(self._clock.now_us(), edge.name))
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
        self.recorder(rec.EdgeStalled(start_us, edge.name, self._clock.now_us()))

    async def _stop_edges(self) -> None:
        for edge in self._edges:
            process = edge.running_process
            if process is not None:
                self.recorder(rec.EdgeDown(self._clock.now_us(), edge.name))
                os.kill(process.pid, signal.SIGCONT)
                process.terminate()
        for edge in self._edges:
            if edge.process is not None:
                with trio.move_on_after(EDGE_STOP_TIMEOUT_S):
                    await edge.process.wait()
                if edge.process.poll() is None:
                    edge.process.kill()


def parse_port(address: str) -> int:
    """Return the port of a `host:port` address."""
    return int(address.rpartition(":")[2])
