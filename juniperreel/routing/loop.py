"""The event loop of one router: queues host events, manages the router's timers and executes its actions.

Does no I/O and makes no routing decisions. A host enqueues events, calls `process_batch` when something is
due, and implements the abstract methods, which execute the router's actions.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Generic, TypeVar

from juniperreel.routing.router import Router
from juniperreel.routing.types import (
    Action,
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

STALL_US = 150_000  # later timers are reported to `on_stall`; the router decides how to react

HostEvent = TypeVar("HostEvent")


class RouterLoop(ABC, Generic[HostEvent]):
    """Owns one router, its timers and its event queue.

    `HostEvent` is the type of events that the host enqueues. Times and durations are in microseconds on the
    host's clock.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the router. Raises ValueError for invalid settings."""
        self.router = Router(settings, seed)
        self.queue: list[HostEvent] = []
        self._timers: list[tuple[int, int]] = []  # heap of (due, key)

    def enqueue(self, event: HostEvent) -> None:
        """Add an event to the next batch.

        The queue needs no bound of its own: every event belongs to an open request, an attempt, a health
        check or the endpoint list, and the number of each is bounded.
        """
        self.queue.append(event)

    def next_timer_us(self) -> int | None:
        """Return when the router's next timer is due, or None if none is set."""
        return self._timers[0][0] if self._timers else None

    def process_batch(self, now: int) -> bool:
        """Pass all queued events and then the due timers to the router, and execute its actions.

        Returns False if there was nothing to process.
        """
        host_events = self.queue
        self.queue = []
        events = self.router_events(host_events, now)
        events.extend(self._pop_due_timers(now))
        if not events:
            return False
        for action in self._handle(events, now):
            self._execute(action, now)
        return True

    def _handle(self, events: list[Event], now: int) -> list[Action]:
        """Return the router's actions for these events, skipping events on which it raises.

        One request on which the policy raises must neither end the program nor affect other requests: actions
        of the events before it are kept, and the events after it are handled.
        """
        actions: list[Action] = []
        while True:
            self.router.handled_events = 0
            try:
                return actions + self.router.handle(now, events)
            except Exception as error:
                actions += self.router.state.actions
                failed = self.router.handled_events
                self.on_policy_error(events[failed : failed + 1], error)
                events = events[failed + 1 :]
                if not events:
                    return actions

    def _pop_due_timers(self, now: int) -> list[TimerFired]:
        fired: list[TimerFired] = []
        while self._timers and self._timers[0][0] <= now:
            due, key = heapq.heappop(self._timers)
            if now - due > STALL_US:
                self.on_stall(now - due)
            fired.append(TimerFired(key))
        return fired

    def _execute(self, action: Action, now: int) -> None:
        match action:
            case Send(request, endpoint, timeout_us):
                self.send(request, endpoint, timeout_us, now)
            case SetTimer(delay_us, key):
                heapq.heappush(self._timers, (now + delay_us, key))
            case Cancel(request, attempt):
                self.cancel(request, attempt)
            case Reject(request, retry_after_us):
                self.reject(request, retry_after_us, now)
            case Fail(request):
                self.fail(request)
            case StartHealthCheck(endpoint):
                self.start_health_check(endpoint)
            case Subscribe(enabled):
                self.subscribe(enabled)
            case FetchEndpointList():
                self.fetch_endpoint_list()
            case Log(message):
                self.log_message(message)

    # Methods implemented by the host.

    @abstractmethod
    def router_events(self, host_events: list[HostEvent], now: int) -> list[Event]:
        """Translate host events into the router's events."""

    @abstractmethod
    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        """Start the request's next attempt; a time-out of 0 means none but the client's."""

    @abstractmethod
    def cancel(self, request: str, attempt: int) -> None:
        """Cancel one attempt of a request."""

    @abstractmethod
    def reject(self, request: str, retry_after_us: int, now: int) -> None:
        """Answer that the request was rejected; a `retry_after_us` of 0 gives no hint."""

    @abstractmethod
    def fail(self, request: str) -> None:
        """Answer that the request failed and that its effect is unknown."""

    @abstractmethod
    def start_health_check(self, endpoint: str) -> None:
        """Request the endpoint's load report."""

    @abstractmethod
    def subscribe(self, enabled: bool) -> None:
        """Reopen the watch of the endpoint list, or close it."""

    @abstractmethod
    def fetch_endpoint_list(self) -> None:
        """Poll the endpoint list once."""

    @abstractmethod
    def log_message(self, message: str) -> None:
        """Write a message of the router to the log."""

    @abstractmethod
    def on_stall(self, late_us: int) -> None:
        """Handle an event loop stall: a timer of the router was processed this late."""

    @abstractmethod
    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        """Handle events on which the router raised; their requests must still be answered."""
