"""The parent process of an edge: accepts connections, passes them to workers, and manages the workers.

It serves no requests itself. It executes the actions that the supervisor decides on. Each worker receives the
text of the settings by file descriptor, so that all workers of a generation have the same settings even if
the file is edited meanwhile.
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
# Messages from the parent to a worker: a drain command, or the listener name sent with a connection.
DRAIN = b"drain"
GRPC = b"grpc"
MYSQL = b"mysql"


class WorkerStatus(msgspec.Struct):
    """Heartbeat that a worker sends to the parent as JSON, every 100 ms."""

    connections: int
    serving: bool = True


@dataclass(slots=True)
class WorkerProcess:
    """A worker's process, and the parent's end of its socket pair."""

    process: trio.Process
    channel: SocketPassing
    drain_requested: bool = False


@dataclass(frozen=True, slots=True)
class GenerationConfig:
    """Configuration of a generation of workers.

    `command` returns the command line of a worker, given the descriptors of its socket and of the settings'
    text, and its slot.
    """

    settings_text: bytes
    worker_count: int
    command: Callable[[int, int, int], list[str]]
    shutdown_timeout_us: int


class Parent:
    """Manages the worker processes. `run` returns once `stop` was called and all workers have exited.

    Cancelling `run` kills the workers.
    """

    def __init__(self, config: GenerationConfig, clock: Clock, log: Any, seed: int, metrics: Path) -> None:
        """`metrics` is the directory to which workers write their metrics."""
        self.config = config
        self.supervisor = Supervisor(config.worker_count, seed)
        self.children: dict[int, WorkerProcess] = {}
        self.ready = trio.Event()  # set when all workers of the first generation are serving
        self._configs = {0: config}  # by generation
        self._clock = clock
        self._log = log
        self._metrics_directory = metrics
        self._nursery: trio.Nursery | None = None
        self._listeners: list[TcpListener] = []
        self._all_exited = trio.Event()

    @property
    def serving(self) -> bool:
        """Whether at least one worker is serving and `stop` was not called."""
        return bool(self.supervisor.serving()) and not self.supervisor.stopping

    async def run(
        self,
        listeners: dict[bytes, TcpListener],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the workers. `listeners` are keyed by the name that is sent with their connections."""
        self._listeners = list(listeners.values())
        try:
            async with trio.open_nursery() as self._nursery:
                for name, listener in listeners.items():
                    self._nursery.start_soon(self._pass_connections, listener, name)
                self._nursery.start_soon(self._run_supervisor_timer)
                task_status.started()
                await self._all_exited.wait()
                self._nursery.cancel_scope.cancel()
        finally:
            for child in self.children.values():
                _kill_process(child)

    async def _pass_connections(self, listener: TcpListener, name: bytes) -> None:
        with suppress(trio.ClosedResourceError):
            await pass_connections(listener, name, self._select_worker)

    def _select_worker(self) -> SocketPassing | None:
        number = self.supervisor.assign_connection(self._clock.now_us())
        return self.children[number].channel if number in self.children else None

    async def _run_supervisor_timer(self) -> None:
        while True:
            self._execute(self.supervisor.on_timer(self._clock.now_us()))
            if self.supervisor.stopping and not self.children:
                self._all_exited.set()
            await trio.sleep(TICK_S)

    # Control.

    def stop(self) -> None:
        """Start a graceful shutdown: stop accepting connections, and drain all workers."""
        for listener in self._listeners:
            listener.close()
        self._execute(self.supervisor.stop())

    def reload(self, config: GenerationConfig) -> None:
        """Start workers with new settings, which must be valid; the old ones drain once these are serving."""
        self.config = config
        self._configs[self.supervisor.generation + 1] = config
        self._execute(self.supervisor.reload(self._clock.now_us(), config.worker_count))

    # Execution of supervisor actions.

    def _execute(self, actions: Iterable[Action]) -> None:
        assert self._nursery is not None
        for action in actions:
            match action:
                case Start(number, slot, generation):
                    self._nursery.start_soon(self._run_worker, number, slot, self._configs[generation])
                case Drain(number):
                    child = self.children.get(number)
                    if child is not None:
                        child.drain_requested = True
                        self._nursery.start_soon(self._drain, child, self.config.shutdown_timeout_us)
                case Kill(number, reason):
                    self._log.error("worker killed", worker=number, reason=reason.value)
                    child = self.children.get(number)
                    if child is not None:
                        _kill_process(child)

    async def _drain(self, child: WorkerProcess, timeout_us: int) -> None:
        """Tell a worker to drain, and kill it if it does not exit in time."""
        with trio.move_on_after(timeout_us / US + 1):
            while not child.channel.send(DRAIN):
                await trio.sleep(TICK_S)
            await child.process.wait()
        _kill_process(child)

    async def _run_worker(self, number: int, slot: int, config: GenerationConfig) -> None:
        """Start a worker's process and wait for its exit."""
        parent_socket, worker_socket = create_socket_pair()
        channel = SocketPassing(parent_socket)
        settings_fd = _create_settings_file(config.settings_text)
        command = config.command(worker_socket.fileno(), settings_fd, slot)
        environment = os.environ | {"PROMETHEUS_MULTIPROC_DIR": str(self._metrics_directory)}
        try:
            process = await trio.lowlevel.open_process(
                command, pass_fds=(worker_socket.fileno(), settings_fd), env=environment, stdin=None
            )
        except OSError as error:  # out of memory or descriptors; the supervisor retries with backoff
            self._log.error("worker start failed", error=str(error))
            channel.close()
            self._execute(self.supervisor.on_exit(self._clock.now_us(), number))
            return
        finally:
            worker_socket.close()
            os.close(settings_fd)
        self._log.info("worker started", worker=number, slot=slot, pid=process.pid)
        child = WorkerProcess(process, channel)
        self.children[number] = child
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_status, number, channel)
            await process.wait()
            nursery.cancel_scope.cancel()
        channel.close()
        self._on_exit(number, child)

    def _on_exit(self, number: int, child: WorkerProcess) -> None:
        from prometheus_client import multiprocess

        del self.children[number]
        multiprocess.mark_process_dead(child.process.pid, str(self._metrics_directory))  # type: ignore[no-untyped-call]
        if not child.drain_requested:
            status = child.process.returncode
            self._log.error("worker exited unexpectedly", worker=number, status=status, pid=child.process.pid)
        self._execute(self.supervisor.on_exit(self._clock.now_us(), number))

    async def _receive_status(self, number: int, channel: SocketPassing) -> None:
        decoder = msgspec.json.Decoder(WorkerStatus)
        while True:
            data, unexpected_socket = await channel.receive()
            if unexpected_socket is not None:
                unexpected_socket.close()
            if not data:
                return  # the worker has exited, or its heartbeat will time out
            try:
                status = decoder.decode(data)
            except msgspec.DecodeError:
                self._log.error("invalid message from worker", worker=number)
                continue
            if status.serving:
                now_us = self._clock.now_us()
                self._execute(self.supervisor.on_heartbeat(now_us, number, status.connections))
            if not self.ready.is_set() and len(self.supervisor.serving()) >= self.config.worker_count:
                self.ready.set()

    def counts(self) -> dict[str, int]:
        """Return the number of workers in each phase."""
        counts = {phase.value: 0 for phase in Phase}
        for worker in self.supervisor.workers.values():
            counts[worker.phase.value] += 1
        return counts


def ignore_sigint() -> None:
    """Ignore SIGINT in a worker: Ctrl-C signals the whole process group, and the parent handles it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _kill_process(child: WorkerProcess) -> None:
    if child.process.poll() is None:
        child.process.kill()


def _create_settings_file(text: bytes) -> int:
    """Create an anonymous file with the settings' text; the caller must close the returned descriptor."""
    descriptor = os.memfd_create("settings")
    os.write(descriptor, text)
    os.lseek(descriptor, 0, os.SEEK_SET)
    return descriptor
