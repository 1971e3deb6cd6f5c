"""A driver with a manual clock and recording transports, for tests without sockets."""

from __future__ import annotations

import io
import json
from typing import Any

from juniperreel.net.transport import Protocol, Transport
from juniperreel.platform.config import Config, parse_config
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoint_connection import EndpointConnection
from juniperreel.platform.endpoint_list import read_endpoint_list
from juniperreel.platform.log import Log
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import UpdateKind

MS, SEC = 1_000, 1_000_000
START_US = 1_767_225_600 * SEC
STARTUP_MESSAGE = m.startup("worker", "catalog")
EMPTY_QUERY = m.query(b"")

SETTINGS: dict[str, Any] = {
    "balancers": 2,
    "ceilings": {
        "cancelling": True,
        "conn_idle_s": 4.0,
        "connect_timeout_s": 0.25,
        "max_attempts": 4,
        "max_retry_after_s": 1.0,
        "probes": True,
        "retry_after": True,
        "second_copies": False,
    },
    "kinds": ["k"],
    "membership_mode": "ask",
    "rules": {
        "ask_every_s": 10.0,
        "cold_from": 0.2,
        "cold_s": 10.0,
        "fall_multiple": 2.0,
        "grace_to_answer_s": 0.02,
        "overload_for_s": 3.0,
        "stop_sending_within_s": 2.0,
    },
    "services": [
        {"name": "view", "effect": "repeatable", "objective_s": 0.5, "deadline_s": 2.0, "worth": 1.0},
        {"name": "own", "effect": "repeatable", "objective_s": 0.5, "deadline_s": 2.0, "worth": 1.0},
        {
            "name": "save",
            "effect": "by_key",
            "key_scope": "cell",
            "memory_span_s": 5.0,
            "objective_s": 1.0,
            "deadline_s": 3.0,
            "worth": 2.0,
        },
    ],
    "specifics": {
        "consistency": ["any", "session", "write"],
        "guards": "off",
        "lag_allowed_s": [0.0, 0.0, 0.0],
        "position_zero_s": 0.0,
        "positions": True,
        "shows_role": "late",
        "token_mode": "remembered",
    },
    "tenants": [{"name": "acme", "fraction": 1.0, "quota_rps": 100.0}],
    "zone": 0,
    "zones": ["east"],
}


def list_entry(name: str, port: int, **overrides: Any) -> dict[str, Any]:
    line = {"host": name, "dial": f"127.0.0.1:{port}", "site": "east", "class": "k", "block": 0}
    return {**line, "health": "Ready", "share": 1.0, "born_ms": 0, **overrides}


HOSTS = [list_entry("p", 1001, replication="primary"), list_entry("a", 1002, replication="standby")]


def config_bytes(**overrides: Any) -> bytes:
    file = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "5f",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 3, "whole": True, "hosts": HOSTS},
        "settings": SETTINGS,
    }
    return json.dumps({**file, **overrides}).encode()


class FakeTransport(Transport):
    """Records what is written to it; tests act as the peer through its protocol."""

    def __init__(self) -> None:
        self.protocol: Protocol | None = None
        self.closed = False
        self.reading_paused = False
        self.eof_written = False
        self.has_unread = False
        self.sent = bytearray()
        self.unsent_bytes = 0  # bytes that the kernel does not accept

    @property
    def write_buffer_size(self) -> int:
        return self.unsent_bytes

    def write(self, data: bytes | bytearray) -> None:
        if not self.eof_written:
            self.sent += data

    def take(self) -> bytes:
        """Return what was written since the last call."""
        sent = bytes(self.sent)
        self.sent.clear()
        return sent

    def has_nothing_to_read(self) -> bool:
        return not self.closed and not self.has_unread

    def peer_has_disconnected(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    def write_eof(self) -> None:
        self.eof_written = True

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        self.reading_paused = False


def read_query(name: str, cls: str = "view", timeout_ms: int = 800, key: str = "row-1", **more: Any) -> bytes:
    extra = "".join(f",{k}={v}" for k, v in more.items())
    comment = f"id={name},c={cls},t=acme,d={timeout_ms},cluster=0{extra}"
    return f"SELECT body FROM objects WHERE oid = '{key}' /* {comment} */".encode()


def write_query(name: str, timeout_ms: int = 2000, key: str = "row-1") -> bytes:
    comment = f"id={name},c=save,t=acme,d={timeout_ms},k={name},cluster=0"
    statement = f"INSERT INTO objects (oid, body) VALUES ('{key}', '\\x00') RETURNING body"
    return f"{statement} /* {comment} */".encode()


def row_reply(
    value: bytes = b"v", role: str = "standby", position: int | None = None, complete: bool = True
) -> bytes:
    """Build the reply to a query; without `complete` it lacks ReadyForQuery."""
    described = m.message(b"T", b"\0\1body\0" + b"\0" * 16 + b"\0\1")
    data = m.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)
    parameters = m.parameter("replication_role", role)
    if position is not None:
        parameters += m.parameter("log_position", str(position))
    return described + data + m.message(b"C", b"SELECT 1\0") + parameters + (m.READY if complete else b"")


class FakeDiscovery:
    """Records a driver's discovery calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def subscribe(self, enabled: bool) -> None:
        self.calls.append("subscribe" if enabled else "unsubscribe")

    def fetch(self) -> None:
        self.calls.append("fetch")


class EventHarness:
    """One driver with its clients and the peers of its endpoint connections."""

    def __init__(self, **overrides: Any) -> None:
        self.time = START_US
        self.answers_empty_queries = True  # as endpoints do, at once
        self.config: Config = parse_config(config_bytes(**overrides))
        self.opened: list[tuple[int, FakeTransport]] = []
        self.discovery = FakeDiscovery()
        self.log_output = io.StringIO()
        self.driver = PlatformDriver(
            self.config, lambda: self.time, self._connect, self.discovery, Log(self.log_output)
        )
        self.driver.on_endpoint_update(
            UpdateKind.CACHED, read_endpoint_list(self.config.cached_endpoint_list, ["east"], ["k"])
        )
        self.process()

    def _connect(self, _host: str, port: int) -> FakeTransport:
        transport = FakeTransport()
        self.opened.append((port, transport))
        return transport

    def process(self) -> None:
        """Run one iteration of the driver."""
        self.driver.input_ready_since_us = self.time
        self.driver.process_pending()
        if self.answers_empty_queries:
            self._answer_empty_queries()

    def _answer_empty_queries(self) -> None:
        for _, transport in self.opened:
            if transport.sent.endswith(EMPTY_QUERY) and not transport.closed:
                assert transport.protocol is not None
                del transport.sent[-len(EMPTY_QUERY) :]
                transport.protocol.data_received(server.empty_query_response())

    def advance_us(self, duration_us: int) -> None:
        """Advance the clock, running the driver whenever a timer is due."""
        end = self.time + duration_us
        while (due := self.driver.next_due_us()) is not None and due <= end:
            self.time = max(self.time, due)
            self.process()
        self.time = end
        self.process()

    def client(self, *texts: bytes) -> FakeTransport:
        """Connect a client that sends these queries; the startup response is removed from its output."""
        transport = FakeTransport()
        self.driver.client_listener.accept(transport)
        assert transport.protocol is not None
        transport.protocol.data_received(STARTUP_MESSAGE + b"".join(map(m.query, texts)))
        self.process()
        del transport.sent[: len(server.STARTUP_RESPONSE)]
        return transport

    def feed(self, transport: FakeTransport, data: bytes) -> None:
        """Deliver bytes from the peer."""
        assert transport.protocol is not None
        transport.protocol.data_received(data)
        self.process()

    def disconnect(self, transport: FakeTransport) -> None:
        """Let the peer close the connection."""
        transport.closed = True
        assert transport.protocol is not None
        transport.protocol.connection_lost("closed")
        self.process()

    def log_in(self, transport: FakeTransport) -> bytes:
        """Let the endpoint accept a connection and complete its startup; return the query that follows."""
        assert transport.protocol is not None
        transport.protocol.connection_made()
        transport.take()
        self.feed(transport, server.STARTUP_RESPONSE)
        return transport.take()

    def busy_transports(self) -> list[FakeTransport]:
        """Return the open endpoint connections with an exchange, in order of creation."""
        return [
            transport
            for _, transport in self.opened
            if isinstance(transport.protocol, EndpointConnection)
            and transport.protocol.exchange is not None
            and not transport.closed
        ]
