"""The environment of the end-to-end tests: a fleet, an edge and a client, all in one trio run."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import trio
import trustme

from juniperreel.causal import Keyring, SigningKey, Token
from juniperreel.cli.edge import Edge
from juniperreel.fakes.fault_injector import FaultInjector
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.mysql_server import PASSWORD, USER
from juniperreel.fakes.script import Step, parse
from juniperreel.net import Clock, TcpNetwork
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.channel import Channel
from juniperreel.rpc.limits import Limits
from juniperreel.settings.edge import parse_edge
from juniperreel.telemetry.log import make_log
from juniperreel.verification.records import Committed, Recorder

KEY = b"k" * 32
EXECUTE = "/juniperreel.v1.Records/Execute"
SCRIPT = """
groups 1
members 3
read-work 2ms
write-work 3ms
list-delay 100ms
primary-delay 200ms
"""
EDGE_SETTINGS = """
[edge]
name edge
listen 127.0.0.1:0
edges 1
groups 1
seed 5
[hosts]
source 127.0.0.1:{hosts}
shows-primary yes
[class board]
effect repeatable
consistency bounded 300ms
aim 1s
deadline 2s
worth 1
late-worth 50%
[class own]
effect repeatable
consistency session
aim 6s
deadline 12s
worth 1
late-worth 50%
[class write]
effect keyed group 5s
consistency write
aim 8s
deadline 9s
worth 4
late-worth 70%
[class once]
effect once
consistency write
aim 8s
deadline 9s
worth 4
late-worth 70%
[rules]
attempts 6
answer-margin 40ms
drain-grace 2s
cold-from 20%
cold-span 6s
fall-multiple 2
overload-span 2s
refusal-wait 300ms
members-check refuse
[limits]
connect-timeout 300ms
probe-timeout 300ms
[token]
key 1 token.key
skew 30ms
[mysql]
listen 127.0.0.1:0
user ada ada.password
read own
write write
connections 50
"""


MYSQL_MEMBERS = f"""
[members]
speak mysql
user {USER} member.password
database runs
"""


def certificate(folder: Path) -> None:
    """Of 127.0.0.1, and the authority's that signed it."""
    authority = trustme.CA()
    made = authority.issue_cert("127.0.0.1")
    authority.cert_pem.write_to_path(folder / "ca.crt")
    made.private_key_pem.write_to_path(folder / "edge.pem")
    made.cert_chain_pems[0].write_to_path(folder / "edge.crt")


class Environment:
    """A running fleet and edge; start it with `nursery.start(env.run)`."""

    def __init__(self, folder: Path, day: str = "", more: str = "") -> None:
        """`more`: directives of [mysql]."""
        self.folder, self.more = folder, more
        self.day = parse(SCRIPT + day)
        self.clock = Clock()
        self.network = TcpNetwork()
        self.recorder = Recorder()
        self.fleet = Fleet(self.day, self.network, self.clock, self.recorder)
        self.ring = Keyring([SigningKey(1, KEY)])
        self.port = 0
        self.count = 0

    async def run(self, task_status: trio.TaskStatus[Environment] = trio.TASK_STATUS_IGNORED) -> None:
        (self.folder / "token.key").write_bytes(KEY)
        certificate(self.folder)
        (self.folder / "ada.password").write_bytes(b"love lace\n")
        async with trio.open_nursery() as nursery:
            await nursery.start(self.fleet.run)
            text = (
                EDGE_SETTINGS.format(hosts=self.fleet.endpoint_list.port)
                + "tls edge.crt edge.pem\n"
                + self.more
            )
            if self.day["mysql-members"]:
                (self.folder / "member.password").write_bytes(PASSWORD)
                text = text.replace("effect keyed group 5s", "effect once") + MYSQL_MEMBERS
            settings = parse_edge(text.encode(), "edge.conf", self.folder)
            with (self.folder / "edge.log").open("w") as log:
                self.edge = Edge(settings, self.network, self.clock, make_log(stream=log))
                self.port = await nursery.start(self.edge.run)
                self.channel = Channel(
                    self.network, self.clock, "127.0.0.1", self.port, Limits(), random.Random(1)
                )
                await nursery.start(self.channel.run)
                await self.settled()
                task_status.started(self)
                await trio.sleep_forever()

    async def settled(self) -> None:
        """Until the edge knows the members and serves a read and a write."""
        with trio.fail_after(20):
            while len(self.edge.driver.router.state.endpoints) < len(self.fleet.endpoints):
                await trio.sleep(0.02)
            await self.write("settle")
            await self.read("settle")

    def message(self, cls: str, row: str, rid: str, **fields: Any) -> records_pb2.ExecuteRequest:
        writes = cls in ("write", "once")
        text = (
            "insert into runs (runner, id) values (?, ?)"
            if writes
            else "select id from runs where runner = ?"
        )
        ask = records_pb2.ExecuteRequest(statement=f"{text} /* rid {rid} */".encode(), session="s", **fields)
        setattr(ask, "class", cls)
        if cls == "write" and not ask.idempotency_key:
            ask.idempotency_key = rid
        for value in (row, rid) if writes else (row,):
            ask.parameters.append(values_pb2.Value(text=value))
        return ask

    def rid(self) -> str:
        self.count += 1
        return f"t{self.count}"

    async def send(
        self, ask: records_pb2.ExecuteRequest, timeout_s: float = 10, metadata: Any = ()
    ) -> records_pb2.ExecuteResponse:
        with trio.fail_after(timeout_s + 5):
            reply = await self.channel.unary(EXECUTE, ask.SerializeToString(), metadata, int(timeout_s * 1e6))
        return records_pb2.ExecuteResponse.FromString(reply.message)

    async def write(self, row: str, cls: str = "write", rid: str = "") -> records_pb2.ExecuteResponse:
        return await self.send(self.message(cls, row, rid or self.rid()))

    async def read(
        self, row: str, token: bytes = b"", cls: str = "own", timeout_s: float = 10
    ) -> records_pb2.ExecuteResponse:
        return await self.send(self.message(cls, row, self.rid(), causal_token=token), timeout_s)

    def token(self, position: int, epoch: int = 1) -> bytes:
        return self.ring.encode(Token.for_position(0, epoch, position))

    def commits(self, rid: str) -> list[Committed]:
        return [r for r in self.recorder.records if isinstance(r, Committed) and r.request_id == rid]

    async def fault(self, text: str) -> None:
        """One fault now, for its whole span."""
        (step,) = parse(text).steps
        await FaultInjector(self.fleet, no_edge).carry_out(step)

    @property
    def primary(self) -> Any:
        assert self.fleet.groups[0].primary is not None
        return self.fleet.groups[0].primary

    def metric(self, name: str, **labels: str) -> float:
        """The sum over all labels that are not named."""
        return sum(
            sample.value
            for family in self.edge.metrics.registry.collect()
            for sample in family.samples
            if sample.name == f"juniperreel_{name}" and labels.items() <= sample.labels.items()
        )


async def no_edge(step: Step) -> None:
    raise AssertionError(step.text)


def rows(answer: records_pb2.ExecuteResponse) -> list[str]:
    return [row.values[0].text for row in answer.result.rows]
