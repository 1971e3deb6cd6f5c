"""Shutdowns, as a process and on sockets: clients send until the kill, which comes as early as it may.

Members welcome every connection and hang, so that the driver alone decides when a request has its answer.
"""

from __future__ import annotations

import errno
import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from juniperreel.net.transport import Transport
from juniperreel.platform.attempt import Attempt
from juniperreel.platform.rule_monitor import Rule
from juniperreel.postgres import messages as m
from tests.platform.driver_process import (
    HOLD_UP_S,
    KILL_AFTER_S,
    LONGEST_DEADLINE_S,
    START_TIMEOUT_S,
    TURN_S,
    DriverProcess,
)
from tests.platform.event_harness import HELLO, MS, SETTINGS, read_text, row, write_text
from tests.platform.socket_harness import RemoteEnd, SocketHarness
from tests.platform.test_crossings import IDS

SEND_INTERVAL_S = 0.02
FIRST_SENT_AFTER_S = 0.6  # after SIGTERM: members that hang for half a second more are not known to do so
LAST_SENT_AFTER_S = 0.8  # while no connection is ended yet
# What is written so shortly before the end of a connection may cross it: the driver may be held up for so
# long between its last look and the end.
CROSSING_S = 0.15
POLLS = 20
TERMINATE = m.message(b"X", b"")


@pytest.fixture
def driver(tmp_path: Path) -> Iterator[DriverProcess]:
    it = DriverProcess(tmp_path)
    try:
        yield it
    finally:
        it.close()


class HalfSender:
    """A socket that sends half of the first data, and no more while it is blocked."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.is_blocked = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def send(self, data: bytes) -> int:
        if self.is_blocked:
            raise BlockingIOError
        self.is_blocked = True
        return self._sock.send(data[: len(data) // 2])


def send_request(client: RemoteEnd, number: int) -> None:
    client.send(
        m.query(read_text(f"{number:016x}", span=int(LONGEST_DEADLINE_S * 1000), key=f"row-{number}"))
    )


def test_all_that_was_sent_on_an_open_connection_before_its_end_is_answered(driver: DriverProcess) -> None:
    """The client doesn't wait for answers: whenever the driver ends its connection, requests are open."""
    client = driver.client()
    driver.terminate()
    driver.turn_until(driver.terminated_at + FIRST_SENT_AFTER_S)
    sent_at: list[float] = []
    while client.ended is None and time.monotonic() < driver.kill_at:
        try:
            send_request(client, len(sent_at) + 1)
        except (BrokenPipeError, ConnectionResetError):
            break
        sent_at.append(time.monotonic())
        driver.turn_until(sent_at[-1] + SEND_INTERVAL_S)
        client.read()
    while client.ended is None and time.monotonic() < driver.kill_at:
        driver.turn()
        client.read()
    ended_at = time.monotonic()
    answered = client.got.count(m.READY)
    owed = sum(at < ended_at - CROSSING_S for at in sent_at)
    assert client.ended == "fin", driver.log.read_text()[-4000:]
    assert answered >= owed, (len(sent_at), driver.log.read_text()[-4000:])


def test_a_request_is_answered_before_the_kill_though_the_process_is_held_up_again_and_again(
    driver: DriverProcess,
) -> None:
    """It is held up while SIGTERM comes, and three times more up to the kill, for 0.15 of each 0.2 s."""
    client = driver.client()
    os.kill(driver.process.pid, signal.SIGSTOP)
    driver.terminate()
    driver.turn_until(driver.terminated_at + HOLD_UP_S)
    os.kill(driver.process.pid, signal.SIGCONT)
    driver.turn_until(driver.terminated_at + LAST_SENT_AFTER_S)
    client.send(m.query(write_text(f"{1:016x}", span=int(LONGEST_DEADLINE_S * 1000))))
    for start_s in (0.55, 0.35):
        driver.hold_up(driver.kill_at - start_s)
    driver.turn_until(driver.kill_at - HOLD_UP_S)
    os.kill(driver.process.pid, signal.SIGSTOP)
    driver.turn_until(driver.kill_at)
    driver.process.kill()
    assert client.read().count(m.READY) == 1, driver.log.read_text()[-4000:]


FAILING_START = """
import errno, os, signal, sys
from juniperreel.platform.__main__ import SIGNALS
from juniperreel.platform import run
from juniperreel.platform.program import Program
start_for_real, attempts = Program.start, []
def failing_at_first(program):
    attempts.append(1)
    if len(attempts) == 2:
        os.kill(os.getpid(), signal.SIGTERM)
    if len(attempts) < 24:
        raise OSError(errno.ENOBUFS, "planted")
    start_for_real(program)
Program.start = failing_at_first
sys.exit(run.main(SIGNALS))
"""


def test_a_shutdown_counts_from_a_signal_that_came_while_listening_was_tried_again(tmp_path: Path) -> None:
    """Starts that fail for a second do not move the kill."""
    driver = DriverProcess(tmp_path, ("-c", FAILING_START))
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        while "listen failed for now" not in driver.log.read_text():
            assert driver.process.poll() is None, driver.log.read_text()
            assert time.monotonic() < deadline
            time.sleep(TURN_S)
        began = time.monotonic()
        assert driver.process.wait(START_TIMEOUT_S) == 0, driver.log.read_text()
        assert "shutdown complete" in driver.log.read_text()
        assert time.monotonic() - began < KILL_AFTER_S
    finally:
        driver.close()


NO_BUFFERS_AT_FIRST = """
import errno, socket, sys
from juniperreel.platform.__main__ import SIGNALS
from juniperreel.platform.run import main
set_option, calls = socket.socket.setsockopt, []
def failing_at_first(self, *arguments):
    calls.append(1)
    if len(calls) < 4:
        raise OSError(errno.ENOBUFS, "planted")
    return set_option(self, *arguments)
socket.socket.setsockopt = failing_at_first
sys.exit(main(SIGNALS))
"""


def test_a_start_outlasts_options_that_no_socket_takes_for_a_moment(tmp_path: Path) -> None:
    """The event loop's own wake-up sockets are the first to be given options."""
    driver = DriverProcess(tmp_path, ("-c", NO_BUFFERS_AT_FIRST))
    try:
        driver.client().close()
        driver.terminate()
        assert driver.process.wait(START_TIMEOUT_S) == 0, driver.log.read_text()
    finally:
        driver.close()


async def client_with_an_answer_leaving(
    harness: SocketHarness, more: bytes = b""
) -> tuple[RemoteEnd, Transport]:
    """A client that sends a request, and `more`; small buffers hold back what it is answered."""
    client = await harness.client(buffer=2048)
    transport = harness.client_transports[-1]
    transport._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    client.send(m.query(read_text(IDS[0])) + more)
    member = await harness.next_query("a")
    member.take()
    member.send(row(bytes(60_000)))
    await harness.until(lambda: not harness.driver.requests.by_id)
    assert transport.write_buffer_size
    return client, transport


async def test_what_comes_while_an_answer_is_still_leaving_is_answered_too() -> None:
    """The connection is not ended yet: its client may send, and what it sends is read."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        harness.driver.begin_shutdown()
        client, transport = await client_with_an_answer_leaving(harness)
        harness.driver.client_listener.close_when_answered()
        client.send(m.query(b""))
        await harness.wait_for_event(transport)
        while client.ended is None:
            await harness.poll_once()
            harness.driver.client_listener.close_when_answered()
            client.read(4096)
        assert client.ended == "fin"
        assert client.got.count(m.READY) == 2


async def test_no_shutdown_leaves_a_request_unanswered_that_the_router_has_forgotten() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        texts = (read_text(IDS[0], span=9_000), write_text(IDS[1], span=9_000))
        clients = [await harness.client(text) for text in texts]
        await harness.until(lambda: len(harness.driver.requests.by_id) == 2)
        for request_id in (IDS[0], IDS[1]):
            harness.driver.router.state.requests.pop(request_id)
        harness.driver.begin_shutdown()
        harness.advance_us(harness.driver.shutdown.last_answers_us() - harness.clock.time)
        for client in clients:
            assert client.read().count(m.READY) == 1


async def test_a_process_that_was_held_up_has_its_router_answer_first() -> None:
    """Both are late then: what the router says of a request tells its client more."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(read_text(IDS[0], span=9_000))
        await harness.until(lambda: len(harness.driver.requests.by_id) == 1)
        harness.driver.begin_shutdown()
        harness.process()
        harness.clock.time = harness.driver.shutdown.last_answers_us() + 150 * MS
        harness.process()
        assert client.read().count(m.READY) == 1
        assert "overdue" not in harness.out.getvalue()


async def test_a_query_that_left_in_part_is_not_finished_once_its_client_has_left() -> None:
    """Where a deployment does not allow cancellation, nothing else would stop its rest."""
    ceilings = {**SETTINGS["ceilings"], "cancelling": False}
    with SocketHarness(settings={**SETTINGS, "ceilings": ceilings}) as harness:
        await harness.learn_positions()
        primary = harness.members["p"].accept()[0]
        connection = harness.driver.endpoint_pools.pools["p"].idle[0]
        sock = connection.transport._socket = HalfSender(connection.transport._socket)  # type: ignore[assignment]
        client = await harness.client(write_text(IDS[0]))
        for _ in range(POLLS):  # the socket is writable all the time: nothing here waits
            await harness.poll_once()
        assert connection.transport.write_buffer_size
        client.close()
        for _ in range(POLLS):
            await harness.poll_once()
        assert not harness.driver.client_listener.clients
        sock.is_blocked = False
        for _ in range(POLLS):
            await harness.poll_once()
            primary.read()
        assert primary.ended
        assert not primary.got.endswith(b"\0")


async def test_a_client_whose_last_answers_are_leaving_is_not_evicted() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        client, _ = await client_with_an_answer_leaving(harness, TERMINATE)
        harness.driver.budget.client_limit = 1
        newcomer = harness.connect()
        await harness.until(lambda: len(harness.client_transports) == 2)
        await harness.until(lambda: client.read(4096) is None or client.ended)
        assert client.got.count(m.READY) == 1
        newcomer.close()


async def test_an_answer_that_has_not_left_when_the_program_ends_is_counted_as_dropped() -> None:
    """Decided is not answered: the time of an answer is that of its last byte."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        await client_with_an_answer_leaving(harness)
        harness.driver.report_unanswered()
        assert harness.driver.monitor.violations[Rule.DROPPED] == 1


async def test_a_hold_up_as_long_as_may_be_leaves_what_an_endpoint_is_told_within_the_slack() -> None:
    """The process is held up behind its reading of the clock, and the write takes a while on top."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        build_query = Attempt.build_query
        built: list[bytes] = []

        def build_slowly(attempt: Attempt) -> bytes:
            built.append(build_query(attempt))
            harness.clock.time += 150 * MS + 5 * MS
            return built[-1]

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Attempt, "build_query", build_slowly)
            client = await harness.client(read_text(IDS[0], span=400))
            await harness.until(lambda: built)
        assert harness.driver.monitor.violations[Rule.DEADLINE] == 0
        client.close()


class FullFileTable:
    """A listening socket whose `accept` finds the system's file table full while `is_full`."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.is_full = True
        self.accepts_left = 1_000  # until it is full again

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def accept(self) -> tuple[socket.socket, Any]:
        if self.is_full:
            raise OSError(errno.ENFILE, "planted")
        self.accepts_left -= 1
        self.is_full = self.accepts_left == 0
        return self._sock.accept()


async def test_the_time_of_a_request_runs_while_its_connection_waits_to_be_accepted() -> None:
    """It was sent to a connection that the machine had accepted, however often the program fails to."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        sock = harness.acceptor._socket = FullFileTable(harness.acceptor._socket)  # type: ignore[assignment]
        client = harness.connect()
        client.send(HELLO + m.query(read_text(IDS[0], span=800)))
        sent_us = harness.clock.time
        await harness.until(lambda: harness.acceptor.exhausted_us)
        for _ in range(3):
            harness.clock.time += 100 * MS
            harness.acceptor.retry(harness.clock.time)
            await harness.poll_once()
        sock.is_full = False
        harness.clock.time += 100 * MS
        harness.acceptor.retry(harness.clock.time)
        await harness.until(lambda: harness.driver.requests.by_id)
        assert harness.driver.requests.by_id[IDS[0]].deadline_us == sent_us + 800 * MS
        harness.acceptor._socket = sock._sock


async def test_a_crowd_whose_accepts_fail_now_and_then_is_accepted_soon() -> None:
    """One failure in ten, for a moment each: nobody waits for a tenth of a second each time."""
    with SocketHarness() as harness:
        sock = harness.acceptor._socket = FullFileTable(harness.acceptor._socket)  # type: ignore[assignment]
        crowd = [harness.connect() for _ in range(100)]
        began_us = harness.clock.time
        while len(harness.client_transports) < len(crowd):
            await harness.poll_once()
            assert harness.acceptor.exhausted_us
            retry_us = harness.acceptor.retry_due_us()
            assert retry_us is not None
            harness.clock.time = retry_us
            sock.is_full = False
            sock.accepts_left = 10
            harness.acceptor.retry(harness.clock.time)
        assert harness.clock.time - began_us < 100 * MS
        harness.acceptor._socket = sock._sock
        for client in crowd:
            client.close()
