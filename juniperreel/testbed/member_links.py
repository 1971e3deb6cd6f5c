"""The links from a trial's drivers to the members of a fleet, with their faults and counts."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import Step
from juniperreel.testbed.links import Links, run_link_fault


class MemberLinks:
    """A relay from every driver to each member of `fleet`, opened when its port is first asked for."""

    def __init__(self, fleet: Fleet, links: Links, drivers: Sequence[str]) -> None:
        self.drivers = drivers
        self._fleet = fleet
        self._links = links

    async def port(self, driver: str, member: str) -> int:
        """Return the port by which the driver reaches the member."""
        dial = partial(self._fleet.endpoints[member].postgres.connect, driver)
        relay = await self._links.open(driver, member, dial)
        return relay.port

    async def run_fault(self, step: Step, drivers: Sequence[str]) -> None:
        """Play a fault of the links from these drivers to the members that the step names, to its end."""
        members = [member.name for member in self._fleet.targets(step.other)]
        for driver in drivers:
            for member in members:
                await self.port(driver, member)
        await run_link_fault(self._links.select(drivers, members), step)

    @property
    def probes(self) -> int:
        """Health and position checks that members have answered."""
        return sum(member.postgres.probes for member in self._fleet.endpoints.values())

    @property
    def connections_opened(self) -> int:
        """Connections that drivers have ever opened to members."""
        return sum(member.postgres.opened for member in self._fleet.endpoints.values())

    @property
    def peak_connections(self) -> int:
        """Most connections that one member had at a time."""
        return max((member.postgres.most_open for member in self._fleet.endpoints.values()), default=0)
