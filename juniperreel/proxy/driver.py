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

from juniperreel.admission import Admission, AdmissionController, Arrival, Decision, Rejection
from juniperreel.causal import Token
from juniperreel.net import Clock, ConnectError, Network, Pace
from juniperreel.net.clock import US
from juniperreel.proxy import hosts as host_list
from juniperreel.proxy.configsource import ConfigSource
from juniperreel.proxy.jobs import Fault, Job, Links, Reply
from juniperreel.proxy.members import MemberLinks
from juniperreel.proxy.mysqlmembers import MysqlLinks
from juniperreel.proxy.options import DriverOptions
from juniperreel.proxy.outcomes import is_statement_fault, of_error, unfinished
from juniperreel.proxy.positions import Needs, Positions, Standing
from juniperreel.proxy.work import Answer, Failed, Refused, Served, Spurned, Work, let_go
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

CALL_ERRORS = (ConnectError, NeverSent, Broken, RpcError, Fault)
SAVE_EVERY_S = 1.0


class Open:
    """A request in hand, from its taking to its answer and the end of its last attempt."""

    __slots__ = ("answer", "attempts", "done", "last", "out", "taken_us", "took_us", "work")

    def __init__(self, work: Work) -> None:
        self.work = work
        self.done = trio.Event()
        self.answer: Answer | None = None
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.taken_us = 0  # when the module had it
        self.took_us: int | None = None  # the attempt that served it
        self.last: Outcome | None = None  # of its last attempt that ended without serving it


class Attempt:
    """One attempt on its way."""

    __slots__ = ("member", "needs", "number", "request", "scope", "sent", "started_us", "withdrawn")

    def __init__(self, request: Open, number: int, member: str, needs: Needs, now_us: int) -> None:
        self.request, self.number, self.member, self.needs = request, number, member, needs
        self.started_us = now_us
        self.sent = trio.Event()
        self.scope = trio.CancelScope()
        self.withdrawn = False


@dataclass(slots=True)
class AttemptDone:
    attempt: Attempt
    outcome: Outcome
    ended_us: int
    reply: Reply | None = None
    error: Exception | None = None


@dataclass(slots=True)
class ProbeDone:
    member: str
    outcome: Outcome
    took_us: int
    standing: Standing | None = None
    in_hand: float = 0.0
    waiting: float = 0.0


@dataclass(slots=True)
class ListTold:
    kind: UpdateKind
    hosts: list[host_list.Host]


HostEvent = Open | AttemptDone | ProbeDone | ListTold | ClientDisconnected


CONGESTED = (Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CANCELLED)  # ends that tell of members at their limit


def why_given_up(item: Open, now: int) -> str:
    """In words for operators. The module gives no reason; what the driver saw of the request tells."""
    if item.last is not None:
        return f"attempts failed, the last by {item.last.value}"
    if item.attempts:
        return "no answer came in time"
    if now == item.taken_us:
        return "shed: answers take too long, or no time is left"
    return "no member could take it in time: none is up, fresh enough or warm"


class Driver(RouterLoop[HostEvent]):
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
        self.admission_controller = AdmissionController(options.router, options.max_open, options.seed)
        self._pace = pace
        self._parked: dict[str, Open] = {}  # at the gate
        self.positions = Positions(options.skew_us)
        links_rng = random.Random(rng.getrandbits(64))
        self.links: Links = (
            MemberLinks(options, network, clock, links_rng)
            if options.mysql is None
            else MysqlLinks(
                options, options.mysql, network, clock, self.positions, links_rng, self._group_of, metrics
            )
        )
        source = ConfigSource if options.instances else host_list.HostList
        self.hosts: host_list.MemberSource = source(
            options, network, clock, random.Random(rng.getrandbits(64)), self._list_told, log.warning
        )
        self._ids = count()
        # Danger: an edge with a fixed seed that comes back would use the ids of its life before again, and
        # whoever tells requests apart by them takes two for one.
        born = (rng.getrandbits(32) ^ clock.now_us()) & 0xFFFFFFFF
        self._prefix = f"{options.name}-{born:08x}-"
        self._wake = trio.Event()
        self._open: dict[str, Open] = {}
        self._groups: dict[str, int] = {}  # of members
        self._gone: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._idle = trio.Event()
        self._list_changed = trio.Event()

    # Its life.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled. Raises ValueError for a saved list that cannot be read."""
        saved, self.hosts.version = host_list.load(self.options.saved_list, self.options.groups)
        async with trio.open_nursery() as self._nursery:
            await self._nursery.start(self.links.run)
            await self._nursery.start(self.hosts.run)
            if self.options.saved_list is not None and self.options.saves_list:
                self._nursery.start_soon(self._save_lists)
            self._nursery.start_soon(self._gauges)
            self.enqueue(ListTold(UpdateKind.CACHED, saved))
            task_status.started()
            await self._loop()

    async def drain(self) -> None:
        """Take no more; return when every request in hand has its answer and no attempt is out."""
        self.admission_controller.shutting_down = True
        while self._open or self._parked:
            self._idle = trio.Event()
            await self._idle.wait()

    async def execute(self, work: Work) -> Answer:
        """The request's one final answer. Cancelled, the request is withdrawn and nothing more goes out."""
        entered = self.enter(work)
        return entered if isinstance(entered, Refused) else await self.answer(entered)

    def enter(self, work: Work) -> Open | Refused:
        """The gate's verdict, without waiting: a refusal, or the request itself, to be awaited by `answer` or
        given back by `leave`."""
        now = self.clock.now_us()
        work.id = f"{self._prefix}{next(self._ids):x}"
        item = Open(work)
        self._parked[work.id] = item
        arrival = Arrival(
            work.id,
            work.cls,
            work.tenant,
            work.group,
            work.read_us or now,
            work.deadline_us - self.options.answer_margin_us,
            work.repeat,
        )
        self._heed(self.admission_controller.on_arrival(now, arrival))
        return item.answer if isinstance(item.answer, Refused) else item

    async def answer(self, item: Open) -> Answer:
        try:
            await item.done.wait()
        except trio.Cancelled:
            if isinstance(item.answer, Served | Spurned):  # it came in the moment its client left
                let_go(getattr(item.answer, "result", None), item.answer.held)
            self.leave(item)
            raise
        assert item.answer is not None
        return item.answer

    def leave(self, item: Open) -> None:
        """Nobody waits for the answer any more: the request is withdrawn."""
        if item.answer is not None:
            return
        if self._parked.pop(item.work.id, None) is not None:
            self._heed(self.admission_controller.on_client_disconnected(self.clock.now_us(), item.work.id))
            self._settle()
        else:
            self.enqueue(ClientDisconnected(item.work.id))

    def glance(self, cls: int, tenant: int, group: int, deadline_us: int) -> Refused | None:
        """Whether a request would be turned away on its arrival: asked before anything is spent on it."""
        now = self.clock.now_us()
        remaining_us = deadline_us - self.options.answer_margin_us - now
        turn = self.admission_controller.reject_early(now, cls, tenant, group, remaining_us)
        if turn is None:
            return None
        self.metrics.reject(turn.reason).inc()
        return Refused(turn.reason, turn.retry_after_us, local=True)

    def _heed(self, verdicts: list[Decision]) -> None:
        """Carries out what the gate says."""
        for verdict in verdicts:
            item = self._parked.pop(verdict.request, None)
            match verdict:
                case Admission(name):
                    if item is not None:
                        self._open[name] = item
                        self.enqueue(item)
                    else:
                        self._heed(self.admission_controller.on_finished(self.clock.now_us(), name, None))
                case Rejection(_, reason, wait):
                    self.metrics.reject(reason).inc()
                    if item is not None:
                        item.answer = Refused(reason, wait, local=True)
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
        times = (self.next_timer_us(), self.admission_controller.next_timer_us())
        return min((due for due in times if due is not None), default=None)

    def _turn(self) -> None:
        now = self.clock.now_us()
        if self._pace is not None:
            self.admission_controller.on_loop_lag(now, self._pace.late_us())
        self._heed(self.admission_controller.on_timer(now))
        if self.process_batch(now):
            self.metrics.batches.inc()

    def on_stall(self, late_us: int) -> None:
        self.metrics.stalls.inc()

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        self.metrics.module_errors.inc()
        self.log.error("the module failed on a batch", exc_info=error)
        for event in events:
            name = event.id if isinstance(event, Request) else getattr(event, "request", None)
            item = self._open.get(name) if name is not None else None
            if item is not None:
                self._answer(item, Failed("the edge failed on this request", item.attempts))

    # What happened, in the module's words.

    def router_events(self, host_events: list[HostEvent], now: int) -> list[Event]:
        gone = {h.request for h in host_events if isinstance(h, ClientDisconnected)}
        events: list[Event] = []
        for item in host_events:
            if isinstance(item, Open):
                events.append(self._request(item, now))
            elif isinstance(item, AttemptDone):
                events.append(self._attempt_done(item, gone))
            elif isinstance(item, ProbeDone):
                events.append(self._probe_done(item))
            elif isinstance(item, ListTold):
                events.append(self._list(item))
            else:
                self._withdraw(item.request)
                events.append(item)
        return events

    def _request(self, item: Open, now: int) -> Request:
        work = item.work
        item.taken_us = now
        work.token = self.positions.healed(work.group, work.token)
        age = self.positions.session_age(now, work.group, work.token)
        return Request(
            id=work.id,
            class_index=work.cls,
            tenant_index=work.tenant,
            group=work.group,
            deadline_us=work.deadline_us - self.options.answer_margin_us,
            session=work.session,
            session_age_us=age,
            is_retry=work.repeat,
        )

    def _attempt_done(self, done: AttemptDone, gone: set[str]) -> AttemptEnded:
        attempt, item = done.attempt, done.attempt.request
        group = item.work.group
        item.out.pop(attempt.number, None)
        took = done.ended_us - attempt.started_us
        outcome, role, position = done.outcome, Role.UNKNOWN, None
        if done.reply is not None:
            standing = done.reply.standing
            self.positions.learn(group, standing)
            role = self._role(group, standing)
            position = self.positions.member_position(group, standing)
            if outcome is Outcome.OK:
                outcome, position = self._check(attempt, done.reply, position)
        elif outcome is Outcome.INELIGIBLE and self._writes(item):
            role = Role.REPLICA  # it turned a write away as not being primary
        self.log.debug(
            "attempt ended",
            request=item.work.id,
            number=attempt.number,
            member=attempt.member,
            outcome=outcome.value,
            took_us=took,
        )
        self.metrics.attempt(outcome.value).inc()
        self.metrics.attempt_took(outcome.value).observe(took / US)
        finished = False
        if outcome is not Outcome.OK:
            item.last = outcome
            if done.reply is not None:
                done.reply.drop()
        else:
            finished = True
            item.took_us = took
            if item.answer is not None or item.work.id in gone:
                self.metrics.late.inc()
                if done.reply is not None:
                    done.reply.drop()
            else:
                self._answer(item, self._served(attempt, done))
        event = AttemptEnded(
            request=item.work.id,
            attempt=attempt.number,
            endpoint=attempt.member,
            outcome=outcome,
            duration_us=max(took, 0),
            request_finished=finished,
            role=role,
            position_us=position,
            load_report=None,
        )
        self._forget(item)
        return event

    def _check(self, attempt: Attempt, reply: Reply, position: int) -> tuple[Outcome, int | None]:
        """An OK answer against what was asked: facts that the module cannot see in numbers alone."""
        item, standing = attempt.request, reply.standing
        group = item.work.group
        if self._writes(item) and item.work.hold is not None:
            # What a transaction commits is checked at its end. Danger: one that was begun at a primary which
            # is deposed meanwhile would read what nobody else has, and its statement has run.
            return (Outcome.RESET if self.positions.deposed(group, standing) else Outcome.OK), position
        if self._writes(item):
            if not self.positions.holds_commit(group, standing.history.epoch, reply.commit):
                # Danger: a deposed primary confirms a write that the group will never hold.
                self.metrics.cut_off.inc()
                return Outcome.RESET, position
            return Outcome.OK, reply.commit - self.options.skew_us
        if not attempt.needs.met_by(standing):
            # Danger: a member that was truncated or restored since its position was learned.
            self.metrics.stale.inc()
            return Outcome.INELIGIBLE, position
        return Outcome.OK, position

    def _served(self, attempt: Attempt, done: AttemptDone) -> Answer:
        item = attempt.request
        reply = done.reply
        error = reply.error if reply is not None and reply.error is not None else done.error
        if isinstance(error, RpcError):  # an OK with an error is a statement at fault
            return Spurned(int(error.code), error.message, error.details)
        if isinstance(error, Fault):
            held = reply.held if reply is not None else None
            return Spurned(int(Code.INVALID_ARGUMENT), error.words, (), (error.code, error.state), held)
        assert reply is not None
        standing, token = reply.standing, item.work.token
        seen = standing.position
        if self._writes(item):
            # A transaction that has only begun has seen nothing that others could ask for.
            seen = reply.commit if item.work.hold is None else 0
        if standing.history.starts and seen:
            token = token.join(Token.at(item.work.group, standing.history.epoch, seen))
        primary = standing.primary is True
        return Served(reply.result, token, attempt.member, primary, item.attempts, reply.held)

    def _probe_done(self, done: ProbeDone) -> HealthCheckEnded:
        self.metrics.probes.labels(done.outcome.value).inc()
        report = None
        if done.standing is not None:
            group = self._groups.get(done.member, 0)
            self.positions.learn(group, done.standing)
            report = LoadReport(
                position_us=self.positions.member_position(group, done.standing),
                is_primary=self.positions.primary(group, done.standing),
                in_flight=done.in_hand,
                queued=done.waiting,
            )
        return HealthCheckEnded(done.member, done.outcome, done.took_us, report)

    def _group_of(self, member: str) -> int:
        return self._groups.get(member, 0)

    def _role(self, group: int, standing: Standing) -> Role:
        primary = self.positions.primary(group, standing)
        if primary is None:
            return Role.UNKNOWN
        return Role.PRIMARY if primary else Role.REPLICA

    def _writes(self, item: Open) -> bool:
        return self.options.router.classes[item.work.cls].consistency is Consistency.WRITE

    # The host list.

    def _list_told(self, kind: UpdateKind, hosts: list[host_list.Host]) -> None:
        self.enqueue(ListTold(kind, hosts))

    def _list(self, told: ListTold) -> EndpointUpdate:
        if told.kind is UpdateKind.FAILED:
            self.metrics.list_failures.inc()
        named = set()
        for host in told.hosts:
            named.add(host.id)
            self._groups[host.id] = host.group
            if host.readiness == Readiness.REMOVED.value:
                self._gone.add(host.id)
                self.links.retire(host.id)
            else:
                self._gone.discard(host.id)
                self.links.place(host.id, host.address, host.port)
        if told.kind is UpdateKind.SNAPSHOT:
            for member in self._groups.keys() - named - self._gone:
                self._gone.add(member)
                self.links.retire(member)
        counts = Counter(group for member, group in self._groups.items() if member not in self._gone)
        for group, members in counts.items():
            self.admission_controller.set_endpoint_count(group, members)
        if told.kind in (UpdateKind.SNAPSHOT, UpdateKind.DELTA):
            self._list_changed.set()
        return EndpointUpdate(told.kind, tuple(h.member(self.options.skew_us) for h in told.hosts))

    async def _save_lists(self) -> None:
        assert self.options.saved_list is not None
        while True:
            await self._list_changed.wait()
            self._list_changed = trio.Event()
            hosts, version = list(self.hosts.known.values()), self.hosts.version
            try:
                await trio.to_thread.run_sync(host_list.save, self.options.saved_list, hosts, version)
            except OSError as error:  # a full disk costs the saved list, not the service
                self.log.error("the host list could not be saved", error=str(error))
            await trio.sleep(SAVE_EVERY_S)

    async def _gauges(self) -> None:
        while True:
            await trio.sleep(1)
            now = self.clock.now_us()
            if self.hosts.heard_us:
                self.metrics.list_age.set((now - self.hosts.heard_us) / US)
            self.metrics.config_version.set(self.hosts.version)
            drift = self.clock.drift_us()
            self.metrics.clock_drift.set(drift / US)
            if abs(drift) > self.options.skew_us:
                self.log.warning("wall time has left the clock by more than the skew bound", drift_us=drift)
            self.metrics.connections.set(self.links.connected)
            if isinstance(self.links, MysqlLinks):
                self.links.gauges()
            self.metrics.open.set(len(self._open))
            self.metrics.parked.set(len(self._parked))
            self.metrics.program_limit.set(self.admission_controller.process_limit.value)
            for (group, current), lane in self.admission_controller.lanes():
                names = (str(group), "primary" if current else "replicas")
                self.metrics.lane_limit.labels(*names).set(lane.limit.value)
                self.metrics.lane_in_hand.labels(*names).set(lane.in_flight)
                self.metrics.lane_waiting.labels(*names).set(lane.queued)
            self.metrics.members.labels("known").set(len(self._groups) - len(self._gone))
            self.metrics.members.labels("gone").set(len(self._gone))

    # What the module says.

    def cancel(self, request: str, attempt: int) -> None:
        item = self._open.get(request)
        running = item.out.get(attempt) if item is not None else None
        if running is not None:
            running.withdrawn = True
            running.scope.cancel()

    def reject(self, request: str, retry_after_us: int, now: int) -> None:
        item = self._open.get(request)
        if item is not None:
            self._final(request, Refused(why_given_up(item, now), retry_after_us))

    def fail(self, request: str) -> None:
        item = self._open.get(request)
        attempts = item.attempts if item is not None else 0
        self._final(request, Failed("the effect is unknown", attempts))

    def start_health_check(self, endpoint: str) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._probe, endpoint)

    def subscribe(self, enabled: bool) -> None:
        self.hosts.subscribe(enabled)

    def fetch_endpoint_list(self) -> None:
        self.hosts.fetch()

    def log_message(self, message: str) -> None:
        self.log.info(message)

    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        assert self._nursery is not None
        item = self._open[request]
        cls = self.options.router.classes[item.work.cls]
        needs = Needs()
        if cls.consistency is not Consistency.WRITE:
            lag = cls.max_staleness_us if cls.consistency is Consistency.BOUNDED else None
            needs = self.positions.needs(now, item.work.group, item.work.token, lag)
        attempt = Attempt(item, item.attempts, endpoint, needs, now)
        item.attempts += 1
        item.out[attempt.number] = attempt
        if item.answer is not None:
            # Rule 1: nothing goes out after the final answer, whatever the module thinks of the request.
            self.enqueue(AttemptDone(attempt, Outcome.NOT_SENT, now))
            return
        limit = timeout_us or max(item.work.deadline_us - now, 0)
        self._nursery.start_soon(self._attempt, attempt, limit)

    def _final(self, request: str, answer: Answer) -> None:
        item = self._open.get(request)
        if item is not None:
            self._answer(item, answer)
            self._forget(item)

    def _withdraw(self, request: str) -> None:
        """The client has left: no answer reaches it, and the request counts as ended."""
        item = self._open.get(request)
        if item is not None and item.answer is None:
            self._answer(item, Failed("the client left", item.attempts))
            self._forget(item)

    def _answer(self, item: Open, answer: Answer) -> None:
        """The first answer is the final one; there is no second."""
        if item.answer is None:
            item.answer = answer
            item.done.set()
            lost = isinstance(answer, (Refused, Failed)) and item.last in CONGESTED
            took = item.took_us if isinstance(answer, Served) else None
            self._heed(self.admission_controller.on_finished(self.clock.now_us(), item.work.id, took, lost))
            self.log.debug(
                "answered", request=item.work.id, answer=type(answer).__name__, attempts=item.attempts
            )

    def _forget(self, item: Open) -> None:
        if item.answer is not None and not item.out:
            self._open.pop(item.work.id, None)
            self._settle()

    def _settle(self) -> None:
        if not self._open and not self._parked:
            self._idle.set()

    # Attempts and probes.

    async def _attempt(self, attempt: Attempt, limit_us: int) -> None:
        item = attempt.request
        cls = self.options.router.classes[item.work.cls]
        work = item.work
        done = None
        with self.traces.span("attempt", request=work.id, member=attempt.member, number=attempt.number):
            attempt.scope.deadline = self.clock.trio_time(attempt.started_us + limit_us)
            with attempt.scope:
                write = cls.consistency is Consistency.WRITE
                job = Job(work, attempt.number, cls.name, write, cls.priority_weight, attempt.needs)
                left = attempt.started_us + limit_us - self.clock.now_us()
                try:
                    reply = await self.links.execute(attempt.member, job, left, attempt.sent)
                    done = AttemptDone(attempt, Outcome.OK, self.clock.now_us(), reply)
                except CALL_ERRORS as error:
                    fault = is_statement_fault(error)  # an answer all the same: the member is well
                    outcome = Outcome.OK if fault else of_error(error)
                    done = AttemptDone(attempt, outcome, self.clock.now_us(), error=error)
                except Exception as error:
                    # Danger: a flaw met on one attempt must not end the edge; what it did is not known.
                    self.log.error(
                        "an attempt failed inside", request=work.id, member=attempt.member, exc_info=error
                    )
                    done = AttemptDone(attempt, Outcome.ERROR, self.clock.now_us(), error=error)
        if done is None:
            outcome = unfinished(attempt.sent.is_set(), attempt.withdrawn)
            done = AttemptDone(attempt, outcome, self.clock.now_us())
        self.enqueue(done)

    async def _probe(self, member: str) -> None:
        started = self.clock.now_us()
        done = None
        with self.traces.span("probe", member=member):
            with trio.move_on_after(self.options.probe_timeout_us / US):
                try:
                    standing, in_hand, waiting = await self.links.report(member)
                    done = ProbeDone(member, Outcome.OK, 0, standing, in_hand, waiting)
                except CALL_ERRORS as error:
                    done = ProbeDone(member, of_error(error), 0)
                except Exception as error:
                    self.log.error("a probe failed inside", member=member, exc_info=error)
                    done = ProbeDone(member, Outcome.ERROR, 0)
        if done is None:
            done = ProbeDone(member, Outcome.TIMEOUT, 0)
        done.took_us = self.clock.now_us() - started
        self.enqueue(done)
