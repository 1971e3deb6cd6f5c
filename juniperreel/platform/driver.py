"""The platform's driver: connects one router to its clients, endpoints and timers, on one task.

Client requests and endpoint replies are passed to the router as events, and the router's actions are carried
out in the same iteration of the event loop. Endpoint selection, retries and load shedding are the router's.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from juniperreel.net.stall_monitor import NEW_WORK_BUDGET_US
from juniperreel.platform.attempt import Attempt
from juniperreel.platform.client_listener import ClientListener
from juniperreel.platform.command import Command
from juniperreel.platform.config import Config
from juniperreel.platform.counters import AnswerKind, CloseReason, Counters, SendRefusal
from juniperreel.platform.descriptor_budget import DescriptorBudget
from juniperreel.platform.endpoint_clock import EndpointClock
from juniperreel.platform.endpoint_directory import EndpointDirectory
from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.platform.endpoint_metadata import EndpointMetadataReader
from juniperreel.platform.endpoint_pools import Connect, EndpointPools
from juniperreel.platform.endpoint_source import EndpointSource
from juniperreel.platform.errors import InvalidRequestError
from juniperreel.platform.exchange import Exchange, ExchangeResult
from juniperreel.platform.graceful_shutdown import GracefulShutdown
from juniperreel.platform.health_check import HealthCheck
from juniperreel.platform.late_requests import LateRequestLog
from juniperreel.platform.log import Log
from juniperreel.platform.memory_budget import MemoryBudget
from juniperreel.platform.open_requests import OpenRequest, OpenRequests
from juniperreel.platform.request_validation import RequestValidator
from juniperreel.platform.rule_monitor import RequestRecord, RuleMonitor
from juniperreel.platform.timer_queue import Timer, TimerQueue
from juniperreel.postgres import server
from juniperreel.postgres.messages import READY
from juniperreel.postgres.request_format import StatementRequest
from juniperreel.routing.loop import RouterLoop
from juniperreel.routing.types import (
    AttemptEnded,
    ClientDisconnected,
    Consistency,
    DeadlineShortened,
    EndpointClockAdjusted,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    Idempotency,
    Outcome,
    Request,
    UpdateKind,
)

HOUSEKEEPING_INTERVAL_US = 250_000
COMMANDS_PER_BATCH = 16  # read before their requests are routed
# A request still unanswered this long after its deadline is a router fault. Answers up to 0.5 s late are
# worthless but not a violation, and the check for such requests runs only at the housekeeping interval.
OVERDUE_AFTER_US = 100_000
HEALTH_CHECK_TIMEOUT_US = 250_000
PROCESS_EXIT_REASON = "process exit"
SESSION_CONSISTENCY = (Consistency.WRITE, Consistency.SESSION)


class PlatformDriver(RouterLoop[Event]):
    """Owns the open requests and all connections; `process_pending` performs all work that is due.

    Implements `RequestHandler` for its client listener. Only the first answer to a request is sent.
    """

    def __init__(
        self,
        config: Config,
        now: Callable[[], int],
        connect: Connect,
        discovery: EndpointSource,
        log: Log,
    ) -> None:
        """`now` returns the current time in microseconds; `connect` opens connections to endpoints."""
        super().__init__(config.router, config.seed)
        self.config = config
        self.settings = config.router
        self.now = now
        self.log = log
        self.input_ready_since_us = now()
        self.input_wait_us = 0
        self._discovery = discovery
        self._validator = RequestValidator(config.router)
        self.monitor = RuleMonitor(config.router, log)
        self.counters = Counters()
        self._late_requests = LateRequestLog(self.counters, log)
        self.timers = TimerQueue()
        self.timers.on_call_error = self._on_timer_error
        self.budget = DescriptorBudget(config.limits.sockets)
        self.memory = MemoryBudget(config.limits.memory_mb, config.limits.sockets)
        self.endpoint_pools = EndpointPools(
            connect,
            now,
            self.timers,
            self.budget,
            self.memory,
            config.connect_timeout_us,
            config.idle_timeout_us,
        )
        self._endpoints = EndpointDirectory(self.endpoint_pools, config.router.removed_endpoints_serve)
        self.client_listener = ClientListener(self, now, self.budget, self.memory)
        self.endpoint_clock = EndpointClock()
        self._metadata_reader = EndpointMetadataReader(self.endpoint_clock, now, self._on_clock_adjusted)
        self.shutdown = GracefulShutdown(max(item.deadline_us for item in config.router.classes))
        self.requests = OpenRequests(now)
        # One object for all, since many of them may wait to be sent.
        hint_us = config.router.max_retry_after_us if config.router.retry_after_hints else 0
        self._busy_answer = _rejection(hint_us)
        self._overdue_check_due = False
        self.timers.call_at(now() + HOUSEKEEPING_INTERVAL_US, self._run_housekeeping)

    # Event processing.

    def next_due_us(self) -> int | None:
        """Return when the next timer of the driver or the router is due, or None."""
        if not self.client_listener.intake.is_empty:
            return self.now()
        times = [due for due in (self.next_timer_us(), self.timers.next_due_us()) if due is not None]
        return min(times) if times else None

    def process_pending(self) -> None:
        """Run due timers, pass events to the router until none is left, then read clients' commands."""
        now_us = self.now()
        self.timers.run_due(now_us)
        self._process_batches(now_us)
        self._read_commands()
        if self._overdue_check_due:
            self._answer_overdue_requests(now_us)
            self._process_batches(self.now())

    def _read_commands(self) -> None:
        """Read commands for a limited time; the rest waits for the next iteration of the loop.

        Each group of commands is routed at once, so that the time limit covers what its requests cost.
        """
        intake = self.client_listener.intake
        if intake.is_empty:
            intake.end_iteration()
            return
        until_us = self.now() + NEW_WORK_BUDGET_US
        while not intake.is_empty:
            for _ in range(COMMANDS_PER_BATCH):
                if not intake.read_next():
                    break
            self._process_batches(self.now())
            if self.now() >= until_us:
                break
        intake.end_iteration()

    def _process_batches(self, now_us: int) -> None:
        while self.process_batch(now_us) and self.queue:
            now_us = self.now()

    def _on_timer_error(self, error: Exception) -> None:
        self.log.error("timer raised", exc_info=error)

    def _run_housekeeping(self) -> None:
        self.timers.call_at(self.now() + HOUSEKEEPING_INTERVAL_US, self._run_housekeeping)
        self.client_listener.close_inactive()
        self.endpoint_pools.close_idle(forget_retired=not self.settings.removed_endpoints_serve)
        self._request_overdue_check()

    def _request_overdue_check(self) -> None:
        self._overdue_check_due = True

    def _answer_overdue_requests(self, now_us: int) -> None:
        """Answer requests that the router failed to answer, so that its faults leave no client waiting.

        Runs after timers and router events have been processed: after a suspension of the process everything
        is late, and the router's own answers are more specific.
        """
        self._overdue_check_due = False
        is_end = self.shutdown.started and now_us >= self.shutdown.last_answers_us()
        for request_id, request in list(self.requests.by_id.items()):
            is_overdue = is_end or now_us > request.deadline_us + OVERDUE_AFTER_US
            if request.command is not None and is_overdue:
                self._answer_overdue_request(request_id, request)

    def _answer_overdue_request(self, request_id: str, request: OpenRequest) -> None:
        """Answer a request that the router lost track of, and cancel it in the router."""
        self.log.error("open request overdue", request=request_id)
        if request.record.may_have_executed():
            self._answer(request_id, server.failed("58000", "the time is up"), AnswerKind.FAILED)
        else:
            self._answer(request_id, server.rejected("the time is up", 0), AnswerKind.REJECTED)
        self.enqueue(ClientDisconnected(request_id))

    # Clients' requests.

    def submit(self, command: Command, statement: StatementRequest) -> None:
        """Open a request, to be answered through `command.finish`. Raises InvalidRequestError."""
        validated = self._validator.validate(statement)
        if not self._endpoints.has_group(statement.group):
            raise InvalidRequestError("3D000", "no such cluster")
        if self.requests.is_id_in_use(statement.id):
            raise InvalidRequestError("42710", "the id is another request's")
        consistency = validated.request_class.consistency
        if self.shutdown.rejects_requests(self.now()):
            self._reject_at_once(command, statement)
            return
        deadline_us = self.shutdown.latest_answer_us(command.arrived_us + statement.timeout_ms * 1000)
        session_age_us = None
        if statement.last_write_ms and consistency is Consistency.SESSION:
            session_age_us = max(
                self.now() - self.endpoint_clock.to_driver_us(statement.last_write_ms * 1000), 0
            )
        record = RequestRecord(validated.request_class)
        self.requests.by_id[statement.id] = OpenRequest(statement, command, deadline_us, record)
        if self.log.tracing:
            left_us = deadline_us - self.now()
            self.log.trace(
                "request taken", request=statement.id, class_name=statement.class_name, left_us=left_us
            )
        command.request_id = statement.id
        self.enqueue(
            Request(
                id=statement.id,
                class_index=validated.class_index,
                tenant_index=validated.tenant_index,
                group=statement.group,
                deadline_us=deadline_us,
                session=statement.key if consistency in SESSION_CONSISTENCY else None,
                session_age_us=session_age_us,
                is_retry=statement.is_retry,
            )
        )

    def _reject_at_once(self, command: Command, statement: StatementRequest) -> None:
        """Reject a request that arrives too late in the shutdown to be served."""
        command.set_answer(server.rejected("the driver ends; trying again does no harm", 0))
        self.counters.answers[AnswerKind.REJECTED] += 1
        self.counters.rejected_at_shutdown += 1
        if self.log.tracing:
            self.log.trace("request rejected at once", request=statement.id, class_name=statement.class_name)

    def refuse_command(self) -> bytes:
        """Return the answer to a command for which no memory or no time is left."""
        self.counters.answers[AnswerKind.REJECTED] += 1
        return self._busy_answer

    def withhold_answer(self, statement: StatementRequest) -> bytes:
        """Return the answer to send instead of one for which no memory is left.

        The request was executed, so only an idempotent one may be answered as rejected.
        """
        self.memory.withheld_answers += 1
        if self._validator.validate(statement).request_class.idempotency is Idempotency.IDEMPOTENT:
            return self._busy_answer
        return server.failed("08007", "the effect is unknown")

    def connection_closed(self, unanswered: list[str], reason: CloseReason) -> None:
        """Record the close of a client connection and the ids of its unanswered requests."""
        self.counters.closed_clients[reason] += 1
        if reason is CloseReason.CLIENT_LEFT:
            self._log_requests_near_deadline(unanswered)
        else:
            self.monitor.on_client_closed(unanswered, reason.value)
        if self.log.tracing:
            self.log.trace("client closed", reason=reason.value, unanswered=unanswered)

    def _log_requests_near_deadline(self, unanswered: list[str]) -> None:
        now_us = self.now()
        for request_id in unanswered:
            request = self.requests.by_id.get(request_id)
            if request is not None:
                self._late_requests.on_client_left(request_id, request, now_us)

    def answers_dropped(self, unsent_bytes: int, reason: CloseReason) -> None:
        """Record a client connection that is closed before all of its answers were sent."""
        self.monitor.on_answers_dropped(unsent_bytes, reason.value)

    def client_disconnected(self, command: Command) -> None:
        """Withdraw the open request of a command whose client has disconnected."""
        request_id = command.request_id
        command.request_id = None
        if request_id is None:
            return
        request = self.requests.by_id.get(request_id)
        if request is not None and request.command is command:
            request.command = None
            self.enqueue(ClientDisconnected(request_id))
            self._withdraw_unsent(request)
            self.requests.remove_if_done(request_id, request)

    def _answer(self, request_id: str, data: bytes, kind: AnswerKind) -> None:
        request = self.requests.by_id.get(request_id)
        if request is None or request.command is None:
            return
        self.counters.answers[kind] += 1
        self.monitor.on_answered(request_id, self.now(), request.deadline_us)
        if self.log.tracing:
            self.log.trace("request answered", request=request_id, kind=kind.value)
        command = request.command
        request.command = None
        self._withdraw_unsent(request)
        self.requests.remove_if_done(request_id, request)
        command.finish(data)

    def _withdraw_unsent(self, request: OpenRequest) -> None:
        """Abort partially sent queries of a request whose reply is no longer needed.

        Otherwise the rest would be sent once the endpoint reads again, and the query would be executed. The
        router's cancellation covers only attempts that may have been executed, and can be disabled.
        """
        for exchange in list(request.exchanges.values()):
            if self.endpoint_pools.withdraw_unsent(exchange):
                self.counters.withdrawn_unsent += 1

    # Router actions.

    def router_events(self, host_events: list[Event], _now: int) -> list[Event]:
        """Return the events unchanged: the driver enqueues router events directly."""
        return host_events

    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        """Start the request's next attempt; a timeout of 0 means until the deadline."""
        open_request = self.requests.by_id.get(request)
        if open_request is None:
            return
        attempt = open_request.attempt_count
        open_request.attempt_count += 1
        until_us = open_request.deadline_us
        if timeout_us:
            until_us = min(now + timeout_us, until_us)
        owner = Attempt(self, request, open_request, attempt, endpoint, now, until_us)
        exchange = Exchange(owner)
        open_request.exchanges[attempt] = exchange
        if open_request.command is None:
            exchange.finish(Outcome.NOT_SENT)  # platform rule 1: no attempt after the final answer
            return
        exchange.timeout = self._abandon_at(until_us, exchange)
        self.endpoint_pools.run(endpoint, exchange)

    def _abandon_at(self, time_us: int, exchange: Exchange) -> Timer:
        return self.timers.call_at(time_us, partial(self.endpoint_pools.abandon, exchange, False))

    # Attempt callbacks (`AttemptHost`).

    def confirm_send(self, request_id: str, number: int) -> bool:
        """Ask the router whether an attempt is still valid."""
        return self.router.confirm_send(self.now(), request_id, number)

    def on_client_disconnect_detected(self, request: OpenRequest) -> None:
        """Withdraw the requests of a client whose disconnect was detected before its event was handled."""
        if request.command is not None:
            self.client_listener.remove(request.command.client, CloseReason.CLIENT_LEFT)

    def on_send_refused(self, attempt: Attempt, reason: SendRefusal) -> None:
        """Count an attempt that was not written although a connection was available."""
        self.counters.refused_sends[reason] += 1
        self._trace("send refused", attempt, reason=reason.value)

    def on_attempt_written(self, attempt: Attempt) -> None:
        """Have the rule monitor check the written attempt."""
        now_us = self.now()
        self.monitor.on_query_written(
            attempt.request_id,
            attempt.number,
            attempt.endpoint,
            attempt.request.record,
            now_us=now_us,
            left_us=attempt.request.deadline_us - now_us,
            stated_us=attempt.stated_us,
            awaited=attempt.request.command is not None,
            withdrawn_since_us=self._endpoints.withdrawn_since_us(attempt.endpoint),
        )
        self._trace("attempt written", attempt, stated_us=attempt.stated_us)

    def on_attempt_done(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Answer the request if the attempt succeeded, and report the attempt to the router."""
        request = attempt.request
        request.exchanges.pop(attempt.number, None)
        self.monitor.on_attempt_ended(request.record, attempt.number, result.outcome)
        self.counters.attempts[result.outcome.value] += 1
        self._trace("attempt ended", attempt, outcome=result.outcome.value)
        reply = result.reply
        parameters = reply.parameters if reply is not None else {}
        metadata = self._metadata_reader.read_reply(attempt.endpoint, parameters, attempt.started_us)
        answers_request = False
        if result.outcome is Outcome.OK and reply is not None:
            answers_request = True
            self._answer(attempt.request_id, reply.rows + READY, AnswerKind.SERVED)
        self.enqueue(
            AttemptEnded(
                request=attempt.request_id,
                attempt=attempt.number,
                endpoint=attempt.endpoint,
                outcome=result.outcome,
                duration_us=max(self.now() - attempt.started_us, 0),
                request_finished=answers_request or request.command is None,
                role=metadata.role,
                position_us=metadata.position_us,
                load_report=metadata.load_report,
            )
        )
        self.requests.remove_if_done(attempt.request_id, request)

    def _on_clock_adjusted(self, change_us: int) -> None:
        offset_us = self.endpoint_clock.offset_us
        self.log.warning("wall clock differs from that of endpoints", offset_us=offset_us)
        self.enqueue(EndpointClockAdjusted(-change_us))

    def _trace(self, event: str, attempt: Attempt, **fields: object) -> None:
        if self.log.tracing:
            self.log.trace(
                event, request=attempt.request_id, attempt=attempt.number, endpoint=attempt.endpoint, **fields
            )

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel one attempt of a request."""
        open_request = self.requests.by_id.get(request)
        if open_request is None:
            return
        exchange = open_request.exchanges.get(attempt)
        if exchange is not None:
            self.endpoint_pools.abandon(exchange, cancelled=True)

    def reject(self, request: str, retry_after_us: int, _now: int) -> None:
        """Answer the request as rejected; a `retry_after_us` of 0 sends no retry-after hint."""
        self._answer(request, _rejection(retry_after_us), AnswerKind.REJECTED)

    def fail(self, request: str) -> None:
        """Answer the request as failed with unknown effect."""
        self._answer(request, server.failed("08007", "the effect is unknown"), AnswerKind.FAILED)

    def start_health_check(self, endpoint: str) -> None:
        """Query the endpoint's load report."""
        started_us = self.now()
        exchange = Exchange(HealthCheck(endpoint, started_us, self._on_health_check_done))
        exchange.timeout = self._abandon_at(started_us + HEALTH_CHECK_TIMEOUT_US, exchange)
        self.endpoint_pools.run(endpoint, exchange)

    def _on_health_check_done(self, check: HealthCheck, result: ExchangeResult) -> None:
        value = result.reply.value if result.reply is not None else None
        text = value.decode("utf-8", "replace") if value else None
        report = self._metadata_reader.read_report(check.endpoint, text, check.started_us)
        duration_us = self.now() - check.started_us
        self.enqueue(HealthCheckEnded(check.endpoint, result.outcome, duration_us, report))

    def subscribe(self, enabled: bool) -> None:
        """Open or close a watch on the endpoint list."""
        self._discovery.subscribe(enabled)

    def fetch_endpoint_list(self) -> None:
        """Poll the endpoint list once."""
        self._discovery.fetch()

    def log_message(self, message: str) -> None:
        """Log a message of the router."""
        self.log.info(message)

    def on_stall(self, late_us: int) -> None:
        """Log and count a router timer that was processed late."""
        self.counters.on_stall(late_us // 1000)
        self.log.warning("event loop stalled", late_ms=late_us // 1000)

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        """Fail the requests that the events refer to."""
        self.log.error("policy raised on batch", exc_info=error)
        for event in events:
            request_id = event.id if isinstance(event, Request) else getattr(event, "request", None)
            request = self.requests.by_id.get(request_id) if request_id is not None else None
            if request_id is not None and request is not None and request.command is not None:
                answer = server.failed("58000", "the driver failed on this request")
                self._answer(request_id, answer, AnswerKind.FAILED)
                self.enqueue(ClientDisconnected(request_id))

    # Discovery.

    def on_endpoint_update(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        """Apply an endpoint list, or report a discovery call that returned none (None)."""
        self.counters.lists[kind.value] += 1
        if endpoint_list is None:
            self.enqueue(EndpointUpdate(kind, ()))
            return
        if self.log.tracing:
            readiness = {endpoint.id: endpoint.readiness.value for endpoint in endpoint_list.endpoints}
            self.log.trace("list", kind=kind.value, version=endpoint_list.version, endpoints=readiness)
        self._endpoints.apply(endpoint_list)
        self.enqueue(
            EndpointUpdate(
                kind, tuple(map(self._metadata_reader.with_local_start_time, endpoint_list.endpoints))
            )
        )

    # Shutdown.

    def begin_shutdown(self, waited_us: int = 0) -> None:
        """Start the graceful shutdown, requested `waited_us` ago.

        Shortens the deadlines of open requests, which may lie beyond the time at which the platform kills the
        process.
        """
        self.shutdown.begin(self.now() - waited_us)
        self.timers.call_at(self.shutdown.closing_starts_us(), _wake)
        self.timers.call_at(self.shutdown.last_answers_us(), self._request_overdue_check)
        self.timers.call_at(self.shutdown.exit_us(), _wake)
        for request_id, request in self.requests.by_id.items():
            latest_us = self.shutdown.latest_answer_us(request.deadline_us)
            if latest_us < request.deadline_us:
                request.deadline_us = latest_us
                self.enqueue(DeadlineShortened(request_id, latest_us))
                for exchange in request.exchanges.values():
                    self._abandon_at(latest_us, exchange)

    def report_unanswered(self) -> None:
        """Report requests left unanswered and answers left unsent at exit to the rule monitor."""
        for client in self.client_listener.clients:
            self.monitor.on_client_closed(client.unanswered_requests(), PROCESS_EXIT_REASON)
            if client.unsent_answer_bytes:
                self.monitor.on_answers_dropped(client.unsent_answer_bytes, PROCESS_EXIT_REASON)

    @property
    def is_idle(self) -> bool:
        """Whether no client is connected and no request is open."""
        return not self.client_listener.clients and not any(
            request.command for request in self.requests.by_id.values()
        )


def _rejection(retry_after_us: int) -> bytes:
    """Return the answer to a request that was not executed; a `retry_after_us` of 0 sends no hint."""
    retry_after_ms = -(-retry_after_us // 1000)
    return server.rejected("not taken; trying again does no harm", retry_after_ms)


def _wake() -> None:
    """Do nothing: the timer only wakes the event loop."""
