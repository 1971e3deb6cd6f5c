"""Clients of a soak that use an open connection with little time, and leave shortly after their time."""

from __future__ import annotations

import random

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.platform_clients import READ_BYTES
from juniperreel.net.clock import US
from juniperreel.postgres import messages
from juniperreel.testbed.soak.requests import HELLO, ClientLeft, FindDriver, SoakRequests
from juniperreel.testbed.soak.timeliness import PATIENCE_US

PAUSE_S = 0.04  # mean, between an answer and the next request
RECONNECT_S = 0.1
DEADLINES_MS = (150, 700)
WELCOME_S = 3.0
NEW_CONNECTION_PART = 0.1  # of the requests, that come with their connection's first bytes


class PunctualClient:
    """One client, that asks again and again until cancelled."""

    def __init__(self, requests: SoakRequests, find_driver: FindDriver, seed: int) -> None:
        """`find_driver` names a driver that takes clients."""
        self._requests = requests
        self._find_driver = find_driver
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Use one connection after another."""
        while True:
            driver = self._find_driver()
            if driver is not None:
                await self._use(driver)
            await trio.sleep(RECONNECT_S)

    async def _use(self, driver: EdgeAddress) -> None:
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", driver.port)
        except OSError:
            return
        async with stream:
            with self._requests.notes.conversation():
                connection = _Connection(self._requests, driver.name, stream, self._rng)
                try:
                    await connection.run()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    connection.judge_end()


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
        self._open_request: tuple[str, int] | None = None  # its id, and when it was sent

    async def run(self) -> None:
        """Ask until the driver ends the connection, or no answer comes in time."""
        greeting = HELLO
        if self._rng.random() > NEW_CONNECTION_PART:
            await self._stream.send_all(HELLO)
            greeting = b""
            with trio.move_on_after(WELCOME_S):
                await self._read_until_ready(1)
            if not self._received:
                return
            self._received = b""
        while await self._ask(greeting):
            greeting = b""
            await trio.sleep(self._rng.expovariate(1 / PAUSE_S))

    async def _ask(self, greeting: bytes) -> bool:
        """Ask once, with `greeting` before it; return whether the connection can be used again."""
        requests = self._requests
        request_class = self._rng.choice((requests.board, requests.write))
        request_id = requests.new_id()
        deadline_ms = min(self._rng.randint(*DEADLINES_MS), requests.deadline_ms)
        query = requests.query(request_class, request_id, deadline_ms=deadline_ms)
        sent_us = requests.clock.now_us()
        self._open_request = (request_id, sent_us)
        await self._stream.send_all(greeting + query)
        has_answer = False
        with trio.move_on_after(deadline_ms / 1000 + PATIENCE_US / US):
            has_answer = await self._read_until_ready(2 if greeting else 1)
            if not has_answer:
                self.judge_end()
                return False
        self._open_request = None
        if requests.was_killed(self._driver, sent_us):
            return False
        requests.note_awaited(self._driver, request_id, sent_us, deadline_ms, has_answer)
        if not has_answer:
            requests.notes.left.append(ClientLeft(request_id, requests.clock.now_us()))
            return False
        self._received = b""
        requests.notes.counts["answers to clients that leave after their time"] += 1
        return True

    async def _read_until_ready(self, count: int) -> bool:
        """Read until the driver is ready for the next command so often; False where the connection ends."""
        while self._received.count(messages.READY) < count:
            data = bytes(await self._stream.receive_some(READ_BYTES))
            if not data:
                return False
            self._received += data
        return True

    def judge_end(self) -> None:
        """Note a request whose connection ended before its answer, unless its driver was killed."""
        if self._open_request is None:
            return
        request_id, sent_us = self._open_request
        self._open_request = None
        if not self._requests.was_killed(self._driver, sent_us):
            self._requests.notes.crossed[request_id] = self._driver
