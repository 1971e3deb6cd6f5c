"""Since when what a poll finds may have been ready: never later than it was, whatever held the process up.

A time that is taken at the end of a wait says nothing of a hold-up within it, so what is found counts from
the last moment at which nothing was there.
"""

from __future__ import annotations

import select
import socket
import time
from collections.abc import AsyncIterator

import pytest
import trio

from juniperreel.net import Clock, poller
from juniperreel.net.poller import Poller
from juniperreel.net.stall_monitor import StallMonitor

HELD_UP_S = 0.3
FRESH_US = 150_000  # what is counted beyond the hold-up, on a machine that has much else to do
SECONDS = 30


class Owner:
    """Notes when it was called, and reads what is there."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.called = False

    def handle_event(self, _mask: int) -> None:
        self.called = True
        self.sock.recv(1)


class Setting:
    """A poller that watches one end of each pair."""

    def __init__(self, count: int) -> None:
        self.clock = Clock()
        self.poller = Poller(self.clock)
        self.pairs = [socket.socketpair() for _ in range(count)]
        self.owners = [Owner(mine) for mine, _ in self.pairs]
        for owner in self.owners:
            self.poller.add(owner.sock.fileno(), select.EPOLLIN, owner)

    def send_and_hold_up(self) -> int:
        """Send to all, and let nothing run for a while; return when that was."""
        for _, other in self.pairs:
            other.send(b"x")
        sent_us = self.clock.now_us()
        time.sleep(HELD_UP_S)
        return sent_us

    def close(self) -> None:
        self.poller.close()
        for pair in self.pairs:
            for sock in pair:
                sock.close()


@pytest.fixture
async def setting() -> AsyncIterator[Setting]:
    it = Setting(5)
    yield it
    it.close()


async def test_what_comes_while_a_wait_is_held_up_is_not_counted_from_its_end(setting: Setting) -> None:
    sent: list[int] = []

    async def hold_up() -> None:
        await trio.sleep(0.1)
        sent.append(setting.send_and_hold_up())

    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hold_up)
            await setting.poller.wait(None)
    assert sent[0] - FRESH_US < setting.poller.ready_since_us <= sent[0]


async def test_what_the_first_look_finds_counts_from_the_look_before(
    setting: Setting, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Held up behind the look, the wait seems to have lasted; nothing was waited for."""
    with trio.move_on_after(0.01):
        await setting.poller.wait(None)
    sent_us = setting.send_and_hold_up()
    look = setting.poller._poll

    def held_up() -> None:
        look()
        time.sleep(HELD_UP_S)

    monkeypatch.setattr(setting.poller, "_poll", held_up)
    with trio.fail_after(SECONDS):
        await setting.poller.wait(None)
    assert setting.poller.ready_since_us <= sent_us


async def test_what_did_not_fit_into_one_poll_counts_from_before_it(
    setting: Setting, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poller, "MAX_EVENTS", 2)
    with trio.move_on_after(0.01):
        await setting.poller.wait(None)
    sent_us = setting.send_and_hold_up()
    with trio.fail_after(SECONDS):
        while not all(owner.called for owner in setting.owners):
            await setting.poller.wait(None)
            assert setting.poller.ready_since_us <= sent_us
            setting.poller.dispatch()


async def test_what_comes_later_does_not_count_from_a_poll_that_was_full(
    setting: Setting, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(poller, "MAX_EVENTS", 2)
    setting.send_and_hold_up()
    with trio.fail_after(SECONDS):
        while not all(owner.called for owner in setting.owners):
            await setting.poller.wait(None)
            setting.poller.dispatch()
        for _ in range(2):
            with trio.move_on_after(0.1):
                await setting.poller.wait(None)
        sent_us = setting.clock.now_us()
        setting.pairs[0][1].send(b"x")
        await setting.poller.wait(None)
    assert setting.poller.ready_since_us > sent_us - FRESH_US


class SteppedClock(Clock):
    """A clock that the test sets."""

    def __init__(self) -> None:
        super().__init__(0)
        self.time_us = 1_000_000

    def now_us(self) -> int:
        return self.time_us


def test_a_monitored_loop_counts_from_the_beginning_of_a_poll_that_was_held_up() -> None:
    clock = SteppedClock()
    monitor = StallMonitor(clock)
    monitor.before_io_wait(0.02)
    entered_us = clock.time_us
    clock.time_us += 100_000
    monitor.after_io_wait(0.02)
    assert monitor.ready_since_us == entered_us


async def test_a_monitored_loop_does_not_wait_for_long_at_a_time() -> None:
    """Otherwise what comes at the end of a long wait would count from its beginning."""
    clock = Clock()
    monitor = StallMonitor(clock)
    monitor.install()
    try:
        mine, other = socket.socketpair()
        with mine, other:
            mine.setblocking(False)

            async def send() -> int:
                await trio.sleep(1)
                other.send(b"x")
                return clock.now_us()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.lowlevel.wait_readable, mine)
                sent_us = await send()
            assert monitor.ready_since_us > sent_us - FRESH_US
    finally:
        monitor.uninstall()
