"""Long results to a client: what it gets can be read to its end, however the result ends."""

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
    """The rest of a result that always has more rows."""

    ok = Ok()
    closed = False

    async def next_rows(self) -> list[bytes]:
        await trio.lowlevel.checkpoint()
        return [encode_text_row(["x" * 100])]

    def close(self) -> None:
        self.closed = True


def packets(data: bytes) -> list[tuple[int, bytes]]:
    """The sequence number and payload of each packet; whatever is no whole packet fails."""
    found = []
    while data:
        size = int.from_bytes(data[:3], "little")
        assert len(data) >= HEADER_BYTES + size, "a packet is cut off"
        found.append((data[3], data[HEADER_BYTES : HEADER_BYTES + size]))
        data = data[HEADER_BYTES + size :]
    return found


async def test_a_result_whose_time_runs_out_while_it_is_sent_ends_with_an_error_in_sequence() -> None:
    """Guards against packets that were cut off by the deadline, behind which a client could read nothing."""
    protocol = ServerSession(1, b"n" * NONCE_BYTES, lambda _user: None, max_packet=1 << 20)
    clock = Clock()
    received = bytearray()

    async def flush() -> None:
        data = protocol.data_to_send()
        received.extend(data[: len(data) // 2])
        await trio.lowlevel.checkpoint()  # the client does not read for a while
        received.extend(data[len(data) // 2 :])

    rows = EndlessRows()
    session = SessionContext(Keyring([SigningKey(1, b"k" * 32)]))
    writer = ResultWriter(protocol, session, clock, flush)
    result = Result((Column("a", 253),), [encode_text_row(["x" * 100])] * 20, remaining_rows=rows)
    await writer.write(result, clock.now_us())
    received.extend(protocol.data_to_send())
    found = packets(bytes(received))
    assert [number for number, _ in found] == [number % 256 for number in range(len(found))]
    assert found[-1][1][0] == ERR_PACKET
    assert rows.closed
