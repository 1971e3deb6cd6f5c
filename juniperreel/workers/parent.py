"""The parent process of an edge's workers: accepts connections, passes them on, and runs the workers.

It serves nothing itself. What is to be done is decided by the supervisor and carried out here. The settings'
text reaches each worker by a file descriptor, so that a file that is edited meanwhile cannot give the workers
of one generation different settings.
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
from juniperreel.net.network import TcpListener
from juniperreel.net.socket_passing import SocketPassing, create_socket_pair, pass_connections
from juniperreel.workers.supervisor import Action, Drain, Kill, Phase, Start, Supervisor

TICK_S = 0.1
# What the parent sends to a worker: an order to drain, or beside a connection which listener accepted it.
DRAIN = b"drain"
GRPC = b"grpc"
MYSQL = b"mysql"


class WorkerStatus(msgspec.Struct):
    """What a worker sends to the parent every tenth of a second, as JSON."""

    connections: int
    serving: bool = True


@dataclass(slots=True)
class Child:
    """One worker's process, and the socket pair to it."""

    process: trio.Process
    handover: SocketPassing
    drain_requested: bool = False


@dataclass(frozen=True, slots=True)
class GenerationPlan:
    """What a generation of workers is started with.

    `command` gives the command line of a worker, from the descriptors of its socket and of the settings'
    text, and its slot.
    """

    text: bytes
    workers: int
    command: Callable[[int, int, int], list[str]]
    stop_within_us: int


class Parent:
    """Runs the workers. `run` returns once `stop` was called and all workers have ended.

    If it is cancelled, the workers are killed.
    """

    def __init__(self, plan: GenerationPlan, clock: Clock, log: Any, seed: int, metrics: Path) -> None:
        """`metrics` is the folder in which workers write their metrics."""
        self.plan = plan
        self.supervisor = Supervisor(plan.workers, seed)
        self.children: dict[int, Child] = {}
        self.ready = trio.Event()  # all workers of the first generation serve
        self._plans = {0: plan}  # by generation
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._listeners: list[TcpListener] = []
        self._ended = trio.Event()

    @property
    def serving(self) -> bool:
        """Whether some worker serves and `stop` was not called."""
        return bool(self.supervisor.serving()) and not self.supervisor.stopping

    async def run(
        self,
        listeners: dict[bytes, TcpListener],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the workers. `listeners` by the name that is sent with their connections."""
        self._listeners = list(listeners.values())
        try:
            async with trio.open_nursery() as self._nursery:
                for name, listener in listeners.items():
                    self._nursery.start_soon(self._pass_connections, listener, name)
                self._nursery.start_soon(self._run_timer)
                task_status.started()
                await self._ended.wait()
                self._nursery.cancel_scope.cancel()
        finally:
            for child in self.children.values():
                _kill(child)

    async def _pass_connections(self, listener: TcpListener, name: bytes) -> None:
        with suppress(trio.ClosedResourceError):
            await pass_connections(listener, name, self._choose_worker)

    def _choose_worker(self) -> SocketPassing | None:
        number = self.supervisor.assign_connection(self._clock.now_us())
        return self.children[number].handover if number in self.children else None

    async def _run_timer(self) -> None:
        while True:
            self._carry_out(self.supervisor.on_timer(self._clock.now_us()))
            if self.supervisor.stopping and not self.children:
                self._ended.set()
            await trio.sleep(TICK_S)

    # Commands.

    def stop(self) -> None:
        """Start a graceful shutdown: no new connections; workers answer what is in flight and end."""
        for listener in self._listeners:
            listener.close()
        self._carry_out(self.supervisor.stop())

    def reload(self, plan: GenerationPlan) -> None:
        """Start workers with new settings, which must be valid; the old ones drain once these serve."""
        self.plan = plan
        self._plans[self.supervisor.generation + 1] = plan
        self._carry_out(self.supervisor.reload(self._clock.now_us(), plan.workers))

    # The supervisor's actions.

    def _carry_out(self, actions: Iterable[Action]) -> None:
        assert self._nursery is not None
        for action in actions:
            match action:
                case Start(number, slot, generation):
                    self._nursery.start_soon(self._run_worker, number, slot, self._plans[generation])
                case Drain(number):
                    child = self.children.get(number)
                    if child is not None:
                        child.drain_requested = True
                        self._nursery.start_soon(self._drain, child, self.plan.stop_within_us)
                case Kill(number, reason):
                    self._log.error("worker killed", worker=number, reason=reason.value)
                    child = self.children.get(number)
                    if child is not None:
                        _kill(child)

    async def _drain(self, child: Child, within_us: int) -> None:
        """Tell a worker to drain, and kill it if it has not ended in time."""
        with trio.move_on_after(within_us / US + 1):
            while not child.handover.send(DRAIN):
                await trio.sleep(TICK_S)
            await child.process.wait()
        _kill(child)

    async def _run_worker(self, number: int, slot: int, plan: GenerationPlan) -> None:
        """Run a worker's process until it ends."""
        parent_socket, worker_socket = create_socket_pair()
        handover = SocketPassing(parent_socket)
        settings_fd = _settings_descriptor(plan.text)
        command = plan.command(worker_socket.fileno(), settings_fd, slot)
        environment = os.environ | {"PROMETHEUS_MULTIPROC_DIR": str(self._metrics)}
        try:
            process = await trio.lowlevel.open_process(
                command, pass_fds=(worker_socket.fileno(), settings_fd), env=environment, stdin=None
            )
        except OSError as error:  # no memory or no descriptors: the supervisor tries again, with backoff
            self._log.error("worker start failed", error=str(error))
            handover.close()
            self._carry_out(self.supervisor.on_exit(self._clock.now_us(), number))
            return
        finally:
            worker_socket.close()
            os.close(settings_fd)
        self._log.info("worker started", worker=number, slot=slot, pid=process.pid)
        child = Child(process, handover)
        self.children[number] = child
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_status, number, handover)
            await process.wait()
            nursery.cancel_scope.cancel()
        handover.close()
        self._on_exit(number, child)

    def _on_exit(self, number: int, child: Child) -> None:
        from prometheus_client import multiprocess

        del self.children[number]
        multiprocess.mark_process_dead(child.process.pid, str(self._metrics))  # type: ignore[no-untyped-call]
        if not child.drain_requested:
            status = child.process.returncode
            self._log.error("worker exited unexpectedly", worker=number, status=status, pid=child.process.pid)
        self._carry_out(self.supervisor.on_exit(self._clock.now_us(), number))

    async def _receive_status(self, number: int, handover: SocketPassing) -> None:
        decoder = msgspec.json.Decoder(WorkerStatus)
        while True:
            data, unexpected_socket = await handover.receive()
            if unexpected_socket is not None:
                unexpected_socket.close()
            if not data:
                return  # the worker has ended, or its heartbeat will time out
            try:
                status = decoder.decode(data)
            except msgspec.DecodeError:
                self._log.error("invalid message from worker", worker=number)
                continue
            if status.serving:
                now_us = self._clock.now_us()
                self._carry_out(self.supervisor.on_heartbeat(now_us, number, status.connections))
            if not self.ready.is_set() and len(self.supervisor.serving()) >= self.plan.workers:
                self.ready.set()

    def counts(self) -> dict[str, int]:
        """Return how many workers are in each phase."""
        counts = {phase.value: 0 for phase in Phase}
        for worker in self.supervisor.workers.values():
            counts[worker.phase.value] += 1
        return counts


def ignore_interrupts() -> None:
    """Ignore SIGINT in a worker: Ctrl-C reaches the whole process group, and only the parent acts on it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _kill(child: Child) -> None:
    if child.process.poll() is None:
        child.process.kill()


def _settings_descriptor(text: bytes) -> int:
    """Return the descriptor of an anonymous file with the settings' text, to be closed by the caller."""
    descriptor = os.memfd_create("settings")
    os.write(descriptor, text)
    os.lseek(descriptor, 0, os.SEEK_SET)
    return descriptor
