"""The links from the drivers of a trial to the members of a fleet, with their faults and counters."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.script import Step
from juniperreel.testbed.links import Links, run_link_fault


class MemberLinks:
    """A relay from every driver to each member of `fleet`, opened on the first request for its port."""

    def __init__(self, fleet: Fleet, links: Links, drivers: Sequence[str]) -> None:
        self.drivers = drivers
        self._fleet = fleet
        self._links = links

    async def port(self, driver: str, member: str) -> int:
        """Return the relay port by which the driver reaches the member."""
        dial = partial(self._fleet.endpoints[member].postgres.connect, driver)
        relay = await self._links.open(driver, member, dial)
        return relay.port

    async def run_fault(self, step: Step, drivers: Sequence[str]) -> None:
        """Run a link fault between these drivers and the members that the step targets, until it is over."""
        members = [member.name for member in self._fleet.targets(step.other)]
        for driver in drivers:
            for member in members:
                await self.port(driver, member)
        await run_link_fault(self._links.select(drivers, members), step)

    @property
    def probes(self) -> int:
        """Number of health and position checks that members have answered."""
        return sum(member.postgres.probes for member in self._fleet.endpoints.values())

    @property
    def connections_opened(self) -> int:
        """Total number of connections that drivers have opened to members."""
        return sum(member.postgres.opened for member in self._fleet.endpoints.values())

    @property
    def peak_connections(self) -> int:
        """Maximum number of simultaneous connections to one member."""
        return max((member.postgres.most_open for member in self._fleet.endpoints.values()), default=0)
