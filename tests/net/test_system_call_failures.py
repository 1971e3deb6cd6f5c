"""Transient system call failures, as documented by Linux, must not cost any other connection."""

from __future__ import annotations

import errno
import select
import socket

import pytest
import trio

from juniperreel.net import Clock
from juniperreel.net.acceptor import Acceptor
from juniperreel.net.poller import Poller
from juniperreel.net.transport import READ_BYTES, Transport
from juniperreel.testbed.injected_faults import FaultKind, FaultySocket, InjectedFaults

TIMEOUT_S = 30


class RecordingProtocol:
    """A protocol that records the events of its transport."""

    eof_is_disconnect = True
    read_limit = READ_BYTES

    def __init__(self) -> None:
        self.received = bytearray()
        self.lost: list[str] = []

    def connection_made(self) -> None: ...

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, reason: str) -> None:
        self.lost.append(reason)


class AcceptorHarness:
    """A listener on a poller. `faults` apply to all sockets created in the test."""

    def __init__(self, faults: InjectedFaults) -> None:
        self.faults = faults
        self.poller = Poller(Clock())
        self.accepted: list[Transport] = []
        self.waiting_since_us: list[int] = []  # one per accepted connection
        self.acceptor = Acceptor(self.poller, "127.0.0.1", 0, self._on_accepted)

    def _on_accepted(self, transport: Transport) -> None:
        transport.protocol = RecordingProtocol()
        self.accepted.append(transport)
        self.waiting_since_us.append(self.acceptor.waiting_since_us)

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.acceptor.port), TIMEOUT_S)

    async def poll_once(self) -> None:
        with trio.move_on_after(0.02):
            await self.poller.wait(None)
        self.poller.dispatch()

    def fail_next(self, kind: FaultKind, number: int) -> None:
        """Make only the next call of this kind fail, with errno `number`."""
        self.faults.next_errnos[kind] = number


@pytest.fixture
def faults(monkeypatch: pytest.MonkeyPatch) -> InjectedFaults:
    injected = InjectedFaults({}, seed=1)
    monkeypatch.setattr(FaultySocket, "faults", injected)
    monkeypatch.setattr(socket, "socket", FaultySocket)
    return injected


async def accept_continues_after_a_failed_setsockopt(harness: AcceptorHarness) -> None:
    with harness.connect() as failed_client, harness.connect():
        harness.fail_next(FaultKind.SOCKET_OPTION, errno.ENOBUFS)
        await harness.poll_once()
        assert harness.faults.counts[FaultKind.SOCKET_OPTION] == 1
        assert len(harness.accepted) == 1
        assert failed_client.recv(1) == b""  # closed, not leaked


async def accept_continues_after_a_failed_epoll_registration(harness: AcceptorHarness) -> None:
    add = harness.poller.add

    def fail_once(*_: object) -> None:
        harness.poller.add = add  # type: ignore[method-assign]
        raise OSError(errno.ENOSPC, "epoll watch limit reached")

    harness.poller.add = fail_once  # type: ignore[method-assign, assignment]
    with harness.connect() as failed_client, harness.connect():
        await harness.poll_once()
        assert len(harness.accepted) == 1
        assert failed_client.recv(1) == b""


async def listener_closes_only_after_draining_its_accept_queue(harness: AcceptorHarness) -> None:
    with harness.connect(), harness.connect():
        harness.fail_next(FaultKind.ACCEPT, errno.ENFILE)
        harness.acceptor.close()
        assert harness.acceptor.is_open
        assert harness.accepted == []
        harness.acceptor.close()
        assert not harness.acceptor.is_open
        assert len(harness.accepted) == 2


async def connection_long_after_a_failed_accept_is_not_dated_to_it(harness: AcceptorHarness) -> None:
    """Otherwise its request would be rejected at once as past its deadline."""
    harness.fail_next(FaultKind.ACCEPT, errno.ENFILE)
    harness.acceptor.handle_event(select.EPOLLIN)  # the accept queue is empty after the failure
    due_us = harness.acceptor.retry_due_us()
    assert due_us is not None
    harness.acceptor.retry(due_us)
    retried_us = harness.poller.clock.now_us()
    with trio.move_on_after(0.05):
        await harness.poller.wait(None)
    with harness.connect():
        await harness.poll_once()
        (waiting_since_us,) = harness.waiting_since_us
        assert waiting_since_us >= retried_us


async def connection_pending_during_failed_accepts_is_dated_to_the_first(harness: AcceptorHarness) -> None:
    with harness.connect():
        first_us = 0
        for _ in range(3):
            harness.fail_next(FaultKind.ACCEPT, errno.ENFILE)
            harness.acceptor.handle_event(select.EPOLLIN)
            first_us = first_us or harness.acceptor.waiting_since_us
            due_us = harness.acceptor.retry_due_us()
            assert due_us is not None
            harness.acceptor.retry(due_us)
        await harness.poll_once()
        assert harness.waiting_since_us == [first_us]
        assert first_us


async def connection_left_over_by_a_full_accept_batch_is_dated_like_the_others(
    harness: AcceptorHarness,
) -> None:
    harness.acceptor.ACCEPTS_PER_EVENT = 2
    with harness.connect(), harness.connect(), harness.connect():
        await harness.poll_once()
        await harness.poll_once()
        first_us, _, last_us = harness.waiting_since_us
        assert last_us == first_us


async def connection_long_after_a_full_accept_batch_is_not_dated_to_it(
    harness: AcceptorHarness,
) -> None:
    harness.acceptor.ACCEPTS_PER_EVENT = 2
    with harness.connect(), harness.connect():
        await harness.poll_once()
        accepted_us = harness.poller.clock.now_us()
        with trio.move_on_after(0.05):
            await harness.poller.wait(None)
        with harness.connect():
            await harness.poll_once()
            assert harness.waiting_since_us[-1] >= accepted_us


async def rest_of_a_short_read_is_read_in_the_same_iteration(harness: AcceptorHarness) -> None:
    """If it were read in the next iteration, data from before a stall would be dated to after it."""
    harness.faults.rates[FaultKind.SHORT_READ] = 1.0
    with harness.connect() as client:
        await harness.poll_once()
        client.sendall(b"x" * 1000)
        await harness.poll_once()
        (transport,) = harness.accepted
        protocol = transport.protocol
        assert isinstance(protocol, RecordingProtocol)
        assert len(protocol.received) == 1000
        assert harness.faults.counts[FaultKind.SHORT_READ] > 1


async def data_read_together_with_a_client_disconnect_is_discarded(harness: AcceptorHarness) -> None:
    """It would be forwarded although its client is gone."""
    with harness.connect() as client:
        await harness.poll_once()
        (transport,) = harness.accepted
        protocol = transport.protocol
        assert isinstance(protocol, RecordingProtocol)
        client.sendall(b"request")
    transport.handle_event(select.EPOLLIN)  # polled before the end of stream arrived
    assert protocol.received == b""
    assert protocol.lost == ["closed"]


async def data_sent_by_an_endpoint_before_its_end_of_stream_is_delivered(harness: AcceptorHarness) -> None:
    with harness.connect() as endpoint:
        await harness.poll_once()
        (transport,) = harness.accepted
        protocol = transport.protocol
        assert isinstance(protocol, RecordingProtocol)
        protocol.eof_is_disconnect = False
        endpoint.sendall(b"reply")
    await harness.poll_once()
    assert protocol.received == b"reply"
    assert protocol.lost == ["closed"]


async def buffered_data_is_sent_once_memory_is_available(harness: AcceptorHarness) -> None:
    with harness.connect() as client:
        await harness.poll_once()
        (transport,) = harness.accepted
        harness.fail_next(FaultKind.WRITE, errno.ENOBUFS)
        transport.write(b"answer")
        assert transport.write_buffer_size
        harness.fail_next(FaultKind.WRITE, errno.ENOBUFS)
        transport.handle_event(select.EPOLLOUT)
        assert not transport.closed
        transport.handle_event(select.EPOLLOUT)
        assert client.recv(100) == b"answer"


@pytest.mark.parametrize(
    "case",
    [
        accept_continues_after_a_failed_setsockopt,
        accept_continues_after_a_failed_epoll_registration,
        listener_closes_only_after_draining_its_accept_queue,
        connection_long_after_a_failed_accept_is_not_dated_to_it,
        connection_pending_during_failed_accepts_is_dated_to_the_first,
        connection_left_over_by_a_full_accept_batch_is_dated_like_the_others,
        connection_long_after_a_full_accept_batch_is_not_dated_to_it,
        rest_of_a_short_read_is_read_in_the_same_iteration,
        data_read_together_with_a_client_disconnect_is_discarded,
        data_sent_by_an_endpoint_before_its_end_of_stream_is_delivered,
        buffered_data_is_sent_once_memory_is_available,
    ],
    ids=lambda case: case.__name__,
)
async def test_transient_failure_is_isolated(faults: InjectedFaults, case: object) -> None:
    harness = AcceptorHarness(faults)
    assert callable(case)
    try:
        await case(harness)
    finally:
        harness.poller.close()
