"""Readiness notification for many sockets owned by one task, without a task for each connection.

A trio task that carries a connection costs several checkpoints and cancel scopes for each message; where a
program has part of a core and hundreds of connections, that is most of its work. Here one task waits for an
epoll that holds all sockets, which trio itself can wait for, and readiness becomes method calls.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from juniperreel.net.clock import Clock

HANG_UP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS = 256  # taken from one call of epoll
YIELD_US = 5_000  # other tasks run at least this often
# No wait lasts longer without a look. What is found counts from the last look that found nothing: by so much
# it may be taken for too old where nothing is held up.
MAX_WAIT_US = 20_000


class EventHandler(Protocol):
    """The owner of a registered socket."""

    def handle_event(self, mask: int, /) -> None:
        """React to the epoll events in `mask`."""
        ...


HandlerErrorCallback = Callable[[EventHandler, Exception], None]


def _raise_again(_handler: EventHandler, error: Exception) -> None:
    raise error


class ReadyEvent(NamedTuple):
    """One socket that the last poll found ready, with the handler registered for it at that moment."""

    fileno: int
    mask: int
    handler: EventHandler | None


class Poller:
    """All sockets of one task: call `wait`, then `dispatch`, in a loop.

    Owns the registrations; the sockets themselves belong to their handlers. `on_handler_error` is called with
    what a handler raised, and raises it again where it is not set.
    """

    def __init__(self, clock: Clock) -> None:
        """Open the epoll. `clock` times the waits."""
        self.clock = clock
        self.on_handler_error: HandlerErrorCallback = _raise_again
        self._epoll = select.epoll()
        self._handlers: dict[int, EventHandler] = {}
        self._events: list[ReadyEvent] = []
        self._waiting: trio.CancelScope | None = None
        self._woken = False
        self._all_found_us = clock.now_us()  # before the last poll that found all that was ready
        self._yielded_us = self._all_found_us
        self.ready_since_us = self._all_found_us  # when what was found may have become ready, at the earliest
        self.unseen_us = 0  # how long it may have been ready unseen
        self.overslept_us = 0  # by how much the last wait outlasted the time that it was given

    def close(self) -> None:
        """Close the epoll; registered sockets stay open."""
        self._epoll.close()

    def add(self, fileno: int, mask: int, handler: EventHandler) -> None:
        """Watch a socket for the events in `mask`."""
        self._epoll.register(fileno, mask)
        self._handlers[fileno] = handler

    def change(self, fileno: int, mask: int) -> None:
        """Watch a registered socket for other events."""
        self._epoll.modify(fileno, mask)

    def remove(self, fileno: int) -> None:
        """Stop watching a socket; does nothing for one that is not registered."""
        if self._handlers.pop(fileno, None) is not None:
            self._epoll.unregister(fileno)

    async def wait(self, until_us: int | None) -> None:
        """Return when a socket is ready, at `until_us`, or after `wake`."""
        self._woken = False
        self.overslept_us = 0
        started_us = self.clock.now_us()
        self._poll()
        if not self._events and (until_us is None or until_us > started_us):
            await self._wait_until_ready(until_us)
        elif started_us - self._yielded_us > YIELD_US:
            await trio.lowlevel.checkpoint()
            self._yielded_us = self.clock.now_us()
        self.unseen_us = self.clock.now_us() - self.ready_since_us

    async def _wait_until_ready(self, until_us: int | None) -> None:
        """Wait for a while and look, again and again.

        The process may be held up anywhere in a wait. A single long one would not tell what became ready
        before the hold-up, and has waited since, from what became ready a moment ago.
        """
        now_us = self.clock.now_us()
        while not self._events and not self._woken and (until_us is None or now_us < until_us):
            end_us = now_us + MAX_WAIT_US
            if until_us is not None:
                end_us = min(end_us, until_us)
            with trio.CancelScope(deadline=self.clock.trio_time(end_us)) as self._waiting:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
            self._waiting = None
            now_us = self.clock.now_us()
            self.overslept_us = max(self.overslept_us, now_us - end_us)
            self._poll()
        self._yielded_us = now_us

    def _poll(self) -> None:
        began_us = self.clock.now_us()
        found = self._epoll.poll(0, MAX_EVENTS)
        self.ready_since_us = self._all_found_us
        if len(found) < MAX_EVENTS:
            self._all_found_us = began_us
        self._events = [ReadyEvent(fileno, mask, self._handlers.get(fileno)) for fileno, mask in found]

    def wake(self) -> None:
        """End the wait, after another task has changed what is due."""
        if self._waiting is not None:
            self._woken = True
            self._waiting.cancel()

    def dispatch(self) -> None:
        """Call the handlers of all sockets that the last wait found ready, those that hung up first.

        What is done upon the others must not be done for a peer whose end was found with them.
        """
        events = sorted(self._events, key=_has_not_hung_up)
        self._events = []
        for fileno, mask, handler in events:
            # An earlier call of this loop may have closed this socket, and a new one may have been given its
            # descriptor number: an event of the old socket, such as its end, must not reach the new one.
            if handler is None or self._handlers.get(fileno) is not handler:
                continue
            try:
                handler.handle_event(mask)
            except Exception as error:
                # The task's boundary: what one connection makes go wrong must not end all others.
                self.on_handler_error(handler, error)


def _has_not_hung_up(event: ReadyEvent) -> bool:
    return not event.mask & HANG_UP_EVENTS
