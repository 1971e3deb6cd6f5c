"""The MySQL server of a fake endpoint: accepts and terminates connections."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import trio

from juniperreel.fakes.mysql_connection import MysqlConnection
from juniperreel.mysql.auth import NONCE_BYTES, SHA2, Credential
from juniperreel.mysql.server import ServerSession
from juniperreel.net import Listener

if TYPE_CHECKING:
    from juniperreel.fakes.endpoint import FakeEndpoint

USER = "edge"
PASSWORD = b"edge of the stand-ins"
SERVER_VERSION = b"8.0.36-standin"
MAX_PACKET = 16 << 20


class MysqlServer:
    """The MySQL connections of one endpoint's process."""

    def __init__(self, endpoint: FakeEndpoint, plugin: str = SHA2) -> None:
        self._endpoint = endpoint
        self._plugin = plugin
        self._last_number = 0
        self._scopes: dict[int, trio.CancelScope] = {}  # by connection number
        self.opened = 0
        self.prepared = 0  # total number of COM_STMT_PREPARE
        self.resets = 0  # total number of COM_RESET_CONNECTION

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._scopes)

    def connection_numbers(self) -> list[int]:
        """The numbers of the open connections."""
        return list(self._scopes)

    async def serve(self, listener: Listener) -> None:
        """Accept connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                stream = await listener.accept()
                nursery.start_soon(self._serve_connection, stream)

    def kill(self, number: int) -> None:
        """Terminate a connection, if it is open."""
        scope = self._scopes.get(number)
        if scope is not None:
            scope.cancel()

    async def _serve_connection(self, stream: trio.abc.Stream) -> None:
        self._last_number += 1
        self.opened += 1
        number = self._last_number
        nonce = bytes(1 + secrets.randbelow(127) for _ in range(NONCE_BYTES))
        users = {USER: Credential.from_password(PASSWORD)}
        session = ServerSession(number, nonce, users.get, MAX_PACKET, self._plugin, version=SERVER_VERSION)
        connection = MysqlConnection(self._endpoint, self, session, stream)
        with trio.CancelScope() as self._scopes[number]:
            try:
                await connection.run()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            finally:
                connection.engine.reset()
                self._scopes.pop(number, None)
                await trio.aclose_forcefully(stream)
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)
