"""A worker process of an edge, which serves the connections that the parent process passes to it.

    python -m juniperreel.cli.worker SOCKET SETTINGS FILE SLOT LISTEN-PORT MYSQL-PORT

SOCKET and SETTINGS are file descriptors inherited from the parent: the socket over which it passes
connections, and the text of the settings. FILE is the settings' path, for error messages and relative paths.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
import trio

from juniperreel.cli.edge import Edge
from juniperreel.net import Clock
from juniperreel.net.socket_passing import PassedSocketNetwork, SocketPassing
from juniperreel.settings import EdgeSettings, SettingsError
from juniperreel.settings.edge import parse_edge
from juniperreel.settings.values import Address
from juniperreel.telemetry.log import make_log
from juniperreel.workers.parent import DRAIN, GRPC, MYSQL, WorkerStatus, ignore_sigint

SERVING_EVENT = "worker serving"
REPORT_INTERVAL_S = 0.1
ACCEPT_POLL_INTERVAL_S = 0.01
INVALID_SETTINGS_STATUS = 2


@dataclass(frozen=True, slots=True)
class WorkerArguments:
    """The command line. Ports are those that the parent listens on; `mysql_port` is 0 without MySQL."""

    socket_descriptor: int
    settings_descriptor: int
    file: Path
    slot: int
    port: int
    mysql_port: int

    @staticmethod
    def parse(arguments: list[str]) -> WorkerArguments:
        """Parse the command line. Raises ValueError if arguments are missing or not numeric."""
        socket_descriptor, settings_descriptor, file, slot, port, mysql_port = arguments[:6]
        return WorkerArguments(
            int(socket_descriptor),
            int(settings_descriptor),
            Path(file),
            int(slot),
            int(port),
            int(mysql_port),
        )


def worker_settings(settings: EdgeSettings, slot: int, port: int, mysql_port: int) -> EdgeSettings:
    """Derive a worker's settings: its share of the edge's limits, with the parent's addresses."""
    workers = settings.workers
    mysql = settings.mysql_frontend
    if mysql is not None:
        connections = max(1, mysql.max_connections // workers)
        mysql = replace(mysql, listen=Address(mysql.listen.host, mysql_port), max_connections=connections)
    return replace(
        settings,
        listen=Address(settings.listen.host, port),
        metrics=None,
        seed=None if settings.seed is None else settings.seed + slot,
        max_open_requests=max(1, settings.max_open_requests // workers),
        max_connections=max(1, settings.max_connections // workers),
        mysql_frontend=mysql,
        writes_list_cache=slot == 0,
    )


class Worker:
    """Runs the edge of a worker process as directed by the parent process."""

    def __init__(self, settings: EdgeSettings, parent_channel: SocketPassing, slot: int) -> None:
        self._network = PassedSocketNetwork()
        log = make_log(settings.log_format, settings.log_level, edge=settings.name, worker=slot)
        self._edge = Edge(settings, self._network, Clock(), log, SERVING_EVENT)
        self._parent_channel = parent_channel
        self._addresses = {GRPC: settings.listen}
        if settings.mysql_frontend is not None:
            self._addresses[MYSQL] = settings.mysql_frontend.listen

    async def run(self) -> None:
        """Serve until the edge has shut down."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._edge.run)
            nursery.start_soon(self._report_status)
            nursery.start_soon(self._receive_from_parent)
            nursery.start_soon(self._stop_on_signal)
            await self._edge.ended.wait()
            nursery.cancel_scope.cancel()

    async def _report_status(self) -> None:
        while True:
            status = WorkerStatus(self._edge.connections, not self._edge.stopping.is_set())
            self._parent_channel.send(msgspec.json.encode(status))
            await trio.sleep(REPORT_INTERVAL_S)

    async def _receive_from_parent(self) -> None:
        """Accept passed connections until the parent requests draining or exits."""
        while True:
            message, connection = await self._parent_channel.receive()
            if connection is not None:
                self._accept(message, connection)
            elif not message:
                self._edge.log.error("parent process exited, worker shutting down")
                break
            elif message == DRAIN:
                break
        # Connections that were passed before the drain request are accepted before the shutdown begins.
        while any(listener.queued for listener in self._network.listeners.values()):
            await trio.sleep(ACCEPT_POLL_INTERVAL_S)
        self._edge.stop()

    def _accept(self, listener_name: bytes, connection: socket.socket) -> None:
        """Deliver a connection to its listener, or close it if there is none."""
        address = self._addresses.get(listener_name)
        listener = None if address is None else self._network.listeners.get(address)
        if listener is None:
            connection.close()
        else:
            listener.deliver(connection)

    async def _stop_on_signal(self) -> None:
        """Drain on SIGTERM; the parent replaces a worker that exits on its own."""
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self._edge.stop()


def main() -> None:
    """The worker's entry point; exits with INVALID_SETTINGS_STATUS if the settings are unusable."""
    arguments = WorkerArguments.parse(sys.argv[1:])
    ignore_sigint()
    with os.fdopen(arguments.settings_descriptor, "rb") as source:
        text = source.read()
    try:
        settings = parse_edge(text, str(arguments.file), arguments.file.parent)
    except SettingsError as error:  # validated by the parent, but files they refer to may be gone since
        print(error, file=sys.stderr)
        sys.exit(INVALID_SETTINGS_STATUS)
    settings = worker_settings(settings, arguments.slot, arguments.port, arguments.mysql_port)
    parent_channel = SocketPassing(socket.socket(fileno=arguments.socket_descriptor))
    trio.run(run_worker, settings, parent_channel, arguments.slot)


async def run_worker(settings: EdgeSettings, parent_channel: SocketPassing, slot: int) -> None:
    """Run a worker with its derived settings."""
    await Worker(settings, parent_channel, slot).run()


if __name__ == "__main__":
    main()
