"""Small stand-ins of the platform: members, discovery, clients, and the start of one driver.

Standard library only. Everything is on loopback addresses and the real clock. The members, discovery and
clients of a case share one event loop; the driver is a process, started by the deploy file's `run`.
Where a page is silent, a stand-in behaves as a sound server, client or platform would.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY = b"Z\x00\x00\x00\x05I"
COMMENT = re.compile(rb"/\* (.*) \*/$")
STATEMENT = re.compile(rb"^(SELECT|INSERT).*?'([0-9A-Za-z_.:@-]+)'")


def now_ms() -> float:
    """The wall clock in milliseconds, as positions on sockets are counted."""
    return time.time() * 1000


def message(kind: bytes, payload: bytes) -> bytes:
    """Encode one message."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def parameter(name: str, value: str) -> bytes:
    """Encode a ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code: str, text: str) -> bytes:
    """Encode an ErrorResponse."""
    return message(b"E", f"SERROR\0VERROR\0C{code}\0M{text}\0\0".encode())


def row(value: bytes) -> bytes:
    """Encode a result of one row and one column."""
    description = struct.pack("!H", 1) + b"body\0" + struct.pack("!IHIHIH", 0, 0, 17, 0xFFFF, 0xFFFFFFFF, 1)
    data = struct.pack("!HI", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", b"SELECT 1\0")


WELCOME = message(b"R", struct.pack("!I", 0)) + message(b"K", struct.pack("!II", 1, 1)) + READY
STARTUP_BODY = struct.pack("!I", 196608) + b"user\0worker\0database\0catalog\0\0"
STARTUP = struct.pack("!I", len(STARTUP_BODY) + 4) + STARTUP_BODY


class Record:
    """Writes `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, event: str, **facts: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{time.monotonic() - self._start:9.3f} {event} {text}\n")

    def close(self) -> None:
        """Close it."""
        self._file.close()


@dataclass
class Statement:
    """One statement as a member reads it."""

    is_write: bool
    key: str
    names: dict[str, str]
    size: int

    @property
    def id(self) -> str:
        """The request's id."""
        return self.names["id"]


def parse(text: bytes) -> Statement | None:
    """Read a statement of the protocol page, or return None."""
    head = STATEMENT.match(text[:300])
    comment = COMMENT.search(text[-400:])
    if head is None or comment is None:
        return None
    names = dict(part.split("=", 1) for part in comment.group(1).decode().split(","))
    return Statement(head.group(1) == b"INSERT", head.group(2).decode(), names, len(text))


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the next message: type and payload."""
    kind = await reader.readexactly(1)
    (size,) = struct.unpack("!I", await reader.readexactly(4))
    return kind, await reader.readexactly(size - 4)


class Group:
    """The data of one group: the log of its commits, and who is primary."""

    def __init__(self) -> None:
        self.commits: dict[str, list[tuple[float, str]]] = {}  # by key: commit time, request
        self.primary: Member | None = None

    def commit(self, key: str, request: str) -> float:
        """Commit a write now; return its commit time."""
        at = float(int(now_ms()) + 1)  # rounded up to a whole millisecond
        self.commits.setdefault(key, []).append((at, request))
        return at

    def seen(self, key: str, position: float) -> list[str]:
        """Return the writes of a key that a position includes."""
        return [request for at, request in self.commits.get(key, []) if at <= position]


OnStatement = Callable[["Member", Statement], Awaitable[bytes | None]]


class Member:
    """One database process: one request at a time on a connection, a limited number at work."""

    def __init__(self, world: World, name: str, group: Group, cores: int = 5, queue: int = 60) -> None:
        self.world = world
        self.name = name
        self.group = group
        self.port = 0
        self.lag_ms = 10.0
        self.frozen_at: float | None = None  # position at which applying stands still
        self.cores = asyncio.Semaphore(cores)
        self.waiting = 0
        self.queue = queue
        self.born_ms = 0
        self.health = "Ready"
        self.work: Callable[[Statement], float] = lambda _statement: 0.02
        self.hook: OnStatement | None = None
        self.arrived = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_primary(self) -> bool:
        """Whether this member is the primary now."""
        return self.group.primary is self

    @property
    def position(self) -> float:
        """Up to when every commit is applied."""
        if self.is_primary:
            return float(int(now_ms()))
        if self.frozen_at is not None:
            return self.frozen_at
        return float(int(now_ms() - self.lag_ms))

    def entry(self) -> dict[str, Any]:
        """The member's line in the list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "east",
            "class": "std",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
            "replication": "primary" if self.is_primary else "standby",
        }

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a killed process does: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            (size,) = struct.unpack("!I", await reader.readexactly(4))
            await reader.readexactly(size - 4)
            writer.write(WELCOME)
            while True:
                kind, payload = await read_message(reader)
                if kind != b"Q":
                    return
                await self._answer(payload[:-1], reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled only when the case ends
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, text: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        statement = parse(text)
        if text == b"SHOW pressure":
            writer.write(row(self.report().encode()) + READY)
            return
        if statement is None:
            code = message(b"I", b"") if not text.strip() else error("08P01", "not understood")
            writer.write(code + READY)
            return
        self.arrived += 1
        self.world.record(
            "arrived", member=self.name, id=statement.id, write=statement.is_write, d=statement.names.get("d")
        )
        work = asyncio.ensure_future(self._run(statement))
        gone = asyncio.ensure_future(reader.read(1))  # one request at a time: only an end can come
        done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            work.cancel()  # work stops when its request is cancelled
            self.world.record("cancelled", member=self.name, id=statement.id)
            raise ConnectionResetError
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        answer = work.result()
        if answer is None:
            await reader.read(1)
            raise ConnectionResetError
        writer.write(answer)

    def report(self) -> str:
        """The answer to `SHOW pressure`."""
        return f"x0={self.position / 1000:.3f},x1={int(self.is_primary)},queue={self.waiting}"

    def status(self, position: float | None = None) -> bytes:
        """Role and position, as every answer tells them."""
        role = "primary" if self.is_primary else "standby"
        place = self.position if position is None else position
        return parameter("replication_role", role) + parameter("log_position", str(int(place)))

    async def _run(self, statement: Statement) -> bytes | None:
        if self.hook is not None:
            answer = await self.hook(self, statement)
            if answer is not None:
                return answer or None
        if statement.is_write and not self.is_primary:
            return error("25006", "not the primary") + self.status() + READY
        if self.waiting >= self.queue:
            return error("53300", "queue full") + self.status() + READY
        self.waiting += 1
        try:
            async with self.cores:
                self.waiting -= 1
                try:
                    await asyncio.sleep(self.work(statement))
                finally:
                    self.waiting += 1
        finally:
            self.waiting -= 1
        return self.execute(statement)

    def execute(self, statement: Statement) -> bytes:
        """Run the statement now, and return its whole answer."""
        if statement.is_write:
            if not self.is_primary:
                return error("XX000", "lost its role") + self.status() + READY
            at = self.group.commit(statement.key, statement.id)
            self.world.record("ran", member=self.name, id=statement.id, key=statement.key, commit=at)
            return row(f"{statement.id}|{self.name}|".encode()) + self.status(at) + READY
        position = self.position
        seen = ",".join(self.group.seen(statement.key, position))
        self.world.record("ran", member=self.name, id=statement.id, position=position)
        return row(f"{statement.id}|{self.name}|{seen}".encode()) + self.status() + READY


class Discovery:
    """The member list over HTTP: whole lists, and watches that wait for a newer version."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.port = 0
        self.seq = 10
        self.hosts: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def publish(self, *entries: dict[str, Any]) -> None:
        """Show changed entries under a new version."""
        self.seq += 1
        for entry in entries:
            self.hosts[entry["host"]] = dict(entry)
            self._changed[entry["host"]] = self.seq
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        hosts = [host for host in self.hosts.values() if host["health"] != "Gone"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                body = json.dumps(await self._body(query)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % len(body)
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # cancelled only when the case ends
        finally:
            writer.close()

    async def _body(self, query: dict[str, str]) -> dict[str, Any]:
        if "after" not in query:
            return self.whole()
        after = int(query["after"])
        if after >= self.seq:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._news.wait(), int(query.get("wait_ms", "0")) / 1000)
        hosts = [self.hosts[name] for name, seq in self._changed.items() if seq > after]
        return {"seq": self.seq, "whole": False, "hosts": hosts}


@dataclass
class Answer:
    """What a client got for one request: `kind` is served, refused, failed or lost."""

    kind: str
    value: bytes = b""
    code: str = ""
    seconds: float = 0.0


class Client:
    """A client's connection to the driver; requests may be pipelined."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> Client:
        """Connect, and wait to be welcomed."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.world.driver_port, limit=1 << 20
        )
        self.writer.write(STARTUP)
        while (await read_message(self.reader))[0] != b"Z":
            pass
        return self

    def send(self, text: bytes) -> None:
        """Send one query."""
        self.writer.write(message(b"Q", text + b"\0"))

    async def receive(self) -> Answer:
        """Read one answer, up to ReadyForQuery. Ends as `lost` if the connection ends before."""
        answer = Answer("lost")
        try:
            while True:
                kind, payload = await read_message(self.reader)
                if kind == b"D":
                    answer.value = payload[6:]
                elif kind == b"C":
                    answer.kind = "served"
                elif kind == b"E":
                    fields = {part[:1]: part[1:] for part in payload.split(b"\0") if part}
                    answer.code = fields[b"C"].decode()
                    answer.kind = "refused" if answer.code in ("53300", "57P03") else "failed"
                    if fields.get(b"S") == b"FATAL":
                        return answer
                elif kind == b"Z":
                    return answer
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer("lost")

    def close(self) -> None:
        """Close it."""
        self.writer.close()


@dataclass
class World:
    """All stand-ins of one case, and its driver."""

    directory: Path
    settings: dict[str, Any]
    limits: dict[str, Any]
    seed: int = 1
    driver_port: int = 0
    process: subprocess.Popen[bytes] | None = None
    group: Group = field(default_factory=Group)
    members: list[Member] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.record = Record(self.directory / "record.txt")
        self.random = random.Random(self.seed)
        self.discovery = Discovery(self)
        self._numbers = itertools.count(1)
        self._salt = self.random.getrandbits(32)
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self.helpers: list[subprocess.Popen[bytes]] = []
        self.peak_mb = 0.0
        self.killed_for_memory = False

    def new_id(self) -> str:
        """Return a new request id."""
        return f"{self._salt:08x}{next(self._numbers):08x}"

    async def add_member(self, name: str, **options: Any) -> Member:
        """Start a member."""
        member = Member(self, name, self.group, **options)
        await member.start()
        self.members.append(member)
        return member

    def read(self, name: str, key: str, d_ms: int, request: str | None = None, **more: str) -> bytes:
        """A read of the protocol page."""
        return self._text(f"SELECT body FROM objects WHERE oid = '{key}'", name, d_ms, request, more)

    def write(
        self, name: str, key: str, d_ms: int, request: str | None = None, size: int = 2, **more: str
    ) -> bytes:
        """A write of the protocol page, with a value of `size` bytes."""
        value = os.urandom(8).hex()[: 2 * size] if size <= 8 else "ab" * size
        head = f"INSERT INTO objects (oid, body) VALUES ('{key}', '\\x{value}') RETURNING body"
        return self._text(head, name, d_ms, request, more)

    def _text(self, head: str, name: str, d_ms: int, request: str | None, more: dict[str, str]) -> bytes:
        request = request or self.new_id()
        extra = "".join(f",{key}={value}" for key, value in more.items())
        return f"{head} /* id={request},c={name},t=fastlap,d={d_ms}{extra},cluster=0 */".encode()

    def config(self, **overrides: Any) -> bytes:
        """The driver's configuration file."""
        file = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.driver_port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": self.limits,
            "known": self.discovery.whole(),
            "settings": self.settings,
        }
        return json.dumps({**file, **overrides}).encode()

    async def start_driver(self) -> None:
        """Start the driver by the deploy file's `run`, and wait until it answers an empty query."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.driver_port = sock.getsockname()[1]
        config = self.scratch / "config.json"
        config.write_bytes(self.config())
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "GW_CONFIG": str(config),
            "GW_NAME": "n0",
            "TMPDIR": str(self.scratch),
        }
        if "JUNIPERREEL_TRACE" in os.environ:
            environment["JUNIPERREEL_TRACE"] = os.environ["JUNIPERREEL_TRACE"]
        self.log = self.scratch / "driver.log"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        end = time.monotonic() + 30
        while True:
            if self.process.poll() is not None or time.monotonic() > end:
                raise RuntimeError("the driver does not start: " + self.log.read_text())
            try:
                client = await Client(self).connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            client.send(b"")
            if (await read_message(client.reader))[0] == b"I":
                client.close()
                return

    def memory_mb(self) -> float:
        """The anonymous memory of the driver; pages of files are left out, in its favour."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found.group(1)) / 1024 if found else 0.0

    async def watch_memory(self) -> None:
        """Kill the driver over its limit, as the platform does."""
        assert self.process is not None
        while self.process.poll() is None:
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.limits["memory_mb"]:
                self.record("killed", memory_mb=round(used, 1), limit_mb=self.limits["memory_mb"])
                self.killed_for_memory = True
                self.process.kill()
                return
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """End every process that was started, and keep the record."""
        for process in [*self.helpers, *([self.process] if self.process is not None else [])]:
            process.kill()  # also ends a process that is stopped; does nothing to one that has ended
            process.wait()
        self.record.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.scratch, ignore_errors=True)


def run_case(
    here: Path,
    settings: dict[str, Any],
    limits: dict[str, Any],
    play: Callable[[World, bool], Awaitable[int]],
) -> int:
    """Play a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world: World | None = None
    try:
        world = World(here, settings, limits)
        return asyncio.run(_play(world, play))
    except Exception:
        print("could not run:")
        traceback.print_exc()
        return 2
    finally:
        if world is not None:
            world.close()


async def _play(world: World, play: Callable[[World, bool], Awaitable[int]]) -> int:
    try:
        return await play(world, os.environ.get("TROUBLE", "1") != "0")
    finally:
        for member in world.members:
            member.stop()
        await asyncio.sleep(0.1)


def perth_settings() -> dict[str, Any]:
    """The settings of the wire page's example (perth-boards), with one zone and one machine type."""
    return {
        "balancers": 2,
        "ceilings": {
            "cancelling": True,
            "conn_idle_s": 15.0,
            "connect_timeout_s": 0.25,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "max_attempts": 6,
            "max_open": 20000,
            "max_retry_after_s": 1.0,
            "may_tell": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "clients": {"marks_retry": False},
        "domain_type": "replicas",
        "kinds": ["std"],
        "layers": ["board-db"],
        "load_report": {"fields": ["x0", "x1", "pending"], "via": "on_probe"},
        "me": 0,
        "membership_mode": "ask",
        "over_share_worth": 0.05,
        "prices": {"cross_zone": 0.02, "late_fail": 0.03, "probe": 0.04, "waste": 0.03},
        "rules": {
            "ask_every_s": 10.0,
            "cold_from": 0.17,
            "cold_s": 16.0,
            "fall_multiple": 2.0,
            "grace_to_answer_s": 0.02,
            "overload_for_s": 3.0,
            "stop_sending_within_s": 2.0,
        },
        "services": [
            service("board-read", "repeatable", 0.5, 2.0, 3.0, 0.2),
            service("own-read", "repeatable", 0.6, 2.5, 3.0, 0.2),
            {**service("run-write", "by_key", 1.2, 5.0, 4.0, 0.7), "key_scope": "cell"},
        ],
        "specifics": {
            "consistency": ["bounded", "session", "write"],
            "guards": "off",
            "lag_allowed_s": [0.3, 0.0, 0.0],
            "position_zero_s": 0.0,
            "positions": True,
            "shows_role": "late",
            "token_mode": "remembered",
            "wait_s": 0.0,
            "waits_for_copy": False,
        },
        "step_s": 0.005,
        "tenants": [
            {"fraction": 0.69, "name": "fastlap", "quota_rps": 207.0},
            {"fraction": 0.16, "name": "splitwest", "quota_rps": 48.0},
            {"fraction": 0.15, "name": "runhouse", "quota_rps": 45.0},
        ],
        "tier": 0,
        "value_by": "request",
        "weights": "rough",
        "zone": 0,
        "zones": ["east"],
    }


def service(
    name: str, effect: str, objective: float, deadline: float, worth: float, late: float
) -> dict[str, Any]:
    """One class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "key_scope": "all",
        "memory_span_s": 5.0,
        "objective_s": objective,
        "deadline_s": deadline,
        "worth": worth,
        "late_worth": late,
        "stream": False,
    }
