"""Goodput over offered load, to ten times the capacity: an edge, an earlier tree's edge, or a plain proxy.

Stand-ins of the calm day, one edge (with --proxy a grpc.aio proxy that spreads reads over the replicas and
decides nothing else), and `juniperreel load` with a plan made here. What counts is the shape of
the curve; members' CPU is told beside, since they run on the same machine.

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
MEMBER = "/juniperreel.member.v1.Member/Execute"
EXECUTE = "/juniperreel.v1.Records/Execute"
DAY = ROOT / "juniperreel/fakes/days/calm.day"
RATES = "200,400,600,1000,2000,4000"
PLAN = """
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


def start(command: list[str], pattern: str, folder: Path) -> tuple[subprocess.Popen[str], re.Match[str]]:
    pipe = subprocess.PIPE
    process = subprocess.Popen(command, stdout=pipe, stderr=subprocess.STDOUT, text=True, cwd=folder)
    assert process.stdout is not None
    for line in process.stdout:
        found = re.search(pattern, line)
        if found:
            return process, found
    raise SystemExit(f"{command} ended without {pattern}")


def edge_text(hosts: int, workers: int) -> str:
    text = (ROOT / "deploy/edge.conf").read_text(encoding="utf-8")
    text = re.sub(r"listen .*", "listen 127.0.0.1:0", text)
    text = re.sub(r"metrics .*", f"workers {workers}" if workers > 1 else "", text)
    text = re.sub(r"edges 3 .*", "edges 1", text)
    return re.sub(r"source .*", f"source 127.0.0.1:{hosts}", text)


class Proxy(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Sends each read to any replica of its group, whatever happens."""

    def __init__(self, hosts: list[hosts_pb2.Host]) -> None:
        self.hosts = [h for h in hosts if not h.primary]
        self.calls: dict[str, Any] = {}

    def service(self, details: Any) -> Any:
        return grpc.unary_unary_rpc_method_handler(self.execute) if details.method == EXECUTE else None

    async def execute(self, request: bytes, context: Any) -> bytes:
        ask = records_pb2.ExecuteRequest.FromString(request)
        host = random.choice([h for h in self.hosts if h.group == ask.group])
        call = self.calls.get(host.id)
        if call is None:
            channel = grpc.aio.insecure_channel(f"{host.address}:{host.port}")
            call = self.calls[host.id] = channel.unary_unary(MEMBER)
        out = member_pb2.ExecuteRequest(
            request="proxy-0-0", statement=ask.statement, parameters=ask.parameters
        )
        reply = await call(out.SerializeToString(), timeout=context.time_remaining())
        answer = member_pb2.ExecuteResponse.FromString(reply)
        return records_pb2.ExecuteResponse(result=answer.result, attempts=1).SerializeToString()


async def proxy(hosts_port: int) -> None:
    async with grpc.aio.insecure_channel(f"127.0.0.1:{hosts_port}") as channel:
        fetch = channel.unary_unary("/juniperreel.hosts.v1.Hosts/Fetch")
        hosts: list[hosts_pb2.Host] = []
        while not any(h.primary for h in hosts):
            await asyncio.sleep(0.5)
            reply = await fetch(hosts_pb2.FetchRequest(edge="proxy").SerializeToString())
            hosts = list(hosts_pb2.FetchResponse.FromString(reply).hosts)
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    server.add_generic_rpc_handlers((Proxy(hosts),))
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(f'"listen": "127.0.0.1:{port}"', flush=True)
    await server.wait_for_termination()


def spent(path: Path) -> str:
    """CPU of the edge's one process for each served and refused request: least squares over the seconds."""
    from juniperreel.load.summary import load_result

    result = load_result(path)
    served: dict[int, int] = defaultdict(int)
    refused: dict[int, int] = defaultdict(int)
    cpu: dict[int, float] = {}
    for usage in result.usage:
        if usage.name == "edge":
            cpu[usage.second] = usage.cpu
        elif usage.name.startswith("client"):
            served[usage.second] += usage.served
            refused[usage.second] += usage.rejected
    rows = [(1.0, served[s], refused[s]) for s in cpu]
    found, *_ = np.linalg.lstsq(np.array(rows), np.array([cpu[s] for s in cpu]), rcond=None)
    return f"CPU of the edge: {found[1] * 1e3:.3f} ms a served request, {found[2] * 1e3:.3f} ms a refused one"


def main() -> None:
    if sys.argv[1:2] == ["proxy"]:
        asyncio.run(proxy(int(sys.argv[2])))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--code", type=Path, default=ROOT, help="the tree whose edge is measured")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--pause", type=float, default=3.0)
    parser.add_argument("--rates", default=RATES)
    parser.add_argument("--bursts", default="")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--channels", type=int, default=2)
    parser.add_argument("--out", type=Path, default=Path(tempfile.gettempdir()))
    parser.add_argument("--name", default="edge")
    parser.add_argument("--profile")
    parser.add_argument("--plan", type=Path, help="a plan of its own, in place of the rates")
    parser.add_argument("--edit", action="append", default=[], help="OLD=NEW in the edge's settings")
    parser.add_argument("--proxy", action="store_true")
    words = parser.parse_args()
    plan = PLAN.format(processes=words.processes, channels=words.channels)
    for rate in words.rates.split(","):
        if rate:
            plan += f"[stage at-{rate}]\nrate {rate}\nfor {words.seconds}s\n"
            plan += f"[stage pause-{rate}]\nfor {words.pause}s\n"
    for burst in words.bursts.split(","):
        if burst:
            plan += f"[stage burst-{burst}]\nburst {burst}\nfor 8s\n"
    if words.plan:
        plan = words.plan.read_text(encoding="utf-8")
    python = [sys.executable, "-m", "juniperreel.cli.main"]
    processes = []
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        try:
            members, found = start(
                [*python, "standins", str(DAY), "--processes", "3"], r"host list on 127.0.0.1:(\d+)", ROOT
            )
            processes.append(members)
            (folder / "token.key").write_bytes(os.urandom(16).hex().encode())
            text = edge_text(int(found[1]), words.workers)
            for edit in words.edit:
                old, _, new = edit.partition("=")
                assert old in text, old
                text = text.replace(old, new)
            (folder / "edge.conf").write_text(text, encoding="utf-8")
            (folder / "plan.conf").write_text(plan, encoding="utf-8")
            command = [*python, "edge", str(folder / "edge.conf")]
            if words.profile:
                command[1:1] = ["-m", "cProfile", "-o", words.profile]
            if words.proxy:
                command = [sys.executable, __file__, "proxy", found[1]]
            edge, found = start(command, r'"listen": "(127.0.0.1:\d+)"', words.code)
            processes.append(edge)
            time.sleep(1)
            subprocess.run(
                [
                    *python, "load", str(folder / "plan.conf"), "--target", found[1],
                    "--out", str(words.out / f"{words.name}.jsonl"),
                    "--plot", str(words.out / f"{words.name}.png"),
                    "--watch", f"members={members.pid}", "--watch", f"edge={edge.pid}",
                ],
                cwd=ROOT,
            )  # fmt: skip
            if words.workers == 1 and not words.plan:  # steady load alone tells the two costs not apart
                print(spent(words.out / f"{words.name}.jsonl"))
        finally:
            for process in processes:
                process.terminate()
                process.wait(15)


if __name__ == "__main__":
    main()
