"""A subset of a trial's drivers, each a process, with their discovery servers, client sessions and faults.

Starts the program by its own command and imports none of it.
"""

from __future__ import annotations

import json
import os
import random
import signal
import sys
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import trio

from juniperreel.fakes.client_session import EdgeAddress
from juniperreel.fakes.platform_clients import PlatformSession
from juniperreel.fakes.platform_discovery import PlatformDiscovery
from juniperreel.fakes.script import Script, Step
from juniperreel.net import Clock, Network
from juniperreel.net.clock import US
from juniperreel.testbed.driver_settings import driver_settings
from juniperreel.testbed.errors import DriverStartError, ProcessStateError
from juniperreel.testbed.links import Links, run_link_fault
from juniperreel.testbed.processes import ManagedProcess, Processes, ProcessState
from juniperreel.testbed.relay import Relay, connect_to_port
from juniperreel.testbed.scenario import (
    DISCOVERY,
    DRIVER_PROGRAM,
    REPOSITORY,
    SESSION_RATE,
    driver_names,
    driver_rate,
    request_classes,
    targeted_drivers,
)
from juniperreel.verification import records as rec

START_TIMEOUT_S = 120  # for a driver to listen, on a loaded machine
LOG_POLL_S = 0.02
LOG_TAIL_CHARACTERS = 2000
# From SIGTERM to SIGKILL: the longest deadline, but at most LONGEST_DEADLINE_US, plus a margin.
LONGEST_DEADLINE_US = 3_000_000
KILL_AFTER_DEADLINE_US = 700_000
SIGNAL_SEQUENCE = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)
MEAN_SIGNAL_INTERVAL_S = 0.15  # between two signals of SIGNAL_SEQUENCE
CLIENT_ROUTING_DELAY_S = 0.3  # from SIGTERM until clients open no new connections to the driver
KILLED = -9
NS_PER_S = 1_000_000_000
MIN_RATE = 1e-3  # requests/s; keeps the pause between requests finite


class ExitStatus(NamedTuple):
    """Exit status of a driver that received SIGTERM; KILLED if it did not exit in time.

    For a killed driver, `details` has its last logged event and its run queue wait since SIGTERM.
    """

    driver: str
    status: int
    details: str = ""


class DriverFleet:
    """The drivers named `names`: all drivers of a trial, or a subset.

    `links` must be set before the first driver is started. `ports` contains the drivers that accept clients.
    """

    def __init__(
        self,
        script: Script,
        names: Sequence[str],
        network: Network,
        clock: Clock,
        record: rec.RecordSink,
        directory: Path,
        member_port: Callable[[str, str], Awaitable[int]],
        seed: int,
        program: Sequence[str] = DRIVER_PROGRAM,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """`member_port` returns the port by which a driver (first argument) reaches a member (second).

        `environment` holds additional environment variables of the driver processes.
        """
        self._environment = dict(environment or {})
        self.script = script
        self.names = tuple(names)
        self.clock = clock
        self.processes = Processes(directory)
        self.ports: dict[str, int] = {}
        self.links: Links | None = None
        self._network = network
        self._record = record
        self._directory = directory
        self._program = program
        self._rng = random.Random(seed)
        self._all_names = driver_names(script)
        self._log_positions: dict[str, int] = {}
        self._reloads: Counter[str] = Counter()
        self.exit_statuses: list[ExitStatus] = []  # of drivers that received SIGTERM
        self.killed_us: dict[str, list[int]] = defaultdict(list)  # times of kills without a preceding SIGTERM
        self._restarting: set[str] = set()  # drivers that are being stopped or restarted
        discovery_rng = random.Random(self._rng.random())
        self.hosts = PlatformDiscovery(
            self.names, clock, discovery_rng, record, script["list-delay"], member_port
        )

    async def start(self) -> None:
        """Start all drivers concurrently and wait until each listens."""
        async with trio.open_nursery() as nursery:
            for name in self.names:
                nursery.start_soon(self.start_driver, name)

    async def start_driver(self, name: str) -> None:
        """Start one driver and wait until it listens.

        Raises DriverStartError if it exits instead, trio.TooSlowError after START_TIMEOUT_S.
        """
        config = self._write_config(name, await self._settings(name))
        process = self.processes.by_name.get(name) or self._add_process(name, config)
        process.start()
        with trio.fail_after(START_TIMEOUT_S):
            await self._wait_until_serving(process)
        self._record(rec.EdgeUp(self.clock.now_us(), name))

    def events(self, process: ManagedProcess) -> Iterator[dict[str, Any]]:
        """Yield the events that a driver has logged since the previous call."""
        position = self._log_positions.get(process.name, 0)
        with process.log.open("rb") as log:
            log.seek(position)
            data = log.read()
        lines = _whole_lines(data)
        self._log_positions[process.name] = position + sum(map(len, lines))
        yield from _parse_events(lines)

    async def run_fault(self, step: Step) -> None:
        """Run a fault of these drivers' processes, or of their links to discovery, until it is over."""
        async with trio.open_nursery() as nursery:
            for name in targeted_drivers(self.script, step):
                if name not in self.names:
                    continue  # run by another process of the trial
                if name in self._restarting and step.fault.startswith("edge-"):
                    continue  # an earlier step is still in progress
                self._start_fault(nursery, step, name)

    def _start_fault(self, nursery: trio.Nursery, step: Step, name: str) -> None:
        match step.fault:
            case "link-mute":
                self.hosts.servers[name].mute()
            case "edge-kill":
                nursery.start_soon(self._kill, name, step.value)
            case "edge-stall":
                nursery.start_soon(self._stall, name, step.for_us)
            case "edge-term":
                nursery.start_soon(self._terminate_and_restart, name, step.value)
            case "edge-signals":
                nursery.start_soon(self._terminate_and_restart, name, step.value, SIGNAL_SEQUENCE)
            case "edge-reload":
                nursery.start_soon(self._reload, name)
            case fault if fault.startswith("link-"):
                nursery.start_soon(self._run_discovery_fault, step, name)

    def session(
        self,
        name: str,
        index: int,
        group: int,
        classes: Sequence[rec.RequestClass],
        weights: Sequence[float],
        session_class: type[PlatformSession] = PlatformSession,
    ) -> PlatformSession:
        """Create a session of a group that uses the driver at this index of `names`, modulo their number."""
        seed = self._rng.getrandbits(32)
        find_edge = partial(self._address, index)
        return session_class(
            name, group, classes, weights, find_edge, self._network, self.clock, self._record, seed
        )

    async def run_load(self, until_us: int, weights: Sequence[float]) -> None:
        """Send these drivers their share of the script's rate until `until_us`, evenly across groups."""
        classes = request_classes(self.clock.now_us(), self.script["longest-deadline"])
        async with trio.open_nursery() as nursery:
            for index, name in enumerate(self.names):
                rate = driver_rate(self.script, self._all_names.index(name))
                sessions = max(1, round(rate / SESSION_RATE))
                pause_s = sessions / max(rate, MIN_RATE)
                for group in range(self.script["groups"]):
                    for number in range(sessions):
                        session = self.session(f"{name}.{group}.{number}", index, group, classes, weights)
                        nursery.start_soon(session.run, until_us, pause_s)

    async def shut_down_all(self) -> None:
        """Shut all running drivers down gracefully, concurrently."""
        async with trio.open_nursery() as nursery:
            for name in self.names:
                nursery.start_soon(self._terminate_and_restart, name, 0)

    async def _open_discovery_link(self, driver: str) -> Relay:
        """Return the relay by which a driver reaches its discovery; each reload switches to a new one."""
        assert self.links is not None
        discovery = self.hosts.servers[driver]
        target = f"{DISCOVERY}{self._reloads[driver] or ''}"
        return await self.links.open(driver, target, connect_to_port(self._network, discovery.port))

    async def _settings(self, driver: str) -> dict[str, Any]:
        discovery = self.hosts.servers[driver]
        relay = await self._open_discovery_link(driver)
        index = self._all_names.index(driver)
        now_us = self.clock.now_us()
        seed = self._rng.getrandbits(60)
        return driver_settings(self.script, driver, index, relay.port, seed, discovery.hosts, now_us)

    def _add_process(self, name: str, config: Path) -> ManagedProcess:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(REPOSITORY),
            "GW_CONFIG": str(config),
            **self._environment,
        }
        process = self.processes.add(name, [sys.executable, *self._program], environment)
        # The log of an earlier trial in the directory would yield a stale port.
        process.log.unlink(missing_ok=True)
        return process

    async def _wait_until_serving(self, process: ManagedProcess) -> None:
        while process.name not in self.ports:
            if process.state is ProcessState.ENDED:
                raise DriverStartError(process.name, process.log.read_text()[-LOG_TAIL_CHARACTERS:])
            for event in self.events(process):
                if event["event"] == "serving":
                    self.ports[process.name] = event["port"]
            await trio.sleep(LOG_POLL_S)

    def _address(self, index: int) -> EdgeAddress | None:
        """Name and port of the driver at this index, or of another if it is down; None if all are down."""
        listening = [name for name in self.names if name in self.ports]
        if not listening:
            return None
        preferred = self.names[index % len(self.names)]
        name = preferred if preferred in listening else listening[index % len(listening)]
        return EdgeAddress(name, self.ports[name])

    async def _kill(self, name: str, restart_delay_us: float) -> None:
        process = self.processes[name]
        # Two steps due in the same iteration of a late event loop both passed the check in `run_fault`.
        if process.state is ProcessState.ENDED or name in self._restarting:
            return
        with self._mark_restarting(name):
            self._record(rec.EdgeDown(self.clock.now_us(), name))
            self.killed_us[name].append(self.clock.now_us())
            self.ports.pop(name, None)
            process.kill_and_wipe_disk()
            await self._start_after(name, restart_delay_us)

    @contextmanager
    def _mark_restarting(self, name: str) -> Iterator[None]:
        self._restarting.add(name)
        try:
            yield
        finally:
            self._restarting.discard(name)

    async def _start_after(self, name: str, pause_us: float) -> None:
        """Start a driver after a pause; 0 leaves it stopped."""
        if pause_us:
            await trio.sleep(pause_us / US)
            await self.start_driver(name)

    async def _terminate_and_restart(
        self, name: str, restart_delay_us: float, further_signals: Sequence[signal.Signals] = ()
    ) -> None:
        """Send SIGTERM to a driver, then SIGKILL on timeout, and restart it unless the delay is 0."""
        process = self.processes[name]
        is_serving = process.state is ProcessState.RUNNING and name in self.ports
        if not is_serving or name in self._restarting:
            return
        with self._mark_restarting(name):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_signals, process, further_signals)
                await self._shut_down(name, process)
                nursery.cancel_scope.cancel()
            await self._start_after(name, restart_delay_us)

    async def _send_signals(self, process: ManagedProcess, numbers: Sequence[signal.Signals]) -> None:
        for number in numbers:
            await trio.sleep(self._rng.expovariate(1 / MEAN_SIGNAL_INTERVAL_S))
            process.send_signal(number)

    @property
    def kill_after_s(self) -> float:
        """Time from SIGTERM to SIGKILL: the shortest that the operators allow."""
        return (min(self.script["longest-deadline"], LONGEST_DEADLINE_US) + KILL_AFTER_DEADLINE_US) / US

    async def _shut_down(self, name: str, process: ManagedProcess) -> None:
        process.terminate()
        waited_before_ns = process.run_queue_wait_ns() or 0
        with trio.move_on_after(self.kill_after_s) as limit:
            await trio.sleep(CLIENT_ROUTING_DELAY_S)
            self.ports.pop(name, None)
            status = await process.wait()
        if not limit.cancelled_caught:
            self.exit_statuses.append(ExitStatus(name, status))
            return
        waited_s = ((process.run_queue_wait_ns() or 0) - waited_before_ns) / NS_PER_S
        # Its unanswered requests are not excused, since it had its full time to shut down.
        process.kill()
        details = f"logged {_last_event(process)!r} last, waited {waited_s:.3f} s for a processor"
        self.exit_statuses.append(ExitStatus(name, KILLED, details))

    async def _reload(self, name: str) -> None:
        """Move a driver's discovery to another address; the old one resets and refuses connections."""
        process = self.processes[name]
        if process.state is not ProcessState.RUNNING:
            return
        old = await self._open_discovery_link(name)
        self._reloads[name] += 1
        self._write_config(name, await self._settings(name))
        process.reload()
        old.refusing = True
        old.reset()

    def _write_config(self, name: str, settings: dict[str, Any]) -> Path:
        config = self._directory / f"{name}.json"
        config.write_text(json.dumps(settings))
        return config

    async def _stall(self, name: str, duration_us: int) -> None:
        process = self.processes[name]
        if process.state is not ProcessState.RUNNING:
            return
        start_us = self.clock.now_us()
        process.freeze()
        await trio.sleep(duration_us / US)
        with suppress(ProcessStateError):  # killed during the stall
            process.thaw()
        # Requests that waited are late by the stall; the backlog is given the same time again to clear.
        self._record(rec.EdgeStalled(start_us, name, self.clock.now_us() + duration_us))

    async def _run_discovery_fault(self, step: Step, name: str) -> None:
        assert self.links is not None
        await run_link_fault(self.links.select([name], [DISCOVERY]), step)


def _whole_lines(data: bytes) -> list[bytes]:
    """Return the complete lines."""
    return data[: data.rfind(b"\n") + 1].splitlines(keepends=True)


def _parse_events(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Parse the lines of a log that are events."""
    return (json.loads(line) for line in lines if line.startswith(b"{"))


def _last_event(process: ManagedProcess) -> str:
    """Name of the last event that a process has logged; empty if there is none."""
    name = ""
    for event in _parse_events(_whole_lines(process.log.read_bytes())):
        name = str(event["event"])
    return name
