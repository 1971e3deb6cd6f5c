"""Streamed results: the client can parse the whole response, however the result ends."""

from __future__ import annotations

import trio

from juniperreel.causal import Keyring, SigningKey
from juniperreel.frontends.mysql.client_session import SessionContext
from juniperreel.frontends.mysql.result_writer import ResultWriter
from juniperreel.mysql.auth import NONCE_BYTES
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import Capability, ServerStatus
from juniperreel.mysql.replies import Ok
from juniperreel.mysql.rows import encode_text_row
from juniperreel.mysql.server import ServerSession
from juniperreel.net import Clock
from juniperreel.pool.result import Result

HEADER_BYTES = 4
ERR_PACKET = 0xFF
EOF_PACKET = 0xFE
OK_PACKET = 0x00


class EndlessRows:
    """A row stream that never ends."""

    ok = Ok()
    closed = False

    def __init__(self) -> None:
        self.additional_results: list[Result] = []

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


def one_row(value: str) -> Result:
    return Result((Column("a", 253),), [encode_text_row([value])])


async def write_several(capabilities: int, additional: list[Result]) -> list[bytes]:
    """Write a result with further ones for a client of these capabilities; returns the packets' payloads."""
    protocol = ServerSession(1, b"n" * NONCE_BYTES, lambda _user: None, max_packet=1 << 20)
    protocol.data_to_send()  # the greeting
    protocol.capabilities = capabilities

    async def flush() -> None:
        await trio.lowlevel.checkpoint()

    session = SessionContext(Keyring([SigningKey(1, b"k" * 32)]))
    writer = ResultWriter(protocol, session, Clock(), flush)
    result = one_row("first")
    result.additional_results = additional
    await writer.write(result, 0)
    return [payload for _, payload in split_packets(protocol.data_to_send())]


async def test_client_that_reads_one_result_is_told_that_there_were_more() -> None:
    """It would take the first result set for all that the statement returned."""
    (response,) = await write_several(0, [one_row("second"), Result()])
    assert response[0] == ERR_PACKET
    assert int.from_bytes(response[1:3], "little") == 1312


async def test_client_that_reads_one_result_gets_it_from_a_procedure_with_one() -> None:
    packets = await write_several(0, [Result()])
    assert encode_text_row(["first"]) in packets
    more_results = int.from_bytes(packets[-1][3:5], "little") & ServerStatus.MORE_RESULTS
    assert not more_results


async def test_each_result_but_the_last_announces_the_next() -> None:
    packets = await write_several(Capability.MULTI_RESULTS, [one_row("second"), Result()])
    assert encode_text_row(["second"]) in packets
    ends = [int.from_bytes(packet[3:5], "little") for packet in packets if packet[0] == EOF_PACKET]
    assert [bool(status & ServerStatus.MORE_RESULTS) for status in ends] == [False, True, False, True]
    assert packets[-1][0] == OK_PACKET
