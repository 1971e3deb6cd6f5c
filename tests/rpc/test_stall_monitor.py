"""Time that a call waits in the socket counts towards its deadline.

While the event loop is stalled, calls wait in the kernel; they must be treated as having arrived at the
earliest possible time.
"""

from __future__ import annotations

import socket
import threading
import time

import h2.config
import h2.connection
import trio

from juniperreel.net import Clock, StallMonitor, TcpNetwork
from juniperreel.rpc.call import Call
from juniperreel.rpc.framing import frame_message
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Method, Server

SECONDS = 30
TIMEOUT_MS = 300
WAITED_S = 0.6


def request(timeout_ms: int) -> list[bytes]:
    """A client's connection preface, and the bytes of one call."""
    client = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    client.initiate_connection()
    preface = client.data_to_send()
    headers = [
        (":method", "POST"), (":scheme", "http"), (":path", "/t/Echo"), (":authority", "a"),
        ("content-type", "application/grpc"), ("te", "trailers"), ("grpc-timeout", f"{timeout_ms}m"),
    ]  # fmt: skip
    client.send_headers(1, headers)
    client.send_data(1, frame_message(b"hello"), end_stream=True)
    return [preface, client.data_to_send()]


async def wait_for_status(peer: socket.socket) -> None:
    """Read until the response's status has arrived."""
    received = b""
    peer.setblocking(False)
    with trio.fail_after(SECONDS):
        while b"grpc-status" not in received:
            await trio.sleep(0.01)
            try:
                received += peer.recv(65536)
            except BlockingIOError:
                continue


async def ages_of_served_calls(timeout_ms: int, stall: bool) -> list[int]:
    """The ages of calls in microseconds when their handlers started; empty if the deadline had passed."""
    clock = Clock()
    stall_monitor = StallMonitor(clock)
    stall_monitor.install()
    start_ages: list[int] = []

    async def echo(call: Call, data: bytes) -> bytes:
        start_ages.append(clock.now_us() - call.started_us)
        return data

    server = Server({"/t/Echo": Method(unary=echo)}, Limits(), clock, stall_monitor=stall_monitor)
    preface, call = request(timeout_ms)
    async with trio.open_nursery() as nursery:
        listener = await TcpNetwork().listen("127.0.0.1", 0)
        port = await nursery.start(server.serve, listener)
        peer = socket.create_connection(("127.0.0.1", port))
        peer.sendall(preface)
        while not server._connections or not next(iter(server._connections)).settings_received.is_set():
            await trio.sleep(0.01)
        await trio.sleep(0.05)
        done = threading.Event()

        def send() -> None:
            peer.sendall(call)
            time.sleep(WAITED_S if stall else 0)
            done.set()

        thread = threading.Thread(target=send)
        thread.start()
        if stall:
            done.wait()  # blocks the event loop while the call is in the socket's buffer
        await wait_for_status(peer)
        thread.join()
        peer.close()
        nursery.cancel_scope.cancel()
    stall_monitor.uninstall()
    return start_ages


async def test_call_whose_deadline_passed_in_the_socket_is_not_served() -> None:
    late = await ages_of_served_calls(TIMEOUT_MS, stall=True)
    assert late == [] or min(late) >= TIMEOUT_MS * 1000


async def test_call_that_waited_in_the_socket_begins_with_its_age() -> None:
    (age,) = await ages_of_served_calls(60_000, stall=True)
    assert age >= 0.9 * WAITED_S * 1e6


async def test_call_that_came_with_its_connection_begins_with_the_age_of_both() -> None:
    """The connection waits to be accepted, and the call in its socket, while the event loop is blocked."""
    clock = Clock()
    stall_monitor = StallMonitor(clock)
    stall_monitor.install()
    ages: list[int] = []

    async def echo(call: Call, data: bytes) -> bytes:
        ages.append(clock.now_us() - call.started_us)
        return data

    server = Server({"/t/Echo": Method(unary=echo)}, Limits(), clock, stall_monitor=stall_monitor)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, await TcpNetwork().listen("127.0.0.1", 0))
        await trio.sleep(0.05)
        with socket.create_connection(("127.0.0.1", port)) as peer:
            peer.sendall(b"".join(request(60_000)))
            time.sleep(WAITED_S)
            await wait_for_status(peer)
        nursery.cancel_scope.cancel()
    stall_monitor.uninstall()
    assert ages[0] >= 0.9 * WAITED_S * 1e6


async def test_call_on_an_idle_connection_is_fresh() -> None:
    (age,) = await ages_of_served_calls(60_000, stall=False)
    assert age < 0.9 * WAITED_S * 1e6


def test_new_bytes_beyond_the_budget_of_a_pass_wait_for_the_next() -> None:
    async def run() -> list[int]:
        stall_monitor = StallMonitor(Clock())
        stall_monitor.install()
        passes = []
        for _ in range(3):
            await stall_monitor.wait_for_new_work_budget()
            passes.append(stall_monitor.poll_count)
            started = stall_monitor.begin_new_work() - 50_000_000  # as if it had taken 50 ms
            stall_monitor.end_new_work(started)
        return passes

    passes = trio.run(run)
    assert passes[0] < passes[1] < passes[2]
