"""A trial of tens to hundreds of drivers: members, drivers and sessions, played by several processes.

This one starts them (`crew.py`), passes on what the host list is to tell, gives the day's beginning and end,
and puts their records together in order of time. All are on one machine: times are of its one clock.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import trio

from juniperreel.fakes.endpoint_settings import EndpointSettings
from juniperreel.fakes.script import Script, render
from juniperreel.net import Clock, TcpNetwork
from juniperreel.net.clock import US
from juniperreel.net.network import Listener
from juniperreel.testbed import words as w
from juniperreel.testbed.processes import Processes, State
from juniperreel.testbed.sides import ROOT, classes, limits, names_of
from juniperreel.verification import records as rec

START_S = 300  # for hundreds of processes, on a machine that has much else to do
AHEAD_US = 500_000  # the day's beginning is told so long before
LAST_WORDS_S = 60.0
ANSWERS_S = 5.0  # after the last request, for those that are open
LOOK_S = 0.2


class CrewLost(RuntimeError):
    """A process of the rig ended before its time; the text has its last words."""


class LargeTrial:
    """One trial. `records` and `counts` are what it leaves."""

    def __init__(self, day: Script, directory: Path, driver_crews: int, program: Sequence[str] = ()) -> None:
        """`directory` keeps settings, logs and parts of the recording; `program`: what drivers are started
        by, the platform's own command if empty."""
        self.day, self._directory = day, directory
        self._program = tuple(program)
        self._parts = {"members": min(day["groups"], 4), "drivers": min(driver_crews, day["edges"])}
        self._names = [f"{role}-{n}" for role, parts in self._parts.items() for n in range(parts)]
        self._processes = Processes(directory)
        self._talks: dict[str, w.Talk] = {}
        self._ready: set[str] = set()
        self._drivers = names_of(day)
        self.records: list[rec.Record] = []
        self.counts: dict[str, w.Count] = {}

    async def run(self, say: Callable[[str], None] = lambda text: None) -> None:
        """Raises CrewLost."""
        clock = Clock()
        began = clock.now_us()
        try:
            async with trio.open_nursery() as nursery:
                listener = await TcpNetwork().listen("127.0.0.1", 0)
                nursery.start_soon(self._welcome, listener, nursery)
                self._start(listener.port)
                nursery.start_soon(self._watch)
                with trio.fail_after(START_S):
                    await self._until(lambda: len(self._talks) == len(self._names))
                    members = {n for n in self._names if n.startswith("members")}
                    await self._until(lambda: members <= self._ready)
                    say(f"members stand; starting {len(self._drivers)} drivers")
                    await self._all(w.Launch(), "drivers")
                    await self._until(lambda: len(self._ready) == len(self._names))
                at = clock.now_us() + AHEAD_US
                until = at + self.day["last"]
                say(f"the day begins, {(clock.now_us() - began) / US:.1f} s after the start")
                await self._all(w.Begin(at, until))
                await trio.sleep_until(clock.trio_time(until) + ANSWERS_S)
                await self._all(w.End())
                with trio.fail_after(LAST_WORDS_S):
                    await self._until(lambda: len(self.counts) == len(self._names))
                    for name in self._names:
                        await self._processes[name].ended()
                nursery.cancel_scope.cancel()
        finally:
            self._processes.end()
        self._gather(at)

    def _start(self, port: int) -> None:
        env = {"PATH": os.environ.get("PATH", ""), "PYTHONPATH": str(ROOT)}
        script = self._directory / "day"
        script.write_text(render(self.day), encoding="utf-8")
        for role, parts in self._parts.items():
            for part in range(parts):
                words = [str(script), role, str(part), str(parts), str(port)]
                command = [sys.executable, "-m", "juniperreel.testbed.crew", *words, str(self._directory)]
                self._processes.add(f"{role}-{part}", [*command, *self._program], env).start()

    async def _until(self, done: Callable[[], bool]) -> None:
        while not done():
            await trio.sleep(LOOK_S)

    async def _watch(self) -> None:
        """Whoever ends before its last words ends the trial."""
        while True:
            await trio.sleep(LOOK_S)
            for name in self._names:
                child = self._processes[name]
                if child.state is State.ENDED and name not in self.counts:
                    raise CrewLost(f"{name} ended: {child.log.read_text(errors='replace')[-2000:]}")

    async def _all(self, word: w.Word, kind: str = "") -> None:
        for name, talk in self._talks.items():
            if name.startswith(kind):
                await talk.say(word)

    async def _welcome(self, listener: Listener, nursery: trio.Nursery) -> None:
        try:
            while True:
                nursery.start_soon(self._hear, await listener.accept())
        finally:
            with trio.CancelScope(shield=True):
                await listener.aclose()

    async def _hear(self, stream: trio.abc.Stream) -> None:
        talk = w.Talk(stream)
        async with stream:
            name = ""
            try:
                while True:
                    word = await talk.hear()
                    match word:
                        case w.Hello():
                            name = word.name
                            self._talks[name] = talk
                        case w.Ready():
                            self._ready.add(name)
                        case w.Host():
                            await self._pass_on(word)
                        case w.Count():
                            self.counts[name] = word
            except w.Gone:
                return  # whether it may is for `_watch` to say

    async def _pass_on(self, word: w.Host) -> None:
        parts = self._parts["drivers"]
        await self._until(lambda: len(self._talks) == len(self._names))  # members may be there first
        for part in range(parts):
            doors = {d: word.doors[d] for i, d in enumerate(self._drivers) if i % parts == part}
            await self._talks[f"drivers-{part}"].say(w.Host(word.line, word.delay_us, doors))

    def _gather(self, at: int) -> None:
        """In order of time. Each process noted the faults; one note of each is enough."""
        found: list[rec.Record] = [
            *classes(at),
            limits(at, EndpointSettings(slow_start_us=self.day["cold-span"])),
        ]
        for step in self.day.steps:
            found.append(rec.Fault(at + step.at_us, step.text, True))
            found.append(rec.Fault(at + step.at_us + step.for_us, step.text, False))
        for name in self._names:
            parts = rec.read_recording(self._directory / f"{name}.recording")
            found += [r for r in parts if not isinstance(r, rec.Fault)]
        found.sort(key=lambda r: r.at)
        self.records = found
