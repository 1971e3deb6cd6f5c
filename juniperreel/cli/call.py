"""`juniperreel call`: one request from the shell, the token kept in a file from call to call."""

from __future__ import annotations

import random
import sys
import uuid
from pathlib import Path

import click
import trio

from juniperreel.net import Clock, ConnectError, TcpNetwork
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import RpcError

EXECUTE = "/juniperreel.v1.Records/Execute"


def parameter(text: str) -> values_pb2.Value:
    """`i:5`, `r:0.5` and `null:` are an integer, a real and NULL; `t:` and anything else is text."""
    kind, colon, rest = text.partition(":")
    try:
        if colon and kind == "i":
            return values_pb2.Value(integer=int(rest))
        if colon and kind == "r":
            return values_pb2.Value(real=float(rest))
    except ValueError:
        raise click.BadParameter(f"{text!r} is no number") from None
    if text == "null:":
        return values_pb2.Value(null=True)
    return values_pb2.Value(text=rest if colon and kind == "t" else text)


def shown(value: values_pb2.Value) -> str:
    kind = value.WhichOneof("kind")
    if kind in (None, "null"):
        return "NULL"
    return value.blob.hex() if kind == "blob" else str(getattr(value, kind))


async def run(
    host: str, port: int, ask: records_pb2.ExecuteRequest, timeout: float
) -> records_pb2.ExecuteResponse:
    async with trio.open_nursery() as nursery:
        channel = Channel(TcpNetwork(), Clock(), host, port, Limits(), random.Random(), int(timeout * 1e6))
        await nursery.start(channel.run)
        with trio.fail_after(timeout):
            reply = await channel.unary(EXECUTE, ask.SerializeToString(), timeout_us=int(timeout * 1e6))
        channel.close()
        return records_pb2.ExecuteResponse.FromString(reply.message)


@click.command()
@click.argument("edge")
@click.argument("cls", metavar="CLASS")
@click.argument("statement")
@click.argument("parameters", nargs=-1)
@click.option("--group", type=int, help="The group; or else --key.")
@click.option("--key", help="Hashed to a group.")
@click.option("--tenant", default="", help="The tenant.")
@click.option("--session", default="", help="The session's name.")
@click.option("--idempotency-key", help="For a keyed class; one is made up if none is given.")
@click.option(
    "--token", type=click.Path(path_type=Path, dir_okay=False), help="File that keeps the causal token."
)
@click.option("--timeout", type=float, default=5.0, show_default=True, help="Seconds.")
def call(
    edge: str,
    cls: str,
    statement: str,
    parameters: tuple[str, ...],
    group: int | None,
    key: str | None,
    tenant: str,
    session: str,
    idempotency_key: str | None,
    token: Path | None,
    timeout: float,
) -> None:
    """Send one STATEMENT of a CLASS to the EDGE (host:port) and print its rows."""
    host, _, port = edge.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{edge!r} is not host:port")
    ask = records_pb2.ExecuteRequest(
        tenant=tenant,
        statement=statement.encode(),
        session=session,
        idempotency_key=idempotency_key or uuid.uuid4().hex,
        parameters=[parameter(p) for p in parameters],
    )
    setattr(ask, "class", cls)
    if key is not None:
        ask.key = key.encode()
    elif group is not None:
        ask.group = group
    if token is not None and token.exists():
        ask.causal_token = token.read_bytes()
    try:
        answer = trio.run(run, host, int(port), ask, timeout)
    except* RpcError as errors:
        error = errors.exceptions[0]
        assert isinstance(error, RpcError)
        click.echo(f"{error.code.name}: {error.message}", err=True)
        wait = error.retry_after_us()
        if wait is not None:
            click.echo(f"may be repeated after {wait / 1000:.0f} ms", err=True)
        sys.exit(1)
    except* (ConnectError, CallUnprocessedError, CallInterruptedError, trio.TooSlowError) as errors:
        click.echo(f"{edge}: {errors.exceptions[0] or 'no answer in time'}", err=True)
        sys.exit(1)
    if token is not None:
        token.write_bytes(answer.causal_token)
    if answer.result.columns:
        click.echo("\t".join(answer.result.columns))
    for row in answer.result.rows:
        click.echo("\t".join(shown(v) for v in row.values))
    role = "primary" if answer.role == records_pb2.ROLE_PRIMARY else "replica"
    tries = "attempt" if answer.attempts == 1 else "attempts"
    click.echo(
        f"{answer.member} ({role}), {answer.attempts} {tries}, {answer.result.affected} changed", err=True
    )
