"""Measures proposal rate, commit latency, recovery and fan-out of a configuration cluster, beside pysyncobj.

Each instance is a process of its own on loopback, and syncs every write to disk. pysyncobj runs with its
journal enabled, which it flushes without fsync, so that the comparison is in its favour.

    .venv/bin/python benchmarks/raft.py [--seconds 4] [--in-flight 16]
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
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

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
def run_cluster(count: int, directory: Path) -> Iterator[list[tuple[str, int]]]:
    directory.mkdir()
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
        processes.append(subprocess.Popen(command))
    try:
        yield [("127.0.0.1", port) for port in ports]
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
            process.wait()


async def measure_juniperreel(
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


PYSYNCOBJ_NODE = """
import sys, time
from pysyncobj import SyncObj, SyncObjConf
from pysyncobj.batteries import ReplDict
address, journal, *peers = sys.argv[1:]
values = ReplDict()
conf = SyncObjConf(journalFile=journal, dynamicMembershipChange=False)
node = SyncObj(address, peers, consumers=[values], conf=conf)
while True:
    time.sleep(1)
"""


def measure_pysyncobj(
    count: int, directory: Path, seconds: float, in_flight: int
) -> tuple[float, list[float]]:
    from pysyncobj import SyncObj, SyncObjConf
    from pysyncobj.batteries import ReplDict

    directory.mkdir()
    addresses = [f"127.0.0.1:{port}" for port in find_free_ports(count)]
    processes = [
        subprocess.Popen(
            [
                sys.executable,
                "-c",
                PYSYNCOBJ_NODE,
                address,
                str(directory / f"j{n}"),
                *(peer for peer in addresses if peer != address),
            ]
        )
        for n, address in enumerate(addresses[1:])
    ]
    values = ReplDict()
    conf = SyncObjConf(journalFile=str(directory / "me"))
    node = SyncObj(addresses[0], addresses[1:], consumers=[values], conf=conf)
    times: list[float] = []
    lock = threading.Lock()
    try:
        while not node.isReady():
            time.sleep(0.05)
        time.sleep(0.5)
        end = time.perf_counter() + seconds

        def set_repeatedly(client: int) -> None:
            n = 0
            while (start := time.perf_counter()) < end:
                n += 1
                values.set(f"b{client}", n, sync=True, timeout=5)
                with lock:
                    times.append(time.perf_counter() - start)

        start = time.perf_counter()
        threads = [threading.Thread(target=set_repeatedly, args=(n,)) for n in range(in_flight)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        duration = time.perf_counter() - start
    finally:
        node.destroy()
        for process in processes:
            process.kill()
            process.wait()
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


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--in-flight", type=int, default=16)
    options: Any = parser.parse_args()
    # The default directory for temporary files may be in memory, where syncing costs nothing.
    directory = Path(tempfile.mkdtemp(dir=Path(__file__).parent.parent / ".venv"))
    try:
        for count in (1, 3, 5):
            with run_cluster(count, directory / f"juniperreel{count}") as addresses:
                rate, times = trio.run(measure_juniperreel, addresses, options.seconds, options.in_flight)
            print_rate(f"{count} instances, juniperreel", rate, times)
            pysyncobj_rate, pysyncobj_times = measure_pysyncobj(
                count, directory / f"pysyncobj{count}", options.seconds, options.in_flight
            )
            print_rate(f"{count} instances, pysyncobj  ", pysyncobj_rate, pysyncobj_times)
            print(f"{count} instances: ratio {rate / pysyncobj_rate:.2f} in proposals per second", flush=True)
        for entries in RECOVERY_ENTRIES:
            for with_snapshot in (False, True):
                measure_recovery(directory, entries, with_snapshot)
        with run_cluster(3, directory / "fan") as addresses:
            trio.run(measure_fan_out, addresses, WATCHERS)
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    main()
