"""Clients of a soak: patient sessions that judge what they get, and clients that misbehave."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import pairwise

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.platform_clients import (
    READ_BYTES,
    STATUS_OK,
    STATUS_UNKNOWN,
    TENANT,
    PlatformSession,
    statement,
)
from juniperreel.net import Clock
from juniperreel.net.clock import US
from juniperreel.postgres import messages
from juniperreel.testbed.relay import reset_connection
from juniperreel.verification import records as rec

LATE_US = 550_000  # an answer up to so late is only worth nothing
BAD_CLIENT_LIMIT_S = 3.5  # the 3 s that the operators owe a client that stops, and what a busy machine takes
HELLO = messages.startup("worker", "catalog")
MISBEHAVIOUR_PAUSE_S = 0.12  # mean, between two misbehaving clients of one task
MAX_PIPELINED = 90
LAST_BYTES = 3  # of a request, that its slow writer holds back to the end
DEADLINE_MS = 4_000

FindDriver = Callable[[], EdgeAddress | None]
WasKilled = Callable[[str, int], bool]  # whether a driver was killed since a time


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """A client closed its connection while a request of its was open."""

    request_id: str
    at_us: int


@dataclass(slots=True)
class ClientNotes:
    """What clients saw.

    `crossed`: requests that met the end of their connection unanswered, with their driver. `unusual`: those
    of clients that are no sessions.
    """

    crossed: dict[str, str] = field(default_factory=dict)
    left: list[ClientLeft] = field(default_factory=list)
    unusual: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class SoakSession(PlatformSession):
    """A session that waits as long as an answer is owed."""

    notes: ClientNotes
    was_killed: WasKilled
    asked_us = 0

    def _record_sent(self, request_class: rec.RequestClass, request_id: str, deadline_ms: int) -> None:
        self.asked_us = self._clock.now_us()
        super()._record_sent(request_class, request_id, deadline_ms)

    def _on_connection_ended(self, request_id: str) -> None:
        """Note a request that met the end of its connection, unless its driver was killed."""
        if self._protocol.response_started or self.was_killed(self._edge, self.asked_us):
            super()._on_connection_ended(request_id)
            return
        self.notes.crossed[request_id] = self._edge


class MisbehavingClients:
    """Tasks that play misbehaving clients until cancelled. Every kind is counted when it was played whole."""

    def __init__(
        self,
        notes: ClientNotes,
        find_driver: FindDriver,
        was_killed: WasKilled,
        classes: Sequence[rec.RequestClass],
        clock: Clock,
        record: rec.RecordSink,
        seed: int,
    ) -> None:
        """`find_driver` names a driver that takes clients, `was_killed` excuses one."""
        self._notes = notes
        self._find_driver = find_driver
        self._was_killed = was_killed
        self._board, self._own, self._write = classes
        self._clock = clock
        self._record = record
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
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await kind(stream, driver.name)  # type: ignore[misc]

    # Clients that stop and stay.

    async def _stop_in_a_startup(self, stream: trio.SocketStream, driver: str) -> None:
        await stream.send_all(HELLO[: self._rng.randrange(1, len(HELLO))])
        await self._expect_an_end(stream, driver, "stopped in a startup")

    async def _stop_in_a_command(self, stream: trio.SocketStream, driver: str) -> None:
        query = self._query(self._board, self._new_id())
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
        if not await self._ask(stream, driver, [(self._own, self._new_id())]):
            return
        self._notes.counts["rests"] += 1
        while await stream.receive_some(READ_BYTES):
            pass
        self._notes.counts["rests until the driver ends it"] += 1

    # Clients that leave.

    async def _leave(self, stream: trio.SocketStream, _driver: str) -> None:
        request_class = self._rng.choice((self._board, self._write))
        request_id = self._new_id()
        await stream.send_all(HELLO + self._query(request_class, request_id))
        await trio.sleep(self._rng.choice((0.0, self._rng.uniform(0, 0.05), self._rng.uniform(0, 0.6))))
        if self._rng.random() < 0.5:
            reset_connection(stream)
        else:
            stream.socket.close()
        self._notes.left.append(ClientLeft(request_id, self._clock.now_us()))
        self._notes.counts["left"] += 1

    async def _send_much_and_go(self, stream: trio.SocketStream, _driver: str) -> None:
        count = self._rng.randrange(20, 200)
        queries = b"".join(self._query(self._board, self._new_id()) for _ in range(count))
        with trio.move_on_after(0.2):
            await stream.send_all(HELLO + queries + bytes(self._rng.randrange(0, 100_000)))
        stream.socket.close()
        self._notes.counts["sent much and left"] += 1

    # Clients that ask in unusual ways, and are owed their answers.

    async def _pipeline(self, stream: trio.SocketStream, driver: str) -> None:
        count = self._rng.randrange(5, MAX_PIPELINED)
        asked = [(self._rng.choice((self._board, self._write)), self._new_id()) for _ in range(count)]
        if await self._ask(stream, driver, asked):
            self._notes.counts["pipelined"] += 1

    async def _write_slowly(self, stream: trio.SocketStream, driver: str) -> None:
        request_id = self._new_id()
        query = self._query(self._write, request_id)[:-LAST_BYTES]
        cuts = [0, *sorted(self._rng.sample(range(1, len(query)), 3)), len(query)]
        await stream.send_all(HELLO)
        for start, end in pairwise(cuts):
            await stream.send_all(query[start:end])
            await trio.sleep(self._rng.uniform(0.02, 0.25))
        if await self._ask(stream, driver, [(self._write, request_id)], sent_ahead=True):
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
        queries = b"".join(self._query(request_class, request_id) for request_class, request_id in asked)
        now_us = self._clock.now_us()
        for request_class, request_id in asked:
            self._record_asked(now_us, driver, request_class, request_id)
        received = b""
        ended = False
        with trio.move_on_after(DEADLINE_MS / 1000 + LATE_US / US):
            try:
                await stream.send_all(queries[-LAST_BYTES:] if sent_ahead else HELLO + queries)
                while not ended and received.count(messages.READY) <= len(asked):
                    data = bytes(await stream.receive_some(READ_BYTES))
                    ended = not data
                    received += data
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                ended = True
        answers = received.split(messages.READY)[1:-1]  # without the one to the startup
        self._judge_answers(driver, asked, answers)
        self._judge_unanswered(driver, asked[len(answers) :], ended, now_us)
        return len(answers) == len(asked)

    def _judge_answers(
        self, driver: str, asked: Sequence[tuple[rec.RequestClass, str]], answers: Sequence[bytes]
    ) -> None:
        now_us = self._clock.now_us()
        for (request_class, request_id), answer in zip(asked, answers, strict=False):
            served = answer.startswith(b"T")
            self._record(rec.ResponseReceived(now_us, request_id, 0, STATUS_OK if served else STATUS_UNKNOWN))
            if served and request_class.write and request_id.encode() not in answer:
                self._notes.violations.append(f"the answer to {request_id} of {driver} is another request's")

    def _judge_unanswered(
        self, driver: str, unanswered: Sequence[tuple[rec.RequestClass, str]], ended: bool, asked_us: int
    ) -> None:
        for _, request_id in unanswered:
            if self._was_killed(driver, asked_us):
                now_us = self._clock.now_us()
                self._record(rec.ResponseReceived(now_us, request_id, 0, STATUS_UNKNOWN, local=True))
            elif ended:
                self._notes.crossed[request_id] = driver
            else:
                self._notes.violations.append(f"{request_id} had no answer of {driver}, nor an end")

    def _record_asked(
        self, now_us: int, driver: str, request_class: rec.RequestClass, request_id: str
    ) -> None:
        self._notes.unusual.add(request_id)
        deadline_us = now_us + DEADLINE_MS * 1000 + LATE_US
        name = request_class.name
        self._record(
            rec.RequestSent(
                now_us, request_id, 0, driver, name, request_id, TENANT, 0, request_id, deadline_us
            )
        )

    def _query(self, request_class: rec.RequestClass, request_id: str) -> bytes:
        return messages.query(statement(request_class, request_id, request_id, 0, DEADLINE_MS).encode())

    def _new_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"
