"""Interoperability with unmodified grpcio, as client and as server."""

from __future__ import annotations

import json
import random
import threading
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest
import trio

from juniperreel.net import Clock, ConnectTimedOutError, TcpNetwork
from juniperreel.proto.health.v1 import health_pb2
from juniperreel.proto.reflection.v1 import reflection_pb2
from juniperreel.rpc.call import Call
from juniperreel.rpc.channel import Channel
from juniperreel.rpc.health import HealthService
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.reflection import ReflectionService
from juniperreel.rpc.server import Method, Server
from juniperreel.rpc.status import PUSHBACK, Code, RpcError, error_info, retry_info

SECONDS = 20.0
BIG = 3 << 20


class Echo:
    """A service whose methods exercise the features of the protocol."""

    def __init__(self) -> None:
        self.cancelled = trio.Event()
        self.tries = 0

    def methods(self) -> dict[str, Method]:
        return {
            "/t.Echo/Unary": Method(unary=self.unary),
            "/t.Echo/Fail": Method(unary=self.fail),
            "/t.Echo/Slow": Method(unary=self.slow),
            "/t.Echo/Flaky": Method(unary=self.flaky),
            "/t.Echo/Count": Method(streaming=self.count),
            "/t.Echo/Bug": Method(unary=self.bug),
        }

    async def unary(self, call: Call, request: bytes) -> bytes:
        call.add_initial_metadata([("x-first", "1")])
        call.trailing_metadata.extend((k, v) for k, v in call.metadata if k.startswith("x-"))
        await trio.lowlevel.checkpoint()
        return request

    async def fail(self, _call: Call, _request: bytes) -> bytes:
        details = [retry_info(1_500_000), error_info("WHY", "d")]
        raise RpcError(Code.UNAVAILABLE, "nö 100%\n", details, [(PUSHBACK, "-1")])

    async def slow(self, _call: Call, _request: bytes) -> bytes:
        try:
            await trio.sleep(SECONDS)
        except trio.Cancelled:
            self.cancelled.set()
            raise
        return b""

    async def flaky(self, call: Call, _request: bytes) -> bytes:
        self.tries += 1
        if self.tries < 3:
            raise RpcError(Code.UNAVAILABLE, "again", metadata=[(PUSHBACK, "10")])
        previous = call.metadata_value("grpc-previous-rpc-attempts")
        return str(previous).encode()

    async def count(self, call: Call) -> None:
        start = int(await call.receive() or b"0")
        for number in range(start):
            await call.send(b"%d" % number * 1000)

    async def bug(self, _call: Call, _request: bytes) -> bytes:
        raise ZeroDivisionError


class RunningServer:
    """Our server, with its service and the exceptions that its handlers raised."""

    def __init__(self, echo: Echo, port: int, errors: list[Exception], server: Server) -> None:
        self.echo = echo
        self.port = port
        self.errors = errors
        self.server = server

    async def with_channel(self, use: Any, **options: Any) -> Any:
        def run() -> Any:
            with grpc.insecure_channel(f"127.0.0.1:{self.port}", **options) as channel:
                return use(channel)

        with trio.fail_after(SECONDS):
            return await trio.to_thread.run_sync(run)


@pytest.fixture
async def served(nursery: trio.Nursery) -> RunningServer:
    clock = Clock()
    echo = Echo()
    errors: list[Exception] = []
    health = HealthService(("t.Echo",))
    health.set_serving(True)
    methods = (
        echo.methods() | health.methods() | ReflectionService(("t.Echo", "grpc.health.v1.Health")).methods()
    )
    server = Server(methods, Limits(), clock, lambda _path, error: errors.append(error))
    listener = await TcpNetwork().listen("127.0.0.1", 0)
    await nursery.start(server.serve, listener)
    return RunningServer(echo, listener.port, errors, server)


def unary(channel: grpc.Channel, method: str) -> Any:
    return channel.unary_unary(f"/t.Echo/{method}")


async def test_unary_with_metadata_and_gzip_echoes_both(served: RunningServer) -> None:
    def use(channel: grpc.Channel) -> None:
        sent = (("x-a", "b"), ("x-c-bin", b"\x00\xff"))
        for compression in (grpc.Compression.NoCompression, grpc.Compression.Gzip):
            call = unary(channel, "Unary").with_call
            reply, info = call(b"hello" * 1000, metadata=sent, timeout=SECONDS, compression=compression)
            assert reply == b"hello" * 1000
            assert ("x-first", "1") in [tuple(m) for m in info.initial_metadata()]
            assert [tuple(m) for m in info.trailing_metadata()] == list(sent)

    await served.with_channel(use)


async def test_large_message_beyond_the_limit_is_rejected(served: RunningServer) -> None:
    def use(channel: grpc.Channel) -> None:
        body = random.Random(1).randbytes(BIG)
        assert unary(channel, "Unary")(body, timeout=SECONDS) == body
        with pytest.raises(grpc.RpcError) as failed:
            unary(channel, "Unary")(bytes(5 << 20), timeout=SECONDS)
        assert failed.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED

    await served.with_channel(use)


async def test_error_status_carries_message_and_details(served: RunningServer) -> None:
    def use(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as failed:
            unary(channel, "Fail")(b"", timeout=SECONDS)
        assert failed.value.code() is grpc.StatusCode.UNAVAILABLE
        assert failed.value.details() == "nö 100%\n"
        trailing = dict(failed.value.trailing_metadata())
        assert b"google.rpc.RetryInfo" in trailing["grpc-status-details-bin"]
        with pytest.raises(grpc.RpcError) as unknown:
            unary(channel, "Nothing")(b"", timeout=SECONDS)
        assert unknown.value.code() is grpc.StatusCode.UNIMPLEMENTED
        with pytest.raises(grpc.RpcError) as bug:
            unary(channel, "Bug")(b"", timeout=SECONDS)
        assert bug.value.code() is grpc.StatusCode.INTERNAL

    await served.with_channel(use)
    assert [type(e) for e in served.errors] == [ZeroDivisionError]


async def test_deadline_and_cancel_reach_the_handler(served: RunningServer) -> None:
    def late(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as failed:
            unary(channel, "Slow")(b"", timeout=0.2)
        assert failed.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED

    def cancel(channel: grpc.Channel) -> None:
        future = unary(channel, "Slow").future(b"")
        threading.Timer(0.2, future.cancel).start()
        with pytest.raises(grpc.FutureCancelledError):
            future.result(timeout=SECONDS)

    for use in (late, cancel):
        served.echo.cancelled = trio.Event()
        await served.with_channel(use)
        with trio.fail_after(SECONDS):
            await served.echo.cancelled.wait()


async def test_retries_with_pushback_follow_it_and_are_marked(served: RunningServer) -> None:
    policy = {
        "maxAttempts": 4,
        "initialBackoff": "5s",
        "maxBackoff": "5s",
        "backoffMultiplier": 1,
        "retryableStatusCodes": ["UNAVAILABLE"],
    }
    config = {"methodConfig": [{"name": [{"service": "t.Echo"}], "retryPolicy": policy}]}

    def use(channel: grpc.Channel) -> bytes:
        # The time-out is shorter than one backoff, so the retries must follow the pushback.
        return bytes(unary(channel, "Flaky")(b"", timeout=4))

    options = (("grpc.service_config", json.dumps(config)), ("grpc.enable_retries", 1))
    assert await served.with_channel(use, options=options) == b"2"


async def test_streams_health_watch_and_reflection_answer_grpcio(served: RunningServer) -> None:
    def use(channel: grpc.Channel) -> None:
        counted = list(channel.unary_stream("/t.Echo/Count")(b"500", timeout=SECONDS))
        assert counted == [b"%d" % n * 1000 for n in range(500)]
        watch = channel.unary_stream(
            "/grpc.health.v1.Health/Watch",
            health_pb2.HealthCheckRequest.SerializeToString,
            health_pb2.HealthCheckResponse.FromString,
        )(health_pb2.HealthCheckRequest(service="t.Echo"), timeout=SECONDS)
        assert next(watch).status == health_pb2.HealthCheckResponse.SERVING
        trio.from_thread.run_sync(lambda: None)
        watch.cancel()
        reflect = channel.stream_stream(
            "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo",
            reflection_pb2.ServerReflectionRequest.SerializeToString,
            reflection_pb2.ServerReflectionResponse.FromString,
        )
        requests = [
            reflection_pb2.ServerReflectionRequest(list_services="*"),
            reflection_pb2.ServerReflectionRequest(file_containing_symbol="grpc.health.v1.Health"),
            reflection_pb2.ServerReflectionRequest(file_by_filename="none.proto"),
        ]
        names, files, missing = reflect(iter(requests), timeout=SECONDS)
        assert [s.name for s in names.list_services_response.service] == ["t.Echo", "grpc.health.v1.Health"]
        assert len(files.file_descriptor_response.file_descriptor_proto) == 1
        assert missing.error_response.error_code == 5

    await served.with_channel(use)


async def test_drain_with_a_call_in_flight_lets_it_finish(
    served: RunningServer, nursery: trio.Nursery
) -> None:
    def use(channel: grpc.Channel) -> bytes:
        numbers = channel.unary_stream("/t.Echo/Count")(b"2000", timeout=SECONDS)
        first = next(numbers)
        trio.from_thread.run_sync(lambda: nursery.start_soon(served.server.drain))
        return bytes(b"".join([first, *numbers]))

    assert len(await served.with_channel(use)) == sum(len(str(n)) for n in range(2000)) * 1000


# Our channel with a grpcio server.


class GrpcioEcho(grpc.GenericRpcHandler):  # type: ignore[misc]
    def service(self, details: Any) -> Any:
        return {
            "/t.Echo/Unary": grpc.unary_unary_rpc_method_handler(self.unary),
            "/t.Echo/Fail": grpc.unary_unary_rpc_method_handler(self.fail),
            "/t.Echo/Slow": grpc.unary_unary_rpc_method_handler(self.slow),
            "/t.Echo/Count": grpc.unary_stream_rpc_method_handler(self.count),
        }.get(details.method)

    def __init__(self) -> None:
        self.cancelled = threading.Event()

    def unary(self, request: bytes, context: Any) -> bytes:
        context.send_initial_metadata((("x-first", "1"),))
        context.set_trailing_metadata(
            tuple((m.key, m.value) for m in context.invocation_metadata() if m.key.startswith("x-"))
        )
        return request

    def fail(self, _request: bytes, context: Any) -> bytes:
        context.abort(grpc.StatusCode.FAILED_PRECONDITION, "ü%")
        return b""

    def slow(self, _request: bytes, context: Any) -> bytes:
        context.add_callback(self.cancelled.set)
        self.cancelled.wait(SECONDS)
        return b""

    def count(self, request: bytes, _context: Any) -> Iterator[bytes]:
        for number in range(int(request)):
            yield b"%d" % number * 1000


@pytest.fixture
def grpcio_server() -> Iterator[tuple[GrpcioEcho, int]]:
    handler = GrpcioEcho()
    options = (("grpc.max_receive_message_length", 8 << 20),)
    server = grpc.server(
        futures.ThreadPoolExecutor(8), handlers=(handler,), options=options, compression=grpc.Compression.Gzip
    )
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    yield handler, port
    server.stop(None)


async def test_channel_against_a_grpcio_server_serves_each_kind_of_call(
    grpcio_server: tuple[GrpcioEcho, int], nursery: trio.Nursery
) -> None:
    handler, port = grpcio_server
    channel = Channel(TcpNetwork(), Clock(), "127.0.0.1", port, Limits(), random.Random(1), 5_000_000)
    await nursery.start(channel.run)
    with trio.fail_after(SECONDS):
        sent: list[tuple[str, str | bytes]] = [("x-a", "b"), ("x-c-bin", b"\x00\xff")]
        reply = await channel.unary("/t.Echo/Unary", b"hello" * 1000, sent, 5_000_000, gzip=True)
        assert reply.message == b"hello" * 1000
        assert reply.trailing_metadata == sent
        assert ("x-first", "1") in reply.initial_metadata
        body = random.Random(2).randbytes(BIG)
        assert (await channel.unary("/t.Echo/Unary", body)).message == body
        with pytest.raises(RpcError) as failed:
            await channel.unary("/t.Echo/Fail", b"")
        assert failed.value.code is Code.FAILED_PRECONDITION
        assert failed.value.message == "ü%"
        async with channel.streaming("/t.Echo/Count", b"300") as messages:
            assert [m async for m in messages] == [b"%d" % n * 1000 for n in range(300)]
        with pytest.raises(RpcError) as unknown:
            await channel.unary("/t.Echo/Nothing", b"")
        assert unknown.value.code is Code.UNIMPLEMENTED
        with trio.move_on_after(0.2):
            await channel.unary("/t.Echo/Slow", b"", timeout_us=10_000_000)
        assert await trio.to_thread.run_sync(handler.cancelled.wait, SECONDS)
        assert channel.connect_attempts == 1
        await channel.finish()


async def test_peer_that_never_speaks_fails_the_connect(nursery: trio.Nursery) -> None:
    listener = await TcpNetwork().listen("127.0.0.1", 0)
    channel = Channel(TcpNetwork(), Clock(), "127.0.0.1", listener.port, Limits(), random.Random(1), 100_000)
    await nursery.start(channel.run)
    with trio.fail_after(SECONDS), pytest.raises(ConnectTimedOutError):
        await channel.unary("/t.Echo/Unary", b"")
    channel.close()
    await listener.aclose()
