"""The complete program on loopback sockets, with libpq as the client and fake endpoints and discovery."""

from __future__ import annotations

import errno
import json
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import trio

from juniperreel.fakes.discovery_server import DiscoveryServer
from juniperreel.fakes.minimal_endpoint import MinimalEndpoint
from juniperreel.net import Clock
from juniperreel.net.acceptor import Acceptor
from juniperreel.net.poller import Poller
from juniperreel.platform.client_connection import ClientConnection
from juniperreel.platform.config import parse_config
from juniperreel.platform.log import Log
from juniperreel.platform.program import Program
from juniperreel.postgres import messages
from juniperreel.routing.router import Router
from juniperreel.routing.types import Request
from juniperreel.testbed.injected_faults import FaultKind, InjectedFaults
from tests.platform.event_harness import STARTUP_MESSAGE, config_bytes, list_entry, read_query, write_query

TIMEOUT_S = 30
READ_FAILURES_S = 2.0
NOTIFIED_AFTER_RELOAD_S = 4.0  # after SIGHUP; from then on changes at the new discovery count as notified
LIBPQ_CLIENT = """
import json, sys
from psycopg import pq
target, texts = json.load(sys.stdin)
connection = pq.PGconn.connect(target.encode())
assert connection.status == pq.ConnStatus.OK, connection.error_message
found = []
for text in texts:
    result = connection.exec_(bytes.fromhex(text))
    state = result.error_field(pq.DiagnosticField.SQLSTATE)
    detail = result.error_field(pq.DiagnosticField.MESSAGE_DETAIL)
    value = result.get_value(0, 0) if result.ntuples else None
    found.append((state and state.decode(), value and value.hex(), (detail or b"").decode()))
connection.finish()
print(json.dumps(found))
"""


class ProgramHarness:
    def __init__(
        self, program: Program, endpoints: list[MinimalEndpoint], discovery: DiscoveryServer
    ) -> None:
        self.program, self.endpoints, self.discovery = program, endpoints, discovery

    async def execute(self, *texts: bytes) -> list[tuple[str | None, bytes | None, str]]:
        """Execute statements over one libpq connection; return SQLSTATE, value and detail of each."""
        assert self.program.acceptor is not None
        port = self.program.acceptor.port
        target = f"host=127.0.0.1 port={port} user=worker dbname=catalog connect_timeout=10"
        arguments = json.dumps([target, [text.hex() for text in texts]]).encode()
        with trio.fail_after(TIMEOUT_S):
            # In a separate process, because the libpq binding holds the GIL while it waits.
            done = await trio.run_process(
                [sys.executable, "-c", LIBPQ_CLIENT], stdin=arguments, capture_stdout=True
            )
        return [(s, v if v is None else bytes.fromhex(v), d) for s, v, d in json.loads(done.stdout)]

    async def wait_until(self, condition: Any) -> None:
        with trio.fail_after(TIMEOUT_S):
            while not condition():
                await trio.sleep(0.01)


@asynccontextmanager
async def running_program(tmp_path: Path) -> AsyncIterator[ProgramHarness]:
    async with trio.open_nursery() as nursery:
        endpoints = [MinimalEndpoint(primary=True), MinimalEndpoint(primary=False)]
        for endpoint in endpoints:
            await nursery.start(endpoint.run)
        hosts = [
            list_entry("p", endpoints[0].port, replication="primary"),
            list_entry("a", endpoints[1].port, replication="standby"),
        ]
        discovery = DiscoveryServer(hosts)
        await nursery.start(discovery.run)
        path = tmp_path / "config.json"
        path.write_bytes(
            config_bytes(
                known={"seq": 0, "whole": True, "hosts": hosts}, discovery=f"127.0.0.1:{discovery.port}"
            )
        )
        program = Program(parse_config(path.read_bytes()), path, Log())
        await nursery.start(program.discovery.run)
        program.start()

        async def serve() -> None:
            await program.serve()
            nursery.cancel_scope.cancel()

        nursery.start_soon(serve)
        yield ProgramHarness(program, endpoints, discovery)
        nursery.cancel_scope.cancel()


async def test_libpq_client_gets_results_and_errors(tmp_path: Path) -> None:
    async with running_program(tmp_path) as harness:
        found = await harness.execute(
            b"",
            write_query("00000000000000aa"),
            read_query("00000000000000ab", "own", timeout_ms=3000),
            b"SELECT 1",
            read_query("00000000000000ab"),
            read_query("00000000000000ac", timeout_ms=3000),
        )
        assert [state for state, _, _ in found] == [None, None, None, "42601", "42710", None]
        assert found[1][1] == b"\0"
        assert found[2][1] == b"row-1"
        seen = [text for endpoint in harness.endpoints for text in endpoint.received]
        assert (
            sum(b"00000000000000a" in text for text in seen) == 3
        )  # each once; invalid requests are not forwarded
        assert any(b"INSERT" in text for text in harness.endpoints[0].received)


async def test_reload_moves_watch_to_new_discovery_address(tmp_path: Path) -> None:
    async with running_program(tmp_path) as harness:
        await harness.wait_until(lambda: harness.discovery.calls >= 1)
        async with trio.open_nursery() as nursery:
            other = DiscoveryServer(harness.discovery.hosts)
            await nursery.start(other.run)
            text = config_bytes(known={"seq": 0, "whole": True, "hosts": harness.discovery.hosts})
            harness.program.config_path.write_bytes(text[: len(text) // 2])
            harness.program.reload()  # an incomplete file is rejected
            assert harness.program.discovery.address[1] == harness.discovery.port
            text = text.replace(b'"127.0.0.1:9"', b'"127.0.0.1:%d"' % other.port)
            harness.program.config_path.write_bytes(text)
            harness.program.reload()
            await harness.wait_until(lambda: other.calls >= 1)
            other.update(list_entry("b", harness.endpoints[1].port))
            await harness.wait_until(lambda: "b" in harness.program.driver.endpoint_pools.pools)
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("problem", ["unreadable", "half written"])
async def test_temporarily_unreadable_configuration_is_applied_without_another_signal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, problem: str
) -> None:
    """The platform signals an address change only once and then expects drivers to follow the new server."""
    async with running_program(tmp_path) as harness, trio.open_nursery() as nursery:
        other = DiscoveryServer(harness.discovery.hosts)
        await nursery.start(other.run)
        text = config_bytes(
            known={"seq": 0, "whole": True, "hosts": harness.discovery.hosts},
            discovery=f"127.0.0.1:{other.port}",
        )
        path = harness.program.config_path
        path.write_bytes(text[: len(text) // 2] if problem == "half written" else text)
        faults = InjectedFaults({FaultKind.FILE: 1.0} if problem == "unreadable" else {}, seed=1)
        read_bytes = Path.read_bytes

        def faulty(file: Path) -> bytes:
            faults.raise_if_occurs(FaultKind.FILE)
            return read_bytes(file)

        monkeypatch.setattr(Path, "read_bytes", faulty)
        harness.program.reload()
        await harness.wait_until(lambda: faults.counts[FaultKind.FILE] >= 3 or problem == "half written")
        assert harness.program.discovery.address[1] == harness.discovery.port
        faults.rates = {}
        path.write_bytes(text)
        await harness.wait_until(lambda: other.calls >= 1)
        nursery.cancel_scope.cancel()


async def test_new_discovery_is_called_in_time_despite_read_failures(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against missed drains: changes at the new discovery count as notified 4 s after the signal."""
    async with running_program(tmp_path) as harness, trio.open_nursery() as nursery:
        other = DiscoveryServer(harness.discovery.hosts)
        await nursery.start(other.run)
        known = {"seq": 0, "whole": True, "hosts": harness.discovery.hosts}
        harness.program.config_path.write_bytes(
            config_bytes(known=known, discovery=f"127.0.0.1:{other.port}")
        )
        signalled_s = trio.current_time()
        read_bytes = Path.read_bytes

        def fail_initially(file: Path) -> bytes:
            if trio.current_time() < signalled_s + READ_FAILURES_S:
                raise OSError(errno.EMFILE, "injected")
            return read_bytes(file)

        monkeypatch.setattr(Path, "read_bytes", fail_initially)
        harness.program.reload()
        await harness.wait_until(lambda: other.calls >= 1)
        assert READ_FAILURES_S <= trio.current_time() - signalled_s < NOTIFIED_AFTER_RELOAD_S
        nursery.cancel_scope.cancel()


def _inject_connection_error(patch: pytest.MonkeyPatch, _program: Program) -> None:
    data_received = ClientConnection.data_received

    def faulty(client: ClientConnection, data: bytes) -> None:
        if b"unexpected" in data:
            raise RuntimeError("injected")
        data_received(client, data)

    patch.setattr(ClientConnection, "data_received", faulty)


def _inject_timer_error(_patch: pytest.MonkeyPatch, program: Program) -> None:
    def faulty() -> None:
        raise RuntimeError("injected")

    program.driver.timers.call_at(0, faulty)


def _inject_policy_error(patch: pytest.MonkeyPatch, _program: Program) -> None:
    on_request = Router._on_request

    def faulty(router: Router, event: Request) -> None:
        if event.id.endswith("bad"):
            raise RuntimeError("injected")
        on_request(router, event)

    patch.setattr(Router, "_on_request", faulty)


@pytest.mark.parametrize("inject", [_inject_connection_error, _inject_timer_error, _inject_policy_error])
async def test_unexpected_error_affects_only_its_own_connection_or_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, inject: Callable[[pytest.MonkeyPatch, Program], None]
) -> None:
    async with running_program(tmp_path) as harness:
        inject(monkeypatch, harness.program)
        assert harness.program.acceptor is not None
        stream = await trio.open_tcp_stream("127.0.0.1", harness.program.acceptor.port)
        good = messages.query(read_query("00000000000000a1", timeout_ms=3000))
        bad = messages.query(read_query("0000000000000bad", timeout_ms=3000, key="row-2"))
        await stream.send_all(STARTUP_MESSAGE + good + bad)
        # Both requests are in one batch; the first must be served although the second fails.
        received = b""
        with trio.fail_after(TIMEOUT_S):
            while received.count(messages.READY) < 3:
                data = await stream.receive_some(4096)
                assert data
                received += data
        assert b"row-1" in received
        await stream.send_all(messages.query(b"unexpected"))
        found = await harness.execute(read_query("00000000000000a3", timeout_ms=3000))
        assert found[0][0] is None
        await stream.aclose()


async def test_driver_keeps_serving_during_shutdown(tmp_path: Path) -> None:
    async with running_program(tmp_path) as harness:
        harness.program.begin_shutdown()
        found = await harness.execute(read_query("00000000000000ad", timeout_ms=3000))
        assert found[0][0] is None
        assert harness.program.driver.shutdown.started


@pytest.mark.usefixtures("autojump_clock")
async def test_listener_accepts_backlog_before_closing() -> None:
    poller = Poller(Clock())
    accepted: list[object] = []
    acceptor = Acceptor(poller, "127.0.0.1", 0, accepted.append)
    stream = await trio.open_tcp_stream("127.0.0.1", acceptor.port)
    acceptor.close()
    assert len(accepted) == 1
    assert not acceptor.is_open
    await stream.aclose()
    poller.close()
