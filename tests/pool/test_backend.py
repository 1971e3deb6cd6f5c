"""One connection to a member by its own: TLS, logins that fail, servers that break off, and members that
stall."""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import trio
import trustme

from juniperreel.mysql.auth import NATIVE, SHA2, Credential
from juniperreel.mysql.columns import Column
from juniperreel.mysql.constants import CommandCode
from juniperreel.mysql.packets import encode_packets
from juniperreel.mysql.replies import Err
from juniperreel.mysql.server import Command, Event, ServerSession, StartTls, State
from juniperreel.net import ConnectError, Refused, Silent, TcpNetwork
from juniperreel.pool.backend import Backend, Login, Lost, NotLetIn, TooLong
from juniperreel.pool.result import Result, Statement

LOGIN = Login("edge", b"secret", held=10_000)
NONCE = bytes(range(1, 21))
SEC = 1_000_000
Serve = Callable[[ServerSession, trio.abc.Stream, Command], Awaitable[list[Event] | None]]


async def answers(session: ServerSession, stream: trio.abc.Stream, command: Command) -> list[Event] | None:
    """None ends the connection."""
    text = command.payload
    if command.kind == CommandCode.STMT_PREPARE:
        return session.prepared(5, text.count(b"?"))
    if command.kind == CommandCode.STMT_EXECUTE:
        return session.error(1243, "HY000", "unknown")
    if command.kind == CommandCode.STMT_CLOSE:
        return session.no_response()
    if text == b"dies":
        return None
    if text == b"hangs":
        await trio.sleep_forever()
    if text.startswith(b"rows"):
        return session.result([Column("a", 253)], [["x" * 100]] * int(text[4:]))
    return session.ok(len(text))


async def server(
    nursery: trio.Nursery, serve: Serve = answers, plugin: str = SHA2, tls: ssl.SSLContext | None = None
) -> int:
    """Its port."""

    async def one(stream: trio.abc.Stream) -> None:
        users = {"edge": Credential.from_password(b"secret")}
        session = ServerSession(3, NONCE, users.get, 1 << 20, plugin, tls is not None)
        session.start()
        todo: list[Event] = []
        while True:
            await stream.send_all(session.data_to_send())
            if session.state is State.CLOSED:
                return
            if not todo:
                data = await stream.receive_some(65536)
                if not data:
                    return
                todo = session.receive(bytes(data))
                continue
            event = todo.pop(0)
            if isinstance(event, StartTls):
                assert tls is not None
                stream = trio.SSLStream(stream, tls, server_side=True)
            elif isinstance(event, Command):
                more = await serve(session, stream, event)
                if more is None:
                    return
                todo += more

    async def guarded(stream: trio.SocketStream) -> None:
        try:
            await one(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    listeners = await nursery.start(trio.serve_tcp, guarded, 0)
    port: int = listeners[0].socket.getsockname()[1]
    return port


async def opened(nursery: trio.Nursery, port: int, login: Login = LOGIN) -> Backend:
    backend = await Backend.open(TcpNetwork(), "127.0.0.1", port, login, 5 * SEC)
    nursery.start_soon(backend.run)
    return backend


@pytest.mark.parametrize("plugin", [SHA2, NATIVE])
async def test_tls_is_checked_against_its_authority(nursery: trio.Nursery, plugin: str) -> None:
    authority, other = trustme.CA(), trustme.CA()
    inside = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(inside)
    port = await server(nursery, plugin=plugin, tls=inside)
    context = ssl.create_default_context()
    authority.configure_trust(context)
    backend = await opened(nursery, port, replace(LOGIN, tls=context))
    (result,) = await backend.exchange([Statement(b"rows3")])
    assert isinstance(result, Result) and len(result.rows) == 3
    strangers = ssl.create_default_context()
    other.configure_trust(strangers)
    with pytest.raises(ConnectError):
        await Backend.open(TcpNetwork(), "127.0.0.1", port, replace(LOGIN, tls=strangers), 5 * SEC)
    with pytest.raises(NotLetIn):
        await Backend.open(
            TcpNetwork(), "127.0.0.1", await server(nursery), replace(LOGIN, tls=context), 5 * SEC
        )


async def test_who_is_not_let_in_is_told_why(nursery: trio.Nursery) -> None:
    port = await server(nursery)
    with pytest.raises(NotLetIn) as refused:
        await Backend.open(TcpNetwork(), "127.0.0.1", port, replace(LOGIN, password=b"wrong"), 5 * SEC)
    assert refused.value.code == 1045

    listener = await TcpNetwork().listen("127.0.0.1", 0)  # connections come about, and nobody says anything
    port = listener.port
    with pytest.raises(Silent):
        await Backend.open(TcpNetwork(), "127.0.0.1", port, LOGIN, 100_000)
    await listener.aclose()
    with pytest.raises(Refused):
        await Backend.open(TcpNetwork(), "127.0.0.1", port, LOGIN, 5 * SEC)


async def test_what_breaks_off_says_whether_it_was_sent(nursery: trio.Nursery) -> None:
    backend = await opened(nursery, await server(nursery))
    answers_ = await backend.exchange([Statement(b"one"), Statement(b"three"), Statement(b"rows2")])
    assert [a.ok.affected for a in answers_[:2] if isinstance(a, Result)] == [3, 5]
    with pytest.raises(Lost) as lost:
        await backend.exchange([Statement(b"dies")])
    assert lost.value.sent
    with pytest.raises(Lost) as lost:
        await backend.exchange([Statement(b"one")])
    assert not lost.value.sent, "the connection was known to be over"


async def test_a_cancelled_exchange_closes_the_connection(nursery: trio.Nursery) -> None:
    backend = await opened(nursery, await server(nursery))
    with trio.move_on_after(0.05):
        await backend.exchange([Statement(b"hangs"), Statement(b"one")])
    assert backend.why == "closed here"


async def test_long_answers_are_cut_or_passed_on(nursery: trio.Nursery) -> None:
    port = await server(nursery)
    backend = await opened(nursery, port)
    with pytest.raises(TooLong):
        await backend.exchange([Statement(b"rows1000")])
    assert backend.why
    backend = await opened(nursery, port)
    (result,) = await backend.exchange([Statement(b"rows5000")], stream=True)
    assert isinstance(result, Result) and result.rest is not None
    count = len(result.rows)
    while rows := await result.rest.more():
        count += len(rows)
    assert count == 5000 and backend._held == 0 and not backend.why
    (result,) = await backend.exchange([Statement(b"rows5000")], stream=True)
    assert isinstance(result, Result) and result.rest is not None
    result.rest.close()
    assert backend.why, "what is still to come can't be told from the next answer"


async def test_a_text_that_a_server_forgot_is_prepared_again(nursery: trio.Nursery) -> None:
    backend = await opened(nursery, await server(nursery))
    statement = Statement(b"select ?", ["a"])
    for _ in range(2):
        (answer,) = await backend.exchange([statement])
        assert isinstance(answer, Err) and answer.code == 1243
        assert len(backend.statements) == 0
    (answer,) = await backend.exchange([Statement(b"select ?, ?", ["a"])])
    assert isinstance(answer, Err) and answer.code == 1210


async def test_a_server_that_speaks_unasked_ends_the_connection(nursery: trio.Nursery) -> None:
    async def twice(session: ServerSession, stream: trio.abc.Stream, command: Command) -> list[Event]:
        more = session.ok()
        await stream.send_all(session.data_to_send() + encode_packets(b"\0\0\0\0\0\0\0", 1).data)
        return more

    backend = await opened(nursery, await server(nursery, twice))
    with trio.fail_after(10):
        await backend.exchange([Statement(b"one")])
        while not backend.why:
            await trio.sleep(0.01)
    with pytest.raises(Lost):
        await backend.exchange([Statement(b"one")])
