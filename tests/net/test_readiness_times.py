"""Lower bounds on when sockets became ready, which must hold even if the process was stalled.

A timestamp taken after a wait cannot reveal a stall during the wait, so events are dated to the last poll
that found nothing. If the bound were too late, the age of a request would be underestimated.
"""

from __future__ import annotations

import contextlib
import select
import socket
import time
from collections.abc import AsyncIterator

import pytest
import trio

from juniperreel.net import Clock, poller
from juniperreel.net.poller import Poller
from juniperreel.net.stall_monitor import StallMonitor

STALL_S = 0.3
TOLERANCE_US = 150_000  # beyond the stall, for scheduling delays on a loaded machine
TIMEOUT_S = 30
STEP_US = 1_000_000


class ManualClock(Clock):
    """A clock whose time is set by the test."""

    def __init__(self) -> None:
        super().__init__(0)
        self.time_us = 1_000_000

    def now_us(self) -> int:
        return self.time_us


class RecordingHandler:
    """Records that it was called, and reads one byte."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.called = False

    def handle_event(self, _mask: int) -> None:
        self.called = True
        self.sock.recv(1)


class PollerHarness:
    """A poller with one end of each socket pair registered."""

    def __init__(self, count: int, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.poller = Poller(self.clock)
        self.pairs = [socket.socketpair() for _ in range(count)]
        self.handlers = [RecordingHandler(local) for local, _ in self.pairs]
        for handler in self.handlers:
            self.poller.add(handler.sock.fileno(), select.EPOLLIN, handler)

    def send_and_stall(self) -> int:
        """Send on all pairs, then stall the process; return the send time."""
        for _, remote in self.pairs:
            remote.send(b"x")
        sent_us = self.clock.now_us()
        time.sleep(STALL_S)
        return sent_us

    def close(self) -> None:
        self.poller.close()
        for pair in self.pairs:
            for sock in pair:
                sock.close()


@pytest.fixture
async def harness() -> AsyncIterator[PollerHarness]:
    created = PollerHarness(5)
    yield created
    created.close()


async def test_events_during_a_stalled_wait_are_not_dated_to_its_end(harness: PollerHarness) -> None:
    sent: list[int] = []

    async def send_and_stall_later() -> None:
        await trio.sleep(0.1)
        sent.append(harness.send_and_stall())

    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_and_stall_later)
            await harness.poller.wait(None)
    assert sent[0] - TOLERANCE_US < harness.poller.ready_since_us <= sent[0]


async def test_events_found_by_the_first_poll_are_dated_to_the_previous_poll(
    harness: PollerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stall after the first poll looks like a long wait, although the events were there before it."""
    with trio.move_on_after(0.01):
        await harness.poller.wait(None)
    sent_us = harness.send_and_stall()
    original_poll = harness.poller._poll

    def stalled_poll() -> None:
        original_poll()
        time.sleep(STALL_S)

    monkeypatch.setattr(harness.poller, "_poll", stalled_poll)
    with trio.fail_after(TIMEOUT_S):
        await harness.poller.wait(None)
    assert harness.poller.ready_since_us <= sent_us


async def test_events_beyond_max_events_are_dated_to_before_the_full_poll(
    harness: PollerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poller, "MAX_EVENTS", 2)
    with trio.move_on_after(0.01):
        await harness.poller.wait(None)
    sent_us = harness.send_and_stall()
    with trio.fail_after(TIMEOUT_S):
        while not all(handler.called for handler in harness.handlers):
            await harness.poller.wait(None)
            assert harness.poller.ready_since_us <= sent_us
            harness.poller.dispatch()


async def test_later_events_are_not_dated_to_a_full_poll(
    harness: PollerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poller, "MAX_EVENTS", 2)
    harness.send_and_stall()
    with trio.fail_after(TIMEOUT_S):
        while not all(handler.called for handler in harness.handlers):
            await harness.poller.wait(None)
            harness.poller.dispatch()
        for _ in range(2):
            with trio.move_on_after(0.1):
                await harness.poller.wait(None)
        sent_us = harness.clock.now_us()
        harness.pairs[0][1].send(b"x")
        await harness.poller.wait(None)
    assert harness.poller.ready_since_us > sent_us - TOLERANCE_US


async def test_age_of_events_is_bounded_while_many_sockets_are_always_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests refused as too late, as their age counted from before the crowd had come."""
    monkeypatch.setattr(poller, "MAX_EVENTS", 2)
    clock = ManualClock()
    with contextlib.closing(PollerHarness(5, clock)) as harness:
        for _, remote in harness.pairs:
            remote.send(b"x")
        rounds_a_sweep = 3  # of two events each, over five sockets
        for _ in range(10 * rounds_a_sweep):
            clock.time_us += STEP_US
            with trio.fail_after(TIMEOUT_S):
                await harness.poller.wait(None)
            assert clock.time_us - harness.poller.ready_since_us <= 2 * rounds_a_sweep * STEP_US
            harness.poller.dispatch()
            for handler, (_, remote) in zip(harness.handlers, harness.pairs, strict=True):
                if handler.called:
                    handler.called = False
                    remote.send(b"x")


def test_stall_monitor_dates_events_to_the_start_of_a_stalled_poll() -> None:
    clock = ManualClock()
    monitor = StallMonitor(clock)
    monitor.before_io_wait(0.02)
    entered_us = clock.time_us
    clock.time_us += 100_000
    monitor.after_io_wait(0.02)
    assert monitor.ready_since_us == entered_us


async def test_stall_monitor_limits_the_length_of_polls() -> None:
    """Otherwise events at the end of a long poll would be dated to its start."""
    clock = Clock()
    monitor = StallMonitor(clock)
    monitor.install()
    try:
        local, remote = socket.socketpair()
        with local, remote:
            local.setblocking(False)

            async def send() -> int:
                await trio.sleep(1)
                remote.send(b"x")
                return clock.now_us()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.lowlevel.wait_readable, local)
                sent_us = await send()
            assert monitor.ready_since_us > sent_us - TOLERANCE_US
    finally:
        monitor.uninstall()
