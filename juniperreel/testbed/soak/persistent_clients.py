"""Clients of a soak that send on an open connection until the driver ends it, without waiting for answers.

Of the requests that then have no answer only those may be excused that crossed the end of their connection:
what was written well before the end was accepted.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.platform_clients import READ_BYTES
from juniperreel.postgres import messages
from juniperreel.testbed.soak.loop_lag import LoopLag
from juniperreel.testbed.soak.requests import HELLO, FindDriver, SoakRequests
from juniperreel.verification import records as rec

PAUSE_S = 0.06  # mean, between two sends of one client
MAX_UNANSWERED = 40
MAX_BURST = 5  # requests that are sent at once
RECONNECT_S = 0.1
# Between a driver's last look at a connection and its end; where drivers are held up, that comes on top.
CROSSING_US = 50_000


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request whose last byte was written at `at_us`."""

    request_class: rec.RequestClass
    request_id: str
    at_us: int


class PersistentClient:
    """One client: connects, sends until its connection ends, and connects again."""

    def __init__(
        self, requests: SoakRequests, find_driver: FindDriver, lag: LoopLag, hold_up_us: int, seed: int
    ) -> None:
        """`find_driver` names a driver that takes clients; drivers are held up for `hold_up_us` at most."""
        self._requests = requests
        self._find_driver = find_driver
        self._lag = lag
        self._crossing_us = CROSSING_US + hold_up_us
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Send until cancelled."""
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
                await connection.run()
                connection.judge_end(self._lag, self._crossing_us)


class _Connection:
    """The requests of one connection, in the order in which they were sent."""

    def __init__(
        self, requests: SoakRequests, driver: str, stream: trio.SocketStream, rng: random.Random
    ) -> None:
        self._requests = requests
        self._driver = driver
        self._stream = stream
        self._rng = rng
        self._session = requests.new_session()
        self._unanswered: deque[SentRequest] = deque()
        self._received = b""
        self._is_welcomed = False

    async def run(self) -> None:
        """Send and read until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            await self._read()
            nursery.cancel_scope.cancel()

    async def _send(self) -> None:
        try:
            await self._stream.send_all(HELLO)
            while True:
                for _ in range(self._rng.choice((1, 1, 1, MAX_BURST))):
                    if len(self._unanswered) < MAX_UNANSWERED:
                        await self._send_request()
                await trio.sleep(self._rng.expovariate(1 / PAUSE_S))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # the reader sees the end

    async def _send_request(self) -> None:
        requests = self._requests
        request_class = self._rng.choice((requests.board, requests.own, requests.write))
        request_id = requests.new_id()
        now_us = requests.clock.now_us()
        requests.record_asked(now_us, self._driver, request_class, request_id, self._session)
        self._unanswered.append(SentRequest(request_class, request_id, now_us))
        await self._stream.send_all(requests.query(request_class, request_id, self._session))

    async def _read(self) -> None:
        try:
            while data := await self._stream.receive_some(READ_BYTES):
                self._received += bytes(data)
                self._take_answers()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _take_answers(self) -> None:
        *answers, self._received = self._received.split(messages.READY)
        for answer in answers:
            if not self._is_welcomed:
                self._is_welcomed = True
                continue
            if not self._unanswered:
                self._requests.notes.violations.append(f"{self._driver} answered what nobody asked")
                return
            sent = self._unanswered.popleft()
            self._requests.judge_answer(self._driver, sent.request_class, sent.request_id, answer)
            self._requests.notes.counts["answers to clients that keep sending"] += 1

    def judge_end(self, lag: LoopLag, crossing_us: int) -> None:
        """Judge what has no answer, now that the connection has ended.

        What was sent within `crossing_us` of its end, and of this process's own delay, may have crossed it.
        """
        requests = self._requests
        ended_us = requests.clock.now_us()
        if not self._is_welcomed:
            return self._judge_unwelcomed()
        for sent in self._unanswered:
            requests.judge_unanswered(self._driver, sent.request_id, True, sent.at_us)
            early_us = ended_us - sent.at_us
            tolerance_us = crossing_us + lag.tolerance_us(sent.at_us)
            if sent.request_id in requests.notes.crossed and early_us > tolerance_us:
                requests.notes.violations.append(
                    f"{sent.request_id} was sent to {self._driver} {early_us} us before its connection ended"
                    f" at {ended_us}, tolerated {tolerance_us}"
                )
        requests.notes.counts["kept sending until the end"] += 1
        return None

    def _judge_unwelcomed(self) -> None:
        """Judge requests on a connection that ended before the first answer: without descriptors it may."""
        for sent in self._unanswered:
            self._requests.judge_unanswered(self._driver, sent.request_id, True, sent.at_us)
