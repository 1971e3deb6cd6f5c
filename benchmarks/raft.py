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

FILE = """
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
            FILE.format(name=name, folder=f"d{n}", members="\n".join(f"member {m}" for m in names))
        )
        command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(path), "--create"]
        processes.append(subprocess.Popen(command))
    try:
        yield [("127.0.0.1", p) for p in ports]
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
            process.wait()


async def ours(addresses: list[tuple[str, int]], seconds: float, in_flight: int) -> tuple[float, list[float]]:
    times: list[float] = []
    async with trio.open_nursery() as nursery:
        instances = ConfigurationClient(TcpNetwork(), Clock(), random.Random(1), addresses)
        await nursery.start(instances.run)
        await instances.propose(Command("warm", 1, [SetLimit("attempts", 1)]), attempts=200)
        end = time.perf_counter() + seconds

        async def one(client: str) -> None:
            n = 0
            while (start := time.perf_counter()) < end:
                n += 1
                await instances.propose(Command(client, n, [SetLimit("attempts", 1 + n)]))
                times.append(time.perf_counter() - start)

        start = time.perf_counter()
        async with trio.open_nursery() as clients:
            for n in range(in_flight):
                clients.start_soon(one, f"b{n}")
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


def theirs(count: int, folder: Path, seconds: float, in_flight: int) -> tuple[float, list[float]]:
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

        def one(client: int) -> None:
            n = 0
            while (start := time.perf_counter()) < end:
                n += 1
                values.set(f"b{client}", n, sync=True, timeout=5)
                with lock:
                    times.append(time.perf_counter() - start)

        start = time.perf_counter()
        threads = [threading.Thread(target=one, args=(n,)) for n in range(in_flight)]
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


def told(name: str, rate: float, times: list[float]) -> None:
    p50, p99 = np.percentile(np.array(times) * 1000, [50, 99])
    print(f"{name}: {rate:6.0f} proposals a second, p50 {p50:6.1f} ms, p99 {p99:6.1f} ms", flush=True)


def recovery(folder: Path) -> None:
    """Opening a directory and applying its log, with and without a snapshot at its end."""
    for entries in (1_000, 10_000, 50_000):
        for snapshots in (False, True):
            path = folder / f"r{entries}{snapshots}"
            members = Membership(frozenset({"a"}))
            storage = Storage.create(path, "bench", "a", members)
            core = RaftCore(
                "a", storage.recover(), RaftConfig(max_uncommitted_bytes=1 << 30), random.Random(1)
            )
            machine = ConfigurationStateMachine()
            while not core.is_leader:
                core.tick()

            def settle(
                core: RaftCore = core,
                storage: Storage = storage,
                machine: ConfigurationStateMachine = machine,
            ) -> None:
                while core.has_ready():
                    ready = core.take_ready()
                    storage.write(ready.persist)
                    core.mark_persisted(ready)
                    for entry in ready.committed_entries:
                        if entry.data:
                            machine.apply(entry.data)

            settle()
            for n in range(entries):
                core.propose(encode_command(Command("c", n + 1, [SetLimit("attempts", n + 1)])))
                if n % 500 == 499:
                    settle()
            settle()
            if snapshots:
                core.compact(core.applied_index, machine.snapshot())
                settle()
            storage.close()
            start = time.perf_counter()
            again = Storage.open(path, "bench", "a")
            restored = again.recover()
            fresh = ConfigurationStateMachine()
            fresh.restore(restored.snapshot.data)
            for entry in restored.entries:
                if entry.index > restored.snapshot.index and entry.data:
                    fresh.apply(entry.data)
            took = time.perf_counter() - start
            assert fresh.current.limits["attempts"] == entries
            again.close()
            kind = "with a snapshot" if snapshots else "without"
            print(f"recovery of {entries} entries {kind}: {took * 1000:.0f} ms", flush=True)


async def fan_out(addresses: list[tuple[str, int]], watchers: int) -> None:
    arrived: dict[int, list[float]] = {}
    async with trio.open_nursery() as nursery:
        instances = ConfigurationClient(TcpNetwork(), Clock(), random.Random(1), addresses)
        await nursery.start(instances.run)
        await instances.propose(Command("f", 1, [SetLimit("attempts", 1)]), attempts=200)

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
            outcome = await instances.propose(Command("f", 2 + turn, [SetLimit("attempts", 2 + turn)]))
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
    words: Any = parser.parse_args()
    folder = Path(tempfile.mkdtemp(dir=Path(__file__).parent.parent / ".venv"))  # a real disk, not memory
    try:
        for count in (1, 3, 5):
            with cluster(count, folder / f"ours{count}") as addresses:
                rate, times = trio.run(ours, addresses, words.seconds, words.in_flight)
            told(f"{count} instances, juniperreel", rate, times)
            other, others = theirs(count, folder / f"theirs{count}", words.seconds, words.in_flight)
            told(f"{count} instances, pysyncobj  ", other, others)
            print(f"{count} instances: ratio {rate / other:.2f} in proposals a second", flush=True)
        recovery(folder)
        with cluster(3, folder / "fan") as addresses:
            trio.run(fan_out, addresses, 300)
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
