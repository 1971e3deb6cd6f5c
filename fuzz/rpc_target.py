"""Coverage-guided noise against a server's connection, run outside CI:

    .venv/bin/pip install atheris && .venv/bin/python fuzz/rpc_target.py -max_total_time=600

A crash is anything but a clean end of the connection with nothing kept.
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


async def feed(data: bytes) -> None:
    ours, theirs = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        connection = Connection(ours, False, LIMITS, Clock(0), lambda stream: None)
        nursery.start_soon(connection.run)
        with trio.fail_after(30):
            try:
                await theirs.send_all((PREFACE if data[:1] < b"\x80" else b"") + data[1:])
                await theirs.send_eof()
                while await theirs.receive_some(65536):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            await connection.closed.wait()
    if connection.buffered_bytes or connection.streams:
        raise AssertionError("something was kept")


def one(data: bytes) -> None:
    trio.run(feed, data, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
