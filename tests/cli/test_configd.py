"""Tests of `configd`, `config` and `raft` against a cluster with one process per instance."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.cli.test_commands import COMMAND
from tests.e2e.environment import EDGE_SETTINGS

SETTINGS_TEMPLATE = """
[instance]
name {name}
cluster test
directory {folder}
key cluster.key
tick 20ms
[cluster]
{members}
"""
MEMBER = {"group": 0, "address": "127.0.0.1", "port": 9}


class ThreeInstanceCluster:
    """A cluster of three instances, each in a separate process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "cluster.key").write_bytes(b"k" * 32)
        (folder / "token.key").write_bytes(b"k" * 32)
        (folder / "ada.password").write_bytes(b"love lace")
        port_holders = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        self.ports = [listener.getsockname()[1] for listener in port_holders]
        for port_holder in port_holders:
            port_holder.close()
        self.names = [f"c{number}@127.0.0.1:{port}" for number, port in enumerate(self.ports)]
        members = "\n".join(f"member {instance}" for instance in self.names)
        for number, name in enumerate(self.names):
            text = SETTINGS_TEMPLATE.format(name=name, folder=f"d{number}", members=members)
            (folder / f"c{number}.conf").write_text(text)
        self.processes: dict[int, subprocess.Popen[str]] = {}
        for number in range(3):
            self.start(number, "--create")

    def start(self, number: int, *arguments: str) -> None:
        log = (self.folder / f"c{number}.log").open("a")
        command = [*COMMAND, "configd", str(self.folder / f"c{number}.conf"), *arguments]
        self.processes[number] = subprocess.Popen(command, stderr=log, text=True)

    def config(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        address_options = [word for port in self.ports for word in ("--at", f"127.0.0.1:{port}")]
        return subprocess.run(
            [*COMMAND, "config", *address_options, *arguments], capture_output=True, text=True, timeout=60
        )

    def set(self, changes: list[object], *arguments: str) -> subprocess.CompletedProcess[str]:
        path = self.folder / "changes.json"
        path.write_text(json.dumps(changes))
        return self.config("set", str(path), *arguments)

    def all_instances_reach(self, version: int) -> bool:
        """Poll until every instance has applied `version`; return False if that takes too long."""
        for _ in range(100):
            if self.config("status").stdout.count(f" version {version}, ") == len(self.processes):
                return True
            time.sleep(0.2)
        return False

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait(10)


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ThreeInstanceCluster]:
    cluster = ThreeInstanceCluster(tmp_path)
    yield cluster
    cluster.stop()


def test_cluster_serves_commands_after_losing_its_leader(cluster: ThreeInstanceCluster) -> None:
    (cluster.folder / "edge.conf").write_text(EDGE_SETTINGS.format(hosts=7000))
    for _ in range(20):  # the instances may still be starting
        seed_result = cluster.config("seed", str(cluster.folder / "edge.conf"))
        if seed_result.returncode == 0:
            break
        time.sleep(0.2)
    assert seed_result.stdout == "version 1\n", seed_result.stderr
    changes: list[object] = [
        {"type": "set-member", "name": "m0", "member": MEMBER},
        {"type": "set-group", "number": 0, "group": {"epoch": 1, "primary": "m0"}},
    ]
    added = cluster.set(changes, "--expect", "1")
    assert added.stdout == "version 2\n", added.stderr
    rejected = cluster.set([{"type": "set-state", "name": "m0", "state": "gone"}])
    assert rejected.returncode == 1
    assert "rule 3" in rejected.stderr
    status = cluster.config("status").stdout
    leader = next(number for number in range(3) if f"{cluster.names[number]}: leader" in status)
    cluster.processes[leader].send_signal(signal.SIGKILL)
    cluster.processes[leader].wait(10)
    changes = [{"type": "set-state", "name": "m0", "state": "draining"}]
    drained = cluster.set(changes)
    assert drained.stdout == "version 3\n", drained.stderr
    inspect_result = subprocess.run(
        [*COMMAND, "raft", "inspect", str(cluster.folder / f"d{leader}")], capture_output=True, text=True
    )
    assert f"node {cluster.names[leader]} of cluster test" in inspect_result.stdout
    cluster.start(leader)
    configuration = json.loads(cluster.config("get").stdout)
    assert configuration["version"] == 3
    assert configuration["members"]["m0"]["state"] == "draining"
    assert set(configuration["classes"]) == {"board", "own", "write", "once"}
    other_instance = next(number for number in range(3) if number != leader)
    cluster.processes[other_instance].terminate()
    assert cluster.processes[other_instance].wait(15) == 0


def test_create_rejects_an_existing_directory_and_open_rejects_an_empty_one(
    cluster: ThreeInstanceCluster,
) -> None:
    conf = str(cluster.folder / "c0.conf")
    for _ in range(400):
        if (cluster.folder / "d0" / "data.mdb").exists():
            break
        time.sleep(0.05)
    second_create = subprocess.run(
        [*COMMAND, "configd", conf, "--create"], capture_output=True, text=True, timeout=30
    )
    assert second_create.returncode == 2
    assert "already" in second_create.stderr
    text = (cluster.folder / "c0.conf").read_text().replace("directory d0", "directory empty")
    (cluster.folder / "e.conf").write_text(text)
    command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(cluster.folder / "e.conf")]
    empty_result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert empty_result.returncode == 2
    assert "forgotten what it voted" in empty_result.stderr


def test_rescued_cluster_continues_from_one_directory_and_accepts_a_new_member(
    cluster: ThreeInstanceCluster,
) -> None:
    changes: list[object] = [{"type": "set-limit", "name": "attempts", "value": 5}]
    for _ in range(20):
        if cluster.set(changes).returncode == 0:
            break
        time.sleep(0.2)
    assert cluster.all_instances_reach(1), (
        "instance 0 may not have been part of the committing quorum, and one may still be starting"
    )
    for process in cluster.processes.values():
        process.kill()
        process.wait(10)
    (cluster.folder / "d1" / "data.mdb").unlink()
    (cluster.folder / "d2" / "data.mdb").unlink()
    port_holders = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    cluster.ports = [listener.getsockname()[1] for listener in port_holders]
    names = [f"n{number}@127.0.0.1:{port}" for number, port in enumerate(cluster.ports)]
    for port_holder in port_holders:
        port_holder.close()
    rescue = ["raft", "rescue", str(cluster.folder / "d0"), "--into", str(cluster.folder / "e0")]
    command = [*COMMAND, *rescue, "--cluster", "second", "--name", names[0]]
    rescue_result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert rescue_result.returncode == 0, rescue_result.stderr
    assert rescue_result.stdout.startswith("version 1;"), rescue_result.stderr
    for number, name in enumerate(names):
        text = SETTINGS_TEMPLATE.format(name=name, folder=f"e{number}", members=f"member {names[0]}")
        (cluster.folder / f"c{number}.conf").write_text(text.replace("cluster test", "cluster second"))
    cluster.start(0)
    cluster.start(1, "--join")
    for arguments in (("add", names[1]), ("promote", names[1])):
        for _ in range(20):  # the instance may still be starting, or lagging behind the log
            membership_result = cluster.config("members", *arguments)
            if membership_result.returncode == 0:
                break
            time.sleep(0.2)
        assert membership_result.returncode == 0, membership_result.stderr
    assert cluster.set([{"type": "set-limit", "name": "attempts", "value": 6}]).stdout == "version 2\n"
    configuration = json.loads(cluster.config("get").stdout)
    assert configuration["limits"] == {"attempts": 6}
    assert f"voters {', '.join(names)}" in cluster.config("status").stdout
