"""Tests of a multi-worker edge: worker failure, reload and shutdown under continuous client load."""

from __future__ import annotations

import os
import re
import signal
import threading
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import grpc
import pytest

from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from tests.cli.test_commands import SELECT, RunningEdge

EXECUTE = "/juniperreel.v1.Records/Execute"
WORKERS = 3
TIMEOUT_S = 60


class ContinuousClients:
    """Client threads that each send requests in a closed loop on a separate channel until stopped."""

    def __init__(self, address: str, count: int) -> None:
        self.served = [0] * count
        self.failed: list[grpc.RpcError] = []
        self._stop = threading.Event()
        self._address = address
        self._threads = [threading.Thread(target=self._send_requests, args=(n,)) for n in range(count)]
        for thread in self._threads:
            thread.start()

    def _send_requests(self, number: int) -> None:
        request = records_pb2.ExecuteRequest(statement=SELECT.encode(), session=f"s{number}")
        request.parameters.append(values_pb2.Value(text="ada"))
        setattr(request, "class", "own")
        options = (("grpc.use_local_subchannel_pool", 1),)
        with grpc.insecure_channel(self._address, options=options) as channel:
            call = channel.unary_unary(EXECUTE)
            while not self._stop.is_set():
                try:
                    call(request.SerializeToString(), timeout=10, wait_for_ready=True)
                    self.served[number] += 1
                except grpc.RpcError as error:
                    self.failed.append(error)

    def wait_for_progress(self) -> None:
        """Wait until each client has been served at least five more requests."""
        counts_before = list(self.served)
        deadline = time.monotonic() + TIMEOUT_S
        while any(
            count < count_before + 5 for count, count_before in zip(self.served, counts_before, strict=True)
        ):
            assert time.monotonic() < deadline, (counts_before, self.served, self.failed[-3:])
            time.sleep(0.02)

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)


class RunningMultiWorkerEdge(RunningEdge):
    def __init__(self, folder: Path) -> None:
        super().__init__(folder, f"\nworkers {WORKERS}")

    def pids(self) -> list[int]:
        return [line["pid"] for line in self.log_events if line["event"] == "worker started"]

    def metric(self, name: str) -> float:
        address = next(line for line in self.log_events if line["event"] == "serving")["metrics"]
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as answer:
            text = answer.read().decode()
        return sum(
            float(value_text)
            for value_text in re.findall(rf"^{re.escape(name)}(?:{{.*}})? (\S+)$", text, re.M)
        )

    def wait_for_metric(self, name: str, value: float) -> None:
        deadline = time.monotonic() + TIMEOUT_S
        while self.metric(name) != value:
            assert time.monotonic() < deadline, (name, self.metric(name))
            time.sleep(0.05)


@pytest.fixture
def edge(tmp_path: Path) -> Iterator[RunningMultiWorkerEdge]:
    edge = RunningMultiWorkerEdge(tmp_path)
    yield edge
    edge.stop()


def test_killed_worker_is_replaced_and_its_clients_use_other_workers(edge: RunningMultiWorkerEdge) -> None:
    clients = ContinuousClients(edge.address, 6)
    try:
        clients.wait_for_progress()
        assert len(edge.pids()) == WORKERS
        os.kill(edge.pids()[0], signal.SIGKILL)
        clients.wait_for_progress()
        edge.wait_for_metric("juniperreel_workers_replaced", 1.0)
        edge.wait_for_metric('juniperreel_workers{phase="serving"}', float(WORKERS))
        clients.wait_for_progress()
        # Only requests in flight at the killed worker fail, and grpcio reports them immediately.
        assert len(clients.failed) <= 6
        assert all(e.code() is grpc.StatusCode.UNAVAILABLE for e in clients.failed)
    finally:
        clients.stop()


def test_reload_and_shutdown_lose_no_request_in_flight(edge: RunningMultiWorkerEdge) -> None:
    clients = ContinuousClients(edge.address, 6)
    try:
        clients.wait_for_progress()
        settings_path = edge.folder / "edge.conf"
        valid_settings = settings_path.read_text()
        settings_path.write_text(valid_settings.replace("attempts 6", "attempts none"))
        edge.edge_process.send_signal(signal.SIGHUP)
        error = edge.wait_for_event("configuration reload rejected")["error"]
        line = valid_settings.splitlines().index("attempts 6") + 1
        assert error == f"{settings_path}:{line}: attempts: 'none' is not a non-negative integer"
        settings_path.write_text(valid_settings.replace("listen 127.0.0.1:0", "listen 127.0.0.1:1"))
        edge.edge_process.send_signal(signal.SIGHUP)
        assert "needs a restart" in edge.wait_for_event("configuration reload rejected")["error"]
        clients.wait_for_progress()
        settings_path.write_text(valid_settings.replace(f"workers {WORKERS}", "workers 2"))
        edge.edge_process.send_signal(signal.SIGHUP)
        assert edge.wait_for_event("configuration reloaded")["workers"] == 2
        for _ in range(WORKERS):
            edge.wait_for_event("shutdown complete")
        edge.wait_for_metric('juniperreel_workers{phase="serving"}', 2.0)
        clients.wait_for_progress()
        assert clients.failed == []
        served = sum(clients.served)
    finally:
        clients.stop()
    assert edge.metric("juniperreel_requests_total") >= served, "counters of exited workers are retained"
    edge.edge_process.send_signal(signal.SIGTERM)
    assert edge.edge_process.wait(30) == 0


def test_stopped_worker_does_not_affect_clients_of_others(edge: RunningMultiWorkerEdge) -> None:
    clients = ContinuousClients(edge.address, 6)
    try:
        clients.wait_for_progress()
        os.kill(edge.pids()[0], signal.SIGSTOP)
        try:
            counts_before = list(clients.served)
            deadline = time.monotonic() + TIMEOUT_S
            while (
                sum(
                    count >= count_before + 5
                    for count, count_before in zip(clients.served, counts_before, strict=True)
                )
                < 4
            ):
                assert time.monotonic() < deadline, "clients of the other two workers are still served"
                time.sleep(0.02)
        finally:
            os.kill(edge.pids()[0], signal.SIGCONT)
        clients.wait_for_progress()
        assert clients.failed == [], "the worker was stopped for less than the clients' deadline"
    finally:
        clients.stop()


def test_workers_exit_after_their_parent_is_killed(edge: RunningMultiWorkerEdge) -> None:
    pids = edge.pids()
    edge.edge_process.kill()
    deadline = time.monotonic() + TIMEOUT_S
    while any(Path(f"/proc/{pid}/stat").exists() and not is_zombie(pid) for pid in pids):
        assert time.monotonic() < deadline
        time.sleep(0.05)


def is_zombie(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True
