"""Measures statement rate and latency of the MySQL protocol through the edge, beside direct connections.

The same client (pymysql, with threads) uses in turn one fake endpoint directly and an edge in front of three:
plain reads, prepared reads with mysql-connector-python, writes, transactions. Only the ratio within one run
is meaningful, since machines differ. The fake endpoints have no simulated work here, but run SQLite in
Python, so they cost about as much CPU as the edge; a database would cost less.

    .venv/bin/python benchmarks/mysql_front.py [--turns 3] [--seconds 3] [--clients 8]
        [--profile FILE] [--reader-only]

It then measures the statement classifier: texts per second with and without its cache.
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

FLEET_SCRIPT = """groups 1
members 3
read-work 0ms
write-work 0ms
list-delay 100ms
mysql-members 1
last 600s
cores 64
"""
EDGE_SETTINGS = """
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
READ_QUERY = "select id from runs where runner = 'r%d' order by number desc limit 10"
WRITE_QUERY = "insert into runs (runner, id) values ('r%d', 'x')"


def start_fleet(directory: Path) -> tuple[subprocess.Popen[bytes], int, list[int]]:
    """Start the fake endpoints; return their process, the port of the endpoint list and their MySQL ports."""
    (directory / "day").write_text(FLEET_SCRIPT)
    code = (
        "import sys, trio, json\n"
        "from juniperreel.net import Clock, TcpNetwork\n"
        "from juniperreel.verification.records import Recorder\n"
        "from juniperreel.fakes.fleet import Fleet\n"
        "from juniperreel.fakes.script import parse\n"
        "class NullRecorder(Recorder):\n"
        "    def __call__(self, record): pass\n"
        "async def main():\n"
        "    fleet = Fleet(parse(open(sys.argv[1]).read()), TcpNetwork(), Clock(), NullRecorder())\n"
        "    async with trio.open_nursery() as nursery:\n"
        "        await nursery.start(fleet.run)\n"
        "        ports = [endpoint.mysql_port for endpoint in fleet.endpoints.values()]\n"
        "        print(json.dumps([fleet.endpoint_list.port, ports]), flush=True)\n"
        "        await trio.sleep_forever()\n"
        "trio.run(main)\n"
    )
    process = subprocess.Popen([sys.executable, "-c", code, str(directory / "day")], stdout=subprocess.PIPE)
    assert process.stdout is not None
    hosts, ports = json.loads(process.stdout.readline())
    return process, hosts, ports


def start_edge(directory: Path, hosts: int, profile: str) -> tuple[subprocess.Popen[bytes], int]:
    (directory / "member.password").write_bytes(PASSWORD)
    (directory / "app.password").write_bytes(b"app")
    (directory / "token.key").write_bytes(b"k" * 32)
    settings_path = directory / "edge.conf"
    settings_path.write_text(EDGE_SETTINGS.format(hosts=hosts, user=USER))
    profiling = ["-m", "cProfile", "-o", profile] if profile else []
    command = [sys.executable, *profiling, "-m", "juniperreel.cli.main", "edge", str(settings_path)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE)
    assert process.stderr is not None
    for line in process.stderr:
        log_record = json.loads(line)
        if log_record["event"] == "serving":
            port = int(log_record["mysql"].rpartition(":")[2])
            threading.Thread(target=process.stderr.read, daemon=True).start()
            return process, port
    raise RuntimeError("the edge exited before it was serving")


def plain_read(port: int, credentials: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    def connect() -> Callable[[int], None]:
        connection = pymysql.connect(host="127.0.0.1", port=port, autocommit=True, **credentials)  # type: ignore[arg-type]
        cursor = connection.cursor()

        def run_once(n: int) -> None:
            cursor.execute(READ_QUERY % (n % 50))
            cursor.fetchall()

        return run_once

    return connect


def prepared_read(port: int, credentials: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    def connect() -> Callable[[int], None]:
        connection: Any = mysql.connector.connect(
            host="127.0.0.1", port=port, use_pure=True, autocommit=True, ssl_disabled=True, **credentials
        )
        cursor = connection.cursor(prepared=True)

        # The cursor holds only a weak reference to its connection; the default argument keeps it open.
        def run_once(n: int, _connection: Any = connection) -> None:
            cursor.execute(
                "select id from runs where runner = ? order by number desc limit 10", (f"r{n % 50}",)
            )
            cursor.fetchall()

        return run_once

    return connect


def write(port: int, credentials: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    def connect() -> Callable[[int], None]:
        connection = pymysql.connect(host="127.0.0.1", port=port, autocommit=True, **credentials)  # type: ignore[arg-type]
        cursor = connection.cursor()

        def run_once(n: int) -> None:
            cursor.execute(WRITE_QUERY % (n % 50))

        return run_once

    return connect


def transaction(port: int, credentials: dict[str, str]) -> Callable[[], Callable[[int], None]]:
    """Four statements; concurrent writes wait for each other's locks, with and without the edge."""

    def connect() -> Callable[[int], None]:
        connection = pymysql.connect(host="127.0.0.1", port=port, **credentials)  # type: ignore[arg-type]
        cursor = connection.cursor()

        def run_once(n: int) -> None:
            try:
                connection.begin()
                cursor.execute(READ_QUERY % (n % 50))
                cursor.execute(WRITE_QUERY % (n % 50))
                connection.commit()
            except pymysql.err.OperationalError:  # locked by another transaction, or a deadlock
                connection.rollback()

        return run_once

    return connect


def measure(
    connect: Callable[[], Callable[[int], None]], clients: int, seconds: float
) -> tuple[float, float, float]:
    """Return the rounds per second, and the median and 99th percentile of their latencies in milliseconds."""
    durations: list[float] = []
    end = time.perf_counter() + seconds
    ready = threading.Barrier(clients)

    def run(start: int) -> None:
        run_once = connect()
        ready.wait()
        own_durations, n = [], start
        while (before := time.perf_counter()) < end:
            run_once(n)
            own_durations.append(time.perf_counter() - before)
            n += 1
        durations.extend(own_durations)

    threads = [threading.Thread(target=run, args=(n * 7,)) for n in range(clients)]
    start = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    p50, p99 = np.percentile(durations, [50, 99]) * 1000
    return len(durations) / (time.perf_counter() - start), float(p50), float(p99)


WORKLOADS = {
    "plain reads": plain_read,
    "prepared reads": prepared_read,
    "writes": write,
    "transactions": transaction,
}


def measure_classifier() -> None:
    texts = [f"select id, name from runs where runner = 'r{n}' and a > {n}".encode() for n in range(2000)]
    start = time.perf_counter()
    for text in texts:
        classify_statement(text)
    uncached = len(texts) / (time.perf_counter() - start)
    classifier = StatementClassifier()
    for text in texts:
        classifier.classify(text)
    start = time.perf_counter()
    for _ in range(20):
        for text in texts:
            classifier.classify(text)
    cached = 20 * len(texts) / (time.perf_counter() - start)
    print(
        f"classifier: {uncached:,.0f} texts per second, {cached:,.0f} with the cache "
        f"({cached / uncached:.0f} times as many)"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument(
        "--profile", default="", help="write a profile of the edge to this file; slows the edge down"
    )
    parser.add_argument("--reader-only", action="store_true")
    arguments = parser.parse_args()
    if not arguments.reader_only:
        with tempfile.TemporaryDirectory() as temporary:
            compare(Path(temporary), arguments)
    measure_classifier()


def compare(directory: Path, arguments: Any) -> None:
    fleet, hosts, ports = start_fleet(directory)
    edge = None
    try:
        edge, port = start_edge(directory, hosts, arguments.profile)
        time.sleep(1)
        direct = (ports[0], {"user": USER, "password": PASSWORD.decode()})
        through_edge = (port, {"user": "app", "password": "app"})
        for name, workload in WORKLOADS.items():
            ratios = []
            for _ in range(arguments.turns):
                direct_result = measure(workload(*direct), arguments.clients, arguments.seconds)
                edge_result = measure(workload(*through_edge), arguments.clients, arguments.seconds)
                ratios.append(edge_result[0] / direct_result[0])
                print(
                    f"{name}: direct {direct_result[0]:.0f}/s, "
                    f"p50 {direct_result[1]:.1f} ms, p99 {direct_result[2]:.1f} ms; "
                    f"through the edge {edge_result[0]:.0f}/s, "
                    f"p50 {edge_result[1]:.1f} ms, p99 {edge_result[2]:.1f} ms; ratio {ratios[-1]:.2f}"
                )
            print(f"{name}: median ratio {np.median(ratios):.2f}")
    finally:
        for process in (edge, fleet):
            if process is not None:
                os.kill(process.pid, signal.SIGTERM)
                process.wait(10)


if __name__ == "__main__":
    main()
