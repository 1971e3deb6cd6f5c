"""The platform's driver: one router with its clients, its endpoints and its timers, on one task.

Clients' requests and endpoints' replies become events of the router at once; the router's actions become
bytes in the same turn. Nothing here selects an endpoint, retries an attempt or sheds a request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from juniperreel.platform.attempt import Attempt
from juniperreel.platform.client_listener import ClientListener
from juniperreel.platform.command import Command
from juniperreel.platform.config import Config
from juniperreel.platform.counters import AnswerKind, CloseReason, Counters, SendRefusal
from juniperreel.platform.descriptor_budget import DescriptorBudget
from juniperreel.platform.endpoint_clock import EndpointClock
from juniperreel.platform.endpoint_directory import EndpointDirectory
from juniperreel.platform.endpoint_facts import EndpointFacts
from juniperreel.platform.endpoint_list import EndpointList
from juniperreel.platform.endpoint_pools import Connect, EndpointPools
from juniperreel.platform.endpoint_source import EndpointSource
from juniperreel.platform.errors import InvalidRequestError
from juniperreel.platform.exchange import Exchange, ExchangeResult
from juniperreel.platform.graceful_shutdown import GracefulShutdown
from juniperreel.platform.health_check import HealthCheck
from juniperreel.platform.log import Log
from juniperreel.platform.open_requests import OpenRequest, OpenRequests
from juniperreel.platform.request_validation import RequestValidator
from juniperreel.platform.rule_monitor import RequestRecord, RuleMonitor
from juniperreel.platform.timer_queue import TimerQueue
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
    Outcome,
    Request,
    UpdateKind,
)

HOUSEKEEPING_INTERVAL_US = 250_000
# Beyond the deadline, a request without an answer is a fault of the router. Up to half a second late an
# answer is only worth nothing, and the housekeeping that looks for such requests has its interval.
OVERDUE_AFTER_US = 100_000
HEALTH_CHECK_TIMEOUT_US = 250_000
LEFT_AT_DEADLINE_US = 60_000  # a client that leaves with less than this left may have waited in vain
MAX_LATE_REQUESTS_LOGGED = 40  # the others are counted only
END_OF_PROGRAM = "end of the program"
SESSION_CONSISTENCY = (Consistency.WRITE, Consistency.SESSION)


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
        self.input_wait_us = 0
        self._discovery = discovery
        self._validator = RequestValidator(config.router)
        self.monitor = RuleMonitor(config.router, log)
        self.counters = Counters()
        self.timers = TimerQueue()
        self.timers.on_call_error = self._on_timer_error
        self.budget = DescriptorBudget(config.limits.sockets)
        self.endpoint_pools = EndpointPools(
            connect, now, self.timers, self.budget, config.connect_timeout_us, config.idle_timeout_us
        )
        self._endpoints = EndpointDirectory(self.endpoint_pools, config.router.removed_endpoints_serve)
        self.client_listener = ClientListener(self, now, self.budget)
        self.endpoint_clock = EndpointClock()
        self._facts = EndpointFacts(self.endpoint_clock, now, self._on_clock_adjusted)
        self.shutdown = GracefulShutdown(max(item.deadline_us for item in config.router.classes))
        self.requests = OpenRequests(now)
        self._overdue_look_is_due = False
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
        self._process_batches(now_us)
        if self._overdue_look_is_due:
            self._answer_overdue_requests(now_us)
            self._process_batches(self.now())

    def _process_batches(self, now_us: int) -> None:
        while self.process_batch(now_us) and self.queue:
            now_us = self.now()

    def _on_timer_error(self, error: Exception) -> None:
        self.log.error("timer raised", exc_info=error)

    def _keep_house(self) -> None:
        self.timers.call_at(self.now() + HOUSEKEEPING_INTERVAL_US, self._keep_house)
        self.client_listener.close_inactive()
        self.endpoint_pools.close_idle(forget_retired=not self.settings.removed_endpoints_serve)
        self._look_for_overdue_requests()

    def _look_for_overdue_requests(self) -> None:
        self._overdue_look_is_due = True

    def _answer_overdue_requests(self, now_us: int) -> None:
        """Answer what the router should have answered: its faults must not keep clients waiting forever.

        After a hold-up all is late, so this comes when time-outs and the router have had their turn.
        """
        self._overdue_look_is_due = False
        is_end = self.shutdown.started and now_us >= self.shutdown.last_answers_us()
        for request_id, request in list(self.requests.by_id.items()):
            is_overdue = is_end or now_us > request.deadline_us + OVERDUE_AFTER_US
            if request.command is not None and is_overdue:
                self._answer_for_router(request_id, request)

    def _answer_for_router(self, request_id: str, request: OpenRequest) -> None:
        """Answer a request that the router has forgotten, and have it cancelled there."""
        self.log.error("open request overdue", request=request_id)
        if request.record.may_have_executed():
            self._answer(request_id, server.failed("58000", "the time is up"), AnswerKind.FAILED)
        else:
            self._answer(request_id, server.rejected("the time is up", 0), AnswerKind.REJECTED)
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
        if self.shutdown.rejects_requests(self.now()):
            self._reject_at_once(command, form)
            return
        deadline_us = self.shutdown.latest_answer_us(command.arrived_us + form.timeout_ms * 1000)
        session_age_us = None
        if form.last_write_ms and consistency is Consistency.SESSION:
            session_age_us = max(self.now() - self.endpoint_clock.to_driver_us(form.last_write_ms * 1000), 0)
        record = RequestRecord(validated.request_class)
        self.requests.by_id[form.id] = OpenRequest(form, command, deadline_us, record)
        if self.log.tracing:
            left_us = deadline_us - self.now()
            self.log.trace("request taken", request=form.id, class_name=form.class_name, left_us=left_us)
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

    def _reject_at_once(self, command: Command, form: StatementRequest) -> None:
        """Answer a request for which no time is left before the end of the program."""
        command.answer = server.rejected("the driver ends; trying again does no harm", 0)
        self.counters.answers[AnswerKind.REJECTED] += 1
        self.counters.rejected_at_the_end += 1
        if self.log.tracing:
            self.log.trace("request rejected at once", request=form.id, class_name=form.class_name)

    def connection_closed(self, unanswered: list[str], reason: CloseReason) -> None:
        """Count a client's connection that is closed while the requests of these ids have no answer."""
        self.counters.closed_clients[reason] += 1
        if reason is CloseReason.CLIENT_LEFT:
            self._look_for_late_requests(unanswered)
        else:
            self.monitor.on_client_closed(unanswered, reason.value)
        if self.log.tracing:
            self.log.trace("client closed", reason=reason.value, unanswered=unanswered)

    def _look_for_late_requests(self, unanswered: list[str]) -> None:
        """Log requests whose client left about the time of their deadline: perhaps it waited in vain."""
        now_us = self.now()
        for request_id in unanswered:
            request = self.requests.by_id.get(request_id)
            if request is None or request.command is None:
                continue
            left_us = request.deadline_us - now_us
            if left_us > LEFT_AT_DEADLINE_US:
                continue
            self.counters.left_at_deadline += 1
            if self.counters.left_at_deadline <= MAX_LATE_REQUESTS_LOGGED:
                self._log_late_request(request_id, request, request.command, now_us)

    def _log_late_request(self, request_id: str, request: OpenRequest, command: Command, now_us: int) -> None:
        attempts = [
            [attempt.endpoint, attempt.written_us - command.arrived_us]
            for attempt in request.record.attempts.values()
        ]
        self.log.warning(
            "client left at its deadline",
            request=request_id,
            left_us=request.deadline_us - now_us,
            age_us=now_us - command.arrived_us,
            wait_us=command.wait_us,
            command=command.client.command_count,
            connected_us=command.arrived_us - command.client.accepted_us,
            attempts=attempts,
        )

    def answers_dropped(self, unsent_bytes: int, reason: CloseReason) -> None:
        """Count a client's connection that ends here while answers that were given have not left."""
        self.monitor.on_answers_dropped(unsent_bytes, reason.value)

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
        """Stop queries that the kernel has taken in part, once nobody waits for their replies.

        Their rest would leave when the endpoint reads again, and be executed. The router's own cancellation
        concerns attempts that may have been executed, and not all deployments allow it.
        """
        for exchange in list(request.exchanges.values()):
            if self.endpoint_pools.withdraw_unsent(exchange):
                self.counters.withdrawn_unsent += 1

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
        owner = Attempt(self, request, open_request, attempt, endpoint, now, until_us)
        exchange = Exchange(owner)
        open_request.exchanges[attempt] = exchange
        if open_request.command is None:
            exchange.finish(Outcome.NOT_SENT)  # the operators' rule 1: nothing is sent after the final answer
            return
        self._abandon_at(until_us, exchange)
        self.endpoint_pools.run(endpoint, exchange)

    def _abandon_at(self, time_us: int, exchange: Exchange) -> None:
        self.timers.call_at(time_us, partial(self.endpoint_pools.abandon, exchange, False))

    # What attempts ask, and tell.

    def confirm_send(self, request_id: str, number: int) -> bool:
        """Ask the router whether an attempt still fits."""
        return self.router.confirm_send(self.now(), request_id, number)

    def on_client_found_gone(self, request: OpenRequest) -> None:
        """Withdraw the requests of a client that has left, though no event says so yet."""
        if request.command is not None:
            self.client_listener.remove(request.command.client, CloseReason.CLIENT_LEFT)

    def on_send_refused(self, attempt: Attempt, reason: SendRefusal) -> None:
        """Count a query that was not written although a connection was there for it."""
        self.counters.refused_sends[reason] += 1
        self._trace("send refused", attempt, reason=reason.value)

    def on_attempt_written(self, attempt: Attempt) -> None:
        """Have the rule monitor check what was written."""
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
        """Answer the request where the attempt served it, and tell the router."""
        request = attempt.request
        request.exchanges.pop(attempt.number, None)
        self.monitor.on_attempt_ended(request.record, attempt.number, result.outcome)
        self.counters.attempts[result.outcome.value] += 1
        self._trace("attempt ended", attempt, outcome=result.outcome.value)
        reply = result.reply
        parameters = reply.parameters if reply is not None else {}
        facts = self._facts.read_reply(attempt.endpoint, parameters, attempt.started_us)
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
                role=facts.role,
                position_us=facts.position_us,
                load_report=facts.load_report,
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
        """Answer the request as rejected; 0 gives no retry-after hint."""
        retry_after_ms = -(-retry_after_us // 1000)
        answer = server.rejected("not taken; trying again does no harm", retry_after_ms)
        self._answer(request, answer, AnswerKind.REJECTED)

    def fail(self, request: str) -> None:
        """Answer the request as failed with unknown effect."""
        self._answer(request, server.failed("08007", "the effect is unknown"), AnswerKind.FAILED)

    def start_health_check(self, endpoint: str) -> None:
        """Ask the endpoint for its load report."""
        started_us = self.now()
        exchange = Exchange(HealthCheck(endpoint, started_us, self._on_health_check_done))
        self._abandon_at(started_us + HEALTH_CHECK_TIMEOUT_US, exchange)
        self.endpoint_pools.run(endpoint, exchange)

    def _on_health_check_done(self, check: HealthCheck, result: ExchangeResult) -> None:
        value = result.reply.value if result.reply is not None else None
        text = value.decode("utf-8", "replace") if value else None
        report = self._facts.read_report(check.endpoint, text, check.started_us)
        duration_us = self.now() - check.started_us
        self.enqueue(HealthCheckEnded(check.endpoint, result.outcome, duration_us, report))

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
        self.counters.on_stall(late_us // 1000)
        self.log.warning("event loop stalled", late_ms=late_us // 1000)

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        """Answer the requests that the events are about."""
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
        """Apply a list, or report the end of a call that brought none (None)."""
        self.counters.lists[kind.value] += 1
        if endpoint_list is None:
            self.enqueue(EndpointUpdate(kind, ()))
            return
        if self.log.tracing:
            readiness = {endpoint.id: endpoint.readiness.value for endpoint in endpoint_list.endpoints}
            self.log.trace("list", kind=kind.value, version=endpoint_list.version, endpoints=readiness)
        self._endpoints.apply(endpoint_list)
        self.enqueue(
            EndpointUpdate(kind, tuple(map(self._facts.with_start_on_own_clock, endpoint_list.endpoints)))
        )

    # Shutdown.

    def begin_shutdown(self, waited_us: int = 0) -> None:
        """Begin the graceful shutdown, asked for `waited_us` ago.

        Deadlines are cut to the kill: what was accepted before SIGTERM may wait longer than the operators
        wait with the kill.
        """
        self.shutdown.begin(self.now() - waited_us)
        self.timers.call_at(self.shutdown.closing_starts_us(), _wake)
        self.timers.call_at(self.shutdown.last_answers_us(), self._look_for_overdue_requests)
        self.timers.call_at(self.shutdown.exit_us(), _wake)
        for request_id, request in self.requests.by_id.items():
            latest_us = self.shutdown.latest_answer_us(request.deadline_us)
            if latest_us < request.deadline_us:
                request.deadline_us = latest_us
                self.enqueue(DeadlineShortened(request_id, latest_us))
                for exchange in request.exchanges.values():
                    self._abandon_at(latest_us, exchange)

    def check_nothing_is_owed(self) -> None:
        """Have the rule monitor count what the end of the program leaves unanswered, or unsent."""
        for client in self.client_listener.clients:
            self.monitor.on_client_closed(client.unanswered_requests(), END_OF_PROGRAM)
            if client.unsent_answer_bytes:
                self.monitor.on_answers_dropped(client.unsent_answer_bytes, END_OF_PROGRAM)

    @property
    def is_idle(self) -> bool:
        """No client is connected and no request is open."""
        return not self.client_listener.clients and not any(
            request.command for request in self.requests.by_id.values()
        )


def _wake() -> None:
    """Do nothing: the timer only gives the driver its turn."""
