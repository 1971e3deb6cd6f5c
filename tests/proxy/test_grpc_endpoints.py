"""Tests of attempts on gRPC connections to endpoints."""

from __future__ import annotations

import random

import pytest
import trio

from juniperreel.net import Clock, ConnectTimedOutError, TcpNetwork
from juniperreel.proxy import ClientRequest
from juniperreel.proxy.attempts import AttemptProgress, AttemptRequest
from juniperreel.proxy.grpc_endpoints import GrpcEndpoints
from juniperreel.proxy.positions import RequiredPosition
from tests.proxy.builders import driver_options
from tests.routing.router_script import SEC


async def test_attempt_on_a_connection_that_does_not_open_ends_unsent_within_the_drain_grace(
    nursery: trio.Nursery,
) -> None:
    """An endpoint that accepts the connection but sends nothing fails the attempt at the connect time-out.

    Validation of the settings keeps the connect time-out below half the drain grace.
    """
    listener = await TcpNetwork().listen("127.0.0.1", 0)
    options = driver_options()
    endpoints = GrpcEndpoints(options, TcpNetwork(), Clock(), random.Random(1))
    await nursery.start(endpoints.run)
    endpoints.set_address("m", "127.0.0.1", listener.port)
    progress = AttemptProgress()
    start = trio.current_time()
    attempt = AttemptRequest(ClientRequest(0, 0, 0, 0, b""), 0, "own", False, 1.0, RequiredPosition())
    with pytest.raises(ConnectTimedOutError):
        await endpoints.execute("m", attempt, SEC, progress)
    assert not progress.sent.is_set()
    assert 2 * options.connect_timeout_us < options.router.drain_grace_us
    assert trio.current_time() - start < options.router.drain_grace_us / 1e6
    endpoints.remove("m")
    nursery.cancel_scope.cancel()
