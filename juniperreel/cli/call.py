"""`juniperreel call`: sends one request to an edge and keeps the causal token in a file between calls."""

from __future__ import annotations

import random
import sys
import uuid
from pathlib import Path

import click
import trio

from juniperreel.net import Clock, ConnectError, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.proto.common.v1 import values_pb2
from juniperreel.proto.records.v1 import records_pb2
from juniperreel.rpc.channel import CallInterruptedError, CallUnprocessedError, Channel
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.status import RpcError

EXECUTE = "/juniperreel.v1.Records/Execute"
MILLISECOND_US = 1_000
TIMED_OUT = "no answer within the timeout; the request may have taken effect"


def parse_value(text: str) -> values_pb2.Value:
    """Parse a statement parameter.

    `i:5` is an integer, `r:0.5` a real number and `null:` NULL; everything else is text, with an optional
    prefix `t:`. Raises click.BadParameter.
    """
    kind, colon, rest = text.partition(":")
    try:
        if colon and kind == "i":
            return values_pb2.Value(integer=int(rest))
        if colon and kind == "r":
            return values_pb2.Value(real=float(rest))
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a number") from None
    if text == "null:":
        return values_pb2.Value(null=True)
    return values_pb2.Value(text=rest if colon and kind == "t" else text)


def format_cell(value: values_pb2.Value) -> str:
    """Format one cell of a row, with blobs in hexadecimal."""
    kind = value.WhichOneof("kind")
    if kind in (None, "null"):
        return "NULL"
    return value.blob.hex() if kind == "blob" else str(getattr(value, kind))


async def execute(
    host: str, port: int, request: records_pb2.ExecuteRequest, timeout_s: float
) -> records_pb2.ExecuteResponse:
    """Send one request over a new connection.

    Raises an exception group of RpcError, ConnectError, CallUnprocessedError, CallInterruptedError or
    trio.TooSlowError.
    """
    timeout_us = int(timeout_s * US)
    async with trio.open_nursery() as nursery:
        channel = Channel(TcpNetwork(), Clock(), host, port, Limits(), random.Random(), timeout_us)
        await nursery.start(channel.run)
        with trio.fail_after(timeout_s):
            reply = await channel.unary(EXECUTE, request.SerializeToString(), timeout_us=timeout_us)
        channel.close()
        return records_pb2.ExecuteResponse.FromString(reply.message)


def execute_or_exit(
    address: str, request: records_pb2.ExecuteRequest, timeout_s: float
) -> records_pb2.ExecuteResponse:
    """Return the edge's response, or print the error and exit with status 1.

    Raises click.BadParameter if the address is not of the form host:port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{address!r} is not host:port")
    try:
        return trio.run(execute, host, int(port), request, timeout_s)
    except* RpcError as errors:
        error = errors.exceptions[0]
        assert isinstance(error, RpcError)
        click.echo(f"{error.code.name}: {error.message}", err=True)
        retry_after_us = error.retry_after_us()
        if retry_after_us is not None:
            click.echo(f"retry after {retry_after_us / MILLISECOND_US:.0f} ms", err=True)
        sys.exit(1)
    except* (ConnectError, CallUnprocessedError, CallInterruptedError, trio.TooSlowError) as errors:
        # The text of a TooSlowError is empty.
        click.echo(f"{address}: {str(errors.exceptions[0]) or TIMED_OUT}", err=True)
        sys.exit(1)


def print_response(response: records_pb2.ExecuteResponse) -> None:
    """Print the rows to standard output, and which endpoint served them to standard error."""
    if response.result.columns:
        click.echo("\t".join(response.result.columns))
    for row in response.result.rows:
        click.echo("\t".join(format_cell(value) for value in row.values))
    role = "primary" if response.role == records_pb2.ROLE_PRIMARY else "replica"
    attempts = "attempt" if response.attempts == 1 else "attempts"
    click.echo(
        f"{response.member} ({role}), {response.attempts} {attempts}, {response.result.affected} changed",
        err=True,
    )


@click.command()
@click.argument("edge")
@click.argument("cls", metavar="CLASS")
@click.argument("statement")
@click.argument("parameters", nargs=-1)
@click.option("--group", type=int, help="Number of the group; ignored if --key is given.")
@click.option("--key", help="Key whose hash selects the group.")
@click.option("--tenant", default="", help="Name of the tenant.")
@click.option("--session", default="", help="Name of the session.")
@click.option("--idempotency-key", help="Idempotency key, for a keyed class; random by default.")
@click.option(
    "--token",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File in which the causal token is kept between calls.",
)
@click.option("--timeout", type=float, default=5.0, show_default=True, help="Timeout in seconds.")
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
    request = records_pb2.ExecuteRequest(
        tenant=tenant,
        statement=statement.encode(),
        session=session,
        idempotency_key=idempotency_key or uuid.uuid4().hex,
        parameters=[parse_value(parameter) for parameter in parameters],
    )
    setattr(request, "class", cls)
    if key is not None:
        request.key = key.encode()
    elif group is not None:
        request.group = group
    if token is not None and token.exists():
        request.causal_token = token.read_bytes()
    response = execute_or_exit(edge, request, timeout)
    if token is not None:
        token.write_bytes(response.causal_token)
    print_response(response)
