"""A member's side in the operators' protocol: PostgreSQL's messages, two statements, probes; with the faults
of its member. Connections come by relays of the same process, which say whose they are.

A value is the member's name, a bar, and the ids of all requests that wrote under its key, newest first, so
that an answer shows who gave it and which commits it contains. Work stops when its client closes the
connection, as the operators' members do.
"""

from __future__ import annotations

import socket
import sqlite3
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio

from juniperreel.fakes.errors import QueueFullError
from juniperreel.fakes.store import Statement
from juniperreel.net import Refused
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.postgres.form import Form, FormError, parse
from juniperreel.verification.records import AttemptAbandoned, AttemptFinished, AttemptReceived

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import Member

INSERT = "insert into runs (runner, id) values (?, ?)"
SELECT = "select id from runs where runner = ? order by number desc limit ?"
ROWS = 1_000  # ids in one value
REPORT_EVERY_US = 100_000
READ_BYTES = 65_536
UNTOUCHED = {"25006": "NOT_PRIMARY", "72000": "BEHIND", "53300": "NOT_EXECUTED"}


class Refusal(Exception):
    """An ErrorResponse with this SQLSTATE."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Lost(Exception):
    """No answer comes; `broken`: the connection ends instead."""

    def __init__(self, broken: bool) -> None:
        self.broken = broken


def row(value: bytes) -> bytes:
    described = m.message(b"T", b"\0\1body\0" + b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\1")
    data = m.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)
    return described + data + m.message(b"C", b"SELECT 1\0")


class PostgresSide:
    """All connections of one member."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self._nursery: trio.Nursery | None = None  # while its process runs
        self.opened = 0  # connections, ever
        self.held = self.most_held = 0  # now, and at most at a time
        self.probes = 0  # answered, ever
        self.asked: dict[str, int] = {}  # attempts by request
        self.busy: dict[str, list[Connection]] = {}  # with what runs here, by request
        self._report = (0, b"")

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as self._nursery:
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def dial(self, driver: str, given_up: Callable[[], bool]) -> trio.abc.Stream:
        """A new connection of a driver's: the end that is the driver's. Raises Refused while no process runs.

        `given_up`: whether the driver has ended it, though that may not be heard here yet. Danger: with a
        port for each driver, hundreds of them before dozens of members use up all that there are."""
        await trio.lowlevel.checkpoint()
        if self._nursery is None:
            raise Refused(f"{self.member.name} does not run")
        if given_up():
            # Danger: a loop that is late would serve all that have left meanwhile, and be later still.
            raise Refused("nobody waits any more")
        try:
            pair = socket.socketpair()
        except OSError as error:
            raise Refused(f"{self.member.name}: {error}") from None
        theirs, ours = (trio.SocketStream(trio.socket.from_stdlib_socket(s)) for s in pair)
        self._nursery.start_soon(Connection(self, driver, ours, given_up).run)
        return theirs

    def report(self) -> bytes:
        """As old as its last refresh."""
        now = self.member.at_us()
        if now - self._report[0] > REPORT_EVERY_US:
            standing = self.member.standing()
            primary, waiting = int(self.member.claims), self.member.machine.queued
            text = f"x0={standing.position / 1e6:.6f},x1={primary},queue={waiting}"
            self._report = (now, text.encode())
        return self._report[1]


class Connection:
    def __init__(
        self, side: PostgresSide, driver: str, stream: trio.abc.Stream, given_up: Callable[[], bool]
    ) -> None:
        self._side, self._member, self._driver, self._stream = side, side.member, driver, stream
        self.given_up = given_up
        self._talk = server.ServerConnection()
        self._news = trio.Event()
        self._attempt: tuple[str, int] | None = None  # that is running
        self._told = False  # that it is given up

    async def run(self) -> None:
        self._side.opened += 1
        self._side.held += 1
        self._side.most_held = max(self._side.most_held, self._side.held)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read, nursery.cancel_scope)
                await self._serve()
                nursery.cancel_scope.cancel()
        finally:
            self._side.held -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _read(self, whole: trio.CancelScope) -> None:
        """The client's end ends what is running."""
        try:
            while data := await self._stream.receive_some(READ_BYTES):
                self._talk.feed(bytes(data))
                self._news.set()
                self._news = trio.Event()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.abandon()
        whole.cancel()

    def abandon(self) -> None:
        if self._attempt is not None and not self._told:
            self._told = True
            self._member.record(AttemptAbandoned(self._member.at_us(), self._member.name, *self._attempt))

    async def _serve(self) -> None:
        try:
            while self._talk.phase is not server.Phase.OVER:
                query = self._talk.next()
                if query is not None:
                    self._talk.out += await self._answer(query.text)
                if self._talk.out:
                    out, self._talk.out = bytes(self._talk.out), bytearray()
                    await self._stream.send_all(out)
                elif query is None:
                    await self._news.wait()
        except Lost as lost:
            if not lost.broken:
                await trio.sleep_forever()  # until the driver waits no longer
        except (trio.BrokenResourceError, trio.ClosedResourceError, m.ProtocolError):
            return

    async def _answer(self, text: bytes) -> bytes:
        member = self._member
        await member.wait_while_hung()
        if not text.strip():
            return server.empty()
        if text == b"SHOW pressure":
            self._side.probes += 1
            return row(self._side.report()) + m.READY
        if text == b"SELECT 1":
            self._side.probes += 1
            return row(b"1") + m.READY
        try:
            form = parse(text)
        except FormError as error:
            return server.failed("08P01", str(error))
        return await self._attempted(form)

    async def _attempted(self, form: Form) -> bytes:
        member, side = self._member, self._side
        # Danger: a machine with much else to do lets this process wait, and what a driver gave up in time, by
        # ending a connection, would look like sent after its final answer, or beside its next attempt.
        if self.given_up():
            raise Lost(broken=True)
        for other in [c for peer in member.group.members for c in peer.postgres.busy.get(form.id, ())]:
            if other.given_up():
                other.abandon()
        number = side.asked[form.id] = side.asked.get(form.id, -1) + 1
        mean = member.settings.write_us if form.write else member.settings.read_us
        now, name = member.at_us(), member.name
        member.record(
            AttemptReceived(now, name, self._driver, form.id, number, form.id, form.cls, form.write, mean)
        )
        member.machine.offer(mean)
        self._attempt, self._told, how = (form.id, number), False, "stopped"
        side.busy.setdefault(form.id, []).append(self)
        try:
            answer = await self._carry_out(form, mean, now + form.span_ms * 1000)
            how = "answered"
        except Refusal as error:
            how = UNTOUCHED.get(error.code, "INTERNAL")
            answer = m.error("ERROR", error.code, str(error)) + self._facts(None) + m.READY
        finally:
            self._attempt = None
            side.busy[form.id].remove(self)
            if not side.busy[form.id]:
                del side.busy[form.id]
            member.record(AttemptFinished(member.at_us(), name, form.id, number, how, how == "answered"))
        return answer

    async def _carry_out(self, form: Form, mean: int, until_us: int) -> bytes:
        """Raises Refusal or Lost."""
        member = self._member
        if member.refusing or member.draining:
            raise Refusal("53300", "no room")
        if member.chance(member.failing):
            raise Refusal("XX000", "something inside is broken")
        if form.write and not member.claims:
            raise Refusal("25006", "not the primary")
        work = member.machine.draw_work_us(mean)
        try:
            async with member.machine.core():
                if member.at_us() >= until_us:
                    raise Refusal("53300", "the request is over already")
                await member.machine.execute(work)
                await member.wait_while_hung()
                value, commit = await self._effect(form) if form.write else (self._rows(form), None)
        except QueueFullError:
            raise Refusal("53300", "the queue is full") from None
        if member.chance(member.losing):
            raise Lost(broken=False)
        if member.chance(member.breaking):
            raise Lost(broken=True)
        await member.wait_while_hung()
        return row(value) + self._facts(commit) + m.READY

    def _rows(self, form: Form) -> bytes:
        cursor = self._member.copy.store.execute(SELECT, (form.key, ROWS))
        return self._named(",".join(str(found) for (found,) in cursor.fetchall()))

    def _named(self, ids: str) -> bytes:
        return f"{self._member.name}|{ids}".encode()

    async def _effect(self, form: Form) -> tuple[bytes, int]:
        """Done once for each key, as long as the group remembers it."""
        member, key = self._member, form.idempotency or ""
        if not member.claims:
            raise Refusal("25006", "no longer the primary")
        known = member.copy.keys.get(key) if key else None
        if known is None:
            try:
                known = member.commit([Statement(INSERT, (form.key, form.id))], key, form.id, form.key)
            except sqlite3.Error as error:
                raise Refusal("XX000", str(error)) from None
        await member.acknowledged(known[0])
        return self._named(form.id), known[0]

    def _facts(self, commit: int | None) -> bytes:
        """Positions rounded down, a commit up, in Unix milliseconds."""
        standing = self._member.standing()
        role = "primary" if self._member.claims else "standby"
        position = standing.position // 1000 if commit is None else -(-commit // 1000)
        return m.parameter("replication_role", role) + m.parameter("log_position", str(position))
