"""Discovery on real sockets: what it answers, and when, is the test's. The clock moves by hand only."""

from __future__ import annotations

import errno
import io
import json
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
import trio
import trio.testing

from juniperreel.net import TcpNetwork
from juniperreel.platform.discovery import Discovery
from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.platform.log import Log
from juniperreel.routing.types import Readiness, UpdateKind
from juniperreel.testbed.injected_faults import FaultKind, FaultySocket, InjectedFaults
from tests.platform.event_harness import SEC, entry
from tests.platform.socket_harness import TIMEOUT_S, FakeEndpoint, RemoteEnd

WAIT_US = 4 * SEC


def body(version: int, health: str, whole: bool = True) -> bytes:
    return json.dumps({"seq": version, "whole": whole, "hosts": [entry("a", 1, health=health)]}).encode()


def http(content: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content) + content


class Calls:
    """A driver's discovery, and what it told. `server` is where it calls."""

    def __init__(self, clock: trio.testing.MockClock, nursery: trio.Nursery) -> None:
        self.clock = clock
        self.nursery = nursery
        self.server = FakeEndpoint()
        self.told: list[tuple[UpdateKind, EndpointList | None]] = []
        self.on_tell: Callable[[UpdateKind], None] = lambda _kind: None
        self.discovery = Discovery(
            TcpNetwork(),
            ("127.0.0.1", self.server.port),
            ["east"],
            ["k"],
            WAIT_US,
            self._tell,
            Log(io.StringIO()),
        )
        self.discovery.version = 3

    def _tell(self, kind: UpdateKind, endpoints: EndpointList | None) -> None:
        self.told.append((kind, endpoints))
        self.on_tell(kind)

    @property
    def health(self) -> Readiness:
        """Of the one member, by the last list."""
        lists = [e for _, e in self.told if e is not None]
        return lists[-1].endpoints[0].readiness

    async def until(self, what: Callable[[], Any]) -> None:
        end = time.monotonic() + TIMEOUT_S
        while not what():
            assert time.monotonic() < end
            await trio.lowlevel.checkpoint()

    async def call(self, number: int, server: FakeEndpoint | None = None) -> RemoteEnd:
        """The end on which the server's call of this number came, whole."""
        where = server or self.server

        def come() -> bool:
            ends = where.accept()
            return len(ends) >= number and ends[number - 1].read().endswith(b"\r\n\r\n")

        await self.until(come)
        return where.ends[number - 1]


@asynccontextmanager
async def calls(clock: trio.testing.MockClock) -> AsyncIterator[Calls]:
    async with trio.open_nursery() as nursery:
        found = Calls(clock, nursery)
        await nursery.start(found.discovery.run)
        yield found
        nursery.cancel_scope.cancel()
    found.server.sock.close()
    for end in found.server.ends:
        end.close()


async def test_a_whole_list_that_comes_late_does_not_undo_a_newer_change(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with calls(mock_clock) as it:
        it.discovery.fetch()
        slow = await it.call(1)
        it.discovery.subscribe(True)
        watch = await it.call(2)
        watch.send(http(body(5, "Terminating", whole=False)))
        await it.until(lambda: it.told)
        slow.send(http(body(4, "Ready")))
        await it.until(lambda: slow.read() is None or slow.ended)
        await trio.testing.wait_all_tasks_blocked()
        assert it.health is Readiness.DRAINING
        assert it.discovery.version == 5
        assert b"after=5" in (await it.call(2)).got


async def test_a_list_asked_for_at_the_old_address_is_asked_for_at_the_new_one(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with calls(mock_clock) as it:
        it.discovery.fetch()
        old = await it.call(1)
        elsewhere = FakeEndpoint()
        it.discovery.change_address(("127.0.0.1", elsewhere.port))
        watch = await it.call(1, elsewhere)
        watch.send(http(body(7, "Terminating")))
        await it.until(lambda: it.told)
        old.send(http(body(9, "Ready")))  # whatever it says
        again = await it.call(2, elsewhere)
        again.send(http(body(7, "Terminating")))
        await it.until(lambda: len(it.told) == 2)
        assert it.health is Readiness.DRAINING
        elsewhere.sock.close()


async def test_a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with calls(mock_clock) as it:

        def again(kind: UpdateKind) -> None:
            if kind is UpdateKind.TIMED_OUT:
                it.discovery.subscribe(True)

        it.on_tell = again
        it.discovery.subscribe(True)
        await it.call(1)
        mock_clock.jump(5.9)
        await it.until(lambda: it.told)
        assert it.told[0][0] is UpdateKind.TIMED_OUT
        watch = await it.call(2)
        watch.send(http(body(4, "Terminating", whole=False)))
        await it.until(lambda: len(it.told) == 2)
        assert it.health is Readiness.DRAINING


async def test_a_watch_that_is_open_stays_when_one_is_asked_for(mock_clock: trio.testing.MockClock) -> None:
    """What was written on it counts as told, and would be lost with it."""
    async with calls(mock_clock) as it:
        it.discovery.subscribe(True)
        watch = await it.call(1)
        watch.send(http(body(4, "Terminating", whole=False)))
        it.discovery.subscribe(True)
        await it.until(lambda: it.told)
        assert it.health is Readiness.DRAINING
        assert len(it.server.accept()) == 1


async def test_a_discovery_that_began_anew_is_believed(mock_clock: trio.testing.MockClock) -> None:
    async with calls(mock_clock) as it:
        it.discovery.version = 40
        it.discovery.subscribe(True)
        watch = await it.call(1)
        watch.take()
        watch.send(http(body(2, "Terminating")))
        await it.until(lambda: it.told)
        assert it.health is Readiness.DRAINING
        assert b"after=2&" in (await it.call(1)).got
        watch.send(http(body(1, "Ready", whole=False)))  # changes to a list that was never had
        await it.until(lambda: len(it.told) == 2)
        assert it.told[-1] == (UpdateKind.FAILED, None)
        it.discovery.subscribe(True)
        assert b"after=0&" in (await it.call(2)).got


async def test_an_answer_without_a_length_ends_with_an_end_and_not_with_a_reset(
    mock_clock: trio.testing.MockClock,
) -> None:
    for reset in (False, True):
        async with calls(mock_clock) as it:
            it.discovery.subscribe(True)
            watch = await it.call(1)
            watch.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body(4, "Terminating"))
            if reset:
                watch.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER of 0 s: the close is a reset
            watch.close()
            await it.until(lambda it=it: it.told)  # type: ignore[misc]
            assert it.told[0][0] is (UpdateKind.FAILED if reset else UpdateKind.SNAPSHOT)


async def test_lists_that_are_none_are_failed_calls(mock_clock: trio.testing.MockClock) -> None:
    indented = json.dumps(json.loads(body(4, "Terminating")), indent=2).encode()
    for content, kind in (
        (indented, UpdateKind.SNAPSHOT),
        (body(4, "Ready")[:-9], UpdateKind.FAILED),
        (b'{"seq":4,"whole":true,"hosts":[]}', UpdateKind.FAILED),
        (b"\xff\xfe", UpdateKind.FAILED),
    ):
        async with calls(mock_clock) as it:
            it.discovery.subscribe(True)
            watch = await it.call(1)
            watch.send(http(content))
            await it.until(lambda it=it: it.told)  # type: ignore[misc]
            assert it.told[0][0] is kind
            assert it.discovery.version == (4 if kind is UpdateKind.SNAPSHOT else 3)


async def test_an_answer_that_is_nested_beyond_the_stack_is_a_failed_call(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with calls(mock_clock) as it:
        it.discovery.fetch()
        server = await it.call(1)
        server.send(http(b"[" * 100_000 + b"]" * 100_000))
        await it.until(lambda: it.told)
        assert it.told == [(UpdateKind.FAILED, None)]


@pytest.mark.parametrize("kind", [FaultKind.SOCKET, FaultKind.CONNECT])
async def test_a_call_for_which_this_machine_lacks_a_socket_is_no_failed_call(
    mock_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, kind: FaultKind
) -> None:
    """Discovery was not asked, and what it has to tell binds as if it had been."""
    faults = InjectedFaults({}, seed=1)
    monkeypatch.setattr(FaultySocket, "faults", faults)
    monkeypatch.setattr(socket, "socket", FaultySocket)
    async with calls(mock_clock) as it:
        for number in (errno.ENFILE, errno.EADDRNOTAVAIL):
            faults.next_errnos[kind] = number
            it.discovery.fetch()
            await it.until(lambda: kind not in faults.next_errnos)
            await trio.testing.wait_all_tasks_blocked()
            assert it.told == []
            mock_clock.jump(0.2)
            await it.until(lambda: len(it.server.accept()) == faults.counts[kind])
        assert it.told == []
