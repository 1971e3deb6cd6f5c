"""The commands as a newcomer types them, each edge in a process of its own."""

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
from juniperreel.verification.records import EdgeUp, EndpointStarted, Recorder
from tests.e2e.environment import EDGE_SETTINGS

DAYS = Path(__file__).parents[2] / "juniperreel" / "fakes" / "days"
COMMAND = [sys.executable, "-m", "juniperreel.cli.main"]
DAY = "groups 1\nmembers 3\nread-work 2ms\nwrite-work 2ms\nlist-delay 50ms\nlast 60s\n"
INSERT = "insert into runs (runner, id) values (?, ?)"
SELECT = "select id from runs where runner = ?"


class Running:
    """An edge and its stand-ins."""

    def __init__(self, folder: Path, more: str = "") -> None:
        self.folder = folder
        (folder / "day").write_text(DAY)
        (folder / "token.key").write_bytes(b"k" * 32)
        (folder / "ada.password").write_bytes(b"love lace")
        self.standins = subprocess.Popen(
            [*COMMAND, "standins", str(folder / "day")], stdout=subprocess.PIPE, text=True
        )
        assert self.standins.stdout is not None
        hosts = self.standins.stdout.readline().rpartition(":")[2].strip()
        text = EDGE_SETTINGS.format(hosts=hosts).replace("seed 5", f"seed 5\nmetrics 127.0.0.1:0{more}")
        (folder / "edge.conf").write_text(text)
        self.edge = subprocess.Popen(
            [*COMMAND, "edge", str(folder / "edge.conf")], stderr=subprocess.PIPE, text=True
        )
        self.lines: list[dict[str, Any]] = []
        self.address = self.wait_for_event("serving")["listen"]

    def wait_for_event(self, event: str) -> dict[str, Any]:
        assert self.edge.stderr is not None
        for line in self.edge.stderr:
            self.lines.append(json.loads(line))
            if self.lines[-1]["event"] == event:
                return self.lines[-1]
        raise AssertionError(self.lines)

    def stop(self) -> None:
        for process in (self.edge, self.standins):
            if process.poll() is None:
                process.kill()
            process.communicate(timeout=10)


@pytest.fixture
def running(tmp_path: Path) -> Iterator[Running]:
    started = Running(tmp_path)
    yield started
    started.stop()


def call(running: Running, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [*COMMAND, "call", running.address, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def http_status(url: str) -> int:
    try:
        with urllib.request.urlopen(url, timeout=10) as answer:
            status: int = answer.status
    except urllib.error.HTTPError as error:
        return error.code
    return status


def test_a_write_then_a_read_from_the_shell_with_the_token_in_a_file(running: Running) -> None:
    token = running.folder / "token"
    for _ in range(50):  # the edge may not have heard of its members yet
        wrote = call(running, "write", INSERT, "ada", "run-1", "--token", str(token))
        if wrote.returncode == 0:
            break
        assert "UNAVAILABLE" in wrote.stderr
    assert "(primary)" in wrote.stderr, wrote.stderr
    assert "1 changed" in wrote.stderr, wrote.stderr
    assert token.stat().st_size > 20
    read = call(running, "own", SELECT, "ada", "--token", str(token))
    assert read.stdout == "id\nrun-1\n"
    bad = call(running, "own", SELECT, "ada", "--token", str(running.folder / "day"))
    assert bad.returncode == 1
    assert bad.stderr.startswith("INVALID_ARGUMENT: causal_token")
    metrics = next(line for line in running.lines if line["event"] == "serving")["metrics"]
    with urllib.request.urlopen(f"http://{metrics}/metrics", timeout=10) as answer:
        text = answer.read().decode()
    assert 'juniperreel_requests_total{cls="own",outcome="served",reason=""} 1.0' in text
    for path, status in (("healthz", 200), ("readyz", 200), ("nothing", 404)):
        assert http_status(f"http://{metrics}/{path}") == status
    running.edge.send_signal(signal.SIGTERM)
    assert running.edge.wait(15) == 0
    assert running.wait_for_event("shutdown complete")["in_time"] is True


def test_a_second_signal_ends_at_once(running: Running) -> None:
    running.standins.send_signal(signal.SIGSTOP)  # members take the write and do not answer
    arguments = ["call", running.address, "write", INSERT, "a", "b", "--timeout", "20"]
    blocked = subprocess.Popen([*COMMAND, *arguments], stderr=subprocess.PIPE, text=True)
    metrics = next(line for line in running.lines if line["event"] == "serving")["metrics"]
    for _ in range(200):
        with urllib.request.urlopen(f"http://{metrics}/metrics", timeout=10) as answer:
            if "juniperreel_open_requests 1.0" in answer.read().decode():
                break
        time.sleep(0.05)
    running.edge.send_signal(signal.SIGTERM)
    running.wait_for_event("graceful shutdown started")
    assert running.edge.poll() is None
    running.edge.send_signal(signal.SIGTERM)
    assert running.edge.wait(5) == 1
    running.standins.send_signal(signal.SIGCONT)
    assert blocked.wait(30) == 1
    blocked.communicate()


def test_check_says_all_that_is_wrong(tmp_path: Path) -> None:
    (tmp_path / "token.key").write_bytes(b"k" * 32)
    (tmp_path / "ada.password").write_bytes(b"love lace")
    good = tmp_path / "good.conf"
    good.write_text(EDGE_SETTINGS.format(hosts=7000))
    assert CliRunner().invoke(main, ["check", str(good)]).output.endswith("good; 4 classes, 1 groups\n")
    bad = tmp_path / "bad.conf"
    bad.write_text(
        EDGE_SETTINGS.format(hosts=7000)
        .replace("drain-grace 2s", "drain-grace 1ms")
        .replace("edges 1", "edges 0")
    )
    result = CliRunner().invoke(main, ["check", str(bad)])
    assert result.exit_code == 2
    assert "rule 3" in result.output
    assert "rule 4" in result.output
    assert "refused, 2 problems" in result.output
    assert CliRunner().invoke(main, ["check", str(tmp_path / "none")]).exit_code == 2


def test_an_edge_that_cannot_listen_says_so(running: Running) -> None:
    path = running.folder / "edge.conf"
    path.write_text(path.read_text().replace("listen 127.0.0.1:0", f"listen {running.address}"))
    second = subprocess.run([*COMMAND, "edge", str(path)], capture_output=True, text=True, timeout=30)
    assert second.returncode == 1
    assert "in use" in second.stderr


def test_verify_judges_a_recording_and_names_a_bad_line(tmp_path: Path) -> None:
    path = tmp_path / "day"
    with path.open("wb") as out:
        record = Recorder(out)
        record(EdgeUp(1, "e"))
        record(EndpointStarted(2, "m", False, 1.0))
    result = CliRunner().invoke(main, ["verify", str(path)])
    assert result.exit_code == 0
    assert result.output.count("held") == 5
    with path.open("ab") as out:
        out.write(b"{}\n")
    assert CliRunner().invoke(main, ["verify", str(path)]).exit_code == 2


@pytest.mark.parametrize("name", ["bad.day", "mysql.day"])
def test_a_short_bad_day_holds_every_rule(name: str, tmp_path: Path) -> None:
    """At a third of the day's rate: edges, members and clients share one process here, and on a machine that
    is busy its loop would be what is late, for which clients hold the edges to account."""
    script = tmp_path / "short.day"
    text = (DAYS / name).read_text(encoding="utf-8")
    script.write_text(text + "\nrate 50\n", encoding="utf-8")
    result = CliRunner().invoke(main, ["demo", str(script), "--last", "6", "--quiet", "--seed", "3"])
    assert result.exit_code == 0, result.output
    assert result.output.count("held") == 5
