"""The two sides of a trial of the platform's drivers: members with the links to them, and drivers with their
discoveries and sessions.

One process may play both (`platformfleet.py`) or several parts of each (`crew.py`): a side knows its own part
and the names of all drivers. A script's faults strike where they belong: members and links to them on one
side, drivers' processes and links to discovery on the other. Imports nothing of the program that it starts.
"""

from __future__ import annotations

import json
import os
import random
import sys
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.fleet import Fleet
from juniperreel.fakes.platform_clients import PlatformSession
from juniperreel.fakes.platform_discovery import PlatformDiscovery
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, Network
from juniperreel.net.clock import US
from juniperreel.testbed.processes import Child, NotInThatState, Processes, State
from juniperreel.testbed.relay import Links, Relay, to_port
from juniperreel.verification import records as rec

ROOT = Path(__file__).parents[2]
PROGRAM = ("-m", "juniperreel.platform")
READY_S = 120  # for a driver to listen, on a machine that has much else to do
LOOK_S = 0.02
GRACE_US = 2_000_000
MEMORY_US = 5_000_000
BOUND_US = 300_000
# Danger: on a machine that has much else to do, what a driver sent in time arrives late, and the judge
# counts a bound from there. Replicas that lag do so by seconds here.
JUDGED_US = BOUND_US + 500_000
WEIGHTS = (0.62, 0.22, 0.16)
HEAVY = 5.0  # times the mean of all: what a driver that has much to do is asked
SESSION_RATE = 2.0  # requests a second that one session asks at most, so that its answers' times hardly count
TO_LIST = "list"
# Drivers give way to the rig: where both want processors, what is late is what is tried, not who tries it.
NICE = 5


def classes(now: int) -> tuple[rec.RequestClass, ...]:
    """Aims are wide: a trial's machine has more to do than its size, and a refusal is no violation."""
    read = rec.RequestClass(now, "board", "repeatable", 0, False, False, JUDGED_US, 1_000_000, 3.0, 0.2)
    own = rec.RequestClass(now, "own", "repeatable", 0, False, True, -1, 1_200_000, 3.0, 0.2)
    write = rec.RequestClass(now, "run", "keyed", MEMORY_US, True, False, -1, 2_000_000, 4.0, 0.7)
    return read, own, write


def limits(now: int, shape: EndpointSettings) -> rec.Limits:
    return rec.Limits(
        now,
        GRACE_US,
        shape.initial_capacity,
        shape.slow_start_us,
        shape.overload_multiple,
        shape.overload_window_us,
        6,
    )


def names_of(day: Script) -> tuple[str, ...]:
    return tuple(f"n{i}" for i in range(day["edges"]))


def drivers_named(day: Script, step: Step) -> list[str]:
    """The drivers that a step's target names: the same ones for every process of a trial. Raises ValueError
    for a target that names none."""
    names, which = names_of(day), step.target.removeprefix("edge/")
    if which == "*":
        return list(names)
    if which.startswith("random:"):
        part = float(which[7:].rstrip("%")) / 100
        rng = random.Random(f"{day['seed']} {step.text}")
        return sorted(rng.sample(names, min(len(names), max(1, round(part * len(names))))))
    if which.startswith("zone:"):
        return [n for i, n in enumerate(names) if i % 2 == int(which[5:])]
    if which.isdigit() and int(which) < len(names):
        return [names[int(which)]]
    raise ValueError(f"nobody is called {step.target!r}")


def strike(relays: Sequence[Relay], step: Step) -> None:
    """The beginning of a fault of links."""
    for relay in relays:
        if step.fault == "link-reset":
            relay.reset()
        elif step.fault == "link-slow":
            relay.there.delay_us = relay.back.delay_us = int(step.value) // 2
        else:
            relay.cut(there=step.fault == "link-cut")


def mend(relays: Sequence[Relay]) -> None:
    for relay in relays:
        relay.heal()
        relay.there.delay_us = relay.back.delay_us = 0


class Doors:
    """The members' side: a relay from every driver to each member, and what faults do to them."""

    def __init__(self, fleet: Fleet, links: Links, names: Sequence[str]) -> None:
        self.fleet, self.links, self.names = fleet, links, names

    async def port(self, driver: str, member: str) -> int:
        """By which the driver reaches the member."""
        dial = partial(self.fleet.endpoints[member].postgres.connect, driver)
        return (await self.links.between(driver, member, dial)).port

    async def fault(self, step: Step, drivers: Sequence[str]) -> None:
        """A fault of links from these drivers to the members that the step names, from beginning to end."""
        far = [m.name for m in self.fleet.targets(step.other)]
        for driver in drivers:
            for member in far:
                await self.port(driver, member)
        relays = self.links.among(drivers, far)
        strike(relays, step)
        await trio.sleep(step.for_us / US)
        mend(relays)

    @property
    def probes(self) -> int:
        """That members have answered."""
        return sum(m.postgres.probes for m in self.fleet.endpoints.values())

    @property
    def connections(self) -> int:
        """That were ever opened from drivers to members."""
        return sum(m.postgres.opened for m in self.fleet.endpoints.values())

    @property
    def most_held(self) -> int:
        """Connections that one member held at a time, at most."""
        return max((m.postgres.most_open for m in self.fleet.endpoints.values()), default=0)


class Drivers:
    """The drivers' side: some of a trial's drivers, each a process, with its discovery and its sessions."""

    def __init__(
        self,
        day: Script,
        names: Sequence[str],
        network: Network,
        clock: Clock,
        record: rec.RecordSink,
        directory: Path,
        door: Callable[[str, str], Awaitable[int]],
        seed: int,
        program: Sequence[str] = PROGRAM,
    ) -> None:
        """`names`: its own part; `door`: the port by which a driver reaches a member."""
        self.day, self.names, self._network, self.clock, self._record = (
            day,
            tuple(names),
            network,
            clock,
            record,
        )
        self._directory, self._program = directory, program
        self._rng = random.Random(seed)
        self._all = names_of(day)
        self.hosts = PlatformDiscovery(
            self.names, clock, random.Random(self._rng.random()), record, day["list-delay"], door
        )
        self.links: Links | None = None
        self.processes = Processes(directory)
        self.ports: dict[str, int] = {}  # of drivers that listen
        self._log_read: dict[str, int] = {}
        self._shape = EndpointSettings(slow_start_us=day["cold-span"])

    async def _config(self, driver: str) -> dict[str, Any]:
        assert self.links is not None
        discovery = self.hosts.servers[driver]
        relay = await self.links.between(driver, TO_LIST, to_port(self._network, discovery.port))
        shape, now = self._shape, self.clock.now_us()
        services = [
            {
                "name": c.name,
                "effect": "by_key" if c.write else "repeatable",
                "key_scope": "cell" if c.write else "all",
                "memory_span_s": c.deduplication_window_us / US,
                "objective_s": c.latency_objective_us / US,
                "deadline_s": 4 * c.latency_objective_us / US,
                "worth": c.priority_weight,
                "late_worth": c.late_priority_weight,
            }
            for c in classes(now)
        ]
        settings = {
            "balancers": self.day["fleet"] or len(self._all),
            "ceilings": {
                "cancelling": True,
                "conn_idle_s": 15.0,
                "connect_timeout_s": 0.5,
                "max_attempts": 6,
                "max_retry_after_s": 1.0,
                "probes": True,
                "retry_after": True,
                "second_copies": False,
            },
            "kinds": ["k"],
            "membership_mode": "ask",
            "prices": {"probe": 0.08, "cross_zone": 0.02},
            "rules": {
                "ask_every_s": self.day["ask-every"] / US,
                "cold_from": shape.initial_capacity,
                "cold_s": shape.slow_start_us / US,
                "fall_multiple": shape.overload_multiple,
                "grace_to_answer_s": 0.02,
                "overload_for_s": shape.overload_window_us / US,
                "stop_sending_within_s": GRACE_US / US,
            },
            "services": services,
            "specifics": {
                "consistency": ["bounded", "session", "write"],
                "guards": "off",
                "lag_allowed_s": [BOUND_US / US, 0.0, 0.0],
                "position_zero_s": 0.0,
                "positions": True,
                "shows_role": "late",
                "token_mode": "remembered",
            },
            "tenants": [{"name": "acme", "fraction": 1.0, "quota_rps": 1e6}],
            "zone": self._all.index(driver) % 2,
            "zones": ["z0", "z1"],
        }
        return {
            "name": driver,
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{relay.port}",
            "seed": f"{self._rng.getrandbits(60):x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
            "known": {"seq": 0, "whole": True, "hosts": discovery.hosts},
            "settings": settings,
        }

    # Their processes.

    async def start(self) -> None:
        """All of them, until each listens."""
        async with trio.open_nursery() as starting:
            for name in self.names:
                starting.start_soon(self.start_driver, name)

    async def start_driver(self, name: str) -> None:
        """Until it listens."""
        config = self._directory / f"{name}.json"
        config.write_text(json.dumps(await self._config(name)))
        child = self.processes.children.get(name)
        if child is None:
            env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT), "GW_CONFIG": str(config)}
            child = self.processes.add(name, [sys.executable, *self._program], env, NICE)
            # Danger: the ports of an earlier trial, whose logs are kept here, would be taken for this one's.
            child.log.unlink(missing_ok=True)
        child.start()
        with trio.fail_after(READY_S):
            while name not in self.ports:
                if child.state is State.ENDED:
                    raise RuntimeError(f"{name} did not start: {child.log.read_text()[-2000:]}")
                for event in self.events(child):
                    if event["event"] == "serving":
                        self.ports[name] = event["port"]
                await trio.sleep(LOOK_S)
        self._record(rec.EdgeUp(self.clock.now_us(), name))

    def events(self, child: Child) -> Iterator[dict[str, Any]]:
        """What it has logged since it was last asked."""
        with child.log.open("rb") as log:
            log.seek(self._log_read.get(child.name, 0))
            lines = log.read()
        whole = lines[: lines.rfind(b"\n") + 1]
        self._log_read[child.name] = self._log_read.get(child.name, 0) + len(whole)
        for line in whole.splitlines():
            if line.startswith(b"{"):
                yield json.loads(line)

    def kill_driver(self, name: str) -> None:
        self._record(rec.EdgeDown(self.clock.now_us(), name))
        self.ports.pop(name, None)
        self.processes[name].lose()

    def _front(self, at: int) -> EdgeAddress | None:
        """Sessions are spread over the drivers; one whose driver is down goes to another."""
        up = [n for n in self.names if n in self.ports]
        if not up:
            return None
        wanted = self.names[at % len(self.names)]
        name = wanted if wanted in up else up[at % len(up)]
        return EdgeAddress(name, self.ports[name])

    # Faults.

    async def fault(self, step: Step) -> None:
        """Of these drivers' processes, or of their links to discovery."""
        async with trio.open_nursery() as nursery:
            for name in drivers_named(self.day, step):
                if name not in self.names:
                    continue  # another process plays it
                if step.fault == "link-mute":
                    self.hosts.servers[name].mute()
                elif step.fault.startswith("link-"):
                    nursery.start_soon(self._list_fault, step, name)
                elif step.fault == "edge-kill":
                    nursery.start_soon(self._kill, name, step.value)
                elif step.fault == "edge-stall":
                    nursery.start_soon(self._stall, name, step.for_us)

    async def _kill(self, name: str, back_us: float) -> None:
        if self.processes[name].state is State.ENDED:
            return
        self.kill_driver(name)
        if back_us:
            await trio.sleep(back_us / US)
            await self.start_driver(name)

    async def _stall(self, name: str, for_us: int) -> None:
        child = self.processes[name]
        if child.state is not State.RUNNING:
            return
        start = self.clock.now_us()
        child.freeze()
        await trio.sleep(for_us / US)
        with suppress(NotInThatState):  # it was killed meanwhile
            child.thaw()
        # What waited for it meanwhile is late by the stall, and a little while it catches up.
        self._record(rec.EdgeStalled(start, name, self.clock.now_us() + for_us))

    async def _list_fault(self, step: Step, name: str) -> None:
        assert self.links is not None
        relays = self.links.among([name], [TO_LIST])
        strike(relays, step)
        await trio.sleep(step.for_us / US)
        mend(relays)

    # Sessions.

    def session(
        self, name: str, at: int, group: int, mix: Sequence[rec.RequestClass], weights: Sequence[float]
    ) -> PlatformSession:
        """One, which asks the `at`th of these drivers and belongs to a group."""
        seed = self._rng.getrandbits(32)
        front = partial(self._front, at)
        return PlatformSession(
            name, group, mix, weights, front, self._network, self.clock, self._record, seed
        )

    async def load(self, until_us: int, weights: Sequence[float]) -> None:
        """The script's rate over all drivers of the trial, unevenly: of a hundred, `heavy` are asked five
        times the mean. Each driver's requests go evenly to all groups."""
        heavy = self.day["heavy"] / 100
        light = (1 - HEAVY * heavy) / (1 - heavy) if heavy < 1 / HEAVY else 1.0
        mean, mix = self.day["rate"] / len(self._all), classes(self.clock.now_us())
        async with trio.open_nursery() as sessions:
            for at, name in enumerate(self.names):
                busy = HEAVY if is_heavy(self._all.index(name), heavy) else light
                rate = mean * busy / self.day["groups"]
                count = max(1, round(rate / SESSION_RATE))
                for group in range(self.day["groups"]):
                    for i in range(count):
                        one = self.session(f"{name}.{group}.{i}", at, group, mix, weights)
                        sessions.start_soon(one.run, until_us, count / max(rate, 1e-3))


def is_heavy(index: int, part: float) -> bool:
    """Spread evenly over the drivers' numbers."""
    return int((index + 1) * part) > int(index * part)
