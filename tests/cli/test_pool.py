"""Tests of `juniperreel pool show` against a serving edge."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner

from juniperreel.cli.main import main
from juniperreel.cli.pool import PoolMetrics, parse_metrics, pool_table
from juniperreel.frontends.http import HttpFrontend
from juniperreel.net import TcpNetwork
from tests.e2e.environment import Environment


@pytest.fixture
async def environment(nursery: trio.Nursery, tmp_path: Path) -> Environment:
    environment: Environment = await nursery.start(Environment(tmp_path, "mysql-members 1").run)
    return environment


async def test_pool_show_prints_endpoints_of_a_running_edge(
    environment: Environment, nursery: trio.Nursery
) -> None:
    http = HttpFrontend(environment.edge.metrics.render, lambda: True)
    listener = await TcpNetwork().listen("127.0.0.1", 0)
    port = await nursery.start(http.serve, listener)
    with trio.fail_after(20):
        while (
            "juniperreel_pool_most" not in environment.edge.metrics.render().decode()
            or not environment.metric("pool_most", member=environment.primary.name)
        ):
            await trio.sleep(0.05)

    def show_pools() -> str:
        result = CliRunner().invoke(main, ["pool", "show", f"127.0.0.1:{port}"])
        assert result.exit_code == 0, result.output
        return result.output

    output = await trio.to_thread.run_sync(show_pools)
    assert all(name in output for name in (*environment.fleet.endpoints, "leased", "waiting", "32"))


def test_pool_show_without_an_edge_at_the_address_exits_with_status_1() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    result = CliRunner().invoke(main, ["pool", "show", f"127.0.0.1:{port}"])
    assert result.exit_code == 1
    assert "refused" in result.output


def test_pool_table_shows_rates_since_the_previous_metrics() -> None:
    text = """# TYPE juniperreel_pool_turned_total counter
juniperreel_pool_turned_total{reason="too many wait"} %d
# TYPE juniperreel_pool_replays_total counter
juniperreel_pool_replays_total %d
# TYPE juniperreel_pool_connections gauge
juniperreel_pool_connections{member="m1",state="leased"} 4
"""
    previous = parse_metrics(text % (10, 100))
    current = parse_metrics(text % (14, 120))
    caption = str(pool_table(current, previous, 2.0).caption)
    assert "too many wait: 14 (2.0/s)" in caption
    assert "replays: 120 (10.0/s)" in caption
    assert pool_table(current, None, 0.0).row_count == 1
    assert pool_table(PoolMetrics(), None, 0.0).row_count == 0
