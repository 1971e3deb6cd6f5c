"""Uses the committed configuration, replicated by Raft, as the endpoint list in place of a discovery service.

The newest version number is cached on disk with the endpoint list; older configurations are ignored.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from juniperreel.net import Clock, Network
from juniperreel.proxy.endpoint_list import EndpointSource, ListedEndpoint, UpdateListener
from juniperreel.proxy.options import DriverOptions
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.configuration.model import EMPTY, Configuration
from juniperreel.routing.types import UpdateKind


def endpoints_from_configuration(configuration: Configuration, groups: int) -> list[ListedEndpoint]:
    """Convert the members to an endpoint list; a group's primary is that of its newest epoch."""
    endpoints = []
    for name in sorted(configuration.members):
        member = configuration.members[name]
        if member.group >= groups:
            continue
        group = configuration.groups.get(member.group)
        endpoint = ListedEndpoint(
            id=name,
            address=member.address,
            port=member.port,
            group=member.group,
            zone=member.zone,
            machine_type=member.kind,
            readiness=member.state,
            listed_primary=group is not None and group.primary == name,
            capacity=member.size,
            started_us=member.started_us,
        )
        endpoints.append(endpoint)
    return endpoints


class ConfigurationSource(EndpointSource):
    """Watches the configuration on one of the Raft instances."""

    def __init__(
        self,
        options: DriverOptions,
        network: Network,
        clock: Clock,
        rng: random.Random,
        on_update: UpdateListener,
        log: Callable[..., None],
    ) -> None:
        self._instances = ConfigurationClient(network, clock, rng, options.configuration_addresses)
        super().__init__(options, clock, on_update, log, self._instances)
        self._newest = EMPTY

    def poll(self) -> None:
        """Open a new watch, whose first message is the complete configuration."""
        self.subscribe(True)

    async def _watch(self, scope: trio.CancelScope) -> None:
        with scope:
            await self._instances.watch(
                self._options.name, self._newest, self._update, self._report_failure, self._record_heartbeat
            )

    def _record_heartbeat(self) -> None:
        self.updated_us = self._clock.now_us()

    def _report_failure(self, error: str) -> None:
        """Log a failure; the client retries at another instance, and the configuration stays in use."""
        self._log("configuration watch failed", error=error)

    def _update(self, configuration: Configuration) -> None:
        self._newest = configuration
        if configuration.version < self.version:
            # After a restart, a lagging instance must not replace the cached list with an older one.
            self._log("stale configuration ignored", version=configuration.version, newest=self.version)
            return
        self.version = configuration.version
        endpoints = endpoints_from_configuration(configuration, self._options.groups)
        if not endpoints:
            return  # not set up yet; ignored, like an empty endpoint list
        self.endpoints = {endpoint.id: endpoint for endpoint in endpoints}
        self._on_update(UpdateKind.SNAPSHOT, endpoints)
