"""The edge's driver: one task owns one router, by the loop that all ways into the program share.

The gate says which requests are taken at all, and when. Whatever happens from then on goes into an inbox;
the task hands all of it to the router as one batch, its timers last, and carries out the actions that come
back. Attempts and probes are tasks of their own that end by putting an event into the inbox. The inbox needs
no bound of its own: every event in it belongs to an open request, an attempt, a probe or the host list, and
each of those is bounded.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from typing import Any

import trio

from juniperreel.admission import Admit, Arrival, Gate, Turn, Verdict
from juniperreel.causal import Token
from juniperreel.net import Clock, ConnectError, Network, Pace
from juniperreel.net.clock import US
from juniperreel.proxy.attempts import AttemptRequest, AttemptResponse, EndpointConnections
from juniperreel.proxy.cached_list import load_cached_list, save_cached_list
from juniperreel.proxy.configuration_source import ConfigurationSource
from juniperreel.proxy.endpoint_list import EndpointListClient, EndpointSource, ListedEndpoint
from juniperreel.proxy.errors import EndpointError
from juniperreel.proxy.grpc_endpoints import GrpcEndpoints
from juniperreel.proxy.mysql_endpoints import MysqlEndpoints
from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.outcomes import is_statement_error, outcome_of_error, outcome_of_unfinished
from juniperreel.proxy.positions import PositionTracker, ReplicationStatus, RequiredPosition
from juniperreel.proxy.requests import (
    Answer,
    ClientRequest,
    Failed,
    MysqlErrorCode,
    Rejected,
    Served,
    StatementFailed,
    release_result,
)
from juniperreel.routing.loop import RouterLoop
from juniperreel.routing.types import (
    AttemptEnded,
    ClientDisconnected,
    Consistency,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LoadReport,
    Outcome,
    Readiness,
    Request,
    Role,
    UpdateKind,
)
from juniperreel.rpc.channel import Broken, NeverSent
from juniperreel.rpc.status import Code, RpcError
from juniperreel.telemetry.metrics import Metrics
from juniperreel.telemetry.traces import Traces

CALL_ERRORS = (ConnectError, NeverSent, Broken, RpcError, EndpointError)
SAVE_EVERY_S = 1.0


class OpenRequest:
    """A request in hand, from its taking to its answer and the end of its last attempt."""

    __slots__ = ("answer", "attempts", "done", "last", "out", "request", "taken_us", "took_us")

    def __init__(self, request: ClientRequest) -> None:
        self.request = request
        self.done = trio.Event()
        self.answer: Answer | None = None
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.taken_us = 0  # when the module had it
        self.took_us: int | None = None  # the attempt that served it
        self.last: Outcome | None = None  # of its last attempt that ended without serving it


class Attempt:
    """One attempt on its way."""

    __slots__ = (
        "cancel_scope",
        "cancelled",
        "endpoint",
        "number",
        "request",
        "required",
        "sent",
        "started_us",
    )

    def __init__(
        self, request: OpenRequest, number: int, endpoint: str, required: RequiredPosition, now_us: int
    ) -> None:
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.required = required
        self.started_us = now_us
        self.sent = trio.Event()
        self.cancel_scope = trio.CancelScope()
        self.cancelled = False


@dataclass(slots=True)
class AttemptCompleted:
    attempt: Attempt
    outcome: Outcome
    ended_us: int
    reply: AttemptResponse | None = None
    error: Exception | None = None


@dataclass(slots=True)
class HealthCheckCompleted:
    member: str
    outcome: Outcome
    took_us: int
    standing: ReplicationStatus | None = None
    in_hand: float = 0.0
    waiting: float = 0.0


@dataclass(slots=True)
class EndpointListUpdated:
    kind: UpdateKind
    endpoints: list[ListedEndpoint]


HostEvent = OpenRequest | AttemptCompleted | HealthCheckCompleted | EndpointListUpdated | ClientDisconnected


CONGESTED = (Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CANCELLED)  # ends that tell of members at their limit


def why_given_up(item: OpenRequest, now: int) -> str:
    """In words for operators. The module gives no reason; what the driver saw of the request tells."""
    if item.last is not None:
        return f"attempts failed, the last by {item.last.value}"
    if item.attempts:
        return "no answer came in time"
    if now == item.taken_us:
        return "shed: answers take too long, or no time is left"
    return "no member could take it in time: none is up, fresh enough or warm"


class RequestDriver(RouterLoop[HostEvent]):
    """One driver. `run` must be running; then `execute` takes requests."""

    def __init__(
        self,
        options: DriverOptions,
        network: Network,
        clock: Clock,
        log: Any,
        metrics: Metrics,
        traces: Traces,
        pace: Pace | None = None,
    ) -> None:
        rng = random.Random(options.seed)
        super().__init__(options.router, rng.getrandbits(64))
        self.options, self.clock, self.log, self.metrics, self.traces = options, clock, log, metrics, traces
        self.gate = Gate(options.router, options.max_open_requests, options.seed)
        self._pace = pace
        self.waiting_requests: dict[str, OpenRequest] = {}  # at the gate
        self.positions = PositionTracker(options.skew_us)
        links_rng = random.Random(rng.getrandbits(64))
        self.endpoints: EndpointConnections = (
            GrpcEndpoints(options, network, clock, links_rng)
            if options.mysql is None
            else MysqlEndpoints(
                options, options.mysql, network, clock, self.positions, links_rng, self._group_of, metrics
            )
        )
        source = ConfigurationSource if options.configuration_addresses else EndpointListClient
        self.discovery: EndpointSource = source(
            options, network, clock, random.Random(rng.getrandbits(64)), self._list_told, log.warning
        )
        self._ids = count()
        # Danger: an edge with a fixed seed that comes back would use the ids of its life before again, and
        # whoever tells requests apart by them takes two for one.
        born = (rng.getrandbits(32) ^ clock.now_us()) & 0xFFFFFFFF
        self._prefix = f"{options.name}-{born:08x}-"
        self._wake = trio.Event()
        self.open_requests: dict[str, OpenRequest] = {}
        self._groups: dict[str, int] = {}  # of members
        self._gone: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._idle = trio.Event()
        self._list_changed = trio.Event()

    # Its life.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled. Raises ValueError for a saved list that cannot be read."""
        saved, self.discovery.version = load_cached_list(self.options.cached_list_path, self.options.groups)
        async with trio.open_nursery() as self._nursery:
            await self._nursery.start(self.endpoints.run)
            await self._nursery.start(self.discovery.run)
            if self.options.cached_list_path is not None and self.options.writes_cached_list:
                self._nursery.start_soon(self._save_lists)
            self._nursery.start_soon(self._gauges)
            self.enqueue(EndpointListUpdated(UpdateKind.CACHED, saved))
            task_status.started()
            await self._loop()

    async def drain(self) -> None:
        """Take no more; return when every request in hand has its answer and no attempt is out."""
        self.gate.stopping = True
        while self.open_requests or self.waiting_requests:
            self._idle = trio.Event()
            await self._idle.wait()

    async def execute(self, work: ClientRequest) -> Answer:
        """The request's one final answer. Cancelled, the request is withdrawn and nothing more goes out."""
        entered = self.submit(work)
        return entered if isinstance(entered, Rejected) else await self.wait_for_answer(entered)

    def submit(self, work: ClientRequest) -> OpenRequest | Rejected:
        """The gate's verdict, without waiting: a rejection, or the open request, for `wait_for_answer` or
        `client_disconnected`."""
        now = self.clock.now_us()
        work.id = f"{self._prefix}{next(self._ids):x}"
        item = OpenRequest(work)
        self.waiting_requests[work.id] = item
        arrival = Arrival(
            work.id,
            work.class_index,
            work.tenant_index,
            work.group,
            work.received_us or now,
            work.deadline_us - self.options.answer_margin_us,
            work.is_retry,
        )
        self._heed(self.gate.arrive(now, arrival))
        return item.answer if isinstance(item.answer, Rejected) else item

    async def wait_for_answer(self, item: OpenRequest) -> Answer:
        try:
            await item.done.wait()
        except trio.Cancelled:
            if isinstance(item.answer, Served | StatementFailed):  # it came in the moment its client left
                release_result(getattr(item.answer, "result", None), item.answer.transaction)
            self.client_disconnected(item)
            raise
        assert item.answer is not None
        return item.answer

    def client_disconnected(self, item: OpenRequest) -> None:
        """Nobody waits for the answer any more: the request is withdrawn."""
        if item.answer is not None:
            return
        if self.waiting_requests.pop(item.request.id, None) is not None:
            self._heed(self.gate.gone(self.clock.now_us(), item.request.id))
            self._settle()
        else:
            self.enqueue(ClientDisconnected(item.request.id))

    def check_admission(self, cls: int, tenant: int, group: int, deadline_us: int) -> Rejected | None:
        """Whether a request would be turned away on its arrival: asked before anything is spent on it."""
        now = self.clock.now_us()
        turn = self.gate.glance(now, cls, tenant, group, deadline_us - self.options.answer_margin_us - now)
        if turn is None:
            return None
        self.metrics.reject(turn.reason).inc()
        return Rejected(turn.reason, turn.wait_us, local=True)

    def _heed(self, verdicts: list[Verdict]) -> None:
        """Carries out what the gate says."""
        for verdict in verdicts:
            item = self.waiting_requests.pop(verdict.request, None)
            match verdict:
                case Admit(name):
                    if item is not None:
                        self.open_requests[name] = item
                        self.enqueue(item)
                    else:
                        self._heed(self.gate.ended(self.clock.now_us(), name, None))
                case Turn(_, reason, wait):
                    self.metrics.reject(reason).inc()
                    if item is not None:
                        item.answer = Rejected(reason, wait, local=True)
                        item.done.set()
        if verdicts:
            self._wake.set()  # the gate's next time may have changed
            self._settle()

    def enqueue(self, event: HostEvent) -> None:
        super().enqueue(event)
        self._wake.set()

    # The loop.

    async def _loop(self) -> None:
        while True:
            if not self.queue:
                self._wake = trio.Event()
                due = self._due_us()
                with trio.CancelScope() as scope:
                    if due is not None:
                        scope.deadline = self.clock.trio_time(due)
                    await self._wake.wait()
            else:
                await trio.lowlevel.checkpoint()
            self._turn()

    def _due_us(self) -> int | None:
        times = (self.next_timer_us(), self.gate.due_us())
        return min((due for due in times if due is not None), default=None)

    def _turn(self) -> None:
        now = self.clock.now_us()
        if self._pace is not None:
            self.gate.lag(now, self._pace.late_us())
        self._heed(self.gate.tick(now))
        if self.process_batch(now):
            self.metrics.batches.inc()

    def on_stall(self, late_us: int) -> None:
        self.metrics.stalls.inc()

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        self.metrics.module_errors.inc()
        self.log.error("the module failed on a batch", exc_info=error)
        for event in events:
            name = event.id if isinstance(event, Request) else getattr(event, "request", None)
            item = self.open_requests.get(name) if name is not None else None
            if item is not None:
                self._answer(item, Failed("the edge failed on this request", item.attempts))

    # What happened, in the module's words.

    def router_events(self, host_events: list[HostEvent], now: int) -> list[Event]:
        gone = {h.request for h in host_events if isinstance(h, ClientDisconnected)}
        events: list[Event] = []
        for item in host_events:
            if isinstance(item, OpenRequest):
                events.append(self._request(item, now))
            elif isinstance(item, AttemptCompleted):
                events.append(self._attempt_done(item, gone))
            elif isinstance(item, HealthCheckCompleted):
                events.append(self._probe_done(item))
            elif isinstance(item, EndpointListUpdated):
                events.append(self._list(item))
            else:
                self._withdraw(item.request)
                events.append(item)
        return events

    def _request(self, item: OpenRequest, now: int) -> Request:
        work = item.request
        item.taken_us = now
        work.token = self.positions.with_carried_commits(work.group, work.token)
        age = self.positions.session_age(now, work.group, work.token)
        return Request(
            id=work.id,
            class_index=work.class_index,
            tenant_index=work.tenant_index,
            group=work.group,
            deadline_us=work.deadline_us - self.options.answer_margin_us,
            session=work.session,
            session_age_us=age,
            is_retry=work.is_retry,
        )

    def _attempt_done(self, done: AttemptCompleted, gone: set[str]) -> AttemptEnded:
        attempt, item = done.attempt, done.attempt.request
        group = item.request.group
        item.out.pop(attempt.number, None)
        took = done.ended_us - attempt.started_us
        outcome, role, position = done.outcome, Role.UNKNOWN, None
        if done.reply is not None:
            standing = done.reply.status
            self.positions.record_status(group, standing)
            role = self._role(group, standing)
            position = self.positions.applied_position(group, standing)
            if outcome is Outcome.OK:
                outcome, position = self._check(attempt, done.reply, position)
        elif outcome is Outcome.INELIGIBLE and self._writes(item):
            role = Role.REPLICA  # it turned a write away as not being primary
        self.log.debug(
            "attempt ended",
            request=item.request.id,
            number=attempt.number,
            member=attempt.endpoint,
            outcome=outcome.value,
            took_us=took,
        )
        self.metrics.attempt(outcome.value).inc()
        self.metrics.attempt_took(outcome.value).observe(took / US)
        finished = False
        if outcome is not Outcome.OK:
            item.last = outcome
            if done.reply is not None:
                done.reply.discard()
        else:
            finished = True
            item.took_us = took
            if item.answer is not None or item.request.id in gone:
                self.metrics.late.inc()
                if done.reply is not None:
                    done.reply.discard()
            else:
                self._answer(item, self._served(attempt, done))
        event = AttemptEnded(
            request=item.request.id,
            attempt=attempt.number,
            endpoint=attempt.endpoint,
            outcome=outcome,
            duration_us=max(took, 0),
            request_finished=finished,
            role=role,
            position_us=position,
            load_report=None,
        )
        self._forget(item)
        return event

    def _check(self, attempt: Attempt, reply: AttemptResponse, position: int) -> tuple[Outcome, int | None]:
        """An OK answer against what was asked: facts that the module cannot see in numbers alone."""
        item, standing = attempt.request, reply.status
        group = item.request.group
        if self._writes(item) and item.request.transaction_mode is not None:
            # What a transaction commits is checked at its end. Danger: one that was begun at a primary which
            # is deposed meanwhile would read what nobody else has, and its statement has run.
            return (Outcome.RESET if self.positions.is_deposed(group, standing) else Outcome.OK), position
        if self._writes(item):
            if not self.positions.holds_commit(group, standing.history.epoch, reply.commit_position):
                # Danger: a deposed primary confirms a write that the group will never hold.
                self.metrics.cut_off.inc()
                return Outcome.RESET, position
            return Outcome.OK, reply.commit_position - self.options.skew_us
        if not attempt.required.is_met_by(standing):
            # Danger: a member that was truncated or restored since its position was learned.
            self.metrics.stale.inc()
            return Outcome.INELIGIBLE, position
        return Outcome.OK, position

    def _served(self, attempt: Attempt, done: AttemptCompleted) -> Answer:
        item = attempt.request
        reply = done.reply
        error = reply.error if reply is not None and reply.error is not None else done.error
        if isinstance(error, RpcError):  # an OK with an error is a statement at fault
            return StatementFailed(int(error.code), error.message, error.details)
        if isinstance(error, EndpointError):
            held = reply.transaction if reply is not None else None
            return StatementFailed(
                int(Code.INVALID_ARGUMENT),
                error.message,
                (),
                MysqlErrorCode(error.code, error.sql_state),
                held,
            )
        assert reply is not None
        standing, token = reply.status, item.request.token
        seen = standing.position
        if self._writes(item):
            # A transaction that has only begun has seen nothing that others could ask for.
            seen = reply.commit_position if item.request.transaction_mode is None else 0
        if standing.history.starts and seen:
            token = token.join(Token.at(item.request.group, standing.history.epoch, seen))
        primary = standing.is_primary is True
        return Served(reply.result, token, attempt.endpoint, primary, item.attempts, reply.transaction)

    def _probe_done(self, done: HealthCheckCompleted) -> HealthCheckEnded:
        self.metrics.probes.labels(done.outcome.value).inc()
        report = None
        if done.standing is not None:
            group = self._groups.get(done.member, 0)
            self.positions.record_status(group, done.standing)
            report = LoadReport(
                position_us=self.positions.applied_position(group, done.standing),
                is_primary=self.positions.is_primary(group, done.standing),
                in_flight=done.in_hand,
                queued=done.waiting,
            )
        return HealthCheckEnded(done.member, done.outcome, done.took_us, report)

    def _group_of(self, member: str) -> int:
        return self._groups.get(member, 0)

    def _role(self, group: int, standing: ReplicationStatus) -> Role:
        primary = self.positions.is_primary(group, standing)
        if primary is None:
            return Role.UNKNOWN
        return Role.PRIMARY if primary else Role.REPLICA

    def _writes(self, item: OpenRequest) -> bool:
        return self.options.router.classes[item.request.class_index].consistency is Consistency.WRITE

    # The host list.

    def _list_told(self, kind: UpdateKind, endpoints: list[ListedEndpoint]) -> None:
        self.enqueue(EndpointListUpdated(kind, endpoints))

    def _list(self, told: EndpointListUpdated) -> EndpointUpdate:
        if told.kind is UpdateKind.FAILED:
            self.metrics.list_failures.inc()
        named = set()
        for host in told.endpoints:
            named.add(host.id)
            self._groups[host.id] = host.group
            if host.readiness == Readiness.REMOVED.value:
                self._gone.add(host.id)
                self.endpoints.remove(host.id)
            else:
                self._gone.discard(host.id)
                self.endpoints.set_address(host.id, host.address, host.port)
        if told.kind is UpdateKind.SNAPSHOT:
            for member in self._groups.keys() - named - self._gone:
                self._gone.add(member)
                self.endpoints.remove(member)
        counts = Counter(group for member, group in self._groups.items() if member not in self._gone)
        for group, members in counts.items():
            self.gate.members(group, members)
        if told.kind in (UpdateKind.SNAPSHOT, UpdateKind.DELTA):
            self._list_changed.set()
        return EndpointUpdate(
            told.kind, tuple(h.router_endpoint(self.options.skew_us) for h in told.endpoints)
        )

    async def _save_lists(self) -> None:
        assert self.options.cached_list_path is not None
        while True:
            await self._list_changed.wait()
            self._list_changed = trio.Event()
            hosts, version = list(self.discovery.endpoints.values()), self.discovery.version
            try:
                await trio.to_thread.run_sync(save_cached_list, self.options.cached_list_path, hosts, version)
            except OSError as error:  # a full disk costs the saved list, not the service
                self.log.error("the host list could not be saved", error=str(error))
            await trio.sleep(SAVE_EVERY_S)

    async def _gauges(self) -> None:
        while True:
            await trio.sleep(1)
            now = self.clock.now_us()
            if self.discovery.updated_us:
                self.metrics.list_age.set((now - self.discovery.updated_us) / US)
            self.metrics.config_version.set(self.discovery.version)
            drift = self.clock.drift_us()
            self.metrics.clock_drift.set(drift / US)
            if abs(drift) > self.options.skew_us:
                self.log.warning("wall time has left the clock by more than the skew bound", drift_us=drift)
            self.metrics.connections.set(self.endpoints.connected)
            if isinstance(self.endpoints, MysqlEndpoints):
                self.endpoints.gauges()
            self.metrics.open.set(len(self.open_requests))
            self.metrics.parked.set(len(self.waiting_requests))
            self.metrics.program_limit.set(self.gate.program.value)
            for group, current, lane in self.gate.lanes():
                names = (str(group), "primary" if current else "replicas")
                self.metrics.lane_limit.labels(*names).set(lane.limit.value)
                self.metrics.lane_in_hand.labels(*names).set(lane.in_hand)
                self.metrics.lane_waiting.labels(*names).set(lane.waiting)
            self.metrics.members.labels("known").set(len(self._groups) - len(self._gone))
            self.metrics.members.labels("gone").set(len(self._gone))

    # What the module says.

    def cancel(self, request: str, attempt: int) -> None:
        item = self.open_requests.get(request)
        running = item.out.get(attempt) if item is not None else None
        if running is not None:
            running.cancelled = True
            running.cancel_scope.cancel()

    def reject(self, request: str, retry_after_us: int, now: int) -> None:
        item = self.open_requests.get(request)
        if item is not None:
            self._final(request, Rejected(why_given_up(item, now), retry_after_us))

    def fail(self, request: str) -> None:
        item = self.open_requests.get(request)
        attempts = item.attempts if item is not None else 0
        self._final(request, Failed("the effect is unknown", attempts))

    def start_health_check(self, endpoint: str) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._probe, endpoint)

    def subscribe(self, enabled: bool) -> None:
        self.discovery.subscribe(enabled)

    def fetch_endpoint_list(self) -> None:
        self.discovery.poll()

    def log_message(self, message: str) -> None:
        self.log.info(message)

    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        assert self._nursery is not None
        item = self.open_requests[request]
        cls = self.options.router.classes[item.request.class_index]
        needs = RequiredPosition()
        if cls.consistency is not Consistency.WRITE:
            lag = cls.max_staleness_us if cls.consistency is Consistency.BOUNDED else None
            needs = self.positions.required_position(now, item.request.group, item.request.token, lag)
        attempt = Attempt(item, item.attempts, endpoint, needs, now)
        item.attempts += 1
        item.out[attempt.number] = attempt
        if item.answer is not None:
            # Rule 1: nothing goes out after the final answer, whatever the module thinks of the request.
            self.enqueue(AttemptCompleted(attempt, Outcome.NOT_SENT, now))
            return
        limit = timeout_us or max(item.request.deadline_us - now, 0)
        self._nursery.start_soon(self._attempt, attempt, limit)

    def _final(self, request: str, answer: Answer) -> None:
        item = self.open_requests.get(request)
        if item is not None:
            self._answer(item, answer)
            self._forget(item)

    def _withdraw(self, request: str) -> None:
        """The client has left: no answer reaches it, and the request counts as ended."""
        item = self.open_requests.get(request)
        if item is not None and item.answer is None:
            self._answer(item, Failed("the client left", item.attempts))
            self._forget(item)

    def _answer(self, item: OpenRequest, answer: Answer) -> None:
        """The first answer is the final one; there is no second."""
        if item.answer is None:
            item.answer = answer
            item.done.set()
            lost = isinstance(answer, (Rejected, Failed)) and item.last in CONGESTED
            took = item.took_us if isinstance(answer, Served) else None
            self._heed(self.gate.ended(self.clock.now_us(), item.request.id, took, lost))
            self.log.debug(
                "answered", request=item.request.id, answer=type(answer).__name__, attempts=item.attempts
            )

    def _forget(self, item: OpenRequest) -> None:
        if item.answer is not None and not item.out:
            self.open_requests.pop(item.request.id, None)
            self._settle()

    def _settle(self) -> None:
        if not self.open_requests and not self.waiting_requests:
            self._idle.set()

    # Attempts and probes.

    async def _attempt(self, attempt: Attempt, limit_us: int) -> None:
        item = attempt.request
        cls = self.options.router.classes[item.request.class_index]
        work = item.request
        done = None
        with self.traces.span("attempt", request=work.id, member=attempt.endpoint, number=attempt.number):
            attempt.cancel_scope.deadline = self.clock.trio_time(attempt.started_us + limit_us)
            with attempt.cancel_scope:
                write = cls.consistency is Consistency.WRITE
                job = AttemptRequest(
                    work, attempt.number, cls.name, write, cls.priority_weight, attempt.required
                )
                left = attempt.started_us + limit_us - self.clock.now_us()
                try:
                    reply = await self.endpoints.execute(attempt.endpoint, job, left, attempt.sent)
                    done = AttemptCompleted(attempt, Outcome.OK, self.clock.now_us(), reply)
                except CALL_ERRORS as error:
                    fault = is_statement_error(error)  # an answer all the same: the member is well
                    outcome = Outcome.OK if fault else outcome_of_error(error)
                    done = AttemptCompleted(attempt, outcome, self.clock.now_us(), error=error)
                except Exception as error:
                    # Danger: a flaw met on one attempt must not end the edge; what it did is not known.
                    self.log.error(
                        "an attempt failed inside", request=work.id, member=attempt.endpoint, exc_info=error
                    )
                    done = AttemptCompleted(attempt, Outcome.ERROR, self.clock.now_us(), error=error)
        if done is None:
            outcome = outcome_of_unfinished(attempt.sent.is_set(), attempt.cancelled)
            done = AttemptCompleted(attempt, outcome, self.clock.now_us())
        self.enqueue(done)

    async def _probe(self, member: str) -> None:
        started = self.clock.now_us()
        done = None
        with self.traces.span("probe", member=member):
            with trio.move_on_after(self.options.health_check_timeout_us / US):
                try:
                    report = await self.endpoints.check_health(member)
                    done = HealthCheckCompleted(
                        member, Outcome.OK, 0, report.status, report.in_flight, report.queued
                    )
                except CALL_ERRORS as error:
                    done = HealthCheckCompleted(member, outcome_of_error(error), 0)
                except Exception as error:
                    self.log.error("a probe failed inside", member=member, exc_info=error)
                    done = HealthCheckCompleted(member, Outcome.ERROR, 0)
        if done is None:
            done = HealthCheckCompleted(member, Outcome.TIMEOUT, 0)
        done.took_us = self.clock.now_us() - started
        self.enqueue(done)
