"""Graceful shutdown, as a process and on sockets, with clients that send until the earliest possible kill.

Endpoints accept every connection and never answer, so only the driver decides when requests are answered.
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
    KILL_AFTER_S,
    LONGEST_DEADLINE_S,
    POLL_INTERVAL_S,
    START_TIMEOUT_S,
    SUSPENSION_S,
    DriverProcess,
)
from tests.platform.event_harness import MS, SETTINGS, STARTUP_MESSAGE, read_query, row_reply, write_query
from tests.platform.socket_harness import PeerConnection, SocketHarness
from tests.platform.test_crossings import REQUEST_IDS

SEND_INTERVAL_S = 0.02
FIRST_SENT_AFTER_S = 0.6  # after SIGTERM; endpoints unresponsive for 0.5 s are not yet detected
LAST_SENT_AFTER_S = 0.8  # before the driver closes connections
# Requests sent this shortly before the close may cross it, as the driver may be suspended for that long
# between its last check for input and the close.
RACE_WINDOW_S = 0.15
POLLS = 20
TERMINATE = m.message(b"X", b"")


@pytest.fixture
def driver(tmp_path: Path) -> Iterator[DriverProcess]:
    driver_process = DriverProcess(tmp_path)
    try:
        yield driver_process
    finally:
        driver_process.close()


class PartialSendSocket:
    """A socket that sends half of the first data and then blocks while `is_blocked`."""

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


def send_request(client: PeerConnection, number: int) -> None:
    client.send(
        m.query(read_query(f"{number:016x}", timeout_ms=int(LONGEST_DEADLINE_S * 1000), key=f"row-{number}"))
    )


def test_requests_sent_before_connection_close_are_answered(driver: DriverProcess) -> None:
    """The client pipelines requests, so some are open whenever the driver closes the connection."""
    client = driver.client()
    driver.terminate()
    driver.process_connections_until(driver.sigterm_at + FIRST_SENT_AFTER_S)
    sent_at: list[float] = []
    while client.close_kind is None and time.monotonic() < driver.kill_at:
        try:
            send_request(client, len(sent_at) + 1)
        except (BrokenPipeError, ConnectionResetError):
            break
        sent_at.append(time.monotonic())
        driver.process_connections_until(sent_at[-1] + SEND_INTERVAL_S)
        client.read()
    while client.close_kind is None and time.monotonic() < driver.kill_at:
        driver.process_connections()
        client.read()
    ended_at = time.monotonic()
    answered = client.received.count(m.READY)
    expected = sum(at < ended_at - RACE_WINDOW_S for at in sent_at)
    assert client.close_kind == "fin", driver.log.read_text()[-4000:]
    assert answered >= expected, (len(sent_at), driver.log.read_text()[-4000:])


def test_request_is_answered_before_kill_despite_repeated_suspensions(
    driver: DriverProcess,
) -> None:
    """Suspends the process when SIGTERM arrives and three times before the kill, for 0.15 of each 0.2 s."""
    client = driver.client()
    os.kill(driver.process.pid, signal.SIGSTOP)
    driver.terminate()
    driver.process_connections_until(driver.sigterm_at + SUSPENSION_S)
    os.kill(driver.process.pid, signal.SIGCONT)
    driver.process_connections_until(driver.sigterm_at + LAST_SENT_AFTER_S)
    client.send(m.query(write_query(f"{1:016x}", timeout_ms=int(LONGEST_DEADLINE_S * 1000))))
    for start_s in (0.55, 0.35):
        driver.suspend_for(driver.kill_at - start_s)
    driver.process_connections_until(driver.kill_at - SUSPENSION_S)
    os.kill(driver.process.pid, signal.SIGSTOP)
    driver.process_connections_until(driver.kill_at)
    driver.process.kill()
    assert client.read().count(m.READY) == 1, driver.log.read_text()[-4000:]


FAILING_START_PROGRAM = """
import errno, os, signal, sys
from juniperreel.platform.__main__ import SIGNALS
from juniperreel.platform import run
from juniperreel.platform.program import Program
original_start, attempts = Program.start, []
def fail_initially(program):
    attempts.append(1)
    if len(attempts) == 2:
        os.kill(os.getpid(), signal.SIGTERM)
    if len(attempts) < 24:
        raise OSError(errno.ENOBUFS, "injected")
    original_start(program)
Program.start = fail_initially
sys.exit(run.main(SIGNALS))
"""


def test_shutdown_time_counts_from_signal_during_listen_retries(tmp_path: Path) -> None:
    """A start-up that fails for a second does not postpone the kill."""
    driver = DriverProcess(tmp_path, ("-c", FAILING_START_PROGRAM))
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        while "listen failed for now" not in driver.log.read_text():
            assert driver.process.poll() is None, driver.log.read_text()
            assert time.monotonic() < deadline
            time.sleep(POLL_INTERVAL_S)
        began = time.monotonic()
        assert driver.process.wait(START_TIMEOUT_S) == 0, driver.log.read_text()
        assert "shutdown complete" in driver.log.read_text()
        assert time.monotonic() - began < KILL_AFTER_S
    finally:
        driver.close()


FAILING_SOCKET_OPTIONS_PROGRAM = """
import errno, socket, sys
from juniperreel.platform.__main__ import SIGNALS
from juniperreel.platform.run import main
set_option, calls = socket.socket.setsockopt, []
def fail_initially(self, *arguments):
    calls.append(1)
    if len(calls) < 4:
        raise OSError(errno.ENOBUFS, "injected")
    return set_option(self, *arguments)
socket.socket.setsockopt = fail_initially
sys.exit(main(SIGNALS))
"""


def test_start_retries_transient_socket_option_errors(tmp_path: Path) -> None:
    """The wake-up sockets of the event loop are the first on which options are set."""
    driver = DriverProcess(tmp_path, ("-c", FAILING_SOCKET_OPTIONS_PROGRAM))
    try:
        driver.client().close()
        driver.terminate()
        assert driver.process.wait(START_TIMEOUT_S) == 0, driver.log.read_text()
    finally:
        driver.close()


async def client_with_partially_sent_answer(
    harness: SocketHarness, further_input: bytes = b""
) -> tuple[PeerConnection, Transport]:
    """Connect a client that sends a request and `further_input`; small buffers delay its answer."""
    client = await harness.client(buffer=2048)
    transport = harness.client_transports[-1]
    transport._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    client.send(m.query(read_query(REQUEST_IDS[0])) + further_input)
    endpoint = await harness.next_query("a")
    endpoint.take()
    endpoint.send(row_reply(bytes(60_000)))
    await harness.wait_until(lambda: not harness.driver.requests.by_id)
    assert transport.write_buffer_size
    return client, transport


async def test_command_received_while_answer_is_being_sent_is_answered() -> None:
    """The connection is still open, so the client's input must be read."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        harness.driver.begin_shutdown()
        client, transport = await client_with_partially_sent_answer(harness)
        harness.driver.client_listener.close_when_answered()
        client.send(m.query(b""))
        await harness.wait_for_event(transport)
        while client.close_kind is None:
            await harness.poll_once()
            harness.driver.client_listener.close_when_answered()
            client.read(4096)
        assert client.close_kind == "fin"
        assert client.received.count(m.READY) == 2


async def test_shutdown_answers_requests_lost_by_router() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        texts = (read_query(REQUEST_IDS[0], timeout_ms=9_000), write_query(REQUEST_IDS[1], timeout_ms=9_000))
        clients = [await harness.client(text) for text in texts]
        await harness.wait_until(lambda: len(harness.driver.requests.by_id) == 2)
        for request_id in (REQUEST_IDS[0], REQUEST_IDS[1]):
            harness.driver.router.state.requests.pop(request_id)
        harness.driver.begin_shutdown()
        harness.advance_us(harness.driver.shutdown.last_answers_us() - harness.clock.time)
        for client in clients:
            assert client.read().count(m.READY) == 1


async def test_router_answers_first_after_suspension() -> None:
    """Both are late then; the router's answer is more specific."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        client = await harness.client(read_query(REQUEST_IDS[0], timeout_ms=9_000))
        await harness.wait_until(lambda: len(harness.driver.requests.by_id) == 1)
        harness.driver.begin_shutdown()
        harness.process()
        harness.clock.time = harness.driver.shutdown.last_answers_us() + 150 * MS
        harness.process()
        assert client.read().count(m.READY) == 1
        assert "overdue" not in harness.log_output.getvalue()


async def test_partially_sent_query_is_aborted_after_client_disconnect() -> None:
    """If the deployment disables cancellation, nothing else prevents the rest from being sent."""
    ceilings = {**SETTINGS["ceilings"], "cancelling": False}
    with SocketHarness(settings={**SETTINGS, "ceilings": ceilings}) as harness:
        await harness.learn_positions()
        primary = harness.endpoints["p"].accept()[0]
        connection = harness.driver.endpoint_pools.pools["p"].idle[0]
        sock = connection.transport._socket = PartialSendSocket(connection.transport._socket)  # type: ignore[assignment]
        client = await harness.client(write_query(REQUEST_IDS[0]))
        for _ in range(POLLS):  # the socket is always writable, so polls return immediately
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
        assert primary.close_kind
        assert not primary.received.endswith(b"\0")


async def test_client_with_unsent_answers_is_not_evicted() -> None:
    with SocketHarness() as harness:
        await harness.learn_positions()
        client, _ = await client_with_partially_sent_answer(harness, TERMINATE)
        harness.driver.budget.client_limit = 1
        newcomer = harness.connect()
        await harness.wait_until(lambda: len(harness.client_transports) == 2)
        await harness.wait_until(lambda: client.read(4096) is None or client.close_kind)
        assert client.received.count(m.READY) == 1
        newcomer.close()


async def test_unsent_answer_at_exit_is_counted_as_dropped() -> None:
    """A request counts as answered only when the last byte of its answer is sent."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        await client_with_partially_sent_answer(harness)
        harness.driver.report_unanswered()
        assert harness.driver.monitor.violations[Rule.DROPPED] == 1


async def test_stated_timeout_stays_within_slack_despite_longest_suspension() -> None:
    """The process is suspended after reading the clock, and the write takes additional time."""
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
            client = await harness.client(read_query(REQUEST_IDS[0], timeout_ms=400))
            await harness.wait_until(lambda: built)
        assert harness.driver.monitor.violations[Rule.DEADLINE] == 0
        client.close()


class ExhaustedFileTableSocket:
    """A listening socket whose `accept` fails with ENFILE while `is_full`."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.is_full = True
        self.accepts_left = 1_000  # until the table is full again

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def accept(self) -> tuple[socket.socket, Any]:
        if self.is_full:
            raise OSError(errno.ENFILE, "injected")
        self.accepts_left -= 1
        self.is_full = self.accepts_left == 0
        return self._sock.accept()


async def test_request_time_runs_while_connection_awaits_accept() -> None:
    """The kernel has accepted the connection, even if the process's accept calls fail."""
    with SocketHarness() as harness:
        await harness.learn_positions()
        sock = harness.acceptor._socket = ExhaustedFileTableSocket(harness.acceptor._socket)  # type: ignore[assignment]
        client = harness.connect()
        client.send(STARTUP_MESSAGE + m.query(read_query(REQUEST_IDS[0], timeout_ms=800)))
        sent_us = harness.clock.time
        await harness.wait_until(lambda: harness.acceptor.exhausted_us)
        for _ in range(3):
            harness.clock.time += 100 * MS
            harness.acceptor.retry(harness.clock.time)
            await harness.poll_once()
        sock.is_full = False
        harness.clock.time += 100 * MS
        harness.acceptor.retry(harness.clock.time)
        await harness.wait_until(lambda: harness.driver.requests.by_id)
        assert harness.driver.requests.by_id[REQUEST_IDS[0]].deadline_us == sent_us + 800 * MS
        harness.acceptor._socket = sock._sock


async def test_connections_are_accepted_promptly_despite_intermittent_failures() -> None:
    """One accept in ten fails briefly; the retry delay must not add 0.1 s each time."""
    with SocketHarness() as harness:
        sock = harness.acceptor._socket = ExhaustedFileTableSocket(harness.acceptor._socket)  # type: ignore[assignment]
        clients = [harness.connect() for _ in range(100)]
        began_us = harness.clock.time
        while len(harness.client_transports) < len(clients):
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
        for client in clients:
            client.close()
