"""The platform's driver: one router, its clients, its members and discovery, on one task.

Clients' requests and members' replies become the module's events at once; the module's actions become
bytes in the same turn. Nothing here chooses a member, repeats an attempt or gives a request up.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from juniperreel.platform import facts
from juniperreel.platform.alarms import Alarms
from juniperreel.platform.budget import Budget
from juniperreel.platform.config import Config
from juniperreel.platform.endpoints import Endpoints
from juniperreel.platform.front import Command, Front, InvalidRequest
from juniperreel.platform.links import Dial, Ended, Job, MemberLinks
from juniperreel.platform.log import Log
from juniperreel.platform.shutdown import GracefulShutdown
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
    Idempotency,
    Outcome,
    Readiness,
    Request,
    UpdateKind,
)

SWEEP_US = 250_000
PROBE_US = 250_000  # a probe that says nothing by then has failed
RECENT_IDS = 20_000  # answered requests whose ids are still refused to others, at most
RECENT_US = 30_000_000  # and for how long
REPORT = b"SHOW pressure"
NO_IDS: tuple[str, ...] = ()


class Open:
    """A request in hand."""

    __slots__ = ("attempts", "command", "deadline_us", "form", "out")

    def __init__(self, form: StatementRequest, command: Command, deadline_us: int) -> None:
        self.form, self.deadline_us = form, deadline_us
        self.command: Command | None = command  # None once it is answered, or its client has left
        self.attempts = 0
        self.out: dict[int, Job] = {}


class PlatformDriver(RouterLoop[Event]):
    """`turn` does all that is due. `discover` carries out what the module asks of discovery."""

    def __init__(
        self,
        config: Config,
        now: Callable[[], int],
        dial: Dial,
        discover: Callable[[bool | None], None],
        log: Log,
    ) -> None:
        super().__init__(config.router, config.seed)
        self.config, self.now, self.log = config, now, log
        self._discover = discover
        self.settings = config.router
        self.arrived_us = now()  # since when what is read now may have waited
        self._classes = {c.name: i for i, c in enumerate(config.router.classes)}
        self._tenants = {t.name: i for i, t in enumerate(config.router.tenants)}
        self.alarms = Alarms()
        self.budget = Budget(config.limits.sockets)
        self.links = MemberLinks(
            dial, now, self.alarms, self.budget, config.connect_timeout_us, config.conn_idle_us
        )
        self.front = Front(self, now, self.budget)
        self.shutdown = GracefulShutdown(max(c.deadline_us for c in config.router.classes))
        self.open: dict[str, Open] = {}
        self._recent: dict[str, int] = {}  # when they were answered
        self._groups: set[int] = set()
        self._known: dict[str, Readiness] = {}
        self.alarms.at(now() + SWEEP_US, self._sweep)

    # Its turn.

    def due(self) -> int | None:
        times = [t for t in (self.next_timer_us(), self.alarms.due()) if t is not None]
        return min(times) if times else None

    def turn(self) -> None:
        """What is due and what came: until nothing is left."""
        now = self.now()
        self.alarms.ring(now)
        while self.process_batch(now) and self.queue:
            now = self.now()

    def _sweep(self) -> None:
        now = self.now()
        self.alarms.at(now + SWEEP_US, self._sweep)
        self.front.sweep()
        self.links.sweep(not self.settings.removed_endpoints_serve)
        for name in [
            n for n, item in self.open.items() if item.command and now > item.deadline_us + SWEEP_US
        ]:
            # Danger: a flaw of the module must not leave a client without an answer for ever.
            self.log.error("a request was left over", request=name)
            self._answer(name, server.failed("58000", "the time is up"))
            self.enqueue(ClientDisconnected(name))

    # Requests.

    def take(self, command: Command, form: StatementRequest) -> None:
        cls = self._classes.get(form.class_name)
        if cls is None:
            raise InvalidRequest("42704", "no such class")
        kind = self.settings.classes[cls]
        tenant = 0
        if form.tenant is not None and self.settings.tenants:
            if form.tenant not in self._tenants:
                raise InvalidRequest("42704", "no such tenant")
            tenant = self._tenants[form.tenant]
        if form.is_write != (kind.consistency is Consistency.WRITE):
            raise InvalidRequest("42501", "the class does not go with the statement")
        if kind.idempotency is Idempotency.KEYED and form.idempotency_key is None:
            raise InvalidRequest("42601", "the class needs a key")
        if form.group not in self._groups:
            raise InvalidRequest("3D000", "no such cluster")
        if form.id in self.open or form.id in self._recent:
            raise InvalidRequest("42710", "the id is another request's")
        session = form.key if kind.consistency in (Consistency.WRITE, Consistency.SESSION) else None
        deadline = self.shutdown.latest_us(command.arrived_us + form.timeout_ms * 1000)
        age = None
        if form.last_write_ms and kind.consistency is Consistency.SESSION:
            age = max(self.now() - form.last_write_ms * 1000, 0)
        self.open[form.id] = Open(form, command, deadline)
        command.request = form.id
        self.enqueue(
            Request(
                id=form.id,
                class_index=cls,
                tenant_index=tenant,
                group=form.group,
                deadline_us=deadline,
                session=session,
                session_age_us=age,
                is_retry=form.is_retry,
            )
        )

    def gone(self, command: Command) -> None:
        name, command.request = command.request, None
        item = self.open.get(name) if name is not None else None
        if name is not None and item is not None and item.command is command:
            item.command = None
            self.enqueue(ClientDisconnected(name))
            self._forget(name, item)

    def _answer(self, name: str, data: bytes) -> None:
        """The first answer is the final one; there is no second."""
        item = self.open.get(name)
        if item is None or item.command is None:
            return
        command, item.command = item.command, None
        self._forget(name, item)
        command.finish(data)

    def _forget(self, name: str, item: Open) -> None:
        if item.command is None and not item.out and self.open.pop(name, None) is not None:
            # Danger: whoever sends the id of a request that was just answered would have it run again.
            now = self._recent[name] = self.now()
            oldest = next(iter(self._recent))
            while len(self._recent) > RECENT_IDS or now - self._recent[oldest] > RECENT_US:
                del self._recent[oldest]
                oldest = next(iter(self._recent))

    # What the module says.

    def router_events(self, host_events: list[Event], now: int) -> list[Event]:
        return host_events

    def send(self, request: str, endpoint: str, timeout_us: int, now: int) -> None:
        item = self.open.get(request)
        if item is None:
            return
        number = item.attempts
        item.attempts += 1
        until = min(now + timeout_us, item.deadline_us) if timeout_us else item.deadline_us
        form = item.form

        def text() -> bytes:
            return with_timeout(form.text, max((min(until, item.deadline_us) - self.now()) // 1000, 1))

        def fits() -> bool:
            return self.router.confirm_send(self.now(), request, number)

        job = Job(text, partial(self._ended, request, number, endpoint, now), fits)
        item.out[number] = job
        if item.command is None:
            job.end(Outcome.NOT_SENT)  # rule 1: nothing goes out after the final answer
            return
        self.alarms.at(until, partial(self.links.give_up, job, False))
        self.links.run(endpoint, job)

    def _ended(self, request: str, number: int, member: str, started_us: int, ended: Ended) -> None:
        item = self.open[request]
        item.out.pop(number, None)
        reply, finished = ended.reply, False
        if ended.outcome is Outcome.OK and reply is not None:
            finished = True
            self._answer(request, reply.rows + READY)
        parameters = reply.parameters if reply is not None else {}
        self.enqueue(
            AttemptEnded(
                request=request,
                attempt=number,
                endpoint=member,
                outcome=ended.outcome,
                duration_us=max(self.now() - started_us, 0),
                request_finished=finished or item.command is None,
                role=facts.role(parameters),
                position_us=facts.position_us(parameters),
                load_report=facts.report(parameters.get("pressure")),
            )
        )
        self._forget(request, item)

    def cancel(self, request: str, attempt: int) -> None:
        item = self.open.get(request)
        job = item.out.get(attempt) if item is not None else None
        if job is not None:
            self.links.give_up(job, True)

    def reject(self, request: str, retry_after_us: int, now: int) -> None:
        self._answer(
            request, server.rejected("not taken; trying again does no harm", -(-retry_after_us // 1000))
        )

    def fail(self, request: str) -> None:
        self._answer(request, server.failed("08007", "the effect is unknown"))

    def start_health_check(self, endpoint: str) -> None:
        started = self.now()

        def done(ended: Ended) -> None:
            value = ended.reply.value if ended.reply is not None else None
            report = facts.report(value.decode("utf-8", "replace")) if value else None
            self.enqueue(HealthCheckEnded(endpoint, ended.outcome, self.now() - started, report))

        job = Job(lambda: REPORT, done)
        self.alarms.at(started + PROBE_US, partial(self.links.give_up, job, False))
        self.links.run(endpoint, job)

    def subscribe(self, enabled: bool) -> None:
        self._discover(enabled)

    def fetch_endpoint_list(self) -> None:
        self._discover(None)

    def log_message(self, message: str) -> None:
        self.log.info(message)

    def on_stall(self, late_us: int) -> None:
        self.log.warning("stood still", late_ms=late_us // 1000)

    def on_policy_error(self, events: Sequence[Event], error: Exception) -> None:
        self.log.error("the module failed on a batch", exc_info=error)
        for event in events:
            name = event.id if isinstance(event, Request) else getattr(event, "request", None)
            if name is not None:
                self._answer(name, server.failed("58000", "the driver failed on this request"))

    # Discovery.

    def told(self, kind: UpdateKind, endpoints: Endpoints | None) -> None:
        """A list, or the end of a call without one (None)."""
        if endpoints is None:
            self.enqueue(EndpointUpdate(kind, ()))
            return
        for member in endpoints.members:
            self._groups.add(member.group)
            self._known[member.id] = member.readiness
            dial = endpoints.dials.get(member.id)
            if member.readiness is Readiness.REMOVED:
                self.links.retire(member.id)
            elif dial is not None:
                self.links.place(member.id, dial)
        if endpoints.whole:
            for name in self._known.keys() - {m.id for m in endpoints.members}:
                del self._known[name]
                self.links.retire(name)
        self.enqueue(EndpointUpdate(kind, endpoints.members))

    # Its end.

    def leave(self) -> None:
        """SIGTERM has come. Danger: what was taken before it may wait longer than the kill does."""
        now = self.now()
        self.shutdown.begin(now)
        for due in self.shutdown.steps():
            self.alarms.at(due, lambda: None)  # nothing else may wake the driver in time
        for name, item in self.open.items():
            latest = self.shutdown.latest_us(item.deadline_us)
            if latest < item.deadline_us:
                item.deadline_us = latest
                self.enqueue(DeadlineShortened(name, latest))
                for job in item.out.values():
                    self.alarms.at(latest, partial(self.links.give_up, job, False))

    @property
    def quiet(self) -> bool:
        """Nothing is in hand and nobody is connected."""
        return not self.front.clients and not any(item.command for item in self.open.values())
