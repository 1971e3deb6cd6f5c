"""Tests of the commands as invoked from a shell, with each edge in a separate process."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.verification.records import AttemptReceived, EdgeUp, EndpointStarted, Recorder
from tests.e2e.environment import EDGE_SETTINGS

SCRIPTS_FOLDER = Path(__file__).parents[2] / "juniperreel" / "fakes" / "days"
COMMAND = [sys.executable, "-m", "juniperreel.cli.main"]
SCRIPT = "groups 1\nmembers 3\nread-work 2ms\nwrite-work 2ms\nlist-delay 50ms\nlast 60s\n"
INSERT = "insert into runs (runner, id) values (?, ?)"
SELECT = "select id from runs where runner = ?"


class RunningEdge:
    """An edge and its fake endpoints, each in a separate process."""

    def __init__(self, folder: Path, extra_directives: str = "") -> None:
        self.folder = folder
        (folder / "script").write_text(SCRIPT)
        (folder / "token.key").write_bytes(b"k" * 32)
        (folder / "ada.password").write_bytes(b"love lace")
        self.fakes_process = subprocess.Popen(
            [*COMMAND, "standins", str(folder / "script")], stdout=subprocess.PIPE, text=True
        )
        assert self.fakes_process.stdout is not None
        hosts = self.fakes_process.stdout.readline().rpartition(":")[2].strip()
        text = EDGE_SETTINGS.format(hosts=hosts).replace(
            "seed 5", f"seed 5\nmetrics 127.0.0.1:0{extra_directives}"
        )
        (folder / "edge.conf").write_text(text)
        self.edge_process = subprocess.Popen(
            [*COMMAND, "edge", str(folder / "edge.conf")], stderr=subprocess.PIPE, text=True
        )
        self.log_events: list[dict[str, Any]] = []
        self.address = self.wait_for_event("serving")["listen"]

    def wait_for_event(self, event: str) -> dict[str, Any]:
        assert self.edge_process.stderr is not None
        for line in self.edge_process.stderr:
            self.log_events.append(json.loads(line))
            if self.log_events[-1]["event"] == event:
                return self.log_events[-1]
        raise AssertionError(self.log_events)

    def stop(self) -> None:
        for process in (self.edge_process, self.fakes_process):
            if process.poll() is None:
                process.kill()
            process.communicate(timeout=10)


@pytest.fixture
def running_edge(tmp_path: Path) -> Iterator[RunningEdge]:
    running_edge = RunningEdge(tmp_path)
    yield running_edge
    running_edge.stop()


def run_call(running_edge: RunningEdge, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [*COMMAND, "call", running_edge.address, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def http_status(url: str) -> int:
    try:
        with urllib.request.urlopen(url, timeout=10) as response:
            status: int = response.status
    except urllib.error.HTTPError as error:
        return error.code
    return status


def test_call_writes_then_reads_with_a_token_file(running_edge: RunningEdge) -> None:
    token = running_edge.folder / "token"
    for _ in range(50):  # the edge may not have discovered its endpoints yet
        write_result = run_call(running_edge, "write", INSERT, "ada", "run-1", "--token", str(token))
        if write_result.returncode == 0:
            break
        assert "UNAVAILABLE" in write_result.stderr
    assert "(primary)" in write_result.stderr, write_result.stderr
    assert "1 changed" in write_result.stderr, write_result.stderr
    assert token.stat().st_size > 20
    read_result = run_call(running_edge, "own", SELECT, "ada", "--token", str(token))
    assert read_result.stdout == "id\nrun-1\n"
    invalid_token_result = run_call(
        running_edge, "own", SELECT, "ada", "--token", str(running_edge.folder / "script")
    )
    assert invalid_token_result.returncode == 1
    assert invalid_token_result.stderr.startswith("INVALID_ARGUMENT: causal_token")
    metrics = next(line for line in running_edge.log_events if line["event"] == "serving")["metrics"]
    with urllib.request.urlopen(f"http://{metrics}/metrics", timeout=10) as response:
        text = response.read().decode()
    assert 'juniperreel_requests_total{cls="own",outcome="served",reason=""} 1.0' in text
    for path, status in (("healthz", 200), ("readyz", 200), ("nothing", 404)):
        assert http_status(f"http://{metrics}/{path}") == status
    running_edge.edge_process.send_signal(signal.SIGTERM)
    assert running_edge.edge_process.wait(15) == 0
    assert running_edge.wait_for_event("shutdown complete")["in_time"] is True


def test_second_signal_terminates_immediately(running_edge: RunningEdge) -> None:
    running_edge.fakes_process.send_signal(signal.SIGSTOP)  # endpoints accept the write but do not respond
    arguments = ["call", running_edge.address, "write", INSERT, "a", "b", "--timeout", "20"]
    blocked = subprocess.Popen([*COMMAND, *arguments], stderr=subprocess.PIPE, text=True)
    metrics = next(line for line in running_edge.log_events if line["event"] == "serving")["metrics"]
    for _ in range(200):
        with urllib.request.urlopen(f"http://{metrics}/metrics", timeout=10) as response:
            if "juniperreel_open_requests 1.0" in response.read().decode():
                break
        time.sleep(0.05)
    running_edge.edge_process.send_signal(signal.SIGTERM)
    running_edge.wait_for_event("graceful shutdown started")
    assert running_edge.edge_process.poll() is None
    running_edge.edge_process.send_signal(signal.SIGTERM)
    assert running_edge.edge_process.wait(5) == 1
    running_edge.fakes_process.send_signal(signal.SIGCONT)
    assert blocked.wait(30) == 1
    blocked.communicate()


def test_check_reports_every_error(tmp_path: Path) -> None:
    (tmp_path / "token.key").write_bytes(b"k" * 32)
    (tmp_path / "ada.password").write_bytes(b"love lace")
    valid = tmp_path / "valid.conf"
    valid.write_text(EDGE_SETTINGS.format(hosts=7000))
    assert CliRunner().invoke(main, ["check", str(valid)]).output.endswith("good; 4 classes, 1 groups\n")
    invalid = tmp_path / "invalid.conf"
    invalid.write_text(
        EDGE_SETTINGS.format(hosts=7000)
        .replace("drain-grace 2s", "drain-grace 1ms")
        .replace("edges 1", "edges 0")
    )
    result = CliRunner().invoke(main, ["check", str(invalid)])
    assert result.exit_code == 2
    assert "rule 3" in result.output
    assert "rule 4" in result.output
    assert "refused, 2 problems" in result.output
    assert CliRunner().invoke(main, ["check", str(tmp_path / "none")]).exit_code == 2


def test_check_reads_an_instance_s_file_as_configd_does(tmp_path: Path) -> None:
    (tmp_path / "cluster.key").write_bytes(b"k" * 32)
    file = tmp_path / "c1.conf"
    text = (Path(__file__).parents[2] / "deploy" / "configd.conf").read_text()
    file.write_text(text)
    valid = CliRunner().invoke(main, ["check", str(file)])
    assert valid.exit_code == 0
    assert valid.output.endswith("good; instance c1@127.0.0.1:7301, 3 members\n")
    file.write_text(text.replace("tick 30ms", "tick soon").replace("level info", "level loud"))
    invalid = CliRunner().invoke(main, ["check", str(file)])
    assert invalid.exit_code == 2
    assert "refused, 2 problems" in invalid.output


def test_edge_reports_address_already_in_use(running_edge: RunningEdge) -> None:
    path = running_edge.folder / "edge.conf"
    path.write_text(path.read_text().replace("listen 127.0.0.1:0", f"listen {running_edge.address}"))
    second = subprocess.run([*COMMAND, "edge", str(path)], capture_output=True, text=True, timeout=30)
    assert second.returncode == 1
    assert "in use" in second.stderr


def test_verify_checks_a_recording_and_rejects_an_invalid_line(tmp_path: Path) -> None:
    path = tmp_path / "recording"
    with path.open("wb") as out:
        record = Recorder(out)
        record(EdgeUp(1, "e"))
        record(EndpointStarted(2, "m", False, 1.0))
    result = CliRunner().invoke(main, ["verify", str(path)])
    assert result.exit_code == 0
    assert result.output.count("held") == 5
    with path.open("ab") as out:
        Recorder(out)(AttemptReceived(3, "m", "e", "r", 1, "q", "read", False, 10))
    incomplete = CliRunner().invoke(main, ["verify", str(path)])
    assert incomplete.exit_code == 2
    assert "the recording has no limits" in incomplete.output
    with path.open("ab") as out:
        out.write(b"{}\n")
    assert CliRunner().invoke(main, ["verify", str(path)]).exit_code == 2


@pytest.mark.parametrize("name", ["bad.day", "mysql.day"])
def test_short_demo_of_packaged_scripts_violates_no_rule(name: str, tmp_path: Path) -> None:
    """Runs at a third of the scripts' rate: endpoints and clients share the event loop of the test process,
    and on a loaded machine its delays would be recorded as late responses of the edges."""
    script = tmp_path / "short.day"
    text = (SCRIPTS_FOLDER / name).read_text(encoding="utf-8")
    script.write_text(text + "\nrate 50\n", encoding="utf-8")
    result = CliRunner().invoke(main, ["demo", str(script), "--last", "6", "--quiet", "--seed", "3"])
    assert result.exit_code == 0, result.output
    assert result.output.count("held") == 5
