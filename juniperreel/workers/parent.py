"""The parent of an edge's workers: listens, hands connections on, starts, replaces, drains. Serves nothing.

What is to be done is the roster's to say; this file does it. The settings' text travels to each worker by a
descriptor, so that a file that is edited meanwhile cannot split the workers of one generation.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import trio

from juniperreel.net import Clock
from juniperreel.net.clock import US
from juniperreel.net.handover import Handover, hand_on, pair
from juniperreel.net.network import TcpListener
from juniperreel.workers.supervisor import Drain, Kill, Order, Phase, Roster, Start

TICK_S = 0.1
DRAIN, GRPC, MYSQL = b"drain", b"grpc", b"mysql"


class Told(msgspec.Struct):
    """What a worker says every tenth of a second."""

    connections: int
    serving: bool = True


@dataclass(slots=True)
class Child:
    process: trio.Process
    handover: Handover
    slot: int
    asked: bool = False  # to drain


@dataclass(frozen=True, slots=True)
class Plan:
    """What a generation is started with: the settings' text, and the command that takes its descriptors."""

    text: bytes
    workers: int
    command: Callable[[int, int, int], list[str]]  # handover's descriptor, settings' descriptor, slot
    stop_within_us: int


class Parent:
    """`run` until `stop` and all workers have ended, or until cancelled; then they are killed."""

    def __init__(self, plan: Plan, clock: Clock, log: Any, seed: int, metrics: Path) -> None:
        """`metrics`: the folder in which workers keep their metrics."""
        self.plan = plan
        self.roster = Roster(plan.workers, seed)
        self.children: dict[int, Child] = {}
        self.ready = trio.Event()  # all of the first generation serve
        self._plans = {0: plan}
        self._clock, self._log, self._metrics = clock, log, metrics
        self._nursery: trio.Nursery | None = None
        self._listeners: list[TcpListener] = []
        self._ended = trio.Event()

    @property
    def serving(self) -> bool:
        return bool(self.roster.serving()) and not self.roster.stopping

    async def run(
        self,
        listeners: dict[bytes, TcpListener],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """`listeners`: by the name under which their connections are handed on."""
        self._listeners = list(listeners.values())
        try:
            async with trio.open_nursery() as self._nursery:
                for name, listener in listeners.items():
                    self._nursery.start_soon(self._take, listener, name)
                self._nursery.start_soon(self._tick)
                task_status.started()
                await self._ended.wait()
                self._nursery.cancel_scope.cancel()
        finally:
            for child in self.children.values():
                if child.process.poll() is None:
                    child.process.kill()

    async def _take(self, listener: TcpListener, name: bytes) -> None:
        with suppress(trio.ClosedResourceError):
            await hand_on(listener, name, self._choose)

    def _choose(self) -> Handover | None:
        number = self.roster.pick(self._clock.now_us())
        return self.children[number].handover if number in self.children else None

    async def _tick(self) -> None:
        while True:
            self._obey(self.roster.tick(self._clock.now_us()))
            if self.roster.stopping and not self.children:
                self._ended.set()
            await trio.sleep(TICK_S)

    # What is asked of it.

    def stop(self) -> None:
        """All in hand is answered, then the workers end, and `run` with them. Nobody can connect any more."""
        for listener in self._listeners:
            listener.close()
        self._obey(self.roster.stop())

    def renew(self, plan: Plan) -> None:
        """New settings, already checked: workers of the old drain once those of the new serve."""
        self.plan = plan
        self._plans[self.roster.generation + 1] = plan
        self._obey(self.roster.renew(self._clock.now_us(), plan.workers))

    # What the roster says.

    def _obey(self, orders: Iterable[Order]) -> None:
        assert self._nursery is not None
        for order in orders:
            match order:
                case Start(number, slot, generation):
                    self._nursery.start_soon(self._child, number, slot, self._plans[generation])
                case Drain(number):
                    child = self.children.get(number)
                    if child is not None:
                        child.asked = True
                        self._nursery.start_soon(self._drain, child, self.plan.stop_within_us)
                case Kill(number, why):
                    self._log.error("a worker is killed", worker=number, why=why)
                    child = self.children.get(number)
                    if child is not None and child.process.poll() is None:
                        child.process.kill()

    async def _drain(self, child: Child, within_us: int) -> None:
        """Asks it to; a worker that does not come to an end is ended."""
        with trio.move_on_after(within_us / US + 1):
            while not child.handover.hand(DRAIN):
                await trio.sleep(TICK_S)
            await child.process.wait()
        if child.process.poll() is None:
            child.process.kill()

    async def _child(self, number: int, slot: int, plan: Plan) -> None:
        ours, theirs = pair()
        handover = Handover(ours)
        text = os.memfd_create("settings")
        os.write(text, plan.text)
        os.lseek(text, 0, os.SEEK_SET)
        command = plan.command(theirs.fileno(), text, slot)
        environment = os.environ | {"PROMETHEUS_MULTIPROC_DIR": str(self._metrics)}
        try:
            process = await trio.lowlevel.open_process(
                command, pass_fds=(theirs.fileno(), text), env=environment, stdin=None
            )
        except OSError as error:  # no memory, no descriptors: it is tried again later, with backoff
            self._log.error("a worker could not be started", error=str(error))
            handover.close()
            self._obey(self.roster.ended(self._clock.now_us(), number))
            return
        finally:
            theirs.close()
            os.close(text)
        self._log.info("a worker starts", worker=number, slot=slot, pid=process.pid)
        child = Child(process, handover, slot)
        self.children[number] = child
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, number, handover)
            await process.wait()
            nursery.cancel_scope.cancel()
        handover.close()
        self._forget(number, child)

    def _forget(self, number: int, child: Child) -> None:
        from prometheus_client import multiprocess

        del self.children[number]
        multiprocess.mark_process_dead(child.process.pid, str(self._metrics))  # type: ignore[no-untyped-call]
        if not child.asked:
            code = child.process.returncode
            self._log.error("a worker ended by itself", worker=number, status=code, pid=child.process.pid)
        self._obey(self.roster.ended(self._clock.now_us(), number))

    async def _listen(self, number: int, handover: Handover) -> None:
        decoder = msgspec.json.Decoder(Told)
        while True:
            data, stray = await handover.receive()
            if stray is not None:
                stray.close()
            if not data:
                return  # it has ended, or will be found hung
            try:
                told = decoder.decode(data)
            except msgspec.DecodeError:
                self._log.error("a worker sent what is no message", worker=number)
                continue
            if told.serving:
                self._obey(self.roster.heard(self._clock.now_us(), number, told.connections))
            if not self.ready.is_set() and len(self.roster.serving()) >= self.plan.workers:
                self.ready.set()

    def counts(self) -> dict[str, int]:
        """Of workers, by phase."""
        found = {phase.value: 0 for phase in Phase}
        for worker in self.roster.workers.values():
            found[worker.phase.value] += 1
        return found


def ignore_interrupts() -> None:
    """Ctrl-C reaches a whole process group; in workers it is the parent's to act on."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
