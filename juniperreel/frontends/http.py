"""Metrics and health over HTTP/1.1 on a separate port: GET /metrics, /healthz and /readyz."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import h11
import trio

from juniperreel.net import Listener
from juniperreel.net.accept import serve_connections

READ_BYTES = 4096
REQUEST_TIMEOUT_S = 10.0  # for a request and its response, so that slow clients cannot hold connections
MAX_CONNECTIONS = 64
MAX_REQUEST_BYTES = 16 << 10  # of the request line and headers
PLAIN_TEXT = "text/plain; charset=utf-8"
EXPOSITION_TEXT = "text/plain; version=0.0.4; charset=utf-8"


class HttpResponse(NamedTuple):
    """A response, before it is encoded."""

    status: int
    body: bytes
    content_type: str = PLAIN_TEXT


class HttpFrontend:
    """Serves one request per connection, then closes it, which is enough for scrapers and probes."""

    def __init__(self, metrics: Callable[[], bytes], ready: Callable[[], bool]) -> None:
        """`metrics` renders the exposition text; `ready` tells whether the edge serves requests."""
        self._metrics = metrics
        self._ready = ready
        self._connections = 0

    async def serve(
        self, listener: Listener, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled or the listener is closed."""
        await serve_connections(
            listener,
            self._serve_connection,
            task_status,
            has_capacity=lambda: self._connections < MAX_CONNECTIONS,
        )

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        self._connections += 1
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                await self._exchange(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass  # the client disconnected or does not speak HTTP, so no response can be sent
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)

    async def _exchange(self, stream: trio.abc.Stream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        request = None
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                response = HttpResponse(error.error_status_hint, b"bad request\n")
                await self._send(connection, stream, response)
                return
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                break
        if request is not None:
            headers_only = request.method == b"HEAD"
            await self._send(connection, stream, self._respond(request), headers_only)

    def _respond(self, request: h11.Request) -> HttpResponse:
        if request.method not in (b"GET", b"HEAD"):
            return HttpResponse(405, b"only GET and HEAD\n")
        path = request.target.partition(b"?")[0]
        if path == b"/metrics":
            return HttpResponse(200, self._metrics(), EXPOSITION_TEXT)
        if path == b"/healthz":
            return HttpResponse(200, b"alive\n")
        if path == b"/readyz":
            return HttpResponse(200, b"serving\n") if self._ready() else HttpResponse(503, b"not serving\n")
        return HttpResponse(404, b"there are /metrics, /healthz and /readyz\n")

    @staticmethod
    async def _send(
        connection: h11.Connection,
        stream: trio.abc.Stream,
        response: HttpResponse,
        headers_only: bool = False,
    ) -> None:
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            ("connection", "close"),
        ]
        parts = [connection.send(h11.Response(status_code=response.status, headers=headers))]
        if not headers_only:
            parts.append(connection.send(h11.Data(data=response.body)))
        parts.append(connection.send(h11.EndOfMessage()))
        await stream.send_all(b"".join(part for part in parts if part))
