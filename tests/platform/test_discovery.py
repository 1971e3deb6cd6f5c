"""The discovery client on real sockets, against a server controlled by the test, with a mock clock."""

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
from tests.platform.event_harness import SEC, list_entry
from tests.platform.socket_harness import TIMEOUT_S, FakeEndpoint, PeerConnection

WAIT_US = 4 * SEC


def list_body(version: int, health: str, complete: bool = True) -> bytes:
    return json.dumps(
        {"seq": version, "whole": complete, "hosts": [list_entry("a", 1, health=health)]}
    ).encode()


def http_response(content: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(content) + content


class DiscoveryHarness:
    """A discovery client with its updates and the `server` that it calls."""

    def __init__(self, clock: trio.testing.MockClock, nursery: trio.Nursery) -> None:
        self.clock = clock
        self.nursery = nursery
        self.server = FakeEndpoint()
        self.updates: list[tuple[UpdateKind, EndpointList | None]] = []
        self.on_update: Callable[[UpdateKind], None] = lambda _kind: None
        self.discovery = Discovery(
            TcpNetwork(),
            ("127.0.0.1", self.server.port),
            ["east"],
            ["k"],
            WAIT_US,
            self._on_update,
            Log(io.StringIO()),
        )
        self.discovery.version = 3

    def _on_update(self, kind: UpdateKind, endpoints: EndpointList | None) -> None:
        self.updates.append((kind, endpoints))
        self.on_update(kind)

    @property
    def health(self) -> Readiness:
        """Readiness of the only endpoint in the last list."""
        lists = [e for _, e in self.updates if e is not None]
        return lists[-1].endpoints[0].readiness

    async def wait_until(self, condition: Callable[[], Any]) -> None:
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end
            await trio.lowlevel.checkpoint()

    async def wait_for_call(self, number: int, server: FakeEndpoint | None = None) -> PeerConnection:
        """Wait for the server's n-th connection to receive a complete call; return the connection."""
        target = server or self.server

        def has_arrived() -> bool:
            connections = target.accept()
            return len(connections) >= number and connections[number - 1].read().endswith(b"\r\n\r\n")

        await self.wait_until(has_arrived)
        return target.connections[number - 1]


@asynccontextmanager
async def running_discovery(clock: trio.testing.MockClock) -> AsyncIterator[DiscoveryHarness]:
    async with trio.open_nursery() as nursery:
        harness = DiscoveryHarness(clock, nursery)
        await nursery.start(harness.discovery.run)
        yield harness
        nursery.cancel_scope.cancel()
    harness.server.sock.close()
    for end in harness.server.connections:
        end.close()


async def test_late_snapshot_does_not_override_newer_delta(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with running_discovery(mock_clock) as harness:
        harness.discovery.fetch()
        slow = await harness.wait_for_call(1)
        harness.discovery.subscribe(True)
        watch = await harness.wait_for_call(2)
        watch.send(http_response(list_body(5, "Terminating", complete=False)))
        await harness.wait_until(lambda: harness.updates)
        slow.send(http_response(list_body(4, "Ready")))
        await harness.wait_until(lambda: slow.read() is None or slow.close_kind)
        await trio.testing.wait_all_tasks_blocked()
        assert harness.health is Readiness.DRAINING
        assert harness.discovery.version == 5
        assert b"after=5" in (await harness.wait_for_call(2)).received


async def test_poll_is_repeated_after_address_change(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with running_discovery(mock_clock) as harness:
        harness.discovery.fetch()
        old = await harness.wait_for_call(1)
        new_server = FakeEndpoint()
        harness.discovery.change_address(("127.0.0.1", new_server.port))
        watch = await harness.wait_for_call(1, new_server)
        watch.send(http_response(list_body(7, "Terminating")))
        await harness.wait_until(lambda: harness.updates)
        old.send(http_response(list_body(9, "Ready")))  # must be ignored
        reopen = await harness.wait_for_call(2, new_server)
        reopen.send(http_response(list_body(7, "Terminating")))
        await harness.wait_until(lambda: len(harness.updates) == 2)
        assert harness.health is Readiness.DRAINING
        new_server.sock.close()


async def test_silent_watch_is_reopened_before_missed_changes_count_as_notified(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with running_discovery(mock_clock) as harness:

        def reopen(kind: UpdateKind) -> None:
            if kind is UpdateKind.TIMED_OUT:
                harness.discovery.subscribe(True)

        harness.on_update = reopen
        harness.discovery.subscribe(True)
        await harness.wait_for_call(1)
        mock_clock.jump(5.9)
        await harness.wait_until(lambda: harness.updates)
        assert harness.updates[0][0] is UpdateKind.TIMED_OUT
        watch = await harness.wait_for_call(2)
        watch.send(http_response(list_body(4, "Terminating", complete=False)))
        await harness.wait_until(lambda: len(harness.updates) == 2)
        assert harness.health is Readiness.DRAINING


async def test_subscribing_again_keeps_open_watch(mock_clock: trio.testing.MockClock) -> None:
    """Changes already written to the open watch count as notified and would be lost with it."""
    async with running_discovery(mock_clock) as harness:
        harness.discovery.subscribe(True)
        watch = await harness.wait_for_call(1)
        watch.send(http_response(list_body(4, "Terminating", complete=False)))
        harness.discovery.subscribe(True)
        await harness.wait_until(lambda: harness.updates)
        assert harness.health is Readiness.DRAINING
        assert len(harness.server.accept()) == 1


async def test_lists_of_restarted_discovery_are_accepted(mock_clock: trio.testing.MockClock) -> None:
    async with running_discovery(mock_clock) as harness:
        harness.discovery.version = 40
        harness.discovery.subscribe(True)
        watch = await harness.wait_for_call(1)
        watch.take()
        watch.send(http_response(list_body(2, "Terminating")))
        await harness.wait_until(lambda: harness.updates)
        assert harness.health is Readiness.DRAINING
        assert b"after=2&" in (await harness.wait_for_call(1)).received
        watch.send(
            http_response(list_body(1, "Ready", complete=False))
        )  # delta to a list that was never received
        await harness.wait_until(lambda: len(harness.updates) == 2)
        assert harness.updates[-1] == (UpdateKind.FAILED, None)
        harness.discovery.subscribe(True)
        assert b"after=0&" in (await harness.wait_for_call(2)).received


async def test_response_without_length_requires_orderly_close(
    mock_clock: trio.testing.MockClock,
) -> None:
    for reset in (False, True):
        async with running_discovery(mock_clock) as harness:
            harness.discovery.subscribe(True)
            watch = await harness.wait_for_call(1)
            watch.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list_body(4, "Terminating"))
            if reset:
                watch.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER of 0 s resets on close
            watch.close()
            await harness.wait_until(lambda harness=harness: harness.updates)  # type: ignore[misc]
            assert harness.updates[0][0] is (UpdateKind.FAILED if reset else UpdateKind.SNAPSHOT)


async def test_invalid_lists_are_failed_calls(mock_clock: trio.testing.MockClock) -> None:
    indented = json.dumps(json.loads(list_body(4, "Terminating")), indent=2).encode()
    for content, kind in (
        (indented, UpdateKind.SNAPSHOT),
        (list_body(4, "Ready")[:-9], UpdateKind.FAILED),
        (b'{"seq":4,"whole":true,"hosts":[]}', UpdateKind.FAILED),
        (b"\xff\xfe", UpdateKind.FAILED),
    ):
        async with running_discovery(mock_clock) as harness:
            harness.discovery.subscribe(True)
            watch = await harness.wait_for_call(1)
            watch.send(http_response(content))
            await harness.wait_until(lambda harness=harness: harness.updates)  # type: ignore[misc]
            assert harness.updates[0][0] is kind
            assert harness.discovery.version == (4 if kind is UpdateKind.SNAPSHOT else 3)


async def test_deeply_nested_response_is_a_failed_call(
    mock_clock: trio.testing.MockClock,
) -> None:
    async with running_discovery(mock_clock) as harness:
        harness.discovery.fetch()
        server = await harness.wait_for_call(1)
        server.send(http_response(b"[" * 100_000 + b"]" * 100_000))
        await harness.wait_until(lambda: harness.updates)
        assert harness.updates == [(UpdateKind.FAILED, None)]


@pytest.mark.parametrize("kind", [FaultKind.SOCKET, FaultKind.CONNECT])
async def test_local_socket_shortage_is_no_failed_call(
    mock_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, kind: FaultKind
) -> None:
    """Discovery was not called, yet its changes count as notified as if it had been."""
    faults = InjectedFaults({}, seed=1)
    monkeypatch.setattr(FaultySocket, "faults", faults)
    monkeypatch.setattr(socket, "socket", FaultySocket)
    async with running_discovery(mock_clock) as harness:
        for number in (errno.ENFILE, errno.EADDRNOTAVAIL):
            faults.next_errnos[kind] = number
            harness.discovery.fetch()
            await harness.wait_until(lambda: kind not in faults.next_errnos)
            await trio.testing.wait_all_tasks_blocked()
            assert harness.updates == []
            mock_clock.jump(0.2)
            await harness.wait_until(lambda: len(harness.server.accept()) == faults.counts[kind])
        assert harness.updates == []
