"""Connections to members: a pool for each, last used first. Carries one request on each, and never repeats
one.

What came of an attempt is told in the operators' words of outcome, read by `outcome_of`: only what
certainly left the member untouched comes out as something that never ran.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from juniperreel.net.poll import Wire
from juniperreel.platform.alarms import Alarms
from juniperreel.platform.budget import Budget
from juniperreel.platform.idletimeout import IdleTimeout
from juniperreel.postgres.client import ClientConnection, Phase, Reply
from juniperreel.postgres.messages import ProtocolError
from juniperreel.routing.types import (
    Outcome,
)

USER, DATABASE = "worker", "catalog"
IDLE_PART = 0.9  # of the time after which a member closes an idle connection: a sweep and a trip are left

STALE_US = 50_000  # a connection that ends so soon, without a byte of an answer, was dead before

MISSES = ("25006", "72000")  # a write and this is no primary; too far behind
TURNED_AWAY = ("53300", "57P03")


@dataclass(slots=True)
class Ended:
    """How a job ended. `written`: the member may have seen it."""

    outcome: Outcome
    reply: Reply | None


@dataclass(slots=True)
class Job:
    """One attempt or one probe. `text` is made at the moment of writing, for what time is left then; `fits`
    is asked just before, and what does not fit any more is not sent."""

    text: Callable[[], bytes]
    done: Callable[[Ended], None]
    fits: Callable[[], bool] = field(default=lambda: True)
    connection: MemberConnection | None = field(default=None)
    written: bool = False
    over: bool = False

    def end(self, outcome: Outcome, reply: Reply | None = None) -> None:
        if not self.over:
            self.over = True
            self.done(Ended(outcome, reply))


def outcome_of(reply: Reply) -> Outcome:
    if reply.error is None:
        return Outcome.OK
    code = reply.error.get("C", "")
    if code in MISSES:
        return Outcome.INELIGIBLE
    return Outcome.REJECTED if code in TURNED_AWAY else Outcome.ERROR


class Dial(Protocol):
    def __call__(self, host: str, port: int) -> Wire:
        """Raises OSError."""
        ...


class MemberConnection:
    """One connection and the job on it. A peer of its wire."""

    gone_at_end = False

    def __init__(self, pool: MemberPool, wire: Wire) -> None:
        self.pool, self.wire = pool, wire
        self.talk = ClientConnection(USER, DATABASE)
        self.job: Job | None = None
        self.idle_us = 0  # since when it has been idle; 0 until its first answer
        self._stood_us: int | None = None  # how long it had been idle when its request was written
        self._asked_us = 0
        wire.peer = self

    def connected(self) -> None:
        self.wire.write(self.talk.startup_message)

    def received(self, data: bytes) -> None:
        job = self.job
        try:
            reply = self.talk.receive_data(data)
        except ProtocolError:
            self.spoilt()
            return
        if reply is not None:
            self.job = None
            self._tell_use(True)
            self._rest(reply.error is None or self.talk.phase is Phase.IDLE)
            if job is not None:
                job.end(outcome_of(reply), reply)
        elif self.talk.phase is Phase.IDLE:
            if job is None:
                self._rest(True)
            elif not job.fits():
                self.job = None
                self._rest(True)
                job.end(Outcome.NOT_SENT)
            elif not job.written:
                self.start(job)
            # else: bytes for a query that is out, not whole yet

    def _rest(self, good: bool) -> None:
        """Danger: what comes behind an answer would be taken for the next one's."""
        if good and self.talk.is_reusable and self.wire.quiet():
            self.pool.rest(self)
        else:
            self.drop()

    def start(self, job: Job) -> None:
        self.job, job.connection = job, self
        if not self.talk.is_reusable:
            self.spoilt()
            return
        self._asked_us = self.pool.links.now()
        self._stood_us = self._asked_us - self.idle_us if self.idle_us else None
        self.wire.write(self.talk.send_query(job.text()))
        job.written = not self.wire.pending

    def spoilt(self) -> None:
        job, self.job = self.job, None
        turned_away = not self._written(job) and (self.talk.partial_reply.error or {}).get("C") in TURNED_AWAY
        self.drop()
        if job is not None:
            if self._written(job):
                # Not RESET: it did answer. Danger: answers that are spoilt on any member alike would put
                # one after the other in doubt as silent.
                job.end(Outcome.ERROR)
            else:
                job.end(Outcome.REJECTED if turned_away else Outcome.UNREACHABLE)

    def _tell_use(self, answered: bool) -> None:
        if self._stood_us is not None:
            self.pool.links.idle_timeout.used(self.pool.links.now(), self._stood_us, answered)

    def _written(self, job: Job | None) -> bool:
        """Whether its last byte has gone out. Danger: a long value leaves in parts, the last from the
        poll."""
        if job is not None and self.talk.phase is Phase.BUSY and not self.wire.pending:
            job.written = True
        return job is not None and job.written

    def ended(self, why: str) -> None:
        job, self.job = self.job, None
        written = self._written(job)
        reply = self.talk.partial_reply
        if written and not self.talk.response_started and self.pool.links.now() - self._asked_us < STALE_US:
            self._tell_use(False)
        self.drop()
        if job is None:
            return
        if not written:
            job.end(Outcome.UNREACHABLE)
        elif reply.error is not None:
            job.end(outcome_of(reply), reply)  # an error needs no ReadyForQuery behind it
        else:
            job.end(Outcome.RESET, reply)

    def give_up(self, job: Job, withdrawn: bool) -> None:
        """The driver waits no longer: the connection ends, unless nothing was written on it."""
        if job.over:
            return
        written = self._written(job)
        self.job = None
        reply = self.talk.partial_reply if written else None
        if written or self.talk.phase is Phase.BUSY:
            self.drop()
            if reply is not None and reply.error is not None:
                job.end(outcome_of(reply), reply)
                return
        # Danger: an answer that stops short may have told of a new role, or of a commit.
        if withdrawn:
            job.end(Outcome.CANCELLED if written else Outcome.NOT_SENT, reply)
        else:
            job.end(Outcome.TIMEOUT if written else Outcome.UNREACHABLE, reply)

    def drop(self) -> None:
        self.wire.close()
        self.pool.left(self)

    def too_slow(self) -> None:
        """No welcome within the time for connecting."""
        if self.talk.phase is Phase.STARTUP and not self.wire.closed:
            self.ended("no welcome in time")


class MemberPool:
    """One member's connections."""

    def __init__(self, links: MemberLinks, address: tuple[str, int]) -> None:
        self.links, self.address = links, address
        self.idle: list[MemberConnection] = []
        self.open: set[MemberConnection] = set()
        self.retired = False

    def run(self, job: Job) -> None:
        if not job.fits():
            job.end(Outcome.NOT_SENT)
            return
        while self.idle:
            connection = self.idle.pop()
            stood = self.links.now() - connection.idle_us
            if (
                self.links.idle_timeout.allows(stood)
                and connection.wire.quiet()
                and connection.talk.is_reusable
            ):
                connection.start(job)
                return
            connection.drop()
        self.links.make_room()
        try:
            wire = self.links.dial(*self.address)
        except OSError:
            job.end(Outcome.NOT_SENT)  # this driver's own want of descriptors says nothing of the member
            return
        connection = MemberConnection(self, wire)
        self.open.add(connection)
        self.links.budget.members += 1
        connection.job, job.connection = job, connection
        self.links.alarms.at(self.links.now() + self.links.connect_us, connection.too_slow)

    def rest(self, connection: MemberConnection) -> None:
        if self.retired:
            connection.drop()
            return
        connection.idle_us = self.links.now()
        self.idle.append(connection)

    def left(self, connection: MemberConnection) -> None:
        if connection in self.open:
            self.open.discard(connection)
            self.links.budget.members -= 1
            if connection in self.idle:
                self.idle.remove(connection)

    def retire(self) -> None:
        """Nothing new goes here: idle connections end now, the others with what is on them."""
        self.retired = True
        for connection in list(self.idle):
            connection.drop()


class MemberLinks:
    """All members' connections of one driver. Spans are microseconds."""

    def __init__(
        self,
        dial: Dial,
        now: Callable[[], int],
        alarms: Alarms,
        budget: Budget,
        connect_us: int,
        idle_us: int,
    ) -> None:
        self.dial, self.now, self.alarms, self.budget = dial, now, alarms, budget
        self.connect_us = connect_us
        self._idle_us = int(idle_us * IDLE_PART)
        self.idle_timeout = IdleTimeout()
        self.pools: dict[str, MemberPool] = {}

    def place(self, member: str, address: tuple[str, int]) -> None:
        """Where the member is now. A new address gets new connections; old ones end when idle."""
        pool = self.pools.get(member)
        if pool is not None and pool.address == address:
            pool.retired = False
            return
        if pool is not None:
            pool.retire()
        self.pools[member] = MemberPool(self, address)

    def retire(self, member: str) -> None:
        pool = self.pools.get(member)
        if pool is not None:
            pool.retire()

    def run(self, member: str, job: Job) -> None:
        pool = self.pools.get(member)
        if pool is None:
            job.end(Outcome.NOT_SENT)
            return
        pool.run(job)

    def give_up(self, job: Job, withdrawn: bool) -> None:
        if job.connection is not None:
            job.connection.give_up(job, withdrawn)

    def make_room(self) -> None:
        """Danger: idle connections to some members keep another from being reached at all."""
        if self.budget.members_full:
            idle = [c for pool in self.pools.values() for c in pool.idle]
            if idle:
                min(idle, key=lambda c: c.idle_us).drop()

    def sweep(self, forgets: bool) -> None:
        """Ends what has been idle long: a member closes it soon, and a request written then would be lost.
        `forgets`: members that are gone, with their last connection."""
        before = self.now() - min(self._idle_us, self.idle_timeout.limit_ms * 1000)
        for name, pool in list(self.pools.items()):
            for connection in [c for c in pool.idle if c.idle_us < before]:
                connection.drop()
            if forgets and pool.retired and not pool.open:
                del self.pools[name]  # danger: members are replaced all day; one that returns is placed anew


def later(links: MemberLinks, job: Job) -> Callable[[], None]:
    return partial(links.give_up, job, False)
