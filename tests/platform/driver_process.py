"""Runs the driver as a process against unresponsive endpoints, to test signals, suspensions and kills."""

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
from tests.platform.event_harness import SETTINGS, STARTUP_MESSAGE, config_bytes, list_entry
from tests.platform.socket_harness import FakeEndpoint, PeerConnection
from tests.platform.test_deploy import ROOT, free_port

START_TIMEOUT_S = 60
LONGEST_DEADLINE_S = 1.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # the earliest time the platform allows
POLL_INTERVAL_S = 0.01
SUSPENSION_S = 0.15
STOPPED = "T"  # process state in /proc/PID/stat


def settings_with_short_deadlines() -> dict[str, Any]:
    settings = deepcopy(SETTINGS)
    for service in settings["services"]:
        service["deadline_s"] = LONGEST_DEADLINE_S
    return settings


class DriverProcess:
    """A driver process with two unresponsive endpoints, and the clients of one test."""

    def __init__(
        self, directory: Path, program: tuple[str, ...] = ("-m", "juniperreel.platform"), **overrides: Any
    ) -> None:
        """`overrides` replace keys of the configuration file."""
        self.endpoints = [FakeEndpoint(), FakeEndpoint()]
        hosts = [
            list_entry("p", self.endpoints[0].port, replication="primary"),
            list_entry("a", self.endpoints[1].port, replication="standby"),
        ]
        self.port = free_port()
        self.log = directory / "log"
        config = directory / "config.json"
        config.write_bytes(
            config_bytes(
                listen=f"127.0.0.1:{self.port}",
                known={"seq": 3, "whole": True, "hosts": hosts},
                settings=settings_with_short_deadlines(),
                **overrides,
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
        self.sigterm_at = 0.0

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        for endpoint in self.endpoints:
            endpoint.sock.close()
            for end in endpoint.connections:
                end.close()

    def connect(self) -> PeerConnection:
        """Connect a client. Raises ConnectionRefusedError if the driver does not listen."""
        return PeerConnection(socket.create_connection(("127.0.0.1", self.port)))

    def client(self) -> PeerConnection:
        """Connect a client and complete its startup, once the driver listens."""
        end_at = time.monotonic() + START_TIMEOUT_S
        while True:
            assert self.process.poll() is None, self.log.read_text()
            assert time.monotonic() < end_at, self.log.read_text()
            try:
                client = self.connect()
                break
            except ConnectionRefusedError:
                time.sleep(POLL_INTERVAL_S)
        client.send(STARTUP_MESSAGE)
        while not client.read().endswith(m.READY):
            assert time.monotonic() < end_at, self.log.read_text()
            self.process_connections()
        client.take()
        return client

    def connected_clients(self, count: int) -> list[PeerConnection]:
        """Connect clients concurrently; sequentially, the first would time out without a command."""
        self.client().close()
        clients = [self.connect() for _ in range(count)]
        for client in clients:
            client.send(STARTUP_MESSAGE)
        end_at = time.monotonic() + START_TIMEOUT_S
        while not all(client.read().endswith(m.READY) for client in clients):
            assert time.monotonic() < end_at, self.log.read_text()
            self.process_connections()
        for client in clients:
            client.take()
        return clients

    def process_connections(self) -> None:
        """Complete the startup of new connections to endpoints; queries are left unanswered."""
        for endpoint in self.endpoints:
            for end in endpoint.accept():
                if end.read().startswith(STARTUP_MESSAGE[:8]):
                    end.take()
                    end.send(server.STARTUP_RESPONSE)
        time.sleep(POLL_INTERVAL_S)

    def process_connections_until(self, at: float) -> None:
        while time.monotonic() < at:
            self.process_connections()

    def terminate(self) -> None:
        self.sigterm_at = time.monotonic()
        self.process.send_signal(signal.SIGTERM)

    @property
    def kill_at(self) -> float:
        return self.sigterm_at + KILL_AFTER_S

    def suspend(self) -> None:
        """Stop the process until `resume_process`; it has stopped when this returns."""
        os.kill(self.process.pid, signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        end_at = time.monotonic() + START_TIMEOUT_S
        while stat.read_text().rpartition(")")[2].split()[0] != STOPPED:
            assert time.monotonic() < end_at
            time.sleep(POLL_INTERVAL_S)

    def resume_process(self) -> None:
        """Resume a stopped process."""
        os.kill(self.process.pid, signal.SIGCONT)

    def suspend_for(self, start_at: float, duration_s: float = SUSPENSION_S) -> None:
        """Stop the process at `start_at` for `duration_s`."""
        self.process_connections_until(start_at)
        self.suspend()
        self.process_connections_until(start_at + duration_s)
        self.resume_process()
