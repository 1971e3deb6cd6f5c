"""Soak clients that keep sending on an open connection until the driver closes it, without awaiting answers.

An unanswered request is excused only if it was sent at about the time of the close: a request that was sent
well before the close must have been accepted.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import trio

from juniperreel.fakes.platform_clients import READ_BYTES
from juniperreel.postgres import messages
from juniperreel.testbed.soak.loop_lag import LoopLag
from juniperreel.testbed.soak.reconnecting import use_connections
from juniperreel.testbed.soak.requests import STARTUP_MESSAGE, FindDriver, SoakRequests
from juniperreel.verification import records as rec

PAUSE_S = 0.06  # mean, between two bursts of one client
MAX_UNANSWERED = 40
MAX_BURST = 5  # requests sent back to back
RECONNECT_DELAY_S = 0.1
# From a driver's last read of a connection to its close, without injected hold-ups.
CLOSE_RACE_US = 50_000


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and the time at which its transmission began."""

    request_class: rec.RequestClass
    request_id: str
    at_us: int


class PersistentClient:
    """A client that sends until its connection is closed, and then reconnects."""

    def __init__(
        self, requests: SoakRequests, find_driver: FindDriver, lag: LoopLag, hold_up_us: int, seed: int
    ) -> None:
        """`find_driver` returns a driver that accepts clients; hold-ups last `hold_up_us` at most."""
        self._requests = requests
        self._find_driver = find_driver
        self._lag = lag
        self._close_race_us = CLOSE_RACE_US + hold_up_us
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Send until cancelled."""
        await use_connections(self._find_driver, self._use, RECONNECT_DELAY_S)

    async def _use(self, stream: trio.SocketStream, driver: str) -> None:
        with self._requests.observations.track_connection():
            connection = _Connection(self._requests, driver, stream, self._rng)
            await connection.run()
            connection.check_close(self._lag, self._close_race_us)


class _Connection:
    """One connection and its unanswered requests, in the order in which they were sent."""

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
        self._is_started = False

    async def run(self) -> None:
        """Send and read until the connection is closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            await self._read()
            nursery.cancel_scope.cancel()

    async def _send(self) -> None:
        try:
            await self._stream.send_all(STARTUP_MESSAGE)
            while True:
                for _ in range(self._rng.choice((1, 1, 1, MAX_BURST))):
                    if len(self._unanswered) < MAX_UNANSWERED:
                        await self._send_request()
                await trio.sleep(self._rng.expovariate(1 / PAUSE_S))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return  # `_read` detects the close

    async def _send_request(self) -> None:
        requests = self._requests
        request_class = self._rng.choice((requests.bounded_read, requests.session_read, requests.write))
        request_id = requests.new_id()
        now_us = requests.clock.now_us()
        requests.record_sent(now_us, self._driver, request_class, request_id, self._session)
        self._unanswered.append(SentRequest(request_class, request_id, now_us))
        await self._stream.send_all(requests.query(request_class, request_id, self._session))

    async def _read(self) -> None:
        try:
            while data := await self._stream.receive_some(READ_BYTES):
                self._received += bytes(data)
                self._process_answers()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _process_answers(self) -> None:
        *answers, self._received = self._received.split(messages.READY)
        for answer in answers:
            if not self._is_started:
                self._is_started = True
                continue
            if not self._unanswered:
                self._requests.observations.violations.append(f"unrequested answer of {self._driver}")
                return
            sent = self._unanswered.popleft()
            self._requests.check_answer(self._driver, sent.request_class, sent.request_id, answer)
            self._requests.observations.counts["answers to clients that keep sending"] += 1

    def check_close(self, lag: LoopLag, close_race_us: int) -> None:
        """Check the unanswered requests after the connection was closed.

        Requests sent within `close_race_us`, plus this process's own lag, of the close may be unanswered.
        """
        requests = self._requests
        ended_us = requests.clock.now_us()
        if not self._is_started:
            return self._check_closed_before_startup()
        for sent in self._unanswered:
            requests.check_unanswered(self._driver, sent.request_id, True, sent.at_us)
            before_close_us = ended_us - sent.at_us
            tolerance_us = close_race_us + lag.tolerance_us(sent.at_us)
            if (
                sent.request_id in requests.observations.unanswered_at_close
                and before_close_us > tolerance_us
            ):
                requests.observations.violations.append(
                    f"{sent.request_id} was sent to {self._driver} {before_close_us} us"
                    f" before its connection ended at {ended_us}, tolerated {tolerance_us}"
                )
        requests.observations.counts["kept sending until the end"] += 1
        return None

    def _check_closed_before_startup(self) -> None:
        """Check requests on a connection closed before its startup response, for lack of descriptors."""
        for sent in self._unanswered:
            self._requests.check_unanswered(self._driver, sent.request_id, True, sent.at_us)
