"""Fuzzes the server side of an HTTP/2 connection with atheris; not part of CI:

    .venv/bin/pip install atheris && .venv/bin/python fuzz/rpc_target.py -max_total_time=600

A crash is an exception, a connection that does not close, or one that closes with buffered bytes or open
streams.
"""

from __future__ import annotations

import sys
from pathlib import Path

import atheris

sys.path.insert(0, str(Path(__file__).parent.parent))

with atheris.instrument_imports():
    import trio
    import trio.testing

    from juniperreel.net import Clock
    from juniperreel.rpc.connection import Connection
    from juniperreel.rpc.limits import Limits

LIMITS = Limits(message_bytes=1 << 16, buffered_bytes=1 << 18)
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"


async def serve_input(data: bytes) -> None:
    server_stream, client_stream = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        connection = Connection(server_stream, False, LIMITS, Clock(0), lambda stream: None)
        nursery.start_soon(connection.run)
        with trio.fail_after(30):
            try:
                await client_stream.send_all((PREFACE if data[:1] < b"\x80" else b"") + data[1:])
                await client_stream.send_eof()
                while await client_stream.receive_some(65536):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            await connection.closed.wait()
    if connection.buffered_bytes or connection.streams:
        raise AssertionError("connection closed with buffered bytes or open streams")


def fuzz_one_input(data: bytes) -> None:
    trio.run(serve_input, data, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    atheris.Setup(sys.argv, fuzz_one_input)
    atheris.Fuzz()
