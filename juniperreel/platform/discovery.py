"""Discovery over HTTP/1.1 (h11): a fetch, and a watch that goes on call after call on one connection.

Tells lists as they come and failures as they happen; when to ask, and again, the module says.
"""

from __future__ import annotations

from collections.abc import Callable

import h11
import msgspec
import trio

from juniperreel.net import ConnectError, Network
from juniperreel.net.clock import US
from juniperreel.platform.endpoint_list import EndpointList, EndpointListInvalid, read
from juniperreel.platform.log import Log
from juniperreel.routing.types import (
    UpdateKind,
)

PATH = "/v1/endpoints"
BODY_LIMIT = 8 << 20
ANSWER_US = (
    1_500_000  # a call's answer is due this long after its wait; the operators' list fails calls at 2 s
)
CONNECT_US = 1_000_000

Tell = Callable[[UpdateKind, EndpointList | None], None]


class CallFailed(Exception):
    """No list came of this call."""


class DiscoveryConnection:
    """One connection's calls, in turn. Raises CallFailed from `call`, after which it is of no use."""

    def __init__(self, stream: trio.abc.Stream, host: str) -> None:
        self._stream, self._host = stream, host
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65_536)

    async def call(self, target: str) -> bytes:
        http = self._http
        try:
            request = h11.Request(method="GET", target=target, headers=[("Host", self._host)])
            await self._stream.send_all((http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b""))
            body, status = bytearray(), 0
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(bytes(await self._stream.receive_some(65_536)))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > BODY_LIMIT:
                        raise CallFailed("the answer does not end")
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise CallFailed("the connection ended")
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallFailed(str(error)) from error
        if status != 200:
            raise CallFailed(f"status {status}")
        return bytes(body)

    def again(self) -> bool:
        """Whether another call can follow on this connection."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False


class Discovery:
    """One driver's link to discovery; `run` must be running. `wait_us`: how long a watch's call may wait."""

    def __init__(
        self,
        network: Network,
        address: tuple[str, int],
        zones: list[str],
        kinds: list[str],
        wait_us: int,
        tell: Tell,
        log: Log,
    ) -> None:
        self._network, self.address, self._zones, self._kinds = network, address, zones, kinds
        self._wait_us, self._tell, self._log = wait_us, tell, log
        self.version = 0
        self._lists = 0  # taken so far
        self._nursery: trio.Nursery | None = None
        self._watching: trio.CancelScope | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    @property
    def watching(self) -> bool:
        return self._watching is not None

    def subscribe(self, on: bool) -> None:
        """A watch that is open stays so. Danger: what was written on it counts as told, and would be lost
        with it."""
        if on and self._watching is None:
            self._open()
        elif not on and self._watching is not None:
            self._watching.cancel()
            self._watching = None

    def _open(self) -> None:
        assert self._nursery is not None
        if self._watching is not None:
            self._watching.cancel()
        self._watching = trio.CancelScope()
        self._nursery.start_soon(self._watch, self._watching)

    def fetch(self) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._fetch)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere now. The watch goes on there at once: a subscription outlives its
        address."""
        if address != self.address:
            self.address = address
            self._open()

    async def _connect(self) -> DiscoveryConnection:
        host, port = self.address
        stream = await self._network.connect(host, port, CONNECT_US)
        return DiscoveryConnection(stream, f"{host}:{port}")

    async def _fetch(self) -> None:
        address, lists = None, self._lists
        try:
            while address != self.address:  # danger: what the old address says after a move is not the newest
                address, lists = self.address, self._lists
                exchange = await self._connect()
                async with exchange._stream:
                    with trio.fail_after(ANSWER_US / US):
                        body = await exchange.call(PATH)
            self._take(body, lists)
        except (CallFailed, ConnectError, EndpointListInvalid, trio.TooSlowError) as error:
            self._failed(error)

    async def _watch(self, scope: trio.CancelScope) -> None:
        error: Exception
        kind = UpdateKind.FAILED
        with scope:
            try:
                exchange = await self._connect()
                while True:
                    async with exchange._stream:
                        while True:
                            wait_ms, lists = self._wait_us // 1000, self._lists
                            try:
                                with trio.fail_after((self._wait_us + ANSWER_US) / US):
                                    body = await exchange.call(
                                        f"{PATH}?after={self.version}&wait_ms={wait_ms}"
                                    )
                            except trio.TooSlowError as late:
                                kind = UpdateKind.TIMED_OUT
                                raise CallFailed("the watch has fallen silent") from late
                            self._take(body, lists)
                            if not exchange.again():
                                break
                    exchange = await self._connect()
            except (CallFailed, ConnectError, EndpointListInvalid) as caught:
                error = caught
            if self._watching is scope:
                self._watching = None
            self._failed(error, kind)

    def _failed(self, error: Exception, kind: UpdateKind = UpdateKind.FAILED) -> None:
        self._log.warning("discovery failed", error=str(error) or type(error).__name__)
        self._tell(kind, None)

    def _take(self, body: bytes, lists: int) -> None:
        """`lists`: taken when the call began."""
        try:
            raw = msgspec.json.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise EndpointListInvalid(str(error)) from None
        endpoints = read(raw, self._zones, self._kinds)
        if endpoints.bad:
            self._log.warning("discovery sent lines that can't be read", lines=endpoints.bad)
        if endpoints.version < self.version and lists != self._lists:
            # Danger: a member that drains, by a newer list, would be ready again.
            self._log.warning("an older list came late", version=endpoints.version, newest=self.version)
            return
        if endpoints.version < self.version and not endpoints.whole:
            self.version = 0  # discovery began anew: its changes are none of the list that is had
            raise EndpointListInvalid("changes to an older list")
        self._lists += 1
        self.version = endpoints.version
        self._tell(UpdateKind.SNAPSHOT if endpoints.whole else UpdateKind.DELTA, endpoints)
