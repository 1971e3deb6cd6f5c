"""Relayed links: intact delivery, silent cuts in one or both directions, delays, resets and refusals."""

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
from juniperreel.testbed import relay as relay_module
from juniperreel.testbed.links import LinkName, Links
from juniperreel.testbed.relay import Relay, connect_to_port
from juniperreel.testbed.single_process_trial import SingleProcessTrial
from juniperreel.verification import records as rec

SECONDS = 60


class Echo:
    """An echo server that answers in upper case; `received` holds all bytes received."""

    def __init__(self) -> None:
        self.received = b""
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
                self.received += bytes(data)
                await stream.send_all(bytes(data).upper())
        except trio.BrokenResourceError:
            pass
        finally:
            self.ended += 1


class EchoThroughRelay:
    """An echo server behind a relay, and one connection to it."""

    def __init__(
        self, echo: Echo, relay: Relay, stream: trio.abc.Stream, near_end_closed: list[Callable[[], bool]]
    ) -> None:
        self.echo = echo
        self.relay = relay
        self.stream = stream
        self.near_end_closed = near_end_closed  # one function per connection

    async def receive(self, wanted: bytes) -> None:
        received = b""
        while received != wanted:
            data = bytes(await self.stream.receive_some(4096))
            assert data
            assert wanted.startswith(received + data)
            received += data

    async def wait_until_received(self, wanted: bytes) -> None:
        while self.echo.received != wanted:
            await trio.sleep(0.005)


@asynccontextmanager
async def echo_through_relay(seed: int = 1) -> AsyncIterator[EchoThroughRelay]:
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            echo = Echo()
            await nursery.start(echo.run)
            near_end_closed: list[Callable[[], bool]] = []

            async def dial(closed: Callable[[], bool]) -> trio.abc.Stream:
                near_end_closed.append(closed)
                return await connect_to_port(TcpNetwork(), echo.port)(closed)

            relay = Relay(TcpNetwork(), dial, seed)
            await nursery.start(relay.run)
            stream = await TcpNetwork().connect("127.0.0.1", relay.port, 5_000_000)
            yield EchoThroughRelay(echo, relay, stream, near_end_closed)
            nursery.cancel_scope.cancel()


async def receive_to_end(stream: trio.abc.Stream) -> None:
    """Read until the stream ends without an error."""
    while await stream.receive_some(1):
        pass


async def connect_and_receive(port: int) -> None:
    stream = await TcpNetwork().connect("127.0.0.1", port, 5_000_000)
    await stream.receive_some(1)


async def test_bytes_pass_in_order_with_delay_and_jitter() -> None:
    async with echo_through_relay() as link:
        link.relay.forward.delay_us = 2_000
        link.relay.forward.jitter_us = 20_000
        text = b"".join(b"%d " % i for i in range(3000))
        for at in range(0, len(text), 500):
            await link.stream.send_all(text[at : at + 500])
        await link.receive(text.upper())
        assert link.relay.forward.carried_bytes == link.relay.reverse.carried_bytes == len(text)


async def test_cut_holds_bytes_silently_and_delivers_them_after_the_heal() -> None:
    async with echo_through_relay() as link:
        await link.stream.send_all(b"a")
        await link.receive(b"A")
        link.relay.cut()
        await link.stream.send_all(b"b")
        with trio.move_on_after(0.2) as waited:
            await link.receive(b"B")
        assert waited.cancelled_caught
        assert link.echo.received == b"a"
        link.relay.heal()
        await link.receive(b"B")


async def test_cut_of_the_reverse_direction_passes_requests_and_holds_answers() -> None:
    async with echo_through_relay() as link:
        link.relay.cut(forward=False)
        await link.stream.send_all(b"a")
        await link.wait_until_received(b"a")
        with trio.move_on_after(0.2) as waited:
            await link.receive(b"A")
        assert waited.cancelled_caught
        link.relay.heal()
        await link.receive(b"A")


async def test_close_does_not_pass_through_a_cut_before_the_heal() -> None:
    async with echo_through_relay() as link:
        await link.stream.send_all(b"a")
        await link.receive(b"A")
        link.relay.cut()
        await link.stream.aclose()
        with trio.move_on_after(0.2):
            while not link.echo.ended:
                await trio.sleep(0.005)
        assert not link.echo.ended
        link.relay.heal()
        while not link.echo.ended:
            await trio.sleep(0.005)


async def test_bytes_whose_sender_closed_during_a_cut_never_arrive() -> None:
    async with echo_through_relay() as link:
        await link.stream.send_all(b"a")
        await link.receive(b"A")
        link.relay.cut()
        await link.stream.send_all(b"b")
        await link.stream.aclose()
        await trio.testing.wait_all_tasks_blocked(0.1)  # until the relay has read the data and the close
        link.relay.heal()
        while link.relay.connections:
            await trio.testing.wait_all_tasks_blocked()
        assert link.echo.received == b"a"


async def test_new_connection_through_a_cut_is_established_and_silent() -> None:
    async with echo_through_relay() as link:
        link.relay.cut()
        other = await TcpNetwork().connect("127.0.0.1", link.relay.port, 5_000_000)
        await other.send_all(b"x")
        with trio.move_on_after(0.2) as waited:
            await other.receive_some(1)
        assert waited.cancelled_caught
        assert link.echo.received == b""
        link.relay.heal()
        assert await other.receive_some(1) == b"X"


async def test_reset_breaks_a_connection_at_both_ends() -> None:
    async with echo_through_relay() as link:
        await link.stream.send_all(b"a")
        await link.receive(b"A")
        link.relay.reset()
        with pytest.raises(trio.BrokenResourceError):
            await receive_to_end(link.stream)
        while not link.echo.ended:
            await trio.sleep(0.005)


async def test_new_connection_is_reset_while_refusing_or_without_a_far_end() -> None:
    async with echo_through_relay() as link:
        link.relay.refusing = True
        with pytest.raises((trio.BrokenResourceError, ConnectError)):  # the reset may arrive during connect
            await connect_and_receive(link.relay.port)
        link.relay.refusing = False
        with socket.socket() as held:  # reserves the port without listening
            held.bind(("127.0.0.1", 0))
            link.relay.dial = connect_to_port(TcpNetwork(), held.getsockname()[1])
            with pytest.raises((trio.BrokenResourceError, ConnectError)):
                await connect_and_receive(link.relay.port)


async def test_cuts_and_heals_apply_between_named_sets() -> None:
    with trio.fail_after(SECONDS):
        async with trio.open_nursery() as nursery:
            links = Links(TcpNetwork(), nursery, 1)
            for source in "ab":
                for target in "xyz":
                    await links.open(source, target, connect_to_port(TcpNetwork(), 9))
            assert (
                await links.open("a", "x", connect_to_port(TcpNetwork(), 9))
                is links.relays[LinkName("a", "x")]
            )
            links.cut("a", "xy")
            links.cut("b", "z", one_way=True)
            cut = {"".join(name): (r.forward.is_cut, r.reverse.is_cut) for name, r in links.relays.items()}
            assert cut["ax"] == cut["ay"] == (True, True)
            assert cut["bz"] == (True, False)
            assert cut["az"] == cut["bx"] == (False, False)
            links.heal("ab", "xyz")
            assert not any(r.forward.is_cut or r.reverse.is_cut for r in links.relays.values())
            nursery.cancel_scope.cancel()


async def test_closed_near_end_is_detected_before_its_bytes_are_read() -> None:
    """The kernel's state decides, even while bytes are unread and the event loop has not run since."""
    async with echo_through_relay() as link:
        await link.stream.send_all(b"hello")
        await link.receive(b"HELLO")
        (near_end_closed,) = link.near_end_closed
        assert not near_end_closed()
        await link.stream.send_all(b"unread")
        assert isinstance(link.stream, trio.SocketStream)
        link.stream.socket.close()
        assert near_end_closed()
        while link.relay.connections:
            await trio.sleep(0.005)
        assert near_end_closed()


async def test_member_skips_requests_whose_sender_closed_before_they_were_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against executing requests of closed senders: here the kernel reports every sender as closed."""
    text = "groups 1\nmembers 2\nedges 1\nsessions 2\nlast 3s\nlist-delay 100ms\n"
    trial = SingleProcessTrial(parse(text), TcpNetwork(), tmp_path, 0.05)
    monkeypatch.setattr(relay_module, "hung_up", lambda _: True)
    await trial.run()
    requests = [r for r in trial.recorder.records if isinstance(r, rec.RequestSent)]
    assert requests
    assert not [r for r in trial.recorder.records if isinstance(r, rec.AttemptReceived | rec.Committed)]
