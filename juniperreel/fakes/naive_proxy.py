"""A careless edge, to show that the checkers see what carelessness does. Not a part of the product.

It picks members at random, retries blindly when an answer is late and leaves the first attempt running,
takes no notice of drains, cold starts, roles or tokens. Run as a program of its own:

    python -m juniperreel.fakes.naive_proxy NAME PORT HOSTS_PORT
"""

from __future__ import annotations

import json
import random
import sys

import trio

from juniperreel.net import Clock, ConnectError, TcpNetwork
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.channel import Broken, Channel, NeverSent
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Call, Method, Server
from juniperreel.rpc.status import Code, RpcError

PATIENCE_S = 0.15
TRIES = 6
FAILURES = (ConnectError, NeverSent, Broken, RpcError)


class Naive:
    def __init__(self, name: str, hosts_port: int) -> None:
        self.name, self.hosts_port = name, hosts_port
        self.network, self.clock, self.rng = TcpNetwork(), Clock(), random.Random(name)
        self.hosts: dict[str, hosts_pb2.Host] = {}
        self.channels: dict[str, Channel] = {}
        self.count = 0
        self.nursery: trio.Nursery | None = None

    async def run(self, port: int) -> None:
        async with trio.open_nursery() as self.nursery:
            listener = await self.network.listen("127.0.0.1", port)
            methods = {"/juniperreel.v1.Records/Execute": Method(unary=self.execute)}
            self.nursery.start_soon(Server(methods, Limits(), self.clock).serve, listener)
            line = {"event": "serving", "listen": f"127.0.0.1:{listener.port}"}
            print(json.dumps(line), file=sys.stderr, flush=True)
            await self.watch()

    async def channel(self, port: int) -> Channel:
        assert self.nursery is not None
        channel = Channel(self.network, self.clock, "127.0.0.1", port, Limits(), self.rng)
        await self.nursery.start(channel.run)
        return channel

    async def watch(self) -> None:
        channel = await self.channel(self.hosts_port)
        request = hosts_pb2.WatchRequest(edge=self.name).SerializeToString()
        while True:
            try:
                async with channel.streaming("/juniperreel.hosts.v1.Hosts/Watch", request) as messages:
                    async for data in messages:
                        for host in hosts_pb2.WatchResponse.FromString(data).hosts:
                            if host.id not in self.channels:
                                self.channels[host.id] = await self.channel(host.port)
                            self.hosts[host.id] = host
            except FAILURES:
                await trio.sleep(0.5)

    async def execute(self, call: Call, data: bytes) -> bytes:
        assert self.nursery is not None
        ask = records_pb2.ExecuteRequest.FromString(data)
        self.count += 1
        name = f"{self.name}-{0:08x}-{self.count:x}"
        answers, received = trio.open_memory_channel[member_pb2.ExecuteResponse](TRIES)
        for number in range(TRIES):
            self.nursery.start_soon(self.attempt, ask, name, number, answers.clone())
            with trio.move_on_after(PATIENCE_S * (number + 1)):
                answer = await received.receive()
                return records_pb2.ExecuteResponse(result=answer.result).SerializeToString()
        raise RpcError(Code.UNAVAILABLE, "gave up", metadata=[("grpc-retry-pushback-ms", "0")])

    async def attempt(
        self,
        ask: records_pb2.ExecuteRequest,
        name: str,
        number: int,
        answers: trio.MemorySendChannel[member_pb2.ExecuteResponse],
    ) -> None:
        able = [h for h in self.hosts.values() if h.group == ask.group]
        write = ask.statement.startswith(b"insert")
        listed = [h for h in able if h.primary]
        host = self.rng.choice(listed if write and listed and number % 2 == 0 else able)
        message = member_pb2.ExecuteRequest(
            request=name, attempt=number, write=write, statement=ask.statement, parameters=ask.parameters
        )
        setattr(message, "class", getattr(ask, "class"))
        with answers:
            try:
                reply = await self.channels[host.id].unary(
                    "/juniperreel.member.v1.Member/Execute", message.SerializeToString()
                )
                answers.send_nowait(member_pb2.ExecuteResponse.FromString(reply.message))
            except (*FAILURES, trio.WouldBlock, trio.BrokenResourceError):
                return


async def main(name: str, port: int, hosts_port: int) -> None:
    await Naive(name, hosts_port).run(port)


if __name__ == "__main__":
    trio.run(main, sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
