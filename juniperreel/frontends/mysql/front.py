"""The MySQL front: takes connections, and lets them finish what they have when the edge stops."""

from __future__ import annotations

import secrets
import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import count

import trio

from juniperreel.causal import Keyring
from juniperreel.frontends.mysql import answers as say
from juniperreel.frontends.mysql.classes import Classes
from juniperreel.frontends.mysql.connection import Connection
from juniperreel.mysql.auth import NONCE_BYTES, SHA2, Credential
from juniperreel.mysql.server import ServerSession
from juniperreel.net import Clock, Listener
from juniperreel.net.clock import US
from juniperreel.proxy import RequestDriver
from juniperreel.statements import StatementClassifier

LOOK_S = 0.05  # between looks at transactions that members may have ended


@dataclass(frozen=True, slots=True)
class MysqlOptions:
    """`users`: name to credential. `schema`: the members', empty where they have none."""

    users: Mapping[str, Credential]
    classes: Classes
    connections: int
    max_packet: int
    tls: ssl.SSLContext | None = None
    schema: str = ""
    login: str = SHA2  # the plugin that is offered first; clients may ask for the other


class MysqlFront:
    """Holds the connections and nothing of their statements."""

    def __init__(
        self,
        driver: RequestDriver,
        keyring: Keyring,
        clock: Clock,
        options: MysqlOptions,
        nonce: Callable[[], bytes],
    ) -> None:
        self.driver, self.keyring, self.clock, self.options = driver, keyring, clock, options
        self.reader = StatementClassifier()
        self.transactions = driver.options.mysql is not None
        self.draining = False
        self._nonce = nonce
        self._numbers = count(1)
        self._open: set[Connection] = set()
        self._started_us = clock.now_us()
        self.questions = 0
        self._rested = trio.Event()

    @property
    def connections(self) -> int:
        return len(self._open)

    def statistics(self) -> str:
        """The words of COM_STATISTICS, which clients take apart; what is not counted here is 0."""
        up = max((self.clock.now_us() - self._started_us) / US, 1e-3)
        return (
            f"Uptime: {up:.0f}  Threads: {self.connections}  Questions: {self.questions}  "
            "Slow queries: 0  Opens: 0  Flush tables: 0  Open tables: 0  "
            f"Queries per second avg: {self.questions / up:.3f}"
        )

    async def drain(self) -> None:
        """Returns when no connection has a command in hand or a transaction open. Those begin nothing
        more."""
        self.draining = True
        while any(connection.engaged for connection in self._open):
            self._rested = trio.Event()
            with trio.move_on_after(LOOK_S):
                await self._rested.wait()

    def rested(self) -> None:
        """A connection has done a command."""
        if self.draining:
            self._rested.set()

    async def serve(
        self, listener: Listener, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async with trio.open_nursery() as nursery:
            task_status.started(listener.port)
            while True:
                try:
                    stream = await listener.accept()
                except trio.ClosedResourceError:
                    return
                nursery.start_soon(self._connection, stream)

    async def _connection(self, stream: trio.abc.Stream) -> None:
        session = ServerSession(
            next(self._numbers),
            self._nonce(),
            self.options.users.get,
            self.options.max_packet,
            self.options.login,
            tls=self.options.tls is not None,
            schema=self.options.schema,
        )
        connection = Connection(self, session, stream)
        self._open.add(connection)
        try:
            if self.draining or len(self._open) > self.options.connections:
                session.error(*(say.STOPPING if self.draining else say.TOO_MANY))
                with trio.move_on_after(1):
                    await stream.send_all(session.data_to_send())
            else:
                session.start()
                await connection.run()
        except* (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass  # the client left, or reads nothing; whatever it had in hand is withdrawn
        except* Exception as group:
            # Danger: a flaw met on one connection must not end the edge and all others with it.
            self.driver.log.error("a MySQL connection failed inside", exc_info=group)
        finally:
            self._open.discard(connection)
            await trio.aclose_forcefully(stream)


def nonce() -> bytes:
    """Fresh bytes without NUL."""
    return bytes(1 + secrets.randbelow(127) for _ in range(NONCE_BYTES))
