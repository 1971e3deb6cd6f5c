"""System calls that fail for a moment, in ways that Linux documents: no connection is lost by them."""

from __future__ import annotations

import errno
import select
import socket

import pytest
import trio

from juniperreel.net import Clock
from juniperreel.net.acceptor import Acceptor
from juniperreel.net.poller import Poller
from juniperreel.net.transport import Transport
from juniperreel.testbed.injected_faults import FaultKind, FaultySocket, InjectedFaults

TIMEOUT_S = 30


class Receiver:
    """A protocol that notes what its transport tells it."""

    eof_is_disconnect = True

    def __init__(self) -> None:
        self.received = bytearray()
        self.lost: list[str] = []

    def connection_made(self) -> None: ...

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, reason: str) -> None:
        self.lost.append(reason)


class Setting:
    """A listener on a poller; `faults` are injected into all sockets made in the test."""

    def __init__(self, faults: InjectedFaults) -> None:
        self.faults = faults
        self.poller = Poller(Clock())
        self.accepted: list[Transport] = []
        self.waiting_since_us: list[int] = []  # of each accepted connection
        self.acceptor = Acceptor(self.poller, "127.0.0.1", 0, self._on_accepted)

    def _on_accepted(self, transport: Transport) -> None:
        transport.protocol = Receiver()
        self.accepted.append(transport)
        self.waiting_since_us.append(self.acceptor.waiting_since_us)

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.acceptor.port), TIMEOUT_S)

    async def poll_once(self) -> None:
        with trio.move_on_after(0.02):
            await self.poller.wait(None)
        self.poller.dispatch()

    def fail_next(self, kind: FaultKind, number: int) -> None:
        """Have the next call of this kind fail with this error, and no other call."""
        self.faults.next_errnos[kind] = number


@pytest.fixture
def faults(monkeypatch: pytest.MonkeyPatch) -> InjectedFaults:
    made = InjectedFaults({}, seed=1)
    monkeypatch.setattr(FaultySocket, "faults", made)
    monkeypatch.setattr(socket, "socket", FaultySocket)
    return made


async def accepting_goes_on_after_one_connection_could_not_be_prepared(setting: Setting) -> None:
    with setting.connect() as unlucky, setting.connect():
        setting.fail_next(FaultKind.SOCKET_OPTION, errno.ENOBUFS)
        await setting.poll_once()
        assert setting.faults.counts[FaultKind.SOCKET_OPTION] == 1
        assert len(setting.accepted) == 1
        assert unlucky.recv(1) == b""  # it was closed, not forgotten


async def accepting_goes_on_after_one_connection_could_not_be_polled(setting: Setting) -> None:
    add = setting.poller.add

    def fail_once(*_: object) -> None:
        setting.poller.add = add  # type: ignore[method-assign]
        raise OSError(errno.ENOSPC, "no watch is left")

    setting.poller.add = fail_once  # type: ignore[method-assign, assignment]
    with setting.connect() as unlucky, setting.connect():
        await setting.poll_once()
        assert len(setting.accepted) == 1
        assert unlucky.recv(1) == b""


async def a_listener_is_closed_only_once_all_that_wait_are_accepted(setting: Setting) -> None:
    with setting.connect(), setting.connect():
        setting.fail_next(FaultKind.ACCEPT, errno.ENFILE)
        setting.acceptor.close()
        assert setting.acceptor.is_open
        assert setting.accepted == []
        setting.acceptor.close()
        assert not setting.acceptor.is_open
        assert len(setting.accepted) == 2


async def a_connection_that_comes_long_after_a_failure_has_not_waited_since(setting: Setting) -> None:
    """Danger: its request would be rejected at once, as one whose time is over."""
    setting.fail_next(FaultKind.ACCEPT, errno.ENFILE)
    setting.acceptor.handle_event(select.EPOLLIN)  # and nobody waits behind the failure
    due_us = setting.acceptor.retry_due_us()
    assert due_us is not None
    setting.acceptor.retry(due_us)
    retried_us = setting.poller.clock.now_us()
    with trio.move_on_after(0.05):
        await setting.poller.wait(None)
    with setting.connect():
        await setting.poll_once()
        (waiting_since_us,) = setting.waiting_since_us
        assert waiting_since_us >= retried_us


async def a_connection_that_waited_through_failures_has_waited_since_the_first(setting: Setting) -> None:
    with setting.connect():
        first_us = 0
        for _ in range(3):
            setting.fail_next(FaultKind.ACCEPT, errno.ENFILE)
            setting.acceptor.handle_event(select.EPOLLIN)
            first_us = first_us or setting.acceptor.waiting_since_us
            due_us = setting.acceptor.retry_due_us()
            assert due_us is not None
            setting.acceptor.retry(due_us)
        await setting.poll_once()
        assert setting.waiting_since_us == [first_us]
        assert first_us


async def a_connection_behind_a_full_round_of_acceptances_has_waited_with_the_others(
    setting: Setting,
) -> None:
    setting.acceptor.ACCEPTS_PER_EVENT = 2
    with setting.connect(), setting.connect(), setting.connect():
        await setting.poll_once()
        await setting.poll_once()
        first_us, _, last_us = setting.waiting_since_us
        assert last_us == first_us


async def a_connection_that_comes_long_after_a_full_round_of_acceptances_has_not_waited_since(
    setting: Setting,
) -> None:
    setting.acceptor.ACCEPTS_PER_EVENT = 2
    with setting.connect(), setting.connect():
        await setting.poll_once()
        accepted_us = setting.poller.clock.now_us()
        with trio.move_on_after(0.05):
            await setting.poller.wait(None)
        with setting.connect():
            await setting.poll_once()
            assert setting.waiting_since_us[-1] >= accepted_us


async def what_a_short_read_leaves_is_read_in_the_same_turn(setting: Setting) -> None:
    """Danger: a turn later it would count from after a hold-up in which it had come."""
    setting.faults.rates[FaultKind.SHORT_READ] = 1.0
    with setting.connect() as client:
        await setting.poll_once()
        client.sendall(b"x" * 1000)
        await setting.poll_once()
        (transport,) = setting.accepted
        receiver = transport.protocol
        assert isinstance(receiver, Receiver)
        assert len(receiver.received) == 1000
        assert setting.faults.counts[FaultKind.SHORT_READ] > 1


async def what_is_read_together_with_the_end_of_a_client_is_not_passed_on(setting: Setting) -> None:
    """Danger: it would be forwarded although nobody waits for its answer."""
    with setting.connect() as client:
        await setting.poll_once()
        (transport,) = setting.accepted
        receiver = transport.protocol
        assert isinstance(receiver, Receiver)
        client.sendall(b"request")
    transport.handle_event(select.EPOLLIN)  # found before the end came
    assert receiver.received == b""
    assert receiver.lost == ["closed"]


async def what_an_endpoint_sent_before_its_end_is_passed_on(setting: Setting) -> None:
    with setting.connect() as endpoint:
        await setting.poll_once()
        (transport,) = setting.accepted
        receiver = transport.protocol
        assert isinstance(receiver, Receiver)
        receiver.eof_is_disconnect = False
        endpoint.sendall(b"reply")
    await setting.poll_once()
    assert receiver.received == b"reply"
    assert receiver.lost == ["closed"]


async def what_is_buffered_is_sent_when_the_system_has_memory_again(setting: Setting) -> None:
    with setting.connect() as client:
        await setting.poll_once()
        (transport,) = setting.accepted
        setting.fail_next(FaultKind.WRITE, errno.ENOBUFS)
        transport.write(b"answer")
        assert transport.write_buffer_size
        setting.fail_next(FaultKind.WRITE, errno.ENOBUFS)
        transport.handle_event(select.EPOLLOUT)
        assert not transport.closed
        transport.handle_event(select.EPOLLOUT)
        assert client.recv(100) == b"answer"


@pytest.mark.parametrize(
    "case",
    [
        accepting_goes_on_after_one_connection_could_not_be_prepared,
        accepting_goes_on_after_one_connection_could_not_be_polled,
        a_listener_is_closed_only_once_all_that_wait_are_accepted,
        a_connection_that_comes_long_after_a_failure_has_not_waited_since,
        a_connection_that_waited_through_failures_has_waited_since_the_first,
        a_connection_behind_a_full_round_of_acceptances_has_waited_with_the_others,
        a_connection_that_comes_long_after_a_full_round_of_acceptances_has_not_waited_since,
        what_a_short_read_leaves_is_read_in_the_same_turn,
        what_is_read_together_with_the_end_of_a_client_is_not_passed_on,
        what_an_endpoint_sent_before_its_end_is_passed_on,
        what_is_buffered_is_sent_when_the_system_has_memory_again,
    ],
    ids=lambda case: case.__name__,
)
async def test_a_system_call_that_fails_for_a_moment_loses_nothing_else(
    faults: InjectedFaults, case: object
) -> None:
    setting = Setting(faults)
    assert callable(case)
    try:
        await case(setting)
    finally:
        setting.poller.close()
