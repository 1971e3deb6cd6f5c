"""Streamed results: the client can parse the whole response, however the result ends."""

from __future__ import annotations

import trio

from juniperreel.causal import Keyring, SigningKey
from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.result_writer import ResultWriter
from juniperreel.mysql.auth import NONCE_BYTES
from juniperreel.mysql.columns import Column
from juniperreel.mysql.replies import Ok
from juniperreel.mysql.rows import encode_text_row
from juniperreel.mysql.server import ServerSession
from juniperreel.net import Clock
from juniperreel.pool.result import Result

HEADER_BYTES = 4
ERR_PACKET = 0xFF


class EndlessRows:
    """A row stream that never ends."""

    ok = Ok()
    closed = False

    async def next_rows(self) -> list[bytes]:
        await trio.lowlevel.checkpoint()
        return [encode_text_row(["x" * 100])]

    def close(self) -> None:
        self.closed = True


def split_packets(data: bytes) -> list[tuple[int, bytes]]:
    """Return the sequence number and payload of each packet; fails on a truncated packet."""
    packets = []
    while data:
        size = int.from_bytes(data[:3], "little")
        assert len(data) >= HEADER_BYTES + size, "packet truncated"
        packets.append((data[3], data[HEADER_BYTES : HEADER_BYTES + size]))
        data = data[HEADER_BYTES + size :]
    return packets


async def test_result_that_exceeds_its_deadline_while_sending_ends_with_an_error_in_sequence() -> None:
    """Guards against truncation of a packet by the deadline, after which the client could parse nothing."""
    protocol = ServerSession(1, b"n" * NONCE_BYTES, lambda _user: None, max_packet=1 << 20)
    clock = Clock()
    received = bytearray()

    async def flush() -> None:
        data = protocol.data_to_send()
        received.extend(data[: len(data) // 2])
        await trio.lowlevel.checkpoint()  # the client does not read here, so the deadline could interrupt
        received.extend(data[len(data) // 2 :])

    rows = EndlessRows()
    session = SessionContext(Keyring([SigningKey(1, b"k" * 32)]))
    writer = ResultWriter(protocol, session, clock, flush)
    result = Result((Column("a", 253),), [encode_text_row(["x" * 100])] * 20, remaining_rows=rows)
    await writer.write(result, clock.now_us())
    received.extend(protocol.data_to_send())
    packets = split_packets(bytes(received))
    assert [number for number, _ in packets] == [number % 256 for number in range(len(packets))]
    assert packets[-1][1][0] == ERR_PACKET
    assert rows.closed
