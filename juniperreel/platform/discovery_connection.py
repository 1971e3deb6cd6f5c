"""A persistent HTTP/1.1 connection to discovery, using h11."""

from __future__ import annotations

from types import TracebackType

import h11
import trio

from juniperreel.platform.errors import DiscoveryCallError

MAX_BODY_BYTES = 8 << 20
READ_BYTES = 65_536
HTTP_OK = 200


class DiscoveryConnection:
    """Sequential calls on one connection. An asynchronous context manager that closes the stream."""

    def __init__(self, stream: trio.abc.Stream, host: str) -> None:
        """`host` is the value of the Host header."""
        self._stream = stream
        self._host = host
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=READ_BYTES)

    async def __aenter__(self) -> DiscoveryConnection:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stream.aclose()

    async def get(self, target: str) -> bytes:
        """Return the response body.

        Raises DiscoveryCallError, after which the connection cannot be used again.
        """
        try:
            await self._send_request(target)
            status, body = await self._receive_response()
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise DiscoveryCallError(str(error)) from error
        if status != HTTP_OK:
            raise DiscoveryCallError(f"HTTP status {status}, expected {HTTP_OK}")
        return bytes(body)

    async def _send_request(self, target: str) -> None:
        request = h11.Request(method="GET", target=target, headers=[("Host", self._host)])
        head = self._http.send(request) or b""
        end = self._http.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(head + end)

    async def _receive_response(self) -> tuple[int, bytearray]:
        body = bytearray()
        status = 0
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(bytes(await self._stream.receive_some(READ_BYTES)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise DiscoveryCallError(f"response body exceeds {MAX_BODY_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return status, body
            elif isinstance(event, h11.ConnectionClosed):
                raise DiscoveryCallError("connection closed before the response was complete")

    def start_next_call(self) -> bool:
        """Prepare for the next call; return False if the connection cannot be reused."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False
