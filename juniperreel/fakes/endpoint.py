"""A member: a gRPC server over a group's copy of the data, with everything that can go wrong with it."""

from __future__ import annotations

import random
import re
from collections.abc import Sequence

import trio
from google.protobuf.message import DecodeError

from juniperreel.fakes.capacity_model import CapacityModel
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.errors import QueueFullError, StatementError
from juniperreel.fakes.mysql_server import MysqlSide
from juniperreel.fakes.postgres_server import PostgresSide
from juniperreel.fakes.replication_group import Group, Replica
from juniperreel.fakes.store import Commit, Statement, value_from_proto, value_to_proto
from juniperreel.net import Clock, ConnectError, HeldPort, Network
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.member.v1 import member_pb2
from juniperreel.rpc.channel import Broken, Channel, NeverSent
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Call, Method, Server
from juniperreel.rpc.status import Code, RpcError, error_info
from juniperreel.verification.records import (
    AttemptFinished,
    AttemptReceived,
    Committed,
    EndpointStarted,
    EndpointStopped,
    Record,
    RecordSink,
)

DOMAIN = "member.juniperreel"
REPLICATE = "/juniperreel.member.v1.Member/Replicate"
FOLLOW_S = 0.02  # between attempts to follow
SEND_S = 0.01  # between looks at the log
BEAT_S = 0.03  # between heartbeats
RID = re.compile(r"/\* rid ([0-9a-z.-]+) \*/")
REPORT_EVERY_US = 100_000


class Member:
    """One member on a port of its own. Faults are plain fields that the script sets."""

    def __init__(
        self,
        name: str,
        group: Group,
        zone: int,
        settings: EndpointSettings,
        network: Network,
        clock: Clock,
        seed: int,
        record: RecordSink,
    ) -> None:
        self.name, self.group, self.zone, self.settings = name, group, zone, settings
        # Danger: while it is down, a connection of somebody else's may be given its port for its own end.
        self._held = [HeldPort() for _ in range(2 if settings.mysql else 1)]
        self.port = self._held[0].port
        self.mysql_port = self._held[-1].port if settings.mysql else 0
        self.alive = False
        self.claims = False  # takes itself for the primary
        self.draining = False
        self.fell = False
        self.started_us = 0
        # Faults.
        self.hung = False
        self.cut_off = False  # from its group
        self.refusing = False  # requests, while reports pass
        self.losing = 0.0  # part of answers lost after executing
        self.breaking = 0.0  # part of answers broken off with the connection
        self.failing = 0.0  # part of requests that fail at once
        self.skew_us = 0  # of the clock it reports by
        self.copy = Replica()
        self._network, self._clock, self._record = network, clock, record
        self._rng = random.Random(seed)
        self.writer = trio.Lock()  # held by who writes, a transaction from its first write to its end
        self.mysql = MysqlSide(self)
        self.postgres = PostgresSide(self)
        self.machine = CapacityModel(clock, random.Random(seed + 1), settings, self._fall)
        self._report = (0, member_pb2.ReportResponse())
        self._scope: trio.CancelScope | None = None
        self._running: dict[str, trio.Event] = {}  # keys of writes under way
        self._woken = trio.Event()

    # Its process.

    async def run(self, cold: bool, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Until killed. It keeps its port, so that it comes back at the same address."""
        listener = await self._network.listen("127.0.0.1", self.port)
        now = self._clock.now_us()
        self.started_us = now
        self.machine.started_us = now if cold else 0
        self.alive, self.hung, self._running = True, False, {}
        self.writer, self.mysql = trio.Lock(), MysqlSide(self)
        mysql = await self._network.listen("127.0.0.1", self.mysql_port) if self.settings.mysql else None
        self._record(EndpointStarted(now, self.name, cold, float(self.settings.cores)))
        methods = {
            "/juniperreel.member.v1.Member/Execute": Method(unary=self._execute),
            "/juniperreel.member.v1.Member/Report": Method(unary=self._tell),
            REPLICATE: Method(streaming=self._replicate),
        }
        server = Server(methods, Limits(), self._clock)
        try:
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    if self.group.streams:
                        nursery.start_soon(self._follow)
                    if mysql is not None:
                        nursery.start_soon(self.mysql.serve, mysql)
                    if self.settings.postgres:
                        await nursery.start(self.postgres.serve)
                    task_status.started()
                    await server.serve(listener)
        finally:
            self.alive = self.claims = False
            with trio.CancelScope(shield=True):
                await listener.aclose()
                if mysql is not None:
                    await mysql.aclose()

    def release(self) -> None:
        """It will not come back: its ports are anybody's."""
        for port in self._held:
            port.close()

    def kill(self, why: str = "killed") -> None:
        if self.alive:
            self.alive = self.claims = False
            self._record(EndpointStopped(self._clock.now_us(), self.name, why))
            if self._scope is not None:
                self._scope.cancel()

    def _fall(self) -> None:
        """Too much while cold: it falls over and stays down."""
        self.fell = True
        self.kill("fell")

    def wake(self) -> None:
        """Back from a hang."""
        self.hung = False
        self._woken.set()
        self._woken = trio.Event()

    # For its MySQL side.

    @property
    def door(self) -> int:
        """The port that edges are told of."""
        return self.mysql_port if self.settings.mysql else self.port

    def now_us(self) -> int:
        """By its own clock, which a fault may have set wrong."""
        return max(self._clock.now_us() + self.skew_us, 0)

    def at_us(self) -> int:
        """When something happens, for the record."""
        return self._clock.now_us()

    def record(self, record: Record) -> None:
        self._record(record)

    def chance(self, part: float) -> bool:
        return bool(part) and self._rng.random() < part

    def kill_connection(self, number: int) -> None:
        self.mysql.kill(number)

    # Replication.

    async def _follow(self) -> None:
        """Keeps a stream open to the group's primary, whoever that is."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(FOLLOW_S)
                primary = self.group.primary
                if primary is None or primary is self or not self._may_follow(primary):
                    continue
                rng = random.Random(self._rng.random())
                channel = Channel(
                    self._network, self._clock, "127.0.0.1", primary.port, Limits(), rng, 300_000
                )
                await nursery.start(channel.run)
                try:
                    await self._follow_one(channel, primary)
                except (ConnectError, NeverSent, Broken, RpcError):
                    pass  # the primary died, or is one no longer
                finally:
                    channel.close()

    def _may_follow(self, primary: Member) -> bool:
        return self.group.primary is primary and not self.cut_off and not self.claims

    async def _follow_one(self, channel: Channel, primary: Member) -> None:
        request = member_pb2.ReplicateRequest(member=self.name)
        for commit in self.copy.log:
            request.held.add(epoch=commit.epoch, position=commit.position)
        first = True
        async with channel.streaming(REPLICATE, request.SerializeToString()) as messages:
            async for data in messages:
                await self.wait_while_hung()
                if not self._may_follow(primary):
                    return
                news = member_pb2.ReplicateResponse.FromString(data)
                if first:
                    self.copy.follow(news.keep, [(e.epoch, e.start) for e in news.epochs])
                    first = False
                self.copy.take([commit_of(entry) for entry in news.entries], news.heartbeat)
                self.group.received()

    async def _replicate(self, call: Call) -> None:
        """Sends what its log held a delay ago, as a network would bring it."""
        ask = member_pb2.ReplicateRequest.FromString(await call.receive() or b"")
        sent = self.copy.held_with([(h.epoch, h.position) for h in ask.held])
        first = member_pb2.ReplicateResponse(keep=sent)
        for epoch, start in self.copy.epochs:
            first.epochs.add(epoch=epoch, start=start)
        pending: list[tuple[float, int, int]] = [(0.0, sent, 0)]
        news, beaten = first, 0.0
        while True:
            if not self.claims or self.group.primary is not self:
                raise RpcError(Code.FAILED_PRECONDITION, f"{self.name} is not the primary")
            now = trio.current_time()
            if not self.hung and not self.cut_off:
                pending.append((now + self.group.delay_s, len(self.copy.log), self.group.heartbeat()))
                ready = [p for p in pending if p[0] <= now]
                pending = [p for p in pending if p[0] > now]
                _, length, news.heartbeat = ready[-1] if ready else (0.0, sent, 0)
                for commit in self.copy.log[sent:length]:
                    news.entries.append(entry_of(commit))
                if news.entries or news.keep or news.epochs or now - beaten > BEAT_S:
                    await call.send(news.SerializeToString())
                    sent, beaten = max(sent, length), now
                    news = member_pb2.ReplicateResponse()
            await trio.sleep(SEND_S)

    # What it says.

    def standing(self) -> member_pb2.Standing:
        primary = self.claims
        if primary and self.group.primary is self:
            self.copy.position = self.copy.received = self.group.heartbeat()
        standing = member_pb2.Standing(
            role=member_pb2.ROLE_PRIMARY if primary else member_pb2.ROLE_REPLICA,
            position=max(self.copy.position + self.skew_us, 0),
        )
        for epoch, start in self.copy.epochs:
            standing.epochs.add(epoch=epoch, start=start)
        return standing

    async def _tell(self, call: Call, data: bytes) -> bytes:
        await self.wait_while_hung()
        now = self._clock.now_us()
        if now - self._report[0] > REPORT_EVERY_US:  # reports are as old as their last refresh
            report = member_pb2.ReportResponse(
                standing=self.standing(), in_hand=self.machine.in_flight, waiting=self.machine.queued
            )
            self._report = (now, report)
        return self._report[1].SerializeToString()

    async def wait_while_hung(self) -> None:
        while self.hung:
            await self._woken.wait()

    # What it does.

    async def _execute(self, call: Call, data: bytes) -> bytes:
        try:
            ask = member_pb2.ExecuteRequest.FromString(data)
            statement = ask.statement.decode()
        except (DecodeError, UnicodeDecodeError):
            raise RpcError(Code.INVALID_ARGUMENT, "not an ExecuteRequest") from None
        rid = RID.search(statement)
        mean = self.settings.write_us if ask.write else self.settings.read_us
        work = self.machine.draw_work_us(mean)
        edge = ask.request.rsplit("-", 2)[0]
        self._record(
            AttemptReceived(
                self._clock.now_us(),
                self.name,
                edge,
                ask.request,
                ask.attempt,
                rid[1] if rid else "",
                getattr(ask, "class"),
                ask.write,
                mean,
            )
        )
        self.machine.offer(mean)
        done = [False]
        how = "stopped"
        try:
            response = await self._answer(call, ask, statement, rid[1] if rid else "", work, done)
            how = "answered"
            return response
        except RpcError as error:
            how = error.reason(DOMAIN) or error.code.name
            raise
        finally:
            now = self._clock.now_us()
            self._record(AttemptFinished(now, self.name, ask.request, ask.attempt, how, done[0]))

    async def _answer(
        self,
        call: Call,
        ask: member_pb2.ExecuteRequest,
        statement: str,
        rid: str,
        work: int,
        done: list[bool],
    ) -> bytes:
        await self.wait_while_hung()
        if self.refusing:
            raise untouched("NOT_EXECUTED", "no room", Code.RESOURCE_EXHAUSTED)
        if self.failing and self._rng.random() < self.failing:
            raise RpcError(Code.INTERNAL, "something inside is broken")
        if ask.write and not self.claims:
            raise untouched("NOT_PRIMARY", f"{self.name} is a replica")
        if not ask.write:
            self._check_needs(ask)
        parameters = [value_from_proto(v) for v in ask.parameters]
        try:
            self.copy.store.check(statement, parameters, ask.write)
            async with self.machine.core():
                if call.deadline_us is not None and self._clock.now_us() >= call.deadline_us:
                    raise RpcError(Code.DEADLINE_EXCEEDED, "not begun: the time is over")
                await self.machine.execute(work)
                await self.wait_while_hung()
                if ask.write:
                    response = await self._write(ask, statement, parameters, rid, done)
                else:
                    result = self.copy.store.query(statement, parameters)
                    response = member_pb2.ExecuteResponse(result=result, standing=self.standing())
                    done[0] = True
        except QueueFullError:
            raise untouched("NOT_EXECUTED", "the queue is full", Code.RESOURCE_EXHAUSTED) from None
        except StatementError as error:
            raise untouched("STATEMENT", str(error), Code.INVALID_ARGUMENT) from None
        if self.losing and self._rng.random() < self.losing:
            await trio.sleep_forever()
        if self.breaking and self._rng.random() < self.breaking:
            call.break_connection("broken off")
            await trio.sleep_forever()
        await self.wait_while_hung()
        return response.SerializeToString()

    def _check_needs(self, ask: member_pb2.ExecuteRequest) -> None:
        standing = self.standing()
        epochs = [(e.epoch, e.start) for e in standing.epochs]
        behind = standing.position < max(ask.floor, ask.oldest)
        for need in ask.needed:
            later = [start for epoch, start in epochs if epoch > need.epoch]
            lost = need.epoch > epochs[-1][0] or (later and need.position > min(later))
            behind = behind or lost or standing.position < need.position
        if behind:
            raise untouched("BEHIND", f"{self.name} has not reached what is asked for")

    async def _write(
        self,
        ask: member_pb2.ExecuteRequest,
        statement: str,
        parameters: list[object],
        rid: str,
        done: list[bool],
    ) -> member_pb2.ExecuteResponse:
        key = ask.idempotency_key
        while key and key in self._running:  # the first execution is still under way
            await self._running[key].wait()
        if not self.claims:
            raise untouched("NOT_PRIMARY", f"{self.name} is no longer primary")
        known = self.copy.keys.get(key) if key else None
        if key:
            self._running[key] = trio.Event()
        try:
            if known is None:
                row = str(parameters[0]) if parameters else ""
                position, rows = self.commit([Statement(statement, tuple(parameters))], key, rid, row)
            else:
                position, rows = known
            done[0] = True
            await self.acknowledged(position)
        finally:
            if key:
                self._running.pop(key).set()
        return member_pb2.ExecuteResponse(
            result=values_pb2.ResultSet(affected=max(rows, 0)),
            standing=self.standing(),
            commit=position,
            repeated=known is not None,
        )

    def commit(self, statements: Sequence[Statement], key: str, rid: str, row: str) -> tuple[int, int]:
        """Into the log, and done: position and rows changed. Raises sqlite3's errors, with nothing done."""
        epoch = self.copy.epoch
        entry = Commit(epoch, self.group.next_position(), tuple(statements), key, rid)
        rows = self.copy.apply(entry)
        self.copy.log.append(entry)
        now = self._clock.now_us()
        self._record(Committed(now, self.group.number, epoch, entry.position, self.name, rid, row))
        return entry.position, rows

    async def acknowledged(self, position: int) -> None:
        """Until another member has it, where writes are answered only then."""
        epoch = self.copy.epoch
        while self.settings.synchronous_replication and not self.group.replicated(epoch, position, self):
            await self.group.arrived.wait()


def entry_of(commit: Commit) -> member_pb2.LogEntry:
    first, *more = commit.statements
    return member_pb2.LogEntry(
        more=[
            member_pb2.Statement(
                statement=statement.text.encode(),
                parameters=[value_to_proto(value) for value in statement.parameters],
            )
            for statement in more
        ],
        epoch=commit.epoch,
        position=commit.position,
        statement=first.text.encode(),
        parameters=[value_to_proto(value) for value in first.parameters],
        idempotency_key=commit.idempotency_key,
        request=commit.request_id,
    )


def commit_of(entry: member_pb2.LogEntry) -> Commit:
    messages: list[member_pb2.LogEntry | member_pb2.Statement] = [entry, *entry.more]
    statements = tuple(
        Statement(message.statement.decode(), tuple(value_from_proto(p) for p in message.parameters))
        for message in messages
    )
    return Commit(entry.epoch, entry.position, statements, entry.idempotency_key, entry.request)


def untouched(reason: str, text: str, code: Code = Code.FAILED_PRECONDITION) -> RpcError:
    return RpcError(code, text, [error_info(reason, DOMAIN)])
