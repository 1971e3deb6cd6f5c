"""Measures goodput over offered load, up to ten times the capacity, of an edge or of a plain proxy.

Runs the fake endpoints of calm.day, one edge, and `juniperreel load` with a plan written here. With --code,
the edge is that of another source tree, such as an earlier version; with --proxy, it is replaced by a
grpc.aio proxy that sends reads to random replicas and makes no other decisions. Only the shape of the curve
is meaningful; the CPU use of the endpoints is recorded as well, since they run on the same machine.

    .venv/bin/python benchmarks/overload.py [--code DIR] [--workers N] [--rates 200,400] [--out DIR]
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import re
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import numpy as np

sys.path.insert(0, str(Path(__file__).parent.parent))

from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.proto.records.v1 import records_pb2

ROOT = Path(__file__).parent.parent
MEMBER_EXECUTE = "/juniperreel.member.v1.Member/Execute"
RECORDS_EXECUTE = "/juniperreel.v1.Records/Execute"
FLEET_SCRIPT = ROOT / "juniperreel/fakes/days/calm.day"
DEFAULT_RATES = "200,400,600,1000,2000,4000"
LOAD_PLAN = """
[load]
target 127.0.0.1:1
groups 3
sessions 600
processes {processes}
channels {channels}
[class own-read]
part 100%
deadline 2s
worth 3
aim 600ms
late-worth 20%
[tenant fastlap]
part 69%
[tenant splitwest]
part 16%
[tenant runhouse]
part 15%
"""


def start_process(
    command: list[str], pattern: str, directory: Path
) -> tuple[subprocess.Popen[str], re.Match[str]]:
    pipe = subprocess.PIPE
    process = subprocess.Popen(command, stdout=pipe, stderr=subprocess.STDOUT, text=True, cwd=directory)
    assert process.stdout is not None
    for line in process.stdout:
        match = re.search(pattern, line)
        if match:
            return process, match
    raise SystemExit(f"{command} exited without printing {pattern!r}")


def make_edge_settings(hosts: int, workers: int) -> str:
    text = (ROOT / "deploy/edge.conf").read_text(encoding="utf-8")
    text = re.sub(r"listen .*", "listen 127.0.0.1:0", text)
    text = re.sub(r"metrics .*", f"workers {workers}" if workers > 1 else "", text)
    text = re.sub(r"edges 3 .*", "edges 1", text)
    return re.sub(r"source .*", f"source 127.0.0.1:{hosts}", text)


class RandomReplicaProxy(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Sends each read to a random replica of its group, regardless of failures."""

    def __init__(self, hosts: list[hosts_pb2.Host]) -> None:
        self.hosts = [host for host in hosts if not host.primary]
        self.calls: dict[str, Any] = {}

    def service(self, details: Any) -> Any:
        return (
            grpc.unary_unary_rpc_method_handler(self.execute) if details.method == RECORDS_EXECUTE else None
        )

    async def execute(self, request: bytes, context: Any) -> bytes:
        client_request = records_pb2.ExecuteRequest.FromString(request)
        host = random.choice([replica for replica in self.hosts if replica.group == client_request.group])
        call = self.calls.get(host.id)
        if call is None:
            channel = grpc.aio.insecure_channel(f"{host.address}:{host.port}")
            call = self.calls[host.id] = channel.unary_unary(MEMBER_EXECUTE)
        endpoint_request = member_pb2.ExecuteRequest(
            request="proxy-0-0", statement=client_request.statement, parameters=client_request.parameters
        )
        reply = await call(endpoint_request.SerializeToString(), timeout=context.time_remaining())
        response = member_pb2.ExecuteResponse.FromString(reply)
        return records_pb2.ExecuteResponse(result=response.result, attempts=1).SerializeToString()


async def serve_proxy(hosts_port: int) -> None:
    async with grpc.aio.insecure_channel(f"127.0.0.1:{hosts_port}") as channel:
        fetch = channel.unary_unary("/juniperreel.hosts.v1.Hosts/Fetch")
        hosts: list[hosts_pb2.Host] = []
        while not any(host.primary for host in hosts):
            await asyncio.sleep(0.5)
            reply = await fetch(hosts_pb2.FetchRequest(edge="proxy").SerializeToString())
            hosts = list(hosts_pb2.FetchResponse.FromString(reply).hosts)
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    server.add_generic_rpc_handlers((RandomReplicaProxy(hosts),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(f'"listen": "127.0.0.1:{port}"', flush=True)
    await server.wait_for_termination()


def estimate_cpu_costs(path: Path) -> str:
    """Estimate the CPU time of a one-process edge per served and per rejected request.

    Fits the CPU use of each second to its numbers of served and rejected requests by least squares.
    """
    from juniperreel.load.summary import load_result

    result = load_result(path)
    served: dict[int, int] = defaultdict(int)
    rejected: dict[int, int] = defaultdict(int)
    cpu: dict[int, float] = {}
    for usage in result.usage:
        if usage.name == "edge":
            cpu[usage.second] = usage.cpu
        elif usage.name.startswith("client"):
            served[usage.second] += usage.served
            rejected[usage.second] += usage.rejected
    rows = [(1.0, served[second], rejected[second]) for second in cpu]
    coefficients, *_ = np.linalg.lstsq(np.array(rows), np.array([cpu[second] for second in cpu]), rcond=None)
    return (
        f"CPU of the edge: {coefficients[1] * 1e3:.3f} ms per served request, "
        f"{coefficients[2] * 1e3:.3f} ms per rejected request"
    )


def main() -> None:
    if sys.argv[1:2] == ["proxy"]:
        asyncio.run(serve_proxy(int(sys.argv[2])))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--code", type=Path, default=ROOT, help="source tree whose edge is measured")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--pause", type=float, default=3.0)
    parser.add_argument("--rates", default=DEFAULT_RATES)
    parser.add_argument("--bursts", default="")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--channels", type=int, default=2)
    parser.add_argument("--out", type=Path, default=Path(tempfile.gettempdir()))
    parser.add_argument("--name", default="edge")
    parser.add_argument("--profile")
    parser.add_argument("--plan", type=Path, help="load plan to run instead of --rates and --bursts")
    parser.add_argument(
        "--edit", action="append", default=[], help="replace OLD by NEW in the edge's settings"
    )
    parser.add_argument("--proxy", action="store_true")
    arguments = parser.parse_args()
    plan = LOAD_PLAN.format(processes=arguments.processes, channels=arguments.channels)
    for rate in arguments.rates.split(","):
        if rate:
            plan += f"[stage at-{rate}]\nrate {rate}\nfor {arguments.seconds}s\n"
            plan += f"[stage pause-{rate}]\nfor {arguments.pause}s\n"
    for burst in arguments.bursts.split(","):
        if burst:
            plan += f"[stage burst-{burst}]\nburst {burst}\nfor 8s\n"
    if arguments.plan:
        plan = arguments.plan.read_text(encoding="utf-8")
    program = [sys.executable, "-m", "juniperreel.cli.main"]
    processes = []
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary)
        try:
            fleet, match = start_process(
                [*program, "standins", str(FLEET_SCRIPT), "--processes", "3"],
                r"host list on 127.0.0.1:(\d+)",
                ROOT,
            )
            processes.append(fleet)
            (directory / "token.key").write_bytes(os.urandom(16).hex().encode())
            text = make_edge_settings(int(match[1]), arguments.workers)
            for edit in arguments.edit:
                old, _, new = edit.partition("=")
                assert old in text, old
                text = text.replace(old, new)
            (directory / "edge.conf").write_text(text, encoding="utf-8")
            (directory / "plan.conf").write_text(plan, encoding="utf-8")
            command = [*program, "edge", str(directory / "edge.conf")]
            if arguments.profile:
                command[1:1] = ["-m", "cProfile", "-o", arguments.profile]
            if arguments.proxy:
                command = [sys.executable, __file__, "proxy", match[1]]
            edge, match = start_process(command, r'"listen": "(127.0.0.1:\d+)"', arguments.code)
            processes.append(edge)
            time.sleep(1)
            subprocess.run(
                [
                    *program, "load", str(directory / "plan.conf"), "--target", match[1],
                    "--out", str(arguments.out / f"{arguments.name}.jsonl"),
                    "--plot", str(arguments.out / f"{arguments.name}.png"),
                    "--watch", f"members={fleet.pid}", "--watch", f"edge={edge.pid}",
                ],
                cwd=ROOT,
            )  # fmt: skip
            # A plan from --plan may have a steady load only, from which the two costs cannot be told apart.
            if arguments.workers == 1 and not arguments.plan:
                print(estimate_cpu_costs(arguments.out / f"{arguments.name}.jsonl"))
        finally:
            for process in processes:
                process.terminate()
                process.wait(15)


if __name__ == "__main__":
    main()
