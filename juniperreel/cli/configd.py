"""`juniperreel configd` and `juniperreel config`: an instance of the configuration, and its clients."""

from __future__ import annotations

import random
import sys
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from juniperreel.cli.signals import until_signalled
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
from juniperreel.rpc.health import Health, Reflection
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.server import Server
from juniperreel.rpc.status import RpcError
from juniperreel.settings import SettingsError, read_edge
from juniperreel.settings.configd import InstanceSettings, read_instance
from juniperreel.telemetry.log import make_log

SERVICES = (
    SERVICE,
    "juniperreel.raft.v1.Raft",
    "grpc.health.v1.Health",
    "grpc.reflection.v1.ServerReflection",
)
HAND_OVER_S = 2.0


class Instance:
    """One instance in this process."""

    def __init__(
        self, settings: InstanceSettings, storage: Storage, network: Network, clock: Clock, log: Any
    ) -> None:
        self.settings, self.storage, self.network, self.log = settings, storage, network, log
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
            settings.snapshot_every,
        )
        self.health = Health(SERVICES)
        methods = (
            ConfigurationService(self.node).methods() | self.health.methods() | Reflection(SERVICES).methods()
        )
        self.server = Server(methods, Limits(), clock, self._failed)
        self.stopping = trio.Event()

    def _failed(self, path: str, error: Exception) -> None:
        self.log.error("a handler failed", path=path, exc_info=error)

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        listener = await self.network.listen(*self.settings.listen)
        try:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.node.run)
                await nursery.start(self.server.serve, listener)
                self.health.set(True)
                self.log.info("serving", listen=f"{self.settings.listen[0]}:{listener.port}")
                task_status.started(listener.port)
                await self.stopping.wait()
                await self._hand_over()
                nursery.cancel_scope.cancel()
        finally:
            self.storage.close()
            await listener.aclose()

    async def _hand_over(self) -> None:
        """A leader that stops gives its place to the follower that holds most."""
        self.health.set(False)
        core = self.node.core
        held = {n: at for n, at in core.status().match_indexes.items() if n in core.membership.voters}
        if core.is_leader and held:
            best = max(sorted(held), key=lambda n: held[n])
            with trio.move_on_after(HAND_OVER_S):
                try:
                    await self.node.transfer_leadership(best)
                except (NotLeaderError, RequestRejectedError):
                    return
                while core.is_leader:
                    await trio.sleep(0.02)


def open_storage(settings: InstanceSettings, how: str) -> Storage:
    """`how`: create a new cluster's directory, join with an empty one, or open what is there."""
    if how == "create":
        return Storage.create(
            settings.directory, settings.cluster, settings.name, Membership(frozenset(settings.members))
        )
    if how == "join":
        return Storage.create(settings.directory, settings.cluster, settings.name, Membership(frozenset()))
    return Storage.open(settings.directory, settings.cluster, settings.name)


async def run_instance(settings: InstanceSettings, storage: Storage) -> None:
    log = make_log(settings.log_form, settings.log_level, instance=settings.name)
    instance = Instance(settings, storage, TcpNetwork(), Clock(), log)
    await until_signalled(instance.run, instance.stopping)


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--create", "how", flag_value="create", help="A new cluster, with the members of the FILE.")
@click.option("--join", "how", flag_value="join", help="An empty directory, for a cluster that will add it.")
def configd(file: Path, how: str | None) -> None:
    """Serve the configuration as the settings FILE says, until SIGTERM."""
    try:
        settings = read_instance(file)
        storage = open_storage(settings, how or "open")
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
    async def run() -> Any:
        async with trio.open_nursery() as nursery:
            places = [(a.rpartition(":")[0].rpartition("@")[2], int(a.rpartition(":")[2])) for a in addresses]
            instances = ConfigurationClient(TcpNetwork(), Clock(), random.Random(), places)
            await nursery.start(instances.run)
            result = await work(instances)
            nursery.cancel_scope.cancel()
            return result

    try:
        return trio.run(run)
    except* (RpcError, LeaderUnreachableError) as group:
        click.echo(str(group.exceptions[0]), err=True)
        sys.exit(1)


def at(context: click.Context) -> tuple[str, ...]:
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


def readable(c: model.Configuration) -> str:
    parts = {name: model.sorted_by_key(getattr(c, name)) for name in model.SECTIONS}
    return msgspec.json.format(msgspec.json.encode({"version": c.version} | parts)).decode()


@config.command()
@click.pass_context
def get(context: click.Context) -> None:
    """Print the newest version."""
    click.echo(readable(with_instances(at(context), lambda i: i.get())))


def propose(context: click.Context, changes: list[commands.ConfigurationChange], expect: int | None) -> None:
    command = Command(f"cli-{uuid.uuid4().hex}", 1, changes, expect)
    outcome: Outcome = with_instances(at(context), lambda i: i.propose(command))
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
    changes: list[commands.ConfigurationChange] = [
        commands.SetGroup(n, model.GroupInfo(0, None)) for n in range(settings.groups)
    ]
    for c in settings.router.classes:
        info = model.ClassInfo(
            c.effect.value,
            c.key_scope.value,
            c.memory_span_us,
            c.consistency.value,
            c.lag_allowed_us,
            c.aim_us,
            c.deadline_us,
            c.worth,
            c.late_worth,
        )
        changes.append(commands.SetClass(c.name, info))
    changes += [
        commands.SetTenant(t.name, model.TenantInfo(t.fraction, t.quota_rps)) for t in settings.router.tenants
    ]
    propose(context, changes, 0)


@config.command()
@click.option("--seconds", type=float, default=float("inf"), help="Stop after these.")
@click.pass_context
def watch(context: click.Context, seconds: float) -> None:
    """Print each version as it is committed."""

    async def work(instances: ConfigurationClient) -> None:
        with trio.move_on_after(seconds):
            await instances.watch("cli", model.EMPTY, lambda c: click.echo(readable(c)))

    with_instances(at(context), work)


@config.command()
@click.pass_context
def status(context: click.Context) -> None:
    """What each instance says of itself."""

    async def work(instances: ConfigurationClient) -> None:
        for address in instances.addresses:
            try:
                s = await instances.status(address)
            except Exception as error:  # each instance's answer is its own
                click.echo(f"{address[0]}:{address[1]}: {error or 'no answer'}")
                continue
            lag = ", ".join(f"{n} {m}" for n, m in sorted(s.matches.items()))
            tail = f"; holds: {lag}" if lag else ""
            click.echo(
                f"{s.name}: {s.role}, term {s.term}, leader {s.leader or '-'}, log {s.first}-{s.last}, "
                f"commit {s.commit}, version {s.version}, voters {', '.join(s.voters)}{tail}"
            )

    with_instances(at(context), work)


@config.command()
@click.argument("change", type=click.Choice(["add", "promote", "remove", "transfer"]))
@click.argument("name")
@click.pass_context
def members(context: click.Context, change: str, name: str) -> None:
    """Change the instances: NAME is name@host:port. A new one is added, then promoted."""
    request = pb.ChangeInstancesRequest(change=change, name=name).SerializeToString()
    with_instances(at(context), lambda i: i.call_leader("ChangeInstances", request, attempts=5))
    click.echo("done")


__all__ = ["Instance", "config", "configd", "open_storage"]
