"""Idle clients that exhaust a driver's descriptors for clients, and reconnect when disconnected."""

from __future__ import annotations

import trio

from juniperreel.fakes.platform_clients import READ_BYTES
from juniperreel.postgres import messages
from juniperreel.testbed.soak.reconnecting import use_connections
from juniperreel.testbed.soak.requests import STARTUP_MESSAGE, ClientObservations, FindDriver

RECONNECT_DELAY_S = 3.0  # long, as all of them connect from one process, whose event loop must not lag
EMPTY_QUERY = messages.query(b"")


class IdleClient:
    """An idle client: sends an empty query, so that it counts as used, then idles until disconnected."""

    def __init__(self, observations: ClientObservations, find_driver: FindDriver) -> None:
        """`find_driver` returns a driver that accepts clients."""
        self._observations = observations
        self._find_driver = find_driver

    async def run(self) -> None:
        """Idle at one driver after another until cancelled."""
        await use_connections(self._find_driver, self._stay_idle, RECONNECT_DELAY_S)

    async def _stay_idle(self, stream: trio.SocketStream, _driver: str) -> None:
        try:
            await stream.send_all(STARTUP_MESSAGE + EMPTY_QUERY)
            while await stream.receive_some(READ_BYTES):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self._observations.counts["idle clients that were ended"] += 1
