"""Clients of a soak: patient sessions that judge what they get, and clients that misbehave."""

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
    HELLO,
    LATE_US,
    ClientLeft,
    ClientNotes,
    FindDriver,
    SoakRequests,
    WasKilled,
)
from juniperreel.testbed.soak.timeliness import AwaitedAnswer
from juniperreel.verification import records as rec

BAD_CLIENT_LIMIT_S = 3.5  # the 3 s that the operators owe a client that stops, and what a busy machine takes
MISBEHAVIOUR_PAUSE_S = 0.12  # mean, between two misbehaving clients of one task
MAX_PIPELINED = 90
LAST_BYTES = 3  # of a request, that its slow writer holds back to the end


class SoakSession(PlatformSession):
    """A session that waits as long as an answer is owed."""

    notes: ClientNotes
    was_killed: WasKilled
    lag: LoopLag
    asked_us = 0
    deadline_ms = 0

    def _record_sent(self, request_class: rec.RequestClass, request_id: str, deadline_ms: int) -> None:
        self.asked_us = self._clock.now_us()
        self.deadline_ms = deadline_ms
        super()._record_sent(request_class, request_id, deadline_ms)

    def _record_reply(self, request_id: str, reply: Reply) -> int:
        self.notes.awaited.append(
            AwaitedAnswer(
                request_id,
                self._edge,
                self.asked_us + self.deadline_ms * 1000,
                self._clock.now_us(),
                answered=True,
                tolerance_us=self.lag.tolerance_us(self.asked_us),
            )
        )
        return super()._record_reply(request_id, reply)

    def _on_connection_ended(self, request_id: str) -> None:
        """Note a request that met the end of its connection, unless its driver was killed."""
        if self._protocol.response_started or self.was_killed(self._edge, self.asked_us):
            super()._on_connection_ended(request_id)
            return
        self.notes.crossed[request_id] = self._edge


class MisbehavingClients:
    """Tasks that play misbehaving clients until cancelled. Every kind is counted when it was played whole."""

    def __init__(self, requests: SoakRequests, find_driver: FindDriver, seed: int) -> None:
        """`find_driver` names a driver that takes clients."""
        self._requests = requests
        self._notes = requests.notes
        self._find_driver = find_driver
        self._was_killed = requests.was_killed
        self._clock = requests.clock
        self._rng = random.Random(seed)
        self._kinds = (
            self._stop_in_a_startup,
            self._stop_in_a_command,
            self._rest,
            self._leave,
            self._pipeline,
            self._write_slowly,
            self._send_much_and_go,
        )

    async def run(self) -> None:
        """Play one misbehaving client after another, side by side where they take long."""
        async with trio.open_nursery() as nursery:
            while True:
                for kind in self._rng.sample(self._kinds, len(self._kinds)):
                    await trio.sleep(self._rng.expovariate(1 / MISBEHAVIOUR_PAUSE_S))
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
            with self._notes.conversation(), suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await kind(stream, driver.name)  # type: ignore[misc]

    # Clients that stop and stay.

    async def _stop_in_a_startup(self, stream: trio.SocketStream, driver: str) -> None:
        await stream.send_all(HELLO[: self._rng.randrange(1, len(HELLO))])
        await self._expect_an_end(stream, driver, "stopped in a startup")

    async def _stop_in_a_command(self, stream: trio.SocketStream, driver: str) -> None:
        query = self._requests.query(self._requests.board, self._requests.new_id())
        await stream.send_all(HELLO + query[: self._rng.randrange(1, len(query))])
        await self._expect_an_end(stream, driver, "stopped in a command")

    async def _expect_an_end(self, stream: trio.SocketStream, driver: str, kind: str) -> None:
        stopped_us = self._clock.now_us()
        with trio.move_on_after(BAD_CLIENT_LIMIT_S):
            try:
                while await stream.receive_some(READ_BYTES):
                    pass
            finally:
                self._notes.counts[kind] += 1
            return
        if not self._was_killed(driver, stopped_us):
            self._notes.violations.append(f"a client that {kind} at {driver} was neither told nor closed")

    async def _rest(self, stream: trio.SocketStream, driver: str) -> None:
        """Ask once, and rest until the driver ends the connection."""
        if not await self._ask(stream, driver, [(self._requests.own, self._requests.new_id())]):
            return
        self._notes.counts["rests"] += 1
        while await stream.receive_some(READ_BYTES):
            pass
        self._notes.counts["rests until the driver ends it"] += 1

    # Clients that leave.

    async def _leave(self, stream: trio.SocketStream, _driver: str) -> None:
        request_class = self._rng.choice((self._requests.board, self._requests.write))
        request_id = self._requests.new_id()
        await stream.send_all(HELLO + self._requests.query(request_class, request_id))
        await trio.sleep(self._rng.choice((0.0, self._rng.uniform(0, 0.05), self._rng.uniform(0, 0.6))))
        if self._rng.random() < 0.5:
            reset_connection(stream)
        else:
            stream.socket.close()
        self._notes.left.append(ClientLeft(request_id, self._clock.now_us()))
        self._notes.counts["left"] += 1

    async def _send_much_and_go(self, stream: trio.SocketStream, _driver: str) -> None:
        count = self._rng.randrange(20, 200)
        queries = b"".join(
            self._requests.query(self._requests.board, self._requests.new_id()) for _ in range(count)
        )
        with trio.move_on_after(0.2):
            await stream.send_all(HELLO + queries + bytes(self._rng.randrange(0, 100_000)))
        stream.socket.close()
        self._notes.counts["sent much and left"] += 1

    # Clients that ask in unusual ways, and are owed their answers.

    async def _pipeline(self, stream: trio.SocketStream, driver: str) -> None:
        count = self._rng.randrange(5, MAX_PIPELINED)
        asked = [
            (self._rng.choice((self._requests.board, self._requests.write)), self._requests.new_id())
            for _ in range(count)
        ]
        if await self._ask(stream, driver, asked):
            self._notes.counts["pipelined"] += 1

    async def _write_slowly(self, stream: trio.SocketStream, driver: str) -> None:
        request_id = self._requests.new_id()
        query = self._requests.query(self._requests.write, request_id)[:-LAST_BYTES]
        cuts = [0, *sorted(self._rng.sample(range(1, len(query)), 3)), len(query)]
        await stream.send_all(HELLO)
        for start, end in pairwise(cuts):
            await stream.send_all(query[start:end])
            await trio.sleep(self._rng.uniform(0.02, 0.25))
        if await self._ask(stream, driver, [(self._requests.write, request_id)], sent_ahead=True):
            self._notes.counts["wrote slowly"] += 1

    async def _ask(
        self,
        stream: trio.SocketStream,
        driver: str,
        asked: Sequence[tuple[rec.RequestClass, str]],
        sent_ahead: bool = False,
    ) -> bool:
        """Ask side by side and judge the answers; return whether all came.

        `sent_ahead`: the startup and all of the one request but its last bytes were sent before.
        """
        queries = b"".join(
            self._requests.query(request_class, request_id) for request_class, request_id in asked
        )
        now_us = self._clock.now_us()
        for request_class, request_id in asked:
            self._requests.record_asked(now_us, driver, request_class, request_id)
        received = b""
        ended = False
        with trio.move_on_after(self._requests.deadline_ms / 1000 + LATE_US / US):
            try:
                await stream.send_all(queries[-LAST_BYTES:] if sent_ahead else HELLO + queries)
                while not ended and received.count(messages.READY) <= len(asked):
                    data = bytes(await stream.receive_some(READ_BYTES))
                    ended = not data
                    received += data
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                ended = True
        answers = received.split(messages.READY)[1:-1]  # without the one to the startup
        for (request_class, request_id), answer in zip(asked, answers, strict=False):
            self._requests.judge_answer(driver, request_class, request_id, answer)
        for _, request_id in asked[len(answers) :]:
            self._requests.judge_unanswered(driver, request_id, ended, now_us)
        return len(answers) == len(asked)
