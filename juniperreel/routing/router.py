"""The router: turns a batch of events into actions by passing each event to the policy components.

Combines the components and has no rules of its own. The replica for a read is drawn with probability
proportional to 1/srtt among those whose known log position satisfies the read; everything else protects that
draw or handles the cases it does not cover. A router shares no state with others, uses its own random seed
and knows no time other than that of the batch.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace

from juniperreel.routing.composition import build_policy
from juniperreel.routing.endpoint_state import DISTANT_FUTURE_US
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.dispatch import Dispatcher
from juniperreel.routing.policy.position_checks import PositionChecker
from juniperreel.routing.policy.selection import Selection
from juniperreel.routing.settings_check import check_settings
from juniperreel.routing.throttle import TickTimer
from juniperreel.routing.types import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    DeadlineShortened,
    EndpointClockAdjusted,
    EndpointUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    LoadReport,
    Request,
    Settings,
    StreamStarted,
    TimerFired,
)


class Router:
    """The router of one process: `handle` takes a batch of events and returns the resulting actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create the policy components. Raises ValueError for invalid settings."""
        check_settings(settings)
        self.policy = build_policy(settings, seed)
        self.state = self.policy.state
        self.selection = Selection(self.policy)
        self.position_checks = PositionChecker(self.policy, self.selection)
        self.dispatcher = Dispatcher(self.policy, self.position_checks)
        self._tick = TickTimer()
        self.handled_events = 0  # count in the current batch; if `handle` raises, index of the failing event

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Process all events since the last call, and return the resulting actions.

        After an event loop stall, missing and late responses may be caused by the stall itself:
        `RouterState.stalled` tells the components so. Client disconnects are processed first, so that no
        outcome triggers another attempt for them; timers are processed last, so that decisions use everything
        that has arrived.
        """
        state = self.state
        state.now_us = max(state.now_us, now_us)
        state.actions = []
        state.stalled = self._tick.late_us(state.now_us) > parameters.STALL_US
        batch = list(events)
        disconnected = {event.request for event in batch if isinstance(event, ClientDisconnected)}
        for name in sorted(disconnected & state.requests.keys()):
            self._on_disconnected(name)
        for event in batch:
            if not isinstance(event, Request) or event.id not in disconnected:
                self._on_event(event)
            self.handled_events += 1
        self._process_queues(batch)
        self._set_tick()
        return state.actions

    def confirm_send(self, now_us: int, request_id: str, attempt: int) -> bool:
        """Whether an attempt that is about to be written to its connection may still be sent."""
        request = self.state.requests.get(request_id)
        if request is None or request.finished or attempt not in request.in_flight:
            return False
        self.state.now_us = max(self.state.now_us, now_us)
        return self.dispatcher.confirm_send(request, request.in_flight[attempt].endpoint)

    def _on_event(self, event: Event) -> None:
        match event:
            case AttemptEnded():
                self._on_attempt_ended(event)
            case Request():
                self._on_request(event)
            case HealthCheckEnded():
                self._on_health_check_ended(event)
            case EndpointUpdate():
                self.policy.endpoints.on_update(event)
            case StreamStarted():
                self._on_stream_started(event)
            case DeadlineShortened():
                self._on_deadline_shortened(event)
            case EndpointClockAdjusted(shift_us):
                self.state.adjust_endpoint_clock(shift_us)
            case ClientDisconnected() | TimerFired():
                pass  # handled before and after all other events

    def _on_disconnected(self, name: str) -> None:
        """Cancel the client's attempts: clients that disconnect and retry would double the load."""
        request = self.state.requests[name]
        self.state.cancel_attempts(request)
        self.state.finish(request)

    def _on_stream_started(self, event: StreamStarted) -> None:
        """Finish the request: once the first byte was forwarded, no retry or other answer is possible."""
        request = self.state.requests.get(event.request)
        if request is not None:
            self.state.finish(request)

    def _on_deadline_shortened(self, event: DeadlineShortened) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            deadline_us = min(request.request.deadline_us, event.deadline_us)
            request.request = replace(request.request, deadline_us=deadline_us)

    def _on_request(self, event: Request) -> None:
        """Start a new request; a duplicate id is ignored."""
        if event.id in self.state.requests:
            return
        if not 0 <= event.class_index < len(self.state.settings.classes):
            self.state.emit(Fail(event.id))
            return
        request = self.policy.retries.new_request(event)
        self.state.requests[event.id] = request
        self.position_checks.budget.earn()
        self.policy.shedder.on_request(request)
        self.dispatcher.dispatch(request)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.state.requests.get(event.request)
        if request is None or event.attempt not in request.in_flight:
            return
        attempt = self.state.end_attempt(request, event)
        endpoint = attempt.endpoint
        self.policy.primaries.observe_response(endpoint, event.role)
        self.state.observe_positions(request, endpoint, event)
        self.state.observe_load_report(endpoint, event.load_report, parameters.MIN_CAPACITY)
        self.policy.outliers.on_outcome(endpoint, request, event)
        self.policy.slow_start.on_outcome(endpoint, event.outcome)
        self.selection.on_outcome(endpoint, request, event)
        self.policy.shedder.on_outcome(endpoint, request, event)
        self.state.observe_execution(request, attempt, event.outcome)
        self.dispatcher.on_outcome(endpoint, request, event)

    def _on_health_check_ended(self, event: HealthCheckEnded) -> None:
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        report = event.load_report or LoadReport()
        self.policy.outliers.on_health_check(endpoint, event)
        self.state.observe_load_report(endpoint, report, parameters.MIN_CAPACITY)
        self.position_checks.observe_report(endpoint, report)
        self.policy.primaries.observe_report(endpoint, report)

    def _process_queues(self, batch: Sequence[Event]) -> None:
        """Dispatch queued requests when the timer has fired or a health check has ended."""
        fired = any(isinstance(event, TimerFired) and self._tick.is_current(event.key) for event in batch)
        if fired:
            self._tick.clear()
            self.policy.retries.cancel_overdue()
            self.policy.endpoints.poll_if_due()
        if fired or any(isinstance(event, HealthCheckEnded) for event in batch):
            for number in dict.fromkeys(r.request.group for r in self.state.requests.values()):
                self.dispatcher.dispatch_queued(self.state.group(number))

    def _set_tick(self) -> None:
        poll_delay_us = self.policy.endpoints.next_poll_us - self.state.now_us
        delay_us = parameters.TICK_US if self.state.requests else max(poll_delay_us, parameters.TICK_US)
        timer = (
            self._tick.set_within(self.state.now_us, delay_us) if delay_us < DISTANT_FUTURE_US // 2 else None
        )
        if timer is not None:
            self.state.emit(timer)
