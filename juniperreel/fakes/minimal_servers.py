"""Small peers of the platform's driver: a member that speaks PostgreSQL's protocol, and discovery over HTTP.

A member answers every statement in the operators' form with its key, or with what was written; it knows no
time, no load and no fault. Faults are played by tests byte by byte.
"""

from __future__ import annotations

import re
from typing import Any

import h11
import msgspec
import trio

from juniperreel.fakes.postgres_server import row
from juniperreel.net import Clock, TcpNetwork
from juniperreel.postgres import messages as m
from juniperreel.postgres import server

STATEMENT = re.compile(rb"(?:oid = |VALUES \()'([^']*)'(?:, '\\x([0-9a-f]*)')?")


class MemberStandIn:
    """`asked` holds every statement that came, in order."""

    def __init__(self, primary: bool) -> None:
        self.primary = primary
        self.asked: list[bytes] = []
        self.port = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        self.port = listener.port
        clock = Clock()
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                nursery.start_soon(self._serve, await listener.accept(), clock)

    async def _serve(self, stream: trio.abc.Stream, clock: Clock) -> None:
        talk = server.ServerConnection()
        try:
            async with stream:
                while talk.phase is not server.Phase.OVER:
                    data = await stream.receive_some(65_536)
                    if not data:
                        return
                    talk.feed(bytes(data))
                    while (query := talk.next()) is not None:
                        talk.out += self._answer(query.text, clock.now_us() // 1000)
                    out, talk.out = bytes(talk.out), bytearray()
                    await stream.send_all(out)
        except (trio.BrokenResourceError, m.ProtocolError):
            return

    def _answer(self, text: bytes, now_ms: int) -> bytes:
        self.asked.append(text)
        facts = m.parameter("replication_role", "primary" if self.primary else "standby")
        facts += m.parameter("log_position", str(now_ms))
        if text == b"SHOW pressure":
            return row(b"x0=%.3f,x1=%d,queue=0" % (now_ms / 1000, self.primary)) + m.READY
        found = STATEMENT.search(text)
        if found is None:
            return server.failed("08P01", "not in the form")
        key, value = found.groups()
        if value is not None and not self.primary:
            return m.error("ERROR", "25006", "not the primary") + facts + m.READY
        return row(key if value is None else bytes.fromhex(value.decode())) + facts + m.READY


class DiscoveryStandIn:
    """Answers a call with the whole list, or with what changed since its version."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = list(hosts)
        self.version = 1
        self.calls = 0
        self.port = 0
        self._changed = trio.Event()
        self._mutes = 0

    def mute(self) -> None:
        """Calls that are open now are never answered, as by a discovery that lost them; new ones are."""
        self._mutes += 1

    async def missed(self) -> None:
        """What comes of a call that was open then: silence."""
        await trio.sleep_forever()

    def change(self, *lines: dict[str, Any]) -> None:
        self.replace([h for h in self.hosts if h["host"] not in {c["host"] for c in lines}] + list(lines))

    def replace(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = hosts
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        self.port = listener.port
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                nursery.start_soon(self._serve, await listener.accept())

    async def _serve(self, stream: trio.abc.Stream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            async with stream:
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(bytes(await stream.receive_some(65_536)))
                    elif isinstance(event, h11.Request):
                        body = msgspec.json.encode(await self._list(event.target.decode()))
                    elif isinstance(event, h11.EndOfMessage):
                        head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
                        parts = [http.send(head), http.send(h11.Data(body)), http.send(h11.EndOfMessage())]
                        await stream.send_all(b"".join(part or b"" for part in parts))
                        http.start_next_cycle()
                    else:
                        return
        except (trio.BrokenResourceError, h11.ProtocolError):
            return

    async def _list(self, target: str) -> dict[str, Any]:
        self.calls += 1
        mutes = self._mutes
        _, _, query = target.partition("?")
        values = dict(pair.split("=") for pair in query.split("&") if pair)
        if int(values.get("after", -1)) == self.version:
            with trio.move_on_after(int(values.get("wait_ms", 0)) / 1000):
                await self._changed.wait()
        if mutes != self._mutes:
            await self.missed()
        self.told(self.hosts)
        return {"seq": self.version, "whole": True, "hosts": self.hosts}

    def told(self, hosts: list[dict[str, Any]]) -> None:
        """What an answer is about to say."""
