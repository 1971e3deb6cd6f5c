"""An edge of several workers as an operator runs it: killed, reloaded and stopped under its clients."""

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
from tests.cli.test_commands import SELECT, Running

EXECUTE = "/juniperreel.v1.Records/Execute"
WORKERS = 3
SECONDS = 60


class Clients:
    """Threads that each ask one thing after another on a channel of their own, until told to stop."""

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

    def settle(self) -> None:
        """Until each has been served some more."""
        before = list(self.served)
        end = time.monotonic() + SECONDS
        while any(now < then + 5 for now, then in zip(self.served, before, strict=True)):
            assert time.monotonic() < end, (before, self.served, self.failed[-3:])
            time.sleep(0.02)

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(SECONDS)


class Edge(Running):
    def __init__(self, folder: Path) -> None:
        super().__init__(folder, f"\nworkers {WORKERS}")

    def pids(self) -> list[int]:
        return [line["pid"] for line in self.lines if line["event"] == "worker started"]

    def metric(self, name: str) -> float:
        place = next(line for line in self.lines if line["event"] == "serving")["metrics"]
        with urllib.request.urlopen(f"http://{place}/metrics", timeout=10) as answer:
            text = answer.read().decode()
        return sum(float(v) for v in re.findall(rf"^{re.escape(name)}(?:{{.*}})? (\S+)$", text, re.M))

    def reach(self, name: str, value: float) -> None:
        end = time.monotonic() + SECONDS
        while self.metric(name) != value:
            assert time.monotonic() < end, (name, self.metric(name))
            time.sleep(0.05)


@pytest.fixture
def edge(tmp_path: Path) -> Iterator[Edge]:
    started = Edge(tmp_path)
    yield started
    started.stop()


def test_killed_worker_is_replaced_and_its_clients_go_on_elsewhere(edge: Edge) -> None:
    clients = Clients(edge.address, 6)
    try:
        clients.settle()
        assert len(edge.pids()) == WORKERS
        os.kill(edge.pids()[0], signal.SIGKILL)
        clients.settle()
        edge.reach("juniperreel_workers_replaced", 1.0)
        edge.reach('juniperreel_workers{phase="serving"}', float(WORKERS))
        clients.settle()
        # Only what the dead one held was lost, and grpcio says so at once.
        assert len(clients.failed) <= 6
        assert all(e.code() is grpc.StatusCode.UNAVAILABLE for e in clients.failed)
    finally:
        clients.stop()


def test_reload_and_shutdown_lose_no_request_in_flight(edge: Edge) -> None:
    clients = Clients(edge.address, 6)
    try:
        clients.settle()
        conf = edge.folder / "edge.conf"
        good = conf.read_text()
        conf.write_text(good.replace("attempts 6", "attempts none"))
        edge.edge.send_signal(signal.SIGHUP)
        error = edge.wait_for_event("configuration reload rejected")["error"]
        assert ("attempts" in error and "line" in error) or ":" in error
        conf.write_text(good.replace("listen 127.0.0.1:0", "listen 127.0.0.1:1"))
        edge.edge.send_signal(signal.SIGHUP)
        assert "needs a restart" in edge.wait_for_event("configuration reload rejected")["error"]
        clients.settle()
        conf.write_text(good.replace(f"workers {WORKERS}", "workers 2"))
        edge.edge.send_signal(signal.SIGHUP)
        assert edge.wait_for_event("configuration reloaded")["workers"] == 2
        for _ in range(WORKERS):
            edge.wait_for_event("shutdown complete")
        edge.reach('juniperreel_workers{phase="serving"}', 2.0)
        clients.settle()
        assert clients.failed == []
        served = sum(clients.served)
    finally:
        clients.stop()
    assert edge.metric("juniperreel_requests_total") >= served, "what workers that are gone did still counts"
    edge.edge.send_signal(signal.SIGTERM)
    assert edge.edge.wait(30) == 0


def test_frozen_worker_does_not_disturb_clients_of_the_others(edge: Edge) -> None:
    clients = Clients(edge.address, 6)
    try:
        clients.settle()
        os.kill(edge.pids()[0], signal.SIGSTOP)
        try:
            before = list(clients.served)
            end = time.monotonic() + SECONDS
            while sum(now >= then + 5 for now, then in zip(clients.served, before, strict=True)) < 4:
                assert time.monotonic() < end, "those of the other two workers go on"
                time.sleep(0.02)
        finally:
            os.kill(edge.pids()[0], signal.SIGCONT)
        clients.settle()
        assert clients.failed == [], "it was away for less than their deadline"
    finally:
        clients.stop()


def test_workers_end_after_their_parent_was_killed(edge: Edge) -> None:
    pids = edge.pids()
    edge.edge.kill()
    end = time.monotonic() + SECONDS
    while any(Path(f"/proc/{pid}/stat").exists() and not zombie(pid) for pid in pids):
        assert time.monotonic() < end
        time.sleep(0.05)


def zombie(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "Z"
    except OSError:
        return True
