"""Stand-ins for the operators' platform, and the frame of a case's script. Standard library only.

A case starts the program with the line `run` of the deploy file, as separate processes, and plays the rest
itself: discovery, members and clients, as the operators' pages describe them. All addresses are loopback
addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn, TextIO

from wire import STARTUP_ANSWER, error_answer, message, parse_statement, row_answer, startup_message

ROOT = Path(__file__).resolve().parents[2]
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 116.0
START_TIMEOUT_S = 20.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run, which says nothing about the rule."""


def could_not_run(reason: str) -> NoReturn:
    """End the case without a verdict."""
    raise CaseError(reason)


class Record:
    """The file `record.txt` of a case: one line an event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def line(self, text: str) -> None:
        """Write one event."""
        self._file.write(f"{time.monotonic() - self._started_s:9.4f} {text}\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


class Platform:
    """What all stand-ins of a case share: the record, and the clock that the platform's machines read.

    `clock_offset_s` is that clock minus this machine's, which the driver reads.
    """

    def __init__(self, record: Record, clock_offset_s: float = 0.0) -> None:
        self.record = record
        self.clock_offset_s = clock_offset_s

    def now_s(self) -> float:
        """Return the platform's Unix time."""
        return time.time() + self.clock_offset_s


class Listener:
    """A stand-in that listens on a free port of its loopback address."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Start listening; the port stays the same when it listens again."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    @property
    def address(self) -> str:
        """Return the address as lists and settings have it."""
        return f"{self.host}:{self.port}"


class Discovery(Listener):
    """Discovery: `GET /v1/endpoints`, with watches that tell changes."""

    def __init__(self, platform: Platform, hosts: list[dict[str, Any]]) -> None:
        super().__init__()
        self.platform = platform
        self.hosts = {host["host"]: host for host in hosts}
        self.sequence = 1
        self.changed_at = dict.fromkeys(self.hosts, 1)
        self._news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [host for host in self.hosts.values() if host["health"] != "Gone"]
        return {"seq": self.sequence, "whole": True, "hosts": listed}

    def change(self, *hosts: dict[str, Any]) -> None:
        """Change entries, which a watch tells at once."""
        self.sequence += 1
        for host in hosts:
            self.hosts[host["host"]] = host
            self.changed_at[host["host"]] = self.sequence
            self.platform.record.line(f"discovery seq={self.sequence} {json.dumps(host)}")
        self._news.set()
        self._news = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls in turn."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            body = json.dumps(await self.answer(target)).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()

    async def answer(self, target: str) -> dict[str, Any]:
        """Return what a call gets, after its wait."""
        _, _, query = target.partition("?")
        parameters = dict(part.split("=", 1) for part in query.split("&") if part)
        if "after" not in parameters:
            return self.whole()
        after = int(parameters["after"])
        if after >= self.sequence:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), int(parameters.get("wait_ms", 0)) / 1000)
        changed = [host for name, host in self.hosts.items() if self.changed_at[name] > after]
        self.platform.record.line(f"told after={after} seq={self.sequence} entries={len(changed)}")
        return {"seq": self.sequence, "whole": False, "hosts": changed}


class Attempt:
    """One request as a member received it."""

    def __init__(self, member: Member, fields: dict[str, str], text: str, at_s: float) -> None:
        self.member = member
        self.fields = fields
        self.text = text
        self.at_s = at_s  # monotonic, when its last byte had arrived

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.fields["id"]

    @property
    def is_write(self) -> bool:
        """Return whether it is a write."""
        return self.text.startswith("INSERT")


class Member(Listener):
    """A database: answers one statement at a time on a connection, and stops work whose connection ends."""

    def __init__(self, platform: Platform, name: str, primary: bool, born_ms: int = 0) -> None:
        super().__init__()
        self.platform = platform
        self.name = name
        self.primary = primary
        self.born_ms = born_ms
        self.health = "Ready"
        self.attempts: list[Attempt] = []
        self.probes = 0
        self.connections: set[asyncio.StreamWriter] = set()

    def entry(self) -> dict[str, Any]:
        """Return its entry of the list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "perth-east",
            "class": "std-5core",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
            "replication": "primary" if self.primary else "standby",
        }

    def position_ms(self) -> int:
        """Return up to when it has applied the log, on the platform's clock."""
        return int((self.platform.now_s() - (0.0 if self.primary else 0.01)) * 1000)

    def parameters(self) -> dict[str, str]:
        """Return what goes with each answer."""
        role = "primary" if self.primary else "standby"
        return {"replication_role": role, "log_position": str(self.position_ms())}

    def value(self, attempt: Attempt) -> bytes:
        """Return the value made for a request: it names the request."""
        return f"made for {attempt.id} by {self.name}".encode()

    def turns_away(self) -> bool:
        """Return whether new requests are turned away because the member drains."""
        return self.health == "Terminating"

    async def work(self, _attempt: Attempt) -> None:
        """Take the time that a request takes."""
        await asyncio.sleep(0.02)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Welcome the driver and answer its statements."""
        (size,) = struct.unpack("!I", await reader.readexactly(4))
        await reader.readexactly(size - 4)
        writer.write(STARTUP_ANSWER)
        self.connections.add(writer)
        try:
            while True:
                kind, size = struct.unpack("!cI", await reader.readexactly(5))
                payload = await reader.readexactly(size - 4)
                if kind != b"Q":
                    return
                await self.answer(payload[:-1].decode(), reader, writer)
        finally:
            self.connections.discard(writer)

    async def answer(self, text: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one statement."""
        if text == "SHOW pressure":
            self.probes += 1
            report = f"x0={self.position_ms() / 1000:.3f},x1={int(self.primary)},queue=0"
            writer.write(row_answer(report.encode(), {}))
            return
        fields = parse_statement(text)
        if fields is None:
            self.platform.record.line(f"{self.name} cannot read {text[:80]!r}")
            writer.write(error_answer("08P01", "not in the form", {}))
            return
        attempt = Attempt(self, fields, text, time.monotonic())
        self.attempts.append(attempt)
        self.platform.record.line(f"{self.name} received id={attempt.id} c={fields['c']} d={fields['d']}")
        await self.run(attempt, reader, writer)

    async def run(self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run a request, unless its connection ends or it is none for this member."""
        if self.turns_away():
            writer.write(error_answer("53300", "draining", self.parameters()))
            return
        if attempt.is_write and not self.primary:
            writer.write(error_answer("25006", "this is no primary", self.parameters()))
            return
        if await ends_within(self.work(attempt), reader):
            raise EOFError
        self.platform.record.line(f"{self.name} ran id={attempt.id}")
        await self.send_answer(attempt, row_answer(self.value(attempt), self.parameters()), reader, writer)

    async def send_answer(
        self,
        _attempt: Attempt,
        answer: bytes,
        _reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a whole answer."""
        writer.write(answer)


async def ends_within(work: Awaitable[None], reader: asyncio.StreamReader) -> bool:
    """Wait for `work`; stop it and return True if the connection's other side ends meanwhile."""
    working = asyncio.ensure_future(work)
    while not working.done():
        await asyncio.wait([working], timeout=0.005)
        if reader.at_eof() or reader.exception() is not None:
            working.cancel()
            return True
    await working
    return False


class Answer:
    """A client's final answer: a value, or an error's code."""

    def __init__(self, value: bytes | None, code: str | None) -> None:
        self.value = value
        self.code = code

    def __str__(self) -> str:
        """Return it as the record shows it."""
        return f"error {self.code}" if self.code else f"value {(self.value or b'')[:60]!r}"


class Client:
    """A client's connection to a driver."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, host: str, port: int) -> Client:
        """Connect and log in."""
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        client = cls(reader, writer)
        writer.write(startup_message())
        while (await client.read_message())[0] != b"Z":
            pass
        return client

    async def read_message(self) -> tuple[bytes, bytes]:
        """Read one message."""
        kind, size = struct.unpack("!cI", await self.reader.readexactly(5))
        return kind, await self.reader.readexactly(size - 4)

    def send(self, text: str) -> None:
        """Send a statement without waiting for its answer."""
        self.writer.write(message(b"Q", text.encode() + b"\0"))

    async def read_answer(self) -> Answer:
        """Read the answer to the earliest statement that has none yet."""
        value: bytes | None = None
        code: str | None = None
        while True:
            kind, payload = await self.read_message()
            if kind == b"D":
                value = payload[6:]
            elif kind == b"E":
                code = next(part[1:].decode() for part in payload.split(b"\0") if part[:1] == b"C")
            elif kind == b"Z":
                return Answer(value, code)

    async def query(self, text: str) -> Answer:
        """Send a statement and read its answer."""
        self.send(text)
        return await self.read_answer()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings of a small deployment, with perth-boards' figures; `changes` go one level deep."""
    made: dict[str, Any] = {
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
        "kinds": ["std-5core"],
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
        "services": [service("board-read"), service("own-read"), service("run-write")],
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
        "tenants": [{"name": "fastlap", "fraction": 1.0, "quota_rps": 300.0}],
        "tier": 0,
        "value_by": "request",
        "weights": "rough",
        "zone": 0,
        "zones": ["perth-east", "perth-north"],
    }
    for name, change in changes.items():
        made[name] = {**made[name], **change} if isinstance(change, dict) else change
    return made


def service(name: str, **changes: Any) -> dict[str, Any]:
    """Return one class of perth-boards."""
    made = {
        "board-read": {"deadline_s": 2.0, "effect": "repeatable", "objective_s": 0.5, "late_worth": 0.2},
        "own-read": {"deadline_s": 2.5, "effect": "repeatable", "objective_s": 0.6, "late_worth": 0.2},
        "run-write": {"deadline_s": 5.0, "effect": "by_key", "objective_s": 1.2, "late_worth": 0.7},
    }[name]
    scope = "cell" if name == "run-write" else "all"
    worth = 4.0 if name == "run-write" else 3.0
    shared = {"name": name, "key_scope": scope, "memory_span_s": 5.0, "stream": False, "worth": worth}
    return {**shared, **made, **changes}


class Driver:
    """One process of the program, started with the deploy file's line `run`."""

    def __init__(self, folder: Path, name: str, discovery: str, known: dict[str, Any], **limits: Any) -> None:
        self.name = name
        self.host = "127.0.0.1"
        self.port = free_port()
        self.log = folder / f"{name}.log"
        self._config = folder / f"{name}.json"
        self._folder = folder
        self._discovery = discovery
        self._known = known
        self._limits = {"cores": 0.5, "memory_mb": 128, "sockets": 512, **limits}
        self.settings = settings()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        listen = f"{self.host}:{self.port}"
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": self._discovery,
            "seed": os.urandom(8).hex(),
            "limits": self._limits,
            "known": self._known,
            "settings": self.settings,
        }
        self._config.write_text(json.dumps(config))
        private = self._folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(private),
            "GW_NAME": self.name,
            "GW_LISTEN": listen,
            "GW_DISCOVERY": self._discovery,
            "GW_CONFIG": str(self._config),
        }
        if os.environ.get("JUNIPERREEL_TRACE"):
            environment["JUNIPERREEL_TRACE"] = os.environ["JUNIPERREEL_TRACE"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def ready(self) -> None:
        """Wait until it answers an empty query, as the platform's front does."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if self.has_ended:
                could_not_run(f"{self.name} ended at its start: {self.log.read_text()[-500:]}")
            try:
                client = await Client.connect(self.host, self.port)
                await client.query("")
            except (OSError, EOFError):
                await asyncio.sleep(0.05)
                continue
            client.close()
            return
        could_not_run(f"{self.name} was not ready in {START_TIMEOUT_S} s")

    async def client(self) -> Client:
        """Connect a client."""
        return await Client.connect(self.host, self.port)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def memory_mb(self) -> float:
        """Return the memory of its own that the process has in use now, without files that it maps."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        lines = [line.split() for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(lines[0][1]) / 1024 if lines else 0.0

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Lab:
    """What a case's coroutine gets: the platform, a temporary folder, and the drivers that end with it."""

    def __init__(self, platform: Platform, folder: Path) -> None:
        self.platform = platform
        self.folder = folder
        self.drivers: list[Driver] = []

    @property
    def record(self) -> Record:
        """Return the case's record."""
        return self.platform.record

    async def driver(self, name: str, discovery: Discovery, made: dict[str, Any], **limits: Any) -> Driver:
        """Start a driver that knows the whole list of now, and wait until it is ready."""
        driver = Driver(self.folder, name, discovery.address, discovery.whole(), **limits)
        driver.settings = made
        self.drivers.append(driver)
        driver.start()
        await driver.ready()
        self.record.line(f"driver {name} is ready")
        return driver


Case = Callable[[Lab], Awaitable[bool]]


def _end(_number: int, _frame: object) -> None:
    """Leave the case, whose drivers are ended on the way out."""
    sys.exit(COULD_NOT_RUN)


def _exact_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers are exact to microseconds; that of epoll counts milliseconds."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def play(case: Case, folder: Path, clock_offset_s: float = 0.0) -> int:
    """Run a case, which returns whether the rule held; return the exit code of its script."""
    signal.signal(signal.SIGTERM, _end)
    # Streams that are open when the loop ends complain as they are freed, one text each.
    sys.unraisablehook = lambda _: None
    record = Record(folder / "record.txt")
    record.line(f"trouble={int(TROUBLE)}")
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        lab = Lab(Platform(record, clock_offset_s), Path(temporary))
        try:
            with asyncio.Runner(loop_factory=_exact_loop) as runner:
                held = runner.run(asyncio.wait_for(case(lab), LONGEST_RUN_S))
            code = RULE_HELD if held else RULE_BROKEN
        except Exception as error:  # whatever it is, the case says nothing then
            record.line(f"the case could not run: {type(error).__name__}: {error}")
            print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        finally:
            for driver in lab.drivers:
                driver.end()
                record.line(f"log of {driver.name}: {driver.log.read_text()[-4000:]}")
    verdict = {RULE_HELD: "held", RULE_BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code]
    record.line(f"verdict: {verdict}")
    record.close()
    print(verdict)
    return code
