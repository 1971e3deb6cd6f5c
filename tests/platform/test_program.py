"""The whole program on loopback sockets: libpq as client, stand-ins for a member and for discovery."""

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
from tests.platform.event_harness import HELLO, config_bytes, entry, read_text, write_text

SECONDS = 30
READINGS_FAIL_S = 2.0
TOLD_AFTER_RELOAD_S = 4.0  # after SIGHUP the operators count as told what the new discovery has
WITNESS = """
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


class Running:
    def __init__(self, program: Program, members: list[MinimalEndpoint], discovery: DiscoveryServer) -> None:
        self.program, self.members, self.discovery = program, members, discovery

    async def ask(self, *texts: bytes) -> list[tuple[str | None, bytes | None, str]]:
        """SQLSTATE, value and detail of each, over one connection of libpq's."""
        assert self.program.acceptor is not None
        port = self.program.acceptor.port
        target = f"host=127.0.0.1 port={port} user=worker dbname=catalog connect_timeout=10"
        said = json.dumps([target, [text.hex() for text in texts]]).encode()
        with trio.fail_after(SECONDS):
            # In a process of its own: libpq's binding keeps the interpreter's lock while it waits.
            done = await trio.run_process([sys.executable, "-c", WITNESS], stdin=said, capture_stdout=True)
        return [(s, v if v is None else bytes.fromhex(v), d) for s, v, d in json.loads(done.stdout)]

    async def until(self, what: Any) -> None:
        with trio.fail_after(SECONDS):
            while not what():
                await trio.sleep(0.01)


@asynccontextmanager
async def running(tmp_path: Path) -> AsyncIterator[Running]:
    async with trio.open_nursery() as nursery:
        members = [MinimalEndpoint(primary=True), MinimalEndpoint(primary=False)]
        for member in members:
            await nursery.start(member.run)
        hosts = [
            entry("p", members[0].port, replication="primary"),
            entry("a", members[1].port, replication="standby"),
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
        yield Running(program, members, discovery)
        nursery.cancel_scope.cancel()


async def test_libpq_is_served_and_told_of_faults(tmp_path: Path) -> None:
    async with running(tmp_path) as harness:
        found = await harness.ask(
            b"",
            write_text("00000000000000aa"),
            read_text("00000000000000ab", "own", span=3000),
            b"SELECT 1",
            read_text("00000000000000ab"),
            read_text("00000000000000ac", span=3000),
        )
        assert [state for state, _, _ in found] == [None, None, None, "42601", "42710", None]
        assert found[1][1] == b"\0"
        assert found[2][1] == b"row-1"
        seen = [text for member in harness.members for text in member.received]
        assert sum(b"00000000000000a" in text for text in seen) == 3  # each once, no fault passed on
        assert any(b"INSERT" in text for text in harness.members[0].received)


async def test_a_watch_goes_on_and_a_new_address_is_followed(tmp_path: Path) -> None:
    async with running(tmp_path) as harness:
        await harness.until(lambda: harness.discovery.calls >= 1)
        async with trio.open_nursery() as nursery:
            other = DiscoveryServer(harness.discovery.hosts)
            await nursery.start(other.run)
            text = config_bytes(known={"seq": 0, "whole": True, "hosts": harness.discovery.hosts})
            harness.program.config_path.write_bytes(text[: len(text) // 2])
            harness.program.reload()  # half a file is not taken
            assert harness.program.discovery.address[1] == harness.discovery.port
            text = text.replace(b'"127.0.0.1:9"', b'"127.0.0.1:%d"' % other.port)
            harness.program.config_path.write_bytes(text)
            harness.program.reload()
            await harness.until(lambda: other.calls >= 1)
            other.update(entry("b", harness.members[1].port))
            await harness.until(lambda: "b" in harness.program.driver.endpoint_pools.pools)
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("trouble", ["unreadable", "half written"])
async def test_a_configuration_that_is_not_readable_at_once_is_followed_without_another_signal(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    """Danger: the operators tell the change of address once, and hold drivers to what the new one tells."""
    async with running(tmp_path) as harness, trio.open_nursery() as nursery:
        other = DiscoveryServer(harness.discovery.hosts)
        await nursery.start(other.run)
        text = config_bytes(
            known={"seq": 0, "whole": True, "hosts": harness.discovery.hosts},
            discovery=f"127.0.0.1:{other.port}",
        )
        path = harness.program.config_path
        path.write_bytes(text[: len(text) // 2] if trouble == "half written" else text)
        faults = InjectedFaults({FaultKind.FILE: 1.0} if trouble == "unreadable" else {}, seed=1)
        read_bytes = Path.read_bytes

        def faulty(file: Path) -> bytes:
            faults.raise_if_occurs(FaultKind.FILE)
            return read_bytes(file)

        monkeypatch.setattr(Path, "read_bytes", faulty)
        harness.program.reload()
        await harness.until(lambda: faults.counts[FaultKind.FILE] >= 3 or trouble == "half written")
        assert harness.program.discovery.address[1] == harness.discovery.port
        faults.rates = {}
        path.write_bytes(text)
        await harness.until(lambda: other.calls >= 1)
        nursery.cancel_scope.cancel()


async def test_another_discovery_is_asked_in_time_though_readings_fail_for_seconds(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unheard drains: what the new discovery has counts as told 4 s after the signal."""
    async with running(tmp_path) as harness, trio.open_nursery() as nursery:
        other = DiscoveryServer(harness.discovery.hosts)
        await nursery.start(other.run)
        known = {"seq": 0, "whole": True, "hosts": harness.discovery.hosts}
        harness.program.config_path.write_bytes(
            config_bytes(known=known, discovery=f"127.0.0.1:{other.port}")
        )
        signalled_s = trio.current_time()
        read_bytes = Path.read_bytes

        def fails_at_first(file: Path) -> bytes:
            if trio.current_time() < signalled_s + READINGS_FAIL_S:
                raise OSError(errno.EMFILE, "planted")
            return read_bytes(file)

        monkeypatch.setattr(Path, "read_bytes", fails_at_first)
        harness.program.reload()
        await harness.until(lambda: other.calls >= 1)
        assert READINGS_FAIL_S <= trio.current_time() - signalled_s < TOLD_AFTER_RELOAD_S
        nursery.cancel_scope.cancel()


def _plant_in_a_connection(patch: pytest.MonkeyPatch, _program: Program) -> None:
    data_received = ClientConnection.data_received

    def planted(client: ClientConnection, data: bytes) -> None:
        if b"unexpected" in data:
            raise RuntimeError("planted")
        data_received(client, data)

    patch.setattr(ClientConnection, "data_received", planted)


def _plant_in_a_timer(_patch: pytest.MonkeyPatch, program: Program) -> None:
    def planted() -> None:
        raise RuntimeError("planted")

    program.driver.timers.call_at(0, planted)


def _plant_in_the_policy(patch: pytest.MonkeyPatch, _program: Program) -> None:
    on_request = Router._on_request

    def planted(router: Router, event: Request) -> None:
        if event.id.endswith("bad"):
            raise RuntimeError("planted")
        on_request(router, event)

    patch.setattr(Router, "_on_request", planted)


@pytest.mark.parametrize("plant", [_plant_in_a_connection, _plant_in_a_timer, _plant_in_the_policy])
async def test_an_unexpected_error_ends_what_it_is_about_and_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, plant: Callable[[pytest.MonkeyPatch, Program], None]
) -> None:
    async with running(tmp_path) as harness:
        plant(monkeypatch, harness.program)
        assert harness.program.acceptor is not None
        stream = await trio.open_tcp_stream("127.0.0.1", harness.program.acceptor.port)
        good = messages.query(read_text("00000000000000a1", span=3000))
        bad = messages.query(read_text("0000000000000bad", span=3000, key="row-2"))
        await stream.send_all(HELLO + good + bad)
        # Of these two, taken in one batch, the first is served whatever becomes of the second.
        received = b""
        with trio.fail_after(SECONDS):
            while received.count(messages.READY) < 3:
                data = await stream.receive_some(4096)
                assert data
                received += data
        assert b"row-1" in received
        await stream.send_all(messages.query(b"unexpected"))
        found = await harness.ask(read_text("00000000000000a3", span=3000))
        assert found[0][0] is None
        await stream.aclose()


async def test_a_driver_told_to_end_serves_on_and_ends(tmp_path: Path) -> None:
    async with running(tmp_path) as harness:
        harness.program.begin_shutdown()
        found = await harness.ask(read_text("00000000000000ad", span=3000))
        assert found[0][0] is None
        assert harness.program.driver.shutdown.started


@pytest.mark.usefixtures("autojump_clock")
async def test_a_listener_takes_what_the_kernel_has_and_closes() -> None:
    poller = Poller(Clock())
    accepted: list[object] = []
    acceptor = Acceptor(poller, "127.0.0.1", 0, accepted.append)
    stream = await trio.open_tcp_stream("127.0.0.1", acceptor.port)
    acceptor.close()
    assert len(accepted) == 1
    assert not acceptor.is_open
    await stream.aclose()
    poller.close()
