"""Clients of the platform's edges: sessions that send one request at a time over a persistent connection.

A session uses the same edge while that is running. When its connection is closed, it connects to another edge
under a new name, because only the first edge knows its earlier writes.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.errors import FakesError
from juniperreel.net import Clock, ConnectError, Network, hung_up
from juniperreel.net.clock import US
from juniperreel.postgres import messages
from juniperreel.postgres.client import ClientConnection, Phase, Reply
from juniperreel.verification.records import RecordSink, RequestClass, RequestSent, ResponseReceived

READ_BYTES = 65_536
CONNECT_TIMEOUT_US = 2_000_000
RECONNECT_DELAY_S = 0.1
DEADLINE_MULTIPLE = 4  # deadline of a request, relative to its latency objective
TENANT = "acme"

# Records use gRPC status codes.
STATUS_OK = 0
STATUS_UNKNOWN = 2
STATUS_DEADLINE_EXCEEDED = 4
STATUS_INTERNAL = 13
STATUS_UNAVAILABLE = 14
REJECTION_SQLSTATES = ("53300", "57P03")
TRANSACTION_RESOLUTION_UNKNOWN = "08007"


# Returns the edge that a session is to connect to, or None if all are down.
EdgeLookup = Callable[[], EdgeAddress | None]


def statement(request_class: RequestClass, request_id: str, key: str, group: int, deadline_ms: int) -> str:
    """The text of a request in the format of the platform's clients."""
    fields = f"id={request_id},c={request_class.name},t={TENANT},d={deadline_ms},cluster={group}"
    if request_class.write:
        fields += f",k={request_id}"
        values = f"('{key}', '\\x00')"
        return f"INSERT INTO objects (oid, body) VALUES {values} RETURNING body /* {fields} */"
    return f"SELECT body FROM objects WHERE oid = '{key}' /* {fields} */"


class ConnectionEndedError(FakesError):
    """The connection was closed before the response."""


class PlatformSession:
    """A client session whose requests all go to one group."""

    def __init__(
        self,
        name: str,
        group: int,
        classes: Sequence[RequestClass],
        weights: Sequence[float],
        find_edge: EdgeLookup,
        network: Network,
        clock: Clock,
        record: RecordSink,
        seed: int,
    ) -> None:
        self._name = name
        self._group = group
        self._classes = classes
        self._weights = weights
        self._find_edge = find_edge
        self._network = network
        self._clock = clock
        self._record = record
        self._rng = random.Random(seed)
        self._connect_count = 0
        self._edge = ""
        self._stream: trio.abc.Stream | None = None
        self._protocol = ClientConnection("worker", "catalog")
        self.deadline_grace_us = 0  # wait beyond the deadline that is sent to the edge

    async def run(self, until_us: int, mean_pause_s: float) -> None:
        """Send requests until `until_us`, with a random pause between a response and the next request."""
        while self._clock.now_us() < until_us:
            await trio.sleep(mean_pause_s * self._rng.expovariate(1.0))
            if self._stream is not None and (self._protocol.phase is Phase.CLOSED or hung_up(self._stream)):
                self._disconnect()  # the edge closed the connection since the last response
            if self._stream is None and not await self._connect():
                await trio.sleep(RECONNECT_DELAY_S)
                continue
            retry_after_us = await self._send_request()
            await trio.sleep(retry_after_us / US)
        self._disconnect()

    def _disconnect(self) -> None:
        if isinstance(self._stream, trio.SocketStream):
            self._stream.socket.close()
        self._stream = None

    async def _connect(self) -> bool:
        address = self._find_edge()
        if address is None:
            return False
        self._edge = address.name
        self._connect_count += 1
        self._protocol = ClientConnection("worker", "catalog")
        try:
            self._stream = await self._network.connect("127.0.0.1", address.port, CONNECT_TIMEOUT_US)
            with trio.move_on_after(CONNECT_TIMEOUT_US / US):
                await self._stream.send_all(self._protocol.startup_message)
                while self._protocol.phase is Phase.STARTUP:
                    await self._receive()
                return True
        except (ConnectError, ConnectionEndedError, messages.ProtocolError, trio.BrokenResourceError):
            pass
        self._disconnect()
        return False

    async def _receive(self) -> Reply | None:
        assert self._stream is not None
        data = await self._stream.receive_some(READ_BYTES)
        if not data:
            raise ConnectionEndedError
        return self._protocol.receive_data(bytes(data))

    async def _send_request(self) -> int:
        """Send one request and wait for its response; returns the retry-after in microseconds."""
        assert self._stream is not None
        (request_class,) = self._rng.choices(self._classes, self._weights)
        deadline_factor = self._rng.uniform(0.85, 1.0)
        deadline_us = deadline_factor * request_class.latency_objective_us * DEADLINE_MULTIPLE
        request_id = f"{self._rng.getrandbits(64):016x}"
        deadline_ms = int(deadline_us // 1000)
        text = statement(request_class, request_id, self._key, self._group, deadline_ms)
        self._record_sent(request_class, request_id, deadline_ms)
        try:
            with trio.move_on_after(deadline_ms / 1000 + self.deadline_grace_us / US):
                await self._stream.send_all(self._protocol.send_query(text.encode()))
                reply = None
                while reply is None:
                    reply = await self._receive()
                return self._record_reply(request_id, reply)
            self._record_local(request_id, STATUS_DEADLINE_EXCEEDED)
        except (ConnectionEndedError, trio.BrokenResourceError, messages.ProtocolError):
            self._on_connection_ended(request_id)
        self._disconnect()
        return 0

    def _on_connection_ended(self, request_id: str) -> None:
        """Record a connection that was closed before the complete response."""
        self._record_local(request_id, STATUS_UNAVAILABLE)

    @property
    def _key(self) -> str:
        """The session's name for its current connection, which is also the key of its reads and writes."""
        return f"{self._name}.{self._connect_count}"

    def _record_sent(self, request_class: RequestClass, request_id: str, deadline_ms: int) -> None:
        now = self._clock.now_us()
        sent = RequestSent(
            now,
            request_id,
            0,
            self._edge,
            request_class.name,
            self._key,
            TENANT,
            self._group,
            self._key,
            now + deadline_ms * 1000 + self.deadline_grace_us,
        )
        self._record(sent)

    def _record_local(self, request_id: str, status: int) -> None:
        self._record(ResponseReceived(self._clock.now_us(), request_id, 0, status, local=True))

    def _record_reply(self, request_id: str, reply: Reply) -> int:
        """Record a response; returns its retry-after in microseconds."""
        now = self._clock.now_us()
        if reply.error is None:
            endpoint, _, ids = (reply.value or b"").decode().partition("|")
            rows = ids.split(",") if ids else []
            self._record(ResponseReceived(now, request_id, 0, STATUS_OK, endpoint=endpoint, rows=rows))
            return 0
        sqlstate = reply.error.get("C", "")
        status = STATUS_INTERNAL
        retry_after_us = 0
        if sqlstate in REJECTION_SQLSTATES:
            status = STATUS_UNAVAILABLE
            retry_after_us = int(reply.error.get("D", "0") or 0) * 1000
        elif sqlstate == TRANSACTION_RESOLUTION_UNKNOWN:
            status = STATUS_UNKNOWN
        self._record(ResponseReceived(now, request_id, 0, status, retry_after_us=retry_after_us))
        return retry_after_us
