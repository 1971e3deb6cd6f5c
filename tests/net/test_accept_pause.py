"""Backoff after failed accept() calls."""

from __future__ import annotations

import errno
from typing import Any

import pytest
import trio
import trio.testing

from juniperreel.net.accept_pause import MAX_DELAY_US, MIN_DELAY_US, AcceptBackoff
from juniperreel.net.network import TcpListener


class FailingSocket:
    """A listening socket whose `accept` fails with ENFILE the given number of times."""

    def __init__(self, failures: int) -> None:
        self.failures = failures

    def getsockname(self) -> tuple[str, int]:
        return ("127.0.0.1", 1)

    async def accept(self) -> tuple[str, str]:
        await trio.lowlevel.checkpoint()
        if self.failures:
            self.failures -= 1
            raise OSError(errno.ENFILE, "file table overflow")
        return "connection", "peer"


def test_delay_doubles_up_to_the_maximum_and_is_reset() -> None:
    backoff = AcceptBackoff()
    delays = []
    for _ in range(9):
        backoff.record_failure()
        delays.append(backoff.delay_us)
    assert delays[:3] == [MIN_DELAY_US, 2 * MIN_DELAY_US, 4 * MIN_DELAY_US]
    assert delays[-2:] == [MAX_DELAY_US, MAX_DELAY_US]
    backoff.reset()
    assert backoff.delay_us == 0


async def test_single_failures_in_a_burst_do_not_add_up_to_longer_delays(
    autojump_clock: trio.testing.MockClock,
) -> None:
    socket: Any = FailingSocket(failures=1)
    listener = TcpListener(socket)
    started = autojump_clock.current_time()
    for _ in range(10):
        await listener.accept_socket()
        socket.failures = 1
    assert autojump_clock.current_time() - started == pytest.approx(10 * MIN_DELAY_US / 1e6)
