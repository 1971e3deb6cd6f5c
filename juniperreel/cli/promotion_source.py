"""Keeps a configuration cluster up to date with a fake fleet: the part of a site's own control plane."""

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

POLL_S = 0.05
CLIENT = "feeder"  # under which its commands are known to the cluster


class PromotionSource:
    """Proposes the difference between the fleet as it is and the newest version that was confirmed.

    `edges` are the names of those that learn of members from the cluster. `ready` is set once a first version
    is confirmed.
    """

    def __init__(
        self,
        fleet: Fleet,
        network: Network,
        clock: Clock,
        addresses: list[tuple[str, int]],
        record: RecordSink,
        edges: Callable[[], list[str]],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._record = record
        self._edges = edges
        self._instances = ConfigurationClient(network, clock, random.Random(fleet.script["seed"]), addresses)
        self._confirmed: Configuration = EMPTY
        self._sequence = 0
        self.ready = trio.Event()

    async def run(self) -> None:
        """Propose until cancelled; what cannot be confirmed is proposed again."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._instances.run)
            while True:
                changes = self._changes()
                if changes:
                    await self._propose(changes)
                await trio.sleep(POLL_S)

    def _changes(self) -> list[ConfigurationChange]:
        changes: list[ConfigurationChange] = []
        for group in self._fleet.groups:
            primary = group.primary.name if group.primary is not None else None
            group_info = GroupInfo(group.epoch, primary)
            if self._confirmed.groups.get(group.number) != group_info:
                changes.append(SetGroup(group.number, group_info))
        for name, member in self._fleet.endpoints.items():
            member_info = MemberInfo(
                member.group.number,
                "127.0.0.1",
                member.port,
                member.zone,
                state=state_of(member),
                started_us=member.capacity.started_us,
            )
            if self._confirmed.members.get(name) != member_info:
                changes.append(SetMember(name, member_info))
        return changes

    async def _propose(self, changes: list[ConfigurationChange]) -> None:
        self._sequence += 1
        try:
            outcome = await self._instances.propose(Command(CLIENT, self._sequence, changes))
            if outcome.rejection:
                return  # the fleet has changed meanwhile; the next poll will show
            before = self._confirmed
            self._confirmed = await self._instances.get()
        except (RpcError, LeaderUnreachableError):
            return
        self.ready.set()
        now = self._clock.now_us()
        for name, member in self._confirmed.members.items():
            previous = before.members.get(name)
            if previous is None or previous.state != member.state:
                for edge in self._edges():
                    self._record(EndpointListed(now, edge, name, member.state))


def state_of(member: FakeEndpoint) -> str:
    """The state of a member in the configuration."""
    if not member.draining:
        return "up"
    return "draining" if member.alive else "gone"
