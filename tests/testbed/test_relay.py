"""Links between processes: carried whole, cut silently in one or both directions, slowed, reset, refused."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import trio.testing

from juniperreel.fakes.script import parse
from juniperreel.net import ConnectError, TcpNetwork
from juniperreel.testbed import relay
from juniperreel.testbed.platformfleet import PlatformTrial
from juniperreel.testbed.relay import Links, Relay, to_port
from juniperreel.verification import records as rec

SECONDS = 60


class Echo:
    """Answers every byte in capitals; `heard` is what came."""

    def __init__(self) -> None:
        self.heard = b""
        self.port = 0
        self.ended = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        self.port = listener.port
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                nursery.start_soon(self._serve, await listener.accept())

    async def _serve(self, stream: trio.abc.Stream) -> None:
        try:
            while data := await stream.receive_some(4096):
                self.heard += bytes(data)
                await stream.send_all(bytes(data).upper())
        except trio.BrokenResourceError:
            pass
        finally:
            self.ended += 1


class Wired:
    def __init__(
        self, echo: Echo, relay: Relay, stream: trio.abc.Stream, asked: list[Callable[[], bool]]
    ) -> None:
        self.echo, self.relay, self.stream = echo, relay, stream
        self.asked = asked  # of each connection, whether it is given up

    async def hear(self, wanted: bytes) -> None:
        got = b""
        while got != wanted:
            data = bytes(await self.stream.receive_some(4096))
            assert data and wanted.startswith(got + data)
            got += data

    async def until(self, wanted: bytes) -> None:
        while self.echo.heard != wanted:
            await trio.sleep(0.005)


@asynccontextmanager
async def wired(seed: int = 1) -> AsyncIterator[Wired]:
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            echo = Echo()
            await nursery.start(echo.run)
            asked: list[Callable[[], bool]] = []

            async def dial(given_up: Callable[[], bool]) -> trio.abc.Stream:
                asked.append(given_up)
                return await to_port(TcpNetwork(), echo.port)(given_up)

            relay = Relay(TcpNetwork(), dial, seed)
            await nursery.start(relay.run)
            stream = await TcpNetwork().connect("127.0.0.1", relay.port, 5_000_000)
            yield Wired(echo, relay, stream, asked)
            nursery.cancel_scope.cancel()


async def test_bytes_pass_in_order_whatever_the_delay() -> None:
    async with wired() as w:
        w.relay.there.delay_us, w.relay.there.jitter_us = 2_000, 20_000
        text = b"".join(b"%d " % i for i in range(3000))
        for at in range(0, len(text), 500):
            await w.stream.send_all(text[at : at + 500])
        await w.hear(text.upper())
        assert w.relay.there.carried == w.relay.back.carried == len(text)


async def test_a_cut_is_silent_and_what_was_on_its_way_arrives_when_it_heals() -> None:
    async with wired() as w:
        await w.stream.send_all(b"a")
        await w.hear(b"A")
        w.relay.cut()
        await w.stream.send_all(b"b")
        with trio.move_on_after(0.2) as waited:
            await w.hear(b"B")
        assert waited.cancelled_caught and w.echo.heard == b"a"
        w.relay.heal()
        await w.hear(b"B")


async def test_a_deaf_end_is_heard_but_does_not_hear() -> None:
    async with wired() as w:
        w.relay.cut(there=False)
        await w.stream.send_all(b"a")
        await w.until(b"a")
        with trio.move_on_after(0.2) as waited:
            await w.hear(b"A")
        assert waited.cancelled_caught
        w.relay.heal()
        await w.hear(b"A")


async def test_that_an_end_has_left_is_not_heard_through_a_cut() -> None:
    async with wired() as w:
        await w.stream.send_all(b"a")
        await w.hear(b"A")
        w.relay.cut()
        await w.stream.aclose()
        with trio.move_on_after(0.2):
            while not w.echo.ended:
                await trio.sleep(0.005)
        assert not w.echo.ended
        w.relay.heal()
        while not w.echo.ended:
            await trio.sleep(0.005)


async def test_what_its_sender_gave_up_during_a_cut_never_arrives() -> None:
    async with wired() as w:
        await w.stream.send_all(b"a")
        await w.hear(b"A")
        w.relay.cut()
        await w.stream.send_all(b"b")
        await w.stream.aclose()
        await trio.testing.wait_all_tasks_blocked(0.1)  # until the relay has read both
        w.relay.heal()
        while w.relay.connections:
            await trio.testing.wait_all_tasks_blocked()
        assert w.echo.heard == b"a"


async def test_a_new_connection_through_a_cut_comes_up_and_says_nothing() -> None:
    async with wired() as w:
        w.relay.cut()
        other = await TcpNetwork().connect("127.0.0.1", w.relay.port, 5_000_000)
        await other.send_all(b"x")
        with trio.move_on_after(0.2) as waited:
            await other.receive_some(1)
        assert waited.cancelled_caught and w.echo.heard == b""
        w.relay.heal()
        assert await other.receive_some(1) == b"X"


async def test_a_reset_is_told_to_both_ends() -> None:
    async with wired() as w:
        await w.stream.send_all(b"a")
        await w.hear(b"A")
        w.relay.reset()
        with pytest.raises(trio.BrokenResourceError):
            while await w.stream.receive_some(1):
                pass
            raise AssertionError("it ended in good order")
        while not w.echo.ended:
            await trio.sleep(0.005)


async def test_a_link_that_refuses_and_one_whose_far_end_is_gone_reset_who_comes() -> None:
    async with wired() as w:
        w.relay.refusing = True
        with pytest.raises((trio.BrokenResourceError, ConnectError)):  # the reset may overtake the connecting
            other = await TcpNetwork().connect("127.0.0.1", w.relay.port, 5_000_000)
            await other.receive_some(1)
        w.relay.refusing = False
        with socket.socket() as held:  # the port is nobody else's, and nobody listens
            held.bind(("127.0.0.1", 0))
            w.relay.dial = to_port(TcpNetwork(), held.getsockname()[1])
            with pytest.raises((trio.BrokenResourceError, ConnectError)):
                other = await TcpNetwork().connect("127.0.0.1", w.relay.port, 5_000_000)
                await other.receive_some(1)


async def test_cuts_between_named_sets() -> None:
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            links = Links(TcpNetwork(), nursery, 1)
            for source in "ab":
                for target in "xyz":
                    await links.between(source, target, to_port(TcpNetwork(), 9))
            assert await links.between("a", "x", to_port(TcpNetwork(), 9)) is links.relays["a", "x"]
            links.cut("a", "xy")
            links.cut("b", "z", hear=True)
            cut = {pair: (r.there.cut, r.back.cut) for pair, r in links.relays.items()}
            assert cut["a", "x"] == cut["a", "y"] == (True, True)
            assert cut["b", "z"] == (True, False)
            assert cut["a", "z"] == cut["b", "x"] == (False, False)
            links.heal("ab", "xyz")
            assert not any(r.there.cut or r.back.cut for r in links.relays.values())
            nursery.cancel_scope.cancel()


async def test_who_has_hung_up_is_known_before_it_is_read() -> None:
    """What the kernel knows counts, also with bytes still unread: the loop has not turned since."""
    async with wired() as w:
        await w.stream.send_all(b"hello")
        await w.hear(b"HELLO")
        (given_up,) = w.asked
        assert not given_up()
        await w.stream.send_all(b"last words")
        assert isinstance(w.stream, trio.SocketStream)
        w.stream.socket.close()
        assert given_up()
        while w.relay.connections:
            await trio.sleep(0.005)
        assert given_up()


async def test_a_member_runs_nothing_that_was_given_up_before_it_looked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every request is given up, as far as the kernel knows, by the time the member has read it."""
    text = "groups 1\nmembers 2\nedges 1\nsessions 2\nlast 3s\nlist-delay 100ms\n"
    trial = PlatformTrial(parse(text), TcpNetwork(), tmp_path, 0.05)
    monkeypatch.setattr(relay, "hung_up", lambda _: True)
    await trial.run()
    asked = [r for r in trial.recorder.records if isinstance(r, rec.RequestSent)]
    assert asked and not [
        r for r in trial.recorder.records if isinstance(r, rec.AttemptReceived | rec.Committed)
    ]
