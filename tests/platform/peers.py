"""A driver on a hand-moved clock, with wires that only remember: for tests by events."""

from __future__ import annotations

import io
import json
from typing import Any

from juniperreel.net.poll import Peer, Wire
from juniperreel.platform.config import Config, parse
from juniperreel.platform.driver import PlatformDriver
from juniperreel.platform.endpoints import read
from juniperreel.platform.links import MemberConnection
from juniperreel.platform.log import Log
from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from juniperreel.routing.types import (
    UpdateKind,
)

MS, SEC = 1_000, 1_000_000
HELLO = m.startup("worker", "catalog")

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


def entry(name: str, port: int, **changes: Any) -> dict[str, Any]:
    line = {"host": name, "dial": f"127.0.0.1:{port}", "site": "east", "class": "k", "block": 0}
    return {**line, "health": "Ready", "share": 1.0, "born_ms": 0, **changes}


HOSTS = [entry("p", 1001, replication="primary"), entry("a", 1002, replication="standby")]


def config_bytes(**changes: Any) -> bytes:
    file = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "5f",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 3, "whole": True, "hosts": HOSTS},
        "settings": SETTINGS,
    }
    return json.dumps({**file, **changes}).encode()


class FakeWire(Wire):
    def __init__(self) -> None:
        self.peer: Peer | None = None
        self.closed = self.paused = self.finished = self.unread = False
        self.sent = bytearray()
        self.stuck = 0  # bytes that the kernel does not take

    @property
    def pending(self) -> int:
        return self.stuck

    def write(self, data: bytes | bytearray) -> None:
        if not self.finished:
            self.sent += data

    def take(self) -> bytes:
        sent, self.sent = bytes(self.sent), bytearray()
        return sent

    def quiet(self) -> bool:
        return not self.closed and not self.unread

    def close(self) -> None:
        self.closed = True

    def finish(self) -> None:
        self.finished = True

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False


def read_text(name: str, cls: str = "view", span: int = 800, key: str = "row-1", **more: Any) -> bytes:
    extra = "".join(f",{k}={v}" for k, v in more.items())
    comment = f"id={name},c={cls},t=acme,d={span},cluster=0{extra}"
    return f"SELECT body FROM objects WHERE oid = '{key}' /* {comment} */".encode()


def write_text(name: str, span: int = 2000, key: str = "row-1") -> bytes:
    comment = f"id={name},c=save,t=acme,d={span},k={name},cluster=0"
    statement = f"INSERT INTO objects (oid, body) VALUES ('{key}', '\\x00') RETURNING body"
    return f"{statement} /* {comment} */".encode()


def row(value: bytes = b"v", role: str = "standby", position: int | None = None, whole: bool = True) -> bytes:
    """Not `whole`: it stops short of ReadyForQuery."""
    described = m.message(b"T", b"\0\1body\0" + b"\0" * 16 + b"\0\1")
    data = m.message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value)
    facts = m.parameter("replication_role", role)
    if position is not None:
        facts += m.parameter("log_position", str(position))
    return described + data + m.message(b"C", b"SELECT 1\0") + facts + (m.READY if whole else b"")


class World:
    """One driver, its clients and its members' ends."""

    def __init__(self, **changes: Any) -> None:
        self.time = 1_767_225_600 * SEC
        self.config: Config = parse(config_bytes(**changes))
        self.dialled: list[tuple[int, FakeWire]] = []
        self.asked: list[bool | None] = []
        self.out = io.StringIO()
        self.driver = PlatformDriver(
            self.config, lambda: self.time, self._dial, self.asked.append, Log(self.out)
        )
        self.driver.told(UpdateKind.CACHED, read(self.config.known, ["east"], ["k"]))
        self.turn()

    def _dial(self, host: str, port: int) -> FakeWire:
        wire = FakeWire()
        self.dialled.append((port, wire))
        return wire

    def turn(self) -> None:
        self.driver.arrived_us = self.time
        self.driver.turn()

    def pass_us(self, span: int) -> None:
        """Let time pass with all that falls due."""
        end = self.time + span
        while (due := self.driver.due()) is not None and due <= end:
            self.time = max(self.time, due)
            self.turn()
        self.time = end
        self.turn()

    def client(self, *texts: bytes) -> FakeWire:
        wire = FakeWire()
        self.driver.front.welcome(wire)
        assert wire.peer is not None
        wire.peer.received(HELLO + b"".join(map(m.query, texts)))
        del wire.sent[: len(server.STARTUP_RESPONSE)]
        self.turn()
        return wire

    def say(self, wire: FakeWire, data: bytes) -> None:
        assert wire.peer is not None
        wire.peer.received(data)
        self.turn()

    def end(self, wire: FakeWire) -> None:
        wire.closed = True
        assert wire.peer is not None
        wire.peer.ended("closed")
        self.turn()

    def up(self, wire: FakeWire) -> bytes:
        """The member welcomes a new connection; returns the query that follows."""
        assert wire.peer is not None
        wire.peer.connected()
        wire.take()
        self.say(wire, server.STARTUP_RESPONSE)
        return wire.take()

    def calls(self) -> list[FakeWire]:
        """Members' ends that have a request on them or before them, in order."""
        return [
            w
            for _, w in self.dialled
            if isinstance(w.peer, MemberConnection) and w.peer.job is not None and not w.closed
        ]
