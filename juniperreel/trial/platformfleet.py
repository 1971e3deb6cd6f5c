"""A fleet of the platform's drivers, each a process by the program's own command, before stand-in members.

Every driver reaches every member and its discovery by a relay of its own. A script's faults strike members
(`standins/fleet.py`), drivers' processes and links. What passes is recorded as for edges and judged by
`proof`. Imports nothing of the program that it starts.
"""

from __future__ import annotations

import json
import os
import random
import sys
from collections.abc import Iterator, Sequence
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

import trio

from juniperreel.net import Clock, Network
from juniperreel.net.clock import US
from juniperreel.proof import records as rec
from juniperreel.standins.fleet import Fleet
from juniperreel.standins.platformclients import Session
from juniperreel.standins.platformhosts import PlatformHosts
from juniperreel.standins.script import Day, Step
from juniperreel.trial.processes import Child, NotInThatState, Processes, State
from juniperreel.trial.relay import Links

ROOT = Path(__file__).parents[2]
PROGRAM = ("-m", "juniperreel.platform")
READY_S = 60  # for a driver to listen, on a machine that has much else to do
LOOK_S = 0.02
GRACE_US = 2_000_000
MEMORY_US = 5_000_000
BOUND_US = 300_000
# Danger: on a machine that has much else to do, what a driver sent in time arrives late, and the judge
# counts a bound from there. Replicas that lag do so by seconds here.
JUDGED_US = BOUND_US + 500_000
WEIGHTS = (0.62, 0.22, 0.16)


def classes(now: int) -> tuple[rec.Class, ...]:
    """Aims are wide: a trial's machine has more to do than its size, and a refusal is no violation."""
    read = rec.Class(now, "board", "repeatable", 0, False, False, JUDGED_US, 1_000_000, 3.0, 0.2)
    own = rec.Class(now, "own", "repeatable", 0, False, True, -1, 1_200_000, 3.0, 0.2)
    write = rec.Class(now, "run", "keyed", MEMORY_US, True, False, -1, 2_000_000, 4.0, 0.7)
    return read, own, write


class PlatformTrial:
    """One trial. `recorder.records` is what it leaves."""

    def __init__(
        self, day: Day, network: Network, directory: Path, pause_s: float, program: Sequence[str] = PROGRAM
    ) -> None:
        """`pause_s`: mean pause of a session between its requests; `program`: what a driver is started by."""
        self.day, self._network, self._directory, self._pause_s = day, network, directory, pause_s
        self._program = program
        self.clock = Clock()
        self.recorder = rec.Recorder()
        self.names = tuple(f"n{i}" for i in range(day["edges"]))
        self._rng = random.Random(day["seed"])
        self.hosts = PlatformHosts(
            self.names,
            self.clock,
            random.Random(self._rng.random()),
            self.recorder,
            day["list-delay"],
            self._door,
        )
        self.fleet = Fleet(day, network, self.clock, self.recorder, hosts=self.hosts, drivers=self.names)
        self.links: Links | None = None
        self.processes = Processes(directory)
        self.ports: dict[str, int] = {}  # of drivers that listen
        self._log_read: dict[str, int] = {}

    # Where a driver finds what.

    async def _door(self, driver: str, member: str) -> int:
        assert self.links is not None
        side = self.fleet.members[member].postgres
        side.given_up = partial(self._given_up, member)
        return (await self.links.between(driver, member, side.ports[driver])).port

    def _given_up(self, member: str, driver: str, port: int) -> bool:
        assert self.links is not None
        return self.links.relays[driver, member].given_up(port)

    async def _config(self, driver: str) -> dict[str, Any]:
        assert self.links is not None
        discovery = self.hosts.discoveries[driver]
        relay = await self.links.between(driver, "list", discovery.port)
        shape, now = self.fleet.shape, self.clock.now_us()
        services = [
            {
                "name": c.name,
                "effect": "by_key" if c.write else "repeatable",
                "key_scope": "cell" if c.write else "all",
                "memory_span_s": c.memory_us / US,
                "objective_s": c.aim_us / US,
                "deadline_s": 4 * c.aim_us / US,
                "worth": c.worth,
                "late_worth": c.late_worth,
            }
            for c in classes(now)
        ]
        settings = {
            "balancers": self.day["fleet"] or len(self.names),
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
                "cold_from": shape.cold_from,
                "cold_s": shape.cold_us / US,
                "fall_multiple": shape.fall_multiple,
                "grace_to_answer_s": 0.02,
                "overload_for_s": shape.overload_us / US,
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
            "zone": self.names.index(driver) % 2,
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

    # Drivers' processes.

    async def start_driver(self, name: str) -> None:
        """Until it listens."""
        config = self._directory / f"{name}.json"
        config.write_text(json.dumps(await self._config(name)))
        child = self.processes.children.get(name)
        if child is None:
            env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT), "GW_CONFIG": str(config)}
            child = self.processes.add(name, [sys.executable, *self._program], env)
        child.start()
        with trio.fail_after(READY_S):
            while name not in self.ports:
                if child.state is State.ENDED:
                    raise RuntimeError(f"{name} did not start: {child.log.read_text()[-2000:]}")
                for event in self.events(child):
                    if event["event"] == "serving":
                        self.ports[name] = event["port"]
                await trio.sleep(LOOK_S)
        self.recorder(rec.EdgeUp(self.clock.now_us(), name))

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
        self.recorder(rec.EdgeDown(self.clock.now_us(), name))
        self.ports.pop(name, None)
        self.processes[name].lose()

    def _front(self, at: int) -> tuple[str, int] | None:
        """Sessions are spread over the drivers; one whose driver is down goes to another."""
        up = [n for n in self.names if n in self.ports]
        if not up:
            return None
        wanted = self.names[at % len(self.names)]
        name = wanted if wanted in up else up[at % len(up)]
        return name, self.ports[name]

    # Faults.

    def _drivers(self, target: str) -> list[str]:
        which = target.removeprefix("edge/")
        return list(self.names) if which == "*" else [self.names[int(which)]]

    async def on_edge(self, step: Step) -> None:
        async with trio.open_nursery() as nursery:
            for name in self._drivers(step.target):
                if step.fault == "link-mute":
                    self.hosts.discoveries[name].mute()
                elif step.fault.startswith("link-"):
                    nursery.start_soon(self._link_fault, step, name)
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
        self.recorder(rec.EdgeStalled(start, name, self.clock.now_us() + for_us))

    async def _link_fault(self, step: Step, name: str) -> None:
        assert self.links is not None
        far = ["list"] if step.other == "list" else [m.name for m in self.fleet.targets(step.other)]
        for member in far:
            if member != "list":
                await self._door(name, member)
        relays = self.links.among([name], far)
        for relay in relays:
            if step.fault == "link-reset":
                relay.reset()
            elif step.fault == "link-slow":
                relay.there.delay_us = relay.back.delay_us = int(step.value) // 2
            else:
                relay.cut(there=step.fault == "link-cut")
        await trio.sleep(step.for_us / US)
        for relay in relays:
            relay.heal()
            relay.there.delay_us = relay.back.delay_us = 0

    # The whole.

    async def run(self) -> None:
        now, shape = self.clock.now_us(), self.fleet.shape
        mix = classes(now)
        for cls in mix:
            self.recorder(cls)
        self.recorder(
            rec.Limits(
                now, GRACE_US, shape.cold_from, shape.cold_us, shape.fall_multiple, shape.overload_us, 6
            )
        )
        async with trio.open_nursery() as nursery:
            self.links = Links(self._network, self.clock, nursery, self._rng.getrandbits(32))
            try:
                await nursery.start(self.fleet.run)
                async with trio.open_nursery() as starting:
                    for name in self.names:
                        starting.start_soon(self.start_driver, name)
                until = self.clock.now_us() + self.day["last"]
                async with trio.open_nursery() as day:
                    day.start_soon(self.fleet.play, self.on_edge)
                    async with trio.open_nursery() as load:
                        for i in range(self.day["sessions"]):
                            load.start_soon(self._session(i, mix).run, until, self._pause_s)
                    day.cancel_scope.cancel()
            finally:
                self.processes.end()
            nursery.cancel_scope.cancel()

    def _session(self, at: int, mix: tuple[rec.Class, ...]) -> Session:
        group = at % self.day["groups"]
        return Session(
            f"s{at}",
            group,
            mix,
            WEIGHTS,
            lambda: self._front(at),
            self._network,
            self.clock,
            self.recorder,
            self._rng.getrandbits(32),
        )

    @property
    def probes(self) -> int:
        """That members have answered."""
        return sum(m.postgres.probes for m in self.fleet.members.values())

    @property
    def connections(self) -> int:
        """That were ever opened from drivers to members."""
        return sum(m.postgres.opened for m in self.fleet.members.values())
