"""Requests that wait for a pooled connection of a busy primary."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
import trio

from juniperreel.pool.session_state import INITIAL_SESSION_STATE
from juniperreel.pool.types import RejectionReason
from juniperreel.proxy.mysql_endpoints import MysqlEndpoints
from juniperreel.proxy.mysql_pool import LeaseRequest
from juniperreel.routing.types import Outcome
from juniperreel.rpc.status import RpcError
from tests.e2e.environment import Environment
from tests.e2e.test_transactions import mysql_endpoints, wait_until

MAX_ATTEMPTS = 6  # of the edge of the environment
HOLD_S = 4.0  # longer than the pool's wait for each attempt, shorter than half of a write's deadline


@pytest.fixture
async def env(nursery: trio.Nursery, tmp_path: Path) -> Environment:
    started: Environment = await nursery.start(Environment(tmp_path, "mysql-members 1").run)
    return started


@asynccontextmanager
async def only_connection_leased(env: Environment) -> AsyncIterator[MysqlEndpoints]:
    """Limit the pools to one connection each, and hold the primary's."""
    endpoints = mysql_endpoints(env)
    for core in endpoints.pools().values():
        core.config = replace(core.config, max_connections=1)
        core._open_limiter._max_connections = 1
        core._open_limiter._current_limit = 1
    pool = endpoints._endpoints[env.primary.name].pool
    lease = await pool.lease(LeaseRequest(0, 1.0, INITIAL_SESSION_STATE, env.clock.now_us()))
    try:
        yield endpoints
    finally:
        pool.return_lease(lease, reusable=True)


def attempts(env: Environment, outcome: Outcome) -> float:
    counter = env.edge.driver.metrics.attempt(outcome.value)
    return float(counter._value.get())


async def test_a_wait_for_a_pooled_connection_that_times_out_is_not_blamed_on_the_endpoint(
    env: Environment,
) -> None:
    """A primary whose connections are all in use was counted as unreachable by requests with little time."""
    async with only_connection_leased(env):
        for _ in range(4):
            with pytest.raises(RpcError):
                await env.send(env.message("write", "busy", env.next_rid()), timeout_s=0.2)
        await wait_until(lambda: attempts(env, Outcome.NOT_SENT) >= 4)
    assert attempts(env, Outcome.UNREACHABLE) == 0


async def test_writes_that_wait_for_a_pooled_connection_keep_their_places(env: Environment) -> None:
    """Each wait of 250 ms used up an attempt and lost the place; the sixth was refused with seconds left."""
    served: list[str] = []

    async def write(name: str) -> None:
        await env.write("queue", rid=name)
        served.append(name)

    names = [f"write-{number}" for number in range(5)]
    async with trio.open_nursery() as writers, only_connection_leased(env) as endpoints:
        core = endpoints.pools()[env.primary.name]
        for waiting, name in enumerate(names, start=1):
            writers.start_soon(write, name)
            await wait_until(lambda waiting=waiting: core.waiting == waiting)  # type: ignore[misc]
        await trio.sleep(HOLD_S)
    assert served == names


async def test_pool_without_a_wait_is_asked_once_for_each_attempt(env: Environment) -> None:
    """With `wait 0` a write that may wait again asked in each iteration of the loop until its deadline."""
    async with only_connection_leased(env) as endpoints:
        core = endpoints.pools()[env.primary.name]
        core.config = replace(core.config, acquire_timeout_us=0)
        with pytest.raises(RpcError):
            await env.send(env.message("write", "no wait", env.next_rid()), timeout_s=4)
    rejected = env.edge.driver.metrics.pool_rejections.labels(RejectionReason.TIMED_OUT)
    assert 1 <= rejected._value.get() <= MAX_ATTEMPTS
