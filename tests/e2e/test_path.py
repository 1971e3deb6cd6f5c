"""The whole path: client, edge, member and back, with the hard cases of tokens and of dying primaries."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio

from juniperreel.frontends.grpc_request import TOKEN_HEADER
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.header_blocks import encode_headers
from juniperreel.rpc.status import PUSHBACK, Code, RpcError
from tests.e2e.environment import EXECUTE, Environment, rows


async def test_a_write_and_a_read_travel_the_whole_path(env: Environment) -> None:
    wrote = await env.write("r", rid="w1")
    read = await env.read("r", wrote.causal_token)
    assert rows(read) == ["w1"]
    assert wrote.role == 1 and wrote.attempts == 1 and wrote.member == env.primary.name
    seen, written = (env.ring.decode(a.causal_token) for a in (read, wrote))
    assert seen.join(written) == seen


async def test_replicas_take_the_reads(env: Environment) -> None:
    roles = [(await env.read("r", cls="board")).role for _ in range(30)]
    assert sum(role == 2 for role in roles) > 20


async def test_a_lagging_replica_is_not_asked_for_a_session_s_own_write(
    env: Environment, nursery: trio.Nursery
) -> None:
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    for number in range(10):
        wrote = await env.write("r", rid=f"lag{number}")
        read = await env.read("r", wrote.causal_token)
        assert rows(read)[-1] == f"lag{number}" and read.role == 1


async def test_a_token_is_taken_from_metadata_and_message_alike(env: Environment) -> None:
    wrote = await env.write("r", rid="m1")
    for member in env.fleet.endpoints.values():
        member.replica.apply_slowdown = 1e5
    wrote = await env.write("r", rid="m2")
    ask = env.message("own", "r", env.rid())
    read = await env.send(ask, metadata=[(TOKEN_HEADER, wrote.causal_token)])
    assert "m2" in rows(read)


async def test_a_position_soon_reached_is_waited_for(env: Environment) -> None:
    ahead = env.clock.now_us() + 400_000
    read = await env.read("r", env.token(ahead))
    assert env.clock.now_us() >= ahead
    assert env.ring.decode(read.causal_token).entries[0, 1] >= ahead


@pytest.mark.parametrize("epoch", [1, 9])
async def test_a_token_of_the_future_is_refused_in_time(env: Environment, epoch: int) -> None:
    start = trio.current_time()
    with pytest.raises(RpcError) as refused:
        await env.read("r", env.token(env.clock.now_us() + 3_600_000_000, epoch), timeout_s=1.5)
    assert trio.current_time() - start < 1.5
    assert refused.value.code is Code.UNAVAILABLE
    assert refused.value.retry_after_us() == 300_000
    assert (PUSHBACK, "300") in refused.value.metadata


async def test_a_token_that_a_failover_cut_off_is_refused_and_others_are_served(env: Environment) -> None:
    before = await env.write("r", rid="kept")
    env.primary.kill()
    await env.write("r", rid="after")  # waits for the new primary
    start = env.fleet.groups[0].primary.replica.epochs[-1][1]  # type: ignore[union-attr]
    with pytest.raises(RpcError) as refused:
        await env.read("r", env.token(start + 1, epoch=1), timeout_s=1.5)
    assert refused.value.code is Code.UNAVAILABLE
    assert rows(await env.read("r", before.causal_token)) == ["kept", "after"]


@pytest.mark.parametrize("case", ["forged", "cut", "huge", "text"])
async def test_bad_tokens_are_named_and_harmless(env: Environment, case: str) -> None:
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


async def test_an_empty_token_header_is_an_error_and_an_empty_field_is_none(env: Environment) -> None:
    ask = env.message("own", "r", "e1", causal_token=b"")
    assert await env.send(ask)
    with pytest.raises(RpcError) as invalid:
        await env.send(ask, metadata=[(TOKEN_HEADER, b"")])
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
async def test_bad_input_is_named(env: Environment, field: str, change: dict[str, object]) -> None:
    ask = env.message("own", "r", "b1")
    for name, value in change.items():
        setattr(ask, "class" if name == "cls" else name, value)
    with pytest.raises(RpcError) as invalid:
        await env.send(ask)
    assert invalid.value.code is Code.INVALID_ARGUMENT and invalid.value.message.startswith(f"{field}: ")


async def test_noise_and_statement_faults_end_cleanly(env: Environment) -> None:
    with pytest.raises(RpcError) as noise:
        await env.channel.unary(EXECUTE, b"\xff\xff\xff")
    assert noise.value.code is Code.INVALID_ARGUMENT
    ask = env.message("own", "r", "f1")
    ask.statement = b"selekt 1"
    with pytest.raises(RpcError) as fault:
        await env.send(ask)
    assert fault.value.code is Code.INVALID_ARGUMENT and "syntax error" in fault.value.message
    assert await env.read("r")


# The primary dies in the middle of a write.


async def kill_when(env: Environment, ready: trio.Event) -> None:
    await ready.wait()
    env.primary.kill()


@pytest.mark.parametrize("moment", ["before executing", "after executing", "half the answer"])
async def test_a_keyed_write_survives_its_primary_and_takes_effect_once(
    env: Environment, moment: str
) -> None:
    old = env.primary
    if moment == "before executing":
        old.faults.hung = True
    elif moment == "after executing":
        old.faults.lost_responses = 1.0
    else:
        old.faults.broken_connections = 1.0
    async with trio.open_nursery() as nursery:

        async def end() -> None:
            with trio.fail_after(10):
                while moment != "before executing" and not env.commits("k1"):
                    await trio.sleep(0.005)
                await trio.sleep(0.1)
            old.kill()

        nursery.start_soon(end)
        answer = await env.write("r", rid="k1")
    assert answer.member != old.name and answer.attempts >= 2
    assert rows(await env.read("r", answer.causal_token)) == ["k1"]


@pytest.mark.parametrize("fault", ["lost_responses", "broken_connections"])
async def test_an_unkeyed_write_that_may_have_run_ends_as_unknown(env: Environment, fault: str) -> None:
    old = env.primary
    setattr(old.faults, fault, 1.0)
    async with trio.open_nursery() as nursery:

        async def end() -> None:
            while not env.commits("u1"):
                await trio.sleep(0.005)
            await trio.sleep(0.1)
            old.kill()

        nursery.start_soon(end)
        with pytest.raises(RpcError) as unknown:
            await env.write("r", "once", "u1")
    assert unknown.value.code is Code.UNKNOWN
    assert unknown.value.reason("juniperreel") == "EFFECT_UNKNOWN"
    assert (PUSHBACK, "-1") in unknown.value.metadata
    assert len(env.commits("u1")) == 1


async def test_a_write_of_a_deposed_primary_is_not_believed(env: Environment, nursery: trio.Nursery) -> None:
    await env.fault("at 0s for 300ms two-primaries g0")
    for number in range(5):
        answer = await env.write("r", rid=f"d{number}")
        assert answer.member == env.primary.name


# Leaving, stopping, crowding.


async def test_a_client_that_leaves_ends_its_attempt(env: Environment) -> None:
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


async def test_a_stop_answers_all_in_hand(tmp_path: Path, nursery: trio.Nursery) -> None:
    """What a busy edge refuses before the stop is answered by that, and all others are served."""
    env: Environment = await nursery.start(Environment(tmp_path, "write-work 200ms\n").run)
    served: list[str] = []
    refused: list[str] = []

    async def one(rid: str) -> None:
        try:
            await env.write("r", rid=rid)
            served.append(rid)
        except RpcError as error:
            assert error.code is Code.RESOURCE_EXHAUSTED
            assert env.edge.serving, "refused though it was in hand"
            refused.append(rid)

    async with trio.open_nursery() as writers:
        for number in range(50):
            writers.start_soon(one, f"w{number}")
        with trio.fail_after(20):
            while len(env.edge.driver.open_requests) + len(served) + len(refused) < 50:
                await trio.sleep(0)
        in_hand = len(env.edge.driver.open_requests)
        assert in_hand >= 10
        served_before = len(served)
        env.edge.stop()
    assert len(served) == served_before + in_hand
    assert len(served) + len(refused) == 50
    assert not env.edge.serving


async def test_a_request_that_was_begun_before_the_stop_is_served(env: Environment) -> None:
    """Danger: a limit that closes before the connections know of it turns away what they still bring."""
    link = await env.channel.connection()
    block = encode_headers(
        [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", EXECUTE),
            (":authority", "edge"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ]
    )
    stream = await link.open(block)
    with trio.fail_after(20):
        while not any(link.streams for link in env.edge.server._connections):
            await trio.sleep(0.01)
        env.edge.stop()
        while not link.going_away:  # it has heard of the end
            await trio.sleep(0.01)
        await link.send_message(stream, env.message("write", "r", "begun").SerializeToString(), end=True)
        assert records_pb2.ExecuteResponse.FromString(await stream.message() or b"").member
        await env.edge.ended.wait()
    assert len(env.commits("begun")) == 1


async def test_two_thousand_streams_at_once_have_one_answer_each(env: Environment) -> None:
    outcomes: list[Code] = []

    async def one() -> None:
        try:
            await env.read("r", cls="own", timeout_s=20)
            outcomes.append(Code.OK)
        except RpcError as error:
            outcomes.append(error.code)

    async with trio.open_nursery() as nursery:
        for _ in range(2000):
            nursery.start_soon(one)
    assert len(outcomes) == 2000
    assert set(outcomes) <= {Code.OK, Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED, Code.DEADLINE_EXCEEDED}
    assert outcomes.count(Code.OK) > 0
    assert not env.edge.driver.open_requests
