"""ThreeInstances instances as processes of their own, and the commands on them."""

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

FILE = """
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


class ThreeInstances:
    """A cluster of three instances, each a process of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "cluster.key").write_bytes(b"k" * 32)
        (folder / "token.key").write_bytes(b"k" * 32)
        (folder / "ada.password").write_bytes(b"love lace")
        holders = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        self.ports = [s.getsockname()[1] for s in holders]
        for holder in holders:
            holder.close()
        self.names = [f"c{n}@127.0.0.1:{port}" for n, port in enumerate(self.ports)]
        members = "\n".join(f"member {n}" for n in self.names)
        for n, name in enumerate(self.names):
            text = FILE.format(name=name, folder=f"d{n}", members=members)
            (folder / f"c{n}.conf").write_text(text)
        self.processes: dict[int, subprocess.Popen[str]] = {}
        for n in range(3):
            self.start(n, "--create")

    def start(self, n: int, *arguments: str) -> None:
        log = (self.folder / f"c{n}.log").open("a")
        command = [*COMMAND, "configd", str(self.folder / f"c{n}.conf"), *arguments]
        self.processes[n] = subprocess.Popen(command, stderr=log, text=True)

    def config(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        at = [w for port in self.ports for w in ("--at", f"127.0.0.1:{port}")]
        return subprocess.run(
            [*COMMAND, "config", *at, *arguments], capture_output=True, text=True, timeout=60
        )

    def set(self, changes: list[object], *arguments: str) -> subprocess.CompletedProcess[str]:
        path = self.folder / "changes.json"
        path.write_text(json.dumps(changes))
        return self.config("set", str(path), *arguments)

    def all_reach(self, version: int) -> bool:
        """Wait until each instance has a version; return whether they do."""
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
def three(tmp_path: Path) -> Iterator[ThreeInstances]:
    made = ThreeInstances(tmp_path)
    yield made
    made.stop()


def test_a_cluster_from_the_shell_through_a_lost_leader(three: ThreeInstances) -> None:
    (three.folder / "edge.conf").write_text(EDGE_SETTINGS.format(hosts=7000))
    for _ in range(20):  # the instances are still starting
        seeded = three.config("seed", str(three.folder / "edge.conf"))
        if seeded.returncode == 0:
            break
        time.sleep(0.2)
    assert seeded.stdout == "version 1\n", seeded.stderr
    changes: list[object] = [
        {"type": "set-member", "name": "m0", "member": MEMBER},
        {"type": "set-group", "number": 0, "group": {"epoch": 1, "primary": "m0"}},
    ]
    assert three.set(changes, "--expect", "1").stdout == "version 2\n"
    refused = three.set([{"type": "set-state", "name": "m0", "state": "gone"}])
    assert refused.returncode == 1
    assert "rule 3" in refused.stderr
    status = three.config("status").stdout
    leader = next(n for n in range(3) if f"{three.names[n]}: leader" in status)
    three.processes[leader].send_signal(signal.SIGKILL)
    three.processes[leader].wait(10)
    changes = [{"type": "set-state", "name": "m0", "state": "draining"}]
    assert three.set(changes).stdout == "version 3\n"
    inspected = subprocess.run(
        [*COMMAND, "raft", "inspect", str(three.folder / f"d{leader}")], capture_output=True, text=True
    )
    assert f"node {three.names[leader]} of cluster test" in inspected.stdout
    three.start(leader)
    got = json.loads(three.config("get").stdout)
    assert got["version"] == 3
    assert got["members"]["m0"]["state"] == "draining"
    assert set(got["classes"]) == {"board", "own", "write", "once"}
    other = next(n for n in range(3) if n != leader)
    three.processes[other].terminate()
    assert three.processes[other].wait(15) == 0


def test_a_directory_is_not_created_twice_and_an_empty_one_is_refused(three: ThreeInstances) -> None:
    conf = str(three.folder / "c0.conf")
    for _ in range(400):
        if (three.folder / "d0" / "data.mdb").exists():
            break
        time.sleep(0.05)
    twice = subprocess.run(
        [*COMMAND, "configd", conf, "--create"], capture_output=True, text=True, timeout=30
    )
    assert twice.returncode == 2
    assert "already" in twice.stderr
    text = (three.folder / "c0.conf").read_text().replace("directory d0", "directory empty")
    (three.folder / "e.conf").write_text(text)
    command = [sys.executable, "-m", "juniperreel.cli.main", "configd", str(three.folder / "e.conf")]
    empty = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert empty.returncode == 2
    assert "forgotten what it voted" in empty.stderr


def test_a_lost_quorum_is_rescued_from_one_directory_and_grows_again(three: ThreeInstances) -> None:
    change: list[object] = [{"type": "set-limit", "name": "attempts", "value": 5}]
    for _ in range(20):
        if three.set(change).returncode == 0:
            break
        time.sleep(0.2)
    assert three.all_reach(1), "the quorum that took it may be the other two, and one may be starting"
    for process in three.processes.values():
        process.kill()
        process.wait(10)
    (three.folder / "d1" / "data.mdb").unlink()
    (three.folder / "d2" / "data.mdb").unlink()
    holders = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    three.ports = [s.getsockname()[1] for s in holders]
    names = [f"n{n}@127.0.0.1:{port}" for n, port in enumerate(three.ports)]
    for holder in holders:
        holder.close()
    rescue = ["raft", "rescue", str(three.folder / "d0"), "--into", str(three.folder / "e0")]
    command = [*COMMAND, *rescue, "--cluster", "second", "--name", names[0]]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("version 1;"), done.stderr
    for n, name in enumerate(names):
        text = FILE.format(name=name, folder=f"e{n}", members=f"member {names[0]}")
        (three.folder / f"c{n}.conf").write_text(text.replace("cluster test", "cluster second"))
    three.start(0)
    three.start(1, "--join")
    for arguments in (("add", names[1]), ("promote", names[1])):
        for _ in range(20):  # it may be starting, or lack entries still
            step = three.config("members", *arguments)
            if step.returncode == 0:
                break
            time.sleep(0.2)
        assert step.returncode == 0, step.stderr
    assert three.set([{"type": "set-limit", "name": "attempts", "value": 6}]).stdout == "version 2\n"
    got = json.loads(three.config("get").stdout)
    assert got["limits"] == {"attempts": 6}
    assert f"voters {', '.join(names)}" in three.config("status").stdout
