"""Clients' connections: commands in, answers out, in order. One command of a connection is in hand at a time.

Hostile bytes are turned away here, with an error or an end; what a request means and where it goes is not
known here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from juniperreel.net.poll import CHUNK, Wire
from juniperreel.platform.budget import Budget
from juniperreel.postgres import server
from juniperreel.postgres.form import Form, FormError, parse
from juniperreel.postgres.messages import ProtocolError

SILENT_US = 2_000_000  # a connection that has asked nothing by then ends, as does a command that is not whole
SPARE_US = 2_000_000  # one without an open request may be closed after this, where descriptors run short
IDLE_US = 60_000_000
LINGER_US = 300_000  # last words have this long to be read
HELD_LIMIT = server.QUERY_LIMIT + CHUNK  # bytes that wait behind a command in hand
UNREAD_LIMIT = 1 << 20  # bytes of answers that a client does not read


class Spurned(Exception):
    """The request is not taken, for a fault of its own."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class Takes(Protocol):
    def take(self, client: Client, form: Form) -> None:
        """Raises Spurned; else the answer comes by `client.answer`."""
        ...

    def gone(self, client: Client) -> None:
        """The client of an open request has left."""
        ...


class Client:
    """One client's connection. A peer of its wire."""

    def __init__(self, front: Front, wire: Wire, now: int) -> None:
        self._front, self._wire = front, wire
        self._talk = server.ServerConnection()
        self.request: str | None = None  # in hand
        self.asked = 0
        self.since_us = now  # of its last command's end, or of its coming
        self.partial_us = 0  # since when a command that is not whole has waited
        self.last_words_us = 0
        wire.peer = self

    def connected(self) -> None:
        pass

    def received(self, data: bytes) -> None:
        self._talk.feed(data)
        self._pump()

    def _pump(self) -> None:
        while self.request is None and not self._wire.closed and not self.last_words_us:
            try:
                query = self._talk.next()
            except ProtocolError as error:
                self._flush()
                self.farewell(error.code, str(error))
                return
            self._flush()
            if query is None:
                if self._talk.phase is server.Phase.OVER:
                    self._front.drop(self)
                    return
                now = self._front.now()
                self.partial_us = (self.partial_us or now) if self._talk.held else 0
                break
            self.partial_us = 0
            self._command(query.text)
        if self._talk.held > HELD_LIMIT:
            self._wire.pause()

    def _command(self, text: bytes) -> None:
        self.asked += 1
        self._front.asks(self)
        if not text.strip(b" \t\r\n;"):
            self._reply(server.empty())
            return
        try:
            self._front.driver.take(self, parse(text))
        except FormError as error:
            self._reply(server.failed("42601", str(error)))
        except Spurned as error:
            self._reply(server.failed(error.code, str(error)))

    def _flush(self) -> None:
        if self._talk.out:
            out, self._talk.out = self._talk.out, bytearray()
            self._wire.write(out)

    def _reply(self, data: bytes) -> None:
        self._wire.write(data)
        self.since_us = self._front.now()
        if self._wire.pending > UNREAD_LIMIT:
            self._front.drop(self)
        else:
            self._front.rests(self)

    def answer(self, data: bytes) -> None:
        """The final answer of the request in hand."""
        self.request = None
        if self._wire.closed:
            return
        self._reply(data)
        if self._front.closing and not self._talk.held:
            self._front.drop(self)
            return
        self._wire.resume()
        self._pump()

    def farewell(self, code: str, text: str) -> None:
        self._wire.write(server.farewell(code, text))
        self.last_words_us = self._front.now()
        self._wire.finish()
        if self._wire.closed:
            self._front.drop(self)

    def ended(self, why: str) -> None:
        self._front.drop(self)

    def close(self) -> None:
        self._wire.close()

    @property
    def idle(self) -> bool:
        """No command is in hand, and nothing waits to be read."""
        return self.request is None and not self._talk.held and self._wire.quiet()


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
            self.budget.asking -= client.asked > 0
            self._resting.pop(client, None)
            client.close()
            if client.request is not None:
                self.driver.gone(client)

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
                self.drop(longest)

    def _spare(self, now: int) -> bool:
        """Ends the connection that will be missed least: one that never asked, else the longest idle."""
        idle = [c for c in self.clients if c.request is None]
        idle = [c for c in idle if not c.asked or now - c.since_us > SPARE_US]
        if not idle:
            return False
        self.drop(min(idle, key=lambda c: (c.asked > 0, c.since_us)))
        return True

    def sweep(self) -> None:
        now = self.now()
        for c in list(self.clients):
            if c.last_words_us:
                if now - c.last_words_us > LINGER_US:
                    self.drop(c)
            elif c.request is not None:
                continue
            elif c.partial_us and now - c.partial_us > SILENT_US:
                c.farewell("08P01", "a command does not end")
            elif not c.asked and now - c.since_us > SILENT_US:
                c.farewell("57P05", "nothing was asked")
            elif now - c.since_us > (SPARE_US if self.budget.clients_tight else IDLE_US) and c.idle:
                self.drop(c)

    def close_idle(self) -> None:
        for c in list(self.clients):
            if c.last_words_us or c.idle:
                self.drop(c)
