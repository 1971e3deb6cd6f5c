"""The operators' discovery for a fleet of stand-ins: what the host list is to edges, this is to drivers.

Every driver has a discovery of its own, as the address of a member may differ from one driver to the next.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio

from juniperreel.fakes.endpoint_list_server import NAMES
from juniperreel.fakes.minimal_servers import DiscoveryStandIn
from juniperreel.net import Clock
from juniperreel.proto.hosts.v1 import hosts_pb2
from juniperreel.verification.records import EndpointListed, RecordSink

LOOK_S = 0.05
SILENCE_TELLS_S = (
    6.0  # the operators': what a silent watch misses counts as told so long after it fell silent
)
HEALTH = {
    hosts_pb2.READINESS_UP: "Ready",
    hosts_pb2.READINESS_DRAINING: "Terminating",
    hosts_pb2.READINESS_GONE: "Gone",
}
WORDS = {HEALTH[readiness]: word for readiness, word in NAMES.items()}  # the record's
# The port by which a driver reaches a member: driver, member.
Door = Callable[[str, str], Awaitable[int]]


class RecordedDiscovery(DiscoveryStandIn):
    """One driver's discovery; writes down what it tells."""

    def __init__(self, driver: str, clock: Clock, record: RecordSink) -> None:
        super().__init__([])
        self._driver, self._clock, self._record = driver, clock, record
        self._named: set[str] = set()
        self._muted_s = 0.0

    def mute(self) -> None:
        super().mute()
        self._muted_s = trio.current_time()

    async def missed(self) -> None:
        await trio.sleep_until(self._muted_s + SILENCE_TELLS_S)
        self.told(self.hosts)
        await super().missed()

    def told(self, hosts: list[dict[str, Any]]) -> None:
        now = self._clock.now_us()
        for line in hosts:
            self._record(EndpointListed(now, self._driver, line["host"], WORDS[line["health"]]))
        named = {line["host"] for line in hosts}
        for name in self._named - named:
            self._record(EndpointListed(now, self._driver, name, "gone"))
        self._named = named


class PlatformHosts:
    """Stands where a fleet's host list does. `delay_us` is how late it tells what happens."""

    def __init__(
        self,
        drivers: Sequence[str],
        clock: Clock,
        rng: random.Random,
        record: RecordSink,
        delay_us: int,
        door: Door,
    ) -> None:
        self.port = 0
        self.frozen = False
        self.discoveries = {driver: RecordedDiscovery(driver, clock, record) for driver in drivers}
        self._clock, self._rng, self._delay_us, self._door = clock, rng, delay_us, door
        self._due: list[tuple[int, str, hosts_pb2.Host]] = []
        self._shown: dict[str, dict[str, hosts_pb2.Host]] = {driver: {} for driver in drivers}
        self._hidden: set[str] = set()
        self._empty = False
        self._stale: set[str] = set()  # drivers whose list is to be made anew

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            for discovery in self.discoveries.values():
                await nursery.start(discovery.run)
            nursery.start_soon(self._show)
            task_status.started()

    def tell(self, host: hosts_pb2.Host, delay_us: int | None = None) -> None:
        wait = self._delay_us if delay_us is None else delay_us
        due = self._clock.now_us() + int(wait * self._rng.uniform(0.6, 1.4))
        for driver in self.discoveries:
            self._due.append((due, driver, host))

    def names(self) -> list[str]:
        found = {n for shown in self._shown.values() for n, h in shown.items()}
        return sorted(found)

    def hide(self, names: set[str]) -> None:
        self._hidden = names
        self._stale = set(self.discoveries)

    def set_empty(self, empty: bool) -> None:
        self._empty = empty
        self._stale = set(self.discoveries)

    async def _show(self) -> None:
        while True:
            now = self._clock.now_us()
            if not self.frozen:
                for _, driver, host in sorted((d for d in self._due if d[0] <= now), key=lambda d: d[0]):
                    self._shown[driver][host.id] = host
                    self._stale.add(driver)
                self._due = [item for item in self._due if item[0] > now]
                stale, self._stale = sorted(self._stale), set()
                for driver in stale:
                    discovery = self.discoveries[driver]
                    lines = [] if self._empty else await self._lines(driver)
                    if lines != discovery.hosts:
                        discovery.replace(lines)
            await trio.sleep(LOOK_S)

    async def _lines(self, driver: str) -> list[dict[str, Any]]:
        lines = []
        for name, host in sorted(self._shown[driver].items()):
            if name in self._hidden or host.readiness == hosts_pb2.READINESS_GONE:
                continue
            lines.append(
                {
                    "host": name,
                    "dial": f"127.0.0.1:{await self._door(driver, name)}",
                    "site": f"z{host.zone}",
                    "class": "k",
                    "block": host.group,
                    "health": HEALTH[host.readiness],
                    "share": host.size,
                    "born_ms": -(-host.started // 1000),
                    "replication": "primary" if host.primary else "standby",
                }
            )
        return lines
