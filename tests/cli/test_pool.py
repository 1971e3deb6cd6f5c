"""`juniperreel pool show` against an edge that serves."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.cli.pool import Seen, look, shown
from juniperreel.frontends.http import HttpFront
from juniperreel.net import TcpNetwork
from tests.e2e.world import World


@pytest.fixture
async def world(nursery: trio.Nursery, tmp_path: Path) -> World:
    started: World = await nursery.start(World(tmp_path, "mysql-members 1").run)
    return started


async def test_pools_of_an_edge(world: World, nursery: trio.Nursery) -> None:
    http = HttpFront(world.edge.metrics.text, lambda: True)
    listener = await TcpNetwork().listen("127.0.0.1", 0)
    port = await nursery.start(http.serve, listener)
    with trio.fail_after(20):
        while "juniperreel_pool_most" not in world.edge.metrics.text().decode() or not world.metric(
            "pool_most", member=world.primary.name
        ):
            await trio.sleep(0.05)

    def run() -> str:
        result = CliRunner().invoke(main, ["pool", "show", f"127.0.0.1:{port}"])
        assert result.exit_code == 0, result.output
        return result.output

    said = await trio.to_thread.run_sync(run)
    assert all(name in said for name in (*world.fleet.endpoints, "leased", "waiting", "32"))


def test_an_edge_without_pools_and_one_that_is_not_there() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    result = CliRunner().invoke(main, ["pool", "show", f"127.0.0.1:{port}"])
    assert result.exit_code == 1 and "refused" in result.output


def test_counts_are_told_by_the_second() -> None:
    text = """# TYPE juniperreel_pool_turned_total counter
juniperreel_pool_turned_total{reason="too many wait"} %d
# TYPE juniperreel_pool_replays_total counter
juniperreel_pool_replays_total %d
# TYPE juniperreel_pool_connections gauge
juniperreel_pool_connections{member="m1",state="leased"} 4
"""
    before, after = look(text % (10, 100)), look(text % (14, 120))
    caption = str(shown(after, before, 2.0).caption)
    assert "too many wait: 14 (2.0/s)" in caption and "replays: 120 (10.0/s)" in caption
    assert shown(after, None, 0.0).row_count == 1
    assert shown(Seen(), None, 0.0).row_count == 0
