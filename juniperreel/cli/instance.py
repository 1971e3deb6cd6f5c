"""An instance of the configuration cluster: its node, storage and server."""

from __future__ import annotations

import random
from typing import Any

import trio

from juniperreel.cli.signals import run_until_signalled
from juniperreel.net import Clock, Network, TcpNetwork
from juniperreel.raft.config import RaftConfig
from juniperreel.raft.errors import NotLeaderError, RequestRejectedError
from juniperreel.raft.node import RaftNode
from juniperreel.raft.service import SERVICE, ConfigurationService
from juniperreel.raft.storage import Storage
from juniperreel.raft.types import Membership
from juniperreel.rpc.health import HealthService
from juniperreel.rpc.limits import Limits
from juniperreel.rpc.reflection import ReflectionService
from juniperreel.rpc.server import Server
from juniperreel.settings.configd import InstanceSettings
from juniperreel.telemetry.log import make_log

SERVICES = (
    SERVICE,
    "juniperreel.raft.v1.Raft",
    "grpc.health.v1.Health",
    "grpc.reflection.v1.ServerReflection",
)
# How an instance obtains its storage directory.
CREATE = "create"
JOIN = "join"
OPEN = "open"
LEADERSHIP_TRANSFER_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02


class Instance:
    """An instance of the configuration cluster; setting `stopping` shuts it down gracefully."""

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
        """Serve until stopped and report the listening port. Raises OSError if listening fails."""
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
        """Before stopping, transfer leadership, if held, to the voter with the highest match index."""
        self.health.set_serving(False)
        core = self.node.core
        match_index = {
            name: index
            for name, index in core.status().match_indexes.items()
            if name in core.membership.voters
        }
        if core.is_leader and match_index:
            successor = max(sorted(match_index), key=lambda name: match_index[name])
            with trio.move_on_after(LEADERSHIP_TRANSFER_TIMEOUT_S):
                try:
                    await self.node.transfer_leadership(successor)
                except (NotLeaderError, RequestRejectedError):
                    return
                while core.is_leader:
                    await trio.sleep(POLL_INTERVAL_S)


def open_storage(settings: InstanceSettings, mode: str) -> Storage:
    """Open an instance's storage directory.

    `mode` is CREATE for the first instances of a cluster, JOIN for an empty directory of an instance that is
    to be added to a cluster, or OPEN for an existing directory. Raises StorageError.
    """
    if mode == CREATE:
        return Storage.create(
            settings.directory, settings.cluster, settings.name, Membership(frozenset(settings.members))
        )
    if mode == JOIN:
        return Storage.create(settings.directory, settings.cluster, settings.name, Membership(frozenset()))
    return Storage.open(settings.directory, settings.cluster, settings.name)


async def run_instance(settings: InstanceSettings, storage: Storage) -> None:
    """Serve until SIGTERM or SIGINT; a second signal terminates immediately."""
    log = make_log(settings.log_format, settings.log_level, instance=settings.name)
    instance = Instance(settings, storage, TcpNetwork(), Clock(), log)
    await run_until_signalled(instance.run, instance.stopping)
