"""The loop of every client of a soak that uses one connection after another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from juniperreel.testbed.soak.requests import FindDriver

UseConnection = Callable[[trio.SocketStream, str], Awaitable[None]]  # to the driver of this name


async def use_connections(find_driver: FindDriver, use: UseConnection, pause_s: float) -> None:
    """Connect to drivers that take clients, and use each connection, until cancelled.

    There is a pause after each; `use` may let the end of its connection escape as a trio.BrokenResourceError.
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
