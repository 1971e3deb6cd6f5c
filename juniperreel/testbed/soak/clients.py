"""Clients of a soak: sessions that wait for every answer and check it, and misbehaving clients."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from itertools import pairwise

import trio

from juniperreel.fakes.platform_clients import READ_BYTES, PlatformSession
from juniperreel.net.clock import US
from juniperreel.postgres import messages
from juniperreel.postgres.client import Reply
from juniperreel.testbed.relay import reset_connection
from juniperreel.testbed.soak.loop_lag import LoopLag
from juniperreel.testbed.soak.requests import (
    MAX_ANSWER_DELAY_US,
    STARTUP_MESSAGE,
    ClientDisconnect,
    ClientObservations,
    FindDriver,
    SoakRequests,
    WasKilled,
)
from juniperreel.testbed.soak.timeliness import AwaitedAnswer
from juniperreel.verification import records as rec

CLOSE_TIMEOUT_S = 3.5  # the driver closes a stalled client within 3 s; the rest allows for a loaded machine
MEAN_CLIENT_INTERVAL_S = 0.12  # between two misbehaving clients of one task
MAX_PIPELINED = 90
WITHHELD_BYTES = 3  # last bytes of a slowly written request, sent by `_exchange`


class SoakSession(PlatformSession):
    """A session that waits for as long as the driver may take to answer."""

    observations: ClientObservations
    was_killed: WasKilled
    lag: LoopLag
    sent_us = 0
    deadline_ms = 0

    def _record_sent(self, request_class: rec.RequestClass, request_id: str, deadline_ms: int) -> None:
        self.sent_us = self._clock.now_us()
        self.deadline_ms = deadline_ms
        super()._record_sent(request_class, request_id, deadline_ms)

    def _record_reply(self, request_id: str, reply: Reply) -> int:
        self.observations.awaited.append(
            AwaitedAnswer(
                request_id,
                self._edge,
                self.sent_us + self.deadline_ms * 1000,
                self._clock.now_us(),
                answered=True,
                tolerance_us=self.lag.tolerance_us(self.sent_us),
            )
        )
        return super()._record_reply(request_id, reply)

    def _on_connection_ended(self, request_id: str) -> None:
        """Record a request whose connection was closed before its answer, unless its driver was killed."""
        if self._protocol.response_started or self.was_killed(self._edge, self.sent_us):
            super()._on_connection_ended(request_id)
            return
        self.observations.unanswered_at_close[request_id] = self._edge


class MisbehavingClients:
    """Runs misbehaving clients until cancelled. Each kind is counted when a client has completed it."""

    def __init__(self, requests: SoakRequests, find_driver: FindDriver, seed: int) -> None:
        """`find_driver` returns a driver that accepts clients."""
        self._requests = requests
        self._observations = requests.observations
        self._find_driver = find_driver
        self._was_killed = requests.was_killed
        self._clock = requests.clock
        self._rng = random.Random(seed)
        self._kinds = (
            self._stop_during_startup,
            self._stop_during_command,
            self._stay_idle,
            self._disconnect_early,
            self._pipeline,
            self._write_slowly,
            self._flood_and_close,
        )

    async def run(self) -> None:
        """Start one misbehaving client after another; clients that take long overlap."""
        async with trio.open_nursery() as nursery:
            while True:
                for kind in self._rng.sample(self._kinds, len(self._kinds)):
                    await trio.sleep(self._rng.expovariate(1 / MEAN_CLIENT_INTERVAL_S))
                    nursery.start_soon(self._play, kind)

    async def _play(self, kind: Callable[[trio.SocketStream, str], object]) -> None:
        driver = self._find_driver()
        if driver is None:
            return
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", driver.port)
        except OSError:
            return
        async with stream:
            with (
                self._observations.track_connection(),
                suppress(trio.BrokenResourceError, trio.ClosedResourceError),
            ):
                await kind(stream, driver.name)  # type: ignore[misc]

    # Clients that stop sending and stay connected.

    async def _stop_during_startup(self, stream: trio.SocketStream, driver: str) -> None:
        await stream.send_all(STARTUP_MESSAGE[: self._rng.randrange(1, len(STARTUP_MESSAGE))])
        await self._expect_close(stream, driver, "stopped in a startup")

    async def _stop_during_command(self, stream: trio.SocketStream, driver: str) -> None:
        query = self._requests.query(self._requests.bounded_read, self._requests.new_id())
        await stream.send_all(STARTUP_MESSAGE + query[: self._rng.randrange(1, len(query))])
        await self._expect_close(stream, driver, "stopped in a command")

    async def _expect_close(self, stream: trio.SocketStream, driver: str, kind: str) -> None:
        stopped_us = self._clock.now_us()
        with trio.move_on_after(CLOSE_TIMEOUT_S):
            try:
                while await stream.receive_some(READ_BYTES):
                    pass
            finally:
                self._observations.counts[kind] += 1
            return
        if not self._was_killed(driver, stopped_us):
            self._observations.violations.append(f"a client that {kind} at {driver} was not disconnected")

    async def _stay_idle(self, stream: trio.SocketStream, driver: str) -> None:
        """Send one request, then idle until the driver closes the connection."""
        if not await self._exchange(stream, driver, [(self._requests.session_read, self._requests.new_id())]):
            return
        self._observations.counts["rests"] += 1
        while await stream.receive_some(READ_BYTES):
            pass
        self._observations.counts["rests until the driver ends it"] += 1

    # Clients that disconnect with open requests.

    async def _disconnect_early(self, stream: trio.SocketStream, _driver: str) -> None:
        request_class = self._rng.choice((self._requests.bounded_read, self._requests.write))
        request_id = self._requests.new_id()
        await stream.send_all(STARTUP_MESSAGE + self._requests.query(request_class, request_id))
        await trio.sleep(self._rng.choice((0.0, self._rng.uniform(0, 0.05), self._rng.uniform(0, 0.6))))
        if self._rng.random() < 0.5:
            reset_connection(stream)
        else:
            stream.socket.close()
        self._observations.disconnects.append(ClientDisconnect(request_id, self._clock.now_us()))
        self._observations.counts["left"] += 1

    async def _flood_and_close(self, stream: trio.SocketStream, _driver: str) -> None:
        count = self._rng.randrange(20, 200)
        queries = b"".join(
            self._requests.query(self._requests.bounded_read, self._requests.new_id()) for _ in range(count)
        )
        with trio.move_on_after(0.2):
            await stream.send_all(STARTUP_MESSAGE + queries + bytes(self._rng.randrange(0, 100_000)))
        stream.socket.close()
        self._observations.counts["sent much and left"] += 1

    # Clients that send requests in unusual ways and must get their answers.

    async def _pipeline(self, stream: trio.SocketStream, driver: str) -> None:
        count = self._rng.randrange(5, MAX_PIPELINED)
        asked = [
            (self._rng.choice((self._requests.bounded_read, self._requests.write)), self._requests.new_id())
            for _ in range(count)
        ]
        if await self._exchange(stream, driver, asked):
            self._observations.counts["pipelined"] += 1

    async def _write_slowly(self, stream: trio.SocketStream, driver: str) -> None:
        request_id = self._requests.new_id()
        query = self._requests.query(self._requests.write, request_id)[:-WITHHELD_BYTES]
        cuts = [0, *sorted(self._rng.sample(range(1, len(query)), 3)), len(query)]
        await stream.send_all(STARTUP_MESSAGE)
        for start, end in pairwise(cuts):
            await stream.send_all(query[start:end])
            await trio.sleep(self._rng.uniform(0.02, 0.25))
        if await self._exchange(stream, driver, [(self._requests.write, request_id)], partly_sent=True):
            self._observations.counts["wrote slowly"] += 1

    async def _exchange(
        self,
        stream: trio.SocketStream,
        driver: str,
        asked: Sequence[tuple[rec.RequestClass, str]],
        partly_sent: bool = False,
    ) -> bool:
        """Send pipelined requests and check the answers; return whether all arrived.

        `partly_sent`: the startup message and one request but for its last WITHHELD_BYTES were sent before.
        """
        queries = b"".join(
            self._requests.query(request_class, request_id) for request_class, request_id in asked
        )
        now_us = self._clock.now_us()
        for request_class, request_id in asked:
            self._requests.record_sent(now_us, driver, request_class, request_id)
        received = b""
        ended = False
        with trio.move_on_after(self._requests.deadline_ms / 1000 + MAX_ANSWER_DELAY_US / US):
            try:
                await stream.send_all(queries[-WITHHELD_BYTES:] if partly_sent else STARTUP_MESSAGE + queries)
                while not ended and received.count(messages.READY) <= len(asked):
                    data = bytes(await stream.receive_some(READ_BYTES))
                    ended = not data
                    received += data
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                ended = True
        answers = received.split(messages.READY)[1:-1]  # without the response to the startup message
        for (request_class, request_id), answer in zip(asked, answers, strict=False):
            self._requests.check_answer(driver, request_class, request_id, answer)
        for _, request_id in asked[len(answers) :]:
            self._requests.check_unanswered(driver, request_id, ended, now_us)
        return len(answers) == len(asked)
