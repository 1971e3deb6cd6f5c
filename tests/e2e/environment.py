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


def write_certificate(folder: Path) -> None:
    """Write a certificate for 127.0.0.1, its key, and the certificate of the authority that signed it."""
    certificate_authority = trustme.CA()
    issued = certificate_authority.issue_cert("127.0.0.1")
    certificate_authority.cert_pem.write_to_path(folder / "ca.crt")
    issued.private_key_pem.write_to_path(folder / "edge.pem")
    issued.cert_chain_pems[0].write_to_path(folder / "edge.crt")


class Environment:
    """A running fleet and edge; start it with `nursery.start(env.run)`."""

    def __init__(
        self, folder: Path, script: str = "", mysql_directives: str = "", drain_grace: str = "2s"
    ) -> None:
        """`script`: additional directives; `mysql_directives`: of section [mysql] of the edge's settings."""
        self.folder, self.mysql_directives = folder, mysql_directives
        self.drain_grace = drain_grace
        self.script = parse(SCRIPT + script)
        self.clock = Clock()
        self.network = TcpNetwork()
        self.recorder = Recorder()
        self.fleet = Fleet(self.script, self.network, self.clock, self.recorder)
        self.keyring = Keyring([SigningKey(1, KEY)])
        self.port = 0
        self.request_count = 0

    async def run(self, task_status: trio.TaskStatus[Environment] = trio.TASK_STATUS_IGNORED) -> None:
        (self.folder / "token.key").write_bytes(KEY)
        write_certificate(self.folder)
        (self.folder / "ada.password").write_bytes(b"love lace\n")
        async with trio.open_nursery() as nursery:
            await nursery.start(self.fleet.run)
            text = (
                EDGE_SETTINGS.format(hosts=self.fleet.endpoint_list.port)
                + "tls edge.crt edge.pem\n"
                + self.mysql_directives
            )
            text = text.replace("drain-grace 2s", f"drain-grace {self.drain_grace}")
            if self.script["mysql-members"]:
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
                await self.wait_until_ready()
                task_status.started(self)
                await trio.sleep_forever()

    async def wait_until_ready(self) -> None:
        """Wait until the edge knows all endpoints and serves a write and a read."""
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
        request = records_pb2.ExecuteRequest(
            statement=f"{text} /* rid {rid} */".encode(), session="s", **fields
        )
        setattr(request, "class", cls)
        if cls == "write" and not request.idempotency_key:
            request.idempotency_key = rid
        for value in (row, rid) if writes else (row,):
            request.parameters.append(values_pb2.Value(text=value))
        return request

    def next_rid(self) -> str:
        self.request_count += 1
        return f"t{self.request_count}"

    async def send(
        self, request: records_pb2.ExecuteRequest, timeout_s: float = 10, metadata: Any = ()
    ) -> records_pb2.ExecuteResponse:
        with trio.fail_after(timeout_s + 5):
            reply = await self.channel.unary(
                EXECUTE, request.SerializeToString(), metadata, int(timeout_s * 1e6)
            )
        return records_pb2.ExecuteResponse.FromString(reply.message)

    async def write(self, row: str, cls: str = "write", rid: str = "") -> records_pb2.ExecuteResponse:
        return await self.send(self.message(cls, row, rid or self.next_rid()))

    async def read(
        self, row: str, token: bytes = b"", cls: str = "own", timeout_s: float = 10
    ) -> records_pb2.ExecuteResponse:
        return await self.send(self.message(cls, row, self.next_rid(), causal_token=token), timeout_s)

    def token(self, position: int, epoch: int = 1) -> bytes:
        return self.keyring.encode(Token.for_position(0, epoch, position))

    def commits(self, rid: str) -> list[Committed]:
        return [
            record
            for record in self.recorder.records
            if isinstance(record, Committed) and record.request_id == rid
        ]

    async def inject_fault(self, text: str) -> None:
        """Inject a fault now; returns after its whole duration."""
        (step,) = parse(text).steps
        await FaultInjector(self.fleet, reject_edge_step).carry_out(step)

    @property
    def primary(self) -> Any:
        assert self.fleet.groups[0].primary is not None
        return self.fleet.groups[0].primary

    def metric(self, name: str, **labels: str) -> float:
        """Return the sum of the samples that have the given labels."""
        return sum(
            sample.value
            for family in self.edge.metrics.registry.collect()
            for sample in family.samples
            if sample.name == f"juniperreel_{name}" and labels.items() <= sample.labels.items()
        )


async def reject_edge_step(step: Step) -> None:
    raise AssertionError(step.text)


def rows(answer: records_pb2.ExecuteResponse) -> list[str]:
    return [row.values[0].text for row in answer.result.rows]
