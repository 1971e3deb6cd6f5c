"""Differential test of our HTTP/2 protocol against h2, with random frames, valid and malformed.

Both must return the same events, and reject the same frames, except for the known differences below.
"""

from __future__ import annotations

import random
import struct
from collections.abc import Callable
from typing import Any

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import pytest
from h2.settings import SettingCodes
from hpack import Decoder, Encoder

from juniperreel.rpc import frames as h2frames
from juniperreel.rpc import http2_events as events
from juniperreel.rpc.frames import ErrorCode, FrameType, Http2Error, Setting, encode_frame
from juniperreel.rpc.header_blocks import encode_headers
from juniperreel.rpc.http2 import Http2Protocol
from juniperreel.rpc.limits import Limits

LIMITS = Limits(metadata_bytes=4096, stream_window=65_535, connection_window=65_535, streams=100)
SEEDS = 1500
NAMES = ("grpc-timeout", "x-a", "x-b", "te", "content-type", "juniperreel-class")
BAD_HEADERS: tuple[tuple[str, str], ...] = (
    ("Upper", "x"),
    ("connection", "close"),
    (":late", "x"),
    ("te", "gzip"),
    (":path", "/twice"),
    ("x-blank", " padded "),
    ("content-length", "7x"),
)


class FrameGenerator:
    """Generates a client's frames; `error_rate` is the probability of each malformation."""

    def __init__(self, rng: random.Random, error_rate: float) -> None:
        self.rng = rng
        self.error_rate = error_rate
        self.encoder = Encoder()
        self.next = 1
        self.open: list[int] = []
        self.pieces: list[bytes] = [h2frames.PREFACE + encode_frame(FrameType.SETTINGS, 0, 0, b"")]

    def request(self) -> list[tuple[str, str]]:
        headers = [(":method", "POST"), (":scheme", "http"), (":path", "/t/Echo"), (":authority", "a")]
        headers.extend(
            (name, "trailers" if name == "te" else self.rng.choice(("1S", "x", "yy" * 20)))
            for name in self.rng.sample(NAMES, self.rng.randrange(4))
        )
        if self.rng.random() < self.error_rate:
            if self.rng.random() < 0.5:
                headers.append(self.rng.choice(BAD_HEADERS))
            else:
                del headers[self.rng.randrange(3)]
        return headers

    def stream(self) -> int:
        if self.rng.random() < self.error_rate:
            return self.rng.choice((0, 2, self.next, self.next + 2, max(self.next - 2, 1)))
        return self.rng.choice(self.open) if self.open else 0

    def headers(self) -> bytes:
        block: bytes = self.encoder.encode(self.request(), huffman=self.rng.random() < 0.5)
        number = self.next
        self.next += 2
        if self.rng.random() < self.error_rate / 4:
            number = self.rng.choice((0, 2, max(number - 2, 0)))
        end = self.rng.random() < 0.3
        if not end:
            self.open.append(number)
        flags = h2frames.END_STREAM if end else 0
        if self.rng.random() < 0.15:
            block = (
                struct.pack(
                    ">IB", self.rng.choice((0, number if self.rng.random() < self.error_rate else 0)), 5
                )
                + block
            )
            flags |= h2frames.HAS_PRIORITY
        if self.rng.random() < 0.15:
            pad = self.rng.randrange(9)
            block = (
                bytes((pad + (300 if self.rng.random() < self.error_rate else 0) & 255,)) + block + bytes(pad)
            )
            flags |= h2frames.PADDED
        if self.rng.random() < 0.2 and not flags & (h2frames.PADDED | h2frames.HAS_PRIORITY):
            cut = self.rng.randrange(len(block) + 1)
            first = encode_frame(FrameType.HEADERS, flags, number, block[:cut])
            other = number if self.rng.random() > self.error_rate else number + 2
            return first + encode_frame(FrameType.CONTINUATION, h2frames.END_HEADERS, other, block[cut:])
        return encode_frame(FrameType.HEADERS, flags | h2frames.END_HEADERS, number, block)

    def data(self) -> bytes:
        number = self.stream()
        body = bytes(self.rng.randrange(0, 200))
        flags = 0
        if self.rng.random() < 0.4:
            flags |= h2frames.END_STREAM
            if number in self.open:
                self.open.remove(number)
        if self.rng.random() < 0.2:
            pad = self.rng.randrange(20)
            body = bytes((pad,)) + body + bytes(pad)
            flags |= h2frames.PADDED
        if self.rng.random() < self.error_rate / 3:
            body = bytes(self.rng.choice((16_384, 16_385, 70_000)))
        return encode_frame(FrameType.DATA, flags, number, body) if number or self.open else b""

    def trailers(self) -> bytes:
        if not self.open:
            return b""
        number = self.open.pop()
        block: bytes = self.encoder.encode([("x-trail", "1")])
        end = h2frames.END_STREAM if self.rng.random() > self.error_rate else 0
        return encode_frame(FrameType.HEADERS, h2frames.END_HEADERS | end, number, block)

    def window(self) -> bytes:
        increment = self.rng.choice((1, 1000, 1 << 20))
        if self.rng.random() < self.error_rate:
            increment = self.rng.choice((0, (1 << 31) - 1))
        return encode_frame(
            FrameType.WINDOW_UPDATE, 0, self.rng.choice((0, self.stream())), struct.pack(">I", increment)
        )

    def reset(self) -> bytes:
        number = self.stream()
        if not number and not self.open:
            return b""
        if number in self.open:
            self.open.remove(number)
        return encode_frame(FrameType.RST_STREAM, 0, number, struct.pack(">I", 8))

    def settings(self) -> bytes:
        pairs = [(4, self.rng.choice((0, 100, 65_535, 1 << 20))), (5, 1 << 15), (3, 50), (9, 7), (1, 0)]
        if self.rng.random() < self.error_rate:
            pairs.append(self.rng.choice(((4, 1 << 31), (5, 100), (2, 2))))
        payload = b"".join(
            struct.pack(">HI", *p) for p in self.rng.sample(pairs, self.rng.randrange(1, len(pairs)))
        )
        if self.rng.random() < self.error_rate / 3:
            payload += b"?"
        return encode_frame(
            FrameType.SETTINGS, 0, 1 if self.rng.random() < self.error_rate / 4 else 0, payload
        )

    def ping(self) -> bytes:
        size = 7 if self.rng.random() < self.error_rate else 8
        return encode_frame(FrameType.PING, self.rng.choice((0, 1)), 0, bytes(size))

    def priority(self) -> bytes:
        number = self.rng.choice((1, 3, 99))
        other = number if self.rng.random() < self.error_rate else 0
        return encode_frame(FrameType.PRIORITY, 0, number, struct.pack(">IB", other, 1))

    def unknown(self) -> bytes:
        return encode_frame(0x42, 0xFF, self.stream(), b"whatever")

    def next_frame(self) -> bytes:
        kinds: tuple[tuple[Callable[[], bytes], int], ...] = (
            (self.headers, 8), (self.data, 8), (self.trailers, 2), (self.window, 3), (self.reset, 2),
            (self.settings, 1), (self.ping, 1), (self.priority, 1), (self.unknown, 1),
        )  # fmt: skip
        make = self.rng.choices([k for k, _ in kinds], [w for _, w in kinds])[0]
        return make()


class H2Server:
    """h2 as a server, reporting its events in a form common to both implementations."""

    def __init__(self) -> None:
        self.connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding=None)
        )
        self.connection.local_settings = h2.settings.Settings(
            False,
            {
                SettingCodes.INITIAL_WINDOW_SIZE: 65_535,
                SettingCodes.MAX_HEADER_LIST_SIZE: 4096,
                SettingCodes.MAX_CONCURRENT_STREAMS: 100,
            },
        )
        self.connection.max_inbound_frame_size = 16_384
        self.connection.decoder.max_header_list_size = 4096
        self.connection.initiate_connection()

    def feed(self, data: bytes) -> list[tuple[Any, ...]]:
        reported: list[tuple[Any, ...]] = []
        for event in self.connection.receive_data(data):
            match event:
                case h2.events.RequestReceived():
                    reported.append(("opened", event.stream_id, headers(event.headers)))
                case h2.events.TrailersReceived():
                    reported.append(("trailed", event.stream_id, headers(event.headers)))
                case h2.events.DataReceived():
                    reported.append(("data", event.stream_id, event.data, event.flow_controlled_length))
                    self.connection.acknowledge_received_data(
                        event.flow_controlled_length or 0, event.stream_id or 0
                    )
                case h2.events.StreamEnded():
                    reported.append(("ended", event.stream_id))
                case h2.events.StreamReset():
                    reported.append(("reset", event.stream_id))
        return reported

    def answer(self, stream: int) -> None:
        self.connection.send_headers(stream, [(":status", "200")], end_stream=True)


def headers(raw: Any) -> list[tuple[str, str]]:
    return [(str(n, "latin-1"), str(v, "latin-1")) for n, v in raw]


class OurServer:
    """Our implementation as a server."""

    def __init__(self) -> None:
        self.protocol = Http2Protocol(False, LIMITS)

    def feed(self, data: bytes) -> list[tuple[Any, ...]]:
        reported: list[tuple[Any, ...]] = []
        for event in self.protocol.receive(data):
            match event:
                case events.RequestReceived(stream, block, ended):
                    reported.append(("opened", stream, block.headers))
                    reported += [("ended", stream)] * ended
                case events.TrailersReceived(stream, block):
                    reported += [("trailed", stream, block.headers), ("ended", stream)]
                case events.DataReceived(stream, body, credit, ended):
                    reported.append(("data", stream, body, credit))
                    self.protocol.acknowledge_received_data(stream, credit)
                    reported += [("ended", stream)] * ended
                case events.StreamReset(stream, _):
                    reported.append(("reset", stream))
        return reported

    def answer(self, stream: int) -> None:
        self.protocol.send_headers(stream, encode_headers([(":status", "200")]), end=True)


def feed_or_error(side: H2Server | OurServer, piece: bytes) -> list[tuple[Any, ...]] | str:
    try:
        return side.feed(piece)
    except (h2.exceptions.ProtocolError, Http2Error) as error:
        return str(error)


# Known differences, in which we follow RFC 9113. Connection errors that h2 does not raise, by message:
STRICTER = {
    "RST_STREAM on a stream that was never opened": "6.4: a connection error",
    "HEADERS on a stream that is closed": "5.1; h2 answers with RST_STREAM where the peer had reset it",
    "INITIAL_WINDOW_SIZE out of range": "6.5.2; h2 checks only the last of several values in one frame",
    "MAX_FRAME_SIZE out of range": "the same",
}
# Stream errors (RST_STREAM) that h2 treats as connection errors, by frame type:
MORE_LENIENT = {FrameType.WINDOW_UPDATE: "6.9: an increment of 0 is a stream error"}


def is_known_difference(
    our_result: list[tuple[Any, ...]] | str, h2_result: list[tuple[Any, ...]] | str, piece: bytes
) -> bool:
    if isinstance(our_result, str):
        return isinstance(h2_result, str) or our_result in STRICTER
    return (
        isinstance(h2_result, str)
        and piece[3] in MORE_LENIENT
        and [e[0] for e in our_result] in ([], ["reset"])
    )


def compare_with_h2(seed: int, error_rate: float) -> tuple[int, str]:
    """Feed the same frames to both; returns how many both accepted, and the final state."""
    rng = random.Random(seed)
    generator = FrameGenerator(rng, error_rate)
    ours = OurServer()
    theirs = H2Server()
    pieces = generator.pieces + [b"" for _ in range(60)]
    for n, piece in enumerate(pieces):
        piece = piece or generator.next_frame()
        our_result = feed_or_error(ours, piece)
        h2_result = feed_or_error(theirs, piece)
        if isinstance(our_result, str) or isinstance(h2_result, str):
            assert is_known_difference(our_result, h2_result, piece), (seed, n, piece, our_result, h2_result)
            return n, "rejected"
        assert our_result == h2_result, (seed, n, piece)
        for event in our_result:
            if event[0] == "ended" and rng.random() < 0.7:
                ours.answer(event[1])
                theirs.answer(event[1])
    return len(pieces), "open"


def test_valid_frames_give_the_same_events_as_h2() -> None:
    for seed in range(SEEDS // 3):
        assert compare_with_h2(seed, 0.0)[1] == "open", seed


def test_broken_frames_are_rejected_where_h2_rejects_them() -> None:
    ends = [compare_with_h2(seed, 0.004 * (seed % 10 + 1))[1] for seed in range(SEEDS)]
    assert 0.1 < ends.count("open") / SEEDS < 0.95, "the sample has both kinds"


def final_state(*pieces: bytes, limits: Limits = LIMITS) -> str:
    """The state of a server's connection after a client's frames: "open", or the error."""
    protocol = Http2Protocol(False, limits)
    failure: Http2Error | None = None
    try:
        protocol.receive(h2frames.PREFACE + encode_frame(FrameType.SETTINGS, 0, 0, b""))
        for piece in pieces:
            protocol.receive(piece)
    except Http2Error as error:
        failure = error
    if failure is None:
        return "open"
    assert protocol.out[-len(str(failure)) :].decode() == str(failure), "the GOAWAY says why"
    return f"{failure.code}: {failure}"


REQUEST = encode_headers(
    [(":method", "POST"), (":scheme", "http"), (":path", "/t/Echo"), (":authority", "a")]
)

OPENING, OPENED = (encode_frame(FrameType.HEADERS, flags, 1, REQUEST) for flags in (0, h2frames.END_HEADERS))


@pytest.mark.parametrize(
    "pieces, expected",
    [
        (
            [encode_frame(FrameType.HEADERS, 0, 1, REQUEST)]
            + [encode_frame(FrameType.CONTINUATION, 0, 1, b"")] * 70,
            "11: ",
        ),
        ([OPENING, encode_frame(FrameType.PING, 0, 0, bytes(8))], "1: a block"),
        ([encode_frame(FrameType.HEADERS, 4, 1, encode_headers([("x", "y" * 5000)]))], "11: "),
        ([encode_frame(FrameType.HEADERS, 4, 1, b"\xff\xff\xff\xff")], "9: "),
        ([encode_frame(FrameType.DATA, 0, 1, b"x")], "1: DATA on a stream that was never"),
        (
            [encode_frame(FrameType.HEADERS, 4, 1, REQUEST)]
            + [encode_frame(FrameType.DATA, 0, 1, bytes(16_384))] * 5,
            "3: ",
        ),
        ([encode_frame(FrameType.PUSH_PROMISE, 4, 1, bytes(4) + REQUEST)], "1: push"),
    ],
)
def test_malformed_frames_end_the_connection_with_their_error_code(
    pieces: list[bytes], expected: str
) -> None:
    assert final_state(*pieces).startswith(expected)


def test_streams_above_the_limit_are_rejected_singly() -> None:
    protocol = Http2Protocol(False, Limits(streams=2))
    protocol.receive(h2frames.PREFACE + encode_frame(FrameType.SETTINGS, 0, 0, b""))
    before = len(protocol.out)
    received = protocol.receive(b"".join(encode_frame(FrameType.HEADERS, 4, n, REQUEST) for n in (1, 3, 5)))
    assert [e.stream for e in received if isinstance(e, events.RequestReceived)] == [1, 3]
    assert (
        encode_frame(FrameType.RST_STREAM, 0, 5, struct.pack(">I", ErrorCode.REFUSED_STREAM))
        in protocol.out[before:]
    )


def test_cached_blocks_after_a_table_change_are_decoded_again() -> None:
    """The same bytes decode to other headers once the dynamic table has changed."""
    encoder = Encoder()
    protocol = Http2Protocol(False, LIMITS)
    protocol.receive(h2frames.PREFACE + encode_frame(FrameType.SETTINGS, 0, 0, b""))
    base = [(":method", "POST"), (":scheme", "http"), (":path", "/t/Echo"), (":authority", "a")]
    number = 1
    for value in ("1", "2", "2", "2", "3", "1", "1", "1"):
        for _ in range(2):
            block = encoder.encode([*base, ("x-value", value)])
            (event,) = protocol.receive(encode_frame(FrameType.HEADERS, 5, number, block))
            assert isinstance(event, events.RequestReceived)
            assert event.block.fields["x-value"] == value
            protocol.send_headers(number, encode_headers([(":status", "200")]), end=True)
            number += 2
    index_of_newest = bytes((0x80 | 62,))
    seen = []
    for value in ("a", "b"):
        indexing_block = encoder.encode([*base, ("y", value)])
        protocol.receive(encode_frame(FrameType.HEADERS, 5, number, indexing_block))
        block = encoder.encode(base) + index_of_newest
        (event,) = protocol.receive(encode_frame(FrameType.HEADERS, 5, number + 2, block))
        assert isinstance(event, events.RequestReceived)
        seen.append(event.block.fields["y"])
        number += 4
    assert seen == ["a", "b"]


def test_encoded_headers_decode_without_a_table() -> None:
    """Our blocks decode in any order, also if the peer has set the dynamic table's size to 0."""
    protocol = Http2Protocol(True, LIMITS)
    protocol.receive(encode_frame(FrameType.SETTINGS, 0, 0, struct.pack(">HI", Setting.HEADER_TABLE_SIZE, 0)))
    decoder = Decoder()
    decoder.max_allowed_table_size = 0
    for path in ("/a/B", "/a/C", "/a/B"):
        protocol.out.clear()
        protocol.open_stream(encode_headers([(":method", "POST"), (":path", path), ("grpc-timeout", "1S")]))
        size = int.from_bytes(protocol.out[:3], "big")
        got: Any = decoder.decode(bytes(protocol.out[9 : 9 + size]))
        assert dict(got) == {":method": "POST", ":path": path, "grpc-timeout": "1S"}
        assert not decoder.header_table.dynamic_entries


def test_response_with_informational_headers_and_trailers_gives_its_events() -> None:
    protocol = Http2Protocol(True, LIMITS)
    protocol.receive(encode_frame(FrameType.SETTINGS, 0, 0, b""))
    number = protocol.open_stream(encode_headers([(":method", "POST"), (":path", "/")]), end=True)
    pieces = [
        encode_frame(FrameType.HEADERS, 4, number, encode_headers([(":status", "103")])),
        encode_frame(FrameType.HEADERS, 4, number, encode_headers([(":status", "200")])),
        encode_frame(FrameType.DATA, 0, number, b"hello"),
        encode_frame(FrameType.HEADERS, 5, number, encode_headers([("grpc-status", "0")])),
    ]
    received = protocol.receive(b"".join(pieces))
    assert [type(e) for e in received] == [
        events.ResponseReceived,
        events.DataReceived,
        events.TrailersReceived,
    ]
    assert not protocol.is_open(number)
    assert protocol._streams.local_count == 0
