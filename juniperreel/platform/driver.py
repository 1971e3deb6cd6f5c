"""The platform's driver: one router with its clients, its endpoints and its timers, on one task.

Clients' requests and endpoints' replies become events of the router at once; the router's actions become
bytes in the same turn. Nothing here selects an endpoint, retries an attempt or sheds a request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from juniperreel.platform import parameter_status
from juniperreel.platform.client_listener import ClientListener
from juniperreel.platform.command import Command
from juniperreel.platform.config import Config
from juniperreel.platform.descriptor_budget import DescriptorBudget
from juniperreel.platform.endpoint_directory import EndpointDirectory
from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.platform.endpoint_pools import Connect, EndpointPools
from juniperreel.platform.errors import InvalidRequestError
from juniperreel.platform.exchange import Exchange, ExchangeResult
from juniperreel.platform.graceful_shutdown import GracefulShutdown
from juniperreel.platform.log import Log
from juniperreel.platform.open_requests import OpenRequest, OpenRequests
from juniperreel.platform.request_validation import RequestValidator
from juniperreel.platform.timer_queue import TimerQueue
from juniperreel.postgres import server
from juniperreel.postgres.messages import READY
from juniperreel.postgres.request_format import StatementRequest, with_timeout
from juniperreel.routing.loop import RouterLoop
from juniperreel.routing.types import (
    AttemptEnded,
    ClientDisconnected,
    Consistency,
    DeadlineShortened,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    Outcome,
    Request,
    UpdateKind,
)

HOUSEKEEPING_INTERVAL_US = 250_000
# Beyond the deadline, a request without an answer is a fault of the router. Up to half a second late an
# answer is only worth nothing, and the housekeeping that looks for such requests has its interval.
OVERDUE_AFTER_US = 100_000
HEALTH_CHECK_TIMEOUT_US = 250_000
LOAD_REPORT_QUERY = b"SHOW pressure"
LOAD_REPORT_PARAMETER = "pressure"
SESSION_CONSISTENCY = (Consistency.WRITE, Consistency.SESSION)


class EndpointSource(Protocol):
    """What the driver needs of discovery."""

    def subscribe(self, enabled: bool) -> None:
        """Open a watch of the endpoint list, or end it."""
        ...

    def fetch(self) -> None:
        """Poll the endpoint list once."""
        ...


class PlatformDriver(RouterLoop[Event]):
    """Owns the open requests and all connections. `process_pending` does all that is due.

    Satisfies `RequestHandler` for its client listener. A request has one answer: the first is the final one.
    """

    def __init__(
        self,
        config: Config,
        now: Callable[[], int],
        connect: Connect,
        discovery: EndpointSource,
        log: Log,
    ) -> None:
        """`now` reads the clock, `connect` opens connections to endpoints."""
        super().__init__(config.router, config.seed)
        self.config = config
        self.settings = config.router
        self.now = now
        self.log = log
        self.input_ready_since_us = now()
        self._discovery = discovery
        self._validator = RequestValidator(config.router)
        self.timers = TimerQueue()
        self.timers.on_call_error = self._on_timer_error
        self.budget = DescriptorBudget(config.limits.sockets)
        self.endpoint_pools = EndpointPools(
            connect, now, self.timers, self.budget, config.connect_timeout_us, config.idle_timeout_us
        )
        self._endpoints = EndpointDirectory(self.endpoint_pools)
        self.client_listener = ClientListener(self, now, self.budget)
        self.shutdown = GracefulShutdown(max(item.deadline_us for item in config.router.classes))
        self.requests = OpenRequests(now)
        self.timers.call_at(now() + HOUSEKEEPING_INTERVAL_US, self._keep_house)

    # The driver's turn.

    def next_due_us(self) -> int | None:
        """Return when the next timer is due, the driver's or the router's; None where there is none."""
        times = [due for due in (self.next_timer_us(), self.timers.next_due_us()) if due is not None]
        return min(times) if times else None

    def process_pending(self) -> None:
        """Run due timers, then hand the router all events, until none is left."""
        now_us = self.now()
        self.timers.run_due(now_us)
        while self.process_batch(now_us) and self.queue:
            now_us = self.now()

    def _on_timer_error(self, error: Exception) -> None:
        self.log.error("timer raised", exc_info=error)

    def _keep_house(self) -> None:
        now_us = self.now()
        self.timers.call_at(now_us + HOUSEKEEPING_INTERVAL_US, self._keep_house)
        self.client_listener.close_inactive()
        self.endpoint_pools.close_idle(forget_retired=not self.settings.removed_endpoints_serve)
        self._answer_overdue_requests(now_us)

    def _answer_overdue_requests(self, now_us: int) -> None:
        """Answer what the router should have answered: its faults must not keep clients waiting forever."""
        overdue = [
            request_id
            for request_id, request in self.requests.by_id.items()
            if request.command and now_us > request.deadline_us + OVERDUE_AFTER_US
        ]
        for request_id in overdue:
            self.log.error("open request overdue", request=request_id)
            self._answer(request_id, server.failed("58000", "the time is up"))
            self.enqueue(ClientDisconnected(request_id))

    # Clients' requests.

    def submit(self, command: Command, form: StatementRequest) -> None:
        """Open a request; its answer arrives by `command.finish`. Raises InvalidRequestError."""
        validated = self._validator.validate(form)
        if not self._endpoints.has_group(form.group):
            raise InvalidRequestError("3D000", "no such cluster")
        if self.requests.is_id_in_use(form.id):
            raise InvalidRequestError("42710", "the id is another request's")
        consistency = validated.request_class.consistency
        deadline_us = self.shutdown.latest_answer_us(command.arrived_us + form.timeout_ms * 1000)
        session_age_us = None
        if form.last_write_ms and consistency is Consistency.SESSION:
            session_age_us = max(self.now() - form.last_write_ms * 1000, 0)
        self.requests.by_id[form.id] = OpenRequest(form, command, deadline_us)
        command.request_id = form.id
        self.enqueue(
            Request(
                id=form.id,
                class_index=validated.class_index,
                tenant_index=validated.tenant_index,
                group=form.group,
                deadline_us=deadline_us,
                session=form.key if consistency in SESSION_CONSISTENCY else None,
                session_age_us=session_age_us,
                is_retry=form.is_retry,
            )
        )

    def client_disconnected(self, command: Command) -> None:
        """Withdraw the open request of a command whose client is gone."""
        request_id = command.request_id
        command.request_id = None
        if request_id is None:
            return
        request = self.requests.by_id.get(request_id)
        if request is not None and request.command is command:
            request.command = None
            self.enqueue(ClientDisconnected(request_id))
            self.requests.remove_if_done(request_id, request)

    def _answer(self, request_id: str, data: bytes) -> None:
        request = self.requests.by_id.get(request_id)
        if request is None or request.command is None:
            return
        command = request.command
        request.command = None
        self.requests.remove_if_done(request_id, request)
        command.finish(data)

    # The router's actions.

    def router_events(self, host_events: list[Event], _now: int) -> list[Event]:
        """Return the events as they are: what the driver enqueues are the router's own."""
        return host_events

    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        """Start the request's next attempt; a time-out of 0 lasts until the deadline."""
        open_request = self.requests.by_id.get(request)
        if open_request is None:
            return
        attempt = open_request.attempt_count
        open_request.attempt_count += 1
        until_us = open_request.deadline_us
        if timeout_us:
            until_us = min(now + timeout_us, until_us)
        exchange = Exchange(
            build_query=partial(self._build_query, open_request, until_us),
            on_done=partial(self._on_attempt_done, request, attempt, endpoint, now),
            may_send=partial(self._may_send, request, attempt),
            is_awaited=partial(self._is_awaited, open_request),
        )
        open_request.exchanges[attempt] = exchange
        if open_request.command is None:
            exchange.finish(Outcome.NOT_SENT)  # the operators' rule 1: nothing is sent after the final answer
            return
        self._abandon_at(until_us, exchange)
        self.endpoint_pools.run(endpoint, exchange)

    def _build_query(self, request: OpenRequest, until_us: int) -> bytes:
        remaining_us = min(until_us, request.deadline_us) - self.now()
        return with_timeout(request.form.text, max(remaining_us // 1000, 1))

    def _may_send(self, request_id: str, attempt: int) -> bool:
        return self.router.confirm_send(self.now(), request_id, attempt)

    def _is_awaited(self, request: OpenRequest) -> bool:
        """Return whether the client still waits; one that is found to have left is withdrawn at once."""
        if request.command is None:
            return False
        client = request.command.client
        if not client.has_left():
            return True
        self.client_listener.remove(client)
        return False

    def _abandon_at(self, time_us: int, exchange: Exchange) -> None:
        self.timers.call_at(time_us, partial(self.endpoint_pools.abandon, exchange, False))

    def _on_attempt_done(
        self, request_id: str, attempt: int, endpoint: str, started_us: int, result: ExchangeResult
    ) -> None:
        request = self.requests.by_id[request_id]
        request.exchanges.pop(attempt, None)
        reply = result.reply
        answers_request = False
        if result.outcome is Outcome.OK and reply is not None:
            answers_request = True
            self._answer(request_id, reply.rows + READY)
        parameters = reply.parameters if reply is not None else {}
        self.enqueue(
            AttemptEnded(
                request=request_id,
                attempt=attempt,
                endpoint=endpoint,
                outcome=result.outcome,
                duration_us=max(self.now() - started_us, 0),
                request_finished=answers_request or request.command is None,
                role=parameter_status.role(parameters),
                position_us=parameter_status.position_us(parameters),
                load_report=parameter_status.load_report(parameters.get(LOAD_REPORT_PARAMETER)),
            )
        )
        self.requests.remove_if_done(request_id, request)

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel one attempt of a request."""
        open_request = self.requests.by_id.get(request)
        if open_request is None:
            return
        exchange = open_request.exchanges.get(attempt)
        if exchange is not None:
            self.endpoint_pools.abandon(exchange, cancelled=True)

    def reject(self, request: str, retry_after_us: int, _now: int) -> None:
        """Answer the request as rejected; 0 gives no retry-after hint."""
        retry_after_ms = -(-retry_after_us // 1000)
        self._answer(request, server.rejected("not taken; trying again does no harm", retry_after_ms))

    def fail(self, request: str) -> None:
        """Answer the request as failed with unknown effect."""
        self._answer(request, server.failed("08007", "the effect is unknown"))

    def start_health_check(self, endpoint: str) -> None:
        """Ask the endpoint for its load report."""
        started_us = self.now()
        exchange = Exchange(
            build_query=_build_load_report_query,
            on_done=partial(self._on_health_check_done, endpoint, started_us),
        )
        self._abandon_at(started_us + HEALTH_CHECK_TIMEOUT_US, exchange)
        self.endpoint_pools.run(endpoint, exchange)

    def _on_health_check_done(self, endpoint: str, started_us: int, result: ExchangeResult) -> None:
        value = result.reply.value if result.reply is not None else None
        report = parameter_status.load_report(value.decode("utf-8", "replace")) if value else None
        self.enqueue(HealthCheckEnded(endpoint, result.outcome, self.now() - started_us, report))

    def subscribe(self, enabled: bool) -> None:
        """Open a watch of the endpoint list, or end it."""
        self._discovery.subscribe(enabled)

    def fetch_endpoint_list(self) -> None:
        """Poll the endpoint list once."""
        self._discovery.fetch()

    def log_message(self, message: str) -> None:
        """Write a line of the router's to the log."""
        self.log.info(message)

    def on_stall(self, late_us: int) -> None:
        """Log that a timer of the router was processed late."""
        self.log.warning("event loop stalled", late_ms=late_us // 1000)

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        """Answer the requests that the events are about."""
        self.log.error("policy raised on batch", exc_info=error)
        for event in events:
            request_id = event.id if isinstance(event, Request) else getattr(event, "request", None)
            request = self.requests.by_id.get(request_id) if request_id is not None else None
            if request_id is not None and request is not None and request.command is not None:
                self._answer(request_id, server.failed("58000", "the driver failed on this request"))
                self.enqueue(ClientDisconnected(request_id))

    # Discovery.

    def on_endpoint_update(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        """Apply a list, or report the end of a call that brought none (None)."""
        if endpoint_list is None:
            self.enqueue(EndpointUpdate(kind, ()))
            return
        self._endpoints.apply(endpoint_list)
        self.enqueue(EndpointUpdate(kind, endpoint_list.endpoints))

    # Shutdown.

    def begin_shutdown(self) -> None:
        """Begin the graceful shutdown.

        Deadlines are cut to the kill: what was accepted before SIGTERM may wait longer than the operators
        wait with the kill.
        """
        self.shutdown.begin(self.now())
        for due_us in self.shutdown.wake_times_us():
            self.timers.call_at(due_us, _wake)
        for request_id, request in self.requests.by_id.items():
            latest_us = self.shutdown.latest_answer_us(request.deadline_us)
            if latest_us < request.deadline_us:
                request.deadline_us = latest_us
                self.enqueue(DeadlineShortened(request_id, latest_us))
                for exchange in request.exchanges.values():
                    self._abandon_at(latest_us, exchange)

    @property
    def is_idle(self) -> bool:
        """No client is connected and no request is open."""
        return not self.client_listener.clients and not any(
            request.command for request in self.requests.by_id.values()
        )


def _build_load_report_query() -> bytes:
    return LOAD_REPORT_QUERY


def _wake() -> None:
    """Do nothing: the timer's only purpose is that the driver gets its turn at that time."""
