"""A trial process that runs the members of some groups and the links to them."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import NamedTuple

import trio

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.fleet_processes import EndpointListRelay
from juniperreel.fakes.script import Step
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.testbed.control_messages import HostUpdate, ProcessCounts, StartDay
from juniperreel.testbed.links import Links
from juniperreel.testbed.member_links import MemberLinks
from juniperreel.testbed.scenario import driver_names, targeted_drivers
from juniperreel.testbed.trial_process import MEMBERS, TrialProcess, processor_time_s, steps_of_role

MAX_QUEUED_HOSTS = 100_000


class PendingHostUpdate(NamedTuple):
    """A host update queued for discovery; `delay_us` is None to use discovery's default delay."""

    host: hosts_pb2.Host
    delay_us: int | None


class HostUpdateQueue(EndpointListRelay):
    """Replaces the host list of a fleet and queues its updates for the trial.

    Updates are sent later because a driver needs the relay port of a member before it learns of the member.
    """

    def __init__(self) -> None:
        self._send, self.updates = trio.open_memory_channel[PendingHostUpdate](MAX_QUEUED_HOSTS)

    def publish(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        """Queue a copy of the host. Raises trio.WouldBlock if the queue is full."""
        copy = hosts_pb2.Host()
        copy.CopyFrom(host)
        self._send.send_nowait(PendingHostUpdate(copy, delay_us))


class MembersProcess(TrialProcess):
    """Runs the members of some groups, and the links to them from all drivers of the trial."""

    async def run(self) -> None:
        """Run until the end of the trial."""
        own_script = replace(self.script, steps=steps_of_role(self.script, MEMBERS))
        own_script.settings = self.script.settings | {"seed": self.rng.getrandbits(31)}
        groups = frozenset(number for number in range(self.script["groups"]) if self.arguments.owns(number))
        hosts = HostUpdateQueue()
        fleet = Fleet(own_script, self.network, self.clock, self.record, groups, hosts, platform=True)
        async with trio.open_nursery() as nursery:
            links = Links(self.network, nursery, self.rng.getrandbits(32))
            member_links = MemberLinks(fleet, links, driver_names(self.script))
            nursery.start_soon(self._send_host_updates, hosts, member_links)
            nursery.start_soon(self.lag.run)
            nursery.start_soon(self.receive_messages)
            await nursery.start(fleet.run)
            await self.run_script(partial(self._play, fleet, member_links))
            await self.control.send(self._counts(member_links))
            nursery.cancel_scope.cancel()

    async def _play(self, fleet: Fleet, member_links: MemberLinks, _: StartDay) -> None:
        await fleet.play(partial(self._run_link_fault, member_links))

    async def _run_link_fault(self, member_links: MemberLinks, step: Step) -> None:
        await member_links.run_fault(step, targeted_drivers(self.script, step))

    async def _send_host_updates(self, hosts: HostUpdateQueue, member_links: MemberLinks) -> None:
        async for host, delay_us in hosts.updates:
            ports = {driver: await member_links.port(driver, host.id) for driver in member_links.drivers}
            await self.control.send(HostUpdate.of(host, delay_us, ports))

    def _counts(self, member_links: MemberLinks) -> ProcessCounts:
        return ProcessCounts(
            self.arguments.name,
            probes=member_links.probes,
            connections=member_links.connections_opened,
            peak_connections=member_links.peak_connections,
            max_lag_us=self.lag.max_us,
            cpu_s=processor_time_s(),
        )
