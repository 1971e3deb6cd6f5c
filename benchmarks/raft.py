"""Proposals a second, commit latency, recovery and fan-out of the configuration, beside pysyncobj.

Each instance is a process of its own on loopback, with every write synced to disk. pysyncobj runs with its
journal on; it flushes without an fsync, so the comparison is kind to it.

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
directory {folder}
key cluster.key
tick 20ms
[cluster]
{members}
[log]
level error
"""


def free_ports(count: int) -> list[int]:
    holders = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [h.getsockname()[1] for h in holders]
    for h in holders:
        h.close()
    return ports


@contextlib.contextmanager
def cluster(count: int, folder: Path) -> Iterator[list[tuple[str, int]]]:
    folder.mkdir()
    (folder / "cluster.key").write_bytes(os.urandom(16).hex().encode())
    ports = free_ports(count)
    names = [f"c{n}@127.0.0.1:{p}" for n, p in enumerate(ports)]
    processes = []
    for n, name in enumerate(names):
        path = folder / f"c{n}.conf"
        path.write_text(
            SETTINGS.format(name=name, folder=f"d{n}", members="\n".join(f"member {m}" for m in names))
        )
        command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(path), "--create"]
        processes.append(subprocess.Popen(command))
    try:
        yield [("127.0.0.1", p) for p in ports]
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
        took = time.perf_counter() - start
        nursery.cancel_scope.cancel()
    return len(times) / took, times


PYSYNC = """
import sys, time
from pysyncobj import SyncObj, SyncObjConf
from pysyncobj.batteries import ReplDict
me, journal, *others = sys.argv[1:]
d = ReplDict()
s = SyncObj(me, others, consumers=[d], conf=SyncObjConf(journalFile=journal, dynamicMembershipChange=False))
while True:
    time.sleep(1)
"""


def measure_pysyncobj(count: int, folder: Path, seconds: float, in_flight: int) -> tuple[float, list[float]]:
    from pysyncobj import SyncObj, SyncObjConf
    from pysyncobj.batteries import ReplDict

    folder.mkdir()
    places = [f"127.0.0.1:{p}" for p in free_ports(count)]
    others = [
        subprocess.Popen(
            [sys.executable, "-c", PYSYNC, p, str(folder / f"j{n}"), *(q for q in places if q != p)]
        )
        for n, p in enumerate(places[1:])
    ]
    values = ReplDict()
    conf = SyncObjConf(journalFile=str(folder / "me"))
    node = SyncObj(places[0], places[1:], consumers=[values], conf=conf)
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
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        took = time.perf_counter() - start
    finally:
        node.destroy()
        for process in others:
            process.kill()
            process.wait()
    return len(times) / took, times


def print_rate(name: str, rate: float, times: list[float]) -> None:
    """`rate` is proposals a second, `times` are their latencies in seconds."""
    p50, p99 = np.percentile(np.array(times) * 1000, [50, 99])
    print(f"{name}: {rate:6.0f} proposals a second, p50 {p50:6.1f} ms, p99 {p99:6.1f} ms", flush=True)


class SingleNode:
    """A cluster of one without a network."""

    def __init__(self, path: Path) -> None:
        self.storage = Storage.create(path, "bench", "a", Membership(frozenset({"a"})))
        config = RaftConfig(max_uncommitted_bytes=1 << 30)
        self.core = RaftCore("a", self.storage.recover(), config, random.Random(1))
        self.state_machine = ConfigurationStateMachine()
        while not self.core.is_leader:
            self.core.tick()
        self.settle()

    def settle(self) -> None:
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
                self.settle()
        self.settle()

    def compact(self) -> None:
        self.core.compact(self.core.applied_index, self.state_machine.snapshot())
        self.settle()


def recover(path: Path) -> ConfigurationStateMachine:
    """Open a directory and apply its log."""
    storage = Storage.open(path, "bench", "a")
    recovered = storage.recover()
    state_machine = ConfigurationStateMachine()
    state_machine.restore(recovered.snapshot.data)
    for entry in recovered.entries:
        if entry.index > recovered.snapshot.index and entry.data:
            state_machine.apply(entry.data)
    storage.close()
    return state_machine


def measure_recovery(folder: Path, entries: int, with_snapshot: bool) -> None:
    """Opening a directory and applying its log, with or without a snapshot at its end."""
    path = folder / f"r{entries}{with_snapshot}"
    node = SingleNode(path)
    node.write_entries(entries)
    if with_snapshot:
        node.compact()
    node.storage.close()
    start = time.perf_counter()
    state_machine = recover(path)
    elapsed_ms = (time.perf_counter() - start) * 1000
    assert state_machine.current.limits["attempts"] == entries
    kind = "with a snapshot" if with_snapshot else "without"
    print(f"recovery of {entries} entries {kind}: {elapsed_ms:.0f} ms", flush=True)


async def fan_out(addresses: list[tuple[str, int]], watchers: int) -> None:
    arrived: dict[int, list[float]] = {}
    async with trio.open_nursery() as nursery:
        client = ConfigurationClient(TcpNetwork(), Clock(), random.Random(1), addresses)
        await nursery.start(client.run)
        await client.propose(Command("f", 1, [SetLimit("attempts", 1)]), attempts=200)

        def seen(c: model.Configuration) -> None:
            arrived.setdefault(c.version, []).append(time.perf_counter())

        for n in range(watchers):
            each = ConfigurationClient(TcpNetwork(), Clock(), random.Random(n), addresses)
            await nursery.start(each.run)
            nursery.start_soon(each.watch, f"w{n}", model.EMPTY, seen)
        while len(arrived.get(1, [])) < watchers:
            await trio.sleep(0.05)
        for turn in range(5):
            start = time.perf_counter()
            outcome = await client.propose(Command("f", 2 + turn, [SetLimit("attempts", 2 + turn)]))
            while len(arrived.get(outcome.version, [])) < watchers:
                await trio.sleep(0.005)
            took = np.array(sorted(arrived[outcome.version])) - start
            print(
                f"{watchers} watchers, change {turn + 1}: p50 {np.percentile(took, 50) * 1000:.0f} ms, "
                f"last {took[-1] * 1000:.0f} ms after it was proposed",
                flush=True,
            )
        nursery.cancel_scope.cancel()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--in-flight", type=int, default=16)
    options: Any = parser.parse_args()
    folder = Path(tempfile.mkdtemp(dir=Path(__file__).parent.parent / ".venv"))  # a real disk, not memory
    try:
        for count in (1, 3, 5):
            with cluster(count, folder / f"juniperreel{count}") as addresses:
                rate, times = trio.run(measure_juniperreel, addresses, options.seconds, options.in_flight)
            print_rate(f"{count} instances, juniperreel", rate, times)
            pysyncobj_rate, pysyncobj_times = measure_pysyncobj(
                count, folder / f"pysyncobj{count}", options.seconds, options.in_flight
            )
            print_rate(f"{count} instances, pysyncobj  ", pysyncobj_rate, pysyncobj_times)
            print(f"{count} instances: ratio {rate / pysyncobj_rate:.2f} in proposals a second", flush=True)
        for entries in RECOVERY_ENTRIES:
            for with_snapshot in (False, True):
                measure_recovery(folder, entries, with_snapshot)
        with cluster(3, folder / "fan") as addresses:
            trio.run(fan_out, addresses, WATCHERS)
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
