"""One router, fed in batches: an inbox of what happened, the router's timers, and its actions.

Free of I/O. Whoever hosts a router puts happenings in and calls `batch` when something is due; the router's
actions come back as calls of the methods below, which the host fills in. Decides nothing.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Generic, TypeVar

from juniperreel.routing.policy.router import Router
from juniperreel.routing.types import (
    Cancel,
    Event,
    Fail,
    FetchEndpointList,
    Log,
    Reject,
    Send,
    SetTimer,
    Settings,
    StartHealthCheck,
    Subscribe,
    TimerFired,
)

STALL_US = 150_000  # a timer this late is told to `late`; what to make of it is the module's business

Happening = TypeVar("Happening")


class RouterLoop(ABC, Generic[Happening]):
    """Spans and times are microseconds on the host's clock."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.router = Router(settings, seed)
        self.inbox: list[Happening] = []
        self._timers: list[tuple[int, int]] = []  # (due, key)

    def put(self, happening: Happening) -> None:
        """The inbox needs no bound of its own: every happening belongs to an open request, an attempt, a
        probe or the member list, and each of those is bounded."""
        self.inbox.append(happening)

    def timer_due(self) -> int | None:
        return self._timers[0][0] if self._timers else None

    def batch(self, now: int) -> bool:
        """Hands the router all that happened, its timers last, and carries out what it says. False where
        there was nothing."""
        happened, self.inbox = self.inbox, []
        events = self.events(happened, now)
        while self._timers and self._timers[0][0] <= now:
            due, key = heapq.heappop(self._timers)
            if now - due > STALL_US:
                self.late(now - due)
            events.append(TimerFired(key))
        if not events:
            return False
        try:
            actions = self.router.handle(now, events)
        except Exception as error:
            # Danger: one request that trips the module must not take the program and all others with it.
            self.module_failed(events, error)
            return True
        for action in actions:
            match action:
                case Send(request, member, timeout):
                    self.send(request, member, timeout, now)
                case SetTimer(after, key):
                    heapq.heappush(self._timers, (now + after, key))
                case Cancel(request, number):
                    self.cancel(request, number)
                case Reject(request, wait):
                    self.refuse(request, wait, now)
                case Fail(request):
                    self.fail(request)
                case StartHealthCheck(member):
                    self.probe(member)
                case Subscribe(on):
                    self.subscribe(on)
                case FetchEndpointList():
                    self.fetch_list()
                case Log(text):
                    self.remark(text)
        return True

    # What the host fills in.

    @abstractmethod
    def events(self, happened: list[Happening], now: int) -> list[Event]:
        """What happened, in the module's words."""

    @abstractmethod
    def send(self, request: str, member: str, timeout_us: int, now: int) -> None:
        """Start the request's next attempt; a time-out of 0 lasts until the client gives up."""

    @abstractmethod
    def cancel(self, request: str, number: int) -> None: ...

    @abstractmethod
    def refuse(self, request: str, wait_us: int, now: int) -> None: ...

    @abstractmethod
    def fail(self, request: str) -> None: ...

    @abstractmethod
    def probe(self, member: str) -> None: ...

    @abstractmethod
    def subscribe(self, on: bool) -> None: ...

    @abstractmethod
    def fetch_list(self) -> None: ...

    @abstractmethod
    def remark(self, text: str) -> None: ...

    @abstractmethod
    def late(self, by_us: int) -> None:
        """A timer of the router was seen late by this much."""

    @abstractmethod
    def module_failed(self, events: Sequence[Event], error: Exception) -> None:
        """The router raised on these events; whatever they ask for must still be answered."""
