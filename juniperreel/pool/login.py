"""Authentication to a MySQL server, with TLS if configured."""

from __future__ import annotations

import ssl

import trio

from juniperreel.mysql import client_events as client
from juniperreel.mysql.client import ClientSession
from juniperreel.net import ConnectTimedOutError
from juniperreel.pool.errors import LoginRejectedError

READ_BYTES = 64 << 10


async def log_in(
    stream: trio.abc.Stream, session: ClientSession, host: str, tls: ssl.SSLContext | None
) -> trio.abc.Stream:
    """Log in on a new connection and return the stream to use afterwards, which is the TLS stream if any.

    Raises:
        ConnectError: The server rejected the login, or closed the connection.
        trio.BrokenResourceError: The connection broke.
    """
    while True:
        data = await stream.receive_some(READ_BYTES)
        if not data:
            raise ConnectTimedOutError(f"{host} closed the connection during the login")
        for event in session.receive(data):
            match event:
                case client.Ready():
                    return stream
                case client.ConnectionBroken(reason, code):
                    raise LoginRejectedError(f"{host}: {reason}", code)
                case client.StartTls():
                    await stream.send_all(session.data_to_send())
                    assert tls is not None
                    stream = trio.SSLStream(stream, tls, server_hostname=host)
                    await stream.do_handshake()
                    session.on_tls_established()
        pending = session.data_to_send()
        if pending:
            await stream.send_all(pending)
