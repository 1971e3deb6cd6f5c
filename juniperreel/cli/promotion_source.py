"""Publishes a fake fleet's state to a configuration cluster, as a deployment's control plane does."""

from __future__ import annotations

import random
from collections.abc import Callable

import trio

from juniperreel.fakes.endpoint import FakeEndpoint
from juniperreel.fakes.fleet import Fleet
from juniperreel.net import Clock, Network
from juniperreel.raft.client import ConfigurationClient
from juniperreel.raft.configuration.commands import Command, ConfigurationChange, SetGroup, SetMember
from juniperreel.raft.configuration.model import EMPTY, Configuration, GroupInfo, MemberInfo
from juniperreel.raft.errors import LeaderUnreachableError
from juniperreel.rpc.status import RpcError
from juniperreel.verification.records import EndpointListed, RecordSink

POLL_INTERVAL_S = 0.05
CLIENT_ID = "feeder"  # identifies its commands to the cluster


class ConfigurationPublisher:
    """Proposes the differences between the fleet's state and the last confirmed version.

    `edge_names` returns the names of the edges that learn of endpoints from the cluster. `ready` is set once
    the first version is confirmed.
    """

    def __init__(
        self,
        fleet: Fleet,
        network: Network,
        clock: Clock,
        addresses: list[tuple[str, int]],
        record: RecordSink,
        edge_names: Callable[[], list[str]],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._record = record
        self._edge_names = edge_names
        self._client = ConfigurationClient(network, clock, random.Random(fleet.script["seed"]), addresses)
        self._confirmed: Configuration = EMPTY
        self._sequence = 0
        self.ready = trio.Event()

    async def run(self) -> None:
        """Propose changes until cancelled; unconfirmed changes are proposed again."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._client.run)
            while True:
                changes = self._changes()
                if changes:
                    await self._propose(changes)
                await trio.sleep(POLL_INTERVAL_S)

    def _changes(self) -> list[ConfigurationChange]:
        changes: list[ConfigurationChange] = []
        for group in self._fleet.groups:
            primary = group.primary.name if group.primary is not None else None
            group_info = GroupInfo(group.epoch, primary)
            if self._confirmed.groups.get(group.number) != group_info:
                changes.append(SetGroup(group.number, group_info))
        for name, endpoint in self._fleet.endpoints.items():
            member_info = MemberInfo(
                endpoint.group.number,
                "127.0.0.1",
                endpoint.port,
                endpoint.zone,
                state=endpoint_state(endpoint),
                started_us=endpoint.capacity.started_us,
            )
            if self._confirmed.members.get(name) != member_info:
                changes.append(SetMember(name, member_info))
        return changes

    async def _propose(self, changes: list[ConfigurationChange]) -> None:
        self._sequence += 1
        try:
            outcome = await self._client.propose(Command(CLIENT_ID, self._sequence, changes))
            if outcome.rejection:
                return  # the fleet has changed since; the next poll proposes the new difference
            previous_configuration = self._confirmed
            self._confirmed = await self._client.get()
        except (RpcError, LeaderUnreachableError):
            return
        self.ready.set()
        now_us = self._clock.now_us()
        for name, member in self._confirmed.members.items():
            previous = previous_configuration.members.get(name)
            if previous is None or previous.state != member.state:
                for edge in self._edge_names():
                    self._record(EndpointListed(now_us, edge, name, member.state))


def endpoint_state(endpoint: FakeEndpoint) -> str:
    """Return an endpoint's state as the configuration represents it."""
    if not endpoint.draining:
        return "up"
    return "draining" if endpoint.alive else "gone"
