"""Requests that arrive while the process is suspended in a wait for events count their time from arrival.

Guards against late answers: if the time counts from the end of the wait, the driver's deadline is too late by
the length of the suspension, and the client has left before the answer is sent. Observed with suspensions of
about 0.1 s for a few of thousands of requests: the driver measured ages 68 and 71 ms too short for requests
read after waits of 75 and 142 ms, and first attempts began 68 to 142 ms after the clients' writes.
"""

from __future__ import annotations

import re
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import pytest

from juniperreel.postgres import messages as m
from tests.platform.driver_process import LONGEST_DEADLINE_S, DriverProcess
from tests.platform.event_harness import STARTUP_MESSAGE, write_query
from tests.platform.socket_harness import PeerConnection

SUSPENDED_S = 0.4  # longer than observed, so that the result does not depend on the machine's load
LATE_S = 0.2  # half of it
DEADLINE_MS = int(LONGEST_DEADLINE_S * 1000)
IDLE_S = 0.3  # until the driver is idle
LIMITS = {"cores": 0.5, "memory_mb": 64, "sockets": 2048}
STATED_SLACK_MS = 150  # by which the stated timeout may exceed the client's remaining time
STATED_TIME = re.compile(rb",d=(\d+)")


@pytest.fixture
def driver(tmp_path: Path) -> Iterator[DriverProcess]:
    driver_process = DriverProcess(tmp_path, limits=LIMITS)
    try:
        yield driver_process
    finally:
        driver_process.close()


def request(number: int) -> bytes:
    """Build a write of a separate row, which goes to the primary regardless of the replicas' state."""
    return m.query(write_query(f"{number:016x}", timeout_ms=DEADLINE_MS, key=f"row-{number}"))


def send_while_suspended(driver: DriverProcess, sends: Sequence[tuple[PeerConnection, bytes]]) -> float:
    """Send right after stopping the process, SUSPENDED_S before it resumes; return the time of sending."""
    driver.process_connections_until(time.monotonic() + IDLE_S)
    driver.suspend()
    for client, data in sends:
        client.send(data)
    sent_at = time.monotonic()
    time.sleep(SUSPENDED_S)
    driver.resume_process()
    return sent_at


def expect_answers_in_time(
    driver: DriverProcess, clients: Sequence[PeerConnection], sent_at: float, answers: int = 1
) -> None:
    """Check that each client has its answers by the deadline."""
    driver.process_connections_until(sent_at + LONGEST_DEADLINE_S + LATE_S)
    late = sum(client.read().count(m.READY) < answers for client in clients)
    assert late == 0, f"{late} of {len(clients)} had no answer: {driver.log.read_text()[-1000:]}"


def test_requests_on_open_connections(driver: DriverProcess) -> None:
    clients = driver.connected_clients(20)
    sent_at = send_while_suspended(driver, [(client, request(n)) for n, client in enumerate(clients, 1)])
    expect_answers_in_time(driver, clients, sent_at)


@pytest.mark.parametrize("count", [1, 200], ids=["alone", "more than are accepted in one iteration"])
def test_requests_sent_with_startup_of_new_connections(driver: DriverProcess, count: int) -> None:
    driver.client().close()
    driver.process_connections_until(time.monotonic() + IDLE_S)
    driver.suspend()
    clients = [driver.connect() for _ in range(count)]
    for number, client in enumerate(clients, 1):
        client.send(STARTUP_MESSAGE + request(number))
    sent_at = time.monotonic()
    time.sleep(SUSPENDED_S)
    driver.resume_process()
    expect_answers_in_time(driver, clients, sent_at, answers=2)


def test_more_requests_than_are_read_in_one_iteration(driver: DriverProcess) -> None:
    clients = driver.connected_clients(300)
    sent_at = send_while_suspended(driver, [(client, request(n)) for n, client in enumerate(clients, 1)])
    expect_answers_in_time(driver, clients, sent_at)


def test_requests_of_one_connection_read_in_several_parts(driver: DriverProcess) -> None:
    """Input that takes three reads; what the last two read arrived together with the first."""
    client = driver.client()
    body = b"00" * 15_000
    texts = [
        write_query(f"{n:016x}", timeout_ms=DEADLINE_MS, key=f"row-{n}").replace(b"\\x00", b"\\x" + body)
        for n in range(1, 6)
    ]
    sent_at = send_while_suspended(driver, [(client, m.query(text)) for text in texts])
    expect_answers_in_time(driver, [client], sent_at, answers=len(texts))
    taken = driver.log.read_text().count("request taken")
    assert taken == len(texts)  # none was answered with an error


def test_stated_timeout_does_not_exceed_remaining_time(driver: DriverProcess) -> None:
    client = driver.client()
    sent_at = send_while_suspended(driver, [(client, request(1))])
    stated_ms: list[int] = []
    left_ms = 0.0
    while not stated_ms:
        driver.process_connections()
        left_ms = (sent_at + LONGEST_DEADLINE_S - time.monotonic()) * 1000
        stated_ms = [
            int(ms) for end in driver.endpoints[0].connections for ms in STATED_TIME.findall(end.read())
        ]
        assert left_ms > 0, driver.log.read_text()[-1000:]
    # The time that this loop takes to detect the query makes the check stricter.
    assert stated_ms[0] <= DEADLINE_MS - SUSPENDED_S * 1000 + STATED_SLACK_MS
