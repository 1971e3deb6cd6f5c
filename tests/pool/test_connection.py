"""Tests of a single backend connection: TLS, rejected logins, servers that close or stall, long results."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace

import pytest
import trio
import trustme

from juniperreel.mysql.auth import NATIVE, SHA2, Credential
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import CommandCode
from juniperreel.mysql.packets import encode_packets
from juniperreel.mysql.replies import Err
from juniperreel.mysql.rows import encode_text_row
from juniperreel.mysql.server import Command, Event, ServerSession, StartTls, State
from juniperreel.net import ConnectError, ConnectRefusedError, ConnectTimedOutError, TcpNetwork
from juniperreel.pool.config import BackendConfig
from juniperreel.pool.connection import CLOSED_LOCALLY, BackendConnection
from juniperreel.pool.errors import ConnectionLostError, LoginRejectedError, ResultTooLargeError
from juniperreel.pool.result import Result, Statement

CONFIG = BackendConfig("edge", b"secret", max_result_bytes=10_000)
NONCE = bytes(range(1, 21))
SECOND_US = 1_000_000
Serve = Callable[[ServerSession, trio.abc.Stream, Command], Awaitable[list[Event] | None]]


async def respond(session: ServerSession, _stream: trio.abc.Stream, command: Command) -> list[Event] | None:
    """Handle a command; a result of None closes the connection."""
    text = command.payload
    if command.kind == CommandCode.STMT_PREPARE:
        return session.prepared(5, text.count(b"?"))
    if command.kind == CommandCode.STMT_EXECUTE:
        return session.error(1243, "HY000", "unknown")
    if command.kind == CommandCode.STMT_CLOSE:
        return session.no_response()
    if text == b"close":
        return None
    if text == b"stall":
        await trio.sleep_forever()
    if text.startswith(b"rows"):
        return session.result([Column("a", 253)], [["x" * 100]] * int(text[4:]))
    return session.ok(len(text))


async def serve_client(
    stream: trio.abc.Stream, serve: Serve, plugin: str, tls: ssl.SSLContext | None
) -> None:
    """Run the server side of a connection until either side closes it."""
    users = {"edge": Credential.from_password(b"secret")}
    session = ServerSession(3, NONCE, users.get, 1 << 20, plugin, tls is not None)
    session.start()
    pending: list[Event] = []
    while True:
        await stream.send_all(session.data_to_send())
        if session.state is State.CLOSED:
            return
        if not pending:
            data = await stream.receive_some(65536)
            if not data:
                return
            pending = session.receive(bytes(data))
            continue
        event = pending.pop(0)
        if isinstance(event, StartTls):
            assert tls is not None
            stream = trio.SSLStream(stream, tls, server_side=True)
        elif isinstance(event, Command):
            events = await serve(session, stream, event)
            if events is None:
                return
            pending += events


async def start_server(
    nursery: trio.Nursery, serve: Serve = respond, plugin: str = SHA2, tls: ssl.SSLContext | None = None
) -> int:
    """Start a server on the loopback interface and return its port."""

    async def handle(stream: trio.SocketStream) -> None:
        try:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await serve_client(stream, serve, plugin, tls)
        finally:
            await trio.aclose_forcefully(stream)

    listeners = await nursery.start(trio.serve_tcp, handle, 0)
    port: int = listeners[0].socket.getsockname()[1]
    return port


async def open_connection(
    nursery: trio.Nursery, port: int, config: BackendConfig = CONFIG
) -> BackendConnection:
    connection = await BackendConnection.open(TcpNetwork(), "127.0.0.1", port, config, 5 * SECOND_US)
    nursery.start_soon(connection.run)
    return connection


@pytest.mark.parametrize("plugin", [SHA2, NATIVE])
async def test_tls_certificate_of_an_untrusted_authority_is_rejected(
    nursery: trio.Nursery, plugin: str
) -> None:
    authority = trustme.CA()
    other_authority = trustme.CA()
    server_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(server_context)
    port = await start_server(nursery, plugin=plugin, tls=server_context)
    context = ssl.create_default_context()
    authority.configure_trust(context)
    connection = await open_connection(nursery, port, replace(CONFIG, tls=context))
    (result,) = await connection.exchange([Statement(b"rows3")])
    assert isinstance(result, Result)
    assert len(result.rows) == 3
    untrusting_context = ssl.create_default_context()
    other_authority.configure_trust(untrusting_context)
    with pytest.raises(ConnectError):
        await BackendConnection.open(
            TcpNetwork(), "127.0.0.1", port, replace(CONFIG, tls=untrusting_context), 5 * SECOND_US
        )
    with pytest.raises(LoginRejectedError):
        await BackendConnection.open(
            TcpNetwork(),
            "127.0.0.1",
            await start_server(nursery),
            replace(CONFIG, tls=context),
            5 * SECOND_US,
        )


async def test_failed_open_raises_the_cause(nursery: trio.Nursery) -> None:
    port = await start_server(nursery)
    with pytest.raises(LoginRejectedError) as rejected:
        await BackendConnection.open(
            TcpNetwork(), "127.0.0.1", port, replace(CONFIG, password=b"wrong"), 5 * SECOND_US
        )
    assert rejected.value.code == 1045

    listener = await TcpNetwork().listen("127.0.0.1", 0)  # accepts connections and sends nothing
    port = listener.port
    with pytest.raises(ConnectTimedOutError, match="accepted no login: timed out"):
        await BackendConnection.open(TcpNetwork(), "127.0.0.1", port, CONFIG, 100_000)
    await listener.aclose()
    with pytest.raises(ConnectRefusedError):
        await BackendConnection.open(TcpNetwork(), "127.0.0.1", port, CONFIG, 5 * SECOND_US)


async def test_lost_connection_says_whether_the_statement_was_sent(nursery: trio.Nursery) -> None:
    connection = await open_connection(nursery, await start_server(nursery))
    responses = await connection.exchange([Statement(b"one"), Statement(b"three"), Statement(b"rows2")])
    assert [a.ok.affected for a in responses[:2] if isinstance(a, Result)] == [3, 5]
    with pytest.raises(ConnectionLostError) as lost:
        await connection.exchange([Statement(b"close")])
    assert lost.value.sent
    with pytest.raises(ConnectionLostError) as lost:
        await connection.exchange([Statement(b"one")])
    assert not lost.value.sent, "the connection was already closed"


async def test_cancelled_exchange_closes_the_connection(nursery: trio.Nursery) -> None:
    connection = await open_connection(nursery, await start_server(nursery))
    with trio.move_on_after(0.05):
        await connection.exchange([Statement(b"stall"), Statement(b"one")])
    assert connection.close_reason == CLOSED_LOCALLY


async def test_long_result_raises_unless_it_is_streamed(nursery: trio.Nursery) -> None:
    port = await start_server(nursery)
    connection = await open_connection(nursery, port)
    with pytest.raises(ResultTooLargeError):
        await connection.exchange([Statement(b"rows1000")])
    assert connection.close_reason
    connection = await open_connection(nursery, port)
    (result,) = await connection.exchange([Statement(b"rows5000")], stream=True)
    assert isinstance(result, Result)
    assert result.remaining_rows is not None
    count = len(result.rows)
    while rows := await result.remaining_rows.next_rows():
        count += len(rows)
    assert count == 5000
    assert connection._buffered_row_bytes == 0
    assert not connection.close_reason
    (result,) = await connection.exchange([Statement(b"rows5000")], stream=True)
    assert isinstance(result, Result)
    assert result.remaining_rows is not None
    result.remaining_rows.close()
    assert connection.close_reason, "the remaining rows would be read as the next response"


async def test_first_part_of_a_streamed_result_is_returned_before_the_rest(nursery: trio.Nursery) -> None:
    """Guards against long results that time out although their rows arrive continuously."""

    async def respond_partially(
        session: ServerSession, stream: trio.abc.Stream, _command: Command
    ) -> list[Event]:
        session.begin_result([Column("a", 253)])
        session.rows(encode_text_row(["x" * 100]) for _ in range(5000))
        await stream.send_all(session.data_to_send())
        await trio.sleep_forever()
        raise AssertionError

    config = replace(CONFIG, max_result_bytes=1 << 30)
    port = await start_server(nursery, respond_partially)
    connection = await open_connection(nursery, port, config)
    with trio.fail_after(10):
        (result,) = await connection.exchange([Statement(b"rows")], stream=True)
    assert isinstance(result, Result)
    assert result.rows
    assert result.remaining_rows is not None
    result.remaining_rows.close()


async def test_statement_unknown_to_the_server_is_prepared_again(nursery: trio.Nursery) -> None:
    connection = await open_connection(nursery, await start_server(nursery))
    statement = Statement(b"select ?", ["a"])
    for _ in range(2):
        (response,) = await connection.exchange([statement])
        assert isinstance(response, Err)
        assert response.code == 1243
        assert len(connection.prepared_statements) == 0
    (response,) = await connection.exchange([Statement(b"select ?, ?", ["a"])])
    assert isinstance(response, Err)
    assert response.code == 1210


async def test_data_without_a_request_closes_the_connection(nursery: trio.Nursery) -> None:
    async def respond_twice(
        session: ServerSession, stream: trio.abc.Stream, _command: Command
    ) -> list[Event]:
        more = session.ok()
        await stream.send_all(session.data_to_send() + encode_packets(b"\0\0\0\0\0\0\0", 1)[0])
        return more

    connection = await open_connection(nursery, await start_server(nursery, respond_twice))
    with trio.fail_after(10):
        await connection.exchange([Statement(b"one")])
        while not connection.close_reason:
            await trio.sleep(0.01)
    with pytest.raises(ConnectionLostError):
        await connection.exchange([Statement(b"one")])
