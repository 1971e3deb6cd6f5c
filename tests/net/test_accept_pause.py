"""How long nothing is accepted after a failure."""

from __future__ import annotations

import errno
from typing import Any

import pytest
import trio
import trio.testing

from juniperreel.net.accept_pause import FIRST_PAUSE_US, LAST_PAUSE_US, AcceptPause
from juniperreel.net.network import TcpListener


class FailingSocket:
    """A listening socket whose accept fails so many times for want of descriptors."""

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


def test_pause_doubles_up_to_its_longest_and_begins_anew() -> None:
    pause = AcceptPause()
    lengths = []
    for _ in range(9):
        pause.lengthen()
        lengths.append(pause.us)
    assert lengths[:3] == [FIRST_PAUSE_US, 2 * FIRST_PAUSE_US, 4 * FIRST_PAUSE_US]
    assert lengths[-2:] == [LAST_PAUSE_US, LAST_PAUSE_US]
    pause.reset()
    assert pause.us == 0


async def test_a_crowd_does_not_wait_long_for_each_failed_accept(
    autojump_clock: trio.testing.MockClock,
) -> None:
    socket: Any = FailingSocket(failures=1)
    listener = TcpListener(socket)
    started = autojump_clock.current_time()
    for _ in range(10):
        await listener.accept_socket()
        socket.failures = 1
    assert autojump_clock.current_time() - started == pytest.approx(10 * FIRST_PAUSE_US / 1e6)
