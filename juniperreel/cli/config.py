"""`juniperreel config`: reads and changes the configuration at the instances of a cluster."""

from __future__ import annotations

import random
import sys
import uuid
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from juniperreel.net import Clock, TcpNetwork
from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.configuration import commands, model
from juniperreel.raft.configuration.commands import Command
from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.errors import LeaderUnreachableError
from juniperreel.rpc.status import RpcError
from juniperreel.settings import EdgeSettings, SettingsError, read_edge

MEMBER_CHANGE_ATTEMPTS = 5
NO_ANSWER = "no answer"  # for an error without a text, such as a time-out

ClientOperation = Callable[[ConfigurationClient], Awaitable[Any]]


def run_with_client(addresses: tuple[str, ...], operation: ClientOperation) -> Any:
    """Run `operation` with a connected client and return its result; exits with status 1 if it fails."""
    try:
        return trio.run(_connect_and_run, addresses, operation)
    except* (RpcError, LeaderUnreachableError) as errors:
        click.echo(str(errors.exceptions[0]), err=True)
        sys.exit(1)


async def _connect_and_run(addresses: tuple[str, ...], operation: ClientOperation) -> Any:
    async with trio.open_nursery() as nursery:
        host_ports = [parse_address(address) for address in addresses]
        client = ConfigurationClient(TcpNetwork(), Clock(), random.Random(), host_ports)
        await nursery.start(client.run)
        result = await operation(client)
        nursery.cancel_scope.cancel()
        return result


def parse_address(address: str) -> tuple[str, int]:
    """Parse `host:port` or `name@host:port` into host and port."""
    name_and_host, _, port = address.rpartition(":")
    return name_and_host.rpartition("@")[2], int(port)


def instance_addresses(context: click.Context) -> tuple[str, ...]:
    """The instance addresses given to the command group."""
    addresses: tuple[str, ...] = context.obj
    return addresses


@click.group()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="Address of an instance; may be repeated.",
)
@click.pass_context
def config(context: click.Context, addresses: tuple[str, ...]) -> None:
    """Read and change the configuration."""
    for address in addresses:
        if not address.rpartition(":")[2].isdigit():
            raise click.BadParameter(f"{address!r} is not host:port")
    context.obj = addresses


def format_configuration(configuration: model.Configuration) -> str:
    """Format a version of the configuration as indented JSON with sorted entries."""
    sections = {name: model.sorted_by_key(getattr(configuration, name)) for name in model.SECTIONS}
    return msgspec.json.format(msgspec.json.encode({"version": configuration.version} | sections)).decode()


def print_configuration(configuration: model.Configuration) -> None:
    """Print a version in the format of `format_configuration`."""
    click.echo(format_configuration(configuration))


@config.command()
@click.pass_context
def get(context: click.Context) -> None:
    """Print the latest version of the configuration."""
    print_configuration(run_with_client(instance_addresses(context), lambda client: client.get()))


def propose(context: click.Context, changes: list[commands.ConfigurationChange], expect: int | None) -> None:
    """Propose changes and print the resulting version; exits with status 1 if they are rejected.

    With `expect`, the changes apply only if that is the current version (compare and set).
    """
    command = Command(f"cli-{uuid.uuid4().hex}", 1, changes, expect)
    outcome: Outcome = run_with_client(instance_addresses(context), lambda client: client.propose(command))
    if outcome.rejection:
        click.echo(f"refused: {outcome.rejection}", err=True)
        sys.exit(1)
    click.echo(f"version {outcome.version}")


@config.command(name="set")
@click.argument("changes", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--expect", type=int, help="Apply the changes only if this is the current version.")
@click.pass_context
def set_(context: click.Context, changes: Path, expect: int | None) -> None:
    """Apply the changes in the JSON file CHANGES atomically."""
    try:
        decoded_changes = msgspec.json.decode(changes.read_bytes(), type=list[commands.ConfigurationChange])
    except msgspec.DecodeError as error:
        raise click.BadParameter(f"{changes}: {error}") from None
    propose(context, decoded_changes, expect)


@config.command()
@click.argument("edge", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.pass_context
def seed(context: click.Context, edge: Path) -> None:
    """Create version 1 from the groups, classes and tenants of the edge settings file EDGE."""
    try:
        settings = read_edge(edge)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    propose(context, initial_changes(settings), 0)


def initial_changes(settings: EdgeSettings) -> list[commands.ConfigurationChange]:
    """The changes that add an edge's groups, classes and tenants to an empty configuration."""
    changes: list[commands.ConfigurationChange] = [
        commands.SetGroup(number, model.GroupInfo(0, None)) for number in range(settings.groups)
    ]
    for request_class in settings.router.classes:
        info = model.ClassInfo(
            request_class.idempotency.value,
            request_class.key_scope.value,
            request_class.deduplication_window_us,
            request_class.consistency.value,
            request_class.max_staleness_us,
            request_class.latency_objective_us,
            request_class.deadline_us,
            request_class.priority_weight,
            request_class.late_priority_weight,
        )
        changes.append(commands.SetClass(request_class.name, info))
    changes += [
        commands.SetTenant(tenant.name, model.TenantInfo(tenant.capacity_share, tenant.quota_rps))
        for tenant in settings.router.tenants
    ]
    return changes


@config.command()
@click.option(
    "--seconds",
    type=float,
    default=float("inf"),
    help="Stop after this many seconds; runs until interrupted by default.",
)
@click.pass_context
def watch(context: click.Context, seconds: float) -> None:
    """Print each version of the configuration as it is committed."""

    async def _watch(client: ConfigurationClient) -> None:
        with trio.move_on_after(seconds):
            await client.watch("cli", model.EMPTY, print_configuration)

    run_with_client(instance_addresses(context), _watch)


@config.command()
@click.pass_context
def status(context: click.Context) -> None:
    """Print the status that each instance reports."""
    run_with_client(instance_addresses(context), print_statuses)


async def print_statuses(client: ConfigurationClient) -> None:
    """Print one line per instance, including those that do not respond."""
    for address in client.addresses:
        try:
            status = await client.status(address)
        except Exception as error:  # a failing instance must not hide the status of the others
            click.echo(f"{address[0]}:{address[1]}: {str(error) or NO_ANSWER}")
            continue
        click.echo(format_status(status))


def format_status(status: pb.StatusResponse) -> str:
    """Format an instance's status on one line; for a leader, with the match index of each follower."""
    match_indexes = ", ".join(f"{name} {index}" for name, index in sorted(status.matches.items()))
    match_suffix = f"; holds: {match_indexes}" if match_indexes else ""
    return (
        f"{status.name}: {status.role}, term {status.term}, leader {status.leader or '-'}, "
        f"log {status.first}-{status.last}, commit {status.commit}, version {status.version}, "
        f"voters {', '.join(status.voters)}{match_suffix}"
    )


@config.command()
@click.argument("change", type=click.Choice(["add", "promote", "remove", "transfer"]))
@click.argument("name")
@click.pass_context
def members(context: click.Context, change: str, name: str) -> None:
    """Change the membership of the cluster. NAME is name@host:port.

    A new instance is first added as a learner and then promoted to a voter.
    """
    request = pb.ChangeInstancesRequest(change=change, name=name).SerializeToString()
    run_with_client(instance_addresses(context), partial(change_membership, request))
    click.echo("done")


async def change_membership(request: bytes, client: ConfigurationClient) -> bytes:
    """Ask the leader to change the cluster's membership. Raises RpcError or LeaderUnreachableError."""
    return await client.call_leader("ChangeInstances", request, attempts=MEMBER_CHANGE_ATTEMPTS)
