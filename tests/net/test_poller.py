"""The poller on real sockets, when sockets change between poll and dispatch."""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable

import trio

from juniperreel.net import Clock
from juniperreel.net.poller import Poller


class RecordingHandler:
    def __init__(self, on_event: Callable[[], None] = lambda: None) -> None:
        self.on_event = on_event
        self.masks: list[int] = []

    def handle_event(self, mask: int) -> None:
        self.masks.append(mask)
        self.on_event()


async def test_events_of_a_closed_socket_are_not_dispatched_to_a_new_one_with_the_same_descriptor() -> None:
    poller = Poller(Clock())
    pairs = [socket.socketpair() for _ in range(2)]
    new_pair = socket.socketpair()
    new_handler = RecordingHandler()

    def replace() -> None:
        """Unregister the socket not handled yet and reuse its descriptor number for a new one."""
        for handler, (local, _) in zip(handlers, pairs, strict=True):
            if not handler.masks:
                poller.remove(local.fileno())
                os.dup2(new_pair[0].fileno(), local.fileno())
                poller.add(local.fileno(), select.EPOLLIN | select.EPOLLRDHUP, new_handler)

    handlers = [RecordingHandler(replace), RecordingHandler(replace)]
    for handler, (local, remote) in zip(handlers, pairs, strict=True):
        poller.add(local.fileno(), select.EPOLLIN | select.EPOLLRDHUP, handler)
        remote.close()  # one poll reports both as hung up
    with trio.fail_after(30):
        await poller.wait(None)
    poller.dispatch()
    assert sorted(len(handler.masks) for handler in handlers) == [0, 1]
    assert new_handler.masks == []  # no event of its own yet
    new_pair[1].send(b"x")
    with trio.fail_after(30):
        while not new_handler.masks:
            await poller.wait(None)
            poller.dispatch()
    poller.close()
    for pair in (*pairs, new_pair):
        for sock in pair:
            sock.close()
