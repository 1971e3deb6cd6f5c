"""Requests through client, edge and endpoints: tokens, failovers, disconnects, shutdown and concurrency."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from juniperreel.frontends.grpc_request import TOKEN_HEADER
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.header_blocks import encode_headers
from juniperreel.rpc.status import PUSHBACK, Code, RpcError
from tests.e2e.environment import EXECUTE, Environment, rows


async def test_write_and_read_pass_through_edge_and_endpoints(env: Environment) -> None:
    wrote = await env.write("r", rid="w1")
    read = await env.read("r", wrote.causal_token)
    assert rows(read) == ["w1"]
    assert wrote.role == 1 and wrote.attempts == 1 and wrote.member == env.primary.name
    seen, written = (env.keyring.decode(a.causal_token) for a in (read, wrote))
    assert seen.join(written) == seen


async def test_replicas_serve_reads(env: Environment) -> None:
    roles = [(await env.read("r", cls="board")).role for _ in range(30)]
    assert sum(role == 2 for role in roles) > 20


async def test_lagging_replica_does_not_serve_a_session_s_own_write(
    env: Environment, nursery: trio.Nursery
) -> None:
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    for number in range(10):
        wrote = await env.write("r", rid=f"lag{number}")
        read = await env.read("r", wrote.causal_token)
        assert rows(read)[-1] == f"lag{number}" and read.role == 1


async def test_token_is_accepted_from_metadata_and_message(env: Environment) -> None:
    wrote = await env.write("r", rid="m1")
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    wrote = await env.write("r", rid="m2")
    request = env.message("own", "r", env.next_rid())
    read = await env.send(request, metadata=[(TOKEN_HEADER, wrote.causal_token)])
    assert "m2" in rows(read)


async def test_read_waits_for_a_position_that_is_reached_soon(env: Environment) -> None:
    future_us = env.clock.now_us() + 400_000
    read = await env.read("r", env.token(future_us))
    assert env.clock.now_us() >= future_us
    assert env.keyring.decode(read.causal_token).entries[0, 1] >= future_us


@pytest.mark.parametrize("epoch", [1, 9])
async def test_token_of_a_future_position_is_rejected_in_time(env: Environment, epoch: int) -> None:
    start = trio.current_time()
    with pytest.raises(RpcError) as refused:
        await env.read("r", env.token(env.clock.now_us() + 3_600_000_000, epoch), timeout_s=1.5)
    assert trio.current_time() - start < 1.5
    assert refused.value.code is Code.UNAVAILABLE
    assert refused.value.retry_after_us() == 300_000
    assert (PUSHBACK, "300") in refused.value.metadata


async def test_token_lost_in_a_failover_is_rejected_and_others_are_served(env: Environment) -> None:
    kept_response = await env.write("r", rid="kept")
    env.primary.kill()
    await env.write("r", rid="after")  # is served by the new primary
    start = env.fleet.groups[0].primary.replica.epochs[-1][1]  # type: ignore[union-attr]
    with pytest.raises(RpcError) as refused:
        await env.read("r", env.token(start + 1, epoch=1), timeout_s=1.5)
    assert refused.value.code is Code.UNAVAILABLE
    assert rows(await env.read("r", kept_response.causal_token)) == ["kept", "after"]


@pytest.mark.parametrize("case", ["forged", "cut", "huge", "text"])
async def test_invalid_token_is_rejected_by_field(env: Environment, case: str) -> None:
    good = (await env.write("r")).causal_token
    bad = {
        "forged": good[:-1] + bytes([good[-1] ^ 1]),
        "cut": good[:-5],
        "huge": bytes(1 << 20),
        "text": b"token",
    }[case]
    with pytest.raises(RpcError) as invalid:
        await env.read("r", bad)
    assert invalid.value.code is Code.INVALID_ARGUMENT
    assert invalid.value.details[0].field_violations[0].field == "causal_token"  # type: ignore[attr-defined]
    assert rows(await env.read("r", good))


async def test_empty_token_header_is_an_error_and_empty_field_is_no_token(env: Environment) -> None:
    request = env.message("own", "r", "e1", causal_token=b"")
    assert await env.send(request)
    with pytest.raises(RpcError) as invalid:
        await env.send(request, metadata=[(TOKEN_HEADER, b"")])
    assert invalid.value.code is Code.INVALID_ARGUMENT


@pytest.mark.parametrize(
    ("field", "change"),
    [
        ("class", {"cls": "nothing"}),
        ("tenant", {"tenant": "nobody"}),
        ("group", {"group": 7}),
        ("session", {"session": "x" * 1000}),
        ("statement", {"statement": b""}),
    ],
)
async def test_invalid_input_is_rejected_by_field(
    env: Environment, field: str, change: dict[str, object]
) -> None:
    request = env.message("own", "r", "b1")
    for name, value in change.items():
        setattr(request, "class" if name == "cls" else name, value)
    with pytest.raises(RpcError) as invalid:
        await env.send(request)
    assert invalid.value.code is Code.INVALID_ARGUMENT and invalid.value.message.startswith(f"{field}: ")


async def test_random_bytes_and_statement_errors_get_error_statuses(env: Environment) -> None:
    with pytest.raises(RpcError) as noise:
        await env.channel.unary(EXECUTE, b"\xff\xff\xff")
    assert noise.value.code is Code.INVALID_ARGUMENT
    request = env.message("own", "r", "f1")
    request.statement = b"selekt 1"
    with pytest.raises(RpcError) as fault:
        await env.send(request)
    assert fault.value.code is Code.INVALID_ARGUMENT and "syntax error" in fault.value.message
    assert await env.read("r")


# The primary fails during a write.


async def kill_when(env: Environment, ready: trio.Event) -> None:
    await ready.wait()
    env.primary.kill()


@pytest.mark.parametrize("moment", ["before executing", "after executing", "half the answer"])
async def test_keyed_write_survives_a_failover_and_takes_effect_once(env: Environment, moment: str) -> None:
    old = env.primary
    if moment == "before executing":
        old.faults.hung = True
    elif moment == "after executing":
        old.faults.lost_responses = 1.0
    else:
        old.faults.broken_connections = 1.0
    async with trio.open_nursery() as nursery:

        async def kill_primary() -> None:
            with trio.fail_after(10):
                while moment != "before executing" and not env.commits("k1"):
                    await trio.sleep(0.005)
                await trio.sleep(0.1)
            old.kill()

        nursery.start_soon(kill_primary)
        answer = await env.write("r", rid="k1")
    assert answer.member != old.name and answer.attempts >= 2
    assert rows(await env.read("r", answer.causal_token)) == ["k1"]


@pytest.mark.parametrize("fault", ["lost_responses", "broken_connections"])
async def test_unkeyed_write_that_may_have_run_fails_as_effect_unknown(env: Environment, fault: str) -> None:
    old = env.primary
    setattr(old.faults, fault, 1.0)
    async with trio.open_nursery() as nursery:

        async def kill_primary() -> None:
            while not env.commits("u1"):
                await trio.sleep(0.005)
            await trio.sleep(0.1)
            old.kill()

        nursery.start_soon(kill_primary)
        with pytest.raises(RpcError) as unknown:
            await env.write("r", "once", "u1")
    assert unknown.value.code is Code.UNKNOWN
    assert unknown.value.reason("juniperreel") == "EFFECT_UNKNOWN"
    assert (PUSHBACK, "-1") in unknown.value.metadata
    assert len(env.commits("u1")) == 1


async def test_write_on_a_deposed_primary_is_not_confirmed(env: Environment, nursery: trio.Nursery) -> None:
    await env.inject_fault("at 0s for 300ms two-primaries g0")
    for number in range(5):
        answer = await env.write("r", rid=f"d{number}")
        assert answer.member == env.primary.name


# Disconnects, shutdown and concurrency.


async def test_cancelled_call_ends_its_attempt(env: Environment) -> None:
    for member in env.fleet.endpoints.values():
        member.faults.hung = True
    with trio.move_on_after(0.3):
        await env.read("r", cls="board")
    with trio.fail_after(5):
        while env.edge.driver.open_requests:
            await trio.sleep(0.01)
    for member in env.fleet.endpoints.values():
        member.resume()
    assert await env.read("r", cls="board")


async def test_shutdown_answers_all_admitted_requests(tmp_path: Path, nursery: trio.Nursery) -> None:
    """A busy edge may reject requests before the shutdown; it must serve all that it has admitted."""
    env: Environment = await nursery.start(Environment(tmp_path, "write-work 200ms\n").run)
    served: list[str] = []
    refused: list[str] = []

    async def send_one(rid: str) -> None:
        try:
            await env.write("r", rid=rid)
            served.append(rid)
        except RpcError as error:
            assert error.code is Code.RESOURCE_EXHAUSTED
            assert env.edge.serving, "rejected although it was admitted before the shutdown"
            refused.append(rid)

    async with trio.open_nursery() as writers:
        for number in range(50):
            writers.start_soon(send_one, f"w{number}")
        with trio.fail_after(20):
            while len(env.edge.driver.open_requests) + len(served) + len(refused) < 50:
                await trio.sleep(0)
        admitted = len(env.edge.driver.open_requests)
        assert admitted >= 10
        served_before = len(served)
        env.edge.stop()
    assert len(served) == served_before + admitted
    assert len(served) + len(refused) == 50
    assert not env.edge.serving


async def test_request_begun_before_the_shutdown_is_served(env: Environment) -> None:
    """Guards against a shutdown that stops admission before clients know of it, and rejects their streams."""
    connection = await env.channel.connection()
    headers = encode_headers(
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", EXECUTE),
            (":authority", "edge"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ]
    )
    stream = await connection.open(headers)
    with trio.fail_after(20):
        while not any(connection.streams for connection in env.edge.server._connections):
            await trio.sleep(0.01)
        env.edge.stop()
        while not connection.going_away:  # until the client has received the GOAWAY
            await trio.sleep(0.01)
        await connection.send_message(
            stream, env.message("write", "r", "begun").SerializeToString(), end=True
        )
        assert records_pb2.ExecuteResponse.FromString(await stream.message() or b"").member
        await env.edge.ended.wait()
    assert len(env.commits("begun")) == 1


async def test_two_thousand_concurrent_streams_get_one_answer_each(env: Environment) -> None:
    outcomes: list[Code] = []

    async def send_one() -> None:
        try:
            await env.read("r", cls="own", timeout_s=20)
            outcomes.append(Code.OK)
        except RpcError as error:
            outcomes.append(error.code)

    async with trio.open_nursery() as nursery:
        for _ in range(2000):
            nursery.start_soon(send_one)
    assert len(outcomes) == 2000
    assert set(outcomes) <= {Code.OK, Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED, Code.DEADLINE_EXCEEDED}
    assert outcomes.count(Code.OK) > 0
    assert not env.edge.driver.open_requests
