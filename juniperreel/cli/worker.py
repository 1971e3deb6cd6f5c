"""One worker of an edge: the edge's own program, on connections that its parent hands over.

    python -m juniperreel.cli.worker HANDOVER SETTINGS FILE SLOT LISTEN-PORT MYSQL-PORT

HANDOVER and SETTINGS are descriptors that the parent opened; FILE names the settings for messages and paths.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from dataclasses import replace
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
from juniperreel.workers.parent import DRAIN, GRPC, MYSQL, WorkerStatus, ignore_interrupts

TELL_S = 0.1


def part_of(settings: EdgeSettings, slot: int, port: int, mysql_port: int) -> EdgeSettings:
    """A worker's part of the edge's settings: its share of the limits, addresses as they came to be."""
    count = settings.workers
    mysql = settings.mysql_frontend
    if mysql is not None:
        connections = max(1, mysql.max_connections // count)
        mysql = replace(mysql, listen=Address(mysql.listen.host, mysql_port), max_connections=connections)
    return replace(
        settings,
        listen=Address(settings.listen.host, port),
        metrics=None,
        seed=None if settings.seed is None else settings.seed + slot,
        max_open_requests=max(1, settings.max_open_requests // count),
        max_connections=max(1, settings.max_connections // count),
        mysql_frontend=mysql,
        saves_list=slot == 0,
    )


class Served:
    """The edge of this worker and its parent's voice."""

    def __init__(self, settings: EdgeSettings, handover: SocketPassing, slot: int) -> None:
        self.network = PassedSocketNetwork()
        log = make_log(settings.log_format, settings.log_level, edge=settings.name, worker=slot)
        self.edge = Edge(settings, self.network, Clock(), log)
        self.edge.says = "worker serving"
        self.handover = handover
        self.places = {GRPC: settings.listen}
        if settings.mysql_frontend is not None:
            self.places[MYSQL] = settings.mysql_frontend.listen

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(self.edge.run)
            nursery.start_soon(self._tell)
            nursery.start_soon(self._heed)
            nursery.start_soon(self._signals)
            await self.edge.ended.wait()
            nursery.cancel_scope.cancel()

    async def _tell(self) -> None:
        while True:
            told = WorkerStatus(self.edge.connections, not self.edge.stopping.is_set())
            self.handover.send(msgspec.json.encode(told))
            await trio.sleep(TELL_S)

    async def _heed(self) -> None:
        while True:
            message, connection = await self.handover.receive()
            if connection is not None:
                place = self.places.get(message)
                listener = self.network.listeners.get(place) if place is not None else None
                if listener is not None:
                    listener.deliver(connection)
                else:
                    connection.close()
            elif message == DRAIN or not message:
                if not message:
                    self.edge.log.error("the parent is gone; this worker answers what it has and ends")
                break
        # What was handed over before is taken before the goodbye.
        while any(listener.queued for listener in self.network.listeners.values()):
            await trio.sleep(0.01)
        self.edge.stop()

    async def _signals(self) -> None:
        """A worker told to end by itself drains; its parent replaces it."""
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async for _ in signals:
                self.edge.stop()


def main() -> None:
    handover, text, file, slot, port, mysql_port = sys.argv[1:7]
    ignore_interrupts()
    with os.fdopen(int(text), "rb") as source:
        data = source.read()
    try:
        settings = parse_edge(data, file, Path(file).parent)
    except SettingsError as error:  # a key file that is gone: the rest was checked by the parent
        print(error, file=sys.stderr)
        sys.exit(2)
    settings = part_of(settings, int(slot), int(port), int(mysql_port))
    end = SocketPassing(socket.socket(fileno=int(handover)))

    async def run() -> None:
        await Served(settings, end, int(slot)).run()

    trio.run(run)


if __name__ == "__main__":
    main()
