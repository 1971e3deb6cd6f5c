"""Unmodified grpcio as a client of the edge, with nothing of this project but the generated messages."""

from __future__ import annotations

import json
import threading
from typing import Any

import grpc
import pytest
import trio

from juniperreel.proto.health.v1 import health_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.proto.reflection.v1 import reflection_pb2
from tests.e2e.environment import EXECUTE, Environment, rows

TIMEOUT_S = 20.0


async def call_with_grpcio(env: Environment, call: Any, **options: Any) -> Any:
    def run() -> Any:
        with grpc.insecure_channel(f"127.0.0.1:{env.port}", **options) as channel:
            return call(channel)

    with trio.fail_after(2 * TIMEOUT_S):
        return await trio.to_thread.run_sync(run)


def execute(channel: grpc.Channel) -> Any:
    return channel.unary_unary(
        EXECUTE, records_pb2.ExecuteRequest.SerializeToString, records_pb2.ExecuteResponse.FromString
    )


async def test_writes_and_reads_with_the_token_in_metadata_and_gzip(env: Environment) -> None:
    def call(channel: grpc.Channel) -> None:
        wrote, info = execute(channel).with_call(env.message("write", "r", "g1"), timeout=TIMEOUT_S)
        trailing = dict(info.trailing_metadata())
        assert trailing["juniperreel-causal-bin"] == wrote.causal_token
        metadata = (("juniperreel-causal-bin", wrote.causal_token),)
        for compression in (grpc.Compression.NoCompression, grpc.Compression.Gzip):
            read = execute(channel)(
                env.message("own", "r", "g2"), timeout=TIMEOUT_S, metadata=metadata, compression=compression
            )
            assert rows(read) == ["g1"]

    await call_with_grpcio(env, call)


async def test_large_messages_pass_and_too_large_ones_are_refused(env: Environment) -> None:
    def call(channel: grpc.Channel) -> None:
        large = env.message("write", "r", "g3", idempotency_key="large")
        large.parameters[1].text = "x" * (2 << 20)
        wrote = execute(channel)(large, timeout=TIMEOUT_S)
        assert wrote.attempts == 1
        request = env.message("own", "r", "g30", causal_token=wrote.causal_token)
        read = execute(channel)(request, timeout=TIMEOUT_S)
        assert len(rows(read)[0]) == 2 << 20
        with pytest.raises(grpc.RpcError) as refused:
            execute(channel)(
                env.message("write", "r", "x" * (5 << 20), idempotency_key="k"), timeout=TIMEOUT_S
            )
        assert refused.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED

    await call_with_grpcio(env, call)


async def test_deadline_and_cancel(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.faults.hung = True

    def call(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as late:
            execute(channel)(env.message("board", "r", "g4"), timeout=0.5)
        assert late.value.code() in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED)
        future = execute(channel).future(env.message("board", "r", "g5"))
        threading.Timer(0.2, future.cancel).start()
        with pytest.raises(grpc.FutureCancelledError):
            future.result(timeout=TIMEOUT_S)

    await call_with_grpcio(env, call)
    with trio.fail_after(TIMEOUT_S):
        while env.edge.driver.open_requests:
            await trio.sleep(0.01)


async def test_grpcio_retries_follow_the_pushback_and_are_counted_as_repeats(
    env: Environment, nursery: trio.Nursery
) -> None:
    policy = {
        "maxAttempts": 5,
        "initialBackoff": "30s",
        "maxBackoff": "30s",
        "backoffMultiplier": 1,
        "retryableStatusCodes": ["UNAVAILABLE"],
    }
    config = {"methodConfig": [{"name": [{"service": "juniperreel.v1.Records"}], "retryPolicy": policy}]}
    options = (("grpc.service_config", json.dumps(config)), ("grpc.enable_retries", 1))
    token = env.token(env.clock.now_us() + 3_500_000)  # not reached by any endpoint yet

    def call(channel: grpc.Channel) -> Any:
        return execute(channel)(env.message("own", "r", "g6", causal_token=token), timeout=TIMEOUT_S)

    assert (await call_with_grpcio(env, call, options=options)).attempts >= 1
    assert env.metric("requests_total", cls="own", outcome="refused") >= 1
    assert env.metric("repeats_total", cls="own") >= 1


async def test_request_of_unknown_effect_is_not_retried(env: Environment) -> None:
    env.primary.faults.broken_connections = 1.0
    policy = {
        "maxAttempts": 5,
        "initialBackoff": "0.01s",
        "maxBackoff": "0.01s",
        "backoffMultiplier": 1,
        "retryableStatusCodes": ["UNAVAILABLE", "UNKNOWN"],
    }
    config = {"methodConfig": [{"name": [{"service": "juniperreel.v1.Records"}], "retryPolicy": policy}]}
    options = (("grpc.service_config", json.dumps(config)), ("grpc.enable_retries", 1))

    def call(channel: grpc.Channel) -> None:
        with pytest.raises(grpc.RpcError) as unknown:
            execute(channel)(env.message("once", "r", "g7"), timeout=TIMEOUT_S)
        assert unknown.value.code() is grpc.StatusCode.UNKNOWN

    await call_with_grpcio(env, call, options=options)
    assert len(env.commits("g7")) == 1


async def test_health_watch_reports_shutdown_and_reflection_lists_the_service(env: Environment) -> None:
    def call(channel: grpc.Channel) -> list[int]:
        reflect = channel.stream_stream(
            "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo",
            reflection_pb2.ServerReflectionRequest.SerializeToString,
            reflection_pb2.ServerReflectionResponse.FromString,
        )
        (names,) = reflect(
            iter([reflection_pb2.ServerReflectionRequest(list_services="*")]), timeout=TIMEOUT_S
        )
        assert "juniperreel.v1.Records" in [s.name for s in names.list_services_response.service]
        watch = channel.unary_stream(
            "/grpc.health.v1.Health/Watch",
            health_pb2.HealthCheckRequest.SerializeToString,
            health_pb2.HealthCheckResponse.FromString,
        )(health_pb2.HealthCheckRequest(service="juniperreel.v1.Records"), timeout=TIMEOUT_S)
        statuses = [next(watch).status]
        trio.from_thread.run_sync(env.edge.stop)
        statuses.append(next(watch).status)
        watch.cancel()
        return statuses

    statuses = await call_with_grpcio(env, call)
    assert statuses == [health_pb2.HealthCheckResponse.SERVING, health_pb2.HealthCheckResponse.NOT_SERVING]
