"""Soak clients that reuse a connection with short deadlines, and disconnect soon after a missed one."""

from __future__ import annotations

import random

import trio

from juniperreel.fakes.platform_clients import READ_BYTES
from juniperreel.net.clock import US
from juniperreel.postgres import messages
from juniperreel.testbed.soak.reconnecting import use_connections
from juniperreel.testbed.soak.requests import STARTUP_MESSAGE, ClientDisconnect, FindDriver, SoakRequests
from juniperreel.testbed.soak.timeliness import CLIENT_WAIT_MARGIN_US

PAUSE_S = 0.04  # mean, between an answer and the next request
RECONNECT_DELAY_S = 0.1
DEADLINES_MS = (150, 700)
STARTUP_TIMEOUT_S = 3.0
PIPELINED_STARTUP_FRACTION = 0.1  # of connections, whose first request follows the startup at once


class ShortDeadlineClient:
    """A client that sends one request after another until cancelled."""

    def __init__(self, requests: SoakRequests, find_driver: FindDriver, seed: int) -> None:
        """`find_driver` returns a driver that accepts clients."""
        self._requests = requests
        self._find_driver = find_driver
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Use one connection after another."""
        await use_connections(self._find_driver, self._use, RECONNECT_DELAY_S)

    async def _use(self, stream: trio.SocketStream, driver: str) -> None:
        with self._requests.observations.track_connection():
            connection = _Connection(self._requests, driver, stream, self._rng)
            try:
                await connection.run()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                connection.check_close()


class _Connection:
    """One connection, with one request open at a time."""

    def __init__(
        self, requests: SoakRequests, driver: str, stream: trio.SocketStream, rng: random.Random
    ) -> None:
        self._requests = requests
        self._driver = driver
        self._stream = stream
        self._rng = rng
        self._received = b""
        self._open_request: tuple[str, int] | None = None  # its id and the time at which it was sent

    async def run(self) -> None:
        """Send requests until the driver closes the connection or an answer does not arrive in time."""
        startup_prefix = STARTUP_MESSAGE
        if self._rng.random() > PIPELINED_STARTUP_FRACTION:
            await self._stream.send_all(STARTUP_MESSAGE)
            startup_prefix = b""
            with trio.move_on_after(STARTUP_TIMEOUT_S):
                await self._read_until_ready(1)
            if not self._received:
                return
            self._received = b""
        while await self._exchange(startup_prefix):
            startup_prefix = b""
            await trio.sleep(self._rng.expovariate(1 / PAUSE_S))

    async def _exchange(self, startup_prefix: bytes) -> bool:
        """Send one request, preceded by `startup_prefix`; return whether the connection is reusable."""
        requests = self._requests
        request_class = self._rng.choice((requests.bounded_read, requests.write))
        request_id = requests.new_id()
        deadline_ms = min(self._rng.randint(*DEADLINES_MS), requests.deadline_ms)
        query = requests.query(request_class, request_id, deadline_ms=deadline_ms)
        sent_us = requests.clock.now_us()
        self._open_request = (request_id, sent_us)
        await self._stream.send_all(startup_prefix + query)
        has_answer = False
        with trio.move_on_after(deadline_ms / 1000 + CLIENT_WAIT_MARGIN_US / US):
            has_answer = await self._read_until_ready(2 if startup_prefix else 1)
            if not has_answer:
                self.check_close()
                return False
        self._open_request = None
        if requests.was_killed(self._driver, sent_us):
            return False
        requests.add_awaited_answer(self._driver, request_id, sent_us, deadline_ms, has_answer)
        if not has_answer:
            requests.observations.disconnects.append(ClientDisconnect(request_id, requests.clock.now_us()))
            return False
        self._received = b""
        requests.observations.counts["answers to clients that leave after their time"] += 1
        return True

    async def _read_until_ready(self, count: int) -> bool:
        """Read until `count` ready messages have arrived; return False if the connection is closed first."""
        while self._received.count(messages.READY) < count:
            data = bytes(await self._stream.receive_some(READ_BYTES))
            if not data:
                return False
            self._received += data
        return True

    def check_close(self) -> None:
        """Record a request whose connection was closed before its answer, unless its driver was killed."""
        if self._open_request is None:
            return
        request_id, sent_us = self._open_request
        self._open_request = None
        if not self._requests.was_killed(self._driver, sent_us):
            self._requests.observations.unanswered_at_close[request_id] = self._driver
