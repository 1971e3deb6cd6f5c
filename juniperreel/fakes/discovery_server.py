"""A fake of the platform's discovery service: versioned snapshots of the endpoint list over HTTP."""

from __future__ import annotations

from typing import Any

import h11
import msgspec
import trio

from juniperreel.net import TcpNetwork

READ_BYTES = 65_536


class DiscoveryServer:
    """Answers long polls with the complete list once its version changes or the wait time expires."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = list(hosts)
        self.version = 1
        self.calls = 0
        self.port = 0
        self._changed = trio.Event()
        self._mute_count = 0

    def mute(self) -> None:
        """Never answer the calls open now, like a server that lost them; later calls are answered."""
        self._mute_count += 1

    async def wait_muted(self) -> None:
        """Hold a call that was open when the server was muted."""
        await trio.sleep_forever()

    def update(self, *changed: dict[str, Any]) -> None:
        """Add or replace hosts, by name."""
        names = {host["host"] for host in changed}
        self.replace([host for host in self.hosts if host["host"] not in names] + list(changed))

    def replace(self, hosts: list[dict[str, Any]]) -> None:
        """Replace the whole list and increment its version."""
        self.hosts = hosts
        self.version += 1
        self._changed.set()
        self._changed = trio.Event()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
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
                        http.receive_data(bytes(await stream.receive_some(READ_BYTES)))
                    elif isinstance(event, h11.Request):
                        body = msgspec.json.encode(await self._answer(event.target.decode()))
                    elif isinstance(event, h11.EndOfMessage):
                        await stream.send_all(_response(http, body))
                        http.start_next_cycle()
                    else:
                        return
        except (trio.BrokenResourceError, h11.ProtocolError):
            return

    async def _answer(self, target: str) -> dict[str, Any]:
        self.calls += 1
        mute_count = self._mute_count
        _, _, query = target.partition("?")
        parameters = dict(pair.split("=") for pair in query.split("&") if pair)
        if int(parameters.get("after", -1)) == self.version:
            with trio.move_on_after(int(parameters.get("wait_ms", 0)) / 1000):
                await self._changed.wait()
        if mute_count != self._mute_count:
            await self.wait_muted()
        self.on_answer(self.hosts)
        return {"seq": self.version, "whole": True, "hosts": self.hosts}

    def on_answer(self, hosts: list[dict[str, Any]]) -> None:
        """Hook for subclasses, called with the list of each answer before it is sent."""


def _response(http: h11.Connection, body: bytes) -> bytes:
    head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
    parts = [http.send(head), http.send(h11.Data(body)), http.send(h11.EndOfMessage())]
    return b"".join(part or b"" for part in parts)
