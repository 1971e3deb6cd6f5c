"""A minimal endpoint of the platform without latency, load or faults: tests inject these byte by byte.

It answers each request with the statement's key or, for a write, with the value that was written.
"""

from __future__ import annotations

import re

import trio

from juniperreel.fakes.postgres_server import PROTOCOL_VIOLATION, READ_ONLY_TRANSACTION, single_row
from juniperreel.net import Clock, TcpNetwork
from juniperreel.postgres import messages, server

READ_BYTES = 65_536
STATEMENT = re.compile(rb"(?:oid = |VALUES \()'([^']*)'(?:, '\\x([0-9a-f]*)')?")


class MinimalEndpoint:
    """A server whose `received` lists the text of every statement, in order."""

    def __init__(self, primary: bool) -> None:
        self.primary = primary
        self.received: list[bytes] = []
        self.port = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        self.port = listener.port
        clock = Clock()
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                nursery.start_soon(self._serve, await listener.accept(), clock)

    async def _serve(self, stream: trio.abc.Stream, clock: Clock) -> None:
        protocol = server.ServerConnection()
        try:
            async with stream:
                while protocol.phase is not server.Phase.CLOSED:
                    data = await stream.receive_some(READ_BYTES)
                    if not data:
                        return
                    protocol.receive_data(bytes(data))
                    while (query := protocol.next_query()) is not None:
                        protocol.outgoing += self._answer(query.text, clock.now_us() // 1000)
                    out = bytes(protocol.outgoing)
                    protocol.outgoing = bytearray()
                    await stream.send_all(out)
        except (trio.BrokenResourceError, messages.ProtocolError):
            return

    def _answer(self, text: bytes, now_ms: int) -> bytes:
        self.received.append(text)
        status = messages.parameter("replication_role", "primary" if self.primary else "standby")
        status += messages.parameter("log_position", str(now_ms))
        if text == b"SHOW pressure":
            report = b"x0=%.3f,x1=%d,queue=0" % (now_ms / 1000, self.primary)
            return single_row(report) + messages.READY
        found = STATEMENT.search(text)
        if found is None:
            return server.failed(PROTOCOL_VIOLATION, "not in the form")
        key, value = found.groups()
        if value is None:
            return single_row(key) + status + messages.READY
        if not self.primary:
            error = messages.error("ERROR", READ_ONLY_TRANSACTION, "not the primary")
            return error + status + messages.READY
        return single_row(bytes.fromhex(value.decode())) + status + messages.READY
