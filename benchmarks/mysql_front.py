"""Statements a second and latency through the edge beside straight to its members, all of MySQL's protocol.

The same client (pymysql, threads) asks one stand-in member and an edge in front of three, turn by turn: plain
reads, prepared reads of mysql-connector-python, writes, transactions. What counts is the ratio within one
run, since machines differ. The stand-in does no work of its own here but runs sqlite in Python: it costs
about as much as the edge, where a database would cost less.

    .venv/bin/python benchmarks/mysql_front.py [--turns 3] [--seconds 3] [--clients 8]
        [--profile FILE] [--reader-only]

Then the reader of statements: texts read a second with its memory and without.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import mysql.connector
import numpy as np
import pymysql

sys.path.insert(0, str(Path(__file__).parent.parent))

from juniperreel.fakes.mysql_server import PASSWORD, USER
from juniperreel.statements import StatementClassifier, classify_statement

DAY = """groups 1
members 3
read-work 0ms
write-work 0ms
list-delay 100ms
mysql-members 1
last 600s
cores 64
"""
EDGE = """
[edge]
name bench
listen 127.0.0.1:0
edges 1
groups 1
[hosts]
source 127.0.0.1:{hosts}
shows-primary yes
[class read]
effect repeatable
consistency session
aim 2s
deadline 5s
worth 1
late-worth 20%
[class write]
effect once
consistency write
aim 2s
deadline 5s
worth 1
late-worth 20%
[rules]
attempts 3
answer-margin 40ms
drain-grace 10s
cold-from 20%
cold-span 6s
fall-multiple 2
overload-span 2s
refusal-wait 300ms
members-check refuse
[members]
speak mysql
user {user} member.password
[mysql]
listen 127.0.0.1:0
user app app.password
read read
write write
[token]
key 1 token.key
skew 30ms
[log]
level info
"""
READ = "select id from runs where runner = 'r%d' order by number desc limit 10"
WRITE = "insert into runs (runner, id) values ('r%d', 'x')"


def members(folder: Path) -> tuple[subprocess.Popen[bytes], int, list[int]]:
    """The fleet in a process of its own: its host list's port, and its members' MySQL ports."""
    (folder / "day").write_text(DAY)
    code = (
        "import sys, trio, json\n"
        "from juniperreel.net import Clock, TcpNetwork\n"
        "from juniperreel.verification.records import Recorder\n"
        "from juniperreel.fakes.fleet import Fleet\n"
        "from juniperreel.fakes.script import parse\n"
        "class Nothing(Recorder):\n"
        "    def __call__(self, record): pass\n"
        "async def main():\n"
        "    fleet = Fleet(parse(open(sys.argv[1]).read()), TcpNetwork(), Clock(), Nothing())\n"
        "    async with trio.open_nursery() as nursery:\n"
        "        await nursery.start(fleet.run)\n"
        "        ports = [m.mysql_port for m in fleet.endpoints.values()]\n"
        "        print(json.dumps([fleet.endpoint_list.port, ports]), flush=True)\n"
        "        await trio.sleep_forever()\n"
        "trio.run(main)\n"
    )
    process = subprocess.Popen([sys.executable, "-c", code, str(folder / "day")], stdout=subprocess.PIPE)
    assert process.stdout is not None
    hosts, ports = json.loads(process.stdout.readline())
    return process, hosts, ports


def edge(folder: Path, hosts: int, profile: str) -> tuple[subprocess.Popen[bytes], int]:
    (folder / "member.password").write_bytes(PASSWORD)
    (folder / "app.password").write_bytes(b"app")
    (folder / "token.key").write_bytes(b"k" * 32)
    conf = folder / "edge.conf"
    conf.write_text(EDGE.format(hosts=hosts, user=USER))
    measured = ["-m", "cProfile", "-o", profile] if profile else []
    command = [sys.executable, *measured, "-m", "juniperreel.cli.main", "edge", str(conf)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE)
    assert process.stderr is not None
    for line in process.stderr:
        told = json.loads(line)
        if told["event"] == "serving":
            port = int(told["mysql"].rpartition(":")[2])
            threading.Thread(target=process.stderr.read, daemon=True).start()
            return process, port
    raise RuntimeError("the edge did not start")


def plain(port: int, who: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    def make() -> Callable[[int], None]:
        connection = pymysql.connect(host="127.0.0.1", port=port, autocommit=True, **who)  # type: ignore[arg-type]
        cursor = connection.cursor()

        def one(n: int) -> None:
            cursor.execute(READ % (n % 50))
            cursor.fetchall()

        return one

    return make


def prepared(port: int, who: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    def make() -> Callable[[int], None]:
        connection: Any = mysql.connector.connect(
            host="127.0.0.1", port=port, use_pure=True, autocommit=True, ssl_disabled=True, **who
        )
        cursor = connection.cursor(prepared=True)

        def one(n: int, keep: Any = connection) -> None:
            cursor.execute(
                "select id from runs where runner = ? order by number desc limit 10", (f"r{n % 50}",)
            )
            cursor.fetchall()

        return one

    return make


def write(port: int, who: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    def make() -> Callable[[int], None]:
        connection = pymysql.connect(host="127.0.0.1", port=port, autocommit=True, **who)  # type: ignore[arg-type]
        cursor = connection.cursor()

        def one(n: int) -> None:
            cursor.execute(WRITE % (n % 50))

        return one

    return make


def transaction(port: int, who: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    """Four statements; its writes wait for each other, straight and through the edge alike."""

    def make() -> Callable[[int], None]:
        connection = pymysql.connect(host="127.0.0.1", port=port, **who)  # type: ignore[arg-type]
        cursor = connection.cursor()

        def one(n: int) -> None:
            try:
                connection.begin()
                cursor.execute(READ % (n % 50))
                cursor.execute(WRITE % (n % 50))
                connection.commit()
            except pymysql.err.OperationalError:  # a lock that others hold, or a deadlock
                connection.rollback()

        return one

    return make


def measure(
    make: Callable[[], Callable[[int], None]], clients: int, seconds: float
) -> tuple[float, float, float]:
    """Rounds a second, median and 99th percentile in milliseconds."""
    took: list[float] = []
    end = time.perf_counter() + seconds
    ready = threading.Barrier(clients)

    def run(start: int) -> None:
        one = make()
        ready.wait()
        mine, n = [], start
        while (before := time.perf_counter()) < end:
            one(n)
            mine.append(time.perf_counter() - before)
            n += 1
        took.extend(mine)

    threads = [threading.Thread(target=run, args=(n * 7,)) for n in range(clients)]
    start = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    p50, p99 = np.percentile(took, [50, 99]) * 1000
    return len(took) / (time.perf_counter() - start), float(p50), float(p99)


WAYS = {"plain reads": plain, "prepared reads": prepared, "writes": write, "transactions": transaction}


def reader() -> None:
    texts = [f"select id, name from runs where runner = 'r{n}' and a > {n}".encode() for n in range(2000)]
    start = time.perf_counter()
    for text in texts:
        classify_statement(text)
    alone = len(texts) / (time.perf_counter() - start)
    memory = StatementClassifier()
    for text in texts:
        memory.classify(text)
    start = time.perf_counter()
    for _ in range(20):
        for text in texts:
            memory.classify(text)
    known = 20 * len(texts) / (time.perf_counter() - start)
    print(f"reader: {alone:,.0f} new texts a second, {known:,.0f} known ones ({known / alone:.0f} times)")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--profile", default="", help="Write the edge's profile there; slows it down.")
    parser.add_argument("--reader-only", action="store_true")
    options = parser.parse_args()
    if not options.reader_only:
        with tempfile.TemporaryDirectory() as temporary:
            compare(Path(temporary), options)
    reader()


def compare(folder: Path, options: Any) -> None:
    fleet, hosts, ports = members(folder)
    through = None
    try:
        through, port = edge(folder, hosts, options.profile)
        time.sleep(1)
        straight = (ports[0], {"user": USER, "password": PASSWORD.decode()})
        ours = (port, {"user": "app", "password": "app"})
        for name, way in WAYS.items():
            ratios = []
            for _ in range(options.turns):
                a = measure(way(*straight), options.clients, options.seconds)
                b = measure(way(*ours), options.clients, options.seconds)
                ratios.append(b[0] / a[0])
                print(
                    f"{name}: straight {a[0]:.0f}/s, p50 {a[1]:.1f} ms, p99 {a[2]:.1f}; "
                    f"through the edge {b[0]:.0f}/s, {b[1]:.1f}, {b[2]:.1f}; ratio {ratios[-1]:.2f}"
                )
            print(f"{name}: ratio {np.median(ratios):.2f} by the median")
    finally:
        for process in (through, fleet):
            if process is not None:
                os.kill(process.pid, signal.SIGTERM)
                process.wait(10)


if __name__ == "__main__":
    main()
