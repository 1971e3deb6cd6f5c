"""Links to members that speak MySQL: an attempt is one exchange on a connection of its own for that time.

Where the member stands is asked in the same exchange as the statement, so that an answer is judged by what
its member held when it gave it. A write is asked for it before and after: only a commit between two equal
answers belongs to that epoch. Must never decide which member, whether again, or when.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Sequence
from itertools import count
from typing import Any

import trio

from juniperreel.mysql.packets import ProtocolError
from juniperreel.mysql.replies import Err
from juniperreel.mysql.values import Value
from juniperreel.net import Clock, ConnectError, Network, Silent
from juniperreel.net.clock import US
from juniperreel.pool import standing as published
from juniperreel.pool.backend import FORGOTTEN, Backend, Lost, NotLetIn, TooLong
from juniperreel.pool.core import (
    GONE,
    UNREACHABLE,
    Action,
    Close,
    Give,
    Lease,
    Open,
    Pool,
    Turn,
    Want,
)
from juniperreel.pool.errors import UNDOES_ALL, Meaning, meaning
from juniperreel.pool.result import Result, Statement
from juniperreel.pool.state import SessionState, replay
from juniperreel.proxy.jobs import Fault, Job, Reply
from juniperreel.proxy.options import DriverOptions, MysqlMembers
from juniperreel.proxy.positions import Positions, Standing
from juniperreel.proxy.transactions import STATUS, Held, standing_of
from juniperreel.proxy.work import Hold
from juniperreel.routing.types import (
    Outcome,
)
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError
from juniperreel.telemetry.metrics import Metrics

TICK_S = 1.0
KILLS = 8  # that wait for one member's ear
BEGIN = {
    Hold.READ_WRITE: Statement(b"start transaction"),
    Hold.READ_ONLY: Statement(b"start transaction read only"),
}
GTIDS = Statement(published.GTIDS)


class Slot:
    """One who waits for a connection."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.given: Lease[Backend] | None = None
        self.turned = ""


class Member:
    """One member's address, its pool, and one connection beside it for reports and KILL: those must not wait
    for whoever has all others."""

    def __init__(self, address: tuple[str, int], pool: Pool[Backend]) -> None:
        self.address = address
        self.pool = pool
        self.slots: dict[Hashable, Slot] = {}
        self.held: set[Held] = set()
        self.monitor: Backend | None = None
        self.ear = trio.Lock()
        self.kills = 0
        self.last_failure = ""


class MysqlLinks:
    """See `jobs.Links`."""

    def __init__(
        self,
        options: DriverOptions,
        members: MysqlMembers,
        network: Network,
        clock: Clock,
        positions: Positions,
        rng: random.Random,
        group_of: Callable[[str], int],
        metrics: Metrics,
    ) -> None:
        self._options, self._mysql, self._group_of = options, members, group_of
        self._metrics = metrics
        self._network, self._clock, self._positions, self._rng = network, clock, positions, rng
        self._members: dict[str, Member] = {}
        self._nursery: trio.Nursery | None = None
        self._wake = trio.Event()
        self._wants = count()
        self.opened = self.killed = self.replayed = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                now = self._clock.now_us()
                dues = [m.pool.due_us(now) for m in self._members.values()]
                due = min((d for d in dues if d is not None), default=now + int(TICK_S * US))
                self._wake = trio.Event()
                with trio.move_on_after(min(max(due - now, 0) / US, TICK_S)):
                    await self._wake.wait()
                now = self._clock.now_us()
                for member in self._members.values():
                    self._do(member, member.pool.tick(now))

    def place(self, member: str, host: str, port: int) -> None:
        known = self._members.get(member)
        if known is not None and known.address == (host, port):
            known.pool.resume()
            return
        if known is not None:
            self._retire(known)
        pool: Pool[Backend] = Pool(self._mysql.sizes, random.Random(self._rng.random()))
        self._members[member] = Member((host, port), pool)

    def retire(self, member: str) -> None:
        known = self._members.get(member)
        if known is not None:
            self._retire(known)

    def _retire(self, member: Member) -> None:
        self._do(member, member.pool.drain())
        if member.monitor is not None:
            member.monitor.close()
        for held in list(member.held):
            # Rule 3: nothing new to a member that is gone, not even the next statement of a transaction.
            held.lose("its member has left")

    @property
    def connected(self) -> int:
        pools = [m.pool for m in self._members.values()]
        return sum(p.leased + p.idle for p in pools) + sum(
            m.monitor is not None for m in self._members.values()
        )

    @property
    def transactions(self) -> int:
        return sum(len(m.held) for m in self._members.values())

    def gauges(self) -> None:
        """Into the metrics, as it stands."""
        m = self._metrics
        for name, member in self._members.items():
            pool = member.pool
            for state, number in (("leased", pool.leased), ("idle", pool.idle), ("opening", pool.opening)):
                m.pool.labels(name, state).set(number)
            m.pool_waiting.labels(name).set(pool.waiting)
            m.pool_most.labels(name).set(pool.cap)

    def pools(self) -> dict[str, Pool[Backend]]:
        """For who looks on."""
        return {name: member.pool for name, member in self._members.items()}

    # Connections.

    def _do(self, member: Member, actions: Sequence[Action[Backend]]) -> None:
        assert self._nursery is not None
        for action in actions:
            match action:
                case Give(lease):
                    slot = member.slots.pop(lease.want.id, None)
                    if slot is None:  # it has left in the same moment
                        self._do(
                            member,
                            member.pool.back(self._clock.now_us(), lease, True, lease.connection.state),
                        )
                        continue
                    slot.given = lease
                    slot.done.set()
                case Turn(want, why):
                    self._metrics.pool_turned.labels(why).inc()
                    slot = member.slots.pop(want.id, None)
                    if slot is not None:
                        slot.turned = why
                        slot.done.set()
                case Open():
                    self._nursery.start_soon(self._open, member)
                case Close(backend):
                    self._nursery.start_soon(backend.leave)
        if member.pool.waiting:
            self._wake.set()

    async def _lease(
        self, name: str, tenant: int, worth: float, state: SessionState
    ) -> tuple[Member, Lease[Backend]]:
        """Raises ConnectError or CallUnprocessedError."""
        member = self._members.get(name)
        if member is None:
            raise Silent(f"no address is known for {name}")
        while True:
            want = Want(next(self._wants), tenant, worth, state=state)
            slot = member.slots[want.id] = Slot()
            try:
                self._do(member, member.pool.ask(self._clock.now_us(), want))
                await slot.done.wait()
            except trio.Cancelled:
                if slot.given is not None:
                    self._back(member, slot.given, good=True)
                else:
                    member.slots.pop(want.id, None)
                    self._do(member, member.pool.gone(self._clock.now_us(), want.id))
                raise
            if slot.given is None:
                if slot.turned in (UNREACHABLE, GONE):
                    raise Silent(f"{name}: {slot.turned}; {member.last_failure}")
                raise CallUnprocessedError(f"{name}: {slot.turned}")
            if not slot.given.connection.why:
                return member, slot.given
            self._back(member, slot.given, good=False)  # the member closed it while it was idle

    async def _open(self, member: Member) -> None:
        settled = False
        try:
            backend = await self._connect(member)
            settled = True
        except ConnectError as error:
            settled = True
            member.last_failure = str(error)
            refused = isinstance(error, NotLetIn) and meaning(error.code) is Meaning.BUSY
            self._do(member, member.pool.failed(self._clock.now_us(), refused))
            return
        finally:
            if not settled:
                member.pool.given_up(self._clock.now_us())
        assert self._nursery is not None
        self._nursery.start_soon(self._live, member, backend)
        self._do(member, member.pool.opened(self._clock.now_us(), backend, backend.state))

    async def _connect(self, member: Member) -> Backend:
        """Raises ConnectError."""
        host, port = member.address
        timeout = self._options.connect_timeout_us
        backend = await Backend.open(self._network, host, port, self._mysql.login, timeout)
        self.opened += 1
        return backend

    async def _live(self, member: Member, backend: Backend) -> None:
        await backend.run()
        self._do(member, member.pool.lost(self._clock.now_us(), backend))

    def _back(self, member: Member, lease: Lease[Backend], good: bool) -> None:
        backend = lease.connection
        spent = "" if good else "something was left on it"
        if backend.why or backend.session.in_flight:
            spent = "it broke, or an exchange did"
        elif backend.session.in_transaction:
            # Danger: a transaction that is still open would take in the next client's statement.
            spent = "a transaction was open"
        good = not spent
        if spent:
            self._metrics.pool_spent.labels(spent).inc()
            backend.close()
        self._do(member, member.pool.back(self._clock.now_us(), lease, good, backend.state))

    # Attempts.

    async def execute(self, member: str, job: Job, timeout_us: int, sent: trio.Event) -> Reply:
        link, lease = await self._lease(member, job.work.tenant, job.worth, job.work.state)
        backend = lease.connection
        kept = done = False
        try:
            await self._replay(backend, job)
            sent.set()
            reply = await self._exchange(member, link, lease, job)
            done = True
            rest = getattr(reply.result, "rest", None)
            kept = reply.held is not None
            if rest is not None and not kept:
                kept = True
                assert self._nursery is not None
                self._nursery.start_soon(self._until_over, link, lease, rest, not job.work.taint)
            return reply
        except Lost as error:
            if not error.sent or not sent.is_set():
                raise CallUnprocessedError(str(error)) from error
            raise CallInterruptedError(str(error)) from error
        finally:
            if not kept:
                self._back(link, lease, good=not job.work.taint)
                if not done and backend.why == "closed here":
                    self._kill(link, backend)

    async def _replay(self, backend: Backend, job: Job) -> None:
        """The connection as the session has it. Raises Lost, or Fault for what the member does not take."""
        statements = [replay(backend.state, job.work.state)]
        if job.work.insert_id is not None:
            statements.append(f"set @@session.last_insert_id = {job.work.insert_id}".encode())
        for text in statements:
            if text is None:
                continue
            self.replayed += 1
            self._metrics.replays.inc()
            (answer,) = await backend.exchange([Statement(text)])
            if isinstance(answer, Err):
                # Danger: nobody knows how much of it the member took.
                backend.close()
                fault = self._fault(answer)
                raise fault
        backend.state = job.work.state

    async def _until_over(self, link: Member, lease: Lease[Backend], rest: Any, good: bool) -> None:
        await rest.over.wait()
        self._back(link, lease, good)

    async def _asked(
        self,
        backend: Backend,
        steps: Sequence[Statement],
        attributes: dict[str, Value],
        main: int,
        stream: bool = False,
    ) -> list[Result | Err]:
        """An exchange; once more where the server had forgotten what was prepared, and so ran nothing."""
        answers = await backend.exchange(steps, attributes, main, stream)
        answer = answers[main]
        if isinstance(answer, Err) and answer.code in FORGOTTEN and not backend.session.in_transaction:
            answers = await backend.exchange(steps, attributes, main, stream)
        return answers

    async def _exchange(self, name: str, link: Member, lease: Lease[Backend], job: Job) -> Reply:
        """Raises Lost, or Fault."""
        backend = lease.connection
        statement = Statement(job.work.statement, [plain(v) for v in job.work.parameters], job.work.binary)
        attributes: dict[str, Value] = {
            "juniperreel_request": job.work.id,
            "juniperreel_attempt": job.attempt,
            "juniperreel_class": job.cls,
            "juniperreel_write": int(job.write),
        }
        try:
            if job.work.hold is Hold.READ_WRITE:
                return await self._begin(name, link, lease, job, statement, attributes)
            if job.work.hold is Hold.READ_ONLY:
                return await self._begin_reading(name, link, lease, job, statement, attributes)
            if job.write:
                return await self._write(name, backend, statement, attributes)
            return await self._read(backend, job, statement, attributes)
        except TooLong as error:
            raise Fault(Outcome.OK, str(error), 1153, "08S01") from error

    async def _read(
        self, backend: Backend, job: Job, statement: Statement, attributes: dict[str, Value]
    ) -> Reply:
        answers = await self._asked(backend, [STATUS, statement], attributes, 1, job.work.stream)
        standing, answer = standing_of(self._told(answers[0])), answers[1]
        if isinstance(answer, Err):
            raise self._fault(answer)
        if not job.needs.met_by(standing):
            if answer.rest is not None:
                answer.rest.close()
            return Reply(None, standing)  # the driver sees for itself that it is too old
        return Reply(answer, standing)

    async def _write(
        self, name: str, backend: Backend, statement: Statement, attributes: dict[str, Value]
    ) -> Reply:
        """Raises Lost where the commit's epoch is in doubt."""
        first, answer, last = await self._asked(backend, [STATUS, statement, STATUS], attributes, 1)
        before = self._told(first)
        if isinstance(answer, Err):
            raise self._fault(answer)
        if backend.session.in_transaction:
            # Danger: its client would believe in a transaction that ends with this connection.
            raise Fault(Outcome.OK, "begins a transaction in words that are not read here", 1235, "42000")
        try:
            after = self._told(last)
        except Fault as error:
            raise Lost(f"{name} does not tell where its commit stands: {error}", sent=True) from error
        if before.read_only or before.epochs != after.epochs:
            # Danger: `read_only` or the epoch flipped around the statement; the group may never hold it.
            raise Lost(f"{name} changed its role during a write", sent=True)
        standing, group = standing_of(after), self._group_of(name)
        self._positions.committed(group, standing.history.epoch, after.clock_us, answer.ok.gtids)
        return Reply(answer, standing, after.clock_us)

    async def _begin(
        self,
        name: str,
        link: Member,
        lease: Lease[Backend],
        job: Job,
        statement: Statement,
        attributes: dict[str, Value],
    ) -> Reply:
        """Asks first and sends the statement then: what ran at a primary of the past, even if it was undone,
        would not be sent again."""
        backend = lease.connection
        first, begun = await backend.exchange([STATUS, BEGIN[Hold.READ_WRITE]])
        told = self._told(first)
        standing = standing_of(told)
        group = self._group_of(name)
        self._positions.learn(group, standing)
        if told.read_only or self._positions.deposed(group, standing):
            raise Fault(Outcome.INELIGIBLE, f"{name} is no primary")
        if isinstance(begun, Err):
            raise self._fault(begun)
        (answer,) = await backend.exchange([statement], attributes, 0, job.work.stream)
        return self._begun(name, link, lease, job, standing, answer)

    async def _begin_reading(
        self,
        name: str,
        link: Member,
        lease: Lease[Backend],
        job: Job,
        statement: Statement,
        attributes: dict[str, Value],
    ) -> Reply:
        """The standing is read within, so that it is that of the transaction's snapshot."""
        steps = [BEGIN[Hold.READ_ONLY], STATUS, statement]
        begun, second, answer = await lease.connection.exchange(steps, attributes, 2, job.work.stream)
        if isinstance(begun, Err):
            raise self._fault(begun)
        return self._begun(name, link, lease, job, standing_of(self._told(second)), answer)

    def _begun(
        self,
        name: str,
        link: Member,
        lease: Lease[Backend],
        job: Job,
        standing: Standing,
        answer: Result | Err,
    ) -> Reply:
        if isinstance(answer, Err) and meaning(answer.code) not in (Meaning.FAULT, Meaning.ENDED):
            raise self._fault(answer)
        fault = None
        if isinstance(answer, Err):
            # Nothing took effect, and whether to try again is the client's to say: it knows these codes.
            fault = Fault(Outcome.OK, answer.message, answer.code, answer.sqlstate)
            if answer.code in UNDOES_ALL:
                raise fault
        if not lease.connection.session.in_transaction:
            raise Fault(Outcome.ERROR, f"{name} began no transaction")
        held = self._hold(name, link, lease, job)
        return Reply(None if isinstance(answer, Err) else answer, standing, held=held, error=fault)

    def _told(self, answer: Result | Err) -> published.Told:
        """Raises Fault: who does not tell where it stands is not believed."""
        if isinstance(answer, Err):
            fault = self._fault(answer)
            if isinstance(fault, Fault) and fault.outcome is Outcome.OK:  # its table is missing, or forbidden
                raise Fault(Outcome.ERROR, f"where it stands is not told: {answer.code}: {answer.message}")
            raise fault
        try:
            return published.told(answer.values())
        except (published.NotTold, ProtocolError) as error:
            raise Fault(Outcome.ERROR, str(error)) from error

    @staticmethod
    def _fault(err: Err) -> Exception:
        words = f"{err.code}: {err.message}"
        match meaning(err.code):
            case Meaning.READ_ONLY:
                return Fault(Outcome.INELIGIBLE, words)
            case Meaning.BUSY:
                return Fault(Outcome.REJECTED, words)
            case Meaning.GONE:
                return Lost(words, sent=True)
            case Meaning.FAULT | Meaning.ENDED:
                # Nothing took effect, and whether to try again is the client's to say: it knows these codes.
                return Fault(Outcome.OK, err.message, err.code, err.sqlstate)
            case _:
                return Fault(Outcome.ERROR, words)

    def _hold(self, name: str, link: Member, lease: Lease[Backend], job: Job) -> Held:
        assert self._nursery is not None
        group = self._group_of(name)

        def give_back(good: bool) -> None:
            link.held.discard(held)
            self._back(link, lease, good)

        held = Held(
            lease.connection,
            job.work.id,
            name,
            group,
            self._clock,
            self._positions,
            self._mysql.transaction_us,
            give_back,
        )
        link.held.add(held)
        self._nursery.start_soon(held.watch)
        if link.pool.draining:
            held.lose("its member has left")
        return held

    # Beside the pool.

    async def _monitor(self, member: Member) -> Backend:
        """With the ear held. Raises ConnectError."""
        if member.monitor is None or member.monitor.why:
            member.monitor = await self._connect(member)
            assert self._nursery is not None
            self._nursery.start_soon(member.monitor.run)
        return member.monitor

    def _kill(self, member: Member, victim: Backend) -> None:
        """A statement that nobody waits for goes on at its member until it is told. Danger: the server may
        have been started again and given the number to another; only a connection that lived beside the
        victim's proves that it was not."""
        beside = member.monitor
        if self._nursery is None or member.pool.draining or member.kills >= KILLS:
            return
        if beside is not None and not beside.why:
            member.kills += 1
            self._nursery.start_soon(self._send_kill, member, beside, victim.thread)

    async def _send_kill(self, member: Member, beside: Backend, thread: int) -> None:
        try:
            with trio.move_on_after(self._options.probe_timeout_us / US):
                async with member.ear:
                    if not beside.why:
                        await beside.exchange([Statement(f"kill {thread}".encode())])
                        self.killed += 1
                        self._metrics.kills.inc()
        except (Lost, TooLong):
            pass
        finally:
            member.kills -= 1

    async def report(self, member: str) -> tuple[Standing, float, float]:
        link = self._members.get(member)
        if link is None or link.pool.draining:
            raise Silent(f"no address is known for {member}")
        try:
            async with link.ear:
                backend = await self._monitor(link)
                answers = await backend.exchange([STATUS, Statement(published.LOAD), GTIDS])
        except (Lost, TooLong) as error:
            raise CallInterruptedError(str(error)) from error
        told = self._told(answers[0])
        load, gtids = answers[1:]
        if isinstance(load, Err):
            raise self._fault(load)
        try:
            standing = standing_of(told)
            if isinstance(gtids, Result):  # a server without them has none to tell
                ((executed,),) = gtids.values()
                group = self._group_of(member)
                self._positions.learn(group, standing)
                self._positions.executed(group, standing, str(executed))
            return standing, published.load(load.values()), 0.0
        except (published.NotTold, ProtocolError, ValueError) as error:
            raise Fault(Outcome.ERROR, str(error)) from error


def plain(value: Any) -> Value:
    """A parameter of `juniperreel.common.v1` as MySQL takes it."""
    kind = value.WhichOneof("kind")
    return None if kind in (None, "null") else getattr(value, kind)
