"""The connection loop shared by the soak clients that use one connection after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from juniperreel.testbed.soak.requests import FindDriver

UseConnection = Callable[[trio.SocketStream, str], Awaitable[None]]  # the stream and the driver's name


async def use_connections(find_driver: FindDriver, use: UseConnection, pause_s: float) -> None:
    """Connect to drivers that accept clients and call `use` on each connection, until cancelled.

    Pauses after each connection. `use` may raise trio.BrokenResourceError when its connection breaks.
    """
    while True:
        driver = find_driver()
        if driver is not None:
            await _use_one(driver.port, driver.name, use)
        await trio.sleep(pause_s)


async def _use_one(port: int, driver: str, use: UseConnection) -> None:
    try:
        stream = await trio.open_tcp_stream("127.0.0.1", port)
    except OSError:
        return
    async with stream:
        try:
            await use(stream, driver)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
