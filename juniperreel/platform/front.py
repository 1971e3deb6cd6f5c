"""Clients' connections: commands in, answers out, in order. Commands of one connection are in hand side by
side, as far as they don't touch the same key.

Hostile bytes are turned away here, with an error or an end; what a request means and where it goes is not
known here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from juniperreel.net.poll import CHUNK, Wire
from juniperreel.platform.budget import Budget
from juniperreel.postgres import server
from juniperreel.postgres.messages import ProtocolError
from juniperreel.postgres.request_format import RequestFormatError, StatementRequest, parse_request

SILENT_US = 2_000_000  # a connection that has asked nothing by then ends, as does a command that is not whole
SPARE_US = 2_000_000  # one without an open request may be closed after this, where descriptors run short
IDLE_US = 60_000_000
LINGER_US = 300_000  # a connection that we end is read on for so long: the other side ends it mostly sooner
PIPELINE = 64  # commands of one connection in hand at a time; the next ones wait unread
HELD_LIMIT = server.QUERY_LIMIT + CHUNK  # bytes that wait behind them
UNREAD_LIMIT = 1 << 20  # bytes of answers that a client does not read


class InvalidRequest(Exception):
    """The request is not taken, for a fault of its own."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Command:
    """One command of a client's, from its last byte to its answer."""

    __slots__ = ("answer", "arrived_us", "client", "form", "request")

    def __init__(
        self, client: Client, arrived_us: int, form: StatementRequest | None, answer: bytes | None
    ) -> None:
        self.client, self.arrived_us, self.form, self.answer = client, arrived_us, form, answer
        self.request: str | None = None  # in the driver's hands

    def finish(self, answer: bytes) -> None:
        """The final answer."""
        self.request, self.answer = None, answer
        self.client.advance()

    def awaits(self, other: Command) -> bool:
        """Danger: a read sent behind a write of its key, on one connection, expects to see it; a write sent
        behind a read expects not to be seen by it."""
        if self.form is None or other.form is None or other.answer is not None:
            return False
        return self.form.key == other.form.key and (self.form.is_write or other.form.is_write)


class Takes(Protocol):
    arrived_us: int  # since when what is read now may have waited

    def take(self, command: Command, form: StatementRequest) -> None:
        """Raises InvalidRequest; else the answer comes by `command.finish`."""
        ...

    def gone(self, command: Command) -> None:
        """The client of an open request has left."""
        ...


class Client:
    """One client's connection. A peer of its wire."""

    gone_at_end = True

    def __init__(self, front: Front, wire: Wire, now: int) -> None:
        self._front, self._wire = front, wire
        self._talk = server.ServerConnection()
        self.commands: deque[Command] = deque()  # not answered yet, or behind such a one
        self._fault: ProtocolError | None = None  # what was read last can't be understood
        self._advancing = False
        self.asked = 0
        self.since_us = now  # of its last command's end, or of its coming
        self.partial_us = 0  # since when a command that is not whole has waited
        self.ending_us = 0  # since when we end it
        wire.peer = self

    def connected(self) -> None:
        pass

    def received(self, data: bytes) -> None:
        self._talk.receive_data(data)
        self.advance()

    def advance(self) -> None:
        """Read commands, begin what may begin, and give out what is answered."""
        if self._advancing:
            return
        self._advancing = going = True
        try:
            while going and not self._wire.closed and not self.ending_us:
                self._read()
                self._begin()
                going = self._deliver()
        finally:
            self._advancing = False

    def _read(self) -> None:
        query: server.Query | None = None
        while (
            self._fault is None
            and len(self.commands) < PIPELINE
            and self._talk.phase is not server.Phase.CLOSED
        ):
            try:
                query = self._talk.next_query()
            except ProtocolError as error:
                self._fault = error
                self._wire.pause()
            if query is None or self._fault is not None:
                break
            self.asked += 1
            self.partial_us = 0
            self._front.asks(self)
            self.commands.append(self._command(query.text))
        if self._talk.outgoing:
            out, self._talk.outgoing = self._talk.outgoing, bytearray()
            self._wire.write(out)
        whole = len(self.commands) == PIPELINE or not self._talk.buffered
        self.partial_us = 0 if whole else self.partial_us or self._front.now()
        if self._talk.buffered > HELD_LIMIT:
            self._wire.pause()

    def _command(self, text: bytes) -> Command:
        arrived_us = self._front.driver.arrived_us
        if not text.strip(b" \t\r\n;"):
            return Command(self, arrived_us, None, server.empty_query_response())
        try:
            return Command(self, arrived_us, parse_request(text), None)
        except RequestFormatError as error:
            return Command(self, arrived_us, None, server.failed("42601", str(error)))

    def _begin(self) -> None:
        before: list[Command] = []
        for command in self.commands:
            if command.form is not None and command.answer is None:
                if command.request is None and not any(command.awaits(other) for other in before):
                    try:
                        self._front.driver.take(command, command.form)
                    except InvalidRequest as error:
                        command.answer = server.failed(error.code, str(error))
                        continue
                before.append(command)

    def _deliver(self) -> bool:
        """Whether there may be more to do."""
        answers = bytearray()
        while self.commands and self.commands[0].answer is not None:
            answers += self.commands.popleft().answer or b""
        if answers:
            self._wire.write(answers)
            self.since_us = self._front.now()
            if self._wire.pending > UNREAD_LIMIT:
                self._front.drop(self)
                return False
        if not self.commands:
            if self._fault is not None:
                self.fatal(self._fault.sqlstate, str(self._fault))
                return False
            if self._talk.phase is server.Phase.CLOSED or (
                answers and self._front.closing and not self._talk.buffered
            ):
                self._front.end(self)
                return False
            if answers:
                self._front.rests(self)
        # Danger: of a command that is half here the rest may be on its way; it counts as taken.
        if answers and self._fault is None and (self._talk.buffered or not self._front.closing):
            self._wire.resume()
        return bool(answers) and bool(self._talk.buffered)

    def fatal(self, code: str, text: str) -> None:
        """An error after which the connection ends."""
        self._wire.write(server.fatal(code, text))
        self._front.end(self)

    def ended(self, why: str) -> None:
        self._front.drop(self)

    def close(self) -> None:
        self._wire.close()

    def pause(self) -> None:
        self._wire.pause()

    def finish(self, now: int) -> bool:
        """End the connection in order; False where it is over already."""
        self.ending_us = self.ending_us or now
        self._wire.finish()
        return not self._wire.closed

    def lingered(self, now: int) -> bool:
        """Whether its end has been waited for long enough. An answer that is only half out has longer."""
        return now - self.ending_us > (SILENT_US if self._wire.pending else LINGER_US)

    @property
    def idle(self) -> bool:
        """No command is in hand, nothing waits to be read, and every answer is out."""
        return not self.commands and not self._talk.buffered and not self._wire.pending and self._wire.quiet()


class Front:
    """All clients of one driver."""

    def __init__(self, driver: Takes, now: Callable[[], int], budget: Budget) -> None:
        self.driver, self.now, self.budget = driver, now, budget
        self.clients: set[Client] = set()
        self.closing = False  # connections end with the answer in hand
        self._resting: dict[Client, None] = {}  # have asked and been answered, longest ago first

    def welcome(self, wire: Wire) -> None:
        now = self.now()
        if self.budget.clients_full and not self._spare(now):
            wire.close()
            return
        self.clients.add(Client(self, wire, now))
        self.budget.clients += 1

    def drop(self, client: Client) -> None:
        if client in self.clients:
            self.clients.discard(client)
            self.budget.clients -= 1
            if client.ending_us:
                self.budget.ending -= 1
            else:
                self.budget.asking -= client.asked > 0
            self._resting.pop(client, None)
            client.close()
            for command in client.commands:
                if command.request is not None:
                    self.driver.gone(command)

    def end(self, client: Client) -> None:
        """In order: its descriptor is free once the other side has ended, too. Danger: where one is too many,
        all that rest would be ended for it, were it counted among those that stay until then."""
        self._resting.pop(client, None)
        if not client.ending_us:
            self.budget.asking -= client.asked > 0
            self.budget.ending += 1
        if not client.finish(self.now()):
            self.drop(client)

    def asks(self, client: Client) -> None:
        """A command has come."""
        self.budget.asking += client.asked == 1
        self._resting.pop(client, None)

    def rests(self, client: Client) -> None:
        """Its command is answered. Danger: clients that ask once and keep their connection for good fill
        all that the operators' front opens to a driver; the next ones are turned away there, unseen here."""
        self._resting[client] = None
        while self.budget.asking_full and self._resting:
            longest = next(iter(self._resting))
            del self._resting[longest]
            if longest is not client and longest.idle:
                self.end(longest)

    def _spare(self, now: int) -> bool:
        """Ends the connection that will be missed least: one that is ending, or never asked, else the longest
        idle. At once, as its descriptor is wanted now."""
        spare = [c for c in self.clients if not c.commands]
        spare = [c for c in spare if c.ending_us or not c.asked or now - c.since_us > SPARE_US]
        spare.sort(key=lambda c: (not c.ending_us, c.asked > 0, c.since_us))
        for client in spare:
            if client.ending_us or not client.asked or client.idle:
                self.drop(client)
                return True
        return False

    def sweep(self) -> None:
        now = self.now()
        for c in list(self.clients):
            if c.ending_us:
                if c.lingered(now):
                    self.drop(c)
            elif c.commands:
                continue
            elif c.partial_us and now - c.partial_us > SILENT_US:
                c.fatal("08P01", "a command does not end")
            elif not c.asked and now - c.since_us > SILENT_US:
                c.fatal("57P05", "nothing was asked")
            elif now - c.since_us > (SPARE_US if self.budget.clients_tight else IDLE_US) and c.idle:
                self.end(c)

    def close_idle(self) -> None:
        """From now on connections end with the answers in hand. Danger: one that always has a command
        in hand would never end, and the kill would find one unanswered: it is read no further, and what its
        client sends meanwhile crosses the end of the connection, unread."""
        self.closing = True
        for c in list(self.clients):
            if c.commands:
                c.pause()
            elif not c.ending_us and c.idle:
                self.end(c)
