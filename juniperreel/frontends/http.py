"""Metrics and health over HTTP/1.1, on a port of their own: GET /metrics, /healthz and /readyz."""

from __future__ import annotations

from collections.abc import Callable

import h11
import trio

from juniperreel.net import Listener

READ_BYTES = 4096
REQUEST_S = 10.0  # for a whole exchange; a peer that dawdles is dropped
MAX_PEERS = 64
TEXT = "text/plain; charset=utf-8"
METRICS = "text/plain; version=0.0.4; charset=utf-8"


class HttpFront:
    """One request a connection is enough for those who ask."""

    def __init__(self, metrics: Callable[[], bytes], ready: Callable[[], bool]) -> None:
        self._metrics, self._ready = metrics, ready
        self._peers = 0

    async def serve(
        self, listener: Listener, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            task_status.started(listener.port)
            while True:
                try:
                    stream = await listener.accept()
                except trio.ClosedResourceError:
                    return
                if self._peers >= MAX_PEERS:
                    await trio.aclose_forcefully(stream)
                else:
                    nursery.start_soon(self._peer, stream)

    async def _peer(self, stream: trio.abc.Stream) -> None:
        self._peers += 1
        try:
            with trio.move_on_after(REQUEST_S):
                await self._exchange(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass  # a scraper that left, or one that does not speak HTTP: nothing is owed to it
        finally:
            self._peers -= 1
            await trio.aclose_forcefully(stream)

    async def _exchange(self, stream: trio.abc.Stream) -> None:
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=16 << 10)
        request = None
        while True:
            try:
                event = http.next_event()
            except h11.RemoteProtocolError as error:
                await self._send(http, stream, error.error_status_hint, b"bad request\n", TEXT)
                return
            if event is h11.NEED_DATA:
                http.receive_data(bytes(await stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                break
        if request is not None:
            await self._send(http, stream, *self._answer(request), headless=request.method == b"HEAD")

    def _answer(self, request: h11.Request) -> tuple[int, bytes, str]:
        if request.method not in (b"GET", b"HEAD"):
            return 405, b"only GET and HEAD\n", TEXT
        path = request.target.partition(b"?")[0]
        if path == b"/metrics":
            return 200, self._metrics(), METRICS
        if path == b"/healthz":
            return 200, b"alive\n", TEXT
        if path == b"/readyz":
            return (200, b"serving\n", TEXT) if self._ready() else (503, b"not serving\n", TEXT)
        return 404, b"there are /metrics, /healthz and /readyz\n", TEXT

    @staticmethod
    async def _send(
        http: h11.Connection,
        stream: trio.abc.Stream,
        status: int,
        body: bytes,
        kind: str,
        headless: bool = False,
    ) -> None:
        headers = [("content-type", kind), ("content-length", str(len(body))), ("connection", "close")]
        parts = [http.send(h11.Response(status_code=status, headers=headers))]
        if not headless:
            parts.append(http.send(h11.Data(data=body)))
        parts.append(http.send(h11.EndOfMessage()))
        await stream.send_all(b"".join(part for part in parts if part))
