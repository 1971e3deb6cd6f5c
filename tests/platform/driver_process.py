"""The driver as a process with members that hang: for tests of signals, hold-ups and kills."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from copy import deepcopy
from pathlib import Path
from typing import Any

from juniperreel.postgres import messages as m
from juniperreel.postgres import server
from tests.platform.event_harness import HELLO, SETTINGS, config_bytes, entry
from tests.platform.socket_harness import FakeEndpoint, RemoteEnd
from tests.platform.test_deploy import ROOT, free_port

START_TIMEOUT_S = 60
LONGEST_DEADLINE_S = 1.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # as early as the operators' page allows
TURN_S = 0.01
HOLD_UP_S = 0.15
STOPPED = "T"  # the state of a process that was stopped, in /proc/PID/stat


def short_deadlines() -> dict[str, Any]:
    settings = deepcopy(SETTINGS)
    for service in settings["services"]:
        service["deadline_s"] = LONGEST_DEADLINE_S
    return settings


class DriverProcess:
    """The program with two members that hang, and the clients of one test."""

    def __init__(
        self, directory: Path, program: tuple[str, ...] = ("-m", "juniperreel.platform"), **changes: Any
    ) -> None:
        """`changes`: of the configuration."""
        self.members = [FakeEndpoint(), FakeEndpoint()]
        hosts = [
            entry("p", self.members[0].port, replication="primary"),
            entry("a", self.members[1].port, replication="standby"),
        ]
        self.port = free_port()
        self.log = directory / "log"
        config = directory / "config.json"
        config.write_bytes(
            config_bytes(
                listen=f"127.0.0.1:{self.port}",
                known={"seq": 3, "whole": True, "hosts": hosts},
                settings=short_deadlines(),
                **changes,
            )
        )
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *program],
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "GW_CONFIG": str(config), "JUNIPERREEL_TRACE": "1"},
                stdout=log,
                stderr=log,
            )
        self.terminated_at = 0.0

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        for member in self.members:
            member.sock.close()
            for end in member.ends:
                end.close()

    def connect(self) -> RemoteEnd:
        """A client that has sent nothing. Raises ConnectionRefusedError where the driver does not listen."""
        return RemoteEnd(socket.create_connection(("127.0.0.1", self.port)))

    def client(self) -> RemoteEnd:
        """A welcomed client, once the driver listens."""
        end_at = time.monotonic() + START_TIMEOUT_S
        while True:
            assert self.process.poll() is None, self.log.read_text()
            assert time.monotonic() < end_at, self.log.read_text()
            try:
                client = self.connect()
                break
            except ConnectionRefusedError:
                time.sleep(TURN_S)
        client.send(HELLO)
        while not client.read().endswith(m.READY):
            assert time.monotonic() < end_at, self.log.read_text()
            self.turn()
        client.take()
        return client

    def welcomed_clients(self, count: int) -> list[RemoteEnd]:
        """So many clients, welcomed side by side: in turn, the first would be closed for asking nothing."""
        self.client().close()
        clients = [self.connect() for _ in range(count)]
        for client in clients:
            client.send(HELLO)
        end_at = time.monotonic() + START_TIMEOUT_S
        while not all(client.read().endswith(m.READY) for client in clients):
            assert time.monotonic() < end_at, self.log.read_text()
            self.turn()
        for client in clients:
            client.take()
        return clients

    def turn(self) -> None:
        """Welcome new connections to members; their queries are left to hang."""
        for member in self.members:
            for end in member.accept():
                if end.read().startswith(HELLO[:8]):
                    end.take()
                    end.send(server.STARTUP_RESPONSE)
        time.sleep(TURN_S)

    def turn_until(self, at: float) -> None:
        while time.monotonic() < at:
            self.turn()

    def terminate(self) -> None:
        self.terminated_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    @property
    def kill_at(self) -> float:
        return self.terminated_at + KILL_AFTER_S

    def freeze(self) -> None:
        """Give the process no processor until `thaw`; it has stopped when this returns."""
        os.kill(self.process.pid, signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        end_at = time.monotonic() + START_TIMEOUT_S
        while stat.read_text().rpartition(")")[2].split()[0] != STOPPED:
            assert time.monotonic() < end_at
            time.sleep(TURN_S)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        os.kill(self.process.pid, signal.SIGCONT)

    def hold_up(self, start_at: float, duration_s: float = HOLD_UP_S) -> None:
        """Give the process no processor for a while."""
        self.turn_until(start_at)
        self.freeze()
        self.turn_until(start_at + duration_s)
        self.thaw()
