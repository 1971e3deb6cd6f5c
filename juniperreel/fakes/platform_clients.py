"""Clients of the platform's drivers: sessions that ask, one request at a time, over connections they hold.

A session stays with one driver while that runs. When its connection ends it goes to another driver under a
new name, since what it wrote is remembered by the first one only.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import trio

from juniperreel.net import Clock, ConnectError, Network, hung_up
from juniperreel.net.clock import US
from juniperreel.postgres import messages as m
from juniperreel.postgres.client import ClientConnection, Phase, Reply
from juniperreel.verification.records import RecordSink, RequestClass, RequestSent, ResponseReceived

READ_BYTES = 65_536
CONNECT_US = 2_000_000
AGAIN_S = 0.1  # after a connection that did not come about
UNAVAILABLE, UNKNOWN, DEADLINE, INTERNAL = 14, 2, 4, 13  # the record's statuses are gRPC's
REFUSED = ("53300", "57P03")

Front = Callable[[], tuple[str, int] | None]  # a driver's name and port, or None where all are down


class Broken(Exception):
    """The connection ended before the answer."""


class Session:
    """One client session of a group."""

    def __init__(
        self,
        name: str,
        group: int,
        classes: Sequence[RequestClass],
        weights: Sequence[float],
        front: Front,
        network: Network,
        clock: Clock,
        record: RecordSink,
        seed: int,
    ) -> None:
        self._name, self._group, self._classes, self._weights = name, group, classes, weights
        self._front, self._network, self._clock, self._record = front, network, clock, record
        self._rng = random.Random(seed)
        self._lives = 0
        self._driver = ""
        self._stream: trio.abc.Stream | None = None
        self._talk = ClientConnection("worker", "catalog")

    async def run(self, until_us: int, pause_s: float) -> None:
        """Asks until then, pausing between an answer and the next request."""
        while self._clock.now_us() < until_us:
            await trio.sleep(pause_s * self._rng.expovariate(1.0))
            if self._stream is not None and (self._talk.phase is Phase.OVER or hung_up(self._stream)):
                self._drop()  # its driver has ended it, or has been killed, since the last answer
            if self._stream is None and not await self._connect():
                await trio.sleep(AGAIN_S)
                continue
            wait_us = await self._ask()
            await trio.sleep(wait_us / US)
        self._drop()

    def _drop(self) -> None:
        if self._stream is not None and isinstance(self._stream, trio.SocketStream):
            self._stream.socket.close()
        self._stream = None

    async def _connect(self) -> bool:
        found = self._front()
        if found is None:
            return False
        self._driver, port = found
        self._lives += 1
        self._talk = ClientConnection("worker", "catalog")
        try:
            self._stream = await self._network.connect("127.0.0.1", port, CONNECT_US)
            with trio.move_on_after(CONNECT_US / US):
                await self._stream.send_all(self._talk.hello)
                while self._talk.phase is Phase.WELCOME:
                    await self._receive()
                return True
        except (ConnectError, Broken, m.ProtocolError, trio.BrokenResourceError):
            pass
        self._drop()
        return False

    async def _receive(self) -> Reply | None:
        assert self._stream is not None
        data = await self._stream.receive_some(READ_BYTES)
        if not data:
            raise Broken
        return self._talk.feed(bytes(data))

    async def _ask(self) -> int:
        """One request and its answer; returns how long it was asked to stay away."""
        assert self._stream is not None
        (cls,) = self._rng.choices(self._classes, self._weights)
        deadline = self._rng.uniform(0.85, 1.0) * cls.latency_objective_us * 4
        key = f"{self._name}.{self._lives}"
        rid = f"{self._rng.getrandbits(64):016x}"
        span_ms = int(deadline // 1000)
        now = self._clock.now_us()
        fields = f"id={rid},c={cls.name},t=acme,d={span_ms},cluster={self._group}"
        if cls.write:
            fields += f",k={rid}"
            text = f"INSERT INTO objects (oid, body) VALUES ('{key}', '\\x00') RETURNING body /* {fields} */"
        else:
            text = f"SELECT body FROM objects WHERE oid = '{key}' /* {fields} */"
        self._record(
            RequestSent(
                now, rid, 0, self._driver, cls.name, key, "acme", self._group, key, now + span_ms * 1000
            )
        )
        try:
            with trio.move_on_after(span_ms / 1000):
                await self._stream.send_all(self._talk.ask(text.encode()))
                reply = None
                while reply is None:
                    reply = await self._receive()
                return self._told(rid, reply)
            self._local(rid, DEADLINE)
        except (Broken, trio.BrokenResourceError, m.ProtocolError):
            self._local(rid, UNAVAILABLE)
        self._drop()
        return 0

    def _local(self, rid: str, status: int) -> None:
        self._record(ResponseReceived(self._clock.now_us(), rid, 0, status, local=True))

    def _told(self, rid: str, reply: Reply) -> int:
        now = self._clock.now_us()
        if reply.error is None:
            member, _, rows = (reply.value or b"").decode().partition("|")
            self._record(
                ResponseReceived(now, rid, 0, 0, endpoint=member, rows=rows.split(",") if rows else [])
            )
            return 0
        code = reply.error.get("C", "")
        wait = int(reply.error.get("D", "0") or 0) * 1000 if code in REFUSED else 0
        status = UNAVAILABLE if code in REFUSED else UNKNOWN if code == "08007" else INTERNAL
        self._record(ResponseReceived(now, rid, 0, status, retry_after_us=wait))
        return wait
