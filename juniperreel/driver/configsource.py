"""Committed configuration in place of the host list: what the driver knows of members comes from Raft.

Has the host list's face: tells lists as they come and failures as they happen. The newest version is kept on
disk with the saved list's hosts; an older one never takes its place.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from juniperreel import interface as ui
from juniperreel.driver.hosts import Host, MemberSource
from juniperreel.driver.options import DriverOptions
from juniperreel.net import Clock, Network
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.configuration.model import EMPTY, Configuration


def hosts_of(configuration: Configuration, groups: int) -> list[Host]:
    """The members as lines of a list. Primaries are those of the groups' newest epochs."""
    found = []
    for name in sorted(configuration.members):
        m = configuration.members[name]
        group = configuration.groups.get(m.group)
        if m.group < groups:
            primary = group is not None and group.primary == name
            found.append(
                Host(name, m.address, m.port, m.group, m.zone, m.kind, m.state, primary, m.size, m.started_us)
            )
    return found


class ConfigSource(MemberSource):
    """One live watch on one of the instances."""

    def __init__(
        self,
        options: DriverOptions,
        network: Network,
        clock: Clock,
        rng: random.Random,
        tell: Callable[[ui.ListKind, list[Host]], None],
        log: Callable[..., None],
    ) -> None:
        self._instances = ConfigurationClient(network, clock, rng, options.instances)
        super().__init__(options, clock, tell, log, self._instances)
        self._newest = EMPTY

    def fetch(self) -> None:
        """A watch starts with all there is."""
        self.subscribe(True)

    async def _watch(self, scope: trio.CancelScope) -> None:
        with scope:
            await self._instances.watch(
                self._options.name, self._newest, self._take, self._failed, self._alive
            )

    def _alive(self) -> None:
        self.heard_us = self._clock.now_us()

    def _failed(self, why: str) -> None:
        """The watch looks for another instance by itself; what is known stays in force meanwhile."""
        self._log("configuration watch failed", error=why)

    def _take(self, configuration: Configuration) -> None:
        self._newest = configuration
        if configuration.version < self.version:
            # Danger: after a restart an instance that lags would take the edge back behind its saved list.
            self._log("an older configuration is ignored", version=configuration.version, have=self.version)
            return
        self.version = configuration.version
        hosts = hosts_of(configuration, self._options.groups)
        if not hosts:
            return  # nothing is set up yet; as with an empty list
        self.known = {h.id: h for h in hosts}
        self._tell(ui.ListKind.FULL, hosts)
