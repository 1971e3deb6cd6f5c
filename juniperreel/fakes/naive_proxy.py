"""A proxy that violates the rules, to validate the checkers. It is not part of the product.

It selects endpoints at random, retries without regard for idempotency when a response is late and leaves the
first attempt running, and ignores draining, slow start, roles and tokens. It runs as a separate program:

    python -m juniperreel.fakes.naive_proxy NAME PORT LIST_PORT
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
from juniperreel.rpc.call import Call
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Method, Server
from juniperreel.rpc.status import Code, RpcError

ATTEMPT_TIMEOUT_S = 0.15
MAX_ATTEMPTS = 6
WATCH_RETRY_S = 0.5
CALL_ERRORS = (ConnectError, CallUnprocessedError, CallInterruptedError, RpcError)


class NaiveProxy:
    """Serves the same client protocol as an edge."""

    def __init__(self, name: str, list_port: int) -> None:
        self._name = name
        self._list_port = list_port
        self._network = TcpNetwork()
        self._clock = Clock()
        self._rng = random.Random(name)
        self._hosts: dict[str, hosts_pb2.Host] = {}
        self._channels: dict[str, Channel] = {}  # by endpoint
        self._request_count = 0
        self._nursery: trio.Nursery | None = None

    async def run(self, port: int) -> None:
        """Serve until cancelled; logs a line to standard error once it is listening."""
        async with trio.open_nursery() as self._nursery:
            listener = await self._network.listen("127.0.0.1", port)
            methods = {"/juniperreel.v1.Records/Execute": Method(unary=self._execute)}
            self._nursery.start_soon(Server(methods, Limits(), self._clock).serve, listener)
            line = {"event": "serving", "listen": f"127.0.0.1:{listener.port}"}
            print(json.dumps(line), file=sys.stderr, flush=True)
            await self._watch_list()

    async def _open_channel(self, port: int) -> Channel:
        assert self._nursery is not None
        channel = Channel(self._network, self._clock, "127.0.0.1", port, Limits(), self._rng)
        await self._nursery.start(channel.run)
        return channel

    async def _watch_list(self) -> None:
        channel = await self._open_channel(self._list_port)
        request = hosts_pb2.WatchRequest(edge=self._name).SerializeToString()
        while True:
            try:
                async with channel.streaming("/juniperreel.hosts.v1.Hosts/Watch", request) as messages:
                    async for data in messages:
                        for host in hosts_pb2.WatchResponse.FromString(data).hosts:
                            await self._update(host)
            except CALL_ERRORS:
                await trio.sleep(WATCH_RETRY_S)

    async def _update(self, host: hosts_pb2.Host) -> None:
        if host.id not in self._channels:
            self._channels[host.id] = await self._open_channel(host.port)
        self._hosts[host.id] = host

    async def _execute(self, _call: Call, data: bytes) -> bytes:
        assert self._nursery is not None
        request = records_pb2.ExecuteRequest.FromString(data)
        self._request_count += 1
        request_name = f"{self._name}-{0:08x}-{self._request_count:x}"
        send, receive = trio.open_memory_channel[member_pb2.ExecuteResponse](MAX_ATTEMPTS)
        for attempt in range(MAX_ATTEMPTS):
            self._nursery.start_soon(self._attempt, request, request_name, attempt, send.clone())
            with trio.move_on_after(ATTEMPT_TIMEOUT_S * (attempt + 1)):
                response = await receive.receive()
                return records_pb2.ExecuteResponse(result=response.result).SerializeToString()
        raise RpcError(Code.UNAVAILABLE, "gave up", metadata=[("grpc-retry-pushback-ms", "0")])

    async def _attempt(
        self,
        request: records_pb2.ExecuteRequest,
        request_name: str,
        attempt: int,
        responses: trio.MemorySendChannel[member_pb2.ExecuteResponse],
    ) -> None:
        write = request.statement.startswith(b"insert")
        host = self._select(request.group, write and attempt % 2 == 0)
        message = member_pb2.ExecuteRequest(
            request=request_name,
            attempt=attempt,
            write=write,
            statement=request.statement,
            parameters=request.parameters,
        )
        setattr(message, "class", getattr(request, "class"))
        with responses:
            try:
                reply = await self._channels[host.id].unary(
                    "/juniperreel.member.v1.Member/Execute", message.SerializeToString()
                )
                responses.send_nowait(member_pb2.ExecuteResponse.FromString(reply.message))
            except (*CALL_ERRORS, trio.WouldBlock, trio.BrokenResourceError):
                return

    def _select(self, group: int, prefer_primary: bool) -> hosts_pb2.Host:
        hosts = [host for host in self._hosts.values() if host.group == group]
        primaries = [host for host in hosts if host.primary]
        return self._rng.choice(primaries if prefer_primary and primaries else hosts)


async def main(name: str, port: int, list_port: int) -> None:
    """Run one proxy."""
    await NaiveProxy(name, list_port).run(port)


if __name__ == "__main__":
    trio.run(main, sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
