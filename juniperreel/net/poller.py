"""Readiness notification for many sockets in a single task, without a task per connection.

With a task per connection, trio needs several checkpoints and cancel scopes per message; for a process that
has a fraction of a core and hundreds of connections, that is most of its CPU time. Here one task waits for an
epoll descriptor that holds all sockets, and dispatches readiness events as method calls.
"""

from __future__ import annotations

import select
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from juniperreel.net.clock import Clock

HANG_UP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS = 256  # handled by one call of `dispatch`, so that timers and other work are not delayed for long
YIELD_INTERVAL_US = 5_000  # longest time between checkpoints, so that other tasks run
# Longest wait between two polls. Events are dated to the previous complete poll, so this is also the largest
# overestimate of their age when the process is not stalled.
MAX_WAIT_US = 20_000


class EventHandler(Protocol):
    """The owner of a registered socket."""

    def handle_event(self, mask: int, /) -> None:
        """Handle the epoll events in `mask`."""
        ...


HandlerErrorCallback = Callable[[EventHandler, Exception], None]


def _reraise(_handler: EventHandler, error: Exception) -> None:
    raise error


class ReadyEvent(NamedTuple):
    """A socket that the last poll reported as ready, and the handler registered for it at that time."""

    fileno: int
    mask: int
    handler: EventHandler | None


class Poller:
    """An epoll event loop inside one task: call `wait`, then `dispatch`, repeatedly.

    Owns the registrations; the sockets belong to their handlers. `on_handler_error` receives exceptions that
    handlers raise; by default it re-raises them.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the epoll instance. `clock` times the waits."""
        self.clock = clock
        self.on_handler_error: HandlerErrorCallback = _reraise
        self._epoll = select.epoll()
        self._handlers: dict[int, EventHandler] = {}
        self._events: deque[ReadyEvent] = deque()  # found by the last poll and not handled yet
        self._wait_scope: trio.CancelScope | None = None
        self._woken = False
        self._polled_us = clock.now_us()  # start of the last poll
        self._yielded_us = self._polled_us
        # Earliest time at which the sockets that the last poll returned may have become ready.
        self.ready_since_us = self._polled_us
        self.max_detection_delay_us = 0  # upper bound on the time between readiness and its detection
        self.wait_overrun_us = 0  # by how much the last wait overran its timeout

    def close(self) -> None:
        """Close the epoll instance; registered sockets stay open."""
        self._epoll.close()

    def add(self, fileno: int, mask: int, handler: EventHandler) -> None:
        """Register a socket for the events in `mask`."""
        self._epoll.register(fileno, mask)
        self._handlers[fileno] = handler

    def change(self, fileno: int, mask: int) -> None:
        """Change the events of a registered socket."""
        self._epoll.modify(fileno, mask)

    def remove(self, fileno: int) -> None:
        """Unregister a socket; no-op if it is not registered."""
        if self._handlers.pop(fileno, None) is not None:
            self._epoll.unregister(fileno)

    async def wait(self, until_us: int | None) -> None:
        """Return when a socket is ready, at `until_us`, or after `wake`.

        Sockets that the last poll found ready and that are not handled yet are not polled for again.
        """
        self._woken = False
        self.wait_overrun_us = 0
        started_us = self.clock.now_us()
        if not self._events:
            self._poll()
        if not self._events and (until_us is None or until_us > started_us):
            await self._wait_until_ready(until_us)
        elif started_us - self._yielded_us > YIELD_INTERVAL_US:
            await trio.lowlevel.checkpoint()
            self._yielded_us = self.clock.now_us()
        self.max_detection_delay_us = self.clock.now_us() - self.ready_since_us

    async def _wait_until_ready(self, until_us: int | None) -> None:
        """Wait in slices of `MAX_WAIT_US`, polling after each.

        The process may be stalled (stopped or descheduled) at any point of a wait. After a single long wait,
        events from before the stall could not be told from recent ones.
        """
        now_us = self.clock.now_us()
        while not self._events and not self._woken and (until_us is None or now_us < until_us):
            end_us = now_us + MAX_WAIT_US
            if until_us is not None:
                end_us = min(end_us, until_us)
            with trio.CancelScope(deadline=self.clock.trio_time(end_us)) as self._wait_scope:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
            self._wait_scope = None
            now_us = self.clock.now_us()
            self.wait_overrun_us = max(self.wait_overrun_us, now_us - end_us)
            self._poll()
        self._yielded_us = now_us

    def _poll(self) -> None:
        """Find all ready sockets.

        If some were left for the next poll, its events would have to be dated to before this one. Where more
        are ready all the time than a poll returns, that date would never advance.
        """
        started_us = self.clock.now_us()
        found = self._epoll.poll(0, len(self._handlers) + 1)
        self.ready_since_us = self._polled_us
        self._polled_us = started_us
        events = [ReadyEvent(fileno, mask, self._handlers.get(fileno)) for fileno, mask in found]
        self._events.extend(sorted(events, key=_has_not_hung_up))

    def wake(self) -> None:
        """End the current wait, after another task has changed the next deadline."""
        if self._wait_scope is not None:
            self._woken = True
            self._wait_scope.cancel()

    def dispatch(self) -> None:
        """Call the handlers of sockets found ready, hung-up ones first, at most `MAX_EVENTS` at a time.

        Other handlers must not act on behalf of a peer whose disconnect was reported by the same poll.
        """
        for _ in range(min(len(self._events), MAX_EVENTS)):
            fileno, mask, handler = self._events.popleft()
            # An earlier handler may have closed this socket, and a new socket may have reused its descriptor
            # number: an event of the old socket, such as a hang-up, must not reach the new one.
            if handler is None or self._handlers.get(fileno) is not handler:
                continue
            try:
                handler.handle_event(mask)
            except Exception as error:
                # Isolates connections: a failure on one must not end the task that serves all others.
                self.on_handler_error(handler, error)


def _has_not_hung_up(event: ReadyEvent) -> bool:
    return not event.mask & HANG_UP_EVENTS
