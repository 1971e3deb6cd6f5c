"""`juniperreel configd` and `juniperreel config`: an instance of the configuration, and its clients."""

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

from juniperreel.cli.signals import run_until_signalled
from juniperreel.net import Clock, Network, TcpNetwork
from juniperreel.proto.configuration.v1 import configuration_pb2 as pb
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.configuration import commands, model
from juniperreel.raft.configuration.commands import Command
from juniperreel.raft.configuration.state_machine import Outcome
from juniperreel.raft.errors import (
    DiskFullError,
    LeaderUnreachableError,
    NotLeaderError,
    RequestRejectedError,
    StorageError,
)
from juniperreel.raft.node import RaftNode
from juniperreel.raft.service import SERVICE, ConfigurationService
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Membership
from juniperreel.rpc.health import HealthService
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.reflection import ReflectionService
from juniperreel.rpc.server import Server
from juniperreel.rpc.status import RpcError
from juniperreel.settings import EdgeSettings, SettingsError, read_edge
from juniperreel.settings.configd import InstanceSettings, read_instance
from juniperreel.telemetry.log import make_log

SERVICES = (
    SERVICE,
    "juniperreel.raft.v1.Raft",
    "grpc.health.v1.Health",
    "grpc.reflection.v1.ServerReflection",
)
# How an instance comes by its directory.
CREATE = "create"
JOIN = "join"
OPEN = "open"
TRANSFER_TIMEOUT_S = 2.0
POLL_S = 0.02
MEMBER_CHANGE_TRIES = 5


class Instance:
    """One instance of the configuration in this process; `stopping` ends it gracefully."""

    def __init__(
        self, settings: InstanceSettings, storage: Storage, network: Network, clock: Clock, log: Any
    ) -> None:
        self.settings = settings
        self.storage = storage
        self.network = network
        self.log = log
        self.node = RaftNode(
            settings.name,
            settings.cluster,
            settings.key,
            storage,
            network,
            clock,
            log,
            random.Random(),
            RaftConfig(election_ticks=settings.election_ticks),
            settings.tick_us,
            settings.snapshot_interval,
        )
        self.health = HealthService(SERVICES)
        methods = (
            ConfigurationService(self.node).methods()
            | self.health.methods()
            | ReflectionService(SERVICES).methods()
        )
        self.server = Server(methods, Limits(), clock, self._on_handler_failed)
        self.stopping = trio.Event()

    def _on_handler_failed(self, path: str, error: Exception) -> None:
        self.log.error("handler failed", path=path, exc_info=error)

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped; reports the port it listens on. Raises OSError where it cannot listen."""
        listener = await self.network.listen(*self.settings.listen)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.node.run)
                await nursery.start(self.server.serve, listener)
                self.health.set_serving(True)
                self.log.info("serving", listen=f"{self.settings.listen[0]}:{listener.port}")
                task_status.started(listener.port)
                await self.stopping.wait()
                await self._transfer_leadership()
                nursery.cancel_scope.cancel()
        finally:
            self.storage.close()
            await listener.aclose()

    async def _transfer_leadership(self) -> None:
        """A leader that stops hands leadership to the voter with the longest log."""
        self.health.set_serving(False)
        core = self.node.core
        match_index = {
            name: index
            for name, index in core.status().match_indexes.items()
            if name in core.membership.voters
        }
        if core.is_leader and match_index:
            successor = max(sorted(match_index), key=lambda name: match_index[name])
            with trio.move_on_after(TRANSFER_TIMEOUT_S):
                try:
                    await self.node.transfer_leadership(successor)
                except (NotLeaderError, RequestRejectedError):
                    return
                while core.is_leader:
                    await trio.sleep(POLL_S)


def open_storage(settings: InstanceSettings, mode: str) -> Storage:
    """Create a new cluster's directory, or an empty one to join with, or open the one that is there.

    `mode` is CREATE, JOIN or OPEN. Raises StorageError.
    """
    if mode == CREATE:
        return Storage.create(
            settings.directory, settings.cluster, settings.name, Membership(frozenset(settings.members))
        )
    if mode == JOIN:
        return Storage.create(settings.directory, settings.cluster, settings.name, Membership(frozenset()))
    return Storage.open(settings.directory, settings.cluster, settings.name)


async def run_instance(settings: InstanceSettings, storage: Storage) -> None:
    """Serve until SIGTERM or SIGINT, where a second one ends at once."""
    log = make_log(settings.log_format, settings.log_level, instance=settings.name)
    instance = Instance(settings, storage, TcpNetwork(), Clock(), log)
    await run_until_signalled(instance.run, instance.stopping)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--create", "mode", flag_value=CREATE, help="A new cluster, with the members of the FILE.")
@click.option("--join", "mode", flag_value=JOIN, help="An empty directory, for a cluster that will add it.")
def configd(file: Path, mode: str | None) -> None:
    """Serve the configuration as the settings FILE says, until SIGTERM."""
    try:
        settings = read_instance(file)
        storage = open_storage(settings, mode or OPEN)
    except (SettingsError, StorageError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"{file}: {error.strerror}", err=True)
        sys.exit(2)
    try:
        trio.run(run_instance, settings, storage)
    except* (OSError, StorageError, DiskFullError) as group:
        click.echo(f"{settings.name}: {group.exceptions[0]}", err=True)
        sys.exit(1)


# Clients.

Work = Callable[[ConfigurationClient], Awaitable[Any]]


def with_instances(addresses: tuple[str, ...], work: Work) -> Any:
    """Return what `work` makes of a client of the instances; end the command with 1 where none answers."""
    try:
        return trio.run(_connect_and_work, addresses, work)
    except* (RpcError, LeaderUnreachableError) as group:
        click.echo(str(group.exceptions[0]), err=True)
        sys.exit(1)


async def _connect_and_work(addresses: tuple[str, ...], work: Work) -> Any:
    async with trio.open_nursery() as nursery:
        host_ports = [parse_address(address) for address in addresses]
        instances = ConfigurationClient(TcpNetwork(), Clock(), random.Random(), host_ports)
        await nursery.start(instances.run)
        result = await work(instances)
        nursery.cancel_scope.cancel()
        return result


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port` or `name@host:port`."""
    place, _, port = address.rpartition(":")
    return place.rpartition("@")[2], int(port)


def addresses_of(context: click.Context) -> tuple[str, ...]:
    """The instances that the command's group was given."""
    addresses: tuple[str, ...] = context.obj
    return addresses


@click.group()
@click.option(
    "--at",
    "addresses",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    help="An instance; may be repeated.",
)
@click.pass_context
def config(context: click.Context, addresses: tuple[str, ...]) -> None:
    """Read and change the configuration."""
    for address in addresses:
        if not address.rpartition(":")[2].isdigit():
            raise click.BadParameter(f"{address!r} is not host:port")
    context.obj = addresses


def format_configuration(configuration: model.Configuration) -> str:
    """A version as indented JSON, its entries in order."""
    parts = {name: model.sorted_by_key(getattr(configuration, name)) for name in model.SECTIONS}
    return msgspec.json.format(msgspec.json.encode({"version": configuration.version} | parts)).decode()


def print_configuration(configuration: model.Configuration) -> None:
    """Print a version as `format_configuration` has it."""
    click.echo(format_configuration(configuration))


@config.command()
@click.pass_context
def get(context: click.Context) -> None:
    """Print the newest version."""
    print_configuration(with_instances(addresses_of(context), lambda instances: instances.get()))


def propose(context: click.Context, changes: list[commands.ConfigurationChange], expect: int | None) -> None:
    """Propose changes, only if `expect` is the version in force where it is given, and print the new one.

    Ends the command with 1 if they are rejected.
    """
    command = Command(f"cli-{uuid.uuid4().hex}", 1, changes, expect)
    outcome: Outcome = with_instances(addresses_of(context), lambda instances: instances.propose(command))
    if outcome.rejection:
        click.echo(f"refused: {outcome.rejection}", err=True)
        sys.exit(1)
    click.echo(f"version {outcome.version}")


@config.command(name="set")
@click.argument("changes", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--expect", type=int, help="Only if this version is in force.")
@click.pass_context
def set_(context: click.Context, changes: Path, expect: int | None) -> None:
    """Apply the CHANGES of a JSON file, all of them or none."""
    try:
        listed = msgspec.json.decode(changes.read_bytes(), type=list[commands.ConfigurationChange])
    except msgspec.DecodeError as error:
        raise click.BadParameter(f"{changes}: {error}") from None
    propose(context, listed, expect)


@config.command()
@click.argument("edge", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.pass_context
def seed(context: click.Context, edge: Path) -> None:
    """Make version 1 from the groups, classes and tenants of an edge's settings file."""
    try:
        settings = read_edge(edge)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    propose(context, first_version(settings), 0)


def first_version(settings: EdgeSettings) -> list[commands.ConfigurationChange]:
    """The changes that put an edge's groups, classes and tenants into an empty configuration."""
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
@click.option("--seconds", type=float, default=float("inf"), help="Stop after these.")
@click.pass_context
def watch(context: click.Context, seconds: float) -> None:
    """Print each version as it is committed."""

    async def _watch(instances: ConfigurationClient) -> None:
        with trio.move_on_after(seconds):
            await instances.watch("cli", model.EMPTY, print_configuration)

    with_instances(addresses_of(context), _watch)


@config.command()
@click.pass_context
def status(context: click.Context) -> None:
    """What each instance says of itself."""
    with_instances(addresses_of(context), print_statuses)


async def print_statuses(instances: ConfigurationClient) -> None:
    """Print a line for each instance, also for those that do not answer."""
    for address in instances.addresses:
        try:
            status = await instances.status(address)
        except Exception as error:  # one instance's failure must not hide the others' answers
            click.echo(f"{address[0]}:{address[1]}: {error or 'no answer'}")
            continue
        click.echo(format_status(status))


def format_status(status: pb.StatusResponse) -> str:
    """One instance's line; a leader's also has how far each follower's log matches its own."""
    matches = ", ".join(f"{name} {index}" for name, index in sorted(status.matches.items()))
    tail = f"; holds: {matches}" if matches else ""
    return (
        f"{status.name}: {status.role}, term {status.term}, leader {status.leader or '-'}, "
        f"log {status.first}-{status.last}, commit {status.commit}, version {status.version}, "
        f"voters {', '.join(status.voters)}{tail}"
    )


@config.command()
@click.argument("change", type=click.Choice(["add", "promote", "remove", "transfer"]))
@click.argument("name")
@click.pass_context
def members(context: click.Context, change: str, name: str) -> None:
    """Change the instances: NAME is name@host:port. A new one is added, then promoted."""
    request = pb.ChangeInstancesRequest(change=change, name=name).SerializeToString()
    with_instances(addresses_of(context), partial(change_instances, request))
    click.echo("done")


async def change_instances(request: bytes, instances: ConfigurationClient) -> bytes:
    """Have the leader change the members. Raises RpcError, LeaderUnreachableError."""
    return await instances.call_leader("ChangeInstances", request, attempts=MEMBER_CHANGE_TRIES)


__all__ = ["Instance", "config", "configd", "open_storage"]
