"""The edge's request driver: a single task that owns a router and runs the shared `RouterLoop`.

Admission control decides which requests are accepted, and when. All later events are enqueued; the task
passes them to the router in one batch, timers last, and carries out the actions that the router returns.
Attempts and health checks run as separate tasks that enqueue an event when they end.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any

import trio

from juniperreel.admission import AdmissionController
from juniperreel.net import Clock, Network, StallMonitor
from juniperreel.proxy.attempt_runner import AttemptRunner
from juniperreel.proxy.attempts import EndpointConnections
from juniperreel.proxy.cached_list import CachedListWriter, load_cached_list
from juniperreel.proxy.configuration_source import ConfigurationSource
from juniperreel.proxy.endpoint_list import EndpointListClient, EndpointSource, ListedEndpoint
from juniperreel.proxy.endpoint_registry import EndpointRegistry
from juniperreel.proxy.gauges import GaugeReporter, GaugeSources
from juniperreel.proxy.grpc_endpoints import GrpcEndpoints
from juniperreel.proxy.mysql_endpoints import MysqlEndpoints
from juniperreel.proxy.open_requests import (
    Attempt,
    AttemptCompleted,
    EndpointListUpdated,
    HealthCheckCompleted,
    HostEvent,
    OpenRequest,
)
from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.positions import PositionTracker, RequiredPosition
from juniperreel.proxy.request_admission import RequestAdmission
from juniperreel.proxy.request_ids import RequestIds
from juniperreel.proxy.request_table import RequestTable
from juniperreel.proxy.requests import (
    Answer,
    ClientRequest,
    Failed,
    Rejected,
    Served,
    StatementFailed,
    release_result,
)
from juniperreel.proxy.router_events import RouterEventTranslator
from juniperreel.routing.loop import RouterLoop
from juniperreel.routing.types import (
    ClientDisconnected,
    Consistency,
    EndpointUpdate,
    Event,
    Outcome,
    Request,
    UpdateKind,
)
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces

# Reasons of answers, sent to clients and used as metric labels.
POLICY_RAISED = "the edge failed on this request"
EFFECT_UNKNOWN = "the effect is unknown"


class RequestDriver(RouterLoop[HostEvent]):
    """Hosts one router; `run` must be running before requests are submitted.

    Owns the open requests. Every submitted request gets exactly one answer, and nothing is sent to an
    endpoint after that answer.
    """

    def __init__(
        self,
        options: DriverOptions,
        network: Network,
        clock: Clock,
        log: Any,
        metrics: Metrics,
        traces: Traces,
        stall_monitor: StallMonitor | None = None,
    ) -> None:
        """Create an idle driver; `stall_monitor` measures event loop stalls for admission.

        Raises ValueError for invalid options.
        """
        rng = random.Random(options.seed)
        super().__init__(options.router, rng.getrandbits(64))
        self.options = options
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.traces = traces
        self.registry = EndpointRegistry()
        self.positions = PositionTracker(options.skew_us)
        self.admission_controller = AdmissionController(
            options.router, options.max_open_requests, options.seed
        )
        self.admission = self._new_admission()
        self.open_requests = RequestTable(self.admission, log)
        self.endpoints = self._endpoint_connections(network, random.Random(rng.getrandbits(64)))
        self.discovery = self._endpoint_source(network, random.Random(rng.getrandbits(64)))
        self._request_ids = RequestIds(options.name, rng, clock.now_us())
        self._stall_monitor = stall_monitor
        self._translator = self._new_translator()
        self._runner = self._new_runner()
        self._list_writer = self._new_list_writer()
        self._wake = trio.Event()
        self._nursery: trio.Nursery | None = None

    def _new_admission(self) -> RequestAdmission:
        return RequestAdmission(
            self.admission_controller,
            self.clock,
            self.metrics,
            self.options.answer_margin_us,
            self._on_admitted,
            self._on_decisions,
        )

    def _new_translator(self) -> RouterEventTranslator:
        return RouterEventTranslator(
            self.open_requests,
            self.positions,
            self.registry,
            self.options.answer_margin_us,
            self.log,
            self.metrics,
        )

    def _new_runner(self) -> AttemptRunner:
        return AttemptRunner(
            self.endpoints,
            self.options.health_check_timeout_us,
            self.options.router.max_attempts,
            self.clock,
            self.log,
            self.traces,
            self._confirm_send,
        )

    def _endpoint_connections(self, network: Network, rng: random.Random) -> EndpointConnections:
        options = self.options
        if options.mysql is None:
            return GrpcEndpoints(options, network, self.clock, rng)
        return MysqlEndpoints(
            options,
            options.mysql,
            network,
            self.clock,
            self.positions,
            rng,
            self.registry.group_of,
            self.metrics,
        )

    def _endpoint_source(self, network: Network, rng: random.Random) -> EndpointSource:
        source = ConfigurationSource if self.options.configuration_addresses else EndpointListClient
        return source(self.options, network, self.clock, rng, self._on_list_update, self.log.warning)

    def _new_list_writer(self) -> CachedListWriter | None:
        options = self.options
        if options.cached_list_path is None or not options.writes_cached_list:
            return None
        return CachedListWriter(options.cached_list_path, self.discovery, self.log)

    # Life cycle.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Load the cached endpoint list, and serve until cancelled. Raises CachedListError."""
        cached = load_cached_list(self.options.cached_list_path, self.options.groups)
        self.discovery.version = cached.version
        async with trio.open_nursery() as self._nursery:
            await self._nursery.start(self.endpoints.run)
            await self._nursery.start(self.discovery.run)
            if self._list_writer is not None:
                self._nursery.start_soon(self._list_writer.run)
            self._nursery.start_soon(self._gauge_reporter().run)
            self.enqueue(EndpointListUpdated(UpdateKind.CACHED, cached.endpoints))
            task_status.started()
            await self._run_loop()

    def _gauge_reporter(self) -> GaugeReporter:
        sources = GaugeSources(
            self.open_requests,
            self.admission.waiting,
            self.admission_controller,
            self.discovery,
            self.registry,
            self.endpoints,
        )
        return GaugeReporter(sources, self.metrics, self.clock, self.options.skew_us, self.log)

    async def drain(self) -> None:
        """Reject new requests; return when every request is answered and no attempt is in flight."""
        self.admission_controller.shutting_down = True
        await self.open_requests.wait_until_idle()

    # Requests from front ends.

    async def execute(self, request: ClientRequest) -> Answer:
        """Submit a request and return its only answer.

        Cancellation withdraws the request, after which nothing more is sent for it.
        """
        submitted = self.submit(request)
        if isinstance(submitted, Rejected):
            return submitted
        return await self.wait_for_answer(submitted)

    def submit(self, request: ClientRequest) -> OpenRequest | Rejected:
        """Submit a request to admission without waiting.

        The returned open request must be passed to `wait_for_answer` or `client_disconnected`.
        """
        request.id = self._request_ids.next_id()
        open_request = OpenRequest(request, self.options.router.classes[request.class_index])
        self.admission.submit(open_request)
        if isinstance(open_request.answer, Rejected):
            return open_request.answer
        return open_request

    async def wait_for_answer(self, open_request: OpenRequest) -> Answer:
        """Return the request's only answer.

        Cancellation withdraws the request, after which nothing more is sent for it.
        """
        try:
            await open_request.answered.wait()
        except trio.Cancelled:
            answer = open_request.answer
            if isinstance(answer, Served):  # answered as the client disconnected
                release_result(answer.result, answer.transaction)
            elif isinstance(answer, StatementFailed):
                release_result(None, answer.transaction)
            self.client_disconnected(open_request)
            raise
        assert open_request.answer is not None
        return open_request.answer

    def client_disconnected(self, open_request: OpenRequest) -> None:
        """Withdraw the request unless it is answered."""
        if open_request.answer is not None:
            return
        if self.admission.withdraw(open_request.id):
            self.open_requests.notify_if_idle()
        else:
            self.enqueue(ClientDisconnected(open_request.id))

    def check_admission(
        self, class_index: int, tenant_index: int, group: int, deadline_us: int
    ) -> Rejected | None:
        """Return the rejection that a request arriving now would get, None if it would not be rejected."""
        return self.admission.check(class_index, tenant_index, group, deadline_us)

    def _on_admitted(self, open_request: OpenRequest) -> None:
        self.open_requests.add(open_request)
        self.enqueue(open_request)

    def _on_decisions(self) -> None:
        self._wake.set()  # the controller's next timer may have changed
        self.open_requests.notify_if_idle()

    # Event loop.

    def enqueue(self, event: HostEvent) -> None:
        """Add an event to the next batch, and wake the loop."""
        super().enqueue(event)
        self._wake.set()

    async def _run_loop(self) -> None:
        while True:
            if self.queue:
                await trio.lowlevel.checkpoint()
            else:
                await self._wait_for_work()
            self._process_due()

    async def _wait_for_work(self) -> None:
        self._wake = trio.Event()
        due_us = self._next_due_us()
        with trio.CancelScope() as scope:
            if due_us is not None:
                scope.deadline = self.clock.trio_time(due_us)
            await self._wake.wait()

    def _next_due_us(self) -> int | None:
        times = (self.next_timer_us(), self.admission_controller.next_timer_us())
        return min((due_us for due_us in times if due_us is not None), default=None)

    def _process_due(self) -> None:
        now = self.clock.now_us()
        if self._stall_monitor is not None:
            self.admission_controller.on_loop_lag(now, self._stall_monitor.take_longest_iteration_us())
        self.admission.process_due(now)
        if self.process_batch(now):
            self.metrics.batches.inc()

    def on_stall(self, _late_us: int) -> None:
        """Count the stall."""
        self.metrics.stalls.inc()

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        """Answer every request that the batch refers to as failed."""
        self.metrics.module_errors.inc()
        self.log.error("policy raised on batch", exc_info=error)
        for event in events:
            request_id = event.id if isinstance(event, Request) else getattr(event, "request", None)
            open_request = self.open_requests.get(request_id)
            if open_request is not None:
                self.open_requests.answer(open_request, Failed(POLICY_RAISED, open_request.attempt_count))

    # Translation of host events to router events.

    def router_events(self, host_events: list[HostEvent], now: int) -> list[Event]:
        """Translate host events in order, recording epochs and answering requests on the way."""
        disconnected = {event.request for event in host_events if isinstance(event, ClientDisconnected)}
        return [self._router_event(event, disconnected, now) for event in host_events]

    def _router_event(self, event: HostEvent, disconnected: set[str], now: int) -> Event:
        match event:
            case OpenRequest():
                return self._translator.request(event, now)
            case AttemptCompleted():
                client_disconnected = event.attempt.open_request.id in disconnected
                return self._translator.attempt_ended(event, client_disconnected)
            case HealthCheckCompleted():
                return self._translator.health_check_ended(event)
            case EndpointListUpdated():
                return self._apply_endpoint_list(event)
            case ClientDisconnected(request_id):
                self.open_requests.withdraw(request_id)
                return event

    def _on_list_update(self, kind: UpdateKind, endpoints: list[ListedEndpoint]) -> None:
        self.enqueue(EndpointListUpdated(kind, endpoints))

    def _apply_endpoint_list(self, update: EndpointListUpdated) -> EndpointUpdate:
        if update.kind is UpdateKind.FAILED:
            self.metrics.host_list_failures.inc()
        self.registry.apply(update, self.endpoints)
        for group, size in self.registry.group_sizes().items():
            self.admission_controller.set_endpoint_count(group, size)
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.DELTA) and self._list_writer is not None:
            self._list_writer.list_changed()
        return self._translator.endpoint_update(update)

    # Actions of the router.

    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        """Start the request's next attempt; with a `timeout_us` of 0 it ends at the client's deadline."""
        assert self._nursery is not None
        open_request = self.open_requests[request]
        attempt = Attempt(open_request, endpoint, self._required_position(open_request, now), now)
        if open_request.answer is not None:
            # Rule 1: nothing is sent after the final answer, whatever the router's state of the request.
            self.enqueue(AttemptCompleted(attempt, Outcome.NOT_SENT, now))
            return
        effective_timeout_us = timeout_us or max(open_request.request.deadline_us - now, 0)
        self._nursery.start_soon(self._run_attempt, attempt, effective_timeout_us)

    def _required_position(self, open_request: OpenRequest, now: int) -> RequiredPosition:
        request_class = open_request.request_class
        if request_class.consistency is Consistency.WRITE:
            return RequiredPosition()
        is_bounded = request_class.consistency is Consistency.BOUNDED
        max_staleness_us = request_class.max_staleness_us if is_bounded else None
        request = open_request.request
        return self.positions.required_position(now, request.group, request.token, max_staleness_us)

    async def _run_attempt(self, attempt: Attempt, timeout_us: int) -> None:
        self.enqueue(await self._runner.run(attempt, timeout_us))

    def _confirm_send(self, request: str, attempt: int) -> bool:
        return self.router.confirm_send(self.clock.now_us(), request, attempt)

    def cancel(self, request: str, attempt: int) -> None:
        """Cancel an attempt if it is in flight."""
        open_request = self.open_requests.get(request)
        running = open_request.in_flight.get(attempt) if open_request is not None else None
        if running is not None:
            running.cancel()

    def reject(self, request: str, retry_after_us: int, now: int) -> None:
        """Answer the request as rejected; with a `retry_after_us` of 0 there is no retry-after hint."""
        open_request = self.open_requests.get(request)
        if open_request is not None:
            self.open_requests.finish(
                open_request, Rejected(open_request.rejection_reason(now), retry_after_us)
            )

    def fail(self, request: str) -> None:
        """Answer the request as failed with unknown effect."""
        open_request = self.open_requests.get(request)
        if open_request is not None:
            self.open_requests.finish(open_request, Failed(EFFECT_UNKNOWN, open_request.attempt_count))

    def start_health_check(self, endpoint: str) -> None:
        """Start a health check of the endpoint."""
        assert self._nursery is not None
        self._nursery.start_soon(self._run_health_check, endpoint)

    async def _run_health_check(self, endpoint: str) -> None:
        self.enqueue(await self._runner.check_health(endpoint))

    def subscribe(self, enabled: bool) -> None:
        """Open a new watch of the endpoint list, or end it."""
        self.discovery.subscribe(enabled)

    def fetch_endpoint_list(self) -> None:
        """Request the complete endpoint list once."""
        self.discovery.poll()

    def log_message(self, message: str) -> None:
        """Log a message of the router."""
        self.log.info(message)
