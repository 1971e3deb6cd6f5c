"""Measures requests per second and latency of an edge with one fake endpoint, beside a forwarding proxy.

The proxy is written with grpc.aio and makes no decisions: it translates each request into an endpoint's, and
the response back. The same client sends requests to the two in turn; only the ratio within one run is
meaningful, since machines differ.

    .venv/bin/python benchmarks/edge_throughput.py [--turns 4] [--seconds 3] [--in-flight 32] [--profile FILE]

With --workers N, an edge of N workers is compared with an edge of one worker, with several clients and
several endpoints; the CPU use of each side is printed, since all of them share one machine.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import numpy as np

sys.path.insert(0, str(Path(__file__).parent.parent))

from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.proto.records.v1 import records_pb2

MEMBER_EXECUTE = "/juniperreel.member.v1.Member/Execute"
RECORDS_EXECUTE = "/juniperreel.v1.Records/Execute"

EDGE_SETTINGS = """
[edge]
name bench
listen 127.0.0.1:{port}
workers {workers}
edges 1
groups 1
[hosts]
source 127.0.0.1:{hosts}
shows-primary yes
[class read]
effect repeatable
consistency bounded 300ms
aim 2s
deadline 5s
worth 1
late-worth 20%
[rules]
attempts 3
answer-margin 40ms
drain-grace 2s
cold-from 20%
cold-span 6s
fall-multiple 2
overload-span 2s
refusal-wait 300ms
members-check refuse
[limits]
open-requests 10000
[token]
key 1 token.key
skew 30ms
[log]
level warning
"""


def make_standing(primary: bool) -> member_pb2.Standing:
    role = member_pb2.ROLE_PRIMARY if primary else member_pb2.ROLE_REPLICA
    standing = member_pb2.Standing(role=role, position=time.time_ns() // 1000)
    standing.epochs.add(epoch=1, start=0)
    return standing


class FakeEndpoint(grpc.GenericRpcHandler):
    """An endpoint that answers immediately and stores nothing.

    It also serves the endpoint list, which contains it and the endpoints at `other_ports`, all as replicas.
    """

    def __init__(self, other_ports: list[int]) -> None:
        self.port = 0
        self.other_ports = other_ports

    def service(self, details: Any) -> Any:
        return {
            MEMBER_EXECUTE: grpc.unary_unary_rpc_method_handler(self.execute),
            "/juniperreel.member.v1.Member/Report": grpc.unary_unary_rpc_method_handler(self.report),
            "/juniperreel.hosts.v1.Hosts/Watch": grpc.unary_stream_rpc_method_handler(self.watch),
        }.get(details.method)

    async def execute(self, request: bytes, context: Any) -> bytes:
        endpoint_request = member_pb2.ExecuteRequest.FromString(request)
        result = values_pb2.ResultSet(columns=["id"])
        result.rows.add().values.add(text=endpoint_request.request)
        return member_pb2.ExecuteResponse(result=result, standing=make_standing(False)).SerializeToString()

    async def report(self, request: bytes, context: Any) -> bytes:
        return member_pb2.ReportResponse(standing=make_standing(False)).SerializeToString()

    async def watch(self, request: bytes, context: Any) -> Any:
        up = hosts_pb2.READINESS_UP
        hosts = [
            hosts_pb2.Host(id=f"fast{n}", address="127.0.0.1", port=port, readiness=up, size=1.0)
            for n, port in enumerate([self.port, *self.other_ports])
        ]
        yield hosts_pb2.WatchResponse(full=True, hosts=hosts).SerializeToString()
        await asyncio.sleep(3600)


class ForwardingProxy(grpc.GenericRpcHandler):
    """Forwards each request to one endpoint."""

    def __init__(self, endpoint_port: int) -> None:
        self.endpoint_port = endpoint_port
        self.call: Any = None  # created on the first request, in the server's event loop

    def service(self, details: Any) -> Any:
        return (
            grpc.unary_unary_rpc_method_handler(self.execute) if details.method == RECORDS_EXECUTE else None
        )

    async def execute(self, request: bytes, context: Any) -> bytes:
        client_request = records_pb2.ExecuteRequest.FromString(request)
        endpoint_request = member_pb2.ExecuteRequest(
            request="x", statement=client_request.statement, parameters=client_request.parameters
        )
        if self.call is None:
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.endpoint_port}")
            self.call = channel.unary_unary(MEMBER_EXECUTE)
        reply = await self.call(endpoint_request.SerializeToString(), timeout=5)
        response = member_pb2.ExecuteResponse.FromString(reply)
        return records_pb2.ExecuteResponse(
            result=response.result, member="fast", attempts=1
        ).SerializeToString()


async def serve(handler: Any) -> None:
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    server.add_generic_rpc_handlers((handler,))
    port = server.add_insecure_port("127.0.0.1:0")
    handler.port = port
    await server.start()
    print(port, flush=True)
    await server.wait_for_termination()


async def measure_requests(
    port: int, seconds: float, in_flight: int, channels: int = 1
) -> tuple[float, np.ndarray]:
    """Return requests per second and the latency of each in milliseconds."""
    if channels > 1:  # a connection is served by one worker, so several are needed to reach all workers
        results = await asyncio.gather(
            *(measure_requests(port, seconds, in_flight // channels) for _ in range(channels))
        )
        return sum(rate for rate, _ in results), np.concatenate([latencies_ms for _, latencies_ms in results])
    times: list[float] = []
    request = records_pb2.ExecuteRequest(statement=b"select id from runs where runner = ?")
    setattr(request, "class", "read")
    request.parameters.add(text="r")
    data = request.SerializeToString()
    options = (("grpc.use_local_subchannel_pool", 1),)
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options) as channel:
        call = channel.unary_unary(RECORDS_EXECUTE)
        await call(data, timeout=5, wait_for_ready=True)
        end = time.perf_counter() + seconds

        async def send_repeatedly() -> None:
            while (start := time.perf_counter()) < end:
                await call(data, timeout=5)
                times.append(time.perf_counter() - start)

        start = time.perf_counter()
        await asyncio.gather(*(send_repeatedly() for _ in range(in_flight)))
        duration = time.perf_counter() - start
    return len(times) / duration, np.array(times) * 1000


def start_process(*arguments: str, **options: Any) -> tuple[subprocess.Popen[str], int]:
    process = subprocess.Popen(
        [sys.executable, __file__, *arguments], stdout=subprocess.PIPE, text=True, **options
    )
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def start_edge(
    directory: Path, hosts: int, profile: str | None, workers: int = 1
) -> tuple[subprocess.Popen[str], int]:
    (directory / "token.key").write_bytes(os.urandom(16).hex().encode())
    (directory / "edge.conf").write_text(
        EDGE_SETTINGS.format(port=0, hosts=hosts, workers=workers).replace("level warning", "level info"),
        encoding="utf-8",
    )
    command = [sys.executable, "-m", "juniperreel.cli.main", "edge", str(directory / "edge.conf")]
    if profile:
        command[1:1] = ["-m", "cProfile", "-o", profile]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None
    for line in process.stderr:
        if '"serving"' in line:
            return process, int(line.split('"listen": "127.0.0.1:')[1].split('"')[0])
    raise SystemExit("the edge did not start")


def compare_with_proxy(turns: int, seconds: float, in_flight: int, profile: str | None) -> None:
    processes = []
    try:
        endpoint, endpoint_port = start_process("endpoint")
        processes.append(endpoint)
        proxy, proxy_port = start_process("proxy", str(endpoint_port))
        processes.append(proxy)
        with tempfile.TemporaryDirectory() as directory:
            edge, edge_port = start_edge(Path(directory), endpoint_port, profile)
            processes.append(edge)
            time.sleep(1)
            rates: dict[str, list[float]] = {"edge": [], "proxy": [], "endpoint": []}
            times: dict[str, list[np.ndarray]] = {"edge": [], "proxy": []}
            for turn in range(turns):
                for name, port in (("edge", edge_port), ("proxy", proxy_port)):
                    rate, latencies_ms = asyncio.run(measure_requests(port, seconds, in_flight))
                    rates[name].append(rate)
                    times[name].append(latencies_ms)
                    p50, p99 = np.percentile(latencies_ms, [50, 99])
                    print(f"turn {turn + 1} {name:>6}: {rate:7.0f}/s, p50 {p50:6.2f} ms, p99 {p99:6.2f} ms")
        for name in times:
            p50, p99 = np.percentile(np.concatenate(times[name]), [50, 99])
            rate = float(np.median(rates[name]))
            print(f"{name:>6}: median {rate:.0f}/s, p50 {p50:.2f} ms, p99 {p99:.2f} ms")
        ratios = [
            edge_rate / proxy_rate
            for edge_rate, proxy_rate in zip(rates["edge"], rates["proxy"], strict=True)
        ]
        print(
            f"ratio of edge to proxy: {np.median(ratios):.2f} "
            f"(turns {', '.join(f'{ratio:.2f}' for ratio in ratios)})"
        )
    finally:
        for process in processes:
            process.send_signal(signal.SIGINT if profile else signal.SIGTERM)
            process.wait(10)


async def run_client(port: int, seconds: float, in_flight: int) -> None:
    """Run one of several client processes: prints its rate, its median latency and its CPU time."""
    rate, latencies_ms = await measure_requests(port, seconds, in_flight, channels=4)
    print(rate, np.percentile(latencies_ms, 50), time.process_time(), flush=True)


def cpu_seconds(process: subprocess.Popen[str]) -> float:
    """Return the CPU seconds used by a process and its children."""
    total = 0.0
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if process.pid in (int(path.parent.name), int(fields[1])):
            total += (int(fields[11]) + int(fields[12])) / 100
    return total


def compare_worker_counts(
    turns: int, seconds: float, in_flight: int, workers: int, endpoints: int, clients: int
) -> None:
    processes = []
    try:
        ports: list[int] = []
        for _ in range(endpoints):
            process, port = start_process("endpoint", *map(str, ports))
            processes.append(process)
            ports.append(port)
        rates: dict[int, list[float]] = {1: [], workers: []}
        with tempfile.TemporaryDirectory() as directory:
            edges = {}
            for count in rates:
                edge_directory = Path(directory) / str(count)
                edge_directory.mkdir()
                edges[count] = start_edge(edge_directory, ports[-1], None, count)
                processes.append(edges[count][0])
            time.sleep(2)
            for turn in range(turns):
                for count, (edge, port) in edges.items():
                    measured = (edge, *processes[:endpoints])
                    before = [cpu_seconds(child) for child in measured]
                    command = [sys.executable, __file__, "client", str(port), str(seconds), str(in_flight)]
                    client_processes = [
                        subprocess.Popen(command, stdout=subprocess.PIPE, text=True) for _ in range(clients)
                    ]
                    lines = [client.communicate()[0].split() for client in client_processes]
                    cpu = [
                        cpu_seconds(child) - earlier for child, earlier in zip(measured, before, strict=True)
                    ]
                    rate = sum(float(line[0]) for line in lines)
                    rates[count].append(rate)
                    p50 = np.median([float(line[1]) for line in lines])
                    client_cpu = sum(float(line[2]) for line in lines) / seconds
                    print(
                        f"turn {turn + 1}, {count} workers: {rate:6.0f}/s, p50 {p50:.1f} ms; cores: edge "
                        f"{cpu[0] / seconds:.1f}, endpoints {sum(cpu[1:]) / seconds:.1f} of {endpoints}, "
                        f"clients {client_cpu:.1f} of {clients}"
                    )
        ratio = float(np.median(rates[workers]) / np.median(rates[1]))
        print(f"ratio of {workers} workers to one worker: {ratio:.2f}")
    finally:
        for process in processes:
            process.terminate()
            process.wait(15)


def main() -> None:
    if sys.argv[1:2] == ["endpoint"]:
        asyncio.run(serve(FakeEndpoint([int(port) for port in sys.argv[2:]])))
    elif sys.argv[1:2] == ["client"]:
        asyncio.run(run_client(int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])))
    elif sys.argv[1:2] == ["proxy"]:
        asyncio.run(serve(ForwardingProxy(int(sys.argv[2]))))
    else:
        parser = argparse.ArgumentParser(description=__doc__)
        parser.add_argument("--turns", type=int, default=4)
        parser.add_argument("--seconds", type=float, default=3.0)
        parser.add_argument("--in-flight", type=int, default=32)
        parser.add_argument("--profile")
        parser.add_argument("--workers", type=int, default=1)
        parser.add_argument("--members", type=int, default=3)
        parser.add_argument("--clients", type=int, default=3)
        arguments = parser.parse_args()
        if arguments.workers > 1:
            counts = (arguments.workers, arguments.members, arguments.clients)
            compare_worker_counts(arguments.turns, arguments.seconds, arguments.in_flight, *counts)
            return
        compare_with_proxy(arguments.turns, arguments.seconds, arguments.in_flight, arguments.profile)


if __name__ == "__main__":
    main()
