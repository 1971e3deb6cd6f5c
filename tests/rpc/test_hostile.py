"""Peers that break or abuse the protocol: only their own connection may be affected."""

from __future__ import annotations

import random
import resource
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import h2.config
import h2.connection
import h2.events
import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from juniperreel.net import Clock, TcpNetwork
from juniperreel.rpc.call import Call
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.connection import Connection
from juniperreel.rpc.framing import Deframer, frame_message, gzip_compress
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.metadata import MetadataError, decode_base64, decode_timeout, encode_timeout
from juniperreel.rpc.server import Method, Server
from juniperreel.rpc.status import Code, RpcError, decode_message, encode_message, unpack_details

SECONDS = 20
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
LIMITS = Limits(
    message_bytes=1 << 20, handshake_us=500_000, keepalive_us=200_000, keepalive_timeout_us=200_000
)


def raw_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return struct.pack(">I", len(payload))[1:] + bytes((kind, flags)) + struct.pack(">I", stream) + payload


SETTINGS = raw_frame(4, 0, 0, b"")


class Target:
    """A server, and a well-behaved client that must be served throughout an attack."""

    def __init__(self, port: int, well_behaved: Channel, server: Server) -> None:
        self.port = port
        self.well_behaved = well_behaved
        self.server = server

    async def assert_serves(self) -> None:
        with trio.fail_after(SECONDS):
            assert (await self.well_behaved.unary("/t/Echo", b"alive")).message == b"alive"

    async def attack(self, data: bytes) -> bytes:
        """Send `data`, then read until the server closes the connection or the time-out passes."""
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        got = b""
        async with stream:
            with trio.move_on_after(SECONDS):
                try:
                    await stream.send_all(data)
                    await stream.send_eof()
                    while chunk := await stream.receive_some(65536):
                        got += chunk
                except trio.BrokenResourceError:
                    pass
        return got


async def echo(_call: Call, request: bytes) -> bytes:
    await trio.lowlevel.checkpoint()
    return request


@pytest.fixture
async def target(nursery: trio.Nursery) -> Target:
    clock = Clock()
    network = TcpNetwork()
    server = Server({"/t/Echo": Method(unary=echo)}, LIMITS, clock)
    listener = await network.listen("127.0.0.1", 0)
    await nursery.start(server.serve, listener)
    well_behaved = Channel(network, clock, "127.0.0.1", listener.port, Limits(), random.Random(1))
    await nursery.start(well_behaved.run)
    return Target(listener.port, well_behaved, server)


def client() -> h2.connection.H2Connection:
    connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    connection.initiate_connection()
    return connection


def headers(**changes: str) -> list[tuple[str, str]]:
    fields = {
        ":method": "POST",
        ":scheme": "http",
        ":path": "/t/Echo",
        ":authority": "x",
        "content-type": "application/grpc",
        "te": "trailers",
    }
    return list((fields | changes).items())


def endless_continuation() -> bytes:
    start = raw_frame(1, 0, 1, b"\x82")
    return PREFACE + SETTINGS + start + raw_frame(9, 0, 1, b"\x82" * 100) * 5000


def hpack_bomb() -> bytes:
    # Adds an entry of 4000 bytes to the dynamic table, which the rest of the block references repeatedly.
    fill = b"\x40\x01a" + b"\x7f\x81\x1e" + b"b" * 4000
    block = fill + b"\xbe" * 12_000
    return PREFACE + SETTINGS + raw_frame(1, 4, 1, block)


def rapid_resets() -> bytes:
    connection = client()
    for number in range(1, 6001, 2):
        connection.send_headers(number, headers())
        connection.reset_stream(number)
    return connection.data_to_send()


def huge_prefix() -> bytes:
    connection = client()
    connection.send_headers(1, headers())
    connection.send_data(1, b"\x00\xff\xff\xff\xff" + bytes(100))
    return connection.data_to_send()


def ping_flood() -> bytes:
    return PREFACE + SETTINGS + raw_frame(6, 0, 0, b"12345678") * 5000


def settings_flood() -> bytes:
    return PREFACE + SETTINGS * 20_000


def empty_data() -> bytes:
    connection = client()
    connection.send_headers(1, headers())
    return connection.data_to_send() + raw_frame(0, 0, 1, b"") * 20_000


ATTACKS = {
    "http/1.1": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "no settings": PREFACE,
    "nothing": b"",
    "frame too large": PREFACE + SETTINGS + struct.pack(">I", (1 << 24) - 1)[1:] + bytes(6) + bytes(100_000),
    "data on no stream": PREFACE + SETTINGS + raw_frame(0, 0, 5, b"x"),
    "endless continuation": endless_continuation(),
    "hpack bomb": hpack_bomb(),
    "rapid resets": rapid_resets(),
    "huge prefix": huge_prefix(),
    "ping flood": ping_flood(),
    "settings flood": settings_flood(),
    "empty data": empty_data(),
}


@pytest.mark.parametrize("name", ATTACKS)
async def test_attack_ends_its_own_connection_only(target: Target, name: str) -> None:
    with trio.fail_after(SECONDS):
        await target.attack(ATTACKS[name])
    await target.assert_serves()
    with trio.fail_after(SECONDS):
        while len(target.server._connections) > 1:
            await trio.sleep(0.01)


@pytest.mark.parametrize("name", ["rapid resets", "ping flood", "settings flood", "empty data"])
async def test_flood_of_frames_is_answered_with_goaway(target: Target, name: str) -> None:
    got = await target.attack(ATTACKS[name])
    assert raw_frame(7, 0, 0, b"")[3:4] in got
    assert b"too_many" in got


async def test_silent_peer_after_the_handshake_timeout_is_disconnected(target: Target) -> None:
    with trio.fail_after(SECONDS):
        stream = await trio.open_tcp_stream("127.0.0.1", target.port)
        while await stream.receive_some(65536):
            pass
    await target.assert_serves()


async def test_peer_that_never_reads_is_disconnected(target: Target) -> None:
    """It requests large responses and never reads: the send buffer stays bounded, then the ping times out."""
    connection = client()
    connection.increment_flow_control_window((1 << 31) - 1 - 65535)
    connection.update_settings({4: (1 << 31) - 1})
    stream = await trio.open_tcp_stream("127.0.0.1", target.port)
    await stream.send_all(connection.data_to_send())
    await trio.sleep(0.1)
    body = frame_message(bytes(900_000))
    with trio.fail_after(SECONDS):
        try:
            for number in range(1, 401, 2):
                connection.send_headers(number, headers())
                for at in range(0, len(body), 16384):
                    # Sent without h2, which would wait for the flow-control window.
                    data = body[at : at + 16384]
                    await stream.send_all(connection.data_to_send() + raw_frame(0, 0, number, data))
                await stream.send_all(raw_frame(0, 1, number, b""))
        except trio.BrokenResourceError:
            pass
        while len(target.server._connections) > 1:
            await trio.sleep(0.01)
    await target.assert_serves()


@pytest.mark.parametrize(
    "changes, status",
    [
        ({":method": "GET"}, b"405"),
        ({"content-type": "text/html"}, b"415"),
        ({":path": "/t/None"}, b"12"),
        ({"grpc-timeout": "never"}, b"13"),
        ({"grpc-encoding": "brotli"}, b"12"),
        ({"x-bin": "***"}, b"13"),
    ],
)
async def test_bad_request_is_answered_with_its_status(
    target: Target, changes: dict[str, str], status: bytes
) -> None:
    connection = client()
    stream = await trio.open_tcp_stream("127.0.0.1", target.port)
    connection.send_headers(1, headers(**changes), end_stream=True)
    await stream.send_all(connection.data_to_send())
    found: dict[bytes, bytes] = {}
    with trio.fail_after(SECONDS):
        while b"grpc-status" not in found and found.get(b":status", b"200") == b"200":
            for event in connection.receive_data(await stream.receive_some(65536)):
                if isinstance(event, (h2.events.ResponseReceived, h2.events.TrailersReceived)):
                    found.update((bytes(k), bytes(v)) for k, v in event.headers)
    assert status in (found.get(b"grpc-status"), found.get(b":status"))


async def test_exhausted_descriptors_delay_connections_only(target: Target) -> None:
    await target.assert_serves()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    opened: list[trio.SocketStream] = []
    try:
        probe = await trio.open_tcp_stream("127.0.0.1", target.port)
        resource.setrlimit(resource.RLIMIT_NOFILE, (probe.socket.fileno() + 8, hard))
        opened.append(probe)
        for _ in range(20):
            try:
                opened.append(await trio.open_tcp_stream("127.0.0.1", target.port))
            except OSError:
                break
        await target.assert_serves()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for stream in opened:
            await trio.aclose_forcefully(stream)
    fresh = Channel(TcpNetwork(), Clock(), "127.0.0.1", target.port, Limits(), random.Random(1), 5_000_000)
    async with trio.open_nursery() as nursery:
        await nursery.start(fresh.run)
        with trio.fail_after(SECONDS):
            assert (await fresh.unary("/t/Echo", b"x")).message == b"x"
        fresh.close()


# Our channel with scripted peers.

Peer = Callable[[trio.SocketStream, h2.connection.H2Connection], Awaitable[None]]


async def outcomes_of_calls(peer: Peer, count: int) -> list[str]:
    """Make `count` concurrent calls to a scripted peer; returns the outcome of each."""
    outcomes: list[str] = []

    async def accept(stream: trio.SocketStream) -> None:
        connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        connection.initiate_connection()
        await stream.send_all(connection.data_to_send())
        await peer(stream, connection)

    async def make_call(channel: Channel) -> None:
        try:
            await channel.unary("/t/Echo", b"x")
            outcomes.append("ok")
        except (CallUnprocessedError, CallInterruptedError, RpcError) as error:
            outcomes.append(type(error).__name__)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, accept, 0)
        port = listeners[0].socket.getsockname()[1]
        channel = Channel(TcpNetwork(), Clock(), "127.0.0.1", port, LIMITS, random.Random(1))
        await nursery.start(channel.run)
        with trio.fail_after(SECONDS):
            async with trio.open_nursery() as calls:
                for _ in range(count):
                    calls.start_soon(make_call, channel)
        nursery.cancel_scope.cancel()
    return outcomes


async def receive_requests(
    stream: trio.SocketStream, connection: h2.connection.H2Connection, count: int
) -> None:
    """Read until `count` complete requests have arrived."""
    ended = 0
    while ended < count:
        for event in connection.receive_data(await stream.receive_some(65536)):
            ended += isinstance(event, h2.events.StreamEnded)


async def test_goaway_separates_unprocessed_streams_from_interrupted_ones() -> None:
    async def peer(stream: trio.SocketStream, connection: h2.connection.H2Connection) -> None:
        await receive_requests(stream, connection, 20)
        # Stream 19 is the last one processed: ten of the twenty.
        await stream.send_all(raw_frame(7, 0, 0, struct.pack(">II", 19, 0)))
        await trio.sleep(0.05)

    outcomes = await outcomes_of_calls(peer, 20)
    assert outcomes.count("CallUnprocessedError") == 10
    assert outcomes.count("CallInterruptedError") == 10


async def test_streams_below_the_last_one_of_a_goaway_finish() -> None:
    async def peer(stream: trio.SocketStream, connection: h2.connection.H2Connection) -> None:
        await receive_requests(stream, connection, 4)
        await stream.send_all(raw_frame(7, 0, 0, struct.pack(">II", 3, 0)))
        for number in (1, 3):
            connection.send_headers(number, [(":status", "200"), ("content-type", "application/grpc")])
            connection.send_data(number, frame_message(b"y"))
            connection.send_headers(number, [("grpc-status", "0")], end_stream=True)
        await stream.send_all(connection.data_to_send())
        await trio.sleep(1)

    outcomes = await outcomes_of_calls(peer, 4)
    assert sorted(outcomes) == ["CallUnprocessedError", "CallUnprocessedError", "ok", "ok"]


@pytest.mark.parametrize(
    "code, end", [(7, "CallUnprocessedError"), (8, "CallInterruptedError"), (2, "CallInterruptedError")]
)
async def test_reset_with_each_code_fails_the_call_with_its_error(code: int, end: str) -> None:
    async def peer(stream: trio.SocketStream, connection: h2.connection.H2Connection) -> None:
        await receive_requests(stream, connection, 20)
        await stream.send_all(b"".join(raw_frame(3, 0, n, struct.pack(">I", code)) for n in range(1, 40, 2)))
        await trio.sleep(1)

    assert await outcomes_of_calls(peer, 20) == [end] * 20


async def test_peer_that_stops_reading_interrupts_the_call() -> None:
    async def peer(_stream: trio.SocketStream, _connection: h2.connection.H2Connection) -> None:
        await trio.sleep(SECONDS)

    assert await outcomes_of_calls(peer, 3) == ["CallInterruptedError"] * 3  # pings are not acknowledged


@pytest.mark.parametrize("body", [b"\x00\xff\xff\xff\xff", b"\x02\x00\x00\x00\x00", b"\x01\x00\x00\x00\x01x"])
async def test_malformed_message_in_a_response_fails_the_call(body: bytes) -> None:
    async def peer(stream: trio.SocketStream, connection: h2.connection.H2Connection) -> None:
        await receive_requests(stream, connection, 1)
        connection.send_headers(1, [(":status", "200"), ("content-type", "application/grpc")])
        connection.send_data(1, body)
        await stream.send_all(connection.data_to_send())
        await trio.sleep(1)

    assert await outcomes_of_calls(peer, 1) == ["RpcError"]


# Random input.

frames = st.builds(
    raw_frame,
    st.integers(0, 12),
    st.integers(0, 255),
    st.sampled_from([0, 1, 3, 5, 7, 2, (1 << 31) - 1]),
    st.binary(max_size=80),
)


@settings(max_examples=1000, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(st.one_of(frames, st.binary(max_size=40)), max_size=8), st.booleans(), st.integers(0, 3))
def test_noise_ends_the_connection_without_an_exception(
    parts: list[bytes], preface: bool, calls: int
) -> None:
    """A server's connection ends without an exception, and without buffered bytes or open streams."""

    async def run() -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        peer = client()
        for number in range(calls):
            peer.send_headers(2 * number + 1, headers())
            peer.send_data(2 * number + 1, frame_message(b"x" * 50))
        start = peer.data_to_send() if preface else b""
        async with trio.open_nursery() as nursery:
            streams = []

            def on_request(stream: object) -> None:
                streams.append(stream)

            connection = Connection(ours, False, LIMITS, Clock(0), on_request)
            nursery.start_soon(connection.run)
            with trio.fail_after(5):
                try:
                    await theirs.send_all(start + b"".join(parts))
                    await theirs.send_eof()
                    while await theirs.receive_some(65536):
                        pass
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                await connection.closed.wait()
        assert connection.buffered_bytes == 0
        assert not connection.streams

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@given(st.lists(st.binary(max_size=300), max_size=6), st.integers(1, 50), st.booleans())
def test_framed_messages_in_any_pieces_round_trip(messages: list[bytes], step: int, compress: bool) -> None:
    data = b"".join(frame_message(m * 20, compress) for m in messages)
    deframer = Deframer(1 << 20, "gzip")
    got = []
    for at in range(0, len(data), step * 50):
        deframer.feed(data[at : at + step * 50])
        while (message := deframer.next_message()) is not None:
            got.append(message)
    assert got == [m * 20 for m in messages]
    assert deframer.empty


def test_gzip_bomb_is_rejected_at_the_limit() -> None:
    packed = gzip_compress(bytes(50 << 20))
    deframer = Deframer(1 << 20, "gzip")
    deframer.feed(b"\x01" + struct.pack(">I", len(packed)) + packed)
    with pytest.raises(RpcError) as error:
        deframer.next_message()
    assert error.value.code is Code.RESOURCE_EXHAUSTED


@given(st.text())
def test_status_message_round_trips(text: str) -> None:
    encoded = encode_message(text)
    assert all(" " <= c <= "~" for c in encoded)
    assert decode_message(encoded) == text.encode("utf-8", "replace").decode()


@given(st.integers(1, 1 << 50))
def test_encoded_timeout_is_never_longer_than_given(us: int) -> None:
    text = encode_timeout(us)
    assert len(text) <= 9
    assert decode_timeout(text) <= us


@given(st.text(max_size=20), st.binary(max_size=200))
def test_noise_decodes_to_a_value_or_raises(text: str, data: bytes) -> None:
    for read in (decode_timeout, decode_base64):
        with suppress(MetadataError):
            read(text)
    assert isinstance(unpack_details(data), list)
