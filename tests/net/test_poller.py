"""The poller on real sockets: what was found ready, and what has changed since."""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable

import trio

from juniperreel.net import Clock
from juniperreel.net.poller import Poller


class Owner:
    def __init__(self, then: Callable[[], None] = lambda: None) -> None:
        self.then = then
        self.seen: list[int] = []

    def handle_event(self, mask: int) -> None:
        self.seen.append(mask)
        self.then()


async def test_what_was_found_of_a_closed_socket_is_not_told_of_the_next_one_with_its_number() -> None:
    poller = Poller(Clock())
    pairs = [socket.socketpair() for _ in range(2)]
    fresh = socket.socketpair()
    late = Owner()

    def replace() -> None:
        """Whoever is called first closes the other one; a new socket has its number at once."""
        for owner, (mine, _) in zip(owners, pairs, strict=True):
            if not owner.seen:
                poller.remove(mine.fileno())
                os.dup2(fresh[0].fileno(), mine.fileno())
                poller.add(mine.fileno(), select.EPOLLIN | select.EPOLLRDHUP, late)

    owners = [Owner(replace), Owner(replace)]
    for owner, (mine, other) in zip(owners, pairs, strict=True):
        poller.add(mine.fileno(), select.EPOLLIN | select.EPOLLRDHUP, owner)
        other.close()  # both are found ended in one round
    with trio.fail_after(30):
        await poller.wait(None)
    poller.dispatch()
    assert sorted(len(owner.seen) for owner in owners) == [0, 1]
    assert late.seen == []  # nothing has come for it
    fresh[1].send(b"x")
    with trio.fail_after(30):
        while not late.seen:
            await poller.wait(None)
            poller.dispatch()
    poller.close()
    for pair in (*pairs, fresh):
        for sock in pair:
            sock.close()
