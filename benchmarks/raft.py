"""Measures proposal rate, commit latency, recovery and fan-out of a configuration cluster.

Each instance is a process of its own on loopback, and syncs every write to disk. With --baseline, the
proposal rate is also measured of instances of another source tree, such as a git worktree of an earlier
build, in turns with this one.

    .venv/bin/python benchmarks/raft.py [--seconds 4] [--in-flight 16] [--rounds 3] [--baseline DIR]
"""

from __future__ import annotations

import argparse
import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import numpy as np
import trio

sys.path.insert(0, str(Path(__file__).parent.parent))

from juniperreel.net import Clock, TcpNetwork
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration import model
from juniperreel.raft.configuration.commands import Command, SetLimit, encode_command
from juniperreel.raft.configuration.state_machine import ConfigurationStateMachine
from juniperreel.raft.core import RaftCore
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Membership

ROOT = Path(__file__).resolve().parent.parent
CLUSTER_SIZES = (1, 3, 5)
PROPOSALS_PER_WRITE = 500
RECOVERY_ENTRIES = (1_000, 10_000, 50_000)
WATCHERS = 300
SETTINGS = """
[instance]
name {name}
cluster bench
directory {directory}
key cluster.key
tick 20ms
[cluster]
{members}
[log]
level error
"""


def find_free_ports(count: int) -> list[int]:
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    return ports


@contextlib.contextmanager
def run_cluster(count: int, directory: Path, source: Path = ROOT) -> Iterator[list[tuple[str, int]]]:
    """Run instances of the program in the source tree `source`; yields their addresses."""
    directory.mkdir()
    environment = {**os.environ, "PYTHONPATH": str(source)}
    (directory / "cluster.key").write_bytes(os.urandom(16).hex().encode())
    ports = find_free_ports(count)
    names = [f"c{n}@127.0.0.1:{port}" for n, port in enumerate(ports)]
    processes = []
    for n, name in enumerate(names):
        path = directory / f"c{n}.conf"
        path.write_text(
            SETTINGS.format(
                name=name, directory=f"d{n}", members="\n".join(f"member {member}" for member in names)
            )
        )
        command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(path), "--create"]
        processes.append(subprocess.Popen(command, cwd=source, env=environment))
    try:
        yield [("127.0.0.1", port) for port in ports]
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
            process.wait()


async def measure_proposals(
    addresses: list[tuple[str, int]], seconds: float, in_flight: int
) -> tuple[float, list[float]]:
    times: list[float] = []
    async with trio.open_nursery() as nursery:
        client = ConfigurationClient(TcpNetwork(), Clock(), random.Random(1), addresses)
        await nursery.start(client.run)
        await client.propose(Command("warm", 1, [SetLimit("attempts", 1)]), attempts=200)
        end = time.perf_counter() + seconds

        async def propose_repeatedly(name: str) -> None:
            n = 0
            while (start := time.perf_counter()) < end:
                n += 1
                await client.propose(Command(name, n, [SetLimit("attempts", 1 + n)]))
                times.append(time.perf_counter() - start)

        start = time.perf_counter()
        async with trio.open_nursery() as clients:
            for n in range(in_flight):
                clients.start_soon(propose_repeatedly, f"b{n}")
        duration = time.perf_counter() - start
        nursery.cancel_scope.cancel()
    return len(times) / duration, times


def print_rate(name: str, rate: float, times: list[float]) -> None:
    """`rate` is in proposals per second, `times` are their latencies in seconds."""
    p50, p99 = np.percentile(np.array(times) * 1000, [50, 99])
    print(f"{name}: {rate:6.0f} proposals per second, p50 {p50:6.1f} ms, p99 {p99:6.1f} ms", flush=True)


class SingleNode:
    """A cluster of one instance, without a network."""

    def __init__(self, path: Path) -> None:
        self.storage = Storage.create(path, "bench", "a", Membership(frozenset({"a"})))
        config = RaftConfig(max_uncommitted_bytes=1 << 30)
        self.core = RaftCore("a", self.storage.recover(), config, random.Random(1))
        self.state_machine = ConfigurationStateMachine()
        while not self.core.is_leader:
            self.core.tick()
        self.process_ready()

    def process_ready(self) -> None:
        while self.core.has_ready():
            ready = self.core.take_ready()
            self.storage.write(ready.persist)
            self.core.mark_persisted(ready)
            for entry in ready.committed_entries:
                if entry.data:
                    self.state_machine.apply(entry.data)

    def write_entries(self, count: int) -> None:
        for number in range(1, count + 1):
            self.core.propose(encode_command(Command("c", number, [SetLimit("attempts", number)])))
            if number % PROPOSALS_PER_WRITE == 0:
                self.process_ready()
        self.process_ready()

    def compact(self) -> None:
        self.core.compact(self.core.applied_index, self.state_machine.snapshot())
        self.process_ready()


def recover(path: Path) -> ConfigurationStateMachine:
    """Open a directory and apply the log in it."""
    storage = Storage.open(path, "bench", "a")
    recovered = storage.recover()
    state_machine = ConfigurationStateMachine()
    state_machine.restore(recovered.snapshot.data)
    for entry in recovered.entries:
        if entry.index > recovered.snapshot.index and entry.data:
            state_machine.apply(entry.data)
    storage.close()
    return state_machine


def measure_recovery(directory: Path, entries: int, with_snapshot: bool) -> None:
    """Measure the time to open a directory and apply its log, with or without a snapshot at the end."""
    path = directory / f"r{entries}{with_snapshot}"
    node = SingleNode(path)
    node.write_entries(entries)
    if with_snapshot:
        node.compact()
    node.storage.close()
    start = time.perf_counter()
    state_machine = recover(path)
    elapsed_ms = (time.perf_counter() - start) * 1000
    assert state_machine.current.limits["attempts"] == entries
    kind = "with a snapshot" if with_snapshot else "without a snapshot"
    print(f"recovery of {entries} entries {kind}: {elapsed_ms:.0f} ms", flush=True)


async def measure_fan_out(addresses: list[tuple[str, int]], watchers: int) -> None:
    arrived: dict[int, list[float]] = {}
    async with trio.open_nursery() as nursery:
        client = ConfigurationClient(TcpNetwork(), Clock(), random.Random(1), addresses)
        await nursery.start(client.run)
        await client.propose(Command("f", 1, [SetLimit("attempts", 1)]), attempts=200)

        def record_arrival(configuration: model.Configuration) -> None:
            arrived.setdefault(configuration.version, []).append(time.perf_counter())

        for n in range(watchers):
            watcher = ConfigurationClient(TcpNetwork(), Clock(), random.Random(n), addresses)
            await nursery.start(watcher.run)
            nursery.start_soon(watcher.watch, f"w{n}", model.EMPTY, record_arrival)
        while len(arrived.get(1, [])) < watchers:
            await trio.sleep(0.05)
        for turn in range(5):
            start = time.perf_counter()
            outcome = await client.propose(Command("f", 2 + turn, [SetLimit("attempts", 2 + turn)]))
            while len(arrived.get(outcome.version, [])) < watchers:
                await trio.sleep(0.005)
            delays = np.array(sorted(arrived[outcome.version])) - start
            print(
                f"{watchers} watchers, change {turn + 1}: p50 {np.percentile(delays, 50) * 1000:.0f} ms, "
                f"last {delays[-1] * 1000:.0f} ms after the proposal",
                flush=True,
            )
        nursery.cancel_scope.cancel()


def compare_proposal_rates(directory: Path, options: argparse.Namespace) -> None:
    """Print the proposal rates of this source tree, in turns with those of the baseline if there is one."""
    builds = {"this build": ROOT}
    if options.baseline is not None:
        builds["baseline"] = options.baseline.resolve()
    for count in CLUSTER_SIZES:
        rates: dict[str, list[float]] = {name: [] for name in builds}
        for turn in range(options.rounds):
            for name, source in builds.items():
                with run_cluster(count, directory / f"{name}-{count}-{turn}", source) as addresses:
                    rate, times = trio.run(measure_proposals, addresses, options.seconds, options.in_flight)
                print_rate(f"{count} instances, {name:10}", rate, times)
                rates[name].append(rate)
        if "baseline" in rates:
            ratio = np.median(rates["this build"]) / np.median(rates["baseline"])
            print(f"{count} instances: ratio {ratio:.2f} in proposals per second", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--in-flight", type=int, default=16)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--baseline", type=Path, default=None, help="source tree of another build")
    options = parser.parse_args()
    # The default directory for temporary files may be in memory, where syncing costs nothing.
    directory = Path(tempfile.mkdtemp(dir=Path(__file__).parent.parent / ".venv"))
    try:
        compare_proposal_rates(directory, options)
        for entries in RECOVERY_ENTRIES:
            for with_snapshot in (False, True):
                measure_recovery(directory, entries, with_snapshot)
        with run_cluster(3, directory / "fan") as addresses:
            trio.run(measure_fan_out, addresses, WATCHERS)
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    main()
